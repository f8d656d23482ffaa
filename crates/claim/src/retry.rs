//! Retries of failed attempts, limited by attempts, deadline and a budget.

use balsamchute_base::prelude::*;

/// Limits of the retries of one router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries that each first attempt adds to the budget. If every attempt
    /// fails at every router, the fleet sends `1 + ratio` times its load.
    pub ratio: f64,
    /// Maximum number of retries that the budget holds.
    pub burst: f64,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Upper bound of the wait before the first retry. It doubles with each
    /// further retry.
    pub initial_backoff: Span,
    /// Upper bound of the wait before any retry.
    pub max_backoff: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            ratio: 0.1,
            burst: 50.0,
            max_attempts: 4,
            initial_backoff: Span(20),
            max_backoff: Span(1000),
        }
    }
}

/// Kind of a failed attempt, by the possibility that it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte of the attempt can have reached the target, or the target
    /// attests that it refused the attempt.
    NotRun,
    /// The attempt may have run.
    MayHaveRun,
}

/// A request whose last attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of attempts made so far, the failed one included.
    pub attempts: u32,
    /// Time before which a retry has to start.
    pub deadline: Time,
    /// Failure of the last attempt.
    pub failure: Failure,
}

/// Action after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Start the next attempt at this time.
    Retry(Time),
    /// Give up: a retry could run a non-idempotent request twice.
    Unsafe,
    /// Give up: the attempts are used up, or the retry would start at the
    /// deadline or later.
    LimitReached,
    /// Give up: the retry budget of the router is used up.
    BudgetExhausted,
}

/// The retry budget of one router, a token bucket that first attempts refill.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget, which allows `burst` retries at once.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Budget {
            settings,
            tokens: settings.burst,
        }
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Decides whether to retry after a failed attempt. The backoff is drawn from
    /// `random`, which may be any number.
    pub fn decide(&mut self, now: Time, candidate: &Candidate, random: u64) -> Decision {
        if !candidate.idempotent && candidate.failure == Failure::MayHaveRun {
            return Decision::Unsafe;
        }
        let retry_at = now + self.backoff(candidate.attempts, random);
        if candidate.attempts >= self.settings.max_attempts || retry_at >= candidate.deadline {
            return Decision::LimitReached;
        }
        if self.tokens < 1.0 {
            return Decision::BudgetExhausted;
        }
        self.tokens -= 1.0;
        Decision::Retry(retry_at)
    }

    /// Returns the wait before the next attempt: exponential backoff with full
    /// jitter.
    fn backoff(&self, attempts: u32, random: u64) -> Span {
        let doubled = self.settings.initial_backoff.0 << attempts.saturating_sub(1).min(16);
        let longest = doubled.min(self.settings.max_backoff.0);
        Span(random % (longest + 1))
    }
}
