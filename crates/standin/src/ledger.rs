//! What every target keeps: records, load, slot time and fencing numbers.

use std::collections::{HashMap, VecDeque};

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;

use crate::clock;
use crate::record::{End, Record};

/// Changes of the load that are remembered for late reports.
const MAX_HISTORY: usize = 10_000;

/// An execution that asks to start.
pub struct Start<'a> {
    /// The attempt.
    pub attempt: &'a str,
    /// The request.
    pub request: &'a str,
    /// The workspace.
    pub workspace: &'a str,
    /// Key of a non-idempotent request.
    pub key: Option<&'a str>,
    /// Fencing number.
    pub fence: Option<u64>,
    /// The body.
    pub body: &'a [u8],
}

/// A load report.
pub struct Load {
    /// Requests that ran at that time.
    pub running: u32,
    /// How old the report is.
    pub age: Span,
}

/// The ledger.
pub struct Ledger {
    slots: u32,
    checks_fence: bool,
    records: Vec<Record>,
    running: u32,
    peak: u32,
    busy_ms: u64,
    changed: Time,
    history: VecDeque<(Time, u32)>,
    /// Highest fencing number for each workspace and key.
    fences: HashMap<(String, String), u64>,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(slots: u32, checks_fence: bool) -> Self {
        let now = clock::now();
        Self {
            slots,
            checks_fence,
            records: Vec::new(),
            running: 0,
            peak: 0,
            busy_ms: 0,
            changed: now,
            history: VecDeque::from([(now, 0)]),
            fences: HashMap::new(),
        }
    }

    /// Starts an execution and returns its place, `None` if its fencing number
    /// is old.
    pub fn start(&mut self, start: &Start<'_>) -> Option<usize> {
        if !self.admits(start) {
            return None;
        }
        self.records.push(Record {
            attempt: start.attempt.to_owned(),
            request: start.request.to_owned(),
            workspace: start.workspace.to_owned(),
            key: start.key.map(str::to_owned),
            digest: Digest::new(start.body),
            started: clock::now(),
            finished: None,
            cost: Cost(0),
            end: None,
            resumed: 0,
        });
        self.set_running(self.running + 1);
        Some(self.records.len() - 1)
    }

    fn admits(&mut self, start: &Start<'_>) -> bool {
        let (Some(key), Some(fence)) = (start.key, start.fence) else {
            return true;
        };
        if !self.checks_fence {
            return true;
        }
        let name = (start.workspace.to_owned(), key.to_owned());
        let highest = self.fences.get(&name).copied();
        if highest.is_some_and(|highest| fence <= highest) {
            return false;
        }
        self.fences.insert(name, fence);
        true
    }

    /// Ends an execution that has not ended yet.
    pub fn finish(&mut self, place: usize, end: End) {
        let record = &mut self.records[place];
        if record.end.is_some() {
            return;
        }
        record.end = Some(end);
        record.finished = Some(clock::now());
        self.set_running(self.running - 1);
    }

    /// Ends all executions as crashed.
    pub fn crash(&mut self) {
        let running = self.records.iter().enumerate();
        let running = running.filter(|(_, record)| record.end.is_none());
        let places: Vec<usize> = running.map(|(place, _)| place).collect();
        for place in places {
            self.finish(place, End::Crashed);
        }
        self.fences.clear();
    }

    /// Sets the cost of an execution up to now.
    pub fn set_cost(&mut self, place: usize, cost: Cost) {
        self.records[place].cost = cost;
    }

    /// Counts a resumption.
    pub fn record_resumption(&mut self, place: usize) {
        self.records[place].resumed += 1;
    }

    /// Returns the records, oldest first.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the number of executions under way.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the most executions that were under way at once.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.peak
    }

    /// Returns the slot time used up to now: the integral over time of the
    /// executions under way, up to the number of slots, in milliseconds.
    #[must_use]
    pub fn busy_ms(&self) -> u64 {
        let passed = clock::now().since(self.changed).as_millis();
        self.busy_ms + passed * u64::from(self.running.min(self.slots))
    }

    /// Returns by how much executions slow down, 1 while there are slots.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        (f64::from(self.running) / f64::from(self.slots.max(1))).max(1.0)
    }

    /// Returns the load as it was one `lag` ago.
    #[must_use]
    pub fn load(&self, lag: Span) -> Load {
        let now = clock::now();
        let mut past = self.history.iter().rev();
        let seen = past.find(|(since, _)| now.since(*since) >= lag);
        let running = seen.or(self.history.front()).map_or(0, |&(_, n)| n);
        Load { running, age: lag }
    }

    fn set_running(&mut self, running: u32) {
        self.busy_ms = self.busy_ms();
        self.changed = clock::now();
        self.running = running;
        self.peak = self.peak.max(running);
        self.history.push_back((self.changed, running));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}
