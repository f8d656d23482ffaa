//! What a request will cost, learnt from what earlier ones did cost.

use balsamchute_base::prelude::*;

/// Share of a new cost in the running mean.
const GAIN: f64 = 0.05;

/// Completed requests after which a workspace's own mean outweighs the service's.
const PRIOR_REQUESTS: f64 = 4.0;

/// Largest factor between an estimate and the workspace's mean.
const MAX_FACTOR: f64 = 8.0;

/// A running mean of costs.
#[derive(Clone, Copy, Debug)]
pub struct Mean {
    value: f64,
    count: u64,
}

impl Mean {
    /// Creates a mean that starts from `first` until costs are known.
    #[must_use]
    pub fn new(first: Cost) -> Self {
        let value = (first.0 as f64).max(1.0);
        Mean { value, count: 0 }
    }

    /// Adds the cost of a completed request.
    pub fn add(&mut self, cost: Cost) {
        self.count = self.count.saturating_add(1);
        let gain = GAIN.max(1.0 / (self.count as f64 + 1.0));
        self.value += gain * (cost.0 as f64 - self.value);
        self.value = self.value.max(1.0);
    }

    /// Returns how many costs were added.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the mean, at least 1.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// What is learnt about the requests of one workspace.
#[derive(Clone, Copy, Debug)]
pub struct Learner {
    cost: Mean,
    hinted: f64,
    hints: f64,
}

impl Learner {
    /// Creates a learner that knows nothing but the service's mean.
    #[must_use]
    pub fn new(service: &Mean) -> Self {
        Learner {
            cost: Mean {
                value: service.value,
                count: 0,
            },
            hinted: 0.0,
            hints: 0.0,
        }
    }

    /// Returns the expected cost of a request, at least 1.
    ///
    /// A hint is scaled by how earlier hints of the workspace compared with the
    /// true costs, so that a workspace that always hints low gains nothing. It
    /// counts only after some hinted requests have completed.
    #[must_use]
    pub fn estimate(&self, hint: Option<Cost>, service: &Mean) -> f64 {
        let count = self.cost.count as f64;
        let mean =
            (count * self.cost.value + PRIOR_REQUESTS * service.value) / (count + PRIOR_REQUESTS);
        let scaled = match hint {
            Some(hint) if hint.0 > 0 && self.hints > 0.0 => {
                hint.0 as f64 * (self.hinted / self.hints)
            }
            _ => mean,
        };
        scaled.clamp(mean / MAX_FACTOR, mean * MAX_FACTOR).max(1.0)
    }

    /// Learns from a completed request.
    pub fn learn(&mut self, hint: Option<Cost>, cost: Cost) {
        self.cost.add(cost);
        if let Some(hint) = hint.filter(|hint| hint.0 > 0) {
            self.hints = (1.0 - GAIN) * self.hints + hint.0 as f64;
            self.hinted = (1.0 - GAIN) * self.hinted + cost.0 as f64;
        }
    }
}
