//! Scheduler of one router, which combines shares, runner state and the retry
//! budget.

mod attempt;
mod begin;
mod cold;
mod dispatch;
mod evacuate;
mod exchange;
mod restart;

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_claim::suspect::{self, Admission, Registry};
use balsamchute_model::manifest::{ColdStart, Engine};
use balsamchute_model::prelude::*;
use indexmap::IndexMap;

use crate::action::{Action, End, Failure, Id, Refusal};
use crate::budget::Budget;
use crate::cold::{Bound, Colds};
use crate::doubt::Doubts;
use crate::hash::NumberState;
use crate::home::Homes;
use crate::notice::Notices;
use crate::parts::Parts;
use crate::pending::{Dispatch, Pending, Stage};
use crate::place::Priority;
use crate::queue::{Flow, Queue, flow};
use crate::rate::Rates;
use crate::request::Request;
use crate::round::Round;
use crate::runner::Target;
use crate::scheduler::attempt::max_wait;
use crate::share::{Breakdown, Shares};
use crate::stream::{Basis, Origin, Streams};

/// Divisor of the share window that yields the decay window of usage. With
/// decay over the whole window, a workspace that exceeded its share would get
/// nothing for a whole window afterwards. Usage by route, in `Breakdown`, decays
/// over the whole window.
const SHARE_DECAY_DIVISOR: u64 = 4;

/// Parameters of the scheduler, fixed for the life of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the router process, unique among all that ever ran, restarts included.
    pub process_name: String,
    /// Failure domain that the router runs in.
    pub domain: String,
    /// Window in which each workspace gets its fair share. Usage by workspace
    /// decays over a quarter of it, see `SHARE_DECAY_DIVISOR`.
    pub share_window: Span,
    /// Retries allowed for each request, over all routers.
    pub retry_ratio: f64,
    /// Retries allowed in a window beyond the ratio, over all routers.
    pub retry_slack: u32,
    /// Sliding window in which requests and retries are counted.
    pub retry_window: Span,
}

