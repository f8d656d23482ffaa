//! Exhaustive check of the claim log: every order of steps of two writers and
//! holders, two keys and a faulty store, up to a number of steps.

use std::collections::HashMap;

use crate::model::{Faults, Step, Store, World};
use balsamchute_base::prelude::*;
use balsamchute_claim::writer::Settings;

const QUIET: Faults = Faults {
    store: 0,
    crashes: 0,
    clock: 0,
    asks: 1,
    keys: 1,
};

/// A ring of two slots, so that a paused writer meets reused ones at once.
fn settings() -> Settings {
    Settings {
        slots: 2,
        snapshot_entries: 1,
        interval: Span(0),
        patience: Span(0),
        backoff: Span(0),
        longest_backoff: Span(0),
        batch: 1,
        ..Settings::default()
    }
}

struct Search {
    /// Worlds visited, with the most steps that were left at a visit.
    seen: HashMap<u64, usize>,
    worst: u8,
    ran: usize,
    path: Vec<Step>,
}

impl Search {
    fn run(kind: Store, faults: Faults, depth: usize) -> Self {
        let mut search = Search {
            seen: HashMap::new(),
            worst: 0,
            ran: 0,
            path: Vec::new(),
        };
        search.visit(&World::new(kind, settings(), faults).with_entry(), depth);
        eprintln!("{} worlds, {} keys ran", search.seen.len(), search.ran);
        search
    }

    fn visit(&mut self, world: &World, depth: usize) {
        if world.worst() > self.worst && world.worst() > 1 {
            eprintln!("run twice after {:?}", self.path);
        }
        self.worst = self.worst.max(world.worst());
        self.ran = self.ran.max(world.ran());
        if depth == 0 || self.worst > 1 {
            return;
        }
        let left = self.seen.entry(world.digest()).or_insert(0);
        if *left >= depth {
            return;
        }
        *left = depth;
        for step in world.steps() {
            let mut next = world.clone();
            next.take(step);
            self.path.push(step);
            self.visit(&next, depth - 1);
            self.path.pop();
        }
    }
}

#[test]
fn two_keys_each_run_once() {
    let search = Search::run(Store::Sound, Faults { keys: 2, ..QUIET }, 9);
    assert_eq!((search.worst, search.ran), (1, 2));
}

#[test]
fn a_key_runs_once_whatever_the_store_loses() {
    let faults = Faults {
        store: 2,
        clock: 1,
        ..QUIET
    };
    let search = Search::run(Store::Sound, faults, 7);
    assert_eq!(search.worst, 1);
}

#[test]
fn a_key_runs_once_when_routers_crash_and_the_caller_asks_again() {
    let faults = Faults {
        store: 1,
        crashes: 1,
        asks: 2,
        ..QUIET
    };
    let search = Search::run(Store::Sound, faults, 6);
    assert_eq!(search.worst, 1);
}

#[test]
fn the_check_finds_the_double_run_of_a_store_without_conditions() {
    let search = Search::run(Store::Unconditional, QUIET, 8);
    assert_eq!(search.worst, 2);
}
