//! State of a request in flight between its caller and a runner.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use balsamchute_http::event::Splitter;
use balsamchute_http::head::{Request, Response};
use balsamchute_model::prelude::*;
use smallvec::SmallVec;

use crate::caller::head_memory;

/// Part of the response that was sent to the caller.
#[derive(Debug)]
pub(crate) enum Delivery {
    /// No part was sent; another attempt may still replace the response.
    NotStarted,
    /// The head and part of a chunked body were sent.
    Started,
}

/// Complete failure response of an attempt, delivered if no retry replaces it.
#[derive(Debug)]
pub(crate) struct Fallback {
    pub head: Response,
    pub body: Vec<u8>,
}

/// A request in flight with the state of its response.
#[derive(Debug)]
pub(crate) struct Transaction {
    /// Index of the caller's connection.
    pub caller: usize,
    pub head: Request,
    /// Length of the head in bytes.
    pub head_length: usize,
    /// Body, shared with the connection that sends it.
    pub body: Rc<Vec<u8>>,
    pub has_body: bool,
    /// Request id that the caller chose.
    pub request_id: String,
    pub route: Arc<Route>,
    /// Version of the manifest that was in force at admission.
    pub manifest: u64,
    pub workspace: Option<Workspace>,
    pub service: Service,
    pub arrival: Time,
    pub deadline: Time,
    /// Event id after which the caller asked to resume the stream.
    pub last_event: Option<u64>,
    /// Id of the request that brought the first event of the stream to resume.
    pub resumes: Option<String>,
    pub splitter: Splitter,
    pub delivery: Delivery,
    /// Index of the connection to the runner during an attempt.
    pub upstream: Option<usize>,
    /// Whether the runner of the attempt has named its start on a connection that it closes.
    pub is_process_named: bool,
    /// Runners that the request was sent to, one for each attempt.
    pub runners: SmallVec<[Runner; 2]>,
    /// Time at which the first part of the response was sent to the caller.
    pub first_sent: Option<Time>,
    /// Time at which the latest part was sent to the caller.
    pub last_sent: Option<Time>,
    pub fallback: Option<Fallback>,
}

impl Transaction {
    /// Returns the event id after which the next attempt resumes.
    pub fn resume_after(&self) -> Option<u64> {
        self.splitter.last_event_id().or(self.last_event)
    }

    /// Returns the ids of the stream for the log: `after`, the one after which the caller
    /// asked to resume, `last`, the last one that was forwarded, and `part`, the first and
    /// the last one of the current attempt.
    pub fn progress(&self) -> impl fmt::Display {
        let (after, last) = (self.last_event, self.splitter.last_event_id());
        let part = self.splitter.part();
        fmt::from_fn(move |f| {
            let (after, last) = (after.unwrap_or(0), last.unwrap_or(0));
            write!(f, "after={after} last={last} part={part}")
        })
    }

    /// Returns the bytes that the caller makes the router hold for the request.
    pub fn memory(&self) -> usize {
        head_memory(self.head_length) + self.body.capacity()
    }

    /// Returns the number of attempts sent to runners, including the current one.
    pub fn attempts(&self) -> usize {
        self.runners.len()
    }

    /// Returns whether part of the response was sent to the caller.
    pub fn has_started(&self) -> bool {
        matches!(self.delivery, Delivery::Started)
    }
}
