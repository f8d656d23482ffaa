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
    /// Members told of in one exchange.
    pub entries: usize,
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
            entries: 32,
        }
    }
}
