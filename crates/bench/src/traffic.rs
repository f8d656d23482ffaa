//! Open-loop load: every call is sent at its time, whatever became of the others.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

use balsamchute_base::prelude::*;

use crate::caller::Caller;
use crate::caller::call::{Call, History};
use crate::clock;

/// Stack of the thread of one call in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// A call and the time, from the start of the load, at which it is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Planned {
    /// When it is made.
    pub at: Span,
    /// The call.
    pub call: Call,
}

/// Load on its way.
#[derive(Debug)]
pub struct Traffic {
    shared: Arc<Shared>,
    dispatcher: JoinHandle<Vec<JoinHandle<()>>>,
}

#[derive(Debug, Default)]
struct Shared {
    histories: Mutex<Vec<History>>,
    sent: AtomicU64,
    stopped: AtomicBool,
}

impl Traffic {
    /// Starts to make the calls of `plan`.
    #[must_use]
    pub fn start(caller: &Caller, mut plan: Vec<Planned>) -> Self {
        plan.sort_by(|a, b| (a.at, &a.call.id).cmp(&(b.at, &b.call.id)));
        let shared = Arc::new(Shared::default());
        let (caller, own) = (caller.clone(), Arc::clone(&shared));
        let dispatcher = thread::spawn(move || dispatch(&caller, plan, &own));
        Traffic { shared, dispatcher }
    }

    /// Returns how many calls were made and how many are over.
    #[must_use]
    pub fn progress(&self) -> (u64, u64) {
        let over = lock(&self.shared.histories).len() as u64;
        (self.shared.sent.load(Ordering::Relaxed), over)
    }

    /// Makes no further calls.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }

    /// Waits until every call is over and returns the histories.
    ///
    /// # Panics
    ///
    /// Panics if the thread of a call has panicked.
    #[must_use]
    pub fn join(self) -> Vec<History> {
        let threads = self.dispatcher.join().expect("dispatcher does not panic");
        for thread in threads {
            thread.join().expect("calls do not panic");
        }
        std::mem::take(&mut lock(&self.shared.histories))
    }
}

fn dispatch(caller: &Caller, plan: Vec<Planned>, shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let start = clock::now();
    let mut threads = Vec::new();
    for planned in plan {
        clock::sleep_until(start + planned.at);
        if shared.stopped.load(Ordering::Relaxed) {
            break;
        }
        let (caller, own) = (caller.clone(), Arc::clone(shared));
        let thread = thread::Builder::new().stack_size(STACK_BYTES);
        let thread = thread.spawn(move || {
            let history = caller.run(planned.call);
            lock(&own.histories).push(history);
        });
        shared.sent.fetch_add(1, Ordering::Relaxed);
        match thread {
            Ok(thread) => threads.push(thread),
            Err(error) => log::error!("traffic: no thread for a call: {error}"),
        }
    }
    threads
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
