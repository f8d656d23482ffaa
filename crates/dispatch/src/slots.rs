//! Slots of runners: granting owned ones, using and returning borrowed ones.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_fair::lender::Grant;
use balsamchute_wire::exchange::{Phase, Summary};
use balsamchute_wire::message::{Batch, Message};
use rand::seq::IteratorRandom;

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Command, Load, RequestNumber, Run};
use crate::limits::CountedAs;
use crate::request::{Slot, Stage};
use crate::suspects::Fit;

/// Number of owners that a need is sent to: this many if owners have published
/// free slots and no requests wait at other routers, at least this many
/// otherwise.
const MIN_NEED_TARGETS: usize = 2;

/// Upper bound on the number of owners that one need is sent to.
const MAX_NEED_TARGETS: u32 = 8;

/// Number of recorded recipients of a need above which the record is cleared
/// before more are added.
/// Only recorded recipients receive a withdrawal. The others learn of an empty
/// queue from the summaries in exchanges.
const MAX_NEED_RECIPIENTS: usize = 32;

impl Dispatcher {
    /// Grants the free slots of every service and publishes the need of those
    /// with a backlog.
    pub(crate) fn grant_all_services(&mut self, now: Time, actions: &mut Vec<Action>) {
        let services: Vec<Service> = self.services.keys().cloned().collect();
        for service in services {
            if let Some(state) = self.services.get_mut(&service) {
                state.lender.expire_loans(now);
            }
            self.grant_slots(now, &service, actions);
            if self
                .services
                .get(&service)
                .is_some_and(|state| state.queue.backlog() > 0)
            {
                self.publish_need(now, &service, actions);
            }
        }
    }

    /// Grants the free slots of this router's runners of one service.
    pub(crate) fn grant_slots(&mut self, now: Time, service: &Service, actions: &mut Vec<Action>) {
        if self.members.is_isolated(now) {
            return;
        }
        let local_instance = self.local_member().instance.clone();
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let summary = state.summary(service);
        state.lender.update_summary(
            now,
            &local_instance,
            summary.virtual_time,
            summary.weight,
            summary.backlog,
        );
        let reuse = self.settings.loan_reuse(self.members.alive().count());
        let mean_cost = state.queue.mean_cost();
        for grant in state.lender.grant(now, mean_cost) {
            let Some(address) = self.runner_addresses.get(&grant.runner).copied() else {
                self.revoke_grant(now, service, &grant);
                continue;
            };
            if grant.borrower == local_instance {
                let slot = self.local_slot(grant.loan, grant.runner, address);
                self.use_slot(now, service, slot, actions);
                continue;
            }
            if !self.can_send_to(&grant.borrower) {
                self.revoke_grant(now, service, &grant);
                continue;
            }
            let message = Message::Grant {
                loan: grant.loan,
                service: service.clone(),
                runner: grant.runner,
                address,
                lease: grant.lease,
                reuse,
            };
            self.send(&grant.borrower, message, actions);
        }
    }

    /// Takes back a grant that cannot be delivered.
    fn revoke_grant(&mut self, now: Time, service: &Service, grant: &Grant) {
        if let Some(state) = self.services.get_mut(service) {
            state.lender.release(now, grant.loan, Cost(0), false);
            // An empty backlog keeps the slot from being granted to the same
            // router again.
            state
                .lender
                .update_summary(now, &grant.borrower, 0.0, 0.0, 0);
        }
    }

    /// Returns whether messages can be sent to a router.
    fn can_send_to(&self, to: &Instance) -> bool {
        let member = self.members.get(to);
        member.is_some_and(|member| member.phase != Phase::Starting)
    }

    fn local_slot(&self, loan: u64, runner: Runner, address: SocketAddr) -> Slot {
        let local = self.local_member();
        Slot {
            owner: local.instance.clone(),
            incarnation: local.incarnation,
            loan,
            runner,
            address,
            // An own slot is granted again for each request.
            until: Time::default(),
            spent: Cost(0),
        }
    }

