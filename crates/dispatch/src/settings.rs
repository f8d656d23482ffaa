//! Settings of the dispatcher.

use balsamchute_base::prelude::*;

/// Limits and intervals of one router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Interval between heartbeats in a small fleet. Each heartbeat starts
    /// `fanout` exchanges. An unchanged need, the message that asks owners of
    /// runners for slots, is sent again after this interval in a fleet of any size.
    pub heartbeat_interval: Span,
    /// Time after a doubt is raised at which its router counts as dead, unless a
    /// newer heartbeat arrives before.
    pub failure_timeout: Span,
    /// Peers that each heartbeat is exchanged with.
    pub fanout: usize,
    /// Without effect: lenders take the lease of
    /// [`lender::Settings`](balsamchute_fair::lender::Settings).
    pub lease: Span,
    /// Minimum interval between two needs sent for one service.
    pub need_interval: Span,
    /// Requests that the router holds at most, over all workspaces and stages.
    /// Further requests are refused.
    pub max_requests: usize,
    /// Requests that may wait for a workspace without a queue limit of its own.
    pub default_workspace_queue: usize,
    /// Attempts of one request at most, the first included.
    pub max_attempts: u32,
    /// Time for which callers may cache an address response.
    pub address_ttl: Span,
    /// Time for which the claim of a non-idempotent request is kept after its
    /// deadline.
    pub claim_retention: Span,
    /// Interval between reads of the platform's list.
    pub list_interval: Span,
    /// Number of live peers up to which a fleet counts as small. Its frames carry
    /// up to as many membership entries, every request needs a grant and every
    /// router reads the platform's list.
    pub small_fleet_size: usize,
    /// Membership entries in one frame of a larger fleet.
    pub large_fleet_entries: usize,
    /// Interval between heartbeats in a larger fleet.
    pub large_fleet_heartbeat_interval: Span,
    /// Time for which a lent slot may be reused without a new grant in a larger
    /// fleet.
    pub large_fleet_reuse: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            heartbeat_interval: Span(500),
            failure_timeout: Span::from_secs(2),
            fanout: 1,
            lease: Span::from_secs(1),
            need_interval: Span(20),
            max_requests: 20_000,
            default_workspace_queue: 4_000,
            max_attempts: 3,
            address_ttl: Span::from_secs(5),
            claim_retention: Span::from_secs(600),
            list_interval: Span::from_secs(1),
            small_fleet_size: 16,
            large_fleet_entries: 4,
            large_fleet_heartbeat_interval: Span(1500),
            large_fleet_reuse: Span::from_secs(30),
        }
    }
}

impl Settings {
    /// Returns the number of membership entries in a frame in a fleet with
    /// `live_peers` other live routers.
    #[must_use]
    pub fn entries(&self, live_peers: usize) -> usize {
        if live_peers <= self.small_fleet_size {
            self.small_fleet_size
        } else {
            self.large_fleet_entries
        }
    }

    /// Returns the time for which a lent slot may be reused without a new grant
    /// in a fleet with `live_peers` other live routers.
    ///
    /// In a small fleet every request needs a grant, which keeps the virtual
    /// times of the routers closest together. In a larger fleet that would cost
    /// two messages for each request.
    #[must_use]
    pub fn loan_reuse(&self, live_peers: usize) -> Span {
        if live_peers <= self.small_fleet_size {
            Span(0)
        } else {
            self.large_fleet_reuse
        }
    }

    /// Returns the interval between heartbeats in a fleet with `live_peers`
    /// other live routers.
    #[must_use]
    pub fn heartbeat_interval(&self, live_peers: usize) -> Span {
        if live_peers <= self.small_fleet_size {
            self.heartbeat_interval
        } else {
            self.large_fleet_heartbeat_interval
        }
    }
}
