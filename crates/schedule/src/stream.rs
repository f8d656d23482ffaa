//! Software versions at which streams began.
//!
//! What runners of two versions write does not fit together, so a stream goes on only at the
//! version that began it. The caller that takes a stream up, perhaps at another router,
//! names the request that brought its first event. Each router therefore reports the streams
//! that begin, and passes all that it knows on to a router that starts.

use std::collections::{BTreeMap, HashMap, VecDeque};

use balsamchute_model::prelude::*;

use crate::report::Begun;
use crate::request::Resumed;
use crate::version::{RECORD_TIME, Set, Versions};

/// Time for which the origin of a stream is kept.
const MAX_AGE: Span = Span::from_secs(60);

/// Origins that are kept at most; the oldest ones are dropped. About 100 bytes each in memory
/// and 9 in the view for a router that starts. Holds 57 of each of 350 routers, 11 s of 5 that
/// begin there a second.
const MAX_ORIGINS: usize = 20_000;

/// Difference between the clocks of a runner and of a router above which one of them counts
/// as later, as for [`Entry::started_at`].
const CLOCK_TOLERANCE: Span = Span(5000);

/// Time for which a router reports a stream that began: several reports, as any may be
/// lost.
const REPORT_TIME: Span = Span(300);

/// Streams in the record of the store at most, the newest ones; 20 KB as text.
const MAX_RECORD_STREAMS: usize = 1000;

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

/// How a router learned of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The stream began here.
    Local,
    /// The stream began here before the router restarted.
    EarlierLife,
    /// Another router reported it.
    Peer,
    /// The record of another router in the store names it.
    Record,
}

/// Why the origin of a stream became unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The runner may have restarted at another version before the first event.
    Restart(Runner),
    /// This source tells another origin than was known.
    Contradiction(Source),
}

/// Stream whose origin became unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Correction {
    /// Digest of the id of the request that began the stream.
    pub stream: Digest,
    /// Why the origin is unknown.
    pub cause: Cause,
}

/// Why a stream goes on at a software version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Basis {
    /// The version began the stream in the same answer.
    Answer,
    /// The origin of the stream is known.
    Known(Source),
    /// No other version was listed since the stream can have begun. The list of runners was
    /// confirmed this long ago.
    Sole(Span),
}

impl Basis {
    /// Returns the basis as written to logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Basis::Answer => "answer",
            Basis::Known(Source::Local) => "local",
            Basis::Known(Source::EarlierLife) => "earlier_life",
            Basis::Known(Source::Peer) => "peer",
            Basis::Known(Source::Record) => "record",
            Basis::Sole(_) => "sole_version",
        }
    }

    /// Returns the age of the list of runners from which the version was inferred.
    #[must_use]
    pub fn list_age(self) -> Option<Span> {
        match self {
            Basis::Sole(age) => Some(age),
            Basis::Answer | Basis::Known(_) => None,
        }
    }
}

/// Origins of streams that one router knows, and the versions that serve.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    origins: HashMap<Digest, (Origin, Source)>,
    /// Streams in the order in which this router learned of them, with the time and
    /// the source.
    order: VecDeque<(Time, Digest, Source)>,
    /// Streams that began here, with the time of the first event and the runner that sent it.
    local: VecDeque<(Time, Digest, Runner)>,
    /// Number of streams that began here or whose origin changed.
    begun: u64,
    /// Time at which a stream of a service last began here at an unknown version, or was about
    /// to.
    unknown: BTreeMap<Service, Time>,
    versions: Versions,
    corrections: Vec<Correction>,
}

impl Streams {
    /// Creates a set without streams and versions.
    #[must_use]
    pub fn new() -> Self {
        Streams::default()
    }

    /// Records that a stream began at this router.
    pub fn record(&mut self, now: Time, stream: Digest, origin: Origin) {
        self.begun += 1;
        if origin.software.is_unknown() {
            self.record_unknown(now, &origin.service);
        }
        self.insert(now, stream, origin, Source::Local);
    }

    /// Records that a stream began at this router, by an event of a runner.
    pub fn record_at(&mut self, now: Time, stream: Digest, origin: Origin, runner: &Runner) {
        self.record(now, stream, origin);
        self.local.push_back((now, stream, runner.clone()));
    }

