//! Limits beside the share: rate, concurrency and queue length.

use balsamchute_base::prelude::*;
use balsamchute_inventory::config::Limits;
use displaydoc::Display;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// When a refused request may come back if only the length of a queue or the
/// number of running requests stands against it.
const QUEUE_RETRY: Span = Span::from_secs(1);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
pub enum Refusal {
    /// more than {limit} requests a second
    Rate {
        /// The limit.
        limit: u32,
        /// When a retry can succeed.
        retry: Span,
    },
    /// {limit} requests are waiting already
    Queue {
        /// The limit.
        limit: u32,
        /// When a retry can succeed.
        retry: Span,
    },
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns when a retry can succeed, from now.
    #[must_use]
    pub fn retry(&self) -> Span {
        match *self {
            Refusal::Rate { retry, .. } | Refusal::Queue { retry, .. } => retry,
        }
    }
}

/// Applies the limits of one workspace or one service.
///
/// A request is admitted, starts, and finishes; or it is admitted and leaves.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    limits: Limits,
    tokens: f64,
    updated: Option<Time>,
    waiting: u32,
    running: u32,
}

impl Limiter {
    /// Creates a limiter with its full burst.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Limiter {
            limits,
            tokens: f64::from(limits.rate.unwrap_or(0)),
            updated: None,
            waiting: 0,
            running: 0,
        }
    }

    /// Changes the limits. What waits and runs stays.
    pub fn set_limits(&mut self, limits: Limits) {
        if self.limits.rate.is_none() {
            self.tokens = f64::from(limits.rate.unwrap_or(0));
        }
        self.limits = limits;
    }

    /// Checks whether one more request may wait, without admitting it.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] that says when to come back.
    pub fn check(&mut self, now: Time) -> Result<(), Refusal> {
        if let Some(limit) = self.limits.queue
            && self.waiting >= limit
        {
            return Err(Refusal::Queue {
                limit,
                retry: QUEUE_RETRY,
            });
        }
        if let Some(limit) = self.limits.rate {
            self.refill(now, limit);
            if self.tokens < 1.0 {
                return Err(Refusal::Rate {
                    limit,
                    retry: self.wait(limit),
                });
            }
        }
        Ok(())
    }

    /// Admits one request, which then waits.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] that says when to come back.
    pub fn admit(&mut self, now: Time) -> Result<(), Refusal> {
        self.check(now)?;
        if self.limits.rate.is_some() {
            self.tokens -= 1.0;
        }
        self.waiting += 1;
        Ok(())
    }

    /// A waiting request starts to run.
    pub fn start(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        self.running += 1;
    }

    /// A running request goes back to wait.
    pub fn requeue(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.waiting += 1;
    }

    /// A waiting request leaves without having run.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// A running request ends.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns whether as many requests run as the limit allows.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.limits
            .concurrency
            .is_some_and(|limit| self.running >= limit)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    fn refill(&mut self, now: Time, limit: u32) {
        let updated = self.updated.unwrap_or(now);
        let earned = now.since(updated).as_millis() as f64 * f64::from(limit) / MILLIS_PER_SECOND;
        self.tokens = (self.tokens + earned).min(f64::from(limit));
        // A clock that jumps back earns nothing until it has caught up.
        self.updated = Some(updated.max(now));
    }

    fn wait(&self, limit: u32) -> Span {
        if limit == 0 {
            return Span::from_secs(60);
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Span((missing * MILLIS_PER_SECOND / f64::from(limit)).ceil() as u64)
    }
}