    /// Starts the first request in the queue that fits the slot, or releases
    /// the slot.
    pub(crate) fn use_slot(
        &mut self,
        now: Time,
        service: &Service,
        slot: Slot,
        actions: &mut Vec<Action>,
    ) {
        let unusable = self.members.is_isolated(now)
            || self
                .leaving_runners
                .is_draining(now, &slot.runner, slot.address);
        if unusable {
            return self.release_slot(now, service, slot, false, actions);
        }
        loop {
            let next = self
                .services
                .get_mut(service)
                .and_then(|state| state.queue.pop());
            let Some(request_number) = next else {
                return self.release_slot(now, service, slot, false, actions);
            };
            let fit = self.check_fit(now, request_number, &slot);
            if let Fit::Runs = fit {
                self.start_attempt(now, request_number, slot, actions);
                return self.publish_need(now, service, actions);
            }
            if let Some(state) = self.services.get_mut(service) {
                state.queue.cancel(request_number);
            }
            match fit {
                Fit::Later(delay) => self.pause(now + delay, request_number),
                Fit::Never(end) => self.end_request(now, request_number, end, actions),
                Fit::Runs => {}
            }
        }
    }

    /// Reuses the slot of a request that has ended if it is borrowed and its
    /// reuse period is not over, and releases it otherwise.
    pub(crate) fn reuse_or_release(
        &mut self,
        now: Time,
        service: &Service,
        mut slot: Slot,
        cost: Cost,
        failed: bool,
        actions: &mut Vec<Action>,
    ) {
        let borrowed = slot.owner != self.local_member().instance;
        slot.spent += cost;
        if borrowed && !failed && now < slot.until {
            self.use_slot(now, service, slot, actions);
        } else {
            self.release_slot(now, service, slot, failed, actions);
        }
    }

    fn start_attempt(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        slot: Slot,
        actions: &mut Vec<Action>,
    ) {
        let attempt = self.next_attempt_id();
        let entry = &mut self.requests[&request_number];
        let service = entry.head.service.clone();
        let kind = self.services[&service].kind;
        if entry.attempts == 0 {
            self.retry_budget.record_first_attempt();
        }
        entry.attempts += 1;
        entry.last_attempt = Some(attempt.clone());
        let run = Run {
            attempt: attempt.clone(),
            runner: slot.runner.clone(),
            address: slot.address,
            kind,
            decided_at: now,
            fence: now.0,
        };
        let text = format!(
            "started attempt {attempt} at runner \"{}\" on a slot of router \"{}\"",
            slot.runner, slot.owner
        );
        entry.stage = Stage::Running(slot);
        let workspace = entry.head.workspace.clone();
        let key = entry.head.key.clone();
        self.set_counted_as(request_number, CountedAs::Running);
        if let Some(key) = key {
            self.ledger.record_send(&workspace, &key, &attempt);
        }
        self.record_decision(now, request_number, &text);
        actions.push(Action::Command(request_number, Command::Run(run)));
    }

    fn next_attempt_id(&mut self) -> Attempt {
        self.next_attempt += 1;
        let local = self.local_member();
        let mut id = format!(
            "{}.{}.{}",
            local.instance, local.incarnation, self.next_attempt
        );
        if id.len() > balsamchute_base::id::MAX_NAME_BYTES {
            // The hash of a long id, followed by the attempt number, fits into
            // the length limit.
            id = format!(
                "{:016x}.{}",
                balsamchute_base::rank::score(&id, ""),
                self.next_attempt
            );
        }
        Attempt::new(&id).expect("an instance name and two numbers form a valid attempt id")
    }

