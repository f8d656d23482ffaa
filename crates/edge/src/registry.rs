//! The runners that the platform lists.
//!
//! A runner whose entry goes is leaving and gets no new work, with one
//! exception: while the store is away, entries lapse although their runners
//! live. Those come back soon after the store does, so a removal that is seen
//! then waits for [`LAPSE_WAIT`].

use balsamchute_model::prelude::*;
use indexmap::IndexMap;

/// Time that the platform gives lapsed entries to come back.
pub const LAPSE_WAIT: Span = Span(2000);

/// A change of the runners in use.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A runner is new or changed.
    Set(Entry),
    /// A runner is gone.
    Gone(Runner),
}

/// The runners.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: IndexMap<Runner, Entry>,
    // Removals that wait, by the time at which they take effect.
    lapsed: IndexMap<Runner, Time>,
    returned: Option<Time>,
    revision: u64,
}

impl Registry {
    /// Creates a registry without runners.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the store up to which changes are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a runner.
    #[must_use]
    pub fn get(&self, runner: &Runner) -> Option<&Entry> {
        self.entries.get(runner)
    }

    /// Returns the runners.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Records that the store answers again after it did not.
    pub fn store_returned(&mut self, now: Time) {
        self.returned = Some(now);
    }

    /// Takes in an entry.
    pub fn set(&mut self, entry: Entry) -> Option<Change> {
        self.lapsed.shift_remove(&entry.runner);
        let old = self.entries.insert(entry.runner.clone(), entry.clone());
        (old.as_ref() != Some(&entry)).then_some(Change::Set(entry))
    }

    /// Takes in that an entry was removed.
    pub fn remove(&mut self, now: Time, runner: &Runner) -> Option<Change> {
        let entry = self.entries.get(runner)?;
        let effective = self.returned.map(|at| at + LAPSE_WAIT);
        match effective {
            Some(at) if now < at && entry.state == State::Ready => {
                self.lapsed.entry(runner.clone()).or_insert(at);
                None
            }
            _ => {
                self.lapsed.shift_remove(runner);
                self.entries.shift_remove(runner);
                Some(Change::Gone(runner.clone()))
            }
        }
    }

    /// Takes in a whole list as of `revision`.
    pub fn replace(&mut self, now: Time, entries: Vec<Entry>, revision: u64) -> Vec<Change> {
        self.advance_to(revision);
        let missing: Vec<Runner> = self
            .entries
            .keys()
            .filter(|runner| !entries.iter().any(|entry| entry.runner == **runner))
            .cloned()
            .collect();
        let gone = missing.iter().filter_map(|runner| self.remove(now, runner));
        let mut changes: Vec<Change> = gone.collect();
        changes.extend(entries.into_iter().filter_map(|entry| self.set(entry)));
        changes
    }

    /// Records that changes up to `revision` are known.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Carries out the removals whose wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let due: Vec<Runner> = self
            .lapsed
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(runner, _)| runner.clone())
            .collect();
        for runner in &due {
            self.lapsed.shift_remove(runner);
            self.entries.shift_remove(runner);
        }
        due.into_iter().map(Change::Gone).collect()
    }
}
