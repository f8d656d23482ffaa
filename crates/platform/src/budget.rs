//! Budgets that limit calls and retries. They read no clock; callers pass the time.

use balsamchute_base::prelude::*;

const MS_PER_SECOND: f64 = 1000.0;

/// Token bucket that limits the rate of calls.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens added per second.
    rate: f64,
    /// Capacity of the bucket in tokens.
    burst: f64,
    /// Tokens that may be taken now.
    tokens: f64,
    /// Time up to which tokens have been added.
    refilled_at: Time,
}

impl Bucket {
    /// Creates a full bucket that refills at `rate` tokens per second and holds
    /// up to `burst` tokens.
    #[must_use]
    pub fn new(rate: f64, burst: f64, now: Time) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes one token from the bucket, which is first refilled up to `now`.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available if there is none now.
    pub fn take(&mut self, now: Time) -> Result<(), Span> {
        let elapsed_s = now.since(self.refilled_at).as_millis() as f64 / MS_PER_SECOND;
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (1.0 - self.tokens) / self.rate * MS_PER_SECOND;
        Err(Span(wait_ms.ceil() as u64))
    }
}

/// Retry budget, which limits retries to a fraction of calls.
///
/// During an outage retries add at most that fraction to the load, after the saved
/// retries are used up.
#[derive(Clone, Debug)]
pub struct Retries {
    /// Retries added by each call.
    ratio: f64,
    /// Capacity of the budget in retries.
    max_saved: f64,
    /// Retries that may be made now.
    saved: f64,
}

impl Retries {
    /// Creates a budget to which each call adds `ratio` retries, up to
    /// `max_saved`. It is full at first.
    #[must_use]
    pub fn new(ratio: f64, max_saved: f64) -> Self {
        Self {
            ratio,
            max_saved,
            saved: max_saved,
        }
    }

    /// Adds the `ratio` of one call to the retries that may be made.
    pub fn record_call(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.max_saved);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
