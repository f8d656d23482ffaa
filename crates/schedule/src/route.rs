//! Services that may have begun the streams of a route.
//!
//! Responds to manifests that change the backends of a route: a stream that began at one
//! service must not be resumed at another one.

use std::collections::BTreeMap;

use balsamchute_base::digest::Hasher;
use balsamchute_model::prelude::*;
use serde::{Deserialize, Serialize};

/// Routes of resumable streams under which a router serves, for its record in the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Digest of hosts, prefixes, backends and timeouts.
    pub digest: u64,
    /// Longest timeout of the routes since the router started.
    pub longest: Span,
    /// Whether all streams that may be under way began under these routes.
    pub is_settled: bool,
}

/// Routes whose backends changed a short time ago.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Time from which on all streams of a route, by its name, began under its present
    /// backends.
    settled_at: BTreeMap<String, Time>,
    /// Time from which on all streams of resumable routes began under the present routes,
    /// if they began since the start.
    all_settled_at: Time,
    /// Time and digest of the first manifest since the start.
    first: Option<(Time, u64)>,
    /// Digest of the present manifest.
    digest: u64,
    longest: Span,
    /// Records of the routers that served before the start.
    records: Vec<Record>,
    /// Whether these are all, or no router served before.
    is_complete: bool,
}

impl Changes {
    /// Records the first manifest since the router started.
    pub fn start(&mut self, now: Time, manifest: &Manifest) {
        self.longest = longest(manifest);
        self.digest = digest(manifest);
        self.first = Some((now, self.digest));
    }

    /// Adds the record of a router that served before this one started. Has no effect once
    /// the records are complete.
    pub fn merge(&mut self, record: Record) {
        if !self.is_complete {
            self.records.push(record);
        }
    }

    /// Records that the records of all routers were merged, or that none served before.
    pub fn set_complete(&mut self) {
        self.is_complete = true;
    }

    /// Records the change from one manifest to the next.
    pub fn record(&mut self, now: Time, before: &Manifest, after: &Manifest) {
        let known: BTreeMap<&str, _> = routes(before)
            .map(|route| (route.name.as_str(), route))
            .collect();
        self.digest = digest(after);
        self.longest = self.longest.max(longest(after));
        let longest = longest(before);
        self.settled_at.retain(|_, settled_at| *settled_at > now);
        let paths: Vec<_> = routes(after).map(path).collect();
        // Any other route may have taken over the path of one that is gone.
        let is_any_gone = routes(before).any(|route| !paths.contains(&path(route)));
        for route in routes(after) {
            let is_same = known.get(route.name.as_str()).is_some_and(|known| {
                known.backends == route.backends
                    && known.timeout == route.timeout
                    && path(known) == path(route)
            });
            if !is_same || is_any_gone {
                let settled_at = now + longest.max(route.timeout);
                self.settled_at.insert(route.name.clone(), settled_at);
                if is_resumable(route) {
                    self.all_settled_at = settled_at.max(self.all_settled_at);
                }
            }
        }
    }

    /// Returns whether only the present backend of the route can have begun its streams.
    #[must_use]
    pub fn is_sole(&self, now: Time, route: &Route) -> bool {
        let settled_at = self.settled_at.get(&route.name);
        route.backends.len() == 1
            && settled_at.is_none_or(|&settled_at| now > settled_at)
            && self.has_same_past(now)
    }

    /// Returns the record of the routes of the manifest in force, or `None` before the first
    /// one.
    #[must_use]
    pub fn to_record(&self, now: Time) -> Option<Record> {
        self.first?;
        Some(Record {
            digest: self.digest,
            longest: self.longest,
            is_settled: now > self.all_settled_at && self.has_same_past(now),
        })
    }

    /// Returns whether no stream that may be under way began under other routes before the
    /// router started.
    fn has_same_past(&self, now: Time) -> bool {
        let Some((started_at, digest)) = self.first else {
            return true;
        };
        let longest = self.records.iter().map(|record| record.longest).max();
        if now > started_at + longest.unwrap_or_default().max(self.longest) {
            return true;
        }
        let mut records = self.records.iter();
        self.is_complete && records.all(|record| record.is_settled && record.digest == digest)
    }
}

fn routes(manifest: &Manifest) -> impl Iterator<Item = &Route> {
    manifest.routes.values().flatten().map(|route| &**route)
}

fn is_resumable(route: &Route) -> bool {
    route.stream && route.retry_policy == RetryPolicy::Resumable
}

fn path(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

fn longest(manifest: &Manifest) -> Span {
    let timeouts = routes(manifest).map(|route| route.timeout);
    timeouts.max().unwrap_or_default()
}

fn digest(manifest: &Manifest) -> u64 {
    let mut resumable: Vec<&Route> = routes(manifest).filter(|r| is_resumable(r)).collect();
    resumable.sort_by_key(|route| path(route));
    let mut hasher = Hasher::new();
    let mut add = |text: &str| {
        hasher.update(text.as_bytes());
        hasher.update(&[0]);
    };
    for route in resumable {
        add(&route.host);
        add(&route.prefix);
        add(&route.timeout.0.to_string());
        for backend in &route.backends {
            add(backend.service.as_str());
        }
        add("");
    }
    hasher.digest().0 as u64
}
