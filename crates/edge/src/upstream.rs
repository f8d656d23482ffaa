//! A connection to a runner.

use balsamchute_adapter::answer::{self, Verdict};
use balsamchute_http::Error;
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Response;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;

use crate::socket::Socket;

/// Largest head of an answer in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Idle time after which a connection is not used again if the runner does not
/// say how long it keeps it.
const DEFAULT_IDLE: Span = Span(500);

/// Margin before the end of the runner's own idle time: a request must arrive
/// before the runner closes.
const IDLE_MARGIN: Span = Span(300);

/// Longest idle time of a connection that is used again.
const LONGEST_IDLE: Span = Span(8000);

/// What the connection is at.
#[derive(Debug)]
pub(crate) enum Phase {
    /// It is not established yet; the request waits for it.
    Connecting(Id),
    /// It carries a request.
    Busy(Id),
    /// It may be used until this time.
    Idle(Time),
}

/// An answer that is being read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub head: Response,
    pub verdict: Verdict,
    pub framing: Framing,
    pub decoder: Decoder,
    /// What of the body has not been forwarded.
    pub body: Vec<u8>,
}

/// A connection to a runner.
#[derive(Debug)]
pub(crate) struct Connection {
    pub socket: Socket,
    pub runner: Runner,
    pub phase: Phase,
    /// When the phase began.
    pub since: Time,
    pub input: Vec<u8>,
    pub answer: Option<Answer>,
    /// Whether reading waits for the caller to take what it was sent.
    pub is_paused: bool,
    /// Whether it carried a request before this one.
    pub is_reused: bool,
}

impl Connection {
    /// Creates a connection that is being established for a request.
    pub fn new(now: Time, socket: Socket, runner: Runner, id: Id) -> Self {
        Connection {
            socket,
            runner,
            phase: Phase::Connecting(id),
            since: now,
            input: Vec::new(),
            answer: None,
            is_paused: false,
            is_reused: false,
        }
    }

    /// Returns the request that it carries or waits for.
    pub fn request(&self) -> Option<Id> {
        match self.phase {
            Phase::Connecting(id) | Phase::Busy(id) => Some(id),
            Phase::Idle(_) => None,
        }
    }

    /// Parses the head of the answer to `name`, if it is whole.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are no answer.
    pub fn parse_head(&mut self, name: &str, method: &str) -> Result<bool, Error> {
        loop {
            let Some((head, length)) = Response::parse(&self.input, MAX_HEAD)? else {
                return Ok(false);
            };
            self.input.drain(..length);
            // Interim answers say nothing of the request's end.
            if (100..200).contains(&head.status) {
                continue;
            }
            let framing = Framing::of_response(&head, method)?;
            self.answer = Some(Answer {
                verdict: answer::verdict(&head, name),
                decoder: Decoder::new(framing),
                framing,
                head,
                body: Vec::new(),
            });
            return Ok(true);
        }
    }

    /// Returns until when the connection may be used after this answer, `None`
    /// if it must not be.
    pub fn reusable_until(&self, now: Time) -> Option<Time> {
        let answer = self.answer.as_ref()?;
        let clean = answer.decoder.is_done()
            && answer.framing != Framing::UntilClose
            && answer.head.keeps_open()
            && self.input.is_empty()
            && self.socket.unsent() == 0;
        if !clean {
            return None;
        }
        let idle = match answer::idle_time(&answer.head) {
            Some(idle) => idle.saturating_sub(IDLE_MARGIN).min(LONGEST_IDLE),
            None => DEFAULT_IDLE,
        };
        Some(now + idle)
    }
}
