//! What is believed of the coldness of runners, and the rate that follows from it.
//!
//! Responds to runners that start, alone or after the evacuation of their failure domain,
//! while demand is high. Such a runner has empty caches, sustains few requests per second
//! and crashes well above that, although it looks idle and would be chosen first.
//!
//! Sources in order of trust are the runner's responses, its entry in the list, and what
//! routers observe. No source is exact, so in doubt a runner is taken to be cold. Routers
//! pass on only what they heard or observed themselves, as they do limits.
//! [`Rates`](crate::rate::Rates) divides the rate between the routers.

use balsamchute_model::manifest::ColdStart;
use balsamchute_model::prelude::*;
use indexmap::IndexMap;

use crate::rate::{COLD_WINDOW, MAX_LIMITS, MEMORY, MIN_PER_SECOND, Terms, UNUSED_TOKENS};
use crate::report::Told;

/// Age of an entry of the list: 1.2 s between writes and 0.8 s until it arrives.
const ENTRY_AGE: Span = Span(2000);

/// Time for which a runner counts as cold after a connection broke under a request. By
/// then, the entry of a restarted process has arrived.
const BREAK_SUSPICION: Span = Span(2500);

/// Age beyond the stated one that another router's statement that a runner is warm is
/// given: the time that reports take. One that it is cold is taken as it is.
const RELAY_TIME: Span = Span(500);

/// Longest remaining time that an entry may name. A longer one is malformed.
const MAX_LEFT: Span = Span::from_secs(24 * 60 * 60);

/// Time after a cold period in which the rate rises, to 25 times the rate of a cold
/// runner. Afterwards the usual limits hold.
const RAMP: Span = Span(5000);

/// Factor by which the rate rises each second. A factor of 2, the most that is allowed, gave
/// a second with 2.05 times the requests of the last one, as routers get tokens unevenly.
const RAMP_GROWTH: f64 = 1.9;

/// Factor for errors of the shares of routers and of the times at which requests arrive.
const RATE_MARGIN: f64 = 0.9;

/// Time for which a token for a cold runner stays valid. Tokens of many routers come at
/// random times: with one second, 195 routers sent 20 requests where 16.4 are allowed.
const TOKEN_LIFETIME: Span = Span(300);

/// Requests below the bound up to which routers send by what the others reported: the
/// tokens that all of them have or get in 400 ms, before the next report arrives.
const WINDOW_RESERVE: f64 = 7.0;

/// Bound on the requests that a cold runner gets from all routers in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests as a ratio of those that the runner sustains.
    pub ratio: f64,
    /// Requests in addition to the ratio.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Bound {
            ratio: 1.5,
            slack: 5.0,
        }
    }
}

impl Bound {
    /// Returns the most requests in any one second to a runner that sustains `per_second`.
    #[must_use]
    pub fn max_in_second(&self, per_second: f64) -> f64 {
        per_second * self.ratio + self.slack
    }

    /// Returns the requests per second at which all routers together send to a runner
    /// that sustains `per_second`. The unused tokens of all routers, of one second and
    /// `UNUSED_TOKENS`, and the new ones of the next second stay below the bound.
    #[must_use]
    pub fn rate(&self, per_second: f64) -> f64 {
        let room = self.max_in_second(per_second) - UNUSED_TOKENS;
        per_second.min(RATE_MARGIN * room / 2.0).max(MIN_PER_SECOND)
    }
}

/// Origin of the belief that a runner is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A response of the runner.
    Response,
    /// The runner's entry in the list.
    Entry,
    /// A report of another router.
    Report,
    /// The runner is new in the list, or its start time changed.
    Start,
    /// The evacuation of its failure domain ended.
    Evacuation,
    /// The runner refused a connection.
    Refusal,
    /// A connection broke under a request.
    Break,
}

impl Source {
    /// Returns the source as written to logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Response => "response",
            Source::Entry => "entry",
            Source::Report => "report",
            Source::Start => "start",
            Source::Evacuation => "evacuation",
            Source::Refusal => "refusal",
            Source::Break => "break",
        }
    }
}

