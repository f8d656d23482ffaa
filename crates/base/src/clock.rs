//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::time::{Span, Time};

/// Wall-clock time at the start plus monotonic time since then.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Time,
    instant: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Reads the wall clock once.
    #[must_use]
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
    #[must_use]
    pub fn start(&self) -> Time {
        self.start
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.start + Span(self.instant.elapsed().as_millis() as u64)
    }
}
