//! Limits on the rate of requests to a runner, shared by all routers without an exchange
//! for each request. A runner names a limit in its answers, or is cold (see
//! [`cold`](crate::cold)); both are paced by a `Budget`.
//!
//! A runner names the requests per second that it accepts from all routers together. Each
//! router takes the part of the limit that its requests are of all requests for the
//! service, as far as their workspaces' fair shares cover them, and paces its sends by
//! tokens. Routers report what they sent, so that the sum stays within the limit also if
//! their parts do not add up.
//!
//! A limit holds for one process of a runner, until an answer of that process names none.
//! Routers pass on only what answers told them directly: a relayed statement would be
//! passed on for ever.

use std::collections::{BTreeMap, VecDeque};

use balsamchute_base::rank;
use balsamchute_model::prelude::*;
use indexmap::IndexMap;

use crate::report;

/// Upper bound of the runners with a limit; the oldest ones are dropped.
pub(crate) const MAX_LIMITS: usize = 512;

/// Window in which the requests of all routers are counted against a limit.
const WINDOW: Span = Span(4000);

/// Requests that a window may hold beyond the limit, so that a limit of less than one
/// request in a window still lets one through.
const WINDOW_SLACK: f64 = 1.0;

/// Lowest rate that is used, in requests per second of all routers. A runner that accepts
/// nothing at all could not say when that changes.
pub(crate) const MIN_PER_SECOND: f64 = 0.25;

/// Tokens of all routers that may be unused at a time, beyond those of one second.
pub(crate) const UNUSED_TOKENS: f64 = 3.0;

/// Time in which counts of requests for a service fall to 1/e.
const DEMAND_WINDOW: Span = Span(2000);

/// Time in which a router's part of the limits of a service approaches its part of the
/// requests. Bounds the error while routers know only some of the others.
const SHARE_WINDOW: Span = Span(500);

/// Age beyond the stated one that a statement of another router is given. It is at least
/// the time that reports take, so that a relayed statement does not outlive a later one.
const RELAY_TIME: Span = Span(500);

/// Time for which a router reports what an answer told it, and for which the end of a limit
/// is remembered.
pub(crate) const MEMORY: Span = Span(10_000);

/// Time for which the part of a router that is no longer heard stays unused at cold
/// runners. It is long, because a router that is cut off from the others goes on to send.
const ABSENCE: Span = Span::from_secs(120);

/// Time after its start in which a router uses no more than an even part of a cold runner's
/// rate: the others have not heard of its requests, and use the whole rate.
const INTRODUCTION: Span = Span(2000);

/// Routers that one assumes that has just started and hears no other.
const ASSUMED_ROUTERS: f64 = 8.0;

/// Window in which requests to cold runners are counted: the second of the bound.
pub(crate) const COLD_WINDOW: Span = Span(1000);

/// Limit that an answer of a runner named, and when the answer arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Statement {
    per_second: Option<f64>,
    stated_at: Time,
}

/// Rate at which all routers together may send to a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Requests per second of all routers.
    pub per_second: f64,
    /// Time for which a token stays valid.
    pub token_lifetime: Span,
    /// Window in which the requests of all routers are counted.
    pub window: Span,
    /// Requests of all routers within the window up to which one more is sent.
    pub max_in_window: f64,
}

/// Tokens of this router for one runner, and the requests that all routers sent to it.
#[derive(Clone, Debug)]
struct Budget {
    /// Times at which the unused tokens of this router were issued.
    tokens: VecDeque<Time>,
    /// Part of the next token.
    credit: f64,
    refilled_at: Time,
    /// Times of the requests that this router sent within the window.
    sent: VecDeque<Time>,
    /// Requests within the window by other routers, as last reported.
    sent_by_peers: BTreeMap<Instance, (Time, u32)>,
}

impl Budget {
    fn new(now: Time, credit: f64) -> Self {
        Budget {
            tokens: VecDeque::new(),
            credit,
            refilled_at: now,
            sent: VecDeque::new(),
            sent_by_peers: BTreeMap::new(),
        }
    }

