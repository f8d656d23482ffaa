//! Services that may have begun the streams of a route.
//!
//! Responds to manifests that change the backends of a route: a stream that began at one
//! service must not be resumed at another one. Also bounds the age of a stream.

use std::collections::BTreeMap;

use balsamchute_base::digest::Hasher;
use balsamchute_model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::version::MEMORY;

/// Time after its begin in which a stream is taken up, unless a caller or a timeout allows
/// more. Neither the timeout nor the time that a caller has left shows the age: the limit of
/// the caller may be longer than the timeout, and each part of a stream has a timeout of its
/// own.
const STREAM_LIFETIME: Span = Span::from_secs(60);

/// Unit to which limits of callers are rounded up, so that the record changes rarely.
const LIMIT_UNIT: u64 = 60_000;

/// Routes of resumable streams under which a router serves, for its record in the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Digest of hosts, prefixes and backends.
    pub digest: u64,
    /// Longest timeout of the routes, or time that a caller named, since the router started.
    pub longest: Span,
    /// Whether all streams that may be under way began under these routes.
    pub is_settled: bool,
}

/// Routes whose backends changed a short time ago.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Time of the last change of a route, by its name.
    changed_at: BTreeMap<String, Time>,
    /// Time of the last change of a resumable route.
    any_changed_at: Option<Time>,
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
        self.changed_at
            .retain(|_, changed_at| now.since(*changed_at) <= MEMORY);
        let paths: Vec<_> = routes(after).map(path).collect();
        // Any other route may have taken over the path of one that is gone.
        let is_any_gone = routes(before).any(|route| !paths.contains(&path(route)));
        for route in routes(after) {
            let is_same = known.get(route.name.as_str()).is_some_and(|known| {
                known.backends == route.backends && path(known) == path(route)
            });
            if !is_same || is_any_gone {
                self.changed_at.insert(route.name.clone(), now);
                if is_resumable(route) {
                    self.any_changed_at = Some(now);
                }
            }
        }
    }

    /// Records the time for which a caller waits for a stream.
    pub fn record_limit(&mut self, time_left: Span) {
        let limit = time_left.min(MEMORY).0.next_multiple_of(LIMIT_UNIT);
        if limit > STREAM_LIFETIME.0 {
            self.longest = self.longest.max(Span(limit));
        }
    }

    /// Returns the longest time since the begin of a stream that a caller takes up now.
    #[must_use]
    pub fn max_stream_age(&self) -> Span {
        let recorded = self.records.iter().map(|record| record.longest).max();
        let longest = self.longest.max(recorded.unwrap_or_default());
        longest.max(STREAM_LIFETIME)
    }

    /// Returns whether only the present backend of the route can have begun its streams.
    #[must_use]
    pub fn is_sole(&self, now: Time, route: &Route) -> bool {
        let changed_at = self.changed_at.get(&route.name).copied();
        route.backends.len() == 1 && self.is_settled(now, changed_at) && self.has_same_past(now)
    }

    /// Returns the record of the routes of the manifest in force, or `None` before the first
    /// one.
    #[must_use]
    pub fn to_record(&self, now: Time) -> Option<Record> {
        self.first?;
        Some(Record {
            digest: self.digest,
            longest: self.longest,
            is_settled: self.is_settled(now, self.any_changed_at) && self.has_same_past(now),
        })
    }

    /// Returns whether all streams that may be under way began after a change.
    fn is_settled(&self, now: Time, changed_at: Option<Time>) -> bool {
        changed_at.is_none_or(|changed_at| now > changed_at + self.max_stream_age())
    }

    /// Returns whether no stream that may be under way began under other routes before the
    /// router started.
    fn has_same_past(&self, now: Time) -> bool {
        let Some((started_at, digest)) = self.first else {
            return true;
        };
        if now > started_at + self.max_stream_age() {
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
        for backend in &route.backends {
            add(backend.service.as_str());
        }
        add("");
    }
    hasher.digest().0 as u64
}
