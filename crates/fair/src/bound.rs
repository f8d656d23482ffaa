//! The bound on the service gap, as a formula.
//!
//! The gap of two workspaces over an interval in which both are backlogged is
//! the difference of what they were served, in cost for each unit of weight.

use balsamchute_base::prelude::*;

use crate::lender::LOCAL_ADVANTAGE;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What the bound depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Cost of the largest request.
    pub largest: Cost,
    /// Mean cost of a request.
    pub mean: Cost,
    /// Slots of the service.
    pub slots: u32,
    /// Sum of the weights of all backlogged workspaces.
    pub backlogged_weight: f64,
    /// Smallest weight of the two workspaces.
    pub weight: f64,
    /// Cost that a workspace coming back from idleness may be ahead by.
    pub credit: Cost,
    /// How far a backlogged workspace may stay behind the fleet, in cost for
    /// each unit of weight.
    pub lag: Cost,
    /// How old the summary of another router can be when a slot is lent.
    pub staleness: Span,
    /// Cost that the whole service serves in a second.
    pub rate: f64,
    /// Sum of the weights of the backlogged workspaces of the lightest router.
    pub router_weight: f64,
    /// How long a borrower may start a request on a loan.
    pub lease: Span,
}

impl Bound {
    /// Returns the most slots that a workspace holds for each unit of its
    /// weight: its share, times the factor by which its requests can be larger
    /// than the mean.
    #[must_use]
    pub fn held(&self) -> f64 {
        let slots = f64::from(self.slots);
        let factor = self.largest.0 as f64 / (self.mean.0 as f64).max(1.0);
        let share = slots / self.backlogged_weight.max(self.weight);
        (share * factor.max(1.0)).min(slots / self.weight)
    }

    /// Returns the bound in one central queue: what running requests are charged
    /// beyond or below their service, for both workspaces and once more for the
    /// corrections of the charge; one request by which the lowest tag is
    /// overtaken; and the credit.
    #[must_use]
    pub fn central(&self) -> f64 {
        let largest = self.largest.0 as f64;
        let running = self.held() * largest;
        3.0 * running + (largest + self.credit.0 as f64) / self.weight
    }

    /// Returns the bound of a healthy fleet. To that of one queue it adds what
    /// is served while owners choose by old summaries, and the advantage of the
    /// owner's own queue.
    #[must_use]
    pub fn healthy(&self) -> f64 {
        self.central() + 2.0 * self.stale(self.staleness) + LOCAL_ADVANTAGE * self.mean.0 as f64
    }

    /// Returns the bound over an interval with a partition that has lasted for
    /// `elapsed`. Workspaces on one side share fairly, those on different sides
    /// can drift apart by all that is served.
    #[must_use]
    pub fn partitioned(&self, elapsed: Span) -> f64 {
        let unheard = Span(elapsed.0.saturating_add(self.lease.0));
        self.healthy() + self.served(unheard) / self.weight
    }

    /// Returns the bound over an interval that begins once the fleet has heard
    /// of each other again: a side that is behind catches up by the lag at most.
    #[must_use]
    pub fn rejoined(&self) -> f64 {
        self.healthy() + 2.0 * self.lag.0 as f64 + self.served(self.lease) / self.weight
    }

    fn served(&self, span: Span) -> f64 {
        self.rate * span.as_millis() as f64 / MILLIS_PER_SECOND
    }

    fn stale(&self, span: Span) -> f64 {
        self.served(span) / self.router_weight.max(1.0)
    }
}