    /// Issues the tokens that are due, of which this router has `share`, and drops those
    /// that have expired. Without terms there are none.
    fn refill(&mut self, now: Time, terms: Option<&Terms>, window: Span, share: f64) {
        let elapsed = now.since(std::mem::replace(&mut self.refilled_at, now));
        self.sent.retain(|&sent_at| now.since(sent_at) < window);
        let Some(terms) = terms else {
            self.tokens.clear();
            return;
        };
        self.credit += terms.per_second * share * elapsed.0 as f64 / 1000.0;
        while self.credit >= 1.0 {
            self.credit -= 1.0;
            self.tokens.push_back(now);
        }
        self.tokens
            .retain(|&issued_at| now.since(issued_at) < terms.token_lifetime);
    }

    /// Returns whether the runner accepts a request of this router.
    fn has_room(&self, now: Time, terms: &Terms) -> bool {
        let sent = f64::from(self.sent_by_all(now, terms.window));
        !self.tokens.is_empty() && sent + 1.0 <= terms.max_in_window
    }

    fn record_send(&mut self, now: Time) {
        self.tokens.pop_front();
        self.sent.push_back(now);
    }

    fn sent_by_all(&self, now: Time, window: Span) -> u32 {
        let by_peers = self.sent_by_peers.values();
        let recent = by_peers.filter(|(received_at, _)| now.since(*received_at) < window);
        let by_peers: u32 = recent.map(|(_, sent)| sent).sum();
        self.sent_within(now, window) + by_peers
    }

    fn sent_within(&self, now: Time, window: Span) -> u32 {
        let recent = self.sent.iter();
        recent.filter(|&&at| now.since(at) < window).count() as u32
    }
}

/// Limit that one process of a runner named, with the requests that it got.
#[derive(Clone, Debug)]
struct Limit {
    started_at: u64,
    /// Newest statement that this router or another one heard.
    statement: Statement,
    /// Newest statement that this router heard.
    own: Option<Statement>,
    budget: Budget,
}

impl Limit {
    fn new(now: Time, started_at: u64, statement: Statement, credit: f64) -> Self {
        Limit {
            started_at,
            statement,
            own: None,
            budget: Budget::new(now, credit),
        }
    }

    /// Returns the rate for all routers, if there is a limit.
    fn terms(&self) -> Option<Terms> {
        let per_second = self.statement.per_second?.max(MIN_PER_SECOND);
        Some(Terms {
            per_second,
            token_lifetime: Span((1000.0 * (1.0 + UNUSED_TOKENS / per_second)) as u64),
            window: WINDOW,
            max_in_window: per_second * WINDOW.0 as f64 / 1000.0 + WINDOW_SLACK,
        })
    }

    /// Replaces the statement by a newer one. Returns whether the limit changes.
    fn restate(&mut self, statement: Statement) -> bool {
        if statement.stated_at < self.statement.stated_at {
            return false;
        }
        let earlier = std::mem::replace(&mut self.statement, statement);
        earlier.per_second != statement.per_second
    }

    /// Issues the tokens that are due, of which this router has `share`.
    fn refill(&mut self, now: Time, share: f64) {
        let terms = self.terms();
        self.budget.refill(now, terms.as_ref(), WINDOW, share);
    }

    /// Returns whether the runner accepts a request of this router.
    fn has_room(&self, now: Time) -> bool {
        self.terms()
            .is_none_or(|terms| self.budget.has_room(now, &terms))
    }
}

/// Budget of a runner whose service has cold starts. It counts requests also while the
/// runner is warm, so that the first window of a cold period is known.
#[derive(Clone, Debug)]
struct ColdLimit {
    terms: Option<Terms>,
    budget: Budget,
}

/// Live routers, and how many there were. The parts of routers that are no longer heard
/// are left unused by the others for a time, as they may only be cut off.
#[derive(Clone, Copy, Debug)]
struct Presence {
    /// Live routers, this one included.
    alive: u32,
    /// Highest number of live routers within [`ABSENCE`], and when it was last seen.
    highest: (u32, Time),
    first_seen_at: Option<Time>,
}

impl Presence {
    fn new() -> Self {
        Presence {
            alive: 1,
            highest: (1, Time(0)),
            first_seen_at: None,
        }
    }

    fn record(&mut self, now: Time, alive: u32) {
        self.alive = alive.max(1);
        let (highest, seen_at) = self.highest;
        if self.alive >= highest || now.since(seen_at) >= ABSENCE {
            self.highest = (self.alive, now);
        }
    }

