//! What each workspace is owed of a service's capacity, fleet-wide.
//!
//! Each router counts what its workspaces asked for and were served, decaying
//! over the window, and tells the others. From the sums follows the max-min
//! share: workspaces that ask for less than an even part get all of it, the
//! others get the same share of the rest.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;

/// Cost asked and served that decays over the window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Cost of requests that arrived.
    pub asked: f64,
    /// Cost of requests that were sent to a runner.
    pub served: f64,
}

impl Usage {
    fn decay(&mut self, factor: f64) {
        self.asked *= factor;
        self.served *= factor;
    }
}

/// A peer's usage of one service.
#[derive(Clone, Debug, Default)]
struct Reported {
    at: Time,
    usage: BTreeMap<Workspace, Usage>,
}

/// Usage of one service by workspace.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Span,
    capacity: Option<f64>,
    // `None` until the first advance, before which nothing decays.
    decayed: Option<Time>,
    started: Option<Time>,
    own: BTreeMap<Workspace, Usage>,
    peers: BTreeMap<Instance, Reported>,
    // Sum over the peers, as of the last advance.
    others: BTreeMap<Workspace, Usage>,
    level: f64,
    even: f64,
}

/// Time that counts are taken to have run for at least: one request of usual
/// size must not be more than the share.
const MIN_COUNTED: Span = Span(100);

/// Served cost, as a multiple of the even part, above which a workspace is
/// ahead of others.
const AHEAD: f64 = 1.1;

/// Served cost, as a multiple of the even part, below which a workspace is
/// behind others.
const BEHIND: f64 = 0.9;

/// Below this cost a workspace is dropped from the sums.
const NEGLIGIBLE: f64 = 0.01;

impl Shares {
    /// Creates shares of `capacity`, a cost per second, if it is limited.
    #[must_use]
    pub fn new(window: Span, capacity: Option<f64>) -> Self {
        Shares {
            window,
            capacity,
            decayed: None,
            started: None,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            others: BTreeMap::new(),
            level: f64::INFINITY,
            even: f64::INFINITY,
        }
    }

    /// Changes the capacity.
    pub fn set_capacity(&mut self, capacity: Option<f64>) {
        self.capacity = capacity;
    }

    /// Records a request that arrived here.
    pub fn ask(&mut self, workspace: &Workspace, cost: f64) {
        self.entry(workspace).asked += cost;
    }

    /// Records a request that was sent to a runner, or corrects its cost.
    pub fn serve(&mut self, workspace: &Workspace, cost: f64) {
        let usage = self.entry(workspace);
        usage.served = (usage.served + cost).max(0.0);
    }

    /// Takes in what a peer counted.
    pub fn merge<I>(&mut self, now: Time, peer: &Instance, usage: I)
    where
        I: IntoIterator<Item = (Workspace, Usage)>,
    {
        let reported = Reported {
            at: now,
            usage: usage.into_iter().collect(),
        };
        self.peers.insert(peer.clone(), reported);
    }

    /// Forgets what peers counted.
    pub fn forget_peers(&mut self) {
        self.peers.clear();
    }

    /// Returns what this router counted.
    pub fn own(&self) -> impl Iterator<Item = (&Workspace, &Usage)> {
        self.own.iter()
    }

    /// Lets the counts decay to `now` and computes the share again.
    pub fn advance(&mut self, now: Time) {
        let age = now.since(self.decayed.unwrap_or(now));
        let factor = self.factor(age);
        self.decayed = Some(now);
        for usage in self.own.values_mut() {
            usage.decay(factor);
        }
        self.own
            .retain(|_, usage| usage.asked + usage.served > NEGLIGIBLE);
        let horizon = Span(self.window.0 * 3);
        self.peers
            .retain(|_, reported| now.since(reported.at) < horizon);
        self.others = self.sum_peers(now);
        let started = *self.started.get_or_insert(now);
        // Counts that have not run for a window hold only a part of it.
        let counted = 1.0 - self.factor(now.since(started) + MIN_COUNTED);
        self.level = match self.capacity {
            Some(capacity) => self.max_min(capacity * counted * self.window.0 as f64 / 1000.0),
            None => f64::INFINITY,
        };
        self.even = match self.capacity {
            Some(_) => self.max_min(self.total_served()).max(self.level),
            None => f64::INFINITY,
        };
    }

    /// Returns the cost that the workspace was served in the window, fleet-wide.
    #[must_use]
    pub fn served(&self, workspace: &Workspace) -> f64 {
        let own = self.own.get(workspace).map_or(0.0, |usage| usage.served);
        let others = self.others.get(workspace).map_or(0.0, |usage| usage.served);
        own + others
    }

