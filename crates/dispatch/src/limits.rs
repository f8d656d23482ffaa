//! Rate, concurrency and queue limits of workspaces and services, which apply
//! in addition to their shares.

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_fair::limit::{Limiter, Refusal};
use balsamchute_inventory::config::{Config, Limits};
use balsamchute_wire::record::{Code, End, Outcome};

use crate::dispatcher::Dispatcher;
use crate::event::RequestNumber;

/// Limiters of this router.
#[derive(Default)]
pub(crate) struct Table {
    workspaces: BTreeMap<Workspace, Limiter>,
    services: BTreeMap<Service, Limiter>,
}

/// State in which a request counts against the limits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum CountedAs {
    /// The request is not counted.
    #[default]
    Nothing,
    /// The request counts as waiting.
    Waiting,
    /// The request counts as running.
    Running,
}

impl Dispatcher {
    /// Applies the limits of the configuration. The limits of a workspace are
    /// divided among its homes, those of a service among the serving routers.
    pub(crate) fn update_limits(&mut self) {
        let routers = u32::try_from(self.members.serving().count()).unwrap_or(u32::MAX);
        let queue = u32::try_from(self.settings.default_workspace_queue).unwrap_or(u32::MAX);
        for (workspace, spec) in &self.config.workspaces {
            let mut limits = divide_limits(spec.limits, spec.homes);
            limits.queue = limits.queue.or(Some(queue));
            set_limiter(&mut self.limits.workspaces, workspace, limits);
        }
        for service in self.config.services.keys() {
            let limits = self.config.service_limits.get(service).copied();
            let limits = divide_limits(limits.unwrap_or_default(), routers);
            // The owners of the slots enforce the concurrency limit.
            let limits = Limits {
                concurrency: None,
                ..limits
            };
            set_limiter(&mut self.limits.services, service, limits);
        }
        let workspaces: Vec<Workspace> = self.limits.workspaces.keys().cloned().collect();
        for workspace in workspaces {
            self.update_blocked(&workspace);
        }
    }

    /// Counts a request as waiting, or returns its refusal if a limit is
    /// reached.
    pub(crate) fn admit_to_limits(
        &mut self,
        now: Time,
        request_number: RequestNumber,
    ) -> Option<End> {
        let head = &self.requests[&request_number].head;
        let (workspace, service) = (head.workspace.clone(), head.service.clone());
        if let Some(limiter) = self.limits.services.get_mut(&service)
            && let Err(refusal) = limiter.check(now)
        {
            return Some(limit_end(&format!("service \"{service}\""), refusal));
        }
        if let Some(limiter) = self.limits.workspaces.get_mut(&workspace)
            && let Err(refusal) = limiter.admit(now)
        {
            return Some(limit_end(&format!("workspace \"{workspace}\""), refusal));
        }
        if let Some(limiter) = self.limits.services.get_mut(&service) {
            // Cannot fail: `check` succeeded above at the same time.
            let _ = limiter.admit(now);
        }
        self.requests[&request_number].counted_as = CountedAs::Waiting;
        None
    }

    /// Changes the state in which a request counts against the limits.
    pub(crate) fn set_counted_as(&mut self, request_number: RequestNumber, counted_as: CountedAs) {
        let Some(entry) = self.requests.get_mut(&request_number) else {
            return;
        };
        let before = std::mem::replace(&mut entry.counted_as, counted_as);
        if before == counted_as {
            return;
        }
        let (workspace, service) = (entry.head.workspace.clone(), entry.head.service.clone());
        let workspaces = self.limits.workspaces.get_mut(&workspace);
        let limiters = workspaces
            .into_iter()
            .chain(self.limits.services.get_mut(&service));
        for limiter in limiters {
            match (before, counted_as) {
                (CountedAs::Waiting, CountedAs::Running) => limiter.start(),
                (CountedAs::Running, CountedAs::Waiting) => limiter.requeue(),
                (CountedAs::Waiting, _) => limiter.remove_waiting(),
                (CountedAs::Running, _) => limiter.finish(),
                // `admit_to_limits` counts a request that it admits. A joined
                // request that replaces its leader was not counted.
                (CountedAs::Nothing, _) => {}
            }
        }
        self.update_blocked(&workspace);
    }

    /// Blocks a workspace in all queues while it is at its concurrency limit,
    /// and unblocks it afterwards.
    fn update_blocked(&mut self, workspace: &Workspace) {
        let limiter = self.limits.workspaces.get(workspace);
        let blocked = limiter.is_some_and(Limiter::is_at_concurrency_limit);
        for state in self.services.values_mut() {
            state.queue.set_blocked(workspace, blocked);
        }
    }

    /// Removes a request, which then no longer counts against the limits. Returns
    /// whether it was present.
    pub(crate) fn remove(&mut self, request_number: RequestNumber) -> bool {
        self.set_counted_as(request_number, CountedAs::Nothing);
        self.requests.swap_remove(&request_number).is_some()
    }
}

fn set_limiter<K: Clone + Ord>(limiters: &mut BTreeMap<K, Limiter>, name: &K, limits: Limits) {
    match limiters.get_mut(name) {
        Some(limiter) => limiter.set_limits(limits),
        None => {
            limiters.insert(name.clone(), Limiter::new(limits));
        }
    }
}

fn divide_limits(limits: Limits, routers: u32) -> Limits {
    let divide = |limit: Option<u32>| limit.map(|limit| limit.div_ceil(routers.max(1)));
    Limits {
        rate: divide(limits.rate),
        concurrency: divide(limits.concurrency),
        queue: divide(limits.queue),
    }
}

fn limit_end(subject: &str, refusal: Refusal) -> End {
    End::new(Outcome::NotRun, &format!("{subject}: {refusal}"))
        .with_code(Code::Limit)
        .with_retry_after(refusal.retry_after())
}

/// Returns the slots of each runner, reduced so that the total of a service
/// does not exceed its concurrency limit. Every router computes the same
/// result.
pub(crate) fn runner_slots(config: &Config) -> BTreeMap<Runner, u32> {
    let configured = config
        .runners
        .iter()
        .map(|(name, runner)| (name.clone(), runner.slots));
    let mut slots: BTreeMap<Runner, u32> = configured.collect();
    for (service, limits) in &config.service_limits {
        if let Some(limit) = limits.concurrency {
            reduce_slots(config, service, limit, &mut slots);
        }
    }
    slots
}

/// Removes slots one at a time, each from the runner that has the most.
fn reduce_slots(config: &Config, service: &Service, limit: u32, slots: &mut BTreeMap<Runner, u32>) {
    let runners = config
        .runners
        .iter()
        .filter(|(_, runner)| runner.service == *service);
    let names: Vec<&Runner> = runners.map(|(name, _)| name).collect();
    let mut total: u64 = names.iter().map(|name| u64::from(slots[*name])).sum();
    let mut highest = names.iter().map(|name| slots[*name]).max().unwrap_or(0);
    while total > u64::from(limit) && highest > 0 {
        for name in &names {
            if total > u64::from(limit) && slots[*name] == highest {
                slots.insert((*name).clone(), highest - 1);
                total -= 1;
            }
        }
        highest -= 1;
    }
}
