//! Services and runners that the configuration and the membership assign to
//! this router.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_fair::{lender, lender::Lender, queue, queue::Queue};
use balsamchute_inventory::config::Config;
use balsamchute_wire::config::Stamp;
use balsamchute_wire::exchange::Phase;

use crate::dispatcher::Dispatcher;
use crate::event::Action;
use crate::limits;
use crate::service::State;

/// Interval at which ownership of the runners is updated without a change, to
/// pick up marks of leaving that have expired.
const OWNERSHIP_REFRESH: Span = Span::from_secs(10);

/// Peers that receive an exchange as soon as a new configuration applies.
const CONFIG_FANOUT: usize = 2;

impl Dispatcher {
    /// Applies a configuration. A version that is not newer is ignored.
    pub(crate) fn apply_config(
        &mut self,
        now: Time,
        stamp: Stamp,
        config: Arc<Config>,
        actions: &mut Vec<Action>,
    ) {
        if stamp.version <= self.stamp.version {
            return;
        }
        self.stamp = stamp;
        self.runner_slots = limits::runner_slots(&config);
        self.config = config;
        self.update_services();
        if self.local_member().phase == Phase::Starting {
            self.members.local_mut().phase = Phase::Serving;
        }
        self.next_heartbeat = now;
        self.announce_config(now, actions);
        self.update_owned_runners(now);
        self.poll_owned_runners(actions);
        self.grant_all_services(now, actions);
    }

    /// Starts exchanges that announce a newer configuration. It reaches all
    /// routers in a number of rounds that grows with the logarithm of the fleet
    /// size.
    fn announce_config(&mut self, now: Time, actions: &mut Vec<Action>) {
        for inner in self.members.choose_partners(&mut self.rng, CONFIG_FANOUT) {
            let frame = self.build_frame(now);
            actions.push(Action::Exchange(inner, frame));
        }
    }

    /// Creates missing services and sets the weights of workspaces. Removes
    /// services that are no longer configured and have no backlog. One with a
    /// backlog stays until a later configuration applies.
    fn update_services(&mut self) {
        let local_instance = self.local_member().instance.clone();
        let config = Arc::clone(&self.config);
        for (name, service) in &config.services {
            let state = self.services.entry(name.clone()).or_insert_with(|| State {
                kind: service.kind,
                queue: Queue::new(queue::Settings::default()),
                lender: Lender::new(&local_instance, lender::Settings::default()),
                need_sent_at: Time::default(),
                sent_backlog: 0,
                sent_virtual_time: 0.0,
                need_recipients: BTreeSet::new(),
                reports: BTreeMap::new(),
            });
            state.kind = service.kind;
            for (workspace, spec) in &config.workspaces {
                // Each home of a workspace queues a part of its requests and gets
                // that part of its weight.
                let weight = f64::from(spec.weight) / f64::from(spec.homes.max(1));
                state.queue.set_weight(workspace, weight);
            }
        }
        self.services
            .retain(|name, state| config.services.contains_key(name) || state.queue.backlog() > 0);
    }

    /// Updates the set of runners that this router owns. Only the owner grants
    /// the slots of a runner.
    pub(crate) fn update_owned_runners(&mut self, now: Time) {
        self.placement.update(self.members.serving());
        let config = Arc::clone(&self.config);
        let removed = self
            .runner_addresses
            .keys()
            .filter(|runner| !config.runners.contains_key(*runner));
        for runner in removed.cloned().collect::<Vec<_>>() {
            self.runner_addresses.remove(&runner);
            for state in self.services.values_mut() {
                state.lender.drain_runner(&runner);
            }
        }
        self.update_limits();
        self.runner_owners.clear();
        for (name, runner) in &config.runners {
            self.update_owned_runner(now, name);
            if let Some(owner) = self.placement.owner(name) {
                let owners = self
                    .runner_owners
                    .entry(runner.service.clone())
                    .or_default();
                owners.insert(owner.clone());
            }
        }
        self.next_ownership_refresh = now + OWNERSHIP_REFRESH;
    }

    /// Updates whether this router grants the slots of one runner.
    pub(crate) fn update_owned_runner(&mut self, now: Time, name: &Runner) {
        let Some(runner) = self.config.runners.get(name) else {
            return;
        };
        self.runner_addresses.insert(name.clone(), runner.address);
        let owned = self.placement.owner(name) == Some(&self.members.local().instance);
        let available = owned
            && !self.unresponsive_runners.contains_key(name)
            && !self.leaving_runners.is_draining(now, name, runner.address);
        let Some(state) = self.services.get_mut(&runner.service) else {
            return;
        };
        if available {
            let slots = self.runner_slots.get(name).copied().unwrap_or(runner.slots);
            state.lender.set_runner_slots(name, slots);
        } else {
            state.lender.drain_runner(name);
        }
    }

    /// Requests load reports of the runners that this router owns.
    pub(crate) fn poll_owned_runners(&mut self, actions: &mut Vec<Action>) {
        let local_instance = self.local_member().instance.clone();
        let config = Arc::clone(&self.config);
        let owned = config
            .runners
            .iter()
            .filter(|(name, _)| self.placement.owner(name) == Some(&local_instance))
            .map(|(name, runner)| (name.clone(), runner.address))
            .collect();
        actions.push(Action::PollLoad(owned));
    }
}