    /// Returns whether the workspace is owed a request now: it was served less
    /// than its max-min share.
    #[must_use]
    pub fn is_owed(&self, workspace: &Workspace) -> bool {
        self.served(workspace) < self.level
    }

    /// Returns whether the workspace has clearly more than its even part of what
    /// the fleet serves, beyond its share included, while others ask for more.
    #[must_use]
    pub fn is_ahead(&self, workspace: &Workspace) -> bool {
        self.served(workspace) > self.even * AHEAD
    }

    /// Returns whether the workspace has clearly less than its even part of what
    /// the fleet serves.
    #[must_use]
    pub fn is_behind(&self, workspace: &Workspace) -> bool {
        self.served(workspace) < self.even * BEHIND
    }

    /// Returns the most that any workspace is owed in the window.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    fn entry(&mut self, workspace: &Workspace) -> &mut Usage {
        self.own.entry(workspace.clone()).or_default()
    }

    fn factor(&self, age: Span) -> f64 {
        (-(age.0 as f64) / self.window.0.max(1) as f64).exp()
    }

    fn sum_peers(&self, now: Time) -> BTreeMap<Workspace, Usage> {
        let mut sums: BTreeMap<Workspace, Usage> = BTreeMap::new();
        for reported in self.peers.values() {
            let factor = self.factor(now.since(reported.at));
            for (workspace, usage) in &reported.usage {
                let sum = sums.entry(workspace.clone()).or_default();
                sum.asked += usage.asked * factor;
                sum.served += usage.served * factor;
            }
        }
        sums
    }

    fn total_served(&self) -> f64 {
        let all = self.own.values().chain(self.others.values());
        all.map(|usage| usage.served).sum()
    }

    /// Returns the level at which what workspaces ask for, cut at the level,
    /// adds up to `total`.
    fn max_min(&self, total: f64) -> f64 {
        let mut asked: BTreeMap<&Workspace, f64> = BTreeMap::new();
        for (workspace, usage) in self.own.iter().chain(&self.others) {
            *asked.entry(workspace).or_default() += usage.asked;
        }
        let mut asked: Vec<f64> = asked.into_values().collect();
        asked.sort_by(f64::total_cmp);
        let mut left = total;
        let mut count = asked.len();
        for demand in asked {
            let even = left / count as f64;
            if demand > even {
                return even;
            }
            left -= demand;
            count -= 1;
        }
        f64::INFINITY
    }
}

/// How much of what a workspace asks for it is served, by kind of request.
///
/// Within a workspace's share, kinds that need a certain runner would yield to
/// those that can run anywhere. The kind that got least of what was asked goes
/// first instead.
#[derive(Clone, Debug)]
pub struct Mix {
    window: Span,
    // `None` until the first advance, before which nothing decays.
    decayed: Option<Time>,
    usage: BTreeMap<Option<Workspace>, BTreeMap<String, Usage>>,
}

impl Mix {
    /// Creates a mix that counts over `window`.
    #[must_use]
    pub fn new(window: Span) -> Self {
        Mix {
            window,
            decayed: None,
            usage: BTreeMap::new(),
        }
    }

    /// Records a request that arrived here.
    pub fn ask(&mut self, workspace: Option<&Workspace>, kind: &str, cost: f64) {
        self.entry(workspace, kind).asked += cost;
    }

    /// Records a request that was sent to a runner, or takes it back.
    pub fn serve(&mut self, workspace: Option<&Workspace>, kind: &str, cost: f64) {
        let usage = self.entry(workspace, kind);
        usage.served = (usage.served + cost).max(0.0);
    }

    /// Lets the counts decay to `now`.
    pub fn advance(&mut self, now: Time) {
        let age = now.since(self.decayed.unwrap_or(now)).0 as f64;
        let factor = (-age / self.window.0.max(1) as f64).exp();
        self.decayed = Some(now);
        for kinds in self.usage.values_mut() {
            for usage in kinds.values_mut() {
                usage.decay(factor);
            }
            kinds.retain(|_, usage| usage.asked + usage.served > NEGLIGIBLE);
        }
        self.usage.retain(|_, kinds| !kinds.is_empty());
    }

    /// Returns the part of what was asked that was served.
    #[must_use]
    pub fn ratio(&self, workspace: Option<&Workspace>, kind: &str) -> f64 {
        let kinds = self.usage.get(&workspace.cloned());
        let usage = kinds.and_then(|kinds| kinds.get(kind));
        usage.map_or(0.0, |usage| usage.served / usage.asked.max(1.0))
    }

    fn entry(&mut self, workspace: Option<&Workspace>, kind: &str) -> &mut Usage {
        let kinds = self.usage.entry(workspace.cloned()).or_default();
        kinds.entry(kind.to_owned()).or_default()
    }
}
