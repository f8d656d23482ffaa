//! Whether and when a failed attempt is made again.

use balsamchute_base::prelude::*;

/// Limits of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries allowed for each first attempt, over all requests. With every
    /// router at this ratio, a fleet at its worst sends `1 + ratio` times its
    /// load.
    pub ratio: f64,
    /// Retries that may be saved up.
    pub burst: f64,
    /// Attempts of one request at most, the first included.
    pub attempts: u32,
    /// Longest wait before the first retry; it doubles with each further one.
    pub base: Span,
    /// Longest wait.
    pub longest: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            ratio: 0.1,
            burst: 50.0,
            attempts: 4,
            base: Span(20),
            longest: Span(1000),
        }
    }
}

/// How an attempt failed, as far as repeating it is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte of it can have reached the target, or the target attests that
    /// it refused it.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// The request that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Case {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Its deadline.
    pub deadline: Time,
    /// How the last attempt failed.
    pub failure: Failure,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Try again at this time.
    Retry(Time),
    /// Give up: a repetition could run the request twice.
    Unsafe,
    /// Give up: too many attempts, or the deadline is too near.
    Spent,
    /// Give up: the router retries too much already.
    Budget,
}

/// The retry budget of one router.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Budget {
            settings,
            tokens: settings.burst,
        }
    }

    /// Records the first attempt of a request.
    pub fn first(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Decides about a failed attempt; `random` spreads the wait.
    pub fn decide(&mut self, now: Time, case: &Case, random: u64) -> Decision {
        if !case.idempotent && case.failure == Failure::MayHaveRun {
            return Decision::Unsafe;
        }
        let at = now + self.wait(case.attempts, random);
        if case.attempts >= self.settings.attempts || at >= case.deadline {
            return Decision::Spent;
        }
        if self.tokens < 1.0 {
            return Decision::Budget;
        }
        self.tokens -= 1.0;
        Decision::Retry(at)
    }

    /// Returns a wait between nothing and the doubled base.
    fn wait(&self, attempts: u32, random: u64) -> Span {
        let doubled = self.settings.base.0 << attempts.saturating_sub(1).min(16);
        let longest = doubled.min(self.settings.longest.0);
        Span(random % (longest + 1))
    }
}
