//! Monotonic clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::time::{Span, Time};

/// Wall-clock time at the start of the process plus the monotonic time since.
///
/// Adjustments of the wall clock after the start have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    // Wall-clock time at the start.
    start: Time,
    // Monotonic time at the start.
    start_instant: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time, or at the Unix
    /// epoch if the wall clock is set to an earlier time.
    #[must_use]
    pub fn new() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Time(since_epoch.as_millis() as u64),
            start_instant: Instant::now(),
        }
    }

    /// Returns the wall-clock time at which the clock was created.
    #[must_use]
    pub fn start(&self) -> Time {
        self.start
    }

    /// Returns the current time, which never decreases.
    #[must_use]
    pub fn now(&self) -> Time {
        self.start + Span(self.start_instant.elapsed().as_millis() as u64)
    }
}
