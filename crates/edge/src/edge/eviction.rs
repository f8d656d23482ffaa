//! Connections that are closed to make room for new ones, as descriptors are limited.

use balsamchute_model::prelude::*;
use balsamchute_schedule::memory::STALL_TIME;

use crate::caller::{Connection, Phase};
use crate::edge::requests::Rejection;
use crate::edge::{Edge, Slot};
use crate::server::Endpoint;

/// Connections that one eviction closes. A batch makes the scan over all slots rare.
const EVICTION_BATCH: usize = 64;

/// Delay in `Retry-After` of a router that has too many connections.
const RETRY_AFTER_CONNECTIONS: Span = Span::from_secs(1);

impl Edge {
    /// Closes callers' connections to make room for new ones: those that have been idle
    /// longest, or if none is idle, those that have stalled longest within a request or an
    /// answer. Returns whether any was closed.
    pub(super) fn evict_callers(&mut self) -> bool {
        let now = self.now();
        let idle = self
            .oldest_callers(|connection| is_idle(connection).then(|| now.since(connection.since)));
        if idle.is_empty() {
            return self.evict_stalled_callers(now);
        }
        log::info!(target: "caller", "event=idle_closed count={} open={}", idle.len(), self.caller_count);
        for (_, index) in idle {
            self.close(index);
        }
        true
    }

    fn evict_stalled_callers(&mut self, now: Time) -> bool {
        let mut stalled = self.oldest_callers(|connection| match connection.phase {
            // A request that waits for its answer is not given up.
            Phase::Busy(_) if connection.sent.is_none() => None,
            _ => connection.stalled(now),
        });
        // Others may only have begun: one makes room.
        let count = stalled.partition_point(|(stalled, _)| *stalled >= STALL_TIME);
        stalled.truncate(count.max(1));
        log::info!(target: "caller", "event=stalled_closed count={} open={}", stalled.len(), self.caller_count);
        for &(_, index) in &stalled {
            let phase = match self.slots.get(index) {
                Some(Slot::Caller(connection)) => &connection.phase,
                _ => continue,
            };
            if matches!(phase, Phase::Head | Phase::Body(_)) {
                let rejection = Rejection::new(503, "too many connections are open");
                self.reject_unread(index, None, &rejection.with_retry(RETRY_AFTER_CONNECTIONS));
            }
            self.handle_caller_disconnect(index);
        }
        !stalled.is_empty()
    }

    /// Closes a connection to an internal endpoint to make room for a new one: of those to the
    /// endpoint that has most, the one from which nothing was received for longest.
    pub(super) fn evict_server(&mut self) {
        let connections = || {
            self.slots.iter().filter_map(|(index, slot)| match slot {
                Slot::Server(connection) => Some((index, connection)),
                _ => None,
            })
        };
        let count = |endpoint| {
            let same = connections().filter(move |(_, connection)| connection.endpoint == endpoint);
            same.count()
        };
        let crowded = Endpoint::ALL
            .into_iter()
            .max_by_key(|endpoint| count(*endpoint));
        let silent = connections()
            .filter(|(_, connection)| Some(connection.endpoint) == crowded)
            .min_by_key(|(_, connection)| connection.received.last());
        if let Some((index, connection)) = silent {
            log::info!(target: "directory", "event=client_closed endpoint={:?} open={}", connection.endpoint, self.server_count);
            self.close(index);
        }
    }

    /// Returns up to [`EVICTION_BATCH`] of the callers' connections for which `age` returns an
    /// age, with their indices, in descending order of it.
    fn oldest_callers(&self, age: impl Fn(&Connection) -> Option<Span>) -> Vec<(Span, usize)> {
        let ages = self.slots.iter().filter_map(|(index, slot)| match slot {
            Slot::Caller(connection) => Some((age(connection)?, index)),
            _ => None,
        });
        let mut ages: Vec<(Span, usize)> = ages.collect();
        ages.sort_unstable_by_key(|(age, index)| (std::cmp::Reverse(*age), *index));
        ages.truncate(EVICTION_BATCH);
        ages
    }
}

/// Returns whether a connection waits for its caller: for a request, or for the close after
/// the last response.
fn is_idle(connection: &Connection) -> bool {
    match connection.phase {
        Phase::Idle => connection.sent.is_none(),
        Phase::Closing => connection.is_write_shut,
        _ => false,
    }
}