    /// Returns the part of a cold runner's rate that this router may use, given its part
    /// of the requests of the routers that it hears.
    fn share(&self, now: Time, part: f64) -> f64 {
        let highest = f64::from(self.highest.0.max(self.alive));
        let is_new = self
            .first_seen_at
            .is_none_or(|first_seen_at| now.since(first_seen_at) < INTRODUCTION);
        if self.alive == 1 && is_new {
            return 1.0 / highest.max(ASSUMED_ROUTERS);
        }
        if self.alive == 1 || is_new {
            return part.min(1.0 / highest);
        }
        part * f64::from(self.alive) / highest
    }
}

/// Requests for one service within fair shares, by the routers at which they arrived.
#[derive(Clone, Debug)]
struct Demand {
    /// Requests of workspaces that arrived here, as far as their shares cover them.
    covered: f64,
    /// Requests without a workspace that arrived here, decayed exponentially.
    other: f64,
    /// The same at other routers, as last reported.
    peers: BTreeMap<Instance, (Time, f64)>,
    /// Part of the limits of the service's runners that this router uses.
    share: f64,
}

impl Demand {
    fn local(&self) -> f64 {
        self.covered + self.other
    }

    fn advance(&mut self, now: Time, elapsed: Span, router_count: u32) {
        self.other *= decay(elapsed, DEMAND_WINDOW);
        // After three windows, a count has decayed to 5 %.
        self.peers
            .retain(|_, (received_at, _)| now.since(*received_at).0 < DEMAND_WINDOW.0 * 3);
        let by_peers = self.peers.values();
        let by_peers: f64 = by_peers
            .map(|(received_at, count)| count * decay(now.since(*received_at), DEMAND_WINDOW))
            .sum();
        let share = match self.local() + by_peers {
            total if total > 0.0 && !self.peers.is_empty() => self.local() / total,
            // Nothing is known of the others.
            _ => 1.0 / f64::from(router_count),
        };
        self.share += (share - self.share) * (1.0 - decay(elapsed, SHARE_WINDOW));
    }
}

/// Limits by runner, in the order in which the runners first named one, and the requests
/// by which the routers divide them.
#[derive(Clone, Debug)]
pub struct Rates {
    /// Name of the router process, from which the phase of its tokens follows.
    name: String,
    router_count: u32,
    by_runner: IndexMap<Runner, Limit>,
    cold: IndexMap<Runner, ColdLimit>,
    presence: Presence,
    demand: BTreeMap<Service, Demand>,
    advanced_at: Option<Time>,
}