    /// Returns a slot to its owner.
    pub(crate) fn release_slot(
        &mut self,
        now: Time,
        service: &Service,
        slot: Slot,
        failed: bool,
        actions: &mut Vec<Action>,
    ) {
        let cost = slot.spent;
        let local = self.local_member();
        if slot.owner == local.instance {
            if slot.incarnation == local.incarnation
                && let Some(state) = self.services.get_mut(service)
            {
                state.lender.release(now, slot.loan, cost, failed);
            }
            // `grant_slots` itself releases a slot that no request used. Calling
            // it again for such a slot would recurse.
            if cost > Cost(0) || failed {
                self.grant_slots(now, service, actions);
            }
            return;
        }
        let alive = self
            .members
            .get(&slot.owner)
            .is_some_and(|owner| owner.incarnation == slot.incarnation);
        if !alive {
            return;
        }
        self.send(
            &slot.owner,
            Message::Release {
                loan: slot.loan,
                service: service.clone(),
                cost,
                failed,
            },
            actions,
        );
        if let Some(state) = self.services.get(service) {
            let need = state.summary(service);
            self.send(&slot.owner, Message::Need(need), actions);
        }
    }

    /// Sends this router's need for slots, which is the summary of its queue of
    /// the service, to owners of runners. Withdraws it if no request waits.
    pub(crate) fn publish_need(&mut self, now: Time, service: &Service, actions: &mut Vec<Action>) {
        let Some(state) = self.services.get(service) else {
            return;
        };
        let backlog = state.queue.backlog();
        if backlog == 0 {
            return self.withdraw_need(service, actions);
        }
        let small_fleet = self.members.alive().count() <= self.settings.small_fleet_size;
        // With a backlog above `MAX_NEED_TARGETS`, a change of it reaches no
        // further owners. In a small fleet, owners also need the new virtual time,
        // see `State::has_advanced`.
        let unchanged = (backlog == state.sent_backlog
            || (backlog > MAX_NEED_TARGETS && state.sent_backlog > MAX_NEED_TARGETS))
            && !(small_fleet && state.has_advanced());
        let recent = now.since(state.need_sent_at) < self.settings.need_interval;
        let stale = now.since(state.need_sent_at) >= self.settings.heartbeat_interval;
        if recent || (unchanged && !stale) {
            return;
        }
        let need = state.summary(service);
        let contended = state.is_contended();
        let owners = self.need_targets(service, backlog, contended);
        for owner in &owners {
            self.send(owner, Message::Need(need.clone()), actions);
        }
        if let Some(state) = self.services.get_mut(service) {
            state.need_sent_at = now;
            state.sent_backlog = backlog;
            state.sent_virtual_time = need.virtual_time;
            if state.need_recipients.len() > MAX_NEED_RECIPIENTS {
                state.need_recipients.clear();
            }
            state.need_recipients.extend(owners);
        }
    }

