//! Connections for readiness checks, the directory, and calls of routers.

use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Request;
use balsamchute_http::{Error, write};
use balsamchute_model::prelude::*;

use crate::socket::Socket;

/// Largest head of a question in bytes.
const MAX_HEAD: usize = 8 * 1024;

/// What a connection asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Readiness checks.
    Ready,
    /// Which routers to use.
    Directory,
    /// Calls of other routers.
    Peers,
    /// Reads of the metrics.
    Metrics,
}

/// A connection that asks small questions.
#[derive(Debug)]
pub(crate) struct Connection {
    pub socket: Socket,
    pub purpose: Purpose,
    /// When something came last.
    pub since: Time,
    /// Whether it ends once everything is sent.
    pub close: bool,
    input: Vec<u8>,
    skip: Option<Decoder>,
}

impl Connection {
    /// Creates a connection that was just accepted.
    pub fn new(now: Time, socket: Socket, purpose: Purpose) -> Self {
        Connection {
            socket,
            purpose,
            since: now,
            close: false,
            input: Vec::new(),
            skip: None,
        }
    }

    /// Takes in bytes.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        self.since = now;
        self.input.extend_from_slice(bytes);
    }

    /// Returns the next question that is whole.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are no question.
    pub fn next(&mut self) -> Result<Option<Request>, Error> {
        if let Some(decoder) = &mut self.skip {
            let used = decoder.decode(&self.input, &mut Vec::new())?;
            self.input.drain(..used);
            if !decoder.is_done() {
                return Ok(None);
            }
            self.skip = None;
        }
        if self.input.is_empty() {
            return Ok(None);
        }
        let Some((head, length)) = Request::parse(&self.input, MAX_HEAD)? else {
            return Ok(None);
        };
        self.input.drain(..length);
        // A body says nothing here, but the next question begins after it.
        self.skip = Some(Decoder::new(Framing::of_request(&head)?));
        self.close |= !head.keeps_open();
        Ok(Some(head))
    }

    /// Appends an answer.
    pub fn answer(&mut self, status: u16, kind: &str, body: &[u8]) {
        let close = self.close;
        let out = self.socket.out();
        write::status_line(out, status, write::reason(status));
        write::field(out, "Content-Type", kind.as_bytes());
        write::number(out, "Content-Length", body.len() as u64);
        if close {
            write::field(out, "Connection", b"close");
        }
        write::end(out);
        out.extend_from_slice(body);
    }
}
