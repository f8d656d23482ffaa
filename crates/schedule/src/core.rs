//! The decisions of one router, composed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balsamchute_claim::suspect::{self, Admission, Book};
use balsamchute_model::manifest::Engine;
use balsamchute_model::prelude::*;
use indexmap::IndexMap;

use crate::action::{Action, Basis, End, Failure, Id, Refusal};
use crate::budget::Budget;
use crate::held::{Held, Sent, Stage};
use crate::place::{Choice, Claim, View};
use crate::report::{self, Report};
use crate::request::Request;
use crate::runner::{Load, Target};
use crate::share::{Mix, Shares, Usage};

/// Part of the aim that a request which is not owed may wait for an idle
/// runner. Callers refused within it lose nothing by the wait.
const SPARE_WAIT: u64 = 4;

/// Waits of requests that are owed, as a multiple of the aim in percent: an
/// answer after the aim still earns a part of its worth.
const OWED_WAIT_PERCENT: u64 = 120;

/// Part of the share window over which use decays: a workspace that had more
/// than its share must not go without for a whole window after it.
const SHARE_DECAY: u64 = 4;

/// Time after which a caller should come back to a service without runners.
const RETRY_NO_RUNNER: Span = Span(1000);

/// Time after which a caller should come back to a full service.
const RETRY_SATURATED: Span = Span(700);

/// Time after which a caller whose workspace had its share should come back:
/// half of the usual share window.
const RETRY_OVER_SHARE: Span = Span(400);

/// Time after which a caller may send a request that crashes runners again.
const RETRY_CRASHES: Span = Span::from_secs(30);

/// Shortest silence of a runner after which its work moves elsewhere.
const MIN_STALL: Span = Span(600);

/// Suspected requests that one report carries.
const MAX_SUSPECTS: usize = 8;

/// Settings of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Names this process among all that ever ran; begins attempt names.
    pub origin: String,
    /// The router's failure domain.
    pub domain: String,
    /// Window in which workspaces are owed their shares.
    pub share_window: Span,
    /// Repeats for each request, over all routers.
    pub retry_ratio: f64,
    /// Repeats beyond the ratio in a window, over all routers.
    pub retry_slack: u32,
    /// Window of the repeats.
    pub retry_window: Span,
}

/// Waiting requests of one kind and workspace.
#[derive(Clone, Debug, Default)]
struct Waiting {
    /// Those that can be on time, in order of arrival.
    fresh: VecDeque<Id>,
    /// Those that are late already, because they were refused before.
    late: VecDeque<Id>,
}

impl Waiting {
    fn of(&mut self, is_late: bool) -> &mut VecDeque<Id> {
        if is_late {
            &mut self.late
        } else {
            &mut self.fresh
        }
    }

    fn remove(&mut self, id: Id) {
        self.fresh.retain(|&other| other != id);
        self.late.retain(|&other| other != id);
    }

    fn is_empty(&self) -> bool {
        self.fresh.is_empty() && self.late.is_empty()
    }
}

/// Whose requests wait together: those of a workspace and a kind.
type Line = (Option<Workspace>, String);

/// Requests of one service that wait.
type Queue = BTreeMap<Line, Waiting>;

/// The decisions of one router.
#[derive(Clone, Debug)]
pub struct Core {
    settings: Settings,
    held: IndexMap<Id, Held>,
    queues: BTreeMap<Service, Queue>,
    targets: IndexMap<Runner, Target>,
    engines: BTreeMap<Service, Engine>,
    capacity: Option<u64>,
    shares: BTreeMap<Service, Shares>,
    mix: Mix,
    budget: Budget,
    book: Book,
    routers: u32,
    actions: Vec<Action>,
}

