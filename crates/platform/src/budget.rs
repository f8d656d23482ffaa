//! Budgets of calls and of retries. The logic is pure; callers pass the time.

use balsamchute_base::prelude::*;

/// Milliseconds in a second.
const SECOND_MS: f64 = 1000.0;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens that come in each second.
    rate: f64,
    /// Most tokens that are kept.
    burst: f64,
    tokens: f64,
    filled: Time,
}

impl Bucket {
    /// Creates a full bucket with `rate` tokens a second and room for `burst`.
    #[must_use]
    pub fn new(rate: f64, burst: f64, now: Time) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled: now,
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns how long it takes until there is one.
    pub fn take(&mut self, now: Time) -> Result<(), Span> {
        let passed = now.since(self.filled).as_millis() as f64 / SECOND_MS;
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.rate * SECOND_MS;
        Err(Span(wait.ceil() as u64))
    }
}

/// A retry budget: retries may be only a fraction of calls.
///
/// When everything fails, retries add at most that fraction to the load.
#[derive(Clone, Debug)]
pub struct Retries {
    share: f64,
    most: f64,
    saved: f64,
}

impl Retries {
    /// Creates a budget of `share` retries for each call, saved up to `most`.
    #[must_use]
    pub fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            saved: most,
        }
    }

    /// Counts a call.
    pub fn record_call(&mut self) {
        self.saved = (self.saved + self.share).min(self.most);
    }

    /// Takes one retry; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
