//! The clock of the bench process, shared by callers, stand-ins and audits.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use balsamchute_base::prelude::*;

/// Returns the time now. It never goes back within one process.
#[must_use]
pub fn now() -> Time {
    static START: OnceLock<(Instant, Time)> = OnceLock::new();
    let (instant, time) = *START.get_or_init(|| (Instant::now(), wall()));
    time + Span(instant.elapsed().as_millis() as u64)
}

fn wall() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Time(since.unwrap_or_default().as_millis() as u64)
}

/// Sleeps until `time`; returns at once if it has passed.
pub fn sleep_until(time: Time) {
    std::thread::sleep(time.since(now()).into());
}