    /// Records that another process of a runner is listed. Returns the streams of which it may
    /// have sent the first event although they count as begun by the process before, at another
    /// version; their origin becomes unknown.
    pub fn replace_process(&mut self, now: Time, entry: &Entry) -> Vec<Digest> {
        let may_be_later = |begun_at: Time| begun_at + CLOCK_TOLERANCE >= Time(entry.started_at);
        let is_doubtful = |stream: &Digest| {
            let origin = self.origin(*stream);
            origin.is_some_and(|origin| {
                origin.software != entry.software && !origin.software.is_unknown()
            })
        };
        let local = self.local.iter();
        let doubtful: Vec<Digest> = local
            .filter(|(begun_at, _, runner)| *runner == entry.runner && may_be_later(*begun_at))
            .map(|(_, stream, _)| *stream)
            .filter(is_doubtful)
            .collect();
        for &stream in &doubtful {
            self.forget(now, stream, Cause::Restart(entry.runner.clone()));
        }
        doubtful
    }

    /// Makes the origin of a stream unknown, and reports that.
    fn forget(&mut self, now: Time, stream: Digest, cause: Cause) {
        self.corrections.push(Correction { stream, cause });
        if let Some((origin, source)) = self.origins.get_mut(&stream) {
            origin.software = Software::unknown();
            *source = Source::Local;
            self.begun += 1;
            self.order.retain(|(_, other, _)| *other != stream);
            self.order.push_back((now, stream, Source::Local));
        }
    }

    /// Adds the streams that began at other routers, and the versions that these list or at
    /// which streams may begin, as they report them now.
    pub fn merge_report(&mut self, now: Time, begun: &[Begun]) {
        for group in begun {
            self.versions
                .record(now - group.age, &group.service, &group.software);
        }
        self.merge(now, begun);
    }

    /// Adds the streams that another router knows.
    pub fn merge(&mut self, now: Time, begun: &[Begun]) {
        self.merge_from(now, begun, Source::Peer);
    }

    /// Adds the streams of another router's record in the store.
    pub fn merge_record(&mut self, now: Time, begun: &[Begun]) {
        self.merge_from(now, begun, Source::Record);
    }

    /// Adds the streams of the record that this router wrote before it restarted.
    pub fn merge_own(&mut self, now: Time, begun: &[Begun]) {
        self.merge_from(now, begun, Source::EarlierLife);
    }

    fn merge_from(&mut self, now: Time, begun: &[Begun], source: Source) {
        for group in begun {
            for &stream in &group.streams {
                let origin = Origin {
                    service: group.service.clone(),
                    software: group.software.clone(),
                };
                self.insert(now, stream, origin, source);
            }
        }
    }

    fn insert(&mut self, now: Time, stream: Digest, origin: Origin, source: Source) {
        match self.origins.get_mut(&stream) {
            None => {
                self.origins.insert(stream, (origin, source));
                self.order.push_back((now, stream, source));
            }
            Some((known, _)) if *known == origin || known.software.is_unknown() => {}
            // The order in which reports and records arrive shows nothing.
            Some(_) => {
                self.forget(now, stream, Cause::Contradiction(source));
            }
        }
    }

    /// Removes and returns the streams whose origin became unknown.
    pub fn take_corrections(&mut self) -> Vec<Correction> {
        std::mem::take(&mut self.corrections)
    }

    /// Records that streams of a service may begin at processes of unknown version.
    pub fn record_unknown(&mut self, now: Time, service: &Service) {
        self.unknown.insert(service.clone(), now);
        self.versions.record(now, service, &Software::unknown());
    }

    /// Records that a listed runner has a version.
    pub fn record_version(&mut self, now: Time, entry: &Entry) {
        self.versions.record(now, &entry.service, &entry.software);
    }

    /// Returns the versions that served.
    #[must_use]
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// Returns the versions that served, to be updated.
    pub fn versions_mut(&mut self) -> &mut Versions {
        &mut self.versions
    }

    /// Returns the versions for the record in the store.
    #[must_use]
    pub fn record_versions(&self, now: Time) -> Set {
        self.versions.record_set(now)
    }

    /// Returns the number of streams that began here or whose origin changed.
    #[must_use]
    pub fn begun(&self) -> u64 {
        self.begun
    }

    /// Returns the number of such streams if they must outlast all routers, because
    /// a release is under way.
    #[must_use]
    pub fn unrecorded(&self, now: Time) -> Option<u64> {
        self.versions.has_release(now).then_some(self.begun)
    }

