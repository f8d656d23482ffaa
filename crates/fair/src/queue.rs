//! Queue of one service at a home router of workspaces: start-time fair queueing
//! on true cost.
//!
//! The requests of a workspace form a flow. Each flow has a finish tag: the
//! virtual time that it has reached, which is also the start tag of its next
//! request. A charge advances the tag by the cost per unit of weight, and limits
//! on the lag raise it. The flow with the lowest tag is served next.
//! A request is charged an estimate when it is taken from the queue. The charge
//! follows the true cost upward while the request runs, and in both directions
//! when it completes.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_base::prelude::*;
use indexmap::IndexMap;

use crate::estimate::{Estimator, Mean};
use crate::virtual_time::Tag;

/// Number of a request, unique within the router that holds the queue.
pub type RequestNumber = u64;

/// Requests at the head of a workspace's queue among which a preferred one may
/// go first.
const PREFERENCE_DEPTH: usize = 8;

/// Upper limit of the credit of a workspace ([`Settings::credit`]) or a router
/// ([`crate::lender::Settings::credit`]), in requests of mean cost.
pub const MAX_CREDIT_REQUESTS: f64 = 12.0;

/// Smallest weight in use. Costs are divided by weights, so a tiny weight could
/// make a tag infinite.
pub const MIN_WEIGHT: f64 = 1e-3;

/// Cost parameters of a [`Queue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Largest lag behind the virtual clock at which a workspace returns from
    /// idleness, as a cost that is divided by the weight of the workspace. Limited
    /// to [`MAX_CREDIT_REQUESTS`] requests of mean cost.
    pub credit: Cost,
    /// Estimated cost of a request before any has completed.
    pub initial_estimate: Cost,
    /// Largest lag of a backlogged workspace behind the fleet's virtual time, in
    /// cost per unit of weight. The part of a lag beyond it is dropped.
    pub max_lag: Cost,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            credit: Cost(1_500),
            initial_estimate: Cost(300),
            max_lag: Cost(6_000),
        }
    }
}

/// Position of a waiting request, with the figures that determine it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Estimated start tag of the request.
    pub tag: f64,
    /// Requests of the same workspace that are ahead in the queue.
    pub before: u32,
    /// Workspaces that are served before the workspace of the request.
    pub workspaces_before: u32,
    /// Finish tag of the request's workspace.
    pub finish: f64,
    /// Whether a limit holds the workspace back.
    pub blocked: bool,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request_number: RequestNumber,
    hint: Option<Cost>,
}

/// Queued requests and charges of one workspace.
#[derive(Debug)]
struct Flow {
    weight: f64,
    blocked: bool,
    finish_tag: f64,
    /// Waiting requests by order of arrival.
    waiting: BTreeMap<u64, Waiting>,
    estimator: Estimator,
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

/// Fair queue of the requests of one service.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    /// The larger of the largest start tag served and the largest fleet virtual
    /// time observed.
    virtual_clock: f64,
    /// Whether a virtual time of the fleet has been observed.
    fleet_observed: bool,
    flows: IndexMap<Workspace, Flow>,
    /// Flows that can be served, by finish tag.
    eligible: BTreeSet<(Tag, usize)>,
    requests: IndexMap<RequestNumber, State>,
    mean_cost: Mean,
    last_sequence: u64,
    /// Waiting requests of eligible flows.
    backlog: u32,
    /// Sum of the weights of eligible flows.
    backlogged_weight: f64,
}