/// End of a cold period.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    At(Time),
    /// `cold_start_s` after this time.
    AfterStart(Time),
    /// `cold_start_s` after the next response of the runner.
    AfterContact,
}

/// Belief about one process of a runner.
#[derive(Clone, Copy, Debug)]
struct Belief {
    source: Source,
    heard_at: Time,
    end: End,
}

/// State of a runner with respect to its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The runner is cold for this time.
    Cold(Span),
    /// The runner was cold until this time ago; its rate still rises.
    Rising(Span),
    /// The runner has its normal limit.
    Warm,
}

#[derive(Clone, Debug)]
struct Process {
    started_at: u64,
    domain: String,
    belief: Option<Belief>,
    /// Whether the last change that was told is that the runner is cold.
    is_told: bool,
}

impl Process {
    fn phase(&self, now: Time, cold_start: &ColdStart) -> Phase {
        let Some(belief) = self.belief else {
            return Phase::Warm;
        };
        let end = match belief.end {
            End::At(end) => end,
            End::AfterStart(start) => start + cold_start.duration,
            End::AfterContact => now + cold_start.duration,
        };
        if now < end {
            return Phase::Cold(end.since(now));
        }
        let elapsed = now.since(end);
        match belief.source {
            // The runner had its normal limit before, and it did not start.
            Source::Break => Phase::Warm,
            _ if elapsed < RAMP => Phase::Rising(elapsed),
            _ => Phase::Warm,
        }
    }

    fn set(&mut self, now: Time, source: Source, end: End) {
        self.belief = Some(Belief {
            source,
            heard_at: now,
            end,
        });
    }

    /// Applies the remaining time in a later entry of the same process.
    fn apply_left(&mut self, now: Time, left: Span, duration: Span) {
        let until = now + left;
        let Some(belief) = &mut self.belief else {
            if left > Span(0) {
                self.set(now, Source::Entry, End::At(until));
            }
            return;
        };
        match (belief.source, belief.end) {
            (Source::Entry, End::At(end)) if end > now || left > Span(0) => {
                belief.end = End::At(until);
            }
            (Source::Start, _) if left > Span(0) => self.set(now, Source::Entry, End::At(until)),
            // The entry may have been written before the response, but it tells of a
            // cold period that began later.
            (Source::Response | Source::Report | Source::Break, End::At(end))
                if left > Span(0)
                    && now.since(belief.heard_at) >= ENTRY_AGE
                    && until > end + ENTRY_AGE =>
            {
                self.set(now, Source::Entry, End::At(until));
            }
            (Source::Refusal | Source::Evacuation, End::AfterStart(start))
                if left > Span(0) && until > start + duration =>
            {
                self.set(now, Source::Entry, End::At(until));
            }
            _ => {}
        }
    }
}

/// Change of a belief, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Runner that the belief is about.
    pub runner: Runner,
    /// Remaining time for which it is cold; `None` if the cold period has ended.
    pub left: Option<Span>,
    /// Source of the belief.
    pub source: Source,
}

/// Beliefs by runner, in the order in which the runners first appeared.
#[derive(Clone, Debug, Default)]
pub struct Colds {
    bound: Bound,
    by_runner: IndexMap<Runner, Process>,
    /// Whether the first list of runners was received in full.
    is_listed: bool,
}

