//! Runners that leave: marks that spread and are not taken back in one life.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_wire::exchange::Leaving;

/// How long the platform's list has to show a marked runner as live before the
/// mark is void. It is longer than the list lags.
pub const RETURN: Span = Span::from_secs(30);

/// How long a mark is kept.
pub const RETENTION: Span = Span::from_secs(3600);

/// How long a mark is passed on, less than [`RETENTION`] so that marks do not
/// go round for ever.
pub const SPREAD: Span = Span::from_secs(1800);

/// A runner as the platform's list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// The runner.
    pub runner: Runner,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    marked: Option<Time>,
    /// Since when the list has shown the runner as live.
    live: Option<Time>,
}

/// The marks that one router knows.
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

    /// Takes in marks from a peer and returns those that are new here.
    pub fn merge(&mut self, now: Time, marks: &[Leaving]) -> Vec<Leaving> {
        let mut new = Vec::new();
        for mark in marks {
            let at = (mark.runner.clone(), mark.address);
            let entry = self.entries.entry(at).or_default();
            let known = entry.marked.is_some();
            entry.marked.get_or_insert(now);
            if !known && entry.leaving(now) {
                new.push(mark.clone());
            }
        }
        new
    }

    /// Takes in the platform's list and returns the marks that are new here.
    pub fn seed(&mut self, now: Time, listed: &[Listed]) -> Vec<Leaving> {
        let mut new = Vec::new();
        for item in listed {
            let at = (item.runner.clone(), item.address);
            let entry = self.entries.entry(at).or_default();
            if !item.leaving {
                entry.live.get_or_insert(now);
                continue;
            }
            let known = entry.leaving(now);
            entry.live = None;
            entry.marked.get_or_insert(now);
            if !known {
                new.push(Leaving {
                    runner: item.runner.clone(),
                    address: item.address,
                });
            }
        }
        new
    }

    /// Drops marks that are void or old.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| match entry.marked {
            Some(at) => now.since(at) <= RETENTION,
            None => entry.live.is_some_and(|at| now.since(at) <= RETENTION),
        });
    }

    /// Returns whether the runner at this address gets no new work.
    #[must_use]
    pub fn contains(&self, now: Time, runner: &Runner, address: SocketAddr) -> bool {
        self.entries
            .get(&(runner.clone(), address))
            .is_some_and(|entry| entry.leaving(now))
    }

    /// Returns the marks to pass on, the newest first, at most `limit`.
    #[must_use]
    pub fn spread(&self, now: Time, limit: usize) -> Vec<Leaving> {
        let mut marks: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.leaving(now))
            .filter_map(|(at, entry)| entry.marked.map(|marked| (marked, at)))
            .filter(|(marked, _)| now.since(*marked) <= SPREAD)
            .collect();
        marks.sort_by_key(|(marked, _)| std::cmp::Reverse(*marked));
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
    fn leaving(&self, now: Time) -> bool {
        let returned = self.live.is_some_and(|at| now.since(at) >= RETURN);
        self.marked.is_some() && !returned
    }
}
