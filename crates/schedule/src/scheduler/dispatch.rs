//! Order in which waiting requests are dispatched.

use std::collections::BTreeSet;

use balsamchute_model::prelude::*;

use crate::action::{Action, Id, Rationale};
use crate::parts::Verdict;
use crate::pending::{Dispatch, Pending, Stage};
use crate::place::{Choice, Priority, Selector, needed_tokens};
use crate::queue::{Flow, Head, flow};
use crate::round::Round;
use crate::runner::Target;
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
        self.settled.remove(service);
        let Some(queue) = self.queues.get(service).filter(|queue| !queue.is_empty()) else {
            return;
        };
        let has_plain = queue.may_have_plain();
        let mut round = self.selector(now, service).round(service);
        // A suspected request is refused although no runner has room.
        let skips_full = !self.recomputes && !self.has_suspects();
        if skips_full && !round.has_any_room(has_plain) {
            self.settle(service, round);
            return;
        }
        let mut heads = self.ordered_heads(service, skips_full.then_some(&round));
        let mut blocked_flows: BTreeSet<Flow> = BTreeSet::new();
        let mut full_choices = 0;
        let mut has_sent = false;
        while let Some(position) = first(&heads) {
            let id = heads[position].id;
            let pending = &self.pending[&id];
            let flow = flow(&pending.request);
            if self.is_refused(now, pending) {
                self.reject_suspect(id);
                self.update_heads(service, &mut heads, position, &flow, &blocked_flows);
                continue;
            }
            let priority = self.priority(pending);
            match self.choose_runner(now, id, priority, &mut round) {
                Choice::Runner { runner, rationale } => {
                    let rationale =
                        rationale.with_share(&self.rationale(service, &self.pending[&id]));
                    self.dequeue(service, &flow, id);
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.record_dispatch(now, &flow);
                    }
                    self.send(now, id, &runner, rationale);
                    has_sent = true;
                    if let Some((index, _, target)) = self.targets.get_full(&runner) {
                        round.set_load(index, target.load(now));
                    }
                    self.update_heads(service, &mut heads, position, &flow, &blocked_flows);
                }
                // The following requests have the same priority or a lower one, and
                // find a runner only if they are smaller.
                Choice::Full if priority == Priority::WithinShare => {
                    full_choices += 1;
                    if full_choices >= MAX_FULL_CHOICES {
                        return;
                    }
                    heads.remove(position);
                    blocked_flows.insert(flow);
                }
                Choice::Full | Choice::NoRunner => {
                    heads.remove(position);
                    blocked_flows.insert(flow);
                }
            }
        }
        // The parts that a runner was sent may let it take a request that was tried before.
        if !has_sent {
            self.settle(service, round);
        }
    }

    /// Returns whether a request that has just been queued, the first of its flow, finds no
    /// runner, and no other one would either: the last round tried all that waited, and
    /// nothing has changed since.
    pub(super) fn stays_settled(&mut self, now: Time, service: &Service, id: Id) -> bool {
        let Some(mut round) = self.settled.remove(service) else {
            return false;
        };
        if !round.is_stable(now) || self.has_suspects() {
            return false;
        }
        // Where streams may begin changes with time.
        round.clear_barred();
        let priority = self.priority(&self.pending[&id]);
        let choice = self.choose_runner(now, id, priority, &mut round);
        if matches!(choice, Choice::Runner { .. }) {
            return false;
        }
        self.settled.insert(service.clone(), round);
        true
    }

    /// Keeps the state of a round after which nothing that waits finds a runner. Limits on
    /// the rate of requests change with time, so nothing is kept beside them.
    fn settle(&mut self, service: &Service, round: Round) {
        if !self.recomputes && !self.has_suspects() && self.rates.is_empty() {
            self.settled.insert(service.clone(), round);
        }
    }

    /// Returns whether a request may be refused or kept apart because of crashes.
    fn has_suspects(&self) -> bool {
        !self.crash_suspects.is_empty() || !self.parts.is_empty()
    }

    /// Returns the first request of each flow. Leaves out those that find all runners of
    /// `round` full, except for ones within the share, which may end the round.
    fn ordered_heads(&self, service: &Service, round: Option<&Round>) -> Vec<Ranked> {
        let Some(queue) = self.queues.get(service) else {
            return Vec::new();
        };
        let shares = self.shares.get(service);
        let mut heads = Vec::new();
        // Flows are ordered by workspace.
        let mut last: Option<(&Option<Workspace>, f64, Priority)> = None;
        for head in queue.heads() {
            let (workspace, _) = head.flow;
            let (served, priority) = match last {
                Some((other, served, priority)) if other == workspace => (served, priority),
                _ => match (shares, workspace) {
                    (Some(shares), Some(workspace)) => {
                        let served = shares.served(workspace);
                        (served, shares.priority(served))
                    }
                    _ => (0.0, Priority::WithinShare),
                },
            };
            last = Some((workspace, served, priority));
            if let Some(round) = round
                && priority != Priority::WithinShare
                && self.finds_full(round, &head, priority)
            {
                continue;
            }
            heads.push(self.rank(head, served));
        }
        heads
    }

    /// Returns whether a request beyond the share is known to find all runners full.
    fn finds_full(&self, round: &Round, head: &Head<'_>, priority: Priority) -> bool {
        if head.is_new_prompt && !round.may_have_prompt_room(priority) {
            return true;
        }
        let pending = &self.pending[&head.id];
        let size = pending.request.prompt.as_ref().map(needed_tokens);
        !pending.has_run() && pending.is_unbound() && !round.may_have_room(priority, size)
    }

    /// Ranks a request: one that may have run already goes first, then one of the least
    /// served workspace, then one that arrived within its latency target, then one of the
    /// route with the lowest ratio of served to demanded cost.
    fn rank(&self, head: Head<'_>, served: f64) -> Ranked {
        let (workspace, route) = head.flow;
        let never_ran = !self.pending[&head.id].has_run();
        let served_ratio = self.breakdown.served_ratio(workspace.as_ref(), route);
        Ranked {
            order: (never_ran, served, head.is_late, served_ratio),
            id: head.id,
            workspace: workspace.clone(),
        }
    }

    /// Updates the heads after the one at `position` left its queue.
    fn update_heads(
        &self,
        service: &Service,
        heads: &mut Vec<Ranked>,
        position: usize,
        flow: &Flow,
        blocked_flows: &BTreeSet<Flow>,
    ) {
        if self.recomputes {
            *heads = self.ordered_heads(service, None);
            heads.retain(|head| !blocked_flows.contains(&self.flow_of(head.id)));
            return;
        }
        let served = self.served_cost(service, flow.0.as_ref());
        let queue = self.queues.get(service);
        match queue.and_then(|queue| queue.head(flow)) {
            Some(head) => heads[position] = self.rank(head, served),
            None => {
                heads.remove(position);
            }
        }
        let of_workspace = heads.iter_mut().filter(|head| head.workspace == flow.0);
        of_workspace.for_each(|head| head.order.1 = served);
    }

    fn flow_of(&self, id: Id) -> Flow {
        flow(&self.pending[&id].request)
    }

    /// Returns the share of a request's workspace, for logs; the estimates
    /// about a runner are left at their defaults.
    pub(super) fn rationale(&self, service: &Service, pending: &Pending) -> Rationale {
        let workspace = pending.request.workspace.as_ref();
        Rationale {
            cost: pending.request.cost(),
            served_cost: self.served_cost(service, workspace),
            fair_share: self.shares.get(service).map_or(0.0, Shares::fair_share),
            basis: pending.basis,
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
        self.workspace_priority(&request.service, request.workspace.as_ref())
    }

    /// Returns the priority of requests that have not run.
    fn workspace_priority(&self, service: &Service, workspace: Option<&Workspace>) -> Priority {
        match (self.shares.get(service), workspace) {
            (Some(shares), Some(workspace)) => shares.priority(shares.served(workspace)),
            _ => Priority::WithinShare,
        }
    }

    pub(super) fn selector(&self, now: Time, service: &Service) -> Selector<'_> {
        Selector {
            now,
            domain: &self.settings.domain,
            targets: &self.targets,
            notices: &self.notices,
            evacuated: &self.evacuated,
            is_current: self.has_current_list(now),
            rates: &self.rates,
            engine: self.engines.get(service),
        }
    }

    fn choose_runner(
        &mut self,
        now: Time,
        id: Id,
        priority: Priority,
        round: &mut Round,
    ) -> Choice {
        let verdict = self.verdict(now, &self.pending[&id]);
        let excluded = match verdict {
            Verdict::Sound => BTreeSet::new(),
            Verdict::Suspected | Verdict::OnTrial => self.suspected_runners(now),
            Verdict::Refused => return Choice::NoRunner,
        };
        let mut homes = std::mem::take(&mut self.homes);
        let pending = &self.pending[&id];
        let selector = self.selector(now, &pending.request.service);
        let is_usable = |target: &Target| !excluded.contains(&target.entry.runner);
        let is_unbound = pending.is_unbound() && verdict == Verdict::Sound;
        let size = pending.request.prompt.as_ref().map(needed_tokens);
        let comparable = size.filter(|_| is_unbound && !self.recomputes);
        let choice = match comparable {
            _ if !pending.begins_resumable() => None,
            Some(size) if !round.may_begin(priority, size) => Some(Choice::NoRunner),
            _ => self.choose_beginning(now, pending, priority, round, &mut homes, is_usable),
        };
        if let Some(choice) = choice {
            self.homes = homes;
            if let (Some(size), Choice::NoRunner) = (comparable, &choice) {
                round.record_barred(priority, size);
            }
            self.record_doubt(now, id, round, &choice);
            return choice;
        }
        let choice = match is_unbound && !self.recomputes {
            true => selector.choose_in(round, pending, priority, &mut homes),
            false => {
                let homes = (!self.recomputes).then_some(&mut homes);
                selector.choose(pending, priority, homes, is_usable)
            }
        };
        self.homes = homes;
        self.record_doubt(now, id, round, &choice);
        choice
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
        let may_be_unknown = self.doubts.may_begin(now, &pending.request.service);
        self.rates.record_send(now, runner);
        pending.tried.push(runner.clone());
        pending.stage = Stage::Dispatched(Dispatch {
            runner: runner.clone(),
            sent_at: now,
            breaks: self.breaks,
            estimate: rationale.first_event_estimate,
            prefill_tokens: rationale.prefill_tokens,
            kv_tokens,
            software,
            last_event_at: now,
            events: 0,
            written: false,
            is_read_paused: false,
            is_verified: false,
            may_be_unknown,
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

/// First request of a flow, with the order in which it is tried.
struct Ranked {
    order: (bool, f64, bool, f64),
    id: Id,
    workspace: Option<Workspace>,
}

/// Returns the position of the request that goes first. Of equal ones, the first of the
/// list wins.
fn first(heads: &[Ranked]) -> Option<usize> {
    let mut best: Option<(usize, &Ranked)> = None;
    for (position, head) in heads.iter().enumerate() {
        if best.is_none_or(|(_, lowest)| head.order < lowest.order) {
            best = Some((position, head));
        }
    }
    best.map(|(position, _)| position)
}
