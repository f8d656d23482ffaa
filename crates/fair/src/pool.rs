//! Pool of the runners whose slots an owner lends: free slots, outlier ejection
//! and detection of lost releases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balsamchute_base::prelude::*;
use indexmap::IndexMap;
use smallvec::SmallVec;

/// Consecutive failures at which a runner is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Duration of a runner's first ejection; it doubles with each further failure.
const BASE_EJECTION_TIME: Span = Span(250);

/// Upper limit of the duration of an ejection.
const MAX_EJECTION_TIME: Span = Span(8_000);

/// Time for which requests of other owners in a load report reduce the free
/// slots.
const FOREIGN_LOAD_TTL: Span = Span(3_000);

/// Time after a release at the owner for which a load report may still show the
/// request as running.
const RELEASE_VISIBILITY_DELAY: Span = Span(500);

/// Time for which all load reports must show fewer requests than loans before
/// the excess loans count as lost.
const LEAK_DETECTION_TIME: Span = Span(3_000);

/// Times at which the state of a loan changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lifecycle {
    /// Time of the grant.
    pub granted_at: Time,
    /// Time at which the borrower was found to be gone, if it was.
    pub orphaned_at: Option<Time>,
}

/// Consecutive load reports that show fewer requests than loans.
#[derive(Clone, Copy, Debug)]
struct Deficit {
    since: Time,
    /// Smallest deficit among the reports, in loans.
    least_missing: usize,
}

#[derive(Debug, Default)]
struct Entry {
    /// Slots of the runner, free and lent.
    slots: u32,
    draining: bool,
    domain: Option<Domain>,
    /// Numbers of the active loans.
    loans: BTreeSet<u64>,
    /// Times of recent releases, whose requests a load report may still show.
    releases: VecDeque<Time>,
    /// Requests of other owners, by the last load report.
    foreign: u32,
    foreign_until: Time,
    consecutive_failures: u32,
    ejected_until: Time,
    deficit: Option<Deficit>,
    /// Free slots under which the runner is in `Pool::ready`, 0 if it is not.
    indexed_free: u32,
}

impl Entry {
    fn free(&self, now: Time) -> u32 {
        if self.draining || now < self.ejected_until {
            return 0;
        }
        // After an ejection, the runner gets one request at a time until one
        // succeeds.
        let is_probed = self.consecutive_failures >= EJECTION_FAILURES;
        let limit = if is_probed {
            self.slots.min(1)
        } else {
            self.slots
        };
        let loans = u32::try_from(self.loans.len()).unwrap_or(u32::MAX);
        limit.saturating_sub(loans.saturating_add(self.foreign))
    }
}

/// Runners of one service at their owner.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    entries: IndexMap<Runner, Entry>,
    /// Runners with free slots, by failure domain and by number of free slots.
    ready: BTreeMap<Option<Domain>, BTreeSet<(u32, usize)>>,
    /// Times at which an ejection or the foreign load of a runner ends.
    timers: BTreeSet<(Time, usize)>,
    free: u32,
    now: Time,
}

impl Pool {
    /// Adds a runner or changes its slots, and ends any draining of it.
    pub(crate) fn set_slots(&mut self, runner: &Runner, slots: u32) {
        let index = self.entry_or_default(runner);
        let entry = &mut self.entries[index];
        entry.slots = slots;
        entry.draining = false;
        self.reindex(index);
    }

    pub(crate) fn set_domain(&mut self, runner: &Runner, domain: &Domain) {
        let index = self.entry_or_default(runner);
        self.unindex(index);
        self.entries[index].domain = Some(domain.clone());
        self.reindex(index);
    }

    /// Drains a runner: its slots are not lent any more, its loans continue.
    pub(crate) fn drain(&mut self, runner: &Runner) {
        if let Some(index) = self.entries.get_index_of(runner) {
            self.entries[index].draining = true;
            self.reindex(index);
        }
    }

    pub(crate) fn runner(&self, index: usize) -> &Runner {
        self.entries
            .get_index(index)
            .expect("the pool never removes a runner")
            .0
    }

    pub(crate) fn free(&self) -> u32 {
        self.free
    }

    pub(crate) fn slots(&self) -> u32 {
        let lendable = self.entries.values().filter(|entry| !entry.draining);
        lendable.map(|entry| entry.slots).sum()
    }

