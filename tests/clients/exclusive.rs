//! Lock that lets the tests run one at a time, so that no other crowd shares the machine.

use std::sync::{Mutex, MutexGuard, PoisonError};

static LOCK: Mutex<()> = Mutex::new(());

pub type Guard = MutexGuard<'static, ()>;

/// Waits until no other test runs. The next one runs when the result is dropped.
pub fn lock() -> Guard {
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
