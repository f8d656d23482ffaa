//! An engine's prefix cache and the events that it publishes about it.

use std::collections::VecDeque;

use balsamchute_base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::clock;

/// Events that are kept.
const MAX_EVENTS: usize = 10_000;

/// An event as published.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Number of the event; a gap means that some were lost.
    pub seq: u64,
    /// The prefix.
    pub prefix: String,
    /// Whether it is cached from now on.
    pub cached: bool,
    #[serde(skip)]
    at: Time,
    #[serde(skip)]
    lost: bool,
}

/// The cache: prefixes, the least recently used first.
pub struct Cache {
    room: usize,
    prefixes: VecDeque<String>,
    events: VecDeque<Event>,
    seq: u64,
    lag: Span,
    gap: f64,
    random: ChaCha8Rng,
}

impl Cache {
    /// Creates an empty cache for `room` prefixes.
    #[must_use]
    pub fn new(room: usize, seed: u64) -> Self {
        Self {
            room,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
            lag: Span(0),
            gap: 0.0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets how late events come, and the share of them that never does.
    pub fn set_faults(&mut self, lag: Span, gap: f64) {
        self.lag = lag;
        self.gap = gap;
    }

    /// Returns whether a prefix is cached.
    #[must_use]
    pub fn contains(&self, prefix: &str) -> bool {
        self.prefixes.iter().any(|cached| cached == prefix)
    }

    /// Uses a prefix, which is cached from then on. Returns whether it was.
    pub fn touch(&mut self, prefix: &str) -> bool {
        let place = self.prefixes.iter().position(|cached| cached == prefix);
        if let Some(place) = place {
            self.prefixes.remove(place);
            self.prefixes.push_back(prefix.to_owned());
            return true;
        }
        if self.room == 0 {
            return false;
        }
        if self.prefixes.len() == self.room {
            let evicted = self.prefixes.pop_front();
            evicted
                .into_iter()
                .for_each(|prefix| self.publish(prefix, false));
        }
        self.prefixes.push_back(prefix.to_owned());
        self.publish(prefix.to_owned(), true);
        false
    }

    /// Forgets everything but the number of the last event.
    pub fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
    }

    /// Returns the events after number `after` that are out by now.
    #[must_use]
    pub fn events(&self, after: u64) -> Vec<Event> {
        let now = clock::now();
        let out =
            |event: &&Event| event.seq > after && !event.lost && now.since(event.at) >= self.lag;
        self.events.iter().filter(out).cloned().collect()
    }

    fn publish(&mut self, prefix: String, cached: bool) {
        self.seq += 1;
        self.events.push_back(Event {
            seq: self.seq,
            prefix,
            cached,
            at: clock::now(),
            lost: self.gap > 0.0 && self.random.random::<f64>() < self.gap,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