impl Colds {
    /// Creates an empty set of beliefs. The first runners are those of the first list.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Colds {
            bound,
            ..Colds::default()
        }
    }

    /// Replaces the bound on requests to cold runners.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Records that the first list of runners was received in full: a runner that appears
    /// afterwards has just started.
    pub fn end_first_list(&mut self) {
        self.is_listed = true;
    }

    /// Applies an entry of the list. One that was removed and comes back with the same
    /// start time has not restarted.
    pub fn set_entry(&mut self, now: Time, entry: &Entry, cold_start: Option<&ColdStart>) {
        let duration = cold_start.map_or(Span(0), |cold_start| cold_start.duration);
        let left = match entry.warmup {
            left if left > MAX_LEFT => Span(0),
            left => left,
        };
        let is_listed = self.is_listed;
        if let Some(process) = self.by_runner.get_mut(&entry.runner) {
            process.domain.clone_from(&entry.domain);
            if process.started_at == entry.started_at {
                process.apply_left(now, left, duration);
                return;
            }
            process.started_at = entry.started_at;
            // A response of the new process may arrive before its entry.
            let is_told = process.belief.is_some_and(|belief| match belief.end {
                End::At(end) => {
                    belief.source == Source::Response && end > now && end + ENTRY_AGE >= now + left
                }
                _ => false,
            });
            match left {
                _ if is_told => {}
                Span(0) => process.set(now, Source::Start, End::AfterStart(now)),
                left => process.set(now, Source::Entry, End::At(now + left)),
            }
            return;
        }
        let mut process = Process {
            started_at: entry.started_at,
            domain: entry.domain.clone(),
            belief: None,
            is_told: false,
        };
        match left {
            Span(0) if !is_listed => {}
            Span(0) => process.set(now, Source::Start, End::AfterStart(now)),
            left => process.set(now, Source::Entry, End::At(now + left)),
        }
        self.by_runner.insert(entry.runner.clone(), process);
        if self.by_runner.len() > MAX_LIMITS * 4 {
            self.by_runner.shift_remove_index(0);
        }
    }

    /// Records that all runners of a domain are cold from now.
    pub fn record_domain(&mut self, now: Time, domain: &str) {
        for process in self.by_runner.values_mut() {
            if process.domain == domain {
                process.set(now, Source::Evacuation, End::AfterStart(now));
            }
        }
    }

    /// Records that a runner refused a connection. When it accepts one again, it is cold.
    pub fn record_refusal(&mut self, now: Time, runner: &Runner) {
        if let Some(process) = self.by_runner.get_mut(runner) {
            process.set(now, Source::Refusal, End::AfterContact);
        }
    }

    /// Records a response of a runner, which shows that it has started.
    pub fn record_contact(&mut self, now: Time, runner: &Runner) {
        if let Some(process) = self.by_runner.get_mut(runner)
            && let Some(belief) = &mut process.belief
            && belief.end == End::AfterContact
        {
            belief.end = End::AfterStart(now);
            belief.heard_at = now;
        }
    }

    /// Records that a connection broke under a request: the runner may have crashed, and
    /// a new process may accept connections before its entry arrives.
    pub fn record_break(&mut self, now: Time, runner: &Runner, cold_start: &ColdStart) {
        if let Some(process) = self.by_runner.get_mut(runner) {
            let is_cold = matches!(
                process.phase(now, cold_start),
                Phase::Cold(left) if left >= BREAK_SUSPICION
            );
            if !is_cold {
                process.set(now, Source::Break, End::At(now + BREAK_SUSPICION));
            }
        }
    }

    /// Records the remaining time in a response of a runner, over a connection that was
    /// opened when `started_at` was its start time. That the runner is warm is believed
    /// only of the listed process.
    pub fn record_response(
        &mut self,
        now: Time,
        runner: &Runner,
        started_at: u64,
        left: Span,
        cold_start: &ColdStart,
    ) {
        let Some(process) = self.by_runner.get_mut(runner) else {
            return;
        };
        match (left, process.phase(now, cold_start)) {
            (Span(0), _) if started_at != process.started_at => {}
            (Span(0), Phase::Rising(_)) => {
                if let Some(belief) = &mut process.belief {
                    belief.heard_at = now;
                }
            }
            (Span(0), Phase::Warm) => {
                let long_ago = Time(now.0.saturating_sub(RAMP.0));
                process.set(now, Source::Response, End::At(long_ago));
            }
            (left, _) => process.set(now, Source::Response, End::At(now + left)),
        }
    }

    /// Applies what another router heard of a runner or observed.
    pub fn apply_told(
        &mut self,
        now: Time,
        runner: &Runner,
        started_at: u64,
        told: Told,
        cold_start: &ColdStart,
    ) {
        let Some(process) = self.by_runner.get_mut(runner) else {
            return;
        };
        let heard_at = process.belief.map(|belief| belief.heard_at);
        let told_at = Time(now.0.saturating_sub(told.age.0));
        let phase = process.phase(now, cold_start);
        if started_at < process.started_at || told.left > MAX_LEFT {
            return;
        }
        let is_later = heard_at.is_none_or(|heard_at| told_at > heard_at);
        let is_much_later = heard_at.is_none_or(|heard_at| told_at > heard_at + RELAY_TIME);
        let is_same = started_at == process.started_at;
        match (told.left, phase) {
            (Span(0), Phase::Cold(_)) if is_same && is_much_later => {
                process.set(told_at, Source::Report, End::At(now));
            }
            (Span(0), _) => {}
            // Known, perhaps from the runner itself.
            (left, Phase::Cold(known)) if left <= known => {}
            (left, _) if is_later || !is_same => {
                process.set(told_at, Source::Report, End::At(now + left));
            }
            _ => {}
        }
    }

    /// Returns the state of a runner of a service with cold starts.
    #[must_use]
    pub fn phase(&self, now: Time, runner: &Runner, cold_start: &ColdStart) -> Phase {
        let process = self.by_runner.get(runner);
        process.map_or(Phase::Warm, |process| process.phase(now, cold_start))
    }

    /// Returns the rate of all routers to a runner, or `None` if it is warm.
    #[must_use]
    pub fn terms(&self, now: Time, runner: &Runner, cold_start: &ColdStart) -> Option<Terms> {
        let cold_rate = self.bound.rate(cold_start.per_second);
        let (per_second, max_in_window) = match self.phase(now, runner, cold_start) {
            Phase::Warm => return None,
            Phase::Cold(_) => {
                let bound = self.bound.max_in_second(cold_start.per_second);
                (cold_rate, (bound - WINDOW_RESERVE).max(cold_rate + 1.0))
            }
            Phase::Rising(elapsed) => {
                let per_second = cold_rate * RAMP_GROWTH.powf(elapsed.0 as f64 / 1000.0);
                (per_second, f64::INFINITY)
            }
        };
        Some(Terms {
            per_second,
            token_lifetime: TOKEN_LIFETIME,
            window: COLD_WINDOW,
            max_in_window,
        })
    }

    /// Returns the start time of the process, and what this router heard or observed of
    /// it itself, if the runner is cold or was a short time ago.
    #[must_use]
    pub fn told(
        &self,
        now: Time,
        runner: &Runner,
        cold_start: &ColdStart,
    ) -> Option<(u64, Option<Told>)> {
        let process = self.by_runner.get(runner)?;
        let left = match process.phase(now, cold_start) {
            Phase::Cold(left) => left,
            Phase::Rising(_) => Span(0),
            Phase::Warm => return None,
        };
        let belief = process.belief?;
        let age = now.since(belief.heard_at);
        let is_own = match belief.source {
            // Without a response, the process that refused may have been replaced.
            Source::Refusal if belief.end == End::AfterContact => age < MEMORY,
            Source::Response | Source::Refusal | Source::Break => left > Span(0) || age < MEMORY,
            Source::Entry | Source::Report | Source::Start | Source::Evacuation => false,
        };
        Some((process.started_at, is_own.then_some(Told { left, age })))
    }

    /// Returns whether the runner became cold or ceased to be since the last call.
    pub fn take_change(
        &mut self,
        now: Time,
        runner: &Runner,
        cold_start: &ColdStart,
    ) -> Option<Change> {
        let process = self.by_runner.get_mut(runner)?;
        let left = match process.phase(now, cold_start) {
            Phase::Cold(left) => Some(left),
            Phase::Rising(_) | Phase::Warm => None,
        };
        let was_told = std::mem::replace(&mut process.is_told, left.is_some());
        let source = process.belief?.source;
        (was_told != left.is_some()).then(|| Change {
            runner: runner.clone(),
            left,
            source,
        })
    }
}
