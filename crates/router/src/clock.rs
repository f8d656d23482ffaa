//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use balsamchute_base::prelude::*;

/// Wall-clock time at the start plus monotonic time since then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Time,
    instant: Instant,
}

impl Clock {
    /// Reads the wall clock once.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Time(since_epoch.as_millis() as u64),
            instant: Instant::now(),
        }
    }

    /// Returns the time of the start.
    pub fn start(&self) -> Time {
        self.start
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.start + Span(self.instant.elapsed().as_millis() as u64)
    }
}
