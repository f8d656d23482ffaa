//! Load and health of runners, as one router sees them.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;
use smallvec::SmallVec;

use crate::cache::Cache;

/// Age at which what a peer told of a runner no longer counts. Peers tell it
/// several times a second.
const PEER_LOAD_AGE: Span = Span(600);

/// Pause after the first failure that takes a runner out of use; it doubles.
const FIRST_PAUSE: Span = Span(400);

/// Longest pause of a runner that keeps failing.
const LONGEST_PAUSE: Span = Span(3000);

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Failure rate at which a runner is taken out of use.
const FAILING: f64 = 0.45;

/// Weight of the newest observation of a runner's speed.
const SPEED_WEIGHT: f64 = 0.15;

/// Range of the slowness factor.
const SLOWNESS: (f64, f64) = (0.6, 8.0);

/// How long broken connections are remembered to tell a crash from a reset.
const CRASH_WINDOW: Span = Span(1000);

/// Work under way at a runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Prompt tokens that it has still to read.
    pub unread: u64,
    /// Tokens in its memory.
    pub memory: u64,
}

impl Load {
    /// Adds a request.
    pub fn add(&mut self, unread: u64, memory: u64) {
        self.running += 1;
        self.unread += unread;
        self.memory += memory;
    }

    /// Takes a request away, with what of it is still unread.
    pub fn remove(&mut self, unread: u64, memory: u64) {
        self.running = self.running.saturating_sub(1);
        self.unread = self.unread.saturating_sub(unread);
        self.memory = self.memory.saturating_sub(memory);
    }
}

/// A request whose connection to the runner broke.
#[derive(Clone, Debug)]
pub struct Break {
    /// When.
    pub at: Time,
    /// The request's fingerprint.
    pub fingerprint: u128,
    /// The attempt.
    pub attempt: Attempt,
}

/// Health as outcomes show it.
#[derive(Clone, Debug, Default)]
struct Health {
    rate: f64,
    paused_until: Time,
    pause: Span,
}

/// One runner.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the platform lists.
    pub entry: Entry,
    /// Work that this router has under way there.
    pub own: Load,
    /// Prompt parts that it probably keeps.
    pub cache: Cache,
    /// Connections that broke lately.
    pub breaks: SmallVec<[Break; 4]>,
    peers: BTreeMap<Instance, (Time, Load)>,
    health: Health,
    slowness: f64,
}

impl Target {
    /// Creates a runner without load.
    #[must_use]
    pub fn new(entry: Entry) -> Self {
        Target {
            entry,
            own: Load::default(),
            cache: Cache::new(),
            breaks: SmallVec::new(),
            peers: BTreeMap::new(),
            health: Health::default(),
            slowness: 1.0,
        }
    }

    /// Takes in a newer entry.
    pub fn update(&mut self, entry: Entry) {
        if entry.born != self.entry.born {
            self.cache.clear();
            self.health = Health::default();
        }
        self.entry = entry;
    }

    /// Returns whether the platform lists it as taking work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.entry.state == State::Ready
    }

    /// Returns whether outcomes keep it out of use at `now`.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.health.paused_until
    }

    /// Returns the work under way there, of all routers.
    #[must_use]
    pub fn load(&self, now: Time) -> Load {
        let mut sum = self.own;
        for (at, load) in self.peers.values() {
            if now.since(*at) < PEER_LOAD_AGE {
                sum.running += load.running;
                sum.unread += load.unread;
                sum.memory += load.memory;
            }
        }
        sum
    }

    /// Takes in what a peer has under way there.
    pub fn merge(&mut self, now: Time, peer: &Instance, load: Load) {
        self.peers.insert(peer.clone(), (now, load));
    }

    /// Forgets what peers have under way there.
    pub fn forget_peers(&mut self) {
        self.peers.clear();
    }

    /// Returns how many times as long as usual it takes to read a prompt.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Records that reading a prompt took `ratio` times as long as estimated.
    pub fn observe_speed(&mut self, ratio: f64) {
        let (low, high) = SLOWNESS;
        let blended = self.slowness * (1.0 - SPEED_WEIGHT) + ratio.clamp(low, high) * SPEED_WEIGHT;
        self.slowness = blended.clamp(low, high);
    }

    /// Records a good outcome.
    pub fn succeed(&mut self) {
        self.health.rate *= 1.0 - OUTCOME_WEIGHT;
        self.health.pause = Span(0);
    }

    /// Records a bad outcome; returns whether it takes the runner out of use.
    pub fn fail(&mut self, now: Time) -> bool {
        let health = &mut self.health;
        health.rate = health.rate * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
        if health.rate < FAILING || now < health.paused_until {
            return false;
        }
        self.pause(now);
        true
    }

    /// Takes the runner out of use for a while, longer each time in a row.
    pub fn pause(&mut self, now: Time) {
        let health = &mut self.health;
        if now < health.paused_until {
            return;
        }
        let doubled = Span(health.pause.0 * 2);
        health.pause = doubled.clamp(FIRST_PAUSE, LONGEST_PAUSE);
        health.paused_until = now + health.pause;
    }

    /// Records a broken connection under a request.
    pub fn broke(&mut self, now: Time, fingerprint: u128, attempt: Attempt) {
        self.breaks.retain(|b| now.since(b.at) < CRASH_WINDOW);
        self.breaks.push(Break {
            at: now,
            fingerprint,
            attempt,
        });
    }

    /// Returns the requests that were under way when the runner crashed, after
    /// it refused a connection.
    pub fn take_crashed(&mut self, now: Time) -> SmallVec<[Break; 4]> {
        let mut breaks = std::mem::take(&mut self.breaks);
        breaks.retain(|b| now.since(b.at) < CRASH_WINDOW);
        breaks
    }
}