impl Core {
    /// Creates the decisions of a router that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let budget = Budget::new(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window,
        );
        let mix = Mix::new(settings.share_window);
        Core {
            settings,
            held: IndexMap::new(),
            queues: BTreeMap::new(),
            targets: IndexMap::new(),
            engines: BTreeMap::new(),
            capacity: None,
            shares: BTreeMap::new(),
            mix,
            budget,
            book: Book::new(suspect::Settings::default()),
            routers: 1,
            actions: Vec::new(),
        }
    }

    /// Returns what the process has to do, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of requests in hand.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no request is in hand.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the runners that are known.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Sets how many routers may send repeats.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Takes a manifest into force.
    pub fn set_manifest(&mut self, manifest: &Manifest) {
        self.engines = manifest
            .offers
            .values()
            .filter_map(|offer| Some((offer.service.clone(), offer.engine?)))
            .collect();
        self.capacity = manifest.limits.tokens_per_second;
        for (service, shares) in &mut self.shares {
            let is_model = self.engines.contains_key(service);
            let capacity = self.capacity.filter(|_| is_model);
            shares.set_capacity(capacity.map(|tokens| tokens as f64));
        }
    }

    /// Adds a runner or takes in a newer entry of it.
    pub fn set_runner(&mut self, now: Time, entry: Entry) {
        match self.targets.get_mut(&entry.runner) {
            Some(target) => target.update(entry),
            None => {
                let target = Target::new(now, entry);
                self.targets.insert(target.entry.runner.clone(), target);
            }
        }
        self.pump_all(now);
    }

    /// Removes a runner; what it runs goes on.
    pub fn remove_runner(&mut self, runner: &Runner) {
        self.targets.shift_remove(runner);
    }

    /// Takes in a request.
    pub fn arrive(&mut self, now: Time, id: Id, request: Request) {
        let service = request.service.clone();
        self.budget.first(now, &service);
        let cost = request.cost();
        self.mix
            .ask(request.workspace.as_ref(), &request.kind, cost);
        if let Some(workspace) = &request.workspace {
            self.shares_of(&service).ask(workspace, cost);
        }
        if let Admission::Refused { .. } = self.book.admit(now, request.fingerprint) {
            self.refuse(id, Refusal::Crashes);
            return;
        }
        let queue = self.queues.entry(service.clone()).or_default();
        let waiting = queue.entry(line(&request)).or_default();
        waiting.of(request.is_late()).push_back(id);
        self.held.insert(id, Held::new(now, request));
        self.pump(now, &service);
    }

    /// Drops a request whose caller has gone, with the attempt under way.
    pub fn leave(&mut self, now: Time, id: Id) {
        if let Some(Stage::Sent(sent)) = self.held.get(&id).map(|held| held.stage.clone()) {
            self.release(&sent);
        }
        if let Some(service) = self.forget(id) {
            self.pump(now, &service);
        }
    }

    /// Records that bytes of the request may have reached its runner.
    pub fn written(&mut self, id: Id) {
        if let Some(Held {
            stage: Stage::Sent(sent),
            ..
        }) = self.held.get_mut(&id)
        {
            sent.written = true;
        }
    }

    /// Records events of a stream, or the head of a plain answer.
    pub fn progress(&mut self, now: Time, id: Id, events: u64) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let service = held.request.service.clone();
        let Stage::Sent(sent) = &mut held.stage else {
            return;
        };
        let first = sent.events == 0;
        sent.events += events;
        sent.last_event = now;
        held.begun = true;
        if !first {
            return;
        }
        let unread = std::mem::take(&mut sent.unread);
        let took = now.since(sent.at);
        let expected = sent.estimate.0.max(20);
        let is_model = held.request.prompt.is_some();
        if let Some(target) = self.targets.get_mut(&sent.runner) {
            target.own.unread = target.own.unread.saturating_sub(unread);
            if is_model {
                target.observe_speed(took.0 as f64 / expected as f64 * target.slowness());
            }
        }
        self.pump(now, &service);
    }

    /// Takes in how an attempt ended.
    pub fn end(&mut self, now: Time, id: Id, end: End) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let service = held.request.service.clone();
        let Stage::Sent(sent) = held.stage.clone() else {
            return;
        };
        self.judge(now, id, &sent, end);
        self.release(&sent);
        match end {
            End::Done => self.complete(now, id, &sent),
            End::Rejected | End::Misdirected | End::NoConnection { .. } => {
                self.charge(id, -1.0);
                let held = &mut self.held[&id];
                match end {
                    End::NoConnection { .. } => held.connects += 1,
                    _ => held.rejections += 1,
                }
                self.go_on(now, id, Failure::Broken);
            }
            End::RunnerFailed => {
                self.held[&id].runs += 1;
                if !self.try_again(now, id) {
                    self.actions.push(Action::Deliver { id });
                    self.forget(id);
                }
            }
            End::Broke | End::Invalid => {
                let failure = match end {
                    End::Broke => Failure::Broken,
                    _ => Failure::Invalid,
                };
                if sent.written {
                    self.held[&id].runs += 1;
                }
                self.go_on(now, id, failure);
            }
        }
        self.pump(now, &service);
    }

    /// Ends waits and attempts whose time is up, and recomputes shares.
    pub fn tick(&mut self, now: Time) {
        for shares in self.shares.values_mut() {
            shares.advance(now);
        }
        self.mix.advance(now);
        self.book.expire(now);
        self.pump_all(now);
        let ids: Vec<Id> = self.held.keys().copied().collect();
        for id in ids {
            self.check(now, id);
        }
    }

    /// Returns what other routers should know.
    #[must_use]
    pub fn report(&self) -> Report {
        let usage = self.shares.iter().flat_map(|(service, shares)| {
            shares.own().map(|(workspace, usage)| report::Usage {
                service: service.clone(),
                workspace: workspace.clone(),
                asked: usage.asked as f32,
                served: usage.served as f32,
            })
        });
        let loads = self.targets.values().map(|target| report::Load {
            runner: target.entry.runner.clone(),
            running: target.own.running,
            unread: clamp(target.own.unread),
            memory: clamp(target.own.memory),
        });
        Report {
            usage: usage.collect(),
            loads: loads.filter(|load| load.running > 0).collect(),
            suspects: self.book.suspects(MAX_SUSPECTS),
        }
    }

    /// Takes in what another router reports.
    pub fn merge(&mut self, now: Time, peer: &Instance, report: &Report) {
        let mut usage: BTreeMap<&Service, Vec<(Workspace, Usage)>> = BTreeMap::new();
        for item in &report.usage {
            let counts = Usage {
                asked: f64::from(item.asked),
                served: f64::from(item.served),
            };
            let list = usage.entry(&item.service).or_default();
            list.push((item.workspace.clone(), counts));
        }
        for (service, list) in usage {
            self.shares_of(service).merge(now, peer, list);
        }
        let loads: BTreeMap<&Runner, &report::Load> = report
            .loads
            .iter()
            .map(|load| (&load.runner, load))
            .collect();
        for (runner, target) in &mut self.targets {
            let load = loads.get(runner).map_or(Load::default(), |load| Load {
                running: load.running,
                unread: u64::from(load.unread),
                memory: u64::from(load.memory),
            });
            target.merge(now, peer, load);
        }
        for suspect in &report.suspects {
            self.book.merge(now, suspect);
        }
        self.pump_all(now);
    }

    /// Sends waiting requests of all services to runners with room.
    fn pump_all(&mut self, now: Time) {
        let services: Vec<Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.pump(now, &service);
        }
    }

    /// Sends waiting requests of a service to runners with room, those of the
    /// least served workspace first.
    fn pump(&mut self, now: Time, service: &Service) {
        let mut blocked: BTreeSet<Line> = BTreeSet::new();
        while let Some((line, id)) = self.next(service, &blocked) {
            let claim = self.claim(service, line.0.as_ref());
            match self.choose(now, id, claim) {
                Choice::To { runner, basis } => {
                    let basis = basis.with_share(&self.basis(service, &self.held[&id]));
                    self.dequeue(service, &line, id);
                    self.send(now, id, &runner, basis);
                }
                // No runner is left for requests that are owed less.
                Choice::Full if claim == Claim::Owed => return,
                Choice::Full | Choice::Nobody => {
                    blocked.insert(line);
                }
            }
        }
    }

    /// Returns the waiting request that goes first: of the least served
    /// workspace, of the kind that got least of what it asked for, and if
    /// possible one that can be on time.
    fn next(&self, service: &Service, blocked: &BTreeSet<Line>) -> Option<(Line, Id)> {
        let queue = self.queues.get(service)?;
        let mut best: Option<((f64, bool, f64), &Line, Id)> = None;
        for (line, waiting) in queue {
            let is_late = waiting.fresh.is_empty();
            let first = waiting.fresh.front().or(waiting.late.front());
            let Some(&id) = first.filter(|_| !blocked.contains(line)) else {
                continue;
            };
            let (workspace, kind) = line;
            let served = self.served(service, workspace.as_ref());
            let order = (served, is_late, self.mix.ratio(workspace.as_ref(), kind));
            if best.is_none_or(|(lowest, ..)| order < lowest) {
                best = Some((order, line, id));
            }
        }
        best.map(|(_, line, id)| (line.clone(), id))
    }

    /// Returns what speaks for or against a request apart from runners.
    fn basis(&self, service: &Service, held: &Held) -> Basis {
        let workspace = held.request.workspace.as_ref();
        Basis {
            cost: held.request.cost(),
            served: self.served(service, workspace),
            level: self.shares.get(service).map_or(0.0, Shares::level),
            ..Basis::default()
        }
    }

    /// Returns the cost that a workspace was served lately; nothing is counted
    /// for requests without one.
    fn served(&self, service: &Service, workspace: Option<&Workspace>) -> f64 {
        match (self.shares.get(service), workspace) {
            (Some(shares), Some(workspace)) => shares.served(workspace),
            _ => 0.0,
        }
    }

    fn claim(&self, service: &Service, workspace: Option<&Workspace>) -> Claim {
        match (self.shares.get(service), workspace) {
            (Some(shares), Some(workspace)) if shares.is_ahead(workspace) => Claim::Ahead,
            (Some(shares), Some(workspace)) if !shares.is_owed(workspace) => Claim::Spare,
            _ => Claim::Owed,
        }
    }

    fn choose(&self, now: Time, id: Id, claim: Claim) -> Choice {
        let held = &self.held[&id];
        let view = View {
            now,
            domain: &self.settings.domain,
            targets: &self.targets,
            engine: self.engines.get(&held.request.service),
        };
        match self.book.admit(now, held.request.fingerprint) {
            Admission::Free => view.choose(held, claim, |_| true),
            Admission::Alone => {
                let busy = self.suspected_runners(now);
                view.choose(held, claim, |t| !busy.contains(&t.entry.runner))
            }
            Admission::Refused { .. } => Choice::Nobody,
        }
    }

    /// Returns the runners that have a suspected request of this router.
    fn suspected_runners(&self, now: Time) -> BTreeSet<Runner> {
        let mut runners = BTreeSet::new();
        for held in self.held.values() {
            let Stage::Sent(sent) = &held.stage else {
                continue;
            };
            if self.book.admit(now, held.request.fingerprint) != Admission::Free {
                runners.insert(sent.runner.clone());
            }
        }
        runners
    }

    fn send(&mut self, now: Time, id: Id, runner: &Runner, basis: Basis) {
        let held = &mut self.held[&id];
        let prompt = held.request.prompt.as_ref();
        let memory = prompt.map_or(0, |p| u64::from(p.tokens_in) + u64::from(p.likely_out()));
        let target = &mut self.targets[runner];
        target.own.add(basis.unread, memory);
        if let Some(prompt) = prompt {
            let engine = self.engines.get(&held.request.service);
            let capacity = engine.map_or(u64::MAX, |engine| engine.memory_tokens);
            target.cache.read(prompt, capacity);
        }
        let address = target.entry.address;
        held.tried.push(runner.clone());
        held.stage = Stage::Sent(Sent {
            runner: runner.clone(),
            at: now,
            estimate: basis.estimate,
            unread: basis.unread,
            memory,
            last_event: now,
            events: 0,
            written: false,
        });
        self.charge(id, 1.0);
        self.actions.push(Action::Send {
            id,
            runner: runner.clone(),
            address,
            basis,
        });
    }

    /// Counts the request's estimated cost, `sign` times, as served.
    fn charge(&mut self, id: Id, sign: f64) {
        let held = &self.held[&id];
        let (service, cost) = (held.request.service.clone(), held.request.cost());
        let workspace = held.request.workspace.as_ref();
        self.mix.serve(workspace, &held.request.kind, cost * sign);
        if let Some(workspace) = held.request.workspace.clone() {
            self.shares_of(&service).serve(&workspace, cost * sign);
        }
    }

    /// Takes an attempt off its runner's load.
    fn release(&mut self, sent: &Sent) {
        if let Some(target) = self.targets.get_mut(&sent.runner) {
            target.own.remove(sent.unread, sent.memory);
        }
    }

    /// Learns from an outcome about the runner, and about the requests that
    /// may have crashed it.
    fn judge(&mut self, now: Time, id: Id, sent: &Sent, end: End) {
        let fingerprint = self.held[&id].request.fingerprint;
        let number = self.held[&id].tried.len();
        let attempt = Attempt::new(&format!("{}.{id}.{number}", self.settings.origin));
        let Some(target) = self.targets.get_mut(&sent.runner) else {
            return;
        };
        match end {
            End::Done => target.succeed(),
            End::RunnerFailed | End::Invalid => {
                target.fail(now);
            }
            End::Rejected => target.observe_speed(target.slowness() * 1.5),
            End::Misdirected => target.pause(now),
            End::NoConnection { refused } => {
                target.pause(now);
                if refused {
                    for crashed in target.take_crashed(now) {
                        self.book.crash(now, crashed.fingerprint, &crashed.attempt);
                    }
                }
            }
            End::Broke => {
                target.fail(now);
                if let (true, Ok(attempt)) = (sent.written, attempt) {
                    target.broke(now, fingerprint, attempt);
                }
            }
        }
    }

    fn complete(&mut self, now: Time, id: Id, sent: &Sent) {
        let held = &self.held[&id];
        self.book.complete(now, held.request.fingerprint);
        if let (Some(prompt), Some(workspace)) = (&held.request.prompt, &held.request.workspace) {
            let service = held.request.service.clone();
            let per_event = self
                .engines
                .get(&service)
                .map_or(1, |engine| engine.event_tokens);
            let made = sent.events as f64 * f64::from(per_event);
            let correction = 2.0 * (made - f64::from(prompt.likely_out()));
            let workspace = workspace.clone();
            self.shares_of(&service).serve(&workspace, correction);
        }
        self.forget(id);
    }

    /// Queues the request again if it may be, else gives it up.
    fn go_on(&mut self, now: Time, id: Id, failure: Failure) {
        if self.try_again(now, id) {
            return;
        }
        match self.held[&id].runs {
            0 => self.refuse(id, Refusal::Rejected),
            _ => self.actions.push(Action::Fail { id, failure }),
        }
        self.forget(id);
    }

    /// Queues the request again, before others of its workspace, if it may be.
    fn try_again(&mut self, now: Time, id: Id) -> bool {
        let held = &self.held[&id];
        let (is_repeat, service) = (held.is_repeat(), held.request.service.clone());
        let refused = matches!(
            self.book.admit(now, held.request.fingerprint),
            Admission::Refused { .. }
        );
        if refused || !held.may_go_on(now) {
            return false;
        }
        if is_repeat && !self.budget.repeat(now, &service, self.routers) {
            return false;
        }
        let held = &mut self.held[&id];
        held.stage = Stage::Waiting;
        held.waiting_since = now;
        let (line, is_late) = (line(&held.request), held.request.is_late());
        let queue = self.queues.entry(service).or_default();
        queue.entry(line).or_default().of(is_late).push_front(id);
        true
    }

    /// Ends a wait or an attempt whose time is up.
    fn check(&mut self, now: Time, id: Id) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        match &held.stage {
            Stage::Waiting => self.check_wait(now, id),
            Stage::Sent(_) if now >= held.request.deadline => {
                self.actions.push(Action::Fail {
                    id,
                    failure: Failure::Timeout,
                });
                self.leave(now, id);
            }
            Stage::Sent(sent) if stalls(now, held, sent) => {
                let sent = sent.clone();
                self.withdraw(now, id, &sent);
            }
            Stage::Sent(_) => {}
        }
    }

    fn check_wait(&mut self, now: Time, id: Id) {
        let held = &self.held[&id];
        let request = &held.request;
        let claim = self.claim(&request.service, request.workspace.as_ref());
        let longest = match claim {
            Claim::Owed => Span(request.aim.0 * OWED_WAIT_PERCENT / 100),
            Claim::Spare | Claim::Ahead => Span(request.aim.0 / SPARE_WAIT),
        };
        let is_up = now.since(held.waiting_since) >= longest && !held.begun;
        if !is_up && now < request.deadline {
            return;
        }
        if held.runs > 0 {
            let failure = Failure::Timeout;
            self.actions.push(Action::Fail { id, failure });
        } else {
            let any = self
                .targets
                .values()
                .any(|t| t.entry.service == request.service && t.is_ready());
            let refusal = match (any, claim) {
                (false, _) => Refusal::NoRunner,
                (true, Claim::Owed) => Refusal::Saturated,
                (true, Claim::Spare | Claim::Ahead) => Refusal::OverShare,
            };
            self.refuse(id, refusal);
        }
        self.leave(now, id);
    }

    /// Moves a request from a silent runner to another one, if it may be.
    fn withdraw(&mut self, now: Time, id: Id, sent: &Sent) {
        self.held[&id].runs += 1;
        if !self.try_again(now, id) {
            // It stays where it is: the runner may still answer.
            self.held[&id].runs -= 1;
            return;
        }
        self.release(sent);
        if let Some(target) = self.targets.get_mut(&sent.runner) {
            target.fail(now);
        }
        self.actions.push(Action::Withdraw { id });
        let service = self.held[&id].request.service.clone();
        self.pump(now, &service);
    }

    fn refuse(&mut self, id: Id, refusal: Refusal) {
        let retry = match refusal {
            Refusal::NoRunner => RETRY_NO_RUNNER,
            Refusal::Saturated | Refusal::Rejected => RETRY_SATURATED,
            Refusal::OverShare => RETRY_OVER_SHARE,
            Refusal::Crashes => RETRY_CRASHES,
        };
        let basis = self.held.get(&id).map_or_else(Basis::default, |held| {
            self.basis(&held.request.service, held)
        });
        self.actions.push(Action::Refuse {
            id,
            refusal,
            retry,
            basis,
        });
    }

    /// Drops a request whose attempt, if any, is off its runner's load; returns
    /// its service.
    fn forget(&mut self, id: Id) -> Option<Service> {
        let held = self.held.swap_remove(&id)?;
        let service = held.request.service.clone();
        if matches!(held.stage, Stage::Waiting) {
            self.dequeue(&service, &line(&held.request), id);
        }
        Some(service)
    }

    fn dequeue(&mut self, service: &Service, line: &Line, id: Id) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        if let Some(waiting) = queue.get_mut(line) {
            waiting.remove(id);
            if waiting.is_empty() {
                queue.remove(line);
            }
        }
    }

    fn shares_of(&mut self, service: &Service) -> &mut Shares {
        let is_model = self.engines.contains_key(service);
        let capacity = self.capacity.filter(|_| is_model);
        let window = Span(self.settings.share_window.0 / SHARE_DECAY);
        self.shares
            .entry(service.clone())
            .or_insert_with(|| Shares::new(window, capacity.map(|tokens| tokens as f64)))
    }
}

fn line(request: &Request) -> Line {
    (request.workspace.clone(), request.kind.clone())
}

/// Returns whether a request waits so long for its runner that another one
/// would probably answer sooner.
fn stalls(now: Time, held: &Held, sent: &Sent) -> bool {
    let request = &held.request;
    if !request.repeat.may_repeat() {
        return false;
    }
    let silence = now.since(sent.last_event);
    let limit = match (sent.events, request.stream) {
        (0, true) => Span(request.aim.0.max(sent.estimate.0 * 3)) + MIN_STALL,
        (0, false) => Span((request.aim.0 * 2).max(MIN_STALL.0 / 2)),
        _ => Span((request.pause.0 * 3).max(MIN_STALL.0)),
    };
    silence > limit
}

fn clamp(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
