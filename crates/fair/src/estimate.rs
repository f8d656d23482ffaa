//! Cost estimates of requests, from the true costs of completed ones.

use balsamchute_base::prelude::*;

/// Weight of a new sample in a running mean that has many samples, and decay of
/// the sums that calibrate hints.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Weight of the service's mean in the mean of a workspace, in requests.
const PRIOR_REQUESTS: f64 = 4.0;

/// Largest ratio between an estimate and the workspace's mean, blended with that
/// of the service, in either direction.
const MAX_ESTIMATE_RATIO: f64 = 8.0;

/// Running mean of costs: arithmetic over the first samples, exponentially
/// weighted after that.
#[derive(Clone, Copy, Debug)]
pub struct Mean {
    value: f64,
    count: u64,
}

impl Mean {
    /// Creates a mean with `initial` as its value until the first sample. From the
    /// first sample on, the initial value weighs as much as one sample.
    #[must_use]
    pub fn new(initial: Cost) -> Self {
        let value = (initial.0 as f64).max(1.0);
        Mean { value, count: 0 }
    }

    /// Adds the cost of a completed request.
    pub fn add(&mut self, cost: Cost) {
        self.count = self.count.saturating_add(1);
        let gain = SMOOTHING_FACTOR.max(1.0 / (self.count as f64 + 1.0));
        self.value += gain * (cost.0 as f64 - self.value);
        self.value = self.value.max(1.0);
    }

    /// Returns the number of samples added.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the mean cost, at least 1.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// Cost estimator for the requests of one workspace.
#[derive(Clone, Copy, Debug)]
pub struct Estimator {
    mean: Mean,
    /// Decaying sum of the true costs of completed requests with a hint.
    hinted_cost_sum: f64,
    /// Decaying sum of the hints of the same requests.
    hint_sum: f64,
}

impl Estimator {
    /// Creates an estimator without samples, which starts from the service's
    /// mean.
    #[must_use]
    pub fn new(service_mean: &Mean) -> Self {
        Estimator {
            mean: Mean {
                value: service_mean.value,
                count: 0,
            },
            hinted_cost_sum: 0.0,
            hint_sum: 0.0,
        }
    }

    /// Returns the expected cost of a request, at least 1.
    ///
    /// A hint is scaled by the ratio of true costs to hints over the completed
    /// requests of the workspace, so that a workspace that always hints low gains
    /// nothing. Hints are ignored until a request with a hint has completed.
    #[must_use]
    pub fn estimate(&self, hint: Option<Cost>, service_mean: &Mean) -> f64 {
        let count = self.mean.count as f64;
        let mean = (count * self.mean.value + PRIOR_REQUESTS * service_mean.value)
            / (count + PRIOR_REQUESTS);
        let scaled = match hint {
            Some(hint) if hint.0 > 0 && self.hint_sum > 0.0 => {
                hint.0 as f64 * (self.hinted_cost_sum / self.hint_sum)
            }
            _ => mean,
        };
        scaled
            .clamp(mean / MAX_ESTIMATE_RATIO, mean * MAX_ESTIMATE_RATIO)
            .max(1.0)
    }

    /// Records the hint and the true cost of a completed request.
    pub fn record(&mut self, hint: Option<Cost>, cost: Cost) {
        self.mean.add(cost);
        if let Some(hint) = hint.filter(|hint| hint.0 > 0) {
            self.hint_sum = (1.0 - SMOOTHING_FACTOR) * self.hint_sum + hint.0 as f64;
            self.hinted_cost_sum = (1.0 - SMOOTHING_FACTOR) * self.hinted_cost_sum + cost.0 as f64;
        }
    }
}