    /// Returns the streams for the record in the store: those that began here, in this life
    /// or an earlier one. Empty while the record names one version of each service. In a fleet
    /// of `routers`, a router that reads all records keeps the newest streams of each.
    #[must_use]
    pub fn record_streams(&self, versions: &Set, routers: u32) -> Vec<Begun> {
        if versions.values().all(|versions| versions.len() < 2) {
            return Vec::new();
        }
        let newest_first = self.order.iter().rev();
        let own = newest_first
            .filter(|(.., source)| matches!(source, Source::Local | Source::EarlierLife));
        let streams = own.map(|&(_, stream, _)| stream);
        let limit = MAX_ORIGINS / routers.max(1) as usize;
        self.group(streams.take(limit.min(MAX_RECORD_STREAMS)))
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Time) {
        while let Some(&(learned_at, stream, _)) = self.order.front()
            && (now.since(learned_at) > MAX_AGE || self.order.len() > MAX_ORIGINS)
        {
            self.order.pop_front();
            self.origins.remove(&stream);
        }
        while let Some(&(begun_at, ..)) = self.local.front()
            && (now.since(begun_at) > MAX_AGE || self.local.len() > MAX_ORIGINS)
        {
            self.local.pop_front();
        }
        self.unknown.retain(|_, at| now.since(*at) <= RECORD_TIME);
        self.versions.expire(now);
    }

    /// Returns the number of streams whose origin is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no stream's origin is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Returns where a stream began, if this router knows.
    #[must_use]
    pub fn origin(&self, stream: Digest) -> Option<&Origin> {
        self.origins.get(&stream).map(|(origin, _)| origin)
    }

    /// Returns the version at which a stream of the service may go on, or `None` if several
    /// are possible, if others may have served unseen, or if another service began it.
    #[must_use]
    pub fn version(
        &self,
        now: Time,
        service: &Service,
        resumed: Resumed,
    ) -> Option<(&Software, Basis)> {
        let known = resumed.stream.and_then(|stream| self.origins.get(&stream));
        match known {
            Some((origin, source))
                if origin.service == *service && !origin.software.is_unknown() =>
            {
                Some((&origin.software, Basis::Known(*source)))
            }
            Some(_) => None,
            None if resumed.is_sole_service => {
                let sole = self.versions.sole(now, service, resumed.max_age);
                let basis = Basis::Sole(self.versions.confirmation_age(now));
                sole.map(|software| (software, basis))
            }
            None => None,
        }
    }

    /// Returns the streams that began at this router a short time ago. Also names, perhaps
    /// without streams, those of the `listed` versions that other routers may not list, and the
    /// unknown versions at which streams began here, for as long as these may last.
    #[must_use]
    pub fn recent<'a, I>(&self, now: Time, listed: I) -> Vec<Begun>
    where
        I: Iterator<Item = &'a Entry>,
    {
        let newest_first = self.order.iter().rev();
        let recent = newest_first.take_while(|(at, ..)| now.since(*at) < REPORT_TIME);
        let local = recent.filter(|(.., source)| *source == Source::Local);
        let mut begun = self.group(local.map(|&(_, stream, _)| stream));
        let changing = listed.filter(|entry| self.versions.is_changing(now, &entry.service));
        // Streams whose origin became unknown later began at versions that are known to serve.
        for group in begun.iter_mut().filter(|group| group.software.is_unknown()) {
            group.age = RECORD_TIME;
        }
        let listed = changing.map(|entry| (&entry.service, &entry.software, Span(0)));
        let software = Software::unknown();
        let unknown = self.unknown.iter();
        let unknown = unknown.map(|(service, at)| (service, &software, now.since(*at)));
        for (service, software, age) in listed.chain(unknown) {
            let mut groups = begun.iter_mut();
            match groups.find(|group| group.service == *service && group.software == *software) {
                Some(group) => group.age = age,
                None => begun.push(Begun {
                    service: service.clone(),
                    software: software.clone(),
                    streams: Vec::new(),
                    age,
                }),
            }
        }
        begun
    }

    /// Returns all streams that this router knows.
    #[must_use]
    pub fn all(&self) -> Vec<Begun> {
        self.group(self.order.iter().map(|&(_, stream, _)| stream))
    }

    fn group(&self, streams: impl Iterator<Item = Digest>) -> Vec<Begun> {
        let mut groups: BTreeMap<&Origin, Vec<Digest>> = BTreeMap::new();
        for stream in streams {
            if let Some((origin, _)) = self.origins.get(&stream) {
                groups.entry(origin).or_default().push(stream);
            }
        }
        let groups = groups.into_iter();
        groups
            .map(|(origin, streams)| Begun {
                service: origin.service.clone(),
                software: origin.software.clone(),
                streams,
                age: Span(0),
            })
            .collect()
    }
}
