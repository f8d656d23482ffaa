//! Max-min fair shares of a service's capacity by workspace, fleet-wide.
//!
//! Each router counts the cost of the requests that arrived and that were sent
//! to a runner, by workspace, with exponential decay, and
//! reports the counts to its peers. The max-min share follows from the sums: a
//! workspace that demands less than an equal part of the capacity gets all of
//! its demand, and the others divide the remainder equally.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;

use crate::place::Priority;

/// Demanded and served cost, decayed exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests that arrived; not reported.
    pub requests: f64,
    /// Cost of the requests that arrived.
    pub demand: f64,
    /// Cost of the requests that were sent to a runner.
    pub served: f64,
}

impl Usage {
    fn decay(&mut self, decay_factor: f64) {
        self.requests *= decay_factor;
        self.demand *= decay_factor;
        self.served *= decay_factor;
    }
}

/// Usage of one service as last reported by a peer.
#[derive(Clone, Debug, Default)]
struct PeerUsage {
    received_at: Time,
    usage: BTreeMap<Workspace, Usage>,
}

/// Usage of one service by workspace, with the fair share that follows from it.
#[derive(Clone, Debug)]
pub struct Shares {
    // Time in which counts fall to 1/e.
    window: Span,
    capacity: Option<f64>,
    // `None` until the first call of `advance`; nothing decays before it.
    decayed_at: Option<Time>,
    started_at: Option<Time>,
    local: BTreeMap<Workspace, Usage>,
    peers: BTreeMap<Instance, PeerUsage>,
    // Sum over the peers as of the last call of `advance`.
    peer_totals: BTreeMap<Workspace, Usage>,
    fair_share: f64,
    served_fair_share: f64,
    // Max-min share of all served cost, which may be below the share of the capacity.
    served_share: f64,
}

/// Time added to the time since the first call of `advance` in computing which
/// part of a window the counts cover. Without it, a single request of usual
/// size would exceed the share right after a start.
const COUNTED_TIME_OFFSET: Span = Span(100);

/// Ratio of served cost to the fair share of all served cost above which a
/// workspace is ahead of others.
const AHEAD_RATIO: f64 = 1.1;

/// Ratio of served cost to the fair share of all served cost below which a
/// workspace is behind others.
const BEHIND_RATIO: f64 = 0.9;

/// Largest factor by which requests of a workspace weigh more or less because it was not
/// served its share.
const MAX_CORRECTION: f64 = 3.0;

/// Sum of demanded and served cost at or below which a workspace is dropped from
/// the counts.
const NEGLIGIBLE_COST: f64 = 0.01;

impl Shares {
    /// Creates shares of `capacity`, in cost per second; `None` means no limit.
    /// Counts fall to 1/e within `window`.
    #[must_use]
    pub fn new(window: Span, capacity: Option<f64>) -> Self {
        Shares {
            window,
            capacity,
            decayed_at: None,
            started_at: None,
            local: BTreeMap::new(),
            peers: BTreeMap::new(),
            peer_totals: BTreeMap::new(),
            fair_share: f64::INFINITY,
            served_fair_share: f64::INFINITY,
            served_share: f64::INFINITY,
        }
    }

    /// Changes the capacity, in cost per second, as of the next call of
    /// `advance`.
    pub fn set_capacity(&mut self, capacity: Option<f64>) {
        self.capacity = capacity;
    }

    /// Counts the cost of a request that arrived at this router.
    pub fn record_demand(&mut self, workspace: &Workspace, cost: f64) {
        let usage = self.usage_mut(workspace);
        usage.demand += cost;
        usage.requests += 1.0;
    }

    /// Counts the cost of a request that was sent to a runner; a negative cost
    /// corrects an earlier estimate.
    pub fn record_served(&mut self, workspace: &Workspace, cost: f64) {
        let usage = self.usage_mut(workspace);
        usage.served = (usage.served + cost).max(0.0);
    }

    /// Replaces the counts that a peer reported.
    pub fn set_peer_usage<I>(&mut self, now: Time, peer: &Instance, usage: I)
    where
        I: IntoIterator<Item = (Workspace, Usage)>,
    {
        let peer_usage = PeerUsage {
            received_at: now,
            usage: usage.into_iter().collect(),
        };
        self.peers.insert(peer.clone(), peer_usage);
    }

