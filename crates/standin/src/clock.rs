//! Clock shared by all stand-ins of a process.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use balsamchute_base::prelude::*;

struct Origin {
    wall_ms: u64,
    monotonic: Instant,
}

/// Returns the wall-clock time, which never goes back within the process.
/// Wall-clock time is read once; later readings add monotonic elapsed time.
#[must_use]
pub fn now() -> Time {
    static ORIGIN: OnceLock<Origin> = OnceLock::new();
    let origin = ORIGIN.get_or_init(|| Origin {
        wall_ms: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64),
        monotonic: Instant::now(),
    });
    Time(origin.wall_ms) + Span(origin.monotonic.elapsed().as_millis() as u64)
}
