//! What the configuration and the membership make this router responsible for.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_fair::{lender, lender::Lender, queue, queue::Queue};
use balsamchute_inventory::config::Config;
use balsamchute_wire::config::Stamp;
use balsamchute_wire::exchange::Phase;

use crate::core::Core;
use crate::event::Action;
use crate::limits;
use crate::service::State;

/// Time after which the runners are looked at again, for marks of leaving that
/// have ended.
const REFRESH: Span = Span::from_secs(10);

/// Routers that are told of a new configuration at once.
const SPREAD: usize = 2;

impl Core {
    /// Puts a configuration into force. An older one is ignored.
    pub(crate) fn configure(
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
        self.slots = limits::slots(&config);
        self.config = config;
        self.update_services();
        if self.me().phase == Phase::Starting {
            self.members.me_mut().phase = Phase::Serving;
        }
        self.next_beat = now;
        self.spread(now, actions);
        self.own_runners(now);
        self.watch(actions);
        self.grant_all(now, actions);
    }

    /// Tells some routers at once that there is a newer configuration, so that it
    /// reaches all in a number of steps that grows as the logarithm of theirs.
    fn spread(&mut self, now: Time, actions: &mut Vec<Action>) {
        for inner in self.members.partners(&mut self.random, SPREAD) {
            let frame = self.frame(now);
            actions.push(Action::Exchange(inner, frame));
        }
    }

    /// Creates missing services and sets the weights. Services with requests
    /// stay until those have ended.
    fn update_services(&mut self) {
        let me = self.me().instance.clone();
        let config = Arc::clone(&self.config);
        for (name, service) in &config.services {
            let state = self.services.entry(name.clone()).or_insert_with(|| State {
                kind: service.kind,
                queue: Queue::new(queue::Settings::default()),
                lender: Lender::new(&me, lender::Settings::default()),
                told: Time::default(),
                told_backlog: 0,
                told_time: 0.0,
                told_to: BTreeSet::new(),
                heard: BTreeMap::new(),
            });
            state.kind = service.kind;
            for (workspace, share) in &config.workspaces {
                let weight = f64::from(share.weight) / f64::from(share.homes.max(1));
                state.queue.set_weight(workspace, weight);
            }
        }
        self.services
            .retain(|name, state| config.services.contains_key(name) || state.queue.backlog() > 0);
    }

    /// Updates which runners this router owns: it alone grants their slots.
    pub(crate) fn own_runners(&mut self, now: Time) {
        self.homes.update(self.members.serving());
        let config = Arc::clone(&self.config);
        let removed = self
            .addresses
            .keys()
            .filter(|runner| !config.runners.contains_key(*runner));
        for runner in removed.cloned().collect::<Vec<_>>() {
            self.addresses.remove(&runner);
            for state in self.services.values_mut() {
                state.lender.remove_runner(&runner);
            }
        }
        self.update_limits();
        self.owners.clear();
        for (name, runner) in &config.runners {
            self.own_runner(now, name);
            if let Some(owner) = self.homes.owner(name) {
                let owners = self.owners.entry(runner.service.clone()).or_default();
                owners.insert(owner.clone());
            }
        }
        self.next_refresh = now + REFRESH;
    }

    /// Updates whether this router grants the slots of one runner.
    pub(crate) fn own_runner(&mut self, now: Time, name: &Runner) {
        let Some(runner) = self.config.runners.get(name) else {
            return;
        };
        self.addresses.insert(name.clone(), runner.address);
        let owned = self.homes.owner(name) == Some(&self.members.me().instance);
        let usable = owned
            && !self.silent.contains_key(name)
            && !self.leaving.contains(now, name, runner.address);
        let Some(state) = self.services.get_mut(&runner.service) else {
            return;
        };
        if usable {
            let slots = self.slots.get(name).copied().unwrap_or(runner.slots);
            state.lender.set_runner(name, slots);
        } else {
            state.lender.remove_runner(name);
        }
    }

    /// Asks for load reports of the runners that this router owns.
    pub(crate) fn watch(&mut self, actions: &mut Vec<Action>) {
        let me = self.me().instance.clone();
        let config = Arc::clone(&self.config);
        let owned = config
            .runners
            .iter()
            .filter(|(name, _)| self.homes.owner(name) == Some(&me))
            .map(|(name, runner)| (name.clone(), runner.address))
            .collect();
        actions.push(Action::Watch(owned));
    }
}