    /// Drops the counts that peers reported.
    pub fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Returns the counts of this router.
    pub fn local_usage(&self) -> impl Iterator<Item = (&Workspace, &Usage)> {
        self.local.iter()
    }

    /// Decays the counts to `now` and recomputes the fair shares.
    pub fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at.unwrap_or(now));
        let decay_factor = self.decay_factor(elapsed);
        self.decayed_at = Some(now);
        for usage in self.local.values_mut() {
            usage.decay(decay_factor);
        }
        self.local
            .retain(|_, usage| usage.demand + usage.served > NEGLIGIBLE_COST);
        // After three windows, a count has decayed to 5 %.
        let max_age = Span(self.window.0 * 3);
        self.peers
            .retain(|_, peer_usage| now.since(peer_usage.received_at) < max_age);
        self.peer_totals = self.sum_peers(now);
        let started_at = *self.started_at.get_or_insert(now);
        // Counts that cover less than a window have reached only this part of
        // their steady state, so the capacity is scaled alike.
        let counted_share = 1.0 - self.decay_factor(now.since(started_at) + COUNTED_TIME_OFFSET);
        self.fair_share = match self.capacity {
            Some(capacity) => {
                self.max_min(capacity * counted_share * self.window.0 as f64 / 1000.0)
            }
            None => f64::INFINITY,
        };
        self.served_share = self.max_min(self.total_served());
        self.served_fair_share = match self.capacity {
            Some(_) => self.served_share.max(self.fair_share),
            None => f64::INFINITY,
        };
    }

    /// Returns the decayed cost that the workspace was served fleet-wide.
    #[must_use]
    pub fn served(&self, workspace: &Workspace) -> f64 {
        let local = self.local.get(workspace).map_or(0.0, |usage| usage.served);
        let from_peers = self
            .peer_totals
            .get(workspace)
            .map_or(0.0, |usage| usage.served);
        local + from_peers
    }

    /// Returns whether the workspace was served less than its fair share of the
    /// capacity.
    #[must_use]
    pub fn is_under_share(&self, workspace: &Workspace) -> bool {
        self.served(workspace) < self.fair_share
    }

    /// Returns whether the workspace was served clearly more than its max-min
    /// share of all served cost, which includes cost served beyond the fair
    /// share of the capacity. Always `false` while all demand is met.
    #[must_use]
    pub fn is_ahead(&self, workspace: &Workspace) -> bool {
        self.served(workspace) > self.served_fair_share * AHEAD_RATIO
    }

    /// Returns whether the workspace was served clearly less than its max-min
    /// share of all served cost. Always `true` while all demand is met.
    #[must_use]
    pub fn is_behind(&self, workspace: &Workspace) -> bool {
        self.served(workspace) < self.served_fair_share * BEHIND_RATIO
    }

    /// Returns the priority of a workspace that was served this decayed cost, see
    /// [`Shares::served`]. Dispatching compares all workspaces at each event, and most of
    /// its time was spent on looking up the served cost.
    pub(crate) fn priority(&self, served: f64) -> Priority {
        if served < self.fair_share {
            Priority::WithinShare
        } else if served < self.served_fair_share * BEHIND_RATIO {
            Priority::Behind
        } else if served > self.served_fair_share * AHEAD_RATIO {
            Priority::Ahead
        } else {
            Priority::Surplus
        }
    }

    /// Returns the requests that arrived here as far as the max-min shares of all served
    /// cost cover the demand of their workspaces. Requests that are repeated after a
    /// refusal do not add to it. Those of workspaces that were served less than their
    /// share weigh more, and those of others less.
    #[must_use]
    pub fn covered_requests(&self) -> f64 {
        let covered = self.local.iter().map(|(workspace, usage)| {
            let from_peers = self.peer_totals.get(workspace).copied().unwrap_or_default();
            let demand = (usage.demand + from_peers.demand).max(NEGLIGIBLE_COST);
            let served = (usage.served + from_peers.served).max(NEGLIGIBLE_COST);
            let target = demand.min(self.served_share);
            let correction = (target / served).clamp(1.0 / MAX_CORRECTION, MAX_CORRECTION);
            usage.requests * target / demand * correction
        });
        covered.sum()
    }

    /// Returns the fair share: the highest decayed cost up to which any
    /// workspace is under its share.
    #[must_use]
    pub fn fair_share(&self) -> f64 {
        self.fair_share
    }

    fn usage_mut(&mut self, workspace: &Workspace) -> &mut Usage {
        self.local.entry(workspace.clone()).or_default()
    }

    fn decay_factor(&self, elapsed: Span) -> f64 {
        (-(elapsed.0 as f64) / self.window.0.max(1) as f64).exp()
    }

    fn sum_peers(&self, now: Time) -> BTreeMap<Workspace, Usage> {
        let mut sums: BTreeMap<Workspace, Usage> = BTreeMap::new();
        for peer_usage in self.peers.values() {
            let decay_factor = self.decay_factor(now.since(peer_usage.received_at));
            for (workspace, usage) in &peer_usage.usage {
                let sum = sums.entry(workspace.clone()).or_default();
                sum.demand += usage.demand * decay_factor;
                sum.served += usage.served * decay_factor;
            }
        }
        sums
    }

    fn total_served(&self) -> f64 {
        let usages = self.local.values().chain(self.peer_totals.values());
        usages.map(|usage| usage.served).sum()
    }

    /// Returns the max-min share of `total`: the limit at which the demands,
    /// each capped at the limit, add up to `total`. Infinite if the demands add
    /// up to less.
    fn max_min(&self, total: f64) -> f64 {
        let mut demands: BTreeMap<&Workspace, f64> = BTreeMap::new();
        for (workspace, usage) in self.local.iter().chain(&self.peer_totals) {
            *demands.entry(workspace).or_default() += usage.demand;
        }
        let mut demands: Vec<f64> = demands.into_values().collect();
        demands.sort_by(f64::total_cmp);
        let mut remaining = total;
        let mut unsatisfied = demands.len();
        for demand in demands {
            let equal_share = remaining / unsatisfied as f64;
            if demand > equal_share {
                return equal_share;
            }
            remaining -= demand;
            unsatisfied -= 1;
        }
        f64::INFINITY
    }
}

