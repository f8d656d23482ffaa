//! The queue of one service at a workspace's home: start-time fair queueing on
//! true cost.
//!
//! Each workspace has a finish tag, its charged cost for each unit of weight.
//! The workspace with the lowest tag is served next. A request is charged an
//! estimate when it is taken from the queue; the charge follows the true cost
//! upward while the request runs and in both directions when it completes.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_base::prelude::*;
use indexmap::IndexMap;

use crate::estimate::{Learner, Mean};
use crate::order::Tag;

/// Names a request within the queue's router.
pub type Item = u64;

/// Requests at the head of a workspace's queue among which a preferred one may
/// go first.
const PREFERENCE_DEPTH: usize = 8;

/// Most mean requests that a workspace coming back from idleness may be ahead
/// by, whatever the credit in cost.
pub const CREDIT_REQUESTS: f64 = 12.0;

/// Smallest weight; below it tags would grow beyond what a float holds.
pub const MIN_WEIGHT: f64 = 1e-3;

/// Settings of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Cost that a workspace coming back from idleness may be ahead by, and no
    /// more than [`CREDIT_REQUESTS`] mean requests.
    pub credit: Cost,
    /// Estimate of a request's cost before any is known.
    pub estimate: Cost,
    /// How far a backlogged workspace may stay behind the fleet's virtual time,
    /// in cost for each unit of weight. A lag beyond it is forgiven.
    pub lag: Cost,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            credit: Cost(1_500),
            estimate: Cost(300),
            lag: Cost(6_000),
        }
    }
}

/// Why a request is where it is in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Start tag that the request will have, by estimate.
    pub tag: f64,
    /// Requests of its own workspace before it.
    pub before: u32,
    /// Workspaces that are served before its own.
    pub workspaces_before: u32,
    /// Finish tag of its workspace.
    pub finish: f64,
    /// Whether its workspace is held back by a limit.
    pub blocked: bool,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    item: Item,
    hint: Option<Cost>,
}

#[derive(Debug)]
struct Flow {
    weight: f64,
    blocked: bool,
    finish: f64,
    waiting: BTreeMap<u64, Waiting>,
    learner: Learner,
    charged: Cost,
}

impl Flow {
    fn is_eligible(&self) -> bool {
        !self.blocked && !self.waiting.is_empty()
    }
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting {
        flow: usize,
        sequence: u64,
    },
    Running {
        flow: usize,
        hint: Option<Cost>,
        charged: Cost,
    },
}