    /// Sends an empty need, so that owners stop granting slots that are no
    /// longer needed.
    fn withdraw_need(&mut self, service: &Service, actions: &mut Vec<Action>) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        state.sent_backlog = 0;
        let owners = std::mem::take(&mut state.need_recipients);
        let need = state.summary(service);
        for owner in owners {
            self.send(&owner, Message::Need(need.clone()), actions);
        }
    }

    /// Returns the owners to send a need to. Without contention these are the
    /// owners that have the most free slots; otherwise, or if no slot is free,
    /// a random sample of one owner for each waiting request, at least
    /// `MIN_NEED_TARGETS` and at most `MAX_NEED_TARGETS`.
    fn need_targets(&mut self, service: &Service, backlog: u32, contended: bool) -> Vec<Instance> {
        let Some(owners) = self.runner_owners.get(service) else {
            return Vec::new();
        };
        let local_instance = &self.members.local().instance;
        let others = owners.iter().filter(|owner| *owner != local_instance);
        let mut free: Vec<(u32, &Instance)> = others
            .clone()
            .map(|owner| (self.free_slots_of(owner, service), owner))
            .filter(|(free, _)| *free > 0)
            .collect();
        free.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        if free.is_empty() || contended {
            let count = backlog.clamp(MIN_NEED_TARGETS as u32, MAX_NEED_TARGETS);
            return others.cloned().sample(&mut self.rng, count as usize);
        }
        let free = free.into_iter().take(MIN_NEED_TARGETS);
        free.map(|(_, owner)| owner.clone()).collect()
    }

    /// Returns the free slots that an owner published, zero if it published
    /// none.
    fn free_slots_of(&self, owner: &Instance, service: &Service) -> u32 {
        let services = self.members.get(owner).map(|member| &member.services);
        let summary = services
            .and_then(|services| services.iter().find(|summary| summary.service == *service));
        summary.map_or(0, |summary| summary.free)
    }

    /// Handles messages of another router. Messages for an earlier incarnation
    /// of this router are dropped.
    pub(crate) fn handle_messages(&mut self, now: Time, batch: Batch, actions: &mut Vec<Action>) {
        if batch.to != self.local_member().incarnation {
            return;
        }
        for message in batch.messages {
            self.handle_message(now, &batch.from, batch.incarnation, message, actions);
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: &Instance,
        incarnation: Incarnation,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Grant {
                loan,
                service,
                runner,
                address,
                // Not checked: a request starts at once, or the slot is released.
                lease: _,
                reuse,
            } => {
                let slot = Slot {
                    owner: from.clone(),
                    incarnation,
                    loan,
                    runner,
                    address,
                    until: now + reuse,
                    spent: Cost(0),
                };
                self.use_slot(now, &service, slot, actions);
            }
            Message::Release {
                loan,
                service,
                cost,
                failed,
            } => {
                if let Some(state) = self.services.get_mut(&service) {
                    state.lender.release(now, loan, cost, failed);
                }
                self.grant_slots(now, &service, actions);
            }
            Message::Need(summary) => self.handle_need(now, from, &summary, actions),
        }
    }

    fn handle_need(
        &mut self,
        now: Time,
        from: &Instance,
        summary: &Summary,
        actions: &mut Vec<Action>,
    ) {
        self.merge_summary(now, from, summary, true);
        self.grant_slots(now, &summary.service, actions);
    }

    /// Merges a summary of a service that another router published.
    pub(crate) fn merge_summary(
        &mut self,
        now: Time,
        from: &Instance,
        summary: &Summary,
        direct: bool,
    ) {
        if let Some(state) = self.services.get_mut(&summary.service) {
            state.merge_summary(now, from, summary, direct);
        }
    }

    /// Handles the load report of a runner.
    pub(crate) fn handle_load(
        &mut self,
        now: Time,
        runner: &Runner,
        load: Load,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.config.runners.get(runner) else {
            return;
        };
        let service = entry.service.clone();
        if self.unresponsive_runners.remove(runner).is_some() {
            self.update_owned_runner(now, runner);
        }
        if let Some(state) = self.services.get_mut(&service) {
            state
                .lender
                .report_load(now, runner, load.running, load.age);
        }
        self.grant_slots(now, &service, actions);
    }

    /// Handles a runner that did not answer: it gets no new work until it
    /// reports its load again.
    pub(crate) fn handle_unresponsive(
        &mut self,
        now: Time,
        runner: &Runner,
        _actions: &mut Vec<Action>,
    ) {
        self.unresponsive_runners.insert(runner.clone(), now);
        self.update_owned_runner(now, runner);
    }

    /// Sends a message to a router, or drops it if the router is not alive or
    /// is starting.
    pub(crate) fn send(&mut self, to: &Instance, message: Message, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get(to) else {
            return;
        };
        if member.phase == Phase::Starting {
            return;
        }
        let local = self.local_member();
        let batch = Batch {
            from: local.instance.clone(),
            incarnation: local.incarnation,
            to: member.incarnation,
            messages: vec![message],
        };
        actions.push(Action::Send(member.inner, to.clone(), batch));
    }
}