impl Rates {
    /// Creates an empty set of limits. `name` differs between routers.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Rates {
            name: name.to_owned(),
            router_count: 1,
            by_runner: IndexMap::new(),
            cold: IndexMap::new(),
            presence: Presence::new(),
            demand: BTreeMap::new(),
            advanced_at: None,
        }
    }

    /// Returns whether no runner has named a limit within the time for which limits are kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_runner.is_empty()
    }

    /// Sets the number of routers, this one included.
    pub fn set_router_count(&mut self, router_count: u32) {
        self.router_count = router_count.max(1);
    }

    /// Counts a request without a workspace that arrived at this router.
    pub fn record_request(&mut self, service: &Service) {
        let router_count = self.router_count;
        demand_mut(&mut self.demand, service, router_count).other += 1.0;
    }

    /// Sets the requests of workspaces that arrived at this router, as far as their shares
    /// cover them: one that asks for more draws no more of the limits to its routers.
    pub fn set_covered_requests(&mut self, service: &Service, requests: f64) {
        let router_count = self.router_count;
        demand_mut(&mut self.demand, service, router_count).covered = requests;
    }

    /// Records what an answer of a runner's process said: the requests per second that it
    /// accepts from all routers together, or that it names no limit. Returns whether that
    /// changes the limit.
    pub fn record(
        &mut self,
        now: Time,
        runner: &Runner,
        started_at: u64,
        per_second: Option<f64>,
    ) -> bool {
        let statement = Statement {
            per_second,
            stated_at: now,
        };
        let Some((limit, changed)) = self.restate(now, runner, started_at, statement) else {
            return false;
        };
        limit.own = Some(statement);
        changed
    }

    /// Applies the limits and the requests that a peer reported. Returns the limits
    /// that change.
    pub fn apply_report(
        &mut self,
        now: Time,
        peer: &Instance,
        limits: &[report::Limit],
        demand: &[report::Demand],
    ) -> Vec<(Runner, Option<f64>)> {
        let mut changed = Vec::new();
        for reported in limits {
            let (runner, started_at) = (&reported.runner, reported.started_at);
            if let Some(stated) = reported.stated {
                let statement = Statement {
                    per_second: stated.per_second,
                    stated_at: Time(now.0.saturating_sub(stated.age.0 + RELAY_TIME.0)),
                };
                let restated = self.restate(now, runner, started_at, statement);
                if restated.is_some_and(|(_, is_change)| is_change) {
                    changed.push((runner.clone(), statement.per_second));
                }
            }
            if let Some(limit) = self.by_runner.get_mut(runner)
                && limit.started_at == started_at
            {
                let sent = (now, reported.sent);
                limit.budget.sent_by_peers.insert(peer.clone(), sent);
            }
        }
        for reported in demand {
            let count = (now, f64::from(reported.requests));
            demand_mut(&mut self.demand, &reported.service, self.router_count)
                .peers
                .insert(peer.clone(), count);
        }
        changed
    }

    /// Returns the limits that answers told this router, and what it sent to runners with
    /// a limit.
    pub fn limits(&self, now: Time) -> impl Iterator<Item = report::Limit> {
        let limits = self.by_runner.iter().map(move |(runner, limit)| {
            let own = limit.own.map(|own| report::Stated {
                per_second: own.per_second,
                age: now.since(own.stated_at),
            });
            report::Limit {
                runner: runner.clone(),
                started_at: limit.started_at,
                stated: own.filter(|own| own.age < MEMORY),
                sent: limit.budget.sent_within(now, WINDOW),
            }
        });
        limits.filter(|limit| limit.stated.is_some() || limit.sent > 0)
    }

    /// Returns the requests that arrived at this router.
    pub fn demand(&self) -> impl Iterator<Item = report::Demand> {
        let demand = self.demand.iter();
        demand.map(|(service, demand)| report::Demand {
            service: service.clone(),
            requests: demand.local() as f32,
        })
    }

    /// Drops the counts that peers reported. Their statements on limits stay.
    pub fn clear_peers(&mut self) {
        for limit in self.by_runner.values_mut() {
            limit.budget.sent_by_peers.clear();
        }
        for limit in self.cold.values_mut() {
            limit.budget.sent_by_peers.clear();
        }
        for demand in self.demand.values_mut() {
            demand.peers.clear();
        }
    }

    /// Recomputes this router's part of the limits, and forgets limits that ended long ago.
    pub fn advance(&mut self, now: Time) {
        self.by_runner.retain(|_, limit| {
            let Statement {
                per_second,
                stated_at,
            } = limit.statement;
            per_second.is_some() || now.since(stated_at) < MEMORY
        });
        self.presence.first_seen_at.get_or_insert(now);
        let elapsed = now.since(self.advanced_at.replace(now).unwrap_or(now));
        for demand in self.demand.values_mut() {
            demand.advance(now, elapsed, self.router_count);
        }
    }

    /// Issues the tokens for a runner that are due.
    pub fn refill(&mut self, now: Time, entry: &Entry) {
        let share = self.demand.get(&entry.service).map(|demand| demand.share);
        if let Some(limit) = self.by_runner.get_mut(&entry.runner) {
            limit.refill(now, share.unwrap_or(0.0));
        }
        let presence = &self.presence;
        if let Some(limit) = self.cold.get_mut(&entry.runner) {
            let share = share.map_or(0.0, |share| presence.share(now, share));
            let terms = limit.terms.as_ref();
            // A process that stood still gets no more tokens than one that did not use any.
            let lifetime = terms.map_or(Span(0), |terms| terms.token_lifetime);
            let earliest = Time(now.0.saturating_sub(lifetime.0));
            limit.budget.refilled_at = limit.budget.refilled_at.max(earliest);
            limit.budget.refill(now, terms, COLD_WINDOW, share);
        }
    }

    /// Sets the number of routers that are alive, this one included.
    pub fn set_alive_count(&mut self, now: Time, alive: u32) {
        self.presence.record(now, alive);
    }

    /// Sets the rate for a runner whose service has cold starts, or that it is warm.
    pub fn set_cold(&mut self, now: Time, runner: &Runner, terms: Option<Terms>) {
        let phase = self.phase(runner);
        let limit = self.cold.entry(runner.clone()).or_insert_with(|| {
            let budget = Budget::new(now, phase);
            ColdLimit { terms, budget }
        });
        if limit.terms.is_none() && terms.is_some() {
            limit.budget.refilled_at = now;
        }
        limit.terms = terms;
    }

    /// Removes the budget of a runner that is not cold by its service, or is gone.
    pub fn clear_cold(&mut self, runner: &Runner) {
        self.cold.swap_remove(runner);
    }

    /// Removes the budgets of all cold runners.
    pub fn clear_all_cold(&mut self) {
        self.cold.clear();
    }

    /// Returns the requests that this router sent to a runner within `COLD_WINDOW`.
    #[must_use]
    pub fn sent_to_cold(&self, now: Time, runner: &Runner) -> u32 {
        let limit = self.cold.get(runner);
        limit.map_or(0, |limit| limit.budget.sent_within(now, COLD_WINDOW))
    }

    /// Applies the requests that a peer reported to have sent to a cold runner.
    pub fn apply_cold_sent(&mut self, now: Time, peer: &Instance, runner: &Runner, sent: u32) {
        if let Some(limit) = self.cold.get_mut(runner) {
            let sent = (now, sent);
            limit.budget.sent_by_peers.insert(peer.clone(), sent);
        }
    }

    /// Returns whether a runner is cold and has no token of this router.
    #[must_use]
    pub fn is_cold_without_token(&self, now: Time, runner: &Runner) -> bool {
        !self.has_cold_room(now, runner)
    }

    fn has_cold_room(&self, now: Time, runner: &Runner) -> bool {
        self.cold.get(runner).is_none_or(|limit| {
            let terms = limit.terms.as_ref();
            terms.is_none_or(|terms| limit.budget.has_room(now, terms))
        })
    }

    /// Returns the part of a first token that this router begins with, so that routers
    /// do not get their tokens for a runner at the same time.
    fn phase(&self, runner: &Runner) -> f64 {
        rank::score(runner.as_str(), &self.name) as f64 / u64::MAX as f64
    }

    /// Returns whether the listed process of a runner names a limit.
    #[must_use]
    pub fn is_limited(&self, entry: &Entry) -> bool {
        self.get(entry)
            .is_some_and(|limit| limit.statement.per_second.is_some())
    }

    /// Returns whether the listed process of a runner accepts a request of this router.
    #[must_use]
    pub fn has_room(&self, now: Time, entry: &Entry) -> bool {
        self.get(entry).is_none_or(|limit| limit.has_room(now))
            && self.has_cold_room(now, &entry.runner)
    }

    /// Counts a request that is sent to a runner.
    pub fn record_send(&mut self, now: Time, runner: &Runner) {
        if let Some(limit) = self.by_runner.get_mut(runner) {
            limit.budget.record_send(now);
        }
        if let Some(limit) = self.cold.get_mut(runner) {
            limit.budget.record_send(now);
        }
    }

    fn get(&self, entry: &Entry) -> Option<&Limit> {
        let limit = self.by_runner.get(&entry.runner)?;
        (limit.started_at == entry.started_at).then_some(limit)
    }

    /// Applies a statement, unless it is of an earlier process. Returns the limit, and
    /// whether it changes; `None` if there is none.
    fn restate(
        &mut self,
        now: Time,
        runner: &Runner,
        started_at: u64,
        statement: Statement,
    ) -> Option<(&mut Limit, bool)> {
        let known = self.by_runner.get(runner).map(|limit| limit.started_at);
        if known.is_some_and(|known| known > started_at) {
            return None;
        }
        if known != Some(started_at) {
            if known.is_none() && statement.per_second.is_none() {
                return None;
            }
            let phase = self.phase(runner);
            let limit = Limit::new(now, started_at, statement, phase);
            self.by_runner.insert(runner.clone(), limit);
            if self.by_runner.len() > MAX_LIMITS {
                self.by_runner.shift_remove_index(0);
            }
            return Some((self.by_runner.get_mut(runner)?, true));
        }
        let limit = self.by_runner.get_mut(runner)?;
        let changed = limit.restate(statement);
        Some((limit, changed))
    }
}

fn demand_mut<'a>(
    demand: &'a mut BTreeMap<Service, Demand>,
    service: &Service,
    router_count: u32,
) -> &'a mut Demand {
    demand.entry(service.clone()).or_insert_with(|| Demand {
        covered: 0.0,
        other: 0.0,
        peers: BTreeMap::new(),
        share: 1.0 / f64::from(router_count),
    })
}

/// Returns the factor by which a count decays in `elapsed`.
fn decay(elapsed: Span, window: Span) -> f64 {
    (-(elapsed.0 as f64) / window.0 as f64).exp()
}