impl Queue {
    /// Creates an empty queue, whose virtual time is 0.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Queue {
            settings,
            virtual_clock: 0.0,
            fleet_observed: false,
            flows: IndexMap::new(),
            eligible: BTreeSet::new(),
            requests: IndexMap::new(),
            mean_cost: Mean::new(settings.initial_estimate),
            last_sequence: 0,
            backlog: 0,
            backlogged_weight: 0.0,
        }
    }

    /// Sets the weight of a workspace, which defaults to 1. A weight that is not
    /// a positive finite number counts as 1, and one below [`MIN_WEIGHT`] as
    /// [`MIN_WEIGHT`].
    pub fn set_weight(&mut self, workspace: &Workspace, weight: f64) {
        let valid = weight.is_finite() && weight > 0.0;
        let index = self.flow_index(workspace);
        let weight = if valid { weight.max(MIN_WEIGHT) } else { 1.0 };
        self.update_flow(index, |flow| flow.weight = weight);
    }

    /// Sets whether a workspace is held back because its running requests have
    /// reached its concurrency limit. Requests of a blocked workspace are not
    /// served and not part of the backlog. Unblocking limits the lag of the
    /// workspace to the credit.
    pub fn set_blocked(&mut self, workspace: &Workspace, blocked: bool) {
        let index = self.flow_index(workspace);
        if self.flows[index].blocked && !blocked {
            self.limit_to_credit(index);
        }
        self.update_flow(index, |flow| flow.blocked = blocked);
    }

    /// Adds a request, with the cost that its caller expects as `hint`. Does
    /// nothing if the request is already waiting or running.
    pub fn push(
        &mut self,
        workspace: &Workspace,
        request_number: RequestNumber,
        hint: Option<Cost>,
    ) {
        if self.requests.contains_key(&request_number) {
            return;
        }
        let index = self.flow_index(workspace);
        if self.flows[index].waiting.is_empty() {
            self.limit_to_credit(index);
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let waiting = Waiting {
            request_number,
            hint,
        };
        self.update_flow(index, |flow| {
            flow.waiting.insert(sequence, waiting);
        });
        let state = State::Waiting {
            flow: index,
            sequence,
        };
        self.requests.insert(request_number, state);
    }

    /// Removes a waiting request without charging it. Returns whether it was
    /// waiting.
    pub fn remove(&mut self, request_number: RequestNumber) -> bool {
        let Some(&State::Waiting { flow, sequence }) = self.requests.get(&request_number) else {
            return false;
        };
        self.requests.swap_remove(&request_number);
        self.update_flow(flow, |flow| {
            flow.waiting.remove(&sequence);
        });
        true
    }

    /// Returns the start tag of the request that is served next, or `None` if no
    /// request of an unblocked workspace waits.
    #[must_use]
    pub fn lowest_tag(&self) -> Option<f64> {
        self.eligible.first().map(|(tag, _)| tag.0)
    }

    /// Takes the request that is served next and charges its estimated cost.
    pub fn pop(&mut self) -> Option<RequestNumber> {
        self.pop_preferring(|_| false)
    }

    /// Takes a request of the workspace that is served next: a preferred one if
    /// there is one near the head of that workspace's queue, else the first.
    ///
    /// The preference reorders requests of one workspace only, so it does not
    /// affect fairness between workspaces.
    pub fn pop_preferring(
        &mut self,
        is_preferred: impl Fn(RequestNumber) -> bool,
    ) -> Option<RequestNumber> {
        let &(tag, index) = self.eligible.first()?;
        self.virtual_clock = self.virtual_clock.max(tag.0);
        let flow = &self.flows[index];
        let (&sequence, &waiting) = flow
            .waiting
            .iter()
            .take(PREFERENCE_DEPTH)
            .find(|(_, waiting)| is_preferred(waiting.request_number))
            .or_else(|| flow.waiting.first_key_value())?;
        let charged = Cost(
            flow.estimator
                .estimate(waiting.hint, &self.mean_cost)
                .round() as u64,
        );
        self.update_flow(index, |flow| {
            flow.waiting.remove(&sequence);
        });
        self.adjust_charge(index, Cost(0), charged);
        let state = State::Running {
            flow: index,
            hint: waiting.hint,
            charged,
        };
        self.requests.insert(waiting.request_number, state);
        Some(waiting.request_number)
    }

    /// Raises the charge of a running request to the cost that it has reached so
    /// far. A lower cost leaves the charge unchanged.
    pub fn raise_charge(&mut self, request_number: RequestNumber, cost: Cost) {
        let Some(State::Running { flow, charged, .. }) = self.requests.get_mut(&request_number)
        else {
            return;
        };
        if cost > *charged {
            let (index, before) = (*flow, *charged);
            *charged = cost;
            self.adjust_charge(index, before, cost);
        }
    }

    /// Ends a running request, sets its charge to the true cost and records the
    /// cost for later estimates.
    pub fn complete(&mut self, request_number: RequestNumber, cost: Cost) {
        if let Some((index, hint)) = self.end_running(request_number, cost) {
            self.flows[index].estimator.record(hint, cost);
            self.mean_cost.add(cost);
        }
    }

    /// Ends a request that was taken from the queue but never ran, and refunds
    /// its charge.
    pub fn cancel(&mut self, request_number: RequestNumber) {
        self.end_running(request_number, Cost(0));
    }

    /// Updates the queue with the fleet's virtual time, see
    /// [`crate::virtual_time::fleet_virtual_time`].
    ///
    /// Workspaces that return from idleness start from it. Backlogged workspaces
    /// that are behind it by more than the allowed lag, as after a partition, are
    /// raised to that lag. The first call, as at a router that restarted empty,
    /// raises them to the credit instead, since nothing is known about their lag.
    pub fn observe_fleet_time(&mut self, fleet_time: f64) {
        if !fleet_time.is_finite() {
            return;
        }
        self.virtual_clock = self.virtual_clock.max(fleet_time);
        if !self.fleet_observed {
            self.fleet_observed = true;
            for index in 0..self.flows.len() {
                self.limit_to_credit(index);
            }
        }
        let floor = fleet_time - self.settings.max_lag.0 as f64;
        while let Some(&(tag, index)) = self.eligible.first() {
            if tag.0 >= floor {
                break;
            }
            self.update_flow(index, |flow| flow.finish_tag = floor);
        }
    }

    /// Returns the virtual time: the start tag of the request that is served
    /// next, or the tag at which the next request would start if none waits.
    #[must_use]
    pub fn virtual_time(&self) -> f64 {
        self.lowest_tag().unwrap_or(self.virtual_clock)
    }

    /// Returns the number of waiting requests of workspaces that are not blocked.
    #[must_use]
    pub fn backlog(&self) -> u32 {
        self.backlog
    }

    /// Returns the sum of the weights of the workspaces that the backlog belongs
    /// to.
    #[must_use]
    pub fn backlogged_weight(&self) -> f64 {
        self.backlogged_weight
    }

    /// Returns the running mean of the costs of completed requests, at least 1.
    #[must_use]
    pub fn mean_cost(&self) -> f64 {
        self.mean_cost.value()
    }

    /// Returns the total cost charged to a workspace, including the estimates for
    /// running requests.
    #[must_use]
    pub fn charged(&self, workspace: &Workspace) -> Cost {
        self.flows
            .get(workspace)
            .map_or(Cost(0), |flow| flow.charged)
    }

    /// Returns the position of a waiting request and the reasons for it, or
    /// `None` if the request does not wait here.
    #[must_use]
    pub fn explain(&self, request_number: RequestNumber) -> Option<Place> {
        let Some(&State::Waiting {
            flow: index,
            sequence,
        }) = self.requests.get(&request_number)
        else {
            return None;
        };
        let flow = &self.flows[index];
        let earlier = flow.waiting.range(..sequence);
        let cost: f64 = earlier
            .clone()
            .map(|(_, waiting)| flow.estimator.estimate(waiting.hint, &self.mean_cost))
            .sum();
        let key = (Tag(flow.finish_tag), index);
        Some(Place {
            tag: flow.finish_tag + cost / flow.weight,
            before: saturating_u32(earlier.count()),
            workspaces_before: saturating_u32(self.eligible.range(..key).count()),
            finish: flow.finish_tag,
            blocked: flow.blocked,
        })
    }

    /// Returns the index of a workspace's flow, which is created if missing.
    fn flow_index(&mut self, workspace: &Workspace) -> usize {
        if let Some(index) = self.flows.get_index_of(workspace) {
            return index;
        }
        let flow = Flow {
            weight: 1.0,
            blocked: false,
            finish_tag: self.virtual_clock,
            waiting: BTreeMap::new(),
            estimator: Estimator::new(&self.mean_cost),
            charged: Cost(0),
        };
        self.flows.insert_full(workspace.clone(), flow).0
    }

    /// Raises the finish tag of a flow so that it lags behind the virtual clock by
    /// no more than the credit per unit of weight.
    fn limit_to_credit(&mut self, index: usize) {
        let credit =
            (self.settings.credit.0 as f64).min(MAX_CREDIT_REQUESTS * self.mean_cost.value());
        let floor = self.virtual_clock - credit / self.flows[index].weight;
        self.update_flow(index, |flow| flow.finish_tag = flow.finish_tag.max(floor));
    }

    /// Replaces the charge `before` of one request by `after` in the finish tag and
    /// the total of its flow.
    fn adjust_charge(&mut self, index: usize, before: Cost, after: Cost) {
        let delta = after.0 as f64 - before.0 as f64;
        self.update_flow(index, |flow| {
            flow.finish_tag += delta / flow.weight;
            flow.charged = Cost((flow.charged.0 - before.0).saturating_add(after.0));
        });
    }

    /// Removes a running request and sets its charge to `cost`. Returns the
    /// index of its flow and its hint.
    fn end_running(
        &mut self,
        request_number: RequestNumber,
        cost: Cost,
    ) -> Option<(usize, Option<Cost>)> {
        let Some(&State::Running {
            flow,
            hint,
            charged,
        }) = self.requests.get(&request_number)
        else {
            return None;
        };
        self.requests.swap_remove(&request_number);
        self.adjust_charge(flow, charged, cost);
        Some((flow, hint))
    }

    /// Applies `update` to a flow and keeps the set of eligible flows, the
    /// backlog and the backlogged weight consistent with it.
    fn update_flow(&mut self, index: usize, update: impl FnOnce(&mut Flow)) {
        let flow = &mut self.flows[index];
        if flow.is_eligible() {
            self.eligible.remove(&(Tag(flow.finish_tag), index));
            self.backlog -= saturating_u32(flow.waiting.len());
            self.backlogged_weight -= flow.weight;
        }
        update(flow);
        if flow.is_eligible() {
            self.eligible.insert((Tag(flow.finish_tag), index));
            self.backlog += saturating_u32(flow.waiting.len());
            self.backlogged_weight += flow.weight;
        }
        if self.eligible.is_empty() {
            // Clears the rounding error of sums of fractional weights.
            self.backlogged_weight = 0.0;
        }
    }
}

fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
