//! A caller's connection.

use balsamchute_http::Error;
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Request;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;

use crate::socket::Socket;

/// Bytes of further requests that are read while one is under way.
const MAX_AHEAD: usize = 64 * 1024;

/// Why a request could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// It is malformed or ambiguous.
    Malformed(Error),
    /// Its head is larger than the limit.
    HeadTooLong,
    /// Its body is larger than the limit.
    BodyTooLong,
}

/// A request that was read whole.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub head: Request,
    pub body: Vec<u8>,
    /// Whether its head announced a body.
    pub has_body: bool,
}

/// A request of which the body is being read.
#[derive(Debug)]
pub(crate) struct Partial {
    head: Request,
    decoder: Decoder,
    body: Vec<u8>,
    has_body: bool,
}

/// What the connection is at.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Between requests.
    Idle,
    /// A part of a head has come.
    Head,
    /// A part of a body has come.
    Body(Box<Partial>),
    /// A request is under way.
    Busy(Id),
    /// The answer is being sent, and nothing more is read.
    Closing,
}

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub socket: Socket,
    pub input: Vec<u8>,
    pub phase: Phase,
    /// When the phase began.
    pub since: Time,
    /// Whether the connection ends after the current answer.
    pub close: bool,
    /// Whether reading stopped because too much has come ahead.
    pub is_full: bool,
    /// Whether the write side was shut down.
    pub is_shut: bool,
}

impl Connection {
    /// Creates a connection that was just accepted.
    pub fn new(now: Time, socket: Socket) -> Self {
        Connection {
            socket,
            input: Vec::new(),
            phase: Phase::Idle,
            since: now,
            close: false,
            is_full: false,
            is_shut: false,
        }
    }

    /// Changes the phase.
    pub fn enter(&mut self, now: Time, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }

    /// Returns the request under way.
    pub fn request(&self) -> Option<Id> {
        match self.phase {
            Phase::Busy(id) => Some(id),
            _ => None,
        }
    }

    /// Returns whether more may be read now.
    pub fn may_read(&self) -> bool {
        !matches!(self.phase, Phase::Busy(_)) || self.input.len() < MAX_AHEAD
    }

    /// Goes on with what has been read; returns a request once it is whole.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] after which the connection cannot go on.
    pub fn advance(&mut self, now: Time, limits: &Limits) -> Result<Option<Incoming>, Fault> {
        loop {
            match &mut self.phase {
                Phase::Idle if self.input.is_empty() => return Ok(None),
                Phase::Idle => self.enter(now, Phase::Head),
                Phase::Head => match self.head(limits)? {
                    Some(partial) => self.enter(now, Phase::Body(Box::new(partial))),
                    None => return Ok(None),
                },
                Phase::Body(partial) => {
                    let used = partial
                        .decoder
                        .decode(&self.input, &mut partial.body)
                        .map_err(Fault::Malformed)?;
                    self.input.drain(..used);
                    if partial.body.len() > limits.body_bytes {
                        return Err(Fault::BodyTooLong);
                    }
                    return Ok(self.take_whole());
                }
                Phase::Busy(_) | Phase::Closing => return Ok(None),
            }
        }
    }

    fn head(&mut self, limits: &Limits) -> Result<Option<Partial>, Fault> {
        let parsed = Request::parse(&self.input, limits.head_bytes);
        let (head, length) = match parsed {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Ok(None),
            Err(Error::HeadTooLong(_)) => return Err(Fault::HeadTooLong),
            Err(error) => return Err(Fault::Malformed(error)),
        };
        self.input.drain(..length);
        let framing = Framing::of_request(&head).map_err(Fault::Malformed)?;
        if matches!(framing, Framing::Length(length) if length > limits.body_bytes as u64) {
            return Err(Fault::BodyTooLong);
        }
        let has_body = head.fields.get("content-length").is_some() || framing == Framing::Chunked;
        if head.fields.lists("expect", "100-continue") && self.input.is_empty() {
            let proceed = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.socket.out().extend_from_slice(proceed);
            self.socket.flush();
        }
        self.close = !head.keeps_open();
        Ok(Some(Partial {
            head,
            decoder: Decoder::new(framing),
            body: Vec::new(),
            has_body,
        }))
    }

    /// Returns the request if its body is whole; the connection is then idle
    /// until the caller of this method says otherwise.
    fn take_whole(&mut self) -> Option<Incoming> {
        let is_done = matches!(&self.phase, Phase::Body(partial) if partial.decoder.is_done());
        if !is_done {
            return None;
        }
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Body(partial) => Some(Incoming {
                head: partial.head,
                body: partial.body,
                has_body: partial.has_body,
            }),
            _ => None,
        }
    }
}
