//! Slots: granting those of owned runners, using and returning them.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_fair::lender::Grant;
use balsamchute_wire::exchange::{Phase, Summary};
use balsamchute_wire::message::{Batch, Message};
use rand::seq::IteratorRandom;

use crate::core::Core;
use crate::event::{Action, Command, Load, Run, Ticket};
use crate::limits::Count;
use crate::request::{Slot, Stage};
use crate::suspects::Fit;

/// Owners that are told of a need while some of them have free slots.
const NEED_TARGETS_FREE: usize = 2;

/// Most owners that are told of a need at a time.
const NEED_TARGETS: u32 = 8;

/// Most owners that a need is withdrawn from.
const MAX_TOLD: usize = 32;

impl Core {
    /// Hands out the free slots of every service.
    pub(crate) fn grant_all(&mut self, now: Time, actions: &mut Vec<Action>) {
        let services: Vec<Service> = self.services.keys().cloned().collect();
        for service in services {
            if let Some(state) = self.services.get_mut(&service) {
                state.lender.expire(now);
            }
            self.grant(now, &service, actions);
            if self
                .services
                .get(&service)
                .is_some_and(|state| state.queue.backlog() > 0)
            {
                self.tell_need(now, &service, actions);
            }
        }
    }

    /// Hands out the free slots of this router's runners of one service.
    pub(crate) fn grant(&mut self, now: Time, service: &Service, actions: &mut Vec<Action>) {
        if self.members.isolated(now) {
            return;
        }
        let me = self.me().instance.clone();
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let own = state.summary(service);
        state
            .lender
            .summary(now, &me, own.virtual_time, own.weight, own.backlog);
        let reuse = self.settings.reuse(self.members.alive().count());
        let mean = state.queue.mean_cost();
        for grant in state.lender.grant(now, mean) {
            let Some(address) = self.addresses.get(&grant.runner).copied() else {
                self.take_back(now, service, &grant);
                continue;
            };
            if grant.to == me {
                let slot = self.own_slot(grant.loan, grant.runner, address);
                self.use_slot(now, service, slot, actions);
                continue;
            }
            if !self.reaches(&grant.to) {
                self.take_back(now, service, &grant);
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
            self.send(&grant.to, message, actions);
        }
    }

    /// Takes back a slot that cannot be handed over.
    fn take_back(&mut self, now: Time, service: &Service, grant: &Grant) {
        if let Some(state) = self.services.get_mut(service) {
            state.lender.release(now, grant.loan, Cost(0), false);
            state.lender.summary(now, &grant.to, 0.0, 0.0, 0);
        }
    }

    /// Returns whether messages can be sent to a router.
    fn reaches(&self, to: &Instance) -> bool {
        let member = self.members.get(to);
        member.is_some_and(|member| member.phase != Phase::Starting)
    }

    fn own_slot(&self, loan: u64, runner: Runner, address: SocketAddr) -> Slot {
        let me = self.me();
        Slot {
            owner: me.instance.clone(),
            incarnation: me.incarnation,
            loan,
            runner,
            address,
            until: Time::default(),
            spent: Cost(0),
        }
    }

    /// Starts the request that is first in the queue, or returns the slot.
    pub(crate) fn use_slot(
        &mut self,
        now: Time,
        service: &Service,
        slot: Slot,
        actions: &mut Vec<Action>,
    ) {
        let unfit =
            self.members.isolated(now) || self.leaving.contains(now, &slot.runner, slot.address);
        if unfit {
            return self.release(now, service, slot, false, actions);
        }
        loop {
            let item = self.services.get_mut(service).and_then(|s| s.queue.pop());
            let Some(ticket) = item else {
                return self.release(now, service, slot, false, actions);
            };
            let fit = self.fit(now, ticket, &slot);
            if let Fit::Runs = fit {
                self.start(now, ticket, slot, actions);
                return self.tell_need(now, service, actions);
            }
            if let Some(state) = self.services.get_mut(service) {
                state.queue.cancel(ticket);
            }
            match fit {
                Fit::Later(span) => self.pause(now + span, ticket),
                Fit::Never(end) => self.refuse(now, ticket, end, actions),
                Fit::Runs => {}
            }
        }
    }

    /// Takes back the slot of a request that has ended: it is used again if its
    /// owner allows that and somebody waits, else it is released.
    pub(crate) fn reuse(
        &mut self,
        now: Time,
        service: &Service,
        mut slot: Slot,
        cost: Cost,
        failed: bool,
        actions: &mut Vec<Action>,
    ) {
        let lent = slot.owner != self.me().instance;
        slot.spent += cost;
        if lent && !failed && now < slot.until {
            self.use_slot(now, service, slot, actions);
        } else {
            self.release(now, service, slot, failed, actions);
        }
    }

    fn start(&mut self, now: Time, ticket: Ticket, slot: Slot, actions: &mut Vec<Action>) {
        let attempt = self.new_attempt();
        let entry = &mut self.requests[&ticket];
        let service = entry.head.service.clone();
        let kind = self.services[&service].kind;
        if entry.attempts == 0 {
            self.retries.first();
        }
        entry.attempts += 1;
        entry.attempt = Some(attempt.clone());
        let run = Run {
            attempt: attempt.clone(),
            runner: slot.runner.clone(),
            address: slot.address,
            kind,
            at: now,
            fence: now.0,
        };
        let text = format!(
            "attempt {attempt} at runner \"{}\", slot of router \"{}\"",
            slot.runner, slot.owner
        );
        entry.stage = Stage::Running(slot);
        let workspace = entry.head.workspace.clone();
        let key = entry.head.key.clone();
        self.recount(ticket, Count::Running);
        if let Some(key) = key {
            self.ledger.sent(&workspace, &key, &attempt);
        }
        self.note(now, ticket, &text);
        actions.push(Action::Tell(ticket, Command::Run(run)));
    }

    fn new_attempt(&mut self) -> Attempt {
        self.next_attempt += 1;
        let me = self.me();
        let mut name = format!("{}.{}.{}", me.instance, me.incarnation, self.next_attempt);
        if name.len() > balsamchute_base::id::MAX_NAME_BYTES {
            name = format!(
                "{:016x}.{}",
                balsamchute_base::rank::score(&name, ""),
                self.next_attempt
            );
        }
        Attempt::new(&name).expect("instance names and numbers make a valid name")
    }

    /// Gives a slot back to its owner.
    pub(crate) fn release(
        &mut self,
        now: Time,
        service: &Service,
        slot: Slot,
        failed: bool,
        actions: &mut Vec<Action>,
    ) {
        let cost = slot.spent;
        let me = self.me();
        if slot.owner == me.instance {
            if slot.incarnation == me.incarnation
                && let Some(state) = self.services.get_mut(service)
            {
                state.lender.release(now, slot.loan, cost, failed);
            }
            if cost > Cost(0) || failed {
                self.grant(now, service, actions);
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

    /// Tells owners that requests wait here, or that none waits any more.
    pub(crate) fn tell_need(&mut self, now: Time, service: &Service, actions: &mut Vec<Action>) {
        let Some(state) = self.services.get(service) else {
            return;
        };
        let backlog = state.queue.backlog();
        if backlog == 0 {
            return self.withdraw_need(service, actions);
        }
        let small = self.members.alive().count() <= self.settings.small_fleet;
        let same = (backlog == state.told_backlog
            || (backlog > NEED_TARGETS && state.told_backlog > NEED_TARGETS))
            && !(small && state.moved());
        let recent = now.since(state.told) < self.settings.need_interval;
        let stale = now.since(state.told) >= self.settings.beat;
        if recent || (same && !stale) {
            return;
        }
        let need = state.summary(service);
        let contended = state.is_contended();
        let owners = self.need_targets(service, backlog, contended);
        for owner in &owners {
            self.send(owner, Message::Need(need.clone()), actions);
        }
        if let Some(state) = self.services.get_mut(service) {
            state.told = now;
            state.told_backlog = backlog;
            state.told_time = need.virtual_time;
            if state.told_to.len() > MAX_TOLD {
                state.told_to.clear();
            }
            state.told_to.extend(owners);
        }
    }

    /// Keeps owners from granting slots that are not needed any more.
    fn withdraw_need(&mut self, service: &Service, actions: &mut Vec<Action>) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        state.told_backlog = 0;
        let owners = std::mem::take(&mut state.told_to);
        let need = state.summary(service);
        for owner in owners {
            self.send(&owner, Message::Need(need.clone()), actions);
        }
    }

    /// Returns the owners to tell of a need. While slots are free, a few of
    /// those that have most; else as many, at random, as could use the next
    /// free slots.
    fn need_targets(&mut self, service: &Service, backlog: u32, contended: bool) -> Vec<Instance> {
        let Some(owners) = self.owners.get(service) else {
            return Vec::new();
        };
        let me = &self.members.me().instance;
        let others = owners.iter().filter(|owner| *owner != me);
        let mut free: Vec<(u32, &Instance)> = others
            .clone()
            .map(|owner| (self.free_slots(owner, service), owner))
            .filter(|(free, _)| *free > 0)
            .collect();
        free.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        if free.is_empty() || contended {
            let count = backlog.clamp(NEED_TARGETS_FREE as u32, NEED_TARGETS);
            return others.cloned().sample(&mut self.random, count as usize);
        }
        let free = free.into_iter().take(NEED_TARGETS_FREE);
        free.map(|(_, owner)| owner.clone()).collect()
    }

    /// Returns the free slots that a router said it owns, zero if it did not.
    fn free_slots(&self, owner: &Instance, service: &Service) -> u32 {
        let services = self.members.get(owner).map(|member| &member.services);
        let summary = services.and_then(|all| all.iter().find(|own| own.service == *service));
        summary.map_or(0, |summary| summary.free)
    }

    /// Takes in messages of another router.
    pub(crate) fn messages(&mut self, now: Time, batch: Batch, actions: &mut Vec<Action>) {
        if batch.to != self.me().incarnation {
            return;
        }
        for message in batch.messages {
            self.message(now, &batch.from, batch.incarnation, message, actions);
        }
    }

    fn message(
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
                self.grant(now, &service, actions);
            }
            Message::Need(summary) => self.need(now, from, &summary, actions),
        }
    }

    fn need(&mut self, now: Time, from: &Instance, summary: &Summary, actions: &mut Vec<Action>) {
        self.learn(now, from, summary, true);
        self.grant(now, &summary.service, actions);
    }

    /// Takes in what another router published about a service.
    pub(crate) fn learn(&mut self, now: Time, from: &Instance, summary: &Summary, direct: bool) {
        if let Some(state) = self.services.get_mut(&summary.service) {
            state.learn(now, from, summary, direct);
        }
    }

    /// Takes in a runner's report.
    pub(crate) fn load(
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
        if self.silent.remove(runner).is_some() {
            self.own_runner(now, runner);
        }
        if let Some(state) = self.services.get_mut(&service) {
            state
                .lender
                .report_load(now, runner, load.running, load.age);
        }
        self.grant(now, &service, actions);
    }

    /// A runner did not answer: no new work until it does.
    pub(crate) fn silent(&mut self, now: Time, runner: &Runner, _actions: &mut Vec<Action>) {
        self.silent.insert(runner.clone(), now);
        self.own_runner(now, runner);
    }

    /// Queues a message for a router.
    pub(crate) fn send(&mut self, to: &Instance, message: Message, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get(to) else {
            return;
        };
        if member.phase == Phase::Starting {
            return;
        }
        let me = self.me();
        let batch = Batch {
            from: me.instance.clone(),
            incarnation: me.incarnation,
            to: member.incarnation,
            messages: vec![message],
        };
        actions.push(Action::Send(member.inner, to.clone(), batch));
    }
}
