//! Calls of this router to the store and to other routers.

use std::net::SocketAddr;

use balsamchute_adapter::store::{Call, Kind};
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Response;
use balsamchute_http::write;
use balsamchute_model::prelude::*;

use crate::socket::Socket;

/// Largest head of an answer in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// What a call is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Following objects of a kind in the store.
    Follow(Kind),
    /// Writing this router's object.
    Announce,
    /// Reading what another router knows.
    View(SocketAddr),
}

/// A connection for calls, one at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub socket: Socket,
    pub purpose: Purpose,
    /// When the call under way fails; `None` between calls.
    pub until: Option<Time>,
    input: Vec<u8>,
    head: Option<(Response, Decoder)>,
    body: Vec<u8>,
}

impl Connection {
    /// Creates a connection without a call.
    pub fn new(socket: Socket, purpose: Purpose) -> Self {
        Connection {
            socket,
            purpose,
            until: None,
            input: Vec::new(),
            head: None,
            body: Vec::new(),
        }
    }

    /// Sends a call that must be answered by `until`.
    pub fn send(&mut self, call: &Call, host: SocketAddr, until: Time) {
        self.until = Some(until);
        self.head = None;
        self.body.clear();
        let out = self.socket.out();
        write::request_line(out, call.method, &call.target);
        write::field(out, "Host", host.to_string().as_bytes());
        if !call.body.is_empty() {
            write::field(out, "Content-Type", b"application/json");
            write::number(out, "Content-Length", call.body.len() as u64);
        }
        write::end(out);
        out.extend_from_slice(&call.body);
        self.socket.flush();
    }

    /// Takes in bytes; returns status, body and whether the connection may be
    /// used again, once the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are no answer.
    pub fn receive(
        &mut self,
        bytes: &[u8],
    ) -> Result<Option<(u16, Vec<u8>, bool)>, balsamchute_http::Error> {
        self.input.extend_from_slice(bytes);
        if self.head.is_none() {
            let Some((head, length)) = Response::parse(&self.input, MAX_HEAD)? else {
                return Ok(None);
            };
            self.input.drain(..length);
            let framing = Framing::of_response(&head, "GET")?;
            self.head = Some((head, Decoder::new(framing)));
        }
        if let Some((_, decoder)) = &mut self.head {
            let used = decoder.decode(&self.input, &mut self.body)?;
            self.input.drain(..used);
        }
        Ok(self.finish())
    }

    /// Takes in that the connection ended; returns the answer if that ends it.
    pub fn ended(&mut self) -> Option<(u16, Vec<u8>, bool)> {
        let (_, decoder) = self.head.as_mut()?;
        decoder.end().ok()?;
        self.finish()
    }

    fn finish(&mut self) -> Option<(u16, Vec<u8>, bool)> {
        let is_done = self
            .head
            .as_ref()
            .is_some_and(|(_, decoder)| decoder.is_done());
        if !is_done {
            return None;
        }
        let (head, _) = self.head.take()?;
        self.until = None;
        let keep = head.keeps_open() && self.input.is_empty();
        Some((head.status, std::mem::take(&mut self.body), keep))
    }
}