/// Scheduler of one router: pending requests, known runners, shares and retry
/// budget.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    pending: IndexMap<Id, Pending, NumberState>,
    queues: BTreeMap<Service, Queue>,
    targets: IndexMap<Runner, Target>,
    engines: BTreeMap<Service, Engine>,
    /// Cost per second that the model runners process together, from the
    /// manifest; `None` if not known.
    capacity: Option<u64>,
    shares: BTreeMap<Service, Shares>,
    breakdown: Breakdown,
    budget: Budget,
    crash_suspects: Registry,
    /// Connections to runners that broke or were refused, as far as recorded.
    breaks: u64,
    parts: Parts,
    notices: Notices,
    // Failure domains whose runners get no new attempts.
    evacuated: BTreeSet<String>,
    rates: Rates,
    colds: Colds,
    /// Cold starts of the services whose runners are protected after a start.
    cold_starts: BTreeMap<Service, ColdStart>,
    streams: Streams,
    doubts: Doubts,
    router_count: u32,
    /// Home runners of prompt prefixes, for the present set of runners.
    homes: Homes,
    /// Services of which no waiting request finds a runner until the next event, with the
    /// state of the runners. Events that may change it remove the entry, and a tick
    /// computes all again.
    settled: BTreeMap<Service, Round>,
    /// Whether nothing is kept from one decision to the next.
    recomputes: bool,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler without runners, requests or a manifest.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let budget = Budget::new(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window,
        );
        let breakdown = Breakdown::new(settings.share_window);
        let parts = Parts::new(&settings.process_name);
        let rates = Rates::new(&settings.process_name);
        Scheduler {
            settings,
            pending: IndexMap::default(),
            queues: BTreeMap::new(),
            targets: IndexMap::new(),
            engines: BTreeMap::new(),
            capacity: None,
            shares: BTreeMap::new(),
            breakdown,
            budget,
            crash_suspects: Registry::new(suspect::Settings::default()),
            breaks: 0,
            parts,
            notices: Notices::new(),
            evacuated: BTreeSet::new(),
            rates,
            colds: Colds::new(Bound::default()),
            cold_starts: BTreeMap::new(),
            streams: Streams::new(),
            doubts: Doubts::default(),
            router_count: 1,
            homes: Homes::default(),
            settled: BTreeMap::new(),
            recomputes: false,
            actions: Vec::new(),
        }
    }

    /// Computes every decision anew, from the state of all runners and waiting requests.
    /// Slower by orders of magnitude; for tests that compare the choices.
    #[must_use]
    pub fn with_recomputation(mut self) -> Self {
        self.recomputes = true;
        self
    }

    /// Removes and returns the actions for the process, in the order in which
    /// they must be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of pending requests, waiting and dispatched.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no request is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the known runners with their load and health.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Sets the number of routers that share the retry budget, this one
    /// included.
    pub fn set_router_count(&mut self, router_count: u32) {
        self.router_count = router_count.max(1);
        self.parts.set_router_count(router_count);
        self.rates.set_router_count(router_count);
    }

    /// Applies a manifest: the engines behind services and the capacity that is
    /// shared.
    pub fn set_manifest(&mut self, manifest: &Manifest) {
        self.engines = manifest
            .services
            .values()
            .filter_map(|spec| Some((spec.service.clone(), spec.engine?)))
            .collect();
        self.set_cold_starts(manifest);
        self.capacity = manifest.limits.cost_per_second;
        self.settled.clear();
        for (service, shares) in &mut self.shares {
            let is_model = self.engines.contains_key(service);
            let capacity = self.capacity.filter(|_| is_model);
            shares.set_capacity(capacity.map(|capacity| capacity as f64));
        }
    }

    /// Adds a runner or updates its registration, and dispatches waiting
    /// requests.
    pub fn set_runner(&mut self, now: Time, mut entry: Entry) {
        // Names that share their text are compared by address; each round compares all.
        let mut services = self.targets.values().map(|target| &target.entry.service);
        if let Some(service) = services.find(|service| **service == entry.service) {
            entry.service = service.clone();
        }
        self.streams.record_version(now, &entry);
        let is_replaced = self.replace_process(now, &entry);
        let cold_start = self.cold_starts.get(&entry.service);
        self.colds.set_entry(now, &entry, cold_start);
        let runner = entry.runner.clone();
        match self.targets.get_mut(&entry.runner) {
            Some(target) => {
                if target.entry.service != entry.service {
                    self.homes.clear();
                }
                target.update(now, entry);
            }
            None => {
                self.homes.clear();
                let target = Target::new(entry);
                self.targets.insert(target.entry.runner.clone(), target);
            }
        }
        self.update_cold(now, &runner);
        if is_replaced {
            self.withdraw_streams(now);
        }
        self.dispatch_all(now);
    }

    /// Removes a runner, which receives no further requests; attempts in
    /// progress there continue.
    pub fn remove_runner(&mut self, runner: &Runner) {
        self.targets.shift_remove(runner);
        self.rates.clear_cold(runner);
        self.homes.clear();
        self.settled.clear();
    }

    /// Records that a process of a runner, identified by its start time, said in an
    /// answer that it leaves: it gets no further requests. Returns whether that was
    /// not known.
    pub fn record_leaving(&mut self, runner: &Runner, started_at: u64) -> bool {
        self.settled.clear();
        self.notices.record_leaving(runner, started_at)
    }

    /// Records that a process of a runner, identified by its start time, wants no
    /// request from this router for `pause`.
    pub fn record_pause(&mut self, now: Time, runner: &Runner, started_at: u64, pause: Span) {
        self.settled.clear();
        self.notices.record_pause(runner, started_at, now + pause);
    }

    /// Records the requests per second that a process of a runner, identified by its start
    /// time, says in an answer that it accepts from all routers together, or that it names
    /// no limit.
    pub fn record_limit(
        &mut self,
        now: Time,
        runner: &Runner,
        started_at: u64,
        per_second: Option<f64>,
    ) {
        self.settled.clear();
        if self.rates.record(now, runner, started_at, per_second) {
            let runner = runner.clone();
            self.actions.push(Action::Limit { runner, per_second });
        }
    }

    /// Records that a runner refused the connection of a probe: it has crashed, with the
    /// attempts whose connections broke shortly before.
    pub fn record_refused_probe(&mut self, now: Time, runner: &Runner) {
        self.settled.clear();
        if let Some(target) = self.targets.get_mut(runner) {
            target.eject(now);
            self.breaks += 1;
            let disconnects = target.record_refusal(now, self.breaks);
            self.record_crash(now, &disconnects);
            self.record_cold_refusal(now, runner);
        }
    }

    /// Accepts a new request, which is dispatched, queued or refused.
    pub fn submit(&mut self, now: Time, id: Id, request: Request) {
        let service = request.service.clone();
        self.budget.record_request(now, &service);
        let cost = request.cost();
        self.breakdown
            .record_demand(request.workspace.as_ref(), &request.route, cost);
        match &request.workspace {
            Some(workspace) => self.shares_mut(&service).record_demand(workspace, cost),
            None => self.rates.record_request(&service),
        }
        let mut pending = Pending::new(now, request);
        if let Some(resumed) = pending.request.resumed {
            if let Some((software, basis)) = self.streams.version(now, &service, resumed) {
                pending.software = Some(software.clone());
                pending.basis = Some(basis);
            }
            let origin = resumed
                .stream
                .and_then(|stream| self.streams.origin(stream));
            pending.takes_up = origin.is_some();
            let refusal = match pending.software {
                Some(_) => Refusal::NoRunnerOfVersion,
                None => Refusal::UnknownVersion,
            };
            if pending.software.is_none() || !self.has_runner_of_version(now, &pending) {
                self.refuse(id, refusal);
                return;
            }
        }
        if self.is_refused(now, &pending) {
            self.refuse(id, Refusal::CrashesRunners);
            return;
        }
        if self.is_evacuated(&service) {
            self.refuse(id, Refusal::NoRunner);
            return;
        }
        let priority = self.priority(&pending);
        let max_wait = max_wait(&pending, priority);
        let is_limited = self.is_limited(now, &service);
        let queue = self.queues.entry(service.clone()).or_default();
        let is_scarce = priority != Priority::WithinShare || is_limited;
        if is_scarce && queue.is_overfull(now, &pending.request, max_wait) {
            self.pending.insert(id, pending);
            let refusal = match priority {
                Priority::WithinShare => Refusal::Saturated,
                Priority::Behind | Priority::Surplus | Priority::Ahead => Refusal::OverShare,
            };
            self.refuse(id, refusal);
            self.pending.swap_remove(&id);
            return;
        }
        let is_first = queue.push_back(&pending.request, id);
        self.pending.insert(id, pending);
        if is_first && !self.stays_settled(now, &service, id) {
            self.dispatch_service(now, &service);
        }
    }

    /// Removes a request, with the attempt in progress: its caller disconnected,
    /// or its wait or deadline is over.
    pub fn cancel(&mut self, now: Time, id: Id) {
        let stage = self.pending.get(&id).map(|pending| pending.stage.clone());
        let service = self.remove_request(id);
        // Removing a waiting request frees no capacity at a runner.
        if let (Some(Stage::Dispatched(dispatch)), Some(service)) = (stage, service) {
            self.release_load(&dispatch);
            self.dispatch_service(now, &service);
        }
    }

    /// Records that the answer of a request is not read, because its caller does not read,
    /// or is read again. The silence until then is not the runner's.
    pub fn set_read_paused(&mut self, now: Time, id: Id, is_read_paused: bool) {
        if let Some(Pending {
            stage: Stage::Dispatched(dispatch),
            ..
        }) = self.pending.get_mut(&id)
        {
            dispatch.is_read_paused = is_read_paused;
            dispatch.last_event_at = now;
        }
    }

    /// Records events of a stream, or the head of a plain answer. The first one
    /// shows that prefill is done and how long it took.
    pub fn record_events(&mut self, now: Time, id: Id, events: u64) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let service = pending.request.service.clone();
        let is_current = !self.streams.versions().is_outdated(now);
        let Stage::Dispatched(dispatch) = &mut pending.stage else {
            return;
        };
        let is_first = dispatch.events == 0;
        self.colds.record_contact(now, &dispatch.runner);
        dispatch.events += events;
        dispatch.last_event_at = now;
        let is_begun = std::mem::replace(&mut pending.answer_begun, true);
        if !is_begun && pending.request.is_resumable() {
            let listed = self.targets.get(&dispatch.runner);
            // A caller may name any request of a stream that it takes up again.
            let software = pending.software.get_or_insert_with(|| {
                pending.basis = Some(Basis::Answer);
                dispatch.software_that_answers(listed, is_current)
            });
            let origin = Origin {
                service: service.clone(),
                software: software.clone(),
            };
            let stream = pending.request.stream_digest;
            match dispatch.is_verified {
                true => self.streams.record(now, stream, origin),
                false => {
                    self.streams
                        .record_at(now, stream, origin, &dispatch.runner);
                }
            }
        }
        if !is_first {
            return;
        }
        for &part in &pending.part_keys {
            if self.parts.clear(now, part) {
                self.actions.push(Action::Blame { part, crashes: 0 });
            }
        }
        let prefill_tokens = std::mem::take(&mut dispatch.prefill_tokens);
        let elapsed = now.since(dispatch.sent_at);
        // Against a shorter expected time, an ordinary delay would count as a
        // large slowdown.
        let expected_ms = dispatch.estimate.0.max(20);
        let is_model = pending.request.prompt.is_some();
        if let Some(target) = self.targets.get_mut(&dispatch.runner) {
            target.local_load.prefill_tokens = target
                .local_load
                .prefill_tokens
                .saturating_sub(prefill_tokens);
            if is_model {
                target.observe_slowdown(elapsed.0 as f64 / expected_ms as f64 * target.slowdown());
            }
        }
        self.dispatch_service(now, &service);
    }

    /// Sets whether another attempt can go on after the part of the answer that the caller
    /// has received; initially `true`. Otherwise the request is not sent again.
    pub fn set_resumable(&mut self, id: Id, is_resumable: bool) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.is_resumable = is_resumable;
        }
    }

    /// Handles the outcome of an attempt: completes, retries or fails the
    /// request.
    pub fn finish_attempt(&mut self, now: Time, id: Id, end: End) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let service = pending.request.service.clone();
        let Stage::Dispatched(dispatch) = pending.stage.clone() else {
            return;
        };
        self.record_outcome(now, id, &dispatch, end);
        self.release_load(&dispatch);
        match end {
            End::Done => self.complete(now, id, &dispatch),
            End::Rejected | End::Misdirected | End::NoConnection { .. } => {
                self.charge(id, -1.0);
                let pending = &mut self.pending[&id];
                match end {
                    End::NoConnection { .. } => pending.failed_connects += 1,
                    _ => pending.rejections += 1,
                }
                self.retry_or_fail(now, id, Failure::RunnerBroke);
            }
            End::NotSent => {
                self.charge(id, -1.0);
                self.pending[&id].failed_connects += 1;
                self.requeue_unsent(now, id);
            }
            End::RunnerFailed => {
                self.pending[&id].possible_runs += 1;
                if !self.try_requeue(now, id) {
                    self.actions.push(Action::DeliverFailure { id });
                    self.remove_request(id);
                }
            }
            End::Broke | End::Invalid => {
                let failure = match end {
                    End::Broke => Failure::RunnerBroke,
                    _ => Failure::InvalidAnswer,
                };
                if dispatch.written {
                    self.pending[&id].possible_runs += 1;
                }
                self.retry_or_fail(now, id, failure);
            }
        }
        self.dispatch_service(now, &service);
    }

    /// Recomputes shares, dispatches waiting requests, ends waits and attempts
    /// that timed out, and handles stalled attempts.
    pub fn tick(&mut self, now: Time) {
        for (service, shares) in &mut self.shares {
            shares.advance(now);
            self.rates
                .set_covered_requests(service, shares.covered_requests());
        }
        self.breakdown.advance(now);
        self.rates.advance(now);
        self.advance_cold(now);
        let confirmed_at = self.streams.versions().confirmed_at();
        for target in self.targets.values_mut() {
            target.confirm_process(confirmed_at);
            target.expire_silence(now);
            self.rates.refill(now, &target.entry);
            self.streams.record_version(now, &target.entry);
        }
        self.streams.expire(now);
        self.crash_suspects.expire(now);
        self.parts.expire(now);
        for target in self.targets.values_mut() {
            // Taken also where it is not made, so that it is not made late.
            let is_due = target.take_probe(now);
            if is_due && !self.evacuated.contains(&target.entry.domain) {
                self.actions.push(Action::Probe {
                    runner: target.entry.runner.clone(),
                    address: target.entry.address,
                });
            }
        }
        for queue in self.queues.values_mut() {
            queue.expire(now);
        }
        self.dispatch_all(now);
        let ids: Vec<Id> = self.pending.keys().copied().collect();
        for id in ids {
            self.check_timeouts(now, id);
        }
    }

    /// Adds the request's estimated cost times `sign` to the served cost.
    fn charge(&mut self, id: Id, sign: f64) {
        let pending = &self.pending[&id];
        let (service, cost) = (pending.request.service.clone(), pending.request.cost());
        let workspace = pending.request.workspace.as_ref();
        self.breakdown
            .record_served(workspace, &pending.request.route, cost * sign);
        if let Some(workspace) = pending.request.workspace.clone() {
            self.shares_mut(&service)
                .record_served(&workspace, cost * sign);
        }
    }

    /// Removes an attempt from its runner's load.
    fn release_load(&mut self, dispatch: &Dispatch) {
        if let Some(target) = self.targets.get_mut(&dispatch.runner) {
            target
                .local_load
                .remove(dispatch.prefill_tokens, dispatch.kv_tokens);
        }
    }

    /// Removes a request whose attempt, if any, is off its runner's load
    /// already; returns its service.
    fn remove_request(&mut self, id: Id) -> Option<Service> {
        let pending = self.pending.swap_remove(&id)?;
        let service = pending.request.service.clone();
        if matches!(pending.stage, Stage::Waiting) {
            let flow = flow(&pending.request);
            self.dequeue(&service, &flow, id);
            let queue = self.queues.get(&service);
            // The next request of the flow has perhaps not been tried.
            if queue.is_some_and(|queue| queue.head(&flow).is_some()) {
                self.settled.remove(&service);
            }
        }
        Some(service)
    }

    fn is_suspected(&self, now: Time, fingerprint: u128) -> bool {
        self.crash_suspects.admit(now, fingerprint) != Admission::Unrestricted
    }

    fn dequeue(&mut self, service: &Service, flow: &Flow, id: Id) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(flow, id);
        }
    }

    /// Returns the shares of a service, created if missing. Only services with an
    /// engine have a capacity; each is given the whole capacity.
    fn shares_mut(&mut self, service: &Service) -> &mut Shares {
        let is_model = self.engines.contains_key(service);
        let capacity = self.capacity.filter(|_| is_model);
        let window = Span(self.settings.share_window.0 / SHARE_DECAY_DIVISOR);
        self.shares
            .entry(service.clone())
            .or_insert_with(|| Shares::new(window, capacity.map(|capacity| capacity as f64)))
    }
}