    /// Advances the time, and ends ejections and foreign load that are due.
    pub(crate) fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        while let Some(&(due, index)) = self.timers.first() {
            if due > self.now {
                break;
            }
            self.timers.pop_first();
            let entry = &mut self.entries[index];
            if entry.foreign_until <= self.now {
                entry.foreign = 0;
            }
            self.reindex(index);
        }
    }

    /// Picks the runner with most free slots in the failure domain `near`, or in
    /// any domain if none is free there.
    pub(crate) fn pick(&self, near: Option<&Domain>) -> Option<usize> {
        let local = near.and_then(|domain| self.ready.get(&Some(domain.clone())));
        if let Some((_, index)) = local.and_then(BTreeSet::last) {
            return Some(*index);
        }
        let best = self.ready.values().filter_map(BTreeSet::last).max();
        best.map(|(_, index)| *index)
    }

    pub(crate) fn lend(&mut self, index: usize, loan: u64) {
        self.entries[index].loans.insert(loan);
        self.reindex(index);
    }

    /// Ends a loan. `used` says whether a request ran on it, `failed` whether the
    /// runner failed.
    pub(crate) fn end_loan(&mut self, index: usize, loan: u64, failed: bool, used: bool) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.loans.remove(&loan);
        if used {
            entry.releases.push_back(now);
        }
        if failed {
            entry.consecutive_failures = entry.consecutive_failures.saturating_add(1);
            if let Some(excess) = entry.consecutive_failures.checked_sub(EJECTION_FAILURES) {
                let ejection_ms = BASE_EJECTION_TIME.0 << excess.min(16);
                entry.ejected_until = now + Span(ejection_ms.min(MAX_EJECTION_TIME.0));
                self.timers.insert((entry.ejected_until, index));
            }
        } else if used {
            entry.consecutive_failures = 0;
        }
        self.reindex(index);
    }

    /// Applies a load report that was taken `age` ago, and returns the loans that
    /// it shows to be lost.
    ///
    /// `lifecycle_of` returns the times of a loan, or `None` if it has ended.
    pub(crate) fn report_load(
        &mut self,
        runner: &Runner,
        running: u32,
        age: Span,
        lifecycle_of: impl Fn(u64) -> Option<Lifecycle>,
    ) -> Vec<u64> {
        let Some(index) = self.entries.get_index_of(runner) else {
            return Vec::new();
        };
        let now = self.now;
        let taken_at = now - age;
        let entry = &mut self.entries[index];
        while entry
            .releases
            .front()
            .is_some_and(|&released_at| released_at + RELEASE_VISIBILITY_DELAY < taken_at)
        {
            entry.releases.pop_front();
        }
        let expected = entry.loans.len() + entry.releases.len();
        let expected = u32::try_from(expected).unwrap_or(u32::MAX);
        entry.foreign = running.saturating_sub(expected);
        entry.foreign_until = now + FOREIGN_LOAD_TTL;
        if entry.foreign > 0 {
            self.timers.insert((entry.foreign_until, index));
        }
        let lost = entry.lost_loans(running, taken_at, lifecycle_of);
        self.reindex(index);
        lost
    }

    fn entry_or_default(&mut self, runner: &Runner) -> usize {
        let entry = self.entries.entry(runner.clone());
        let index = entry.index();
        entry.or_default();
        index
    }

    /// Removes a runner from `ready` and its slots from `free`.
    fn unindex(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.indexed_free > 0 {
            if let Some(set) = self.ready.get_mut(&entry.domain) {
                set.remove(&(entry.indexed_free, index));
            }
            self.free -= entry.indexed_free;
            entry.indexed_free = 0;
        }
    }

    /// Updates `ready` and `free` after a change of a runner.
    fn reindex(&mut self, index: usize) {
        self.unindex(index);
        let entry = &mut self.entries[index];
        let free = entry.free(self.now);
        if free > 0 {
            entry.indexed_free = free;
            self.free += free;
            let domain = entry.domain.clone();
            self.ready.entry(domain).or_default().insert((free, index));
        }
    }
}

impl Entry {
    /// Returns the loans whose releases are lost, by a report of `running`
    /// requests at `taken_at`: orphaned loans at once, others after
    /// [`LEAK_DETECTION_TIME`].
    fn lost_loans(
        &mut self,
        running: u32,
        taken_at: Time,
        lifecycle_of: impl Fn(u64) -> Option<Lifecycle>,
    ) -> Vec<u64> {
        // The report cannot show loans granted after it was taken.
        let loans: SmallVec<[(u64, Lifecycle); 16]> = self
            .loans
            .iter()
            .filter_map(|&loan| Some((loan, lifecycle_of(loan)?)))
            .filter(|(_, lifecycle)| lifecycle.granted_at <= taken_at)
            .collect();
        let missing = loans.len().saturating_sub(running as usize);
        if missing == 0 {
            self.deficit = None;
            return Vec::new();
        }
        let new_deficit = Deficit {
            since: taken_at,
            least_missing: missing,
        };
        let deficit = self.deficit.get_or_insert(new_deficit);
        deficit.least_missing = deficit.least_missing.min(missing);
        let Deficit {
            since,
            least_missing,
        } = *deficit;
        let orphaned = loans.iter().filter(|(_, lifecycle)| {
            lifecycle
                .orphaned_at
                .is_some_and(|orphaned_at| orphaned_at < taken_at)
        });
        let mut lost: Vec<u64> = orphaned.map(|(loan, _)| *loan).take(missing).collect();
        if taken_at >= since + LEAK_DETECTION_TIME {
            self.deficit = None;
            let oldest = loans
                .iter()
                .filter(|(_, lifecycle)| lifecycle.granted_at <= since);
            lost.extend(oldest.map(|(loan, _)| *loan).take(least_missing));
        }
        lost
    }
}
