//! Cancellation of attempts whose answers other threads are reading.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balsamchute_dispatch::event::RequestNumber;
use balsamchute_target::stream::Canceller;
use crossbeam_channel::{Receiver, Sender, unbounded};

/// Cancellable attempts by request.
#[derive(Clone)]
pub(crate) struct Cancellations {
    running: Arc<Mutex<HashMap<RequestNumber, Canceller>>>,
    queue: Sender<Canceller>,
}

impl Cancellations {
    /// Creates an empty register, and the queue of attempts to cancel, which
    /// [`run`] processes.
    pub fn new() -> (Self, Receiver<Canceller>) {
        let (queue, receiver) = unbounded();
        let running = Arc::default();
        (Cancellations { running, queue }, receiver)
    }

    /// Registers the running attempt of a request.
    pub fn register(&self, request_number: RequestNumber, canceller: Canceller) {
        self.running().insert(request_number, canceller);
    }

    /// Removes the attempt of a request once it has ended.
    pub fn remove(&self, request_number: RequestNumber) {
        self.running().remove(&request_number);
    }

    /// Queues the attempt of a request for cancellation, if one is running.
    pub fn cancel(&self, request_number: RequestNumber) {
        if let Some(canceller) = self.running().remove(&request_number) {
            let _ = self.queue.send(canceller);
        }
    }

    fn running(&self) -> MutexGuard<'_, HashMap<RequestNumber, Canceller>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cancels the queued attempts one after the other. Each cancellation is a call
/// to a target.
pub(crate) fn run(queue: &Receiver<Canceller>) {
    while let Ok(canceller) = queue.recv() {
        if let Err(error) = canceller.cancel() {
            log::debug!("target: cannot cancel an attempt. {error}");
        }
    }
}
