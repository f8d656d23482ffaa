//! Registry of the runners listed in the platform's store.
//!
//! A runner whose entry is removed gets no new requests. While the store is
//! unavailable, entries expire although their runners are alive. They reappear
//! soon after the store recovers, so a removal seen shortly after a recovery
//! takes effect only after [`REMOVAL_GRACE`].
//!
//! A store that comes back from an older copy lists runners as they were when the
//! copy was made. Its first list does not undo what was known of a runner: one that
//! drains or has restarted stays as it is, and one that was removed is held back
//! until its entry expires in the store, or the runner itself writes it again.

use balsamchute_model::prelude::*;
use indexmap::IndexMap;

/// Time after a store recovery in which the platform restores expired entries.
pub const REMOVAL_GRACE: Span = Span(2000);

/// Check-in intervals of a runner after which the store removes its entry.
const EXPIRY_INTERVALS: u64 = 3;

/// Upper bound of the removed runners that are remembered, the latest ones.
const MAX_DEPARTED: usize = 1024;

/// A change to the runners in use.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A runner was added, or its entry changed.
    Set(Entry),
    /// A runner was removed.
    Removed(Runner),
}

impl Change {
    /// Returns the runner that the change concerns.
    #[must_use]
    pub fn runner(&self) -> &Runner {
        match self {
            Change::Set(entry) => &entry.runner,
            Change::Removed(runner) => runner,
        }
    }

    /// Returns whether the runner may get requests after the change. Of several changes those
    /// that do not come first, as waiting requests are sent with each.
    fn adds_capacity(&self) -> bool {
        matches!(self, Change::Set(entry) if entry.state == State::Ready)
    }
}

/// Source of a change to the runners in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A list or a watch of the store.
    Store,
    /// The view of another router.
    Peer,
    /// The end of the time for which a change was deferred.
    Timer,
}

impl Source {
    /// Returns the name of the source in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
            Source::Timer => "timer",
        }
    }
}

/// Entry that takes effect later.
#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    due: Time,
}

/// Runners in use, with deferred removals and entries that are held back.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: IndexMap<Runner, Entry>,
    // Times at which deferred removals take effect.
    deferred_removals: IndexMap<Runner, Time>,
    // Removals that were deferred since they were last taken, with the time that was left.
    new_deferrals: Vec<(Runner, Span)>,
    store_recovered: Option<Time>,
    // Time after which the store removes the entry of a runner that is gone.
    expiry: Span,
    held: IndexMap<Runner, Held>,
    // Start times of the runners that were removed, the oldest removal first.
    departed: IndexMap<Runner, u64>,
    revision: Revision,
}

impl Registry {
    /// Creates a registry without runners. Runners write to the store every
    /// `heartbeat`.
    #[must_use]
    pub fn new(heartbeat: Span) -> Self {
        Registry {
            expiry: Span(heartbeat.0 * EXPIRY_INTERVALS) + REMOVAL_GRACE,
            ..Self::default()
        }
    }

    /// Returns the store revision up to which changes are applied.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the entry of a runner that is in use.
    #[must_use]
    pub fn get(&self, runner: &Runner) -> Option<&Entry> {
        self.entries.get(runner)
    }

    /// Returns the entries of all runners in use.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Records that the store responds again after an outage.
    pub fn record_store_recovery(&mut self, now: Time) {
        self.store_recovered = Some(now);
    }

    /// Returns the entries that are held back.
    pub fn held(&self) -> impl Iterator<Item = &Entry> {
        self.held.values().map(|held| &held.entry)
    }

    /// Returns the runners whose removal is deferred, with the time that is left.
    pub fn expiring(&self, now: Time) -> impl Iterator<Item = (Runner, Span)> {
        let deferred = self.deferred_removals.iter();
        deferred.map(move |(runner, due)| (runner.clone(), due.since(now)))
    }

    /// Removes and returns the removals that were deferred since the last call, with the time
    /// that was left when they were.
    pub fn take_deferrals(&mut self) -> Vec<(Runner, Span)> {
        std::mem::take(&mut self.new_deferrals)
    }

    /// Holds an entry back that another router holds back, unless the runner has
    /// restarted since. Returns the removal if the runner was in use.
    pub fn hold(&mut self, now: Time, entry: Entry) -> Option<Change> {
        let runner = entry.runner.clone();
        if let Some(known) = self.entries.get(&runner)
            && known.started_at > entry.started_at
        {
            return None;
        }
        let due = now + self.expiry;
        self.held.insert(runner.clone(), Held { entry, due });
        let known = self.entries.shift_remove(&runner);
        known.map(|_| Change::Removed(runner))
    }

    /// Inserts or updates an entry. Returns `None` if nothing changed.
    pub fn set(&mut self, entry: Entry) -> Option<Change> {
        self.deferred_removals.shift_remove(&entry.runner);
        self.departed.shift_remove(&entry.runner);
        self.held.shift_remove(&entry.runner);
        let previous = self.entries.insert(entry.runner.clone(), entry.clone());
        (previous.as_ref() != Some(&entry)).then_some(Change::Set(entry))
    }

    /// Removes a runner, or defers the removal shortly after a store recovery.
    pub fn remove(&mut self, now: Time, runner: &Runner) -> Option<Change> {
        self.held.shift_remove(runner);
        let entry = self.entries.get(runner)?;
        let grace_end = self
            .store_recovered
            .map(|recovered| recovered + REMOVAL_GRACE);
        match grace_end {
            Some(due) if now < due && entry.state == State::Ready => {
                if !self.deferred_removals.contains_key(runner) {
                    self.deferred_removals.insert(runner.clone(), due);
                    self.new_deferrals.push((runner.clone(), due.since(now)));
                }
                None
            }
            _ => {
                self.discard(runner);
                Some(Change::Removed(runner.clone()))
            }
        }
    }

