//! Connections to the internal HTTP endpoints.

use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Request;
use balsamchute_http::{Error, write};
use balsamchute_model::prelude::*;
use balsamchute_schedule::memory::Progress;

use crate::socket::Socket;

/// Upper bound of a request head in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Unsent bytes above which no further request is read.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

/// Endpoint that a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// Readiness checks of the platform.
    Ready,
    /// Directory of routers for callers.
    Directory,
    /// Calls of other routers.
    Peers,
    /// Reads of the metrics page.
    Metrics,
}

impl Endpoint {
    /// All endpoints.
    pub const ALL: [Endpoint; 4] = [
        Endpoint::Ready,
        Endpoint::Directory,
        Endpoint::Peers,
        Endpoint::Metrics,
    ];
}

/// Connection of a client to an internal endpoint.
#[derive(Debug)]
pub(crate) struct Connection {
    pub socket: Socket,
    pub endpoint: Endpoint,
    /// Progress of the requests that arrive.
    pub received: Progress,
    /// Progress of the responses that are sent; `None` if nothing is unsent.
    pub sent: Option<Progress>,
    /// Bytes that the connection counts for in the account of memory.
    pub charged: usize,
    /// Whether the connection closes once all bytes are sent.
    pub close: bool,
    /// Whether the connection is among those that the event loop goes on with.
    pub is_queued: bool,
    input: Vec<u8>,
    skipped_body: Option<Decoder>,
}

impl Connection {
    /// Creates the state of an accepted connection.
    pub fn new(now: Time, socket: Socket, endpoint: Endpoint) -> Self {
        Connection {
            socket,
            endpoint,
            received: Progress::new(now),
            sent: None,
            charged: 0,
            close: false,
            is_queued: false,
            input: Vec::new(),
            skipped_body: None,
        }
    }

    /// Buffers received bytes and restarts the idle timeout.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        if self.input.is_empty() {
            self.received = Progress::new(now);
        }
        self.received.record(now, bytes.len());
        self.input.extend_from_slice(bytes);
    }

    /// Returns whether further requests are read: not beyond the last one, nor while the
    /// client leaves too many bytes unread.
    pub fn may_read(&self) -> bool {
        !self.close && self.socket.unsent() <= MAX_UNSENT_BYTES
    }

    /// Returns the bytes that the client makes the router hold.
    pub fn memory(&self) -> usize {
        self.input.capacity() + self.socket.memory()
    }

    /// Returns the time for which a request that arrives or a response that is sent made no
    /// progress; `None` if there is none of these.
    pub fn stalled(&self, now: Time) -> Option<Span> {
        match &self.sent {
            Some(sent) => Some(sent.stalled(now)),
            None if self.input.is_empty() => None,
            None => Some(self.received.stalled(now)),
        }
    }

    /// Writes as many unsent bytes as the system accepts.
    pub fn flush(&mut self, now: Time) {
        self.socket.flush_with_progress(now, &mut self.sent);
    }

    /// Responds that the input is not a request, and closes the connection afterwards.
    pub fn refuse(&mut self, error: &Error) {
        self.input = Vec::new();
        self.close = true;
        self.write_response(400, "text/plain", error.to_string().as_bytes());
    }

    /// Returns the next complete request.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid request.
    pub fn next_request(&mut self) -> Result<Option<Request>, Error> {
        let request = self.parse();
        if self.input.is_empty() {
            // A large read must not occupy memory for the lifetime of the connection.
            self.input = Vec::new();
        }
        request
    }

    fn parse(&mut self) -> Result<Option<Request>, Error> {
        if let Some(decoder) = &mut self.skipped_body {
            let used = decoder.decode(&self.input, &mut Vec::new())?;
            self.input.drain(..used);
            if !decoder.is_done() {
                return Ok(None);
            }
            self.skipped_body = None;
        }
        if self.input.is_empty() {
            return Ok(None);
        }
        let Some((head, length)) = Request::parse(&self.input, MAX_HEAD_BYTES)? else {
            return Ok(None);
        };
        self.input.drain(..length);
        // Request bodies are skipped; the next request begins after them.
        self.skipped_body = Some(Decoder::new(Framing::of_request(&head)?));
        self.close |= !head.is_keep_alive();
        Ok(Some(head))
    }

    /// Appends a response to the unsent bytes.
    pub fn write_response(&mut self, status: u16, content_type: &str, body: &[u8]) {
        let close = self.close;
        let buffer = self.socket.write_buffer();
        write::status_line(buffer, status, write::reason_phrase(status));
        write::field(buffer, "Content-Type", content_type.as_bytes());
        write::numeric_field(buffer, "Content-Length", body.len() as u64);
        if close {
            write::field(buffer, "Connection", b"close");
        }
        write::end_head(buffer);
        buffer.extend_from_slice(body);
    }
}
