//! Size of a run: what is started for a number of routers, and how much room there is.

use std::time::Duration;

/// Routers from which on a run is played like the largest site: several failure domains,
/// many runners with little room, releases of many of them at a time, and slow routers.
const LARGE_ROUTERS: usize = 41;

/// Threads that send requests for streams to a steady fleet: enough that some begin within the
/// first 300 ms of a process.
const STEADY_CALLERS: u64 = 60;

/// Failure domains of a large fleet.
const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub routers: usize,
    /// Whether the fleet is played like the largest site.
    pub is_large: bool,
    /// Whether the fleet stays at one software version.
    pub is_steady: bool,
    /// Places of runners.
    pub places: usize,
    /// Software versions that a run starts with.
    pub versions: usize,
    /// Requests that a runner processes at once according to its entry.
    pub slots: usize,
    /// Threads that send plain requests, and threads that send requests for streams.
    pub callers: u64,
    pub stream_callers: u64,
    /// Longest fault of a router.
    pub longest_fault: Duration,
}

impl Shape {
    /// Returns the size of a run with a number of routers.
    pub fn new(routers: usize) -> Self {
        let is_large = routers >= LARGE_ROUTERS;
        match is_large {
            false => Shape {
                routers,
                is_large,
                is_steady: false,
                places: 6,
                versions: 2,
                slots: 16,
                callers: 12,
                stream_callers: 36,
                longest_fault: Duration::from_millis(2500),
            },
            true => Shape {
                routers,
                is_large,
                is_steady: false,
                places: 40,
                versions: 1,
                slots: 4,
                callers: 16,
                stream_callers: 160,
                longest_fault: Duration::from_millis(4000),
            },
        }
    }

    /// Returns the size of a run of a small fleet that stays at one software version.
    pub fn steady(routers: usize) -> Self {
        Shape {
            routers,
            is_steady: true,
            versions: 1,
            stream_callers: STEADY_CALLERS,
            ..Shape::new(2)
        }
    }

    /// Returns whether few callers name the request that began the stream that they take up.
    pub fn has_callers_without_origin(&self) -> bool {
        self.is_large || self.is_steady
    }

    /// Returns the failure domain of a router or of a place of a runner.
    pub fn domain_of(&self, index: usize) -> &'static str {
        match self.is_large {
            false => DOMAINS[0],
            true => DOMAINS[index % DOMAINS.len()],
        }
    }

    /// Returns whether the runner at a place is a process; the others are threads.
    pub fn is_process(&self, place: usize) -> bool {
        match self.is_large {
            // Threads keep their version.
            _ if self.is_steady => true,
            false => !place.is_multiple_of(2),
            // Each connection of a thread passes a link, which costs two more threads.
            true => !place.is_multiple_of(4),
        }
    }
}
