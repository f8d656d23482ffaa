//! Requests that crash their targets.
//!
//! A request is identified by its fingerprint, a digest of workspace, service
//! and body, so resending it under another key or through another router does
//! not evade detection. When a target crashes, every request that ran on it
//! becomes a suspect. A suspect is dispatched only to a target that runs no
//! other suspect. If that target crashes too, the request took part in two
//! crashes. None of the other requests of the first crash ran on the second
//! target, so this request is the probable cause and is refused. A suspect that
//! completes is cleared.

use balsamchute_base::prelude::*;
use balsamchute_wire::exchange::Suspect;
use indexmap::IndexMap;

/// Maximum number of crashes kept for one fingerprint, which bounds the size of a
/// record. It must be at least [`Settings::refusal_crashes`], or nothing would be
/// refused.
const MAX_CRASHES: usize = 8;

/// Time and size limits of a [`Registry`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Number of crashes at which a fingerprint is refused.
    pub refusal_crashes: usize,
    /// Duration of a suspicion after the last change of the record, by a crash or
    /// a merge.
    pub suspicion_period: Span,
    /// Duration of a refusal after the last change of the record, by a crash or a
    /// merge.
    pub refusal_period: Span,
    /// Maximum number of fingerprints kept. Beyond it the least recently
    /// changed one is dropped.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            refusal_crashes: 2,
            suspicion_period: Span::from_secs(600),
            refusal_period: Span::from_secs(3600),
            capacity: 1000,
        }
    }
}

/// Decision on the dispatch of a request, by its fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may be dispatched to any target.
    Unrestricted,
    /// The request may be dispatched only to a target that runs no other
    /// suspect, and only while no other request with this fingerprint is in
    /// flight.
    Isolated,
    /// The request must not be dispatched.
    Refused {
        /// Time until the refusal ends, unless another crash extends it.
        retry_after: Span,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    suspect: Suspect,
    /// Time of the last local or merged change.
    changed_at: Time,
}

/// The suspected and refused fingerprints known to one router.
#[derive(Clone, Debug)]
pub struct Registry {
    settings: Settings,
    entries: IndexMap<u128, Entry>,
}

