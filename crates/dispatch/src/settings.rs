//! Settings of the decisions.

use balsamchute_base::prelude::*;

/// Limits and periods of one router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two heartbeats, each with an exchange.
    pub beat: Span,
    /// Time without a heartbeat after which a router counts as dead.
    pub timeout: Span,
    /// Routers that each heartbeat is exchanged with.
    pub fanout: usize,
    /// Time that a borrower has to start a request on a lent slot.
    pub lease: Span,
    /// Least time between two messages about the same need to the same owners.
    pub need_interval: Span,
    /// Requests that may wait in this router, over all workspaces.
    pub queue: usize,
    /// Requests that may wait for each workspace that has no limit of its own.
    pub workspace_queue: usize,
    /// Attempts of one idempotent request.
    pub attempts: u32,
    /// How long callers keep an address answer.
    pub keep: Span,
    /// How long the end of a non-idempotent request is kept after its deadline.
    pub retention: Span,
    /// Time between two readings of the platform's list.
    pub list: Span,
    /// Fleet size up to which every exchange tells of every router.
    pub small_fleet: usize,
    /// Members told of in one exchange of a larger fleet.
    pub few_entries: usize,
    /// Time between two heartbeats in a larger fleet.
    pub slow_beat: Span,
    /// How long a lent slot is used again without asking in a larger fleet.
    pub slow_reuse: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            beat: Span(500),
            timeout: Span::from_secs(2),
            fanout: 1,
            lease: Span::from_secs(1),
            need_interval: Span(20),
            queue: 20_000,
            workspace_queue: 4_000,
            attempts: 3,
            keep: Span::from_secs(5),
            retention: Span::from_secs(600),
            list: Span::from_secs(1),
            small_fleet: 16,
            few_entries: 4,
            slow_beat: Span(1500),
            slow_reuse: Span::from_secs(30),
        }
    }
}

impl Settings {
    /// Returns how many members an exchange tells of in a fleet of `size`.
    #[must_use]
    pub fn entries(&self, size: usize) -> usize {
        if size <= self.small_fleet {
            self.small_fleet
        } else {
            self.few_entries
        }
    }

    /// Returns how long a lent slot may be used again in a fleet of `size`.
    ///
    /// A small fleet decides on every request, which keeps its routers closest
    /// to each other. In a larger one that would cost two messages a request.
    #[must_use]
    pub fn reuse(&self, size: usize) -> Span {
        if size <= self.small_fleet {
            Span(0)
        } else {
            self.slow_reuse
        }
    }

    /// Returns the time between two heartbeats in a fleet of `size`.
    #[must_use]
    pub fn beat(&self, size: usize) -> Span {
        if size <= self.small_fleet {
            self.beat
        } else {
            self.slow_beat
        }
    }
}
