//! The clock of the bench process, the same as that of the stand-ins.

use balsamchute_base::prelude::*;
pub use balsamchute_standin::clock::now;

/// Sleeps until `time`; returns at once if it has passed.
pub fn sleep_until(time: Time) {
    std::thread::sleep(time.since(now()).into());
}
