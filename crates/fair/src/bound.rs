//! Upper bound on the service gap between workspaces.
//!
//! The service gap of two workspaces over an interval in which both are
//! backlogged is the difference of the service that they received, in cost per
//! unit of weight.

use balsamchute_base::prelude::*;

use crate::lender::LOCAL_ADVANTAGE_REQUESTS;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Parameters of the bound for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Cost of the largest request.
    pub largest_cost: Cost,
    /// Mean cost of a request.
    pub mean_cost: Cost,
    /// Total slots of the service.
    pub slots: u32,
    /// Sum of the weights of all backlogged workspaces.
    pub backlogged_weight: f64,
    /// Smaller weight of the two workspaces.
    pub smaller_weight: f64,
    /// Credit of a workspace that returns from idleness, see
    /// [`crate::queue::Settings::credit`].
    pub credit: Cost,
    /// Largest lag of a backlogged workspace behind the fleet's virtual time, in
    /// cost per unit of weight.
    pub max_lag: Cost,
    /// Maximum age of another router's summary when a slot is lent.
    pub max_staleness: Span,
    /// Cost that the whole service serves per second.
    pub cost_per_second: f64,
    /// Sum of the weights of the backlogged workspaces at the router where that
    /// sum is smallest.
    pub lightest_router_weight: f64,
    /// Time for which the loans of a lost borrower stay active, see
    /// [`crate::lender::Settings::lease`].
    pub lease: Span,
}

impl Bound {
    /// Returns the largest number of slots that a workspace holds per unit of
    /// its weight: its share of the slots times the ratio of the largest to the
    /// mean cost, at most all slots divided by the smaller weight.
    #[must_use]
    pub fn slots_per_weight(&self) -> f64 {
        let slots = f64::from(self.slots);
        let size_ratio = self.largest_cost.0 as f64 / (self.mean_cost.0 as f64).max(1.0);
        let share = slots / self.backlogged_weight.max(self.smaller_weight);
        (share * size_ratio.max(1.0)).min(slots / self.smaller_weight)
    }

    /// Returns the bound for a single central queue, in cost per unit of weight.
    ///
    /// Three terms cover the running requests: the difference between charge and
    /// service for each of the two workspaces, and the corrections of the
    /// charges. To these it adds one largest request, by which a workspace can
    /// overtake the lowest tag, and the credit.
    #[must_use]
    pub fn central(&self) -> f64 {
        let largest = self.largest_cost.0 as f64;
        let running = self.slots_per_weight() * largest;
        3.0 * running + (largest + self.credit.0 as f64) / self.smaller_weight
    }

    /// Returns the bound for a fleet without faults, in cost per unit of weight.
    ///
    /// To the bound of a central queue it adds twice the virtual time by which
    /// the router with the smallest backlogged weight advances while owners decide
    /// on stale summaries, and the advantage of the owner's own queue.
    #[must_use]
    pub fn healthy(&self) -> f64 {
        self.central()
            + 2.0 * self.stale_advance(self.max_staleness)
            + LOCAL_ADVANTAGE_REQUESTS * self.mean_cost.0 as f64
    }

    /// Returns the bound over an interval with a partition that has lasted for
    /// `elapsed`, in cost per unit of weight.
    ///
    /// Workspaces on one side of the partition share fairly. Workspaces on
    /// different sides can drift apart by all the cost that is served. The lease
    /// is added to the time of the partition, because the loans of a lost router
    /// stay active for that long.
    #[must_use]
    pub fn partitioned(&self, elapsed: Span) -> f64 {
        let unsynchronized = Span(elapsed.0.saturating_add(self.lease.0));
        self.healthy() + self.served_cost(unsynchronized) / self.smaller_weight
    }

    /// Returns the bound over an interval that begins when a partition has healed
    /// and the routers have exchanged summaries again, in cost per unit of
    /// weight.
    ///
    /// The side that is behind catches up by the lag at most. The lag counts twice,
    /// and the cost served during one lease is added.
    #[must_use]
    pub fn healed(&self) -> f64 {
        self.healthy()
            + 2.0 * self.max_lag.0 as f64
            + self.served_cost(self.lease) / self.smaller_weight
    }

    fn served_cost(&self, span: Span) -> f64 {
        self.cost_per_second * span.as_millis() as f64 / MILLIS_PER_SECOND
    }

    /// Returns the virtual time by which the router with the smallest backlogged
    /// weight advances if it alone is served for `span`. A weight below 1 counts
    /// as 1.
    fn stale_advance(&self, span: Span) -> f64 {
        self.served_cost(span) / self.lightest_router_weight.max(1.0)
    }
}