/// Demanded and served cost by workspace and route.
///
/// Within a workspace's share, routes whose requests only certain runners can
/// take would be starved by routes whose requests any runner can take. To
/// prevent it, the route with the lowest ratio of served to demanded cost goes
/// first.
#[derive(Clone, Debug)]
pub struct Breakdown {
    window: Span,
    // `None` until the first call of `advance`; nothing decays before it.
    decayed_at: Option<Time>,
    usage: BTreeMap<Option<Workspace>, BTreeMap<String, Usage>>,
}

impl Breakdown {
    /// Creates an empty breakdown whose counts decay over `window`.
    #[must_use]
    pub fn new(window: Span) -> Self {
        Breakdown {
            window,
            decayed_at: None,
            usage: BTreeMap::new(),
        }
    }

    /// Counts the cost of a request that arrived at this router.
    pub fn record_demand(&mut self, workspace: Option<&Workspace>, route: &str, cost: f64) {
        self.usage_mut(workspace, route).demand += cost;
    }

    /// Counts the cost of a request that was sent to a runner; a negative cost
    /// takes it back.
    pub fn record_served(&mut self, workspace: Option<&Workspace>, route: &str, cost: f64) {
        let usage = self.usage_mut(workspace, route);
        usage.served = (usage.served + cost).max(0.0);
    }

    /// Decays the counts to `now` and drops negligible ones.
    pub fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at.unwrap_or(now)).0 as f64;
        let decay_factor = (-elapsed / self.window.0.max(1) as f64).exp();
        self.decayed_at = Some(now);
        for routes in self.usage.values_mut() {
            for usage in routes.values_mut() {
                usage.decay(decay_factor);
            }
            routes.retain(|_, usage| usage.demand + usage.served > NEGLIGIBLE_COST);
        }
        self.usage.retain(|_, routes| !routes.is_empty());
    }

    /// Returns the ratio of served to demanded cost; 0 for a route without
    /// requests.
    #[must_use]
    pub fn served_ratio(&self, workspace: Option<&Workspace>, route: &str) -> f64 {
        let routes = self.usage.get(&workspace.cloned());
        let usage = routes.and_then(|routes| routes.get(route));
        usage.map_or(0.0, |usage| usage.served / usage.demand.max(1.0))
    }

    fn usage_mut(&mut self, workspace: Option<&Workspace>, route: &str) -> &mut Usage {
        let routes = self.usage.entry(workspace.cloned()).or_default();
        routes.entry(route.to_owned()).or_default()
    }
}