    fn discard(&mut self, runner: &Runner) {
        self.deferred_removals.shift_remove(runner);
        let Some(entry) = self.entries.shift_remove(runner) else {
            return;
        };
        self.departed.insert(entry.runner, entry.started_at);
        if self.departed.len() > MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
    }

    /// Replaces all entries by a full list as of `revision`. The first list of a
    /// later era does not bring back runners that were removed.
    pub fn replace(&mut self, now: Time, entries: Vec<Entry>, revision: Revision) -> Vec<Change> {
        let is_restored = revision.era > self.revision.era;
        self.advance_to(revision);
        let is_listed = |runner: &Runner| entries.iter().any(|entry| entry.runner == *runner);
        let known = self.entries.keys().chain(self.held.keys());
        let missing: Vec<Runner> = known
            .filter(|&runner| !is_listed(runner))
            .cloned()
            .collect();
        let removed = missing.iter().filter_map(|runner| self.remove(now, runner));
        let mut changes: Vec<Change> = removed.collect();
        for entry in entries {
            if self.is_outdated(&entry) {
                self.deferred_removals.shift_remove(&entry.runner);
            } else if self.is_held_back(&entry, is_restored) {
                let due = now + self.expiry;
                let runner = entry.runner.clone();
                self.held.entry(runner).or_insert(Held { entry, due });
            } else {
                changes.extend(self.set(entry));
            }
        }
        changes.sort_by_key(Change::adds_capacity);
        changes
    }

    /// Replaces all entries by those of another router as of `revision`. Each removal that is
    /// deferred there, with the time that is left, takes effect here at the same time, since
    /// the store's revision does not rise with it, or earlier if it took or takes effect here
    /// earlier.
    pub fn replace_by_view(
        &mut self,
        now: Time,
        mut entries: Vec<Entry>,
        expiring: Vec<(Runner, Span)>,
        revision: Revision,
    ) -> Vec<Change> {
        entries.retain(|entry| {
            let is_expiring = expiring.iter().any(|(runner, _)| *runner == entry.runner);
            !(is_expiring && self.has_departed(entry))
        });
        let known_dues = self.deferred_removals.clone();
        let changes = self.replace(now, entries, revision);
        for (runner, left) in expiring {
            if self.entries.contains_key(&runner) {
                let known_due = known_dues.get(&runner).copied();
                let due = known_due.map_or(now + left, |known_due| known_due.min(now + left));
                if known_due.is_none() {
                    self.new_deferrals.push((runner.clone(), left));
                }
                self.deferred_removals.insert(runner, due);
            }
        }
        changes
    }

    /// Returns whether a listed entry is older than what is known of the runner. A
    /// process that drains never accepts requests again.
    fn is_outdated(&self, listed: &Entry) -> bool {
        self.entries.get(&listed.runner).is_some_and(|known| {
            listed.started_at < known.started_at
                || (listed.started_at == known.started_at
                    && known.state == State::Draining
                    && listed.state == State::Ready)
        })
    }

    /// Returns whether the process of the runner that is listed was removed.
    fn has_departed(&self, listed: &Entry) -> bool {
        let departed = self.departed.get(&listed.runner);
        departed.is_some_and(|&started_at| listed.started_at <= started_at)
    }

    fn is_held_back(&self, listed: &Entry, is_restored: bool) -> bool {
        let held = self.held.get(&listed.runner);
        let held_start = held.map(|held| held.entry.started_at);
        let departed = self.departed.get(&listed.runner).copied();
        held_start
            .or(departed.filter(|_| is_restored))
            .is_some_and(|started_at| listed.started_at <= started_at)
    }

    /// Applies the changes that a watch returned, up to `revision`, unless a view of another
    /// router already included them. Only the last change of each runner counts: a watch
    /// from an old revision repeats what is known already.
    pub fn apply(&mut self, now: Time, changes: Vec<Change>, revision: Revision) -> Vec<Change> {
        if revision <= self.revision {
            return Vec::new();
        }
        self.advance_to(revision);
        let mut last_changes = IndexMap::new();
        for change in changes {
            last_changes.insert(change.runner().clone(), change);
        }
        let mut applied: Vec<Change> = last_changes
            .into_values()
            .filter_map(|change| match change {
                Change::Set(entry) => self.set(entry),
                Change::Removed(runner) => self.remove(now, &runner),
            })
            .collect();
        applied.sort_by_key(Change::adds_capacity);
        applied
    }

    /// Records that changes up to `revision` are applied.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Applies the deferred removals and the entries held back that are due.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let due = self.deferred_removals.iter();
        let expired: Vec<Runner> = due
            .filter(|(_, due)| now >= **due)
            .map(|(runner, _)| runner.clone())
            .collect();
        let due = self.held.values().filter(|held| now >= held.due);
        let released: Vec<Entry> = due.map(|held| held.entry.clone()).collect();
        for runner in &expired {
            self.discard(runner);
        }
        let mut changes: Vec<Change> = expired.into_iter().map(Change::Removed).collect();
        changes.extend(released.into_iter().filter_map(|entry| self.set(entry)));
        changes
    }
}
