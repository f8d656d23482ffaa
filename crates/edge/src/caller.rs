//! Connection of a caller: request parsing and lifecycle.

use balsamchute_http::Error;
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Request;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;
use balsamchute_schedule::memory::{MAX_SMALL_BYTES, Progress};

use crate::socket::{RECEIVE_BUFFER_BYTES, Socket};

/// Pipelined bytes that are buffered while a request is in progress.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;

/// Bytes by which the memory that is admitted for a body without a length grows.
const ADMISSION_STEP: usize = 256 * 1024;

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
    /// Length of the head in bytes.
    pub head_length: usize,
    pub body: Vec<u8>,
    /// Whether the head announces a body, possibly an empty one.
    pub has_body: bool,
    /// Time after which its first byte arrived.
    pub arrived_after: Time,
}

/// A request whose body is being read.
#[derive(Debug)]
pub(crate) struct Partial {
    pub head: Request,
    /// Length of the head in bytes.
    head_length: usize,
    decoder: Decoder,
    body: Vec<u8>,
    has_body: bool,
    /// Length of the body that the head announces; `None` in chunks.
    length: Option<usize>,
    /// Bytes up to which the body may be read.
    admitted: usize,
    /// Workspace that a larger body was admitted for.
    pub workspace: Option<Workspace>,
    /// Whether the caller waits for an interim response before it sends the body.
    awaits_interim: bool,
}

