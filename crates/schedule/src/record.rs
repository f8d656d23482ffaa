//! When a router writes its record of versions and streams to the store.
//!
//! Responds to releases: only then do streams have to outlast all routers, and all routers
//! together must stay below a quarter of the store's write rate.

use balsamchute_base::prelude::*;

use crate::version::Set;

/// Shortest interval between writes of streams.
const MIN_INTERVAL: Span = Span(250);

/// Time over which the routers of a large fleet spread the writes after a change.
const SPREAD: Span = Span(2000);

/// Routers from which on writes after a change are spread.
const SPREAD_ROUTERS: u32 = 20;

/// Share of the store's write rate that all routers use together: below a quarter, since
/// routers may disagree on how many they are.
const WRITE_SHARE: f64 = 0.22;

/// Returns whether a record has exactly these versions of each service that has any. A service
/// that lost all its runners needs no write.
#[must_use]
pub fn has_all(record: &Set, versions: &Set) -> bool {
    let mut services = versions.iter();
    services.all(|(service, versions)| record.get(service) == Some(versions))
}

/// Decides when one router writes its record.
#[derive(Clone, Debug)]
pub struct Writer {
    /// Position of this router in the spread, from 0 to below 1.
    position: f64,
    writes_per_s: f64,
    /// Versions in the last record; `None` before the first one.
    versions: Option<Set>,
    /// Number of streams that had begun here at the last record.
    streams: u64,
    written_at: Time,
    /// Time at which a change of the versions was noticed.
    changed_at: Option<Time>,
    /// Whether something else in the record has changed.
    is_outdated: bool,
}

impl Writer {
    /// Creates a writer for a router at a position (0 to below 1) in the spread, and a store
    /// that accepts a number of writes per second.
    #[must_use]
    pub fn new(position: f64, writes_per_s: f64) -> Self {
        Writer {
            position,
            writes_per_s: writes_per_s.max(1.0),
            versions: None,
            streams: 0,
            written_at: Time(0),
            changed_at: None,
            is_outdated: false,
        }
    }

    /// Records that another part of the record than versions and streams has changed. It is
    /// written as often as streams are, by each router at its position in the interval.
    pub fn record_change(&mut self) {
        self.is_outdated = true;
    }

    /// Returns whether the record is to be written now, `streams` being the number of streams
    /// that began at this router. Always `false` before the record of the start.
    pub fn is_due(
        &mut self,
        now: Time,
        routers: u32,
        versions: &Set,
        streams: Option<u64>,
    ) -> bool {
        let Some(written) = &self.versions else {
            return false;
        };
        let waited = now.since(self.written_at);
        if !has_all(written, versions) {
            let changed_at = *self.changed_at.get_or_insert(now);
            let spread = match routers >= SPREAD_ROUTERS {
                true => Span((SPREAD.0 as f64 * self.position) as u64),
                false => Span(0),
            };
            return now.since(changed_at) >= spread && waited >= MIN_INTERVAL;
        }
        let interval = self.interval(routers);
        if self.is_outdated {
            let changed_at = *self.changed_at.get_or_insert(now);
            let spread = Span((interval.0 as f64 * self.position) as u64);
            return now.since(changed_at) >= spread && waited >= interval;
        }
        self.changed_at = None;
        streams.is_some_and(|streams| streams != self.streams) && waited >= interval
    }

    /// Returns the interval between writes of streams in a fleet of `routers`.
    #[must_use]
    pub fn interval(&self, routers: u32) -> Span {
        let all_ms = f64::from(routers) * 1000.0 / (self.writes_per_s * WRITE_SHARE);
        Span(all_ms.ceil() as u64).max(MIN_INTERVAL)
    }

    /// Records that a record with these versions and streams is in the store or on its way.
    pub fn record_write(&mut self, now: Time, versions: Set, streams: u64) {
        self.versions = Some(versions);
        self.streams = streams;
        self.written_at = now;
        self.changed_at = None;
        self.is_outdated = false;
    }

    /// Records that the last write may not have reached the store: the start's write repeats.
    pub fn record_failure(&mut self) {
        self.versions = None;
        self.streams = u64::MAX;
    }
}
