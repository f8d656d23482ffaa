//! Cancelling attempts that other threads wait for.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balsamchute_dispatch::event::Ticket;
use balsamchute_target::stream::Canceller;
use crossbeam_channel::{Receiver, Sender, unbounded};

/// The attempts that can be cancelled, by request.
#[derive(Clone)]
pub(crate) struct Cancels {
    running: Arc<Mutex<HashMap<Ticket, Canceller>>>,
    due: Sender<Canceller>,
}

impl Cancels {
    /// Creates an empty register and the end at which due ones come out.
    pub fn new() -> (Self, Receiver<Canceller>) {
        let (due, receiver) = unbounded();
        let running = Arc::default();
        (Cancels { running, due }, receiver)
    }

    /// Enters the attempt of a request.
    pub fn enter(&self, ticket: Ticket, canceller: Canceller) {
        self.running().insert(ticket, canceller);
    }

    /// Removes the attempt of a request, which has ended.
    pub fn leave(&self, ticket: Ticket) {
        self.running().remove(&ticket);
    }

    /// Has the attempt of a request cancelled, if it runs.
    pub fn cancel(&self, ticket: Ticket) {
        if let Some(canceller) = self.running().remove(&ticket) {
            let _ = self.due.send(canceller);
        }
    }

    fn running(&self) -> MutexGuard<'_, HashMap<Ticket, Canceller>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cancels attempts as they come, each of which takes a call to its target.
pub(crate) fn run(due: &Receiver<Canceller>) {
    while let Ok(canceller) = due.recv() {
        if let Err(error) = canceller.cancel() {
            log::debug!("target: an attempt is not cancelled. {error}");
        }
    }
}