/// Result of parsing the buffered bytes of a caller.
#[derive(Debug)]
pub(crate) enum Step {
    /// More bytes are needed.
    Incomplete,
    /// The body needs to be admitted up to this number of bytes before it is read.
    NeedsMemory(usize),
    /// A request is complete.
    Complete(Incoming),
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

impl Phase {
    /// Returns the name of the phase in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Head => "head",
            Phase::Body(_) => "body",
            Phase::Busy(_) => "busy",
            Phase::Closing => "closing",
        }
    }
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
    /// Progress of the request that arrives.
    pub received: Progress,
    /// Progress of the responses that are sent; `None` if nothing is unsent.
    pub sent: Option<Progress>,
    /// Bytes that the connection counts for in the account of memory.
    pub charged: usize,
    /// Whether the current request has the method HEAD.
    pub is_head: bool,
    /// Whether the connection closes after the current response.
    pub close: bool,
    /// Whether reading is paused because the buffer of pipelined bytes is full.
    pub is_read_paused: bool,
    /// Whether the write side was shut down.
    pub is_write_shut: bool,
    /// Time after which bytes arrived that an earlier turn left unread; `None` if all that had
    /// arrived was read.
    pub unread_after: Option<Time>,
    /// Whether input behind the request in progress is discarded.
    is_input_discarded: bool,
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
            received: Progress::new(now),
            sent: None,
            charged: 0,
            is_head: false,
            close: false,
            is_read_paused: false,
            is_write_shut: false,
            unread_after: None,
            is_input_discarded: false,
            is_queued: false,
        }
    }

    /// Adds bytes that were read in a turn in which all arrived after `arrived_after`.
    pub fn receive(&mut self, now: Time, arrived_after: Time, bytes: &[u8]) {
        // Bytes that were there when the connection was accepted are read in a later turn.
        if self.input.is_empty() && arrived_after > self.accepted_at {
            self.input_after = arrived_after;
        }
        self.received.record(now, bytes.len());
        if self.is_input_discarded {
            return;
        }
        self.input.extend_from_slice(bytes);
    }

    /// Records that the machine was suspended, for a time that the clock does not count.
    pub fn record_suspension(&mut self, suspended: Span) {
        self.input_after = self.input_after - suspended;
        self.request_after = self.request_after - suspended;
    }

    pub fn enter(&mut self, now: Time, phase: Phase) {
        match phase {
            Phase::Head => {
                self.received = Progress::new(now);
                self.is_head = false;
            }
            // Its input is discarded.
            Phase::Closing => self.input = Vec::new(),
            _ => {}
        }
        self.phase = phase;
        self.since = now;
    }

    /// Returns the bytes that the caller makes the router hold, with those that may wait in
    /// the socket while reading is paused.
    pub fn memory(&self) -> usize {
        let body = match &self.phase {
            Phase::Body(partial) => partial.memory(),
            _ => 0,
        };
        let unread = match self.is_read_paused {
            true => RECEIVE_BUFFER_BYTES,
            false => 0,
        };
        self.input.capacity() + body + unread + self.socket.memory()
    }

    /// Returns the time for which a request that arrives, a response that is sent, or input
    /// behind a request in progress made no progress; `None` if there is none of these.
    pub fn stalled(&self, now: Time) -> Option<Span> {
        match (&self.phase, &self.sent) {
            (Phase::Head | Phase::Body(_), _) => Some(self.received.stalled(now)),
            (_, Some(sent)) => Some(sent.stalled(now)),
            (Phase::Busy(_), None) if self.is_read_paused => Some(now.since(self.since)),
            _ => None,
        }
    }

    /// Writes as many unsent bytes as the system accepts.
    pub fn flush(&mut self, now: Time) {
        self.socket.flush_with_progress(now, &mut self.sent);
    }

    /// Discards the input behind the request in progress, and closes the connection after its
    /// response.
    pub fn discard_input(&mut self) {
        self.input = Vec::new();
        self.is_input_discarded = true;
        self.is_read_paused = false;
        self.close = true;
    }

    /// Admits a body up to this number of bytes.
    pub fn admit(&mut self, bytes: usize, workspace: Option<Workspace>) {
        if let Phase::Body(partial) = &mut self.phase {
            partial.admitted = bytes;
            partial.workspace = workspace;
            let more = bytes.saturating_sub(partial.body.len());
            partial.body.reserve_exact(more);
        }
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

    /// Returns the number of bytes that may be read at most, if that is limited.
    pub fn read_limit(&self) -> Option<usize> {
        let is_busy = matches!(self.phase, Phase::Busy(_)) && !self.is_input_discarded;
        is_busy.then(|| MAX_PIPELINED_BYTES.saturating_sub(self.input.len()))
    }

    /// Parses the buffered bytes up to the end of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] after which the connection cannot be used.
    pub fn advance(&mut self, now: Time, limits: &Limits) -> Result<Step, Fault> {
        let step = self.parse(now, limits);
        if self.input.is_empty() {
            // A large read must not occupy memory for the lifetime of the connection.
            self.input = Vec::new();
        }
        step
    }

    fn parse(&mut self, now: Time, limits: &Limits) -> Result<Step, Fault> {
        loop {
            match &mut self.phase {
                Phase::Idle if self.input.is_empty() => return Ok(Step::Incomplete),
                Phase::Idle => {
                    self.request_after = self.input_after;
                    self.enter(now, Phase::Head);
                }
                Phase::Head => match self.parse_head(limits)? {
                    Some(partial) => self.enter(now, Phase::Body(Box::new(partial))),
                    None => return Ok(Step::Incomplete),
                },
                Phase::Body(partial) => {
                    if let Some(bytes) = partial.missing(self.input.len(), limits) {
                        return Ok(Step::NeedsMemory(bytes));
                    }
                    if std::mem::take(&mut partial.awaits_interim) && self.input.is_empty() {
                        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
                        self.socket.write_buffer().extend_from_slice(interim);
                        self.socket.flush();
                    }
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
                Phase::Busy(_) | Phase::Closing => return Ok(Step::Incomplete),
            }
        }
    }

    fn parse_head(&mut self, limits: &Limits) -> Result<Option<Partial>, Fault> {
        let parsed = Request::parse(&self.input, limits.max_head_bytes);
        let (head, head_length) = match parsed {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Ok(None),
            Err(Error::HeadTooLong(_)) => return Err(Fault::HeadTooLong),
            Err(error) => return Err(Fault::Malformed(error)),
        };
        self.input.drain(..head_length);
        let framing = Framing::of_request(&head).map_err(Fault::Malformed)?;
        let length = match framing {
            Framing::Length(length) if length > limits.max_body_bytes as u64 => {
                return Err(Fault::BodyTooLong);
            }
            Framing::Length(length) => Some(length as usize),
            Framing::Chunked | Framing::UntilClose => None,
        };
        let has_body = head.fields.get("content-length").is_some() || framing == Framing::Chunked;
        self.close = !head.is_keep_alive();
        self.is_head = head.method == "HEAD";
        Ok(Some(Partial {
            awaits_interim: head.fields.contains_token("expect", "100-continue"),
            head,
            head_length,
            decoder: Decoder::new(framing),
            body: Vec::new(),
            has_body,
            length,
            admitted: MAX_SMALL_BYTES,
            workspace: None,
        }))
    }

    /// Returns the request if its body is complete. The phase becomes idle
    /// until the caller of this method sets another one.
    fn take_complete(&mut self) -> Step {
        let is_done = matches!(&self.phase, Phase::Body(partial) if partial.decoder.is_done());
        if !is_done {
            return Step::Incomplete;
        }
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Body(mut partial) => {
                partial.body.shrink_to_fit();
                Step::Complete(Incoming {
                    head: partial.head,
                    head_length: partial.head_length,
                    body: partial.body,
                    has_body: partial.has_body,
                    arrived_after: self.request_after,
                })
            }
            _ => Step::Incomplete,
        }
    }
}

impl Partial {
    /// Returns the bytes that are held or admitted.
    fn memory(&self) -> usize {
        let body = match self.admitted > MAX_SMALL_BYTES {
            true => self.body.capacity().max(self.admitted),
            false => self.body.capacity(),
        };
        head_memory(self.head_length) + body
    }

    /// Returns the number of bytes up to which the body has to be admitted before more of it
    /// is read, with this number of input bytes; `None` if it is admitted so far.
    fn missing(&self, input: usize, limits: &Limits) -> Option<usize> {
        let needed = match self.length {
            Some(length) => length,
            // One byte more than the limit shows that the body is too long.
            None => (self.body.len() + input).min(limits.max_body_bytes),
        };
        if needed <= self.admitted {
            return None;
        }
        let bytes = match self.length {
            Some(length) => length,
            None => needed
                .next_multiple_of(ADMISSION_STEP)
                .min(limits.max_body_bytes),
        };
        Some(bytes)
    }
}

/// Returns the bytes that a decoded head of this length occupies, about.
pub(crate) fn head_memory(length: usize) -> usize {
    2 * length + 1024
}
