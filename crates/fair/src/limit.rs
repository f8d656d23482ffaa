//! Limits on rate, concurrency and queue length, applied in addition to the fair
//! share.

use balsamchute_base::prelude::*;
use balsamchute_inventory::config::Limits;
use displaydoc::Display;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Retry delay of a request that is refused because the queue is full. The time
/// at which a place becomes free is not known.
const QUEUE_RETRY_DELAY: Span = Span::from_secs(1);

/// Refusal of a request by a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
pub enum Refusal {
    /// more than {limit} requests a second
    Rate {
        /// Requests allowed per second.
        limit: u32,
        /// Delay after which a retry can succeed.
        retry_after: Span,
    },
    /// {limit} requests are waiting already
    Queue {
        /// Requests allowed to wait at the same time.
        limit: u32,
        /// Delay after which a retry can succeed.
        retry_after: Span,
    },
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns the delay from now after which a retry can succeed.
    #[must_use]
    pub fn retry_after(&self) -> Span {
        match *self {
            Refusal::Rate { retry_after, .. } | Refusal::Queue { retry_after, .. } => retry_after,
        }
    }
}

/// Limiter of one workspace or one service: a token bucket for the rate, and
/// counters of waiting and running requests.
///
/// Callers report each transition of a request: [`admit`](Limiter::admit), then
/// either [`start`](Limiter::start) and [`finish`](Limiter::finish), or
/// [`remove_waiting`](Limiter::remove_waiting).
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    limits: Limits,
    tokens: f64,
    refilled_at: Option<Time>,
    waiting: u32,
    running: u32,
}

impl Limiter {
    /// Creates a limiter whose token bucket is full. The bucket holds the requests
    /// of one second.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Limiter {
            limits,
            tokens: f64::from(limits.rate.unwrap_or(0)),
            refilled_at: None,
            waiting: 0,
            running: 0,
        }
    }

    /// Replaces the limits. Requests that wait or run are not affected, even if
    /// they exceed the new limits.
    pub fn set_limits(&mut self, limits: Limits) {
        // A new rate limit starts with a full bucket, a changed one keeps its
        // tokens.
        if self.limits.rate.is_none() {
            self.tokens = f64::from(limits.rate.unwrap_or(0));
        }
        self.limits = limits;
    }

    /// Checks whether the limits allow one more request to wait, without
    /// admitting it.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with a retry delay if the queue is full or the rate
    /// is exceeded.
    pub fn check(&mut self, now: Time) -> Result<(), Refusal> {
        if let Some(limit) = self.limits.queue
            && self.waiting >= limit
        {
            return Err(Refusal::Queue {
                limit,
                retry_after: QUEUE_RETRY_DELAY,
            });
        }
        if let Some(limit) = self.limits.rate {
            self.refill(now, limit);
            if self.tokens < 1.0 {
                return Err(Refusal::Rate {
                    limit,
                    retry_after: self.time_to_token(limit),
                });
            }
        }
        Ok(())
    }

    /// Admits one request, takes a token for it and counts it as waiting.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with a retry delay if the queue is full or the rate
    /// is exceeded.
    pub fn admit(&mut self, now: Time) -> Result<(), Refusal> {
        self.check(now)?;
        if self.limits.rate.is_some() {
            self.tokens -= 1.0;
        }
        self.waiting += 1;
        Ok(())
    }

    /// Counts a waiting request as running.
    pub fn start(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        self.running += 1;
    }

    /// Counts a running request as waiting again.
    pub fn requeue(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.waiting += 1;
    }

    /// Removes a waiting request that never ran from the count.
    pub fn remove_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Removes a running request that has ended from the count.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns whether the running requests have reached the concurrency limit.
    #[must_use]
    pub fn is_at_concurrency_limit(&self) -> bool {
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
        let refilled_at = self.refilled_at.unwrap_or(now);
        let refill =
            now.since(refilled_at).as_millis() as f64 * f64::from(limit) / MILLIS_PER_SECOND;
        self.tokens = (self.tokens + refill).min(f64::from(limit));
        // If the clock jumps back, no tokens accrue until it has caught up.
        self.refilled_at = Some(refilled_at.max(now));
    }

    fn time_to_token(&self, limit: u32) -> Span {
        // At a rate of zero, no token accrues until the limits change.
        if limit == 0 {
            return Span::from_secs(60);
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Span((missing * MILLIS_PER_SECOND / f64::from(limit)).ceil() as u64)
    }
}
