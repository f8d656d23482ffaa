//! Limits on the rate of requests that runners name in their answers, shared by all
//! routers without an exchange for each request.
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
const MAX_LIMITS: usize = 512;

/// Window in which the requests of all routers are counted against a limit.
const WINDOW: Span = Span(4000);

/// Requests that a window may hold beyond the limit, so that a limit of less than one
/// request in a window still lets one through.
const WINDOW_SLACK: f64 = 1.0;

/// Lowest rate that is used, in requests per second of all routers. A runner that accepts
/// nothing at all could not say when that changes.
const MIN_PER_SECOND: f64 = 0.25;

/// Tokens of all routers that may be unused at a time, beyond those of one second.
const UNUSED_TOKENS: f64 = 3.0;

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
const MEMORY: Span = Span(10_000);

/// Limit that an answer of a runner named, and when the answer arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Statement {
    per_second: Option<f64>,
    stated_at: Time,
}

/// Limit of one process of a runner, with the requests that it got.
#[derive(Clone, Debug)]
struct Limit {
    started_at: u64,
    /// Newest statement that this router or another one heard.
    statement: Statement,
    /// Newest statement that this router heard.
    own: Option<Statement>,
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

impl Limit {
    fn new(now: Time, started_at: u64, statement: Statement, credit: f64) -> Self {
        Limit {
            started_at,
            statement,
            own: None,
            tokens: VecDeque::new(),
            credit,
            refilled_at: now,
            sent: VecDeque::new(),
            sent_by_peers: BTreeMap::new(),
        }
    }

    /// Returns the requests per second of all routers, if there is a limit.
    fn per_second(&self) -> Option<f64> {
        let per_second = self.statement.per_second?;
        Some(per_second.max(MIN_PER_SECOND))
    }

    /// Replaces the statement by a newer one. Returns whether the limit changes.
    fn restate(&mut self, statement: Statement) -> bool {
        if statement.stated_at < self.statement.stated_at {
            return false;
        }
        let earlier = std::mem::replace(&mut self.statement, statement);
        earlier.per_second != statement.per_second
    }

    /// Issues the tokens that are due at `per_second`, of which this router has `share`,
    /// and drops those that have expired.
    fn refill(&mut self, now: Time, share: f64) {
        let elapsed = now.since(std::mem::replace(&mut self.refilled_at, now));
        self.sent.retain(|&sent_at| now.since(sent_at) < WINDOW);
        let Some(per_second) = self.per_second() else {
            self.tokens.clear();
            return;
        };
        self.credit += per_second * share * elapsed.0 as f64 / 1000.0;
        while self.credit >= 1.0 {
            self.credit -= 1.0;
            self.tokens.push_back(now);
        }
        let lifetime = Span((1000.0 * (1.0 + UNUSED_TOKENS / per_second)) as u64);
        self.tokens
            .retain(|&issued_at| now.since(issued_at) < lifetime);
    }

    /// Returns whether the runner accepts a request of this router.
    fn has_room(&self, now: Time) -> bool {
        let Some(per_second) = self.per_second() else {
            return true;
        };
        let allowed = per_second * WINDOW.0 as f64 / 1000.0 + WINDOW_SLACK;
        !self.tokens.is_empty() && f64::from(self.sent_by_all(now)) + 1.0 <= allowed
    }

    fn sent_by_all(&self, now: Time) -> u32 {
        let by_peers = self.sent_by_peers.values();
        let recent = by_peers.filter(|(received_at, _)| now.since(*received_at) < WINDOW);
        let by_peers: u32 = recent.map(|(_, sent)| sent).sum();
        self.sent_within_window(now) + by_peers
    }

    fn sent_within_window(&self, now: Time) -> u32 {
        let recent = self.sent.iter();
        recent.filter(|&&at| now.since(at) < WINDOW).count() as u32
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
                limit.sent_by_peers.insert(peer.clone(), sent);
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
                sent: limit.sent_within_window(now),
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
            limit.sent_by_peers.clear();
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
    }

    /// Counts a request that is sent to a runner.
    pub fn record_send(&mut self, now: Time, runner: &Runner) {
        if let Some(limit) = self.by_runner.get_mut(runner) {
            limit.tokens.pop_front();
            limit.sent.push_back(now);
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
            let phase = rank::score(runner.as_str(), &self.name) as f64 / u64::MAX as f64;
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
