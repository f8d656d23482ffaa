//! Requests that crash their targets.
//!
//! A request is recognised by its fingerprint, a digest of workspace, service
//! and body, so resending it under another key or at another router does not
//! hide it. When a target crashes, every request that ran on it is suspected.
//! A suspected request is dispatched only to a target that runs no other
//! suspected one. Should that target crash too, the request had part in two
//! crashes and no bystander of the first crash was near the second: it is
//! refused. A suspected request that completes is cleared.

use balsamchute_base::prelude::*;
use balsamchute_wire::exchange::Suspect;
use indexmap::IndexMap;

/// Crashes after which a fingerprint is refused.
pub const REFUSED_AFTER: usize = 2;

/// Crashes kept for one fingerprint.
const MAX_CRASHES: usize = 8;

/// Limits of a book.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// How long a suspicion lasts after the last crash.
    pub suspicion: Span,
    /// How long a refusal lasts after the last crash.
    pub refusal: Span,
    /// Fingerprints kept at most.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            suspicion: Span::from_secs(600),
            refusal: Span::from_secs(3600),
            capacity: 1000,
        }
    }
}

/// Whether and how a request may be dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Like any other.
    Free,
    /// Only to a target that runs no other suspected request, and only while
    /// no other request of this fingerprint is under way.
    Alone,
    /// Not at all.
    Refused {
        /// When the refusal ends, unless it crashes a target again.
        retry: Span,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    suspect: Suspect,
    changed: Time,
}

/// The suspected and refused fingerprints that a router knows.
#[derive(Clone, Debug)]
pub struct Book {
    settings: Settings,
    entries: IndexMap<u128, Entry>,
}

impl Book {
    /// Creates a book that suspects nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Book {
            settings,
            entries: IndexMap::new(),
        }
    }

    /// Records that a target crashed while it ran `attempt`.
    pub fn crash(&mut self, now: Time, fingerprint: u128, attempt: &Attempt) {
        let releases = self.entries.get(&fingerprint);
        let suspect = Suspect {
            fingerprint,
            crashes: vec![attempt.clone()],
            releases: releases.map_or(0, |entry| entry.suspect.releases),
        };
        self.merge(now, &suspect);
    }

    /// Records that a request of this fingerprint completed, which clears a
    /// suspicion. A refusal stands.
    pub fn complete(&mut self, now: Time, fingerprint: u128) {
        if self.admit(now, fingerprint) == Admission::Alone {
            self.release(now, fingerprint);
        }
    }

    /// Returns whether a request of this fingerprint may be dispatched.
    #[must_use]
    pub fn admit(&self, now: Time, fingerprint: u128) -> Admission {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Admission::Free;
        };
        let age = now.since(entry.changed);
        match entry.suspect.crashes.len() {
            0 => Admission::Free,
            n if n >= REFUSED_AFTER && age < self.settings.refusal => Admission::Refused {
                retry: Span(self.settings.refusal.0 - age.0),
            },
            n if n < REFUSED_AFTER && age < self.settings.suspicion => Admission::Alone,
            _ => Admission::Free,
        }
    }

    /// Voids the crashes of a fingerprint; returns whether there were any.
    pub fn release(&mut self, now: Time, fingerprint: u128) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let any = !entry.suspect.crashes.is_empty();
        if any {
            entry.suspect.crashes.clear();
            entry.suspect.releases += 1;
            entry.changed = now;
        }
        any
    }

    /// Takes in what another router knows; returns whether it was news.
    ///
    /// The result does not depend on order or repetition: the higher count of
    /// releases wins, and crashes of the same count are united.
    pub fn merge(&mut self, now: Time, other: &Suspect) -> bool {
        if other.crashes.is_empty() && !self.entries.contains_key(&other.fingerprint) {
            return false;
        }
        self.make_room(other.fingerprint);
        let entry = self.entries.entry(other.fingerprint).or_insert(Entry {
            suspect: Suspect {
                crashes: Vec::new(),
                ..other.clone()
            },
            changed: now,
        });
        let changed = unite(&mut entry.suspect, other);
        if changed {
            entry.changed = now;
        }
        changed
    }

    /// Returns what other routers should know, most recent change first.
    #[must_use]
    pub fn suspects(&self, limit: usize) -> Vec<Suspect> {
        let mut entries: Vec<&Entry> = self.entries.values().collect();
        entries.sort_by_key(|entry| (std::cmp::Reverse(entry.changed), entry.suspect.fingerprint));
        let suspects = entries.into_iter().map(|entry| entry.suspect.clone());
        suspects.take(limit).collect()
    }

    /// Voids what has lasted long enough, and forgets what was voided long ago.
    ///
    /// An ended suspicion is kept without crashes for a while, so that a peer
    /// that has not yet ended it does not bring it back.
    pub fn expire(&mut self, now: Time) {
        let settings = self.settings;
        self.entries.retain(|_, entry| {
            let age = now.since(entry.changed);
            let limit = match entry.suspect.crashes.len() {
                n if n >= REFUSED_AFTER => settings.refusal,
                _ => settings.suspicion,
            };
            if age < limit {
                return true;
            }
            let voided = entry.suspect.crashes.is_empty();
            entry.suspect.crashes.clear();
            entry.suspect.releases += 1;
            entry.changed = now;
            !voided
        });
    }

    /// Drops the entry that changed longest ago when the book is full.
    fn make_room(&mut self, fingerprint: u128) {
        let full = self.entries.len() >= self.settings.capacity;
        if full && !self.entries.contains_key(&fingerprint) {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(key, e)| (e.changed, **key));
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.entries.swap_remove(&oldest);
            }
        }
    }
}

/// Adds `other` to `own`; returns whether `own` changed.
fn unite(own: &mut Suspect, other: &Suspect) -> bool {
    let before = (own.releases, own.crashes.clone());
    if other.releases > own.releases {
        own.releases = other.releases;
        own.crashes.clear();
    }
    if other.releases == own.releases {
        own.crashes.extend(other.crashes.iter().cloned());
        own.crashes.sort();
        own.crashes.dedup();
        own.crashes.truncate(MAX_CRASHES);
    }
    before != (own.releases, own.crashes.clone())
}
