//! Software versions at which streams began.
//!
//! What runners of two versions write does not fit together, so a stream goes on only at the
//! version that began it. The caller that takes a stream up, perhaps at another router,
//! names the request that brought its first event. Each router therefore reports the streams
//! that begin, and passes all that it knows on to a router that starts.

use std::collections::{BTreeMap, HashMap, VecDeque};

use balsamchute_model::prelude::*;

use crate::report::Begun;

/// Time for which the origin of a stream is kept. No caller takes a stream up later than
/// the longest timeout of a route.
const MAX_AGE: Span = Span::from_secs(60);

/// Origins that are kept at most; the oldest ones are dropped.
const MAX_ORIGINS: usize = 10_000;

/// Time for which a router reports a stream that began: several reports, as any may be
/// lost.
const REPORT_TIME: Span = Span(300);

/// Time for which a version that no runner has any more still counts as one that may have
/// begun a stream.
const VERSION_MEMORY: Span = Span::from_secs(20);

/// Digest of the id of a request that began a stream.
pub type Digest = u64;

/// Service and version at which a stream began.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// Service whose runner sent the first event.
    pub service: Service,
    /// Version of that runner's software.
    pub software: Software,
}

/// Origins of streams that one router knows, and the versions that serve.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    origins: HashMap<Digest, Origin>,
    /// Streams in the order in which this router learned of them, with the time and
    /// whether they began at this router.
    order: VecDeque<(Time, Digest, bool)>,
    /// Versions of each service, with the time at which a runner last had them.
    versions: BTreeMap<Service, BTreeMap<Software, Time>>,
}

impl Streams {
    /// Creates a set without streams and versions.
    #[must_use]
    pub fn new() -> Self {
        Streams::default()
    }

    /// Records that a stream began at this router.
    pub fn record(&mut self, now: Time, stream: Digest, origin: Origin) {
        self.insert(now, stream, origin, true);
    }

    /// Adds the streams that another router knows.
    pub fn merge(&mut self, now: Time, begun: &[Begun]) {
        for group in begun {
            for &stream in &group.streams {
                let origin = Origin {
                    service: group.service.clone(),
                    software: group.software.clone(),
                };
                self.insert(now, stream, origin, false);
            }
        }
    }

    fn insert(&mut self, now: Time, stream: Digest, origin: Origin, is_local: bool) {
        if self.origins.insert(stream, origin).is_none() {
            self.order.push_back((now, stream, is_local));
        }
    }

    /// Records that a listed runner has a version.
    pub fn record_version(&mut self, now: Time, entry: &Entry) {
        match self.versions.get_mut(&entry.service) {
            Some(versions) => match versions.get_mut(&entry.software) {
                Some(listed_at) => *listed_at = now,
                None => {
                    versions.insert(entry.software.clone(), now);
                }
            },
            None => {
                let versions = BTreeMap::from([(entry.software.clone(), now)]);
                self.versions.insert(entry.service.clone(), versions);
            }
        }
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Time) {
        while let Some(&(learned_at, stream, _)) = self.order.front()
            && (now.since(learned_at) > MAX_AGE || self.order.len() > MAX_ORIGINS)
        {
            self.order.pop_front();
            self.origins.remove(&stream);
        }
        for versions in self.versions.values_mut() {
            versions.retain(|_, listed_at| now.since(*listed_at) < VERSION_MEMORY);
        }
        self.versions.retain(|_, versions| !versions.is_empty());
    }

    /// Returns where a stream began, if this router knows.
    #[must_use]
    pub fn origin(&self, stream: Digest) -> Option<&Origin> {
        self.origins.get(&stream)
    }

    /// Returns the version at which a stream of the service may go on, or `None` if
    /// several are possible.
    #[must_use]
    pub fn version(&self, service: &Service, stream: Option<Digest>) -> Option<&Software> {
        let origin = stream.and_then(|stream| self.origin(stream));
        if let Some(origin) = origin.filter(|origin| origin.service == *service) {
            return Some(&origin.software);
        }
        let mut versions = self.versions.get(service)?.keys();
        versions.next().filter(|_| versions.next().is_none())
    }

    /// Returns the streams that began at this router a short time ago.
    #[must_use]
    pub fn recent(&self, now: Time) -> Vec<Begun> {
        let newest_first = self.order.iter().rev();
        let recent = newest_first.take_while(|(at, ..)| now.since(*at) < REPORT_TIME);
        let local = recent.filter(|(_, _, is_local)| *is_local);
        self.group(local.map(|&(_, stream, _)| stream))
    }

    /// Returns all streams that this router knows.
    #[must_use]
    pub fn all(&self) -> Vec<Begun> {
        self.group(self.order.iter().map(|&(_, stream, _)| stream))
    }

    fn group(&self, streams: impl Iterator<Item = Digest>) -> Vec<Begun> {
        let mut groups: BTreeMap<&Origin, Vec<Digest>> = BTreeMap::new();
        for stream in streams {
            if let Some(origin) = self.origins.get(&stream) {
                groups.entry(origin).or_default().push(stream);
            }
        }
        let groups = groups.into_iter();
        groups
            .map(|(origin, streams)| Begun {
                service: origin.service.clone(),
                software: origin.software.clone(),
                streams,
            })
            .collect()
    }
}
