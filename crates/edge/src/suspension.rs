//! Time for which the machine was suspended, which the monotonic clock does not count.

use balsamchute_model::prelude::*;
use nix::time::{ClockId, clock_gettime};

/// Growth below which a suspension is not told apart from the time between two readings.
const MIN_SUSPENSION: Span = Span(100);

/// Measures the time for which the machine was suspended.
pub(crate) struct Suspension {
    /// Difference between the clock that counts suspensions and the monotonic one, at the last
    /// growth.
    total: Span,
}

impl Suspension {
    pub fn new() -> Self {
        Suspension {
            total: total().unwrap_or_default(),
        }
    }

    /// Returns the time for which the machine was suspended since the last call that returned
    /// some.
    pub fn growth(&mut self) -> Option<Span> {
        let total = total()?;
        let growth = total.saturating_sub(self.total);
        if growth < MIN_SUSPENSION {
            return None;
        }
        self.total = total;
        Some(growth)
    }
}

/// Returns the time for which the machine was suspended since its start, or `None` if the
/// system has no such clock.
fn total() -> Option<Span> {
    let read = |clock| {
        let time = clock_gettime(clock).ok()?;
        Some(Span(
            time.tv_sec() as u64 * 1000 + time.tv_nsec() as u64 / 1_000_000,
        ))
    };
    // Read in this order, a delay in between does not look like a suspension.
    let with_suspensions = read(ClockId::CLOCK_BOOTTIME)?;
    let without = read(ClockId::CLOCK_MONOTONIC)?;
    Some(with_suspensions.saturating_sub(without))
}
