//! Bookkeeping of a target: execution records, load, slot time and fencing.

use std::collections::{HashMap, VecDeque};

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;

use crate::clock;
use crate::record::{Outcome, Record};

/// Maximum number of past load changes kept for delayed load reports.
const MAX_HISTORY_CHANGES: usize = 10_000;

/// Execution to start, as passed to [`Ledger::start`].
pub struct Execution<'a> {
    /// ID of the attempt.
    pub attempt: &'a str,
    /// ID of the request.
    pub request: &'a str,
    /// Workspace of the request.
    pub workspace: &'a str,
    /// Idempotency key of a non-idempotent request.
    pub key: Option<&'a str>,
    /// Fencing number of the attempt, checked per workspace and key.
    pub fence: Option<u64>,
    /// Request body, of which the record keeps the digest.
    pub body: &'a [u8],
}

/// Load of a target at a point in the past.
pub struct LoadReport {
    /// Executions that were running at that time.
    pub running: u32,
    /// Age of the report.
    pub age: Span,
}

/// Execution records of a target, with its load and fencing state.
pub struct Ledger {
    slots: u32,
    checks_fence: bool,
    records: Vec<Record>,
    running: u32,
    peak_running: u32,
    /// Slot time used up to `changed_at`, in milliseconds.
    busy_ms: u64,
    /// Last change of `running`.
    changed_at: Time,
    /// Changes of `running`, with the time of each, oldest first.
    history: VecDeque<(Time, u32)>,
    /// Highest accepted fencing number by workspace and key.
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
            peak_running: 0,
            busy_ms: 0,
            changed_at: now,
            history: VecDeque::from([(now, 0)]),
            fences: HashMap::new(),
        }
    }

    /// Starts an execution and returns the index of its record, or `None` if its
    /// fencing number is stale.
    pub fn start(&mut self, execution: &Execution<'_>) -> Option<usize> {
        if !self.accepts_fence(execution) {
            return None;
        }
        self.records.push(Record {
            attempt: execution.attempt.to_owned(),
            request: execution.request.to_owned(),
            workspace: execution.workspace.to_owned(),
            key: execution.key.map(str::to_owned),
            digest: Digest::new(execution.body),
            started_at: clock::now(),
            finished_at: None,
            cost: Cost(0),
            outcome: None,
            resumptions: 0,
        });
        self.set_running(self.running + 1);
        Some(self.records.len() - 1)
    }

    fn accepts_fence(&mut self, execution: &Execution<'_>) -> bool {
        let (Some(key), Some(fence)) = (execution.key, execution.fence) else {
            return true;
        };
        if !self.checks_fence {
            return true;
        }
        let fence_key = (execution.workspace.to_owned(), key.to_owned());
        let highest = self.fences.get(&fence_key).copied();
        if highest.is_some_and(|highest| fence <= highest) {
            return false;
        }
        self.fences.insert(fence_key, fence);
        true
    }

    /// Ends an execution. Does nothing if it has ended already.
    pub fn finish(&mut self, index: usize, end: Outcome) {
        let record = &mut self.records[index];
        if record.outcome.is_some() {
            return;
        }
        record.outcome = Some(end);
        record.finished_at = Some(clock::now());
        self.set_running(self.running - 1);
    }

    /// Ends all running executions as crashed and clears the fencing numbers.
    pub fn crash(&mut self) {
        let records = self.records.iter().enumerate();
        let unfinished = records.filter(|(_, record)| record.outcome.is_none());
        let indices: Vec<usize> = unfinished.map(|(index, _)| index).collect();
        for index in indices {
            self.finish(index, Outcome::Crashed);
        }
        self.fences.clear();
    }

    /// Sets the cost that an execution has incurred so far.
    pub fn set_cost(&mut self, index: usize, cost: Cost) {
        self.records[index].cost = cost;
    }

    /// Increments the number of times that the stream of an execution was
    /// resumed.
    pub fn record_resumption(&mut self, index: usize) {
        self.records[index].resumptions += 1;
    }

    /// Returns the execution records, oldest first.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the number of running executions.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the highest number of executions that ran concurrently.
    #[must_use]
    pub fn peak_running(&self) -> u32 {
        self.peak_running
    }

    /// Returns the slot time used up to now, in milliseconds: the number of
    /// running executions, capped at the number of slots, integrated over time.
    #[must_use]
    pub fn busy_ms(&self) -> u64 {
        let elapsed_ms = clock::now().since(self.changed_at).as_millis();
        self.busy_ms + elapsed_ms * u64::from(self.running.min(self.slots))
    }

    /// Returns the factor by which executions slow down: running executions per
    /// slot, at least 1.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        (f64::from(self.running) / f64::from(self.slots.max(1))).max(1.0)
    }

    /// Returns the load as it was `lag` ago.
    #[must_use]
    pub fn load_report(&self, lag: Span) -> LoadReport {
        let now = clock::now();
        let mut newest_first = self.history.iter().rev();
        let entry = newest_first.find(|(since, _)| now.since(*since) >= lag);
        let running = entry
            .or(self.history.front())
            .map_or(0, |&(_, running)| running);
        LoadReport { running, age: lag }
    }

    fn set_running(&mut self, running: u32) {
        self.busy_ms = self.busy_ms();
        self.changed_at = clock::now();
        self.running = running;
        self.peak_running = self.peak_running.max(running);
        self.history.push_back((self.changed_at, running));
        if self.history.len() > MAX_HISTORY_CHANGES {
            self.history.pop_front();
        }
    }
}
