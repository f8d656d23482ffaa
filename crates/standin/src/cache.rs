//! Prefix cache of an engine and the cache events that the engine publishes.

use std::collections::VecDeque;

use balsamchute_base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::clock;

/// Maximum number of events kept for readers; the oldest are dropped.
const MAX_EVENTS: usize = 10_000;

/// Cache event, as serialized for readers.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Sequence number of the event; a gap means that events were lost.
    pub seq: u64,
    /// Prefix that was inserted or evicted.
    pub prefix: String,
    /// Whether the prefix was inserted (`true`) or evicted (`false`).
    pub cached: bool,
    #[serde(skip)]
    published_at: Time,
    /// Whether readers never see the event.
    #[serde(skip)]
    lost: bool,
}

/// LRU cache of prefixes, ordered from the least to the most recently used.
pub struct Cache {
    capacity: usize,
    prefixes: VecDeque<String>,
    events: VecDeque<Event>,
    seq: u64,
    lag: Span,
    loss_share: f64,
    rng: ChaCha8Rng,
}

impl Cache {
    /// Creates an empty cache that holds up to `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize, seed: u64) -> Self {
        Self {
            capacity,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
            lag: Span(0),
            loss_share: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the delay before events become visible, and the share of events (0 to
    /// 1) that are lost.
    pub fn set_faults(&mut self, lag: Span, loss_share: f64) {
        self.lag = lag;
        self.loss_share = loss_share;
    }

    /// Returns whether a prefix is cached. Does not count as a use.
    #[must_use]
    pub fn contains(&self, prefix: &str) -> bool {
        self.prefixes.iter().any(|cached| cached == prefix)
    }

    /// Marks a prefix as used and inserts it if absent. Returns whether it was
    /// cached before.
    pub fn touch(&mut self, prefix: &str) -> bool {
        let index = self.prefixes.iter().position(|cached| cached == prefix);
        if let Some(index) = index {
            self.prefixes.remove(index);
            self.prefixes.push_back(prefix.to_owned());
            return true;
        }
        if self.capacity == 0 {
            return false;
        }
        if self.prefixes.len() == self.capacity {
            let evicted = self.prefixes.pop_front();
            evicted
                .into_iter()
                .for_each(|prefix| self.publish(prefix, false));
        }
        self.prefixes.push_back(prefix.to_owned());
        self.publish(prefix.to_owned(), true);
        false
    }

    /// Removes all prefixes and events, as a crash does. The sequence number goes
    /// on, so that no number is used twice.
    pub fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
    }

    /// Returns the visible events with a sequence number above `after`.
    #[must_use]
    pub fn events(&self, after: u64) -> Vec<Event> {
        let now = clock::now();
        let is_visible = |event: &&Event| {
            event.seq > after && !event.lost && now.since(event.published_at) >= self.lag
        };
        self.events.iter().filter(is_visible).cloned().collect()
    }

    fn publish(&mut self, prefix: String, cached: bool) {
        self.seq += 1;
        self.events.push_back(Event {
            seq: self.seq,
            prefix,
            cached,
            published_at: clock::now(),
            lost: self.loss_share > 0.0 && self.rng.random::<f64>() < self.loss_share,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
