//! Marks of leaving runners.
//!
//! Marks spread between routers by gossip. A runner that is marked at an address
//! stays marked there for [`RETENTION`], unless the platform's list shows it as not
//! leaving for [`REINSTATE_AFTER`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_wire::exchange::Leaving;

/// Time for which the platform's list has to show a marked runner as not leaving
/// before the mark no longer counts. Longer than the list can be out of date, so
/// that a stale list does not clear a mark.
pub const REINSTATE_AFTER: Span = Span::from_secs(30);

/// Time for which a mark is kept after this router learned of it.
pub const RETENTION: Span = Span::from_secs(3600);

/// Time for which a router gossips a mark after it learned of the mark. Shorter
/// than [`RETENTION`], so that routers do not reintroduce marks to each other
/// forever.
pub const GOSSIP_PERIOD: Span = Span::from_secs(1800);

/// A runner as shown in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name of the listed runner.
    pub runner: Runner,
    /// Address at which the runner accepts requests.
    pub address: SocketAddr,
    /// Whether the list marks the runner as leaving.
    pub leaving: bool,
}

/// State of one runner at one address, marked or only listed.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Time at which this router first learned of the mark.
    marked_at: Option<Time>,
    /// Time at which the list first showed the runner as not leaving after it last
    /// showed it as leaving.
    not_leaving_since: Option<Time>,
}

/// Marks of leaving runners known to one router, by runner and address.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    entries: BTreeMap<(Runner, SocketAddr), Entry>,
}

impl Marks {
    /// Creates an empty set of marks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges marks received from a peer and returns those that were not known.
    pub fn merge(&mut self, now: Time, marks: &[Leaving]) -> Vec<Leaving> {
        let mut added = Vec::new();
        for mark in marks {
            let key = (mark.runner.clone(), mark.address);
            let entry = self.entries.entry(key).or_default();
            let was_marked = entry.marked_at.is_some();
            entry.marked_at.get_or_insert(now);
            if !was_marked && entry.is_leaving(now) {
                added.push(mark.clone());
            }
        }
        added
    }

    /// Merges the platform's list and returns the marks that were not known.
    pub fn merge_list(&mut self, now: Time, listed: &[Listed]) -> Vec<Leaving> {
        let mut added = Vec::new();
        for item in listed {
            let key = (item.runner.clone(), item.address);
            let entry = self.entries.entry(key).or_default();
            if !item.leaving {
                entry.not_leaving_since.get_or_insert(now);
                continue;
            }
            let was_leaving = entry.is_leaving(now);
            entry.not_leaving_since = None;
            entry.marked_at.get_or_insert(now);
            if !was_leaving {
                added.push(Leaving {
                    runner: item.runner.clone(),
                    address: item.address,
                });
            }
        }
        added
    }

    /// Drops entries that are older than [`RETENTION`].
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| match entry.marked_at {
            Some(marked_at) => now.since(marked_at) <= RETENTION,
            None => entry
                .not_leaving_since
                .is_some_and(|since| now.since(since) <= RETENTION),
        });
    }

    /// Returns whether the runner at this address is leaving and must get no new
    /// requests.
    #[must_use]
    pub fn is_draining(&self, now: Time, runner: &Runner, address: SocketAddr) -> bool {
        self.entries
            .get(&(runner.clone(), address))
            .is_some_and(|entry| entry.is_leaving(now))
    }

    /// Returns the marks to gossip, newest first, at most `limit`.
    #[must_use]
    pub fn marks_to_gossip(&self, now: Time, limit: usize) -> Vec<Leaving> {
        let mut marks: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_leaving(now))
            .filter_map(|(key, entry)| entry.marked_at.map(|marked_at| (marked_at, key)))
            .filter(|(marked_at, _)| now.since(*marked_at) <= GOSSIP_PERIOD)
            .collect();
        marks.sort_by_key(|(marked_at, _)| std::cmp::Reverse(*marked_at));
        marks
            .into_iter()
            .take(limit)
            .map(|(_, (runner, address))| Leaving {
                runner: runner.clone(),
                address: *address,
            })
            .collect()
    }
}

impl Entry {
    fn is_leaving(&self, now: Time) -> bool {
        let reinstated = self
            .not_leaving_since
            .is_some_and(|since| now.since(since) >= REINSTATE_AFTER);
        self.marked_at.is_some() && !reinstated
    }
}
