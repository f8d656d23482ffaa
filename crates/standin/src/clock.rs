//! The clock of the stand-ins, the same for all in one process.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use balsamchute_base::prelude::*;

struct Start {
    wall: u64,
    monotonic: Instant,
}

/// Returns the wall-clock time, which never goes back within the process.
#[must_use]
pub fn now() -> Time {
    static START: OnceLock<Start> = OnceLock::new();
    let start = START.get_or_init(|| Start {
        wall: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64),
        monotonic: Instant::now(),
    });
    Time(start.wall) + Span(start.monotonic.elapsed().as_millis() as u64)
}
