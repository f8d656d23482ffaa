//! Limits on the rate of requests that runners name in their answers.
//!
//! A limit holds for one process of a runner, until an answer of that process names none.

use balsamchute_model::prelude::*;
use indexmap::IndexMap;

/// Upper bound of the runners with a limit; the oldest ones are dropped.
const MAX_LIMITS: usize = 512;

/// Limit that a process of a runner names.
#[derive(Clone, Debug)]
struct Limit {
    started_at: u64,
    per_second: Option<f64>,
}

/// Limits by runner, in the order in which the runners first named one.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    by_runner: IndexMap<Runner, Limit>,
}

impl Rates {
    /// Creates an empty set of limits.
    #[must_use]
    pub fn new() -> Self {
        Rates::default()
    }

    /// Records what an answer of a runner's process said: the requests per second that it
    /// accepts from all routers together, or that it names no limit. Returns whether that
    /// changes the limit.
    pub fn record(&mut self, runner: &Runner, started_at: u64, per_second: Option<f64>) -> bool {
        let Some(limit) = self.by_runner.get_mut(runner) else {
            if per_second.is_none() {
                return false;
            }
            let limit = Limit {
                started_at,
                per_second,
            };
            self.by_runner.insert(runner.clone(), limit);
            if self.by_runner.len() > MAX_LIMITS {
                self.by_runner.shift_remove_index(0);
            }
            return true;
        };
        if limit.started_at > started_at {
            return false;
        }
        limit.started_at = started_at;
        std::mem::replace(&mut limit.per_second, per_second) != per_second
    }
}
