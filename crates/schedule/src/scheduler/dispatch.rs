//! Order in which waiting requests are dispatched.

use std::collections::BTreeSet;

use balsamchute_model::prelude::*;

use crate::action::{Action, Id, Rationale};
use crate::parts::Verdict;
use crate::pending::{Dispatch, Pending, Stage};
use crate::place::{Choice, Priority, Selector};
use crate::queue::{Flow, Head};
use crate::scheduler::Scheduler;
use crate::share::Shares;

/// Requests within their workspace's share that find all runners full before a round of
/// dispatching ends. More would cost processor time while nothing can be sent.
const MAX_FULL_CHOICES: u32 = 3;

impl Scheduler {
    /// Dispatches waiting requests of all services to runners with capacity.
    pub(super) fn dispatch_all(&mut self, now: Time) {
        let services: Vec<Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.dispatch_service(now, &service);
        }
    }

    /// Dispatches waiting requests of a service to runners with capacity, those
    /// of the least served workspace first.
    pub(super) fn dispatch_service(&mut self, now: Time, service: &Service) {
        let mut blocked_flows: BTreeSet<Flow> = BTreeSet::new();
        let mut full_choices = 0;
        while let Some((flow, id)) = self.next_request(service, &blocked_flows) {
            let pending = &self.pending[&id];
            if self.is_refused(now, pending) {
                self.reject_suspect(id);
                continue;
            }
            let priority = self.priority(pending);
            match self.choose_runner(now, id, priority) {
                Choice::Runner { runner, rationale } => {
                    let rationale =
                        rationale.with_share(&self.rationale(service, &self.pending[&id]));
                    self.dequeue(service, &flow, id);
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.record_dispatch(now, &flow);
                    }
                    self.send(now, id, &runner, rationale);
                }
                // The following requests have the same priority or a lower one, and
                // find a runner only if they are smaller.
                Choice::Full if priority == Priority::WithinShare => {
                    full_choices += 1;
                    if full_choices >= MAX_FULL_CHOICES {
                        return;
                    }
                    blocked_flows.insert(flow);
                }
                Choice::Full | Choice::NoRunner => {
                    blocked_flows.insert(flow);
                }
            }
        }
    }

    /// Returns the waiting request that goes first: one that may have run
    /// already, then one of the least served workspace, then one that arrived
    /// within its latency target, then one of the route with the lowest ratio of
    /// served to demanded cost.
    fn next_request(
        &self,
        service: &Service,
        blocked_flows: &BTreeSet<Flow>,
    ) -> Option<(Flow, Id)> {
        let mut best: Option<((bool, f64, bool, f64), Head<'_>)> = None;
        for head in self.queues.get(service)?.heads() {
            if blocked_flows.contains(head.flow) {
                continue;
            }
            let (workspace, route) = head.flow;
            let never_ran = !self.pending[&head.id].has_run();
            let served = self.served_cost(service, workspace.as_ref());
            if best.is_some_and(|((best_never_ran, lowest_served, ..), _)| {
                (never_ran, served) > (best_never_ran, lowest_served)
            }) {
                continue;
            }
            let served_ratio = self.breakdown.served_ratio(workspace.as_ref(), route);
            let order = (never_ran, served, head.is_late, served_ratio);
            if best.is_none_or(|(lowest, _)| order < lowest) {
                best = Some((order, head));
            }
        }
        best.map(|(_, head)| (head.flow.clone(), head.id))
    }

    /// Returns the share of a request's workspace, for logs; the estimates
    /// about a runner are left at their defaults.
    pub(super) fn rationale(&self, service: &Service, pending: &Pending) -> Rationale {
        let workspace = pending.request.workspace.as_ref();
        Rationale {
            cost: pending.request.cost(),
            served_cost: self.served_cost(service, workspace),
            fair_share: self.shares.get(service).map_or(0.0, Shares::fair_share),
            ..Rationale::default()
        }
    }

    /// Returns the decayed cost that a workspace was served; 0 for requests
    /// without a workspace, which are not counted.
    fn served_cost(&self, service: &Service, workspace: Option<&Workspace>) -> f64 {
        match (self.shares.get(service), workspace) {
            (Some(shares), Some(workspace)) => shares.served(workspace),
            _ => 0.0,
        }
    }

    /// Returns the priority of a request. One that may have run already is
    /// charged to its workspace, so that its retry counts as within the share.
    pub(super) fn priority(&self, pending: &Pending) -> Priority {
        let request = &pending.request;
        if pending.has_run() {
            return Priority::WithinShare;
        }
        match (self.shares.get(&request.service), &request.workspace) {
            (Some(shares), Some(workspace)) if !shares.is_under_share(workspace) => {
                match (shares.is_behind(workspace), shares.is_ahead(workspace)) {
                    (true, _) => Priority::Behind,
                    (false, true) => Priority::Ahead,
                    (false, false) => Priority::Surplus,
                }
            }
            _ => Priority::WithinShare,
        }
    }

    fn choose_runner(&self, now: Time, id: Id, priority: Priority) -> Choice {
        let pending = &self.pending[&id];
        let selector = Selector {
            now,
            domain: &self.settings.domain,
            targets: &self.targets,
            notices: &self.notices,
            evacuated: &self.evacuated,
            rates: &self.rates,
            engine: self.engines.get(&pending.request.service),
        };
        match self.verdict(now, pending) {
            Verdict::Sound => selector.choose(pending, priority, |_| true),
            Verdict::Suspected | Verdict::OnTrial => {
                let excluded = self.suspected_runners(now);
                selector.choose(pending, priority, |target| {
                    !excluded.contains(&target.entry.runner)
                })
            }
            Verdict::Refused => Choice::NoRunner,
        }
    }

    /// Returns the runners that run a suspected request of this router. Suspected parts
    /// count until the answer begins.
    fn suspected_runners(&self, now: Time) -> BTreeSet<Runner> {
        let mut runners = BTreeSet::new();
        for pending in self.pending.values() {
            let Stage::Dispatched(dispatch) = &pending.stage else {
                continue;
            };
            let is_suspected = match dispatch.events {
                0 => self.verdict(now, pending) != Verdict::Sound,
                _ => self.is_suspected(now, pending.request.fingerprint),
            };
            if is_suspected {
                runners.insert(dispatch.runner.clone());
            }
        }
        runners
    }

    fn send(&mut self, now: Time, id: Id, runner: &Runner, rationale: Rationale) {
        let pending = &mut self.pending[&id];
        let prompt = pending.request.prompt.as_ref();
        let kv_tokens = prompt.map_or(0, |prompt| {
            u64::from(prompt.input_tokens) + u64::from(prompt.expected_output_tokens())
        });
        let target = &mut self.targets[runner];
        target.local_load.add(rationale.prefill_tokens, kv_tokens);
        if let Some(prompt) = prompt {
            let engine = self.engines.get(&pending.request.service);
            let kv_capacity = engine.map_or(u64::MAX, |engine| engine.kv_cache_tokens);
            target.cache.insert(prompt, kv_capacity);
        }
        let address = target.entry.address;
        let software = target.entry.software.clone();
        self.rates.record_send(now, runner);
        pending.tried.push(runner.clone());
        pending.stage = Stage::Dispatched(Dispatch {
            runner: runner.clone(),
            sent_at: now,
            estimate: rationale.first_event_estimate,
            prefill_tokens: rationale.prefill_tokens,
            kv_tokens,
            software,
            last_event_at: now,
            events: 0,
            written: false,
        });
        self.charge(id, 1.0);
        self.actions.push(Action::Send {
            id,
            runner: runner.clone(),
            address,
            rationale,
        });
    }
}
