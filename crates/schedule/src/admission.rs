//! Accepting of connections, and which callers of a router choose another one.
//!
//! Answers the load of one workspace that sends nearly all of its requests to one router.
//! That router accepted 16 connections a turn of 20 ms, so its accept queue filled, and a
//! fifth of all requests of the deployment ended as "no connection". A router whose queue
//! stays filled accepts for a part of its time instead of a number, and closes the
//! connections of refused requests of a workspace that sends it more than its part.
//! Connections in the queue cannot be told apart; the requests that arrived within the last
//! second stand for them.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;

/// Connections that one turn accepts in any case. Bounds the delay that a burst of
/// connections causes to requests in flight and to disconnects.
const MAX_ACCEPTS_PER_TURN: usize = 16;

/// Time for which the accept queue may hold connections before the router counts as
/// overloaded: a tenth of the second after which callers give up.
const MAX_QUEUE_TIME: Span = Span(100);

/// Time of one turn that an overloaded router spends on accepting. An accept takes about 20
/// microseconds on a third of a core, so a turn accepts about 200.
const MAX_ACCEPT_TIME: Span = Span(4);

/// Time after the queue was last filled for too long in which the router still counts as
/// overloaded. Callers that return at once would fill it again.
const OVERLOAD_MEMORY: Span = Span(1000);

/// Half of the time for which arrived requests are counted.
const WINDOW: Span = Span(500);

/// Ratio of a workspace's requests to an equal part above which it sends too many.
const MAX_PART_RATIO: f64 = 2.0;

/// Requests within the counted time that a workspace may send in any case.
const MIN_REQUESTS: u32 = 16;

/// Requests that arrived in the present and in the last window.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    present: u32,
    last: u32,
}

impl Count {
    fn sum(self) -> u32 {
        self.present + self.last
    }
}

/// Accept queue of a router, and the requests that arrived at it by workspace.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// Time since which no turn found the end of the accept queue.
    filled_since: Option<Time>,
    /// Last time at which the queue was filled for too long.
    overloaded_at: Option<Time>,
    window_began: Time,
    arrivals: BTreeMap<Option<Workspace>, Count>,
    total: u32,
}

impl Admission {
    /// Creates the state of a router that has not accepted connections.
    #[must_use]
    pub fn new() -> Self {
        Admission::default()
    }

    /// Returns whether a turn that began to accept at `began` and has accepted this number
    /// of connections may accept another one.
    #[must_use]
    pub fn may_accept(&self, began: Time, now: Time, accepted: usize) -> bool {
        accepted < MAX_ACCEPTS_PER_TURN
            || (self.is_filled_long(began) && now.since(began) < MAX_ACCEPT_TIME)
    }

    /// Records that a turn ended to accept, and whether it left connections in the queue.
    /// Returns whether the router counts as overloaded if that changes.
    pub fn record_turn(&mut self, now: Time, leaves_any: bool) -> Option<bool> {
        let was_overloaded = self.overloaded_at.is_some();
        match leaves_any {
            true => {
                self.filled_since.get_or_insert(now);
            }
            false => self.filled_since = None,
        }
        if self.is_filled_long(now) {
            self.overloaded_at = Some(now);
        } else if !self.is_overloaded(now) {
            self.overloaded_at = None;
        }
        let is_overloaded = self.overloaded_at.is_some();
        (is_overloaded != was_overloaded).then_some(is_overloaded)
    }

    /// Counts a request that arrived at this router.
    pub fn record_request(&mut self, now: Time, workspace: Option<&Workspace>) {
        self.advance(now);
        self.total += 1;
        self.arrivals.entry(workspace.cloned()).or_default().present += 1;
    }

    /// Returns whether the connection of a refused request is closed, so that its caller
    /// chooses a router again: this one is overloaded, and the workspace sends it more than
    /// its part of the requests.
    #[must_use]
    pub fn is_closed(&self, now: Time, workspace: Option<&Workspace>) -> bool {
        if !self.is_overloaded(now) {
            return false;
        }
        let count = self.arrivals.get(&workspace.cloned());
        let requests = count.map_or(0, |count| count.sum());
        let equal_part = f64::from(self.total) / self.arrivals.len().max(1) as f64;
        requests >= MIN_REQUESTS && f64::from(requests) > equal_part * MAX_PART_RATIO
    }

    /// Returns whether the accept queue was filled for too long a short time ago.
    #[must_use]
    pub fn is_overloaded(&self, now: Time) -> bool {
        self.overloaded_at
            .is_some_and(|overloaded_at| now.since(overloaded_at) < OVERLOAD_MEMORY)
    }

    fn is_filled_long(&self, now: Time) -> bool {
        self.filled_since
            .is_some_and(|since| now.since(since) > MAX_QUEUE_TIME)
    }

    /// Begins a new window if the present one is over.
    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.window_began);
        if elapsed < WINDOW {
            return;
        }
        self.window_began = now;
        let is_last_over = elapsed.0 >= WINDOW.0 * 2;
        self.arrivals.retain(|_, count| {
            let last = if is_last_over { 0 } else { count.present };
            *count = Count { present: 0, last };
            last > 0
        });
        self.total = self.arrivals.values().map(|count| count.sum()).sum();
    }
}