/// The queue.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    clock: f64,
    observed: bool,
    flows: IndexMap<Workspace, Flow>,
    eligible: BTreeSet<(Tag, usize)>,
    items: IndexMap<Item, State>,
    mean: Mean,
    sequence: u64,
    backlog: u32,
    weight: f64,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Queue {
            settings,
            clock: 0.0,
            observed: false,
            flows: IndexMap::new(),
            eligible: BTreeSet::new(),
            items: IndexMap::new(),
            mean: Mean::new(settings.estimate),
            sequence: 0,
            backlog: 0,
            weight: 0.0,
        }
    }

    /// Sets the weight of a workspace, which is 1 until then. A weight that is
    /// not a positive number counts as 1, one below [`MIN_WEIGHT`] as that.
    pub fn set_weight(&mut self, workspace: &Workspace, weight: f64) {
        let valid = weight.is_finite() && weight > 0.0;
        let flow = self.flow(workspace);
        let weight = if valid { weight.max(MIN_WEIGHT) } else { 1.0 };
        self.change(flow, |flow| flow.weight = weight);
    }

    /// Holds a workspace back, or lets it go on: it has as many requests
    /// running as its limit allows.
    pub fn set_blocked(&mut self, workspace: &Workspace, blocked: bool) {
        let index = self.flow(workspace);
        if self.flows[index].blocked && !blocked {
            self.raise_to_clock(index);
        }
        self.change(index, |flow| flow.blocked = blocked);
    }

    /// Adds a request. An item that is already known stays as it is.
    pub fn push(&mut self, workspace: &Workspace, item: Item, hint: Option<Cost>) {
        if self.items.contains_key(&item) {
            return;
        }
        let index = self.flow(workspace);
        if self.flows[index].waiting.is_empty() {
            self.raise_to_clock(index);
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let waiting = Waiting { item, hint };
        self.change(index, |flow| {
            flow.waiting.insert(sequence, waiting);
        });
        let state = State::Waiting {
            flow: index,
            sequence,
        };
        self.items.insert(item, state);
    }

    /// Takes a waiting request out, uncharged. Returns whether it was waiting.
    pub fn remove(&mut self, item: Item) -> bool {
        let Some(&State::Waiting { flow, sequence }) = self.items.get(&item) else {
            return false;
        };
        self.items.swap_remove(&item);
        self.change(flow, |flow| {
            flow.waiting.remove(&sequence);
        });
        true
    }

    /// Returns the lowest start tag of the requests that could run.
    #[must_use]
    pub fn head(&self) -> Option<f64> {
        self.eligible.first().map(|(tag, _)| tag.0)
    }

    /// Takes the request that is served next and charges its estimate.
    pub fn pop(&mut self) -> Option<Item> {
        self.pop_preferring(|_| false)
    }

    /// Takes a request of the workspace that is served next, a preferred one if
    /// there is one near the head of that workspace's requests.
    ///
    /// The preference never passes over another workspace, so it costs nothing
    /// in fairness between workspaces.
    pub fn pop_preferring(&mut self, prefer: impl Fn(Item) -> bool) -> Option<Item> {
        let &(tag, index) = self.eligible.first()?;
        self.clock = self.clock.max(tag.0);
        let flow = &self.flows[index];
        let (&sequence, &waiting) = flow
            .waiting
            .iter()
            .take(PREFERENCE_DEPTH)
            .find(|(_, waiting)| prefer(waiting.item))
            .or_else(|| flow.waiting.first_key_value())?;
        let charged = Cost(flow.learner.estimate(waiting.hint, &self.mean).round() as u64);
        self.change(index, |flow| {
            flow.waiting.remove(&sequence);
        });
        self.charge(index, Cost(0), charged);
        let state = State::Running {
            flow: index,
            hint: waiting.hint,
            charged,
        };
        self.items.insert(waiting.item, state);
        Some(waiting.item)
    }

    /// Raises the charge of a running request to the cost that it has so far.
    pub fn progress(&mut self, item: Item, cost: Cost) {
        let Some(State::Running { flow, charged, .. }) = self.items.get_mut(&item) else {
            return;
        };
        if cost > *charged {
            let (index, before) = (*flow, *charged);
            *charged = cost;
            self.charge(index, before, cost);
        }
    }

    /// Ends a running request and settles its charge at the true cost.
    pub fn complete(&mut self, item: Item, cost: Cost) {
        if let Some((index, hint)) = self.settle(item, cost) {
            self.flows[index].learner.learn(hint, cost);
            self.mean.add(cost);
        }
    }

    /// Ends a request that was taken from the queue but never ran, and gives its
    /// charge back.
    pub fn cancel(&mut self, item: Item) {
        self.settle(item, Cost(0));
    }

    /// Takes note of the fleet's virtual time, see [`crate::order::fleet_time`].
    ///
    /// Workspaces that come back from idleness start from it. Backlogged ones
    /// that are further behind than the allowed lag are raised to it, which
    /// happens after a partition. The first time, as at a router that restarted
    /// empty, they are raised to the credit instead: nothing is known of a lag.
    pub fn observe(&mut self, fleet: f64) {
        if !fleet.is_finite() {
            return;
        }
        self.clock = self.clock.max(fleet);
        if !self.observed {
            self.observed = true;
            for index in 0..self.flows.len() {
                self.raise_to_clock(index);
            }
        }
        let floor = fleet - self.settings.lag.0 as f64;
        while let Some(&(tag, index)) = self.eligible.first() {
            if tag.0 >= floor {
                break;
            }
            self.change(index, |flow| flow.finish = floor);
        }
    }

    /// Returns the virtual time: the tag of the request that is served next, or
    /// where the next one would start if none waits.
    #[must_use]
    pub fn virtual_time(&self) -> f64 {
        self.head().unwrap_or(self.clock)
    }

    /// Returns the number of requests that wait and could run.
    #[must_use]
    pub fn backlog(&self) -> u32 {
        self.backlog
    }

    /// Returns the sum of the weights of workspaces that have requests which
    /// wait and could run.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the mean cost of completed requests.
    #[must_use]
    pub fn mean_cost(&self) -> f64 {
        self.mean.value()
    }

    /// Returns the cost charged to a workspace so far, estimates included.
    #[must_use]
    pub fn charged(&self, workspace: &Workspace) -> Cost {
        self.flows
            .get(workspace)
            .map_or(Cost(0), |flow| flow.charged)
    }

    /// Says why a waiting request is where it is.
    #[must_use]
    pub fn explain(&self, item: Item) -> Option<Place> {
        let Some(&State::Waiting {
            flow: index,
            sequence,
        }) = self.items.get(&item)
        else {
            return None;
        };
        let flow = &self.flows[index];
        let earlier = flow.waiting.range(..sequence);
        let cost: f64 = earlier
            .clone()
            .map(|(_, waiting)| flow.learner.estimate(waiting.hint, &self.mean))
            .sum();
        let key = (Tag(flow.finish), index);
        Some(Place {
            tag: flow.finish + cost / flow.weight,
            before: count(earlier.count()),
            workspaces_before: count(self.eligible.range(..key).count()),
            finish: flow.finish,
            blocked: flow.blocked,
        })
    }

    fn flow(&mut self, workspace: &Workspace) -> usize {
        if let Some(index) = self.flows.get_index_of(workspace) {
            return index;
        }
        let flow = Flow {
            weight: 1.0,
            blocked: false,
            finish: self.clock,
            waiting: BTreeMap::new(),
            learner: Learner::new(&self.mean),
            charged: Cost(0),
        };
        self.flows.insert_full(workspace.clone(), flow).0
    }

    /// Limits what a workspace saved up while it was idle to the credit.
    fn raise_to_clock(&mut self, index: usize) {
        let credit = (self.settings.credit.0 as f64).min(CREDIT_REQUESTS * self.mean.value());
        let floor = self.clock - credit / self.flows[index].weight;
        self.change(index, |flow| flow.finish = flow.finish.max(floor));
    }

    fn charge(&mut self, index: usize, before: Cost, after: Cost) {
        let delta = after.0 as f64 - before.0 as f64;
        self.change(index, |flow| {
            flow.finish += delta / flow.weight;
            flow.charged = Cost((flow.charged.0 - before.0).saturating_add(after.0));
        });
    }

    fn settle(&mut self, item: Item, cost: Cost) -> Option<(usize, Option<Cost>)> {
        let Some(&State::Running {
            flow,
            hint,
            charged,
        }) = self.items.get(&item)
        else {
            return None;
        };
        self.items.swap_remove(&item);
        self.charge(flow, charged, cost);
        Some((flow, hint))
    }

    /// Changes a flow and keeps the order, the backlog and the weight in step.
    fn change(&mut self, index: usize, change: impl FnOnce(&mut Flow)) {
        let flow = &mut self.flows[index];
        if flow.is_eligible() {
            self.eligible.remove(&(Tag(flow.finish), index));
            self.backlog -= count(flow.waiting.len());
            self.weight -= flow.weight;
        }
        change(flow);
        if flow.is_eligible() {
            self.eligible.insert((Tag(flow.finish), index));
            self.backlog += count(flow.waiting.len());
            self.weight += flow.weight;
        }
        if self.eligible.is_empty() {
            // Sums of fractions leave a remainder.
            self.weight = 0.0;
        }
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
