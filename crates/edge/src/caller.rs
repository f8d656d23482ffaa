//! Connection of a caller: request parsing and lifecycle.

use balsamchute_http::Error;
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Request;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;

use crate::socket::Socket;

/// Pipelined bytes that are buffered while a request is in progress.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Unsent bytes to a caller above which neither its next request nor more of its answer is
/// read.
pub(crate) const MAX_UNSENT_BYTES: usize = 128 * 1024;

/// Reason why a request could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The request is malformed or ambiguous.
    Malformed(Error),
    /// The head exceeds the size limit.
    HeadTooLong,
    /// The body exceeds the size limit.
    BodyTooLong,
}

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub head: Request,
    pub body: Vec<u8>,
    /// Whether the head announces a body, possibly an empty one.
    pub has_body: bool,
    /// Time after which its first byte arrived.
    pub arrived_after: Time,
}

/// A request whose body is being read.
#[derive(Debug)]
pub(crate) struct Partial {
    head: Request,
    decoder: Decoder,
    body: Vec<u8>,
    has_body: bool,
}

/// State of a caller's connection.
#[derive(Debug)]
pub(crate) enum Phase {
    /// No bytes of the next request were received.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// The body of a request is incomplete.
    Body(Box<Partial>),
    /// A request is in progress.
    Busy(Id),
    /// The last response is being sent; input is discarded.
    Closing,
}

/// Connection of a caller with its read buffer and parser state.
#[derive(Debug)]
pub(crate) struct Connection {
    pub socket: Socket,
    pub input: Vec<u8>,
    /// Time after which the first byte of `input` arrived.
    input_after: Time,
    /// Time after which the first byte of the last request arrived.
    request_after: Time,
    accepted_at: Time,
    pub phase: Phase,
    /// Time at which the phase began.
    pub since: Time,
    /// Time at which bytes were last received.
    pub last_received: Time,
    /// Time at which bytes were last written.
    pub last_sent: Time,
    /// Whether the connection closes after the current response.
    pub close: bool,
    /// Whether reading is paused because the buffer of pipelined bytes is full.
    pub is_read_paused: bool,
    /// Whether the write side was shut down.
    pub is_write_shut: bool,
    /// Time after which bytes arrived that an earlier turn left unread; `None` if all that had
    /// arrived was read.
    pub unread_after: Option<Time>,
    /// Whether the connection is among those that the event loop goes on with.
    pub is_queued: bool,
}

impl Connection {
    /// Creates the state of a connection that is accepted, and was made after `arrived_after`.
    pub fn new(now: Time, arrived_after: Time, socket: Socket) -> Self {
        Connection {
            socket,
            input: Vec::new(),
            input_after: arrived_after,
            request_after: arrived_after,
            accepted_at: now,
            phase: Phase::Idle,
            since: now,
            last_received: now,
            last_sent: now,
            close: false,
            is_read_paused: false,
            is_write_shut: false,
            unread_after: None,
            is_queued: false,
        }
    }

    /// Adds bytes that were read in a turn in which all arrived after `arrived_after`.
    pub fn receive(&mut self, now: Time, arrived_after: Time, bytes: &[u8]) {
        // Bytes that were there when the connection was accepted are read in a later turn.
        if self.input.is_empty() && arrived_after > self.accepted_at {
            self.input_after = arrived_after;
        }
        self.last_received = now;
        self.input.extend_from_slice(bytes);
    }

    /// Records that the machine was suspended, for a time that the clock does not count.
    pub fn record_suspension(&mut self, suspended: Span) {
        self.input_after = self.input_after - suspended;
        self.request_after = self.request_after - suspended;
    }

    pub fn enter(&mut self, now: Time, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }

    /// Returns the request in progress.
    pub fn request(&self) -> Option<Id> {
        match self.phase {
            Phase::Busy(id) => Some(id),
            _ => None,
        }
    }

    /// Returns whether input waits that the event loop may go on with.
    pub fn has_waiting_input(&self) -> bool {
        matches!(self.phase, Phase::Idle) && !self.input.is_empty() && !self.is_blocked()
    }

    /// Returns whether the caller leaves too many bytes unread to get another answer.
    pub fn is_blocked(&self) -> bool {
        self.socket.unsent() > MAX_UNSENT_BYTES
    }

    /// Returns whether reading from the socket is allowed.
    pub fn may_read(&self) -> bool {
        match self.phase {
            Phase::Busy(_) => self.input.len() < MAX_PIPELINED_BYTES,
            _ => !self.is_blocked(),
        }
    }

    /// Parses the buffered bytes. Returns a request once it is complete.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] after which the connection cannot be used.
    pub fn advance(&mut self, now: Time, limits: &Limits) -> Result<Option<Incoming>, Fault> {
        loop {
            match &mut self.phase {
                Phase::Idle if self.input.is_empty() => return Ok(None),
                Phase::Idle => {
                    self.request_after = self.input_after;
                    self.enter(now, Phase::Head);
                }
                Phase::Head => match self.parse_head(limits)? {
                    Some(partial) => self.enter(now, Phase::Body(Box::new(partial))),
                    None => return Ok(None),
                },
                Phase::Body(partial) => {
                    let used = partial
                        .decoder
                        .decode(&self.input, &mut partial.body)
                        .map_err(Fault::Malformed)?;
                    self.input.drain(..used);
                    if partial.body.len() > limits.max_body_bytes {
                        return Err(Fault::BodyTooLong);
                    }
                    return Ok(self.take_complete());
                }
                Phase::Busy(_) | Phase::Closing => return Ok(None),
            }
        }
    }

    fn parse_head(&mut self, limits: &Limits) -> Result<Option<Partial>, Fault> {
        let parsed = Request::parse(&self.input, limits.max_head_bytes);
        let (head, length) = match parsed {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Ok(None),
            Err(Error::HeadTooLong(_)) => return Err(Fault::HeadTooLong),
            Err(error) => return Err(Fault::Malformed(error)),
        };
        self.input.drain(..length);
        let framing = Framing::of_request(&head).map_err(Fault::Malformed)?;
        if matches!(framing, Framing::Length(length) if length > limits.max_body_bytes as u64) {
            return Err(Fault::BodyTooLong);
        }
        let has_body = head.fields.get("content-length").is_some() || framing == Framing::Chunked;
        if head.fields.contains_token("expect", "100-continue") && self.input.is_empty() {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.socket.write_buffer().extend_from_slice(interim);
            self.socket.flush();
        }
        self.close = !head.is_keep_alive();
        Ok(Some(Partial {
            head,
            decoder: Decoder::new(framing),
            body: Vec::new(),
            has_body,
        }))
    }

    /// Returns the request if its body is complete. The phase becomes idle
    /// until the caller of this method sets another one.
    fn take_complete(&mut self) -> Option<Incoming> {
        let is_done = matches!(&self.phase, Phase::Body(partial) if partial.decoder.is_done());
        if !is_done {
            return None;
        }
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Body(partial) => Some(Incoming {
                head: partial.head,
                body: partial.body,
                has_body: partial.has_body,
                arrived_after: self.request_after,
            }),
            _ => None,
        }
    }
}