impl Registry {
    /// Creates a registry without suspects.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Registry {
            settings,
            entries: IndexMap::new(),
        }
    }

    /// Records that a target crashed while it ran a request with this fingerprint. Crashes of
    /// the same name, that of the attempt or of the process that crashed, count as one.
    pub fn record_crash(&mut self, now: Time, fingerprint: u128, crash: &Attempt) {
        let entry = self.entries.get(&fingerprint);
        let suspect = Suspect {
            fingerprint,
            crashes: vec![crash.clone()],
            releases: entry.map_or(0, |entry| entry.suspect.releases),
        };
        self.merge(now, &suspect);
    }

    /// Records that a request with this fingerprint completed. Clears a
    /// suspicion, but not a refusal.
    pub fn record_completion(&mut self, now: Time, fingerprint: u128) {
        if self.admit(now, fingerprint) == Admission::Isolated {
            self.release(now, fingerprint);
        }
    }

    /// Returns whether a request with this fingerprint may be dispatched.
    #[must_use]
    pub fn admit(&self, now: Time, fingerprint: u128) -> Admission {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Admission::Unrestricted;
        };
        let age = now.since(entry.changed_at);
        let refusal_crashes = self.settings.refusal_crashes;
        match entry.suspect.crashes.len() {
            0 => Admission::Unrestricted,
            n if n >= refusal_crashes && age < self.settings.refusal_period => Admission::Refused {
                retry_after: Span(self.settings.refusal_period.0 - age.0),
            },
            n if n < refusal_crashes && age < self.settings.suspicion_period => Admission::Isolated,
            _ => Admission::Unrestricted,
        }
    }

    /// Returns whether there is no record, so that every fingerprint is unrestricted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of crashes of a fingerprint, and the time since they last
    /// changed. They count until the suspicion or the refusal ends.
    #[must_use]
    pub fn crashes(&self, now: Time, fingerprint: u128) -> (usize, Span) {
        match (self.entries.get(&fingerprint), self.admit(now, fingerprint)) {
            (None, _) | (_, Admission::Unrestricted) => (0, Span(0)),
            (Some(entry), _) => (entry.suspect.crashes.len(), now.since(entry.changed_at)),
        }
    }

    /// Clears the crashes of a fingerprint and raises its release count, so that
    /// the clearing wins when records are merged. Returns whether there were any
    /// crashes.
    pub fn release(&mut self, now: Time, fingerprint: u128) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let has_crashes = !entry.suspect.crashes.is_empty();
        if has_crashes {
            entry.suspect.crashes.clear();
            entry.suspect.releases += 1;
            entry.changed_at = now;
        }
        has_crashes
    }

    /// Merges the record of another router. Returns whether the registry changed.
    ///
    /// The result does not depend on the order or repetition of merges: the
    /// higher release count wins, and crashes of equal counts are united.
    pub fn merge(&mut self, now: Time, remote: &Suspect) -> bool {
        if remote.crashes.is_empty() && !self.entries.contains_key(&remote.fingerprint) {
            return false;
        }
        self.make_room(remote.fingerprint);
        let entry = self.entries.entry(remote.fingerprint).or_insert(Entry {
            suspect: Suspect {
                crashes: Vec::new(),
                ..remote.clone()
            },
            changed_at: now,
        });
        let changed = merge_records(&mut entry.suspect, remote);
        if changed {
            entry.changed_at = now;
        }
        changed
    }

    /// Returns at most `limit` records to send to other routers: refusals first, then
    /// the most recently changed ones.
    #[must_use]
    pub fn suspects(&self, limit: usize) -> Vec<Suspect> {
        let mut entries: Vec<&Entry> = self.entries.values().collect();
        entries.sort_by_key(|entry| {
            (
                entry.suspect.crashes.len() < self.settings.refusal_crashes,
                std::cmp::Reverse(entry.changed_at),
                entry.suspect.fingerprint,
            )
        });
        let suspects = entries.into_iter().map(|entry| entry.suspect.clone());
        suspects.take(limit).collect()
    }

    /// Returns the records of the refused fingerprints.
    #[must_use]
    pub fn refusals(&self, now: Time) -> Vec<Suspect> {
        let refused = self.entries.values().filter(|entry| {
            let admission = self.admit(now, entry.suspect.fingerprint);
            matches!(admission, Admission::Refused { .. })
        });
        refused.map(|entry| entry.suspect.clone()).collect()
    }

    /// Clears suspicions and refusals whose period is over, and drops records
    /// that were cleared one suspicion period ago.
    ///
    /// A cleared record stays for that period with a higher release count, so
    /// that merging the older record of a peer does not restore the crashes.
    pub fn expire(&mut self, now: Time) {
        let settings = self.settings;
        self.entries.retain(|_, entry| {
            let age = now.since(entry.changed_at);
            let period = match entry.suspect.crashes.len() {
                n if n >= settings.refusal_crashes => settings.refusal_period,
                _ => settings.suspicion_period,
            };
            if age < period {
                return true;
            }
            let cleared = entry.suspect.crashes.is_empty();
            entry.suspect.crashes.clear();
            entry.suspect.releases += 1;
            entry.changed_at = now;
            !cleared
        });
    }

    /// Drops the least recently changed entry if the registry is full and has no
    /// entry of `fingerprint`.
    fn make_room(&mut self, fingerprint: u128) {
        let full = self.entries.len() >= self.settings.capacity;
        if full && !self.entries.contains_key(&fingerprint) {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(fingerprint, entry)| (entry.changed_at, **fingerprint));
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.entries.swap_remove(&oldest);
            }
        }
    }
}

/// Merges the record `remote` of a fingerprint into `local`. Returns whether `local`
/// changed.
pub fn merge_records(local: &mut Suspect, remote: &Suspect) -> bool {
    let before = (local.releases, local.crashes.clone());
    if remote.releases > local.releases {
        local.releases = remote.releases;
        local.crashes.clear();
    }
    if remote.releases == local.releases {
        local.crashes.extend(remote.crashes.iter().cloned());
        local.crashes.sort();
        local.crashes.dedup();
        local.crashes.truncate(MAX_CRASHES);
    }
    before != (local.releases, local.crashes.clone())
}
