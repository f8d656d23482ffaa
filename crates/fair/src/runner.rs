//! The runners that an owner lends slots of, and how many are free.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balsamchute_base::prelude::*;
use indexmap::IndexMap;
use smallvec::SmallVec;

/// Failures in a row after which a runner is left alone for a while.
const FAILURE_LIMIT: u32 = 3;

/// First pause of a runner that fails.
const FIRST_PAUSE: Span = Span(250);

/// Longest pause of a runner that fails.
const LONGEST_PAUSE: Span = Span(8_000);

/// How long a load report that shows another owner's work is believed.
const FOREIGN_HOLD: Span = Span(3_000);

/// How much later than the runner itself the owner may learn of an end.
const RELEASE_DELAY: Span = Span(500);

/// How long all reports must show fewer requests than loans before loans are
/// taken for lost.
const LEAK_PATIENCE: Span = Span(3_000);

/// What is known of a loan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// When it was granted.
    pub granted: Time,
    /// When its borrower was found to be gone, if it was.
    pub orphaned: Option<Time>,
}

/// Reports in a row that show fewer requests than loans.
#[derive(Clone, Copy, Debug)]
struct Deficit {
    since: Time,
    /// The smallest difference.
    least: usize,
}

#[derive(Debug, Default)]
struct Entry {
    slots: u32,
    draining: bool,
    domain: Option<Domain>,
    loans: BTreeSet<u64>,
    released: VecDeque<Time>,
    foreign: u32,
    foreign_until: Time,
    failures: u32,
    paused_until: Time,
    deficit: Option<Deficit>,
    indexed: u32,
}

impl Entry {
    fn free(&self, now: Time) -> u32 {
        if self.draining || now < self.paused_until {
            return 0;
        }
        let probing = self.failures >= FAILURE_LIMIT;
        let limit = if probing {
            self.slots.min(1)
        } else {
            self.slots
        };
        let loans = u32::try_from(self.loans.len()).unwrap_or(u32::MAX);
        limit.saturating_sub(loans.saturating_add(self.foreign))
    }
}

/// The runners of one service at their owner.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    entries: IndexMap<Runner, Entry>,
    /// Runners with free slots: for each failure domain by free slots.
    ready: BTreeMap<Option<Domain>, BTreeSet<(u32, usize)>>,
    /// Runners whose free slots change when time passes.
    timers: BTreeSet<(Time, usize)>,
    free: u32,
    now: Time,
}

impl Pool {
    pub(crate) fn set(&mut self, runner: &Runner, slots: u32) {
        let index = self.entry_or_default(runner);
        let entry = &mut self.entries[index];
        entry.slots = slots;
        entry.draining = false;
        self.reindex(index);
    }

    pub(crate) fn place(&mut self, runner: &Runner, domain: &Domain) {
        let index = self.entry_or_default(runner);
        self.unindex(index);
        self.entries[index].domain = Some(domain.clone());
        self.reindex(index);
    }

    pub(crate) fn remove(&mut self, runner: &Runner) {
        if let Some(index) = self.entries.get_index_of(runner) {
            self.entries[index].draining = true;
            self.reindex(index);
        }
    }

    pub(crate) fn name(&self, index: usize) -> &Runner {
        self.entries
            .get_index(index)
            .expect("runners are never dropped")
            .0
    }

    pub(crate) fn free(&self) -> u32 {
        self.free
    }

    pub(crate) fn slots(&self) -> u32 {
        let lendable = self.entries.values().filter(|entry| !entry.draining);
        lendable.map(|entry| entry.slots).sum()
    }

    /// Moves time on: pauses and old load reports end.
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

    /// Picks the runner with most free slots, in `near` if one there has any.
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

    pub(crate) fn take_back(&mut self, index: usize, loan: u64, failed: bool, used: bool) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.loans.remove(&loan);
        if used {
            entry.released.push_back(now);
        }
        if failed {
            entry.failures = entry.failures.saturating_add(1);
            if let Some(excess) = entry.failures.checked_sub(FAILURE_LIMIT) {
                let pause = FIRST_PAUSE.0 << excess.min(16);
                entry.paused_until = now + Span(pause.min(LONGEST_PAUSE.0));
                self.timers.insert((entry.paused_until, index));
            }
        } else if used {
            entry.failures = 0;
        }
        self.reindex(index);
    }

    /// Takes a load report in and returns loans that it shows to be lost.
    ///
    /// `standing` tells what is known of a loan.
    pub(crate) fn report(
        &mut self,
        runner: &Runner,
        running: u32,
        age: Span,
        standing: impl Fn(u64) -> Option<Standing>,
    ) -> Vec<u64> {
        let Some(index) = self.entries.get_index_of(runner) else {
            return Vec::new();
        };
        let now = self.now;
        let taken = now - age;
        let entry = &mut self.entries[index];
        while entry
            .released
            .front()
            .is_some_and(|&at| at + RELEASE_DELAY < taken)
        {
            entry.released.pop_front();
        }
        let known = entry.loans.len() + entry.released.len();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        entry.foreign = running.saturating_sub(known);
        entry.foreign_until = now + FOREIGN_HOLD;
        if entry.foreign > 0 {
            self.timers.insert((entry.foreign_until, index));
        }
        let lost = entry.lost(running, taken, standing);
        self.reindex(index);
        lost
    }

    fn entry_or_default(&mut self, runner: &Runner) -> usize {
        let entry = self.entries.entry(runner.clone());
        let index = entry.index();
        entry.or_default();
        index
    }

    fn unindex(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.indexed > 0 {
            if let Some(set) = self.ready.get_mut(&entry.domain) {
                set.remove(&(entry.indexed, index));
            }
            self.free -= entry.indexed;
            entry.indexed = 0;
        }
    }

    fn reindex(&mut self, index: usize) {
        self.unindex(index);
        let entry = &mut self.entries[index];
        let free = entry.free(self.now);
        if free > 0 {
            entry.indexed = free;
            self.free += free;
            let domain = entry.domain.clone();
            self.ready.entry(domain).or_default().insert((free, index));
        }
    }
}

impl Entry {
    fn lost(
        &mut self,
        running: u32,
        taken: Time,
        standing: impl Fn(u64) -> Option<Standing>,
    ) -> Vec<u64> {
        // Loans granted later than the report cannot show in it.
        let loans: SmallVec<[(u64, Standing); 16]> = self
            .loans
            .iter()
            .filter_map(|&loan| Some((loan, standing(loan)?)))
            .filter(|(_, standing)| standing.granted <= taken)
            .collect();
        let missing = loans.len().saturating_sub(running as usize);
        if missing == 0 {
            self.deficit = None;
            return Vec::new();
        }
        let start = Deficit {
            since: taken,
            least: missing,
        };
        let deficit = self.deficit.get_or_insert(start);
        deficit.least = deficit.least.min(missing);
        let Deficit { since, least } = *deficit;
        let gone = loans
            .iter()
            .filter(|(_, one)| one.orphaned.is_some_and(|at| at < taken));
        let mut lost: Vec<u64> = gone.map(|(loan, _)| *loan).take(missing).collect();
        if taken >= since + LEAK_PATIENCE {
            self.deficit = None;
            let throughout = loans.iter().filter(|(_, one)| one.granted <= since);
            lost.extend(throughout.map(|(loan, _)| *loan).take(least));
        }
        lost
    }
}
