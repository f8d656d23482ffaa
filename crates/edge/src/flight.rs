//! A request between its caller and a runner.

use std::sync::Arc;

use balsamchute_http::event::Splitter;
use balsamchute_http::head::{Request, Response};
use balsamchute_model::prelude::*;

/// How much of an answer the caller has.
#[derive(Debug)]
pub(crate) enum Answered {
    /// Nothing.
    Nothing,
    /// The head and a part of a body in chunks.
    Partly,
}

/// A whole answer that may still be dropped in favour of another attempt.
#[derive(Debug)]
pub(crate) struct Stash {
    pub head: Response,
    pub body: Vec<u8>,
}

/// A request in hand.
#[derive(Debug)]
pub(crate) struct Flight {
    /// Slot of the caller's connection.
    pub caller: usize,
    pub head: Request,
    pub body: Vec<u8>,
    pub has_body: bool,
    /// Id that the caller gave it.
    pub name: String,
    pub route: Arc<Route>,
    /// Version of the manifest that it is handled by.
    pub manifest: u64,
    pub workspace: Option<Workspace>,
    pub service: Service,
    pub arrived: Time,
    pub deadline: Time,
    /// Event after which the caller wants the stream to go on.
    pub last_event: Option<u64>,
    pub splitter: Splitter,
    pub answered: Answered,
    /// Slot of the connection to the runner.
    pub upstream: Option<usize>,
    /// Attempts so far.
    pub attempts: u32,
    /// When the first part of the answer went to the caller.
    pub first: Option<Time>,
    /// When the last part went to the caller.
    pub last: Option<Time>,
    pub stash: Option<Stash>,
}

impl Flight {
    /// Returns the event after which the next attempt goes on.
    pub fn resume_after(&self) -> Option<u64> {
        self.splitter.last_id().or(self.last_event)
    }

    /// Returns whether the caller has a part of the answer.
    pub fn is_answered(&self) -> bool {
        matches!(self.answered, Answered::Partly)
    }
}
