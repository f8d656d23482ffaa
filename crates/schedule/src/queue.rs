//! Queues of requests that wait for a runner, by workspace and route.

use std::collections::{BTreeMap, VecDeque};

use balsamchute_model::prelude::*;

use crate::action::Id;
use crate::request::Request;

/// Key of the requests that share a queue: their workspace and route.
pub(crate) type Flow = (Option<Workspace>, String);

/// Returns the flow that a request is queued in.
pub(crate) fn flow(request: &Request) -> Flow {
    (request.workspace.clone(), request.route.clone())
}

/// Waiting requests of one flow.
#[derive(Clone, Debug, Default)]
struct Backlog {
    /// Requests that arrived within their latency target, in order of arrival.
    timely: VecDeque<Id>,
    /// Requests that had missed their latency target when they arrived, because
    /// callers retried them after a refusal.
    late: VecDeque<Id>,
    /// Whether a plain request was queued since the backlog was last empty.
    has_plain: bool,
    /// Whether a request was queued since then that may have run before or be bound to a
    /// software version.
    has_bound: bool,
}

impl Backlog {
    fn head<'a>(&self, flow: &'a Flow) -> Option<Head<'a>> {
        let is_late = self.timely.is_empty();
        let id = *self.timely.front().or(self.late.front())?;
        Some(Head {
            flow,
            id,
            is_late,
            is_new_prompt: !self.has_plain && !self.has_bound,
        })
    }

    fn ids_mut(&mut self, is_late: bool) -> &mut VecDeque<Id> {
        if is_late {
            &mut self.late
        } else {
            &mut self.timely
        }
    }
}

/// Time in which the count of dispatched requests of a flow falls to 1/e.
const PACE_WINDOW: Span = Span(1000);

/// Waiting requests that a flow may have however few of them are dispatched.
const MIN_WAITING: f64 = 4.0;

/// Ratio of waiting requests to those that are dispatched in the time that they may wait,
/// above which further ones would wait in vain. Above 1, because capacity comes in
/// bursts.
const MAX_WAITING_RATIO: f64 = 2.0;

/// Count below which the pace of a flow is dropped.
const NEGLIGIBLE_COUNT: f64 = 0.05;

/// Dispatched requests of a flow, decayed exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    count: f64,
    counted_at: Time,
}

impl Pace {
    fn count_at(&self, now: Time) -> f64 {
        let age = now.since(self.counted_at).0 as f64;
        self.count * (-age / PACE_WINDOW.0 as f64).exp()
    }
}

/// First request of a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Head<'a> {
    pub flow: &'a Flow,
    pub id: Id,
    /// Whether this request, and with it every other one of the flow, had
    /// missed its latency target on arrival.
    pub is_late: bool,
    /// Whether the request is a prompt that never ran and that any runner may take. `false`
    /// if that is not known.
    pub is_new_prompt: bool,
}

/// Waiting requests of one service, by flow.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    backlogs: BTreeMap<Flow, Backlog>,
    paces: BTreeMap<Flow, Pace>,
}

impl Queue {
    /// Adds a request behind those that are queued. Returns whether it is the first of
    /// its flow: one behind others cannot be dispatched before they are.
    pub fn push_back(&mut self, request: &Request, id: Id) -> bool {
        let ids = self.backlog_mut(request).ids_mut(request.is_late());
        ids.push_back(id);
        ids.len() == 1
    }

    /// Returns whether a further request of a flow would wait in vain: so many wait that
    /// it would not be dispatched within `max_wait`.
    pub fn is_overfull(&self, now: Time, request: &Request, max_wait: Span) -> bool {
        let flow = flow(request);
        let Some(backlog) = self.backlogs.get(&flow) else {
            return false;
        };
        let pace = self.paces.get(&flow).map_or(0.0, |pace| pace.count_at(now));
        let expected = pace * max_wait.0 as f64 / PACE_WINDOW.0 as f64;
        let waiting = backlog.timely.len() + backlog.late.len();
        waiting as f64 >= (expected * MAX_WAITING_RATIO).max(MIN_WAITING)
    }

    /// Counts a dispatched request of a flow.
    pub fn record_dispatch(&mut self, now: Time, flow: &Flow) {
        let pace = self.paces.entry(flow.clone()).or_default();
        *pace = Pace {
            count: pace.count_at(now) + 1.0,
            counted_at: now,
        };
    }

    /// Drops the paces of flows that have not been dispatched for long.
    pub fn expire(&mut self, now: Time) {
        self.paces
            .retain(|_, pace| pace.count_at(now) > NEGLIGIBLE_COUNT);
    }

    /// Adds a request in front of those that are queued.
    pub fn push_front(&mut self, request: &Request, id: Id) {
        let backlog = self.backlog_mut(request);
        backlog.has_bound = true;
        backlog.ids_mut(request.is_late()).push_front(id);
    }

    /// Removes a request, if it is queued in the flow.
    pub fn remove(&mut self, flow: &Flow, id: Id) {
        let Some(backlog) = self.backlogs.get_mut(flow) else {
            return;
        };
        backlog.timely.retain(|&other| other != id);
        backlog.late.retain(|&other| other != id);
        if backlog.timely.is_empty() && backlog.late.is_empty() {
            self.backlogs.remove(flow);
        }
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.backlogs.is_empty()
    }

    /// Returns whether plain requests may be among those that wait.
    pub fn may_have_plain(&self) -> bool {
        self.backlogs.values().any(|backlog| backlog.has_plain)
    }

    /// Returns the first request of a flow.
    pub fn head(&self, flow: &Flow) -> Option<Head<'_>> {
        let (flow, backlog) = self.backlogs.get_key_value(flow)?;
        backlog.head(flow)
    }

    /// Returns the first request of each flow; timely requests come before late
    /// ones.
    pub fn heads(&self) -> impl Iterator<Item = Head<'_>> {
        let backlogs = self.backlogs.iter();
        backlogs.filter_map(|(flow, backlog)| backlog.head(flow))
    }

    fn backlog_mut(&mut self, request: &Request) -> &mut Backlog {
        let backlog = self.backlogs.entry(flow(request)).or_default();
        backlog.has_plain |= request.prompt.is_none();
        backlog.has_bound |= request.resumed.is_some();
        backlog
    }
}
