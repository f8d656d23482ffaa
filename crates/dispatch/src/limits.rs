//! Limits of workspaces and services beside their shares.

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_fair::limit::{Limiter, Refusal};
use balsamchute_inventory::config::{Config, Limits};
use balsamchute_wire::record::{Code, End, Outcome};

use crate::core::Core;
use crate::event::Ticket;

/// The limits as they stand on this router.
#[derive(Default)]
pub(crate) struct Table {
    workspaces: BTreeMap<Workspace, Limiter>,
    services: BTreeMap<Service, Limiter>,
}

/// How a request counts against the limits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Count {
    /// Not at all.
    #[default]
    None,
    /// As one that waits.
    Waiting,
    /// As one that runs.
    Running,
}

impl Core {
    /// Puts the limits of the configuration into force. A workspace's limits
    /// are split over its homes, a service's over the routers that serve.
    pub(crate) fn update_limits(&mut self) {
        let routers = u32::try_from(self.members.serving().count()).unwrap_or(u32::MAX);
        let queue = u32::try_from(self.settings.workspace_queue).unwrap_or(u32::MAX);
        for (workspace, share) in &self.config.workspaces {
            let mut limits = split(share.limits, share.homes);
            limits.queue = limits.queue.or(Some(queue));
            set(&mut self.limits.workspaces, workspace, limits);
        }
        for service in self.config.services.keys() {
            let limits = self.config.service_limits.get(service).copied();
            let limits = split(limits.unwrap_or_default(), routers);
            // Concurrency is kept by the owners of the slots.
            let limits = Limits {
                concurrency: None,
                ..limits
            };
            set(&mut self.limits.services, service, limits);
        }
        let workspaces: Vec<Workspace> = self.limits.workspaces.keys().cloned().collect();
        for workspace in workspaces {
            self.hold_back(&workspace);
        }
    }

    /// Counts a request as waiting, or returns the refusal of a limit.
    pub(crate) fn limit(&mut self, now: Time, ticket: Ticket) -> Option<End> {
        let head = &self.requests[&ticket].head;
        let (workspace, service) = (head.workspace.clone(), head.service.clone());
        if let Some(limiter) = self.limits.services.get_mut(&service)
            && let Err(refusal) = limiter.check(now)
        {
            return Some(refused(&format!("service \"{service}\""), refusal));
        }
        if let Some(limiter) = self.limits.workspaces.get_mut(&workspace)
            && let Err(refusal) = limiter.admit(now)
        {
            return Some(refused(&format!("workspace \"{workspace}\""), refusal));
        }
        if let Some(limiter) = self.limits.services.get_mut(&service) {
            // It was checked above at the same time.
            let _ = limiter.admit(now);
        }
        self.requests[&ticket].count = Count::Waiting;
        None
    }

    /// Changes how a request counts.
    pub(crate) fn recount(&mut self, ticket: Ticket, count: Count) {
        let Some(entry) = self.requests.get_mut(&ticket) else {
            return;
        };
        let before = std::mem::replace(&mut entry.count, count);
        if before == count {
            return;
        }
        let (workspace, service) = (entry.head.workspace.clone(), entry.head.service.clone());
        let workspaces = self.limits.workspaces.get_mut(&workspace);
        let limiters = workspaces
            .into_iter()
            .chain(self.limits.services.get_mut(&service));
        for limiter in limiters {
            match (before, count) {
                (Count::Waiting, Count::Running) => limiter.start(),
                (Count::Running, Count::Waiting) => limiter.requeue(),
                (Count::Waiting, _) => limiter.leave(),
                (Count::Running, _) => limiter.finish(),
                (Count::None, _) => {}
            }
        }
        self.hold_back(&workspace);
    }

    /// Holds a workspace back while it has as many requests running as it may.
    fn hold_back(&mut self, workspace: &Workspace) {
        let limiter = self.limits.workspaces.get(workspace);
        let blocked = limiter.is_some_and(Limiter::is_blocked);
        for state in self.services.values_mut() {
            state.queue.set_blocked(workspace, blocked);
        }
    }

    /// Takes a request out of hand and out of the counts.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        self.recount(ticket, Count::None);
        self.requests.swap_remove(&ticket).is_some()
    }
}

fn set<K: Clone + Ord>(limiters: &mut BTreeMap<K, Limiter>, name: &K, limits: Limits) {
    match limiters.get_mut(name) {
        Some(limiter) => limiter.set_limits(limits),
        None => {
            limiters.insert(name.clone(), Limiter::new(limits));
        }
    }
}

fn split(limits: Limits, parts: u32) -> Limits {
    let part = |limit: Option<u32>| limit.map(|limit| limit.div_ceil(parts.max(1)));
    Limits {
        rate: part(limits.rate),
        concurrency: part(limits.concurrency),
        queue: part(limits.queue),
    }
}

fn refused(what: &str, refusal: Refusal) -> End {
    End::new(Outcome::NotRun, &format!("{what}: {refusal}"))
        .with_code(Code::Limit)
        .with_retry_after(refusal.retry())
}

/// Returns the slots of each runner, cut so that those of a service come to no
/// more than its limit on concurrency. Every router computes the same.
pub(crate) fn slots(config: &Config) -> BTreeMap<Runner, u32> {
    let whole = config
        .runners
        .iter()
        .map(|(name, runner)| (name.clone(), runner.slots));
    let mut slots: BTreeMap<Runner, u32> = whole.collect();
    for (service, limits) in &config.service_limits {
        if let Some(limit) = limits.concurrency {
            cut(config, service, limit, &mut slots);
        }
    }
    slots
}

/// Takes slots away one at a time, from the runner that has most.
fn cut(config: &Config, service: &Service, limit: u32, slots: &mut BTreeMap<Runner, u32>) {
    let runners = config
        .runners
        .iter()
        .filter(|(_, runner)| runner.service == *service);
    let names: Vec<&Runner> = runners.map(|(name, _)| name).collect();
    let mut total: u64 = names.iter().map(|name| u64::from(slots[*name])).sum();
    let mut level = names.iter().map(|name| slots[*name]).max().unwrap_or(0);
    while total > u64::from(limit) && level > 0 {
        for name in &names {
            if total > u64::from(limit) && slots[*name] == level {
                slots.insert((*name).clone(), level - 1);
                total -= 1;
            }
        }
        level -= 1;
    }
}
