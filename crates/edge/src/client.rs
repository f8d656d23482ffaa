//! HTTP client for calls to the store and to other routers.

use std::net::SocketAddr;

use balsamchute_adapter::store::{Kind, Request};
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Response;
use balsamchute_http::write;
use balsamchute_model::prelude::*;

use crate::socket::Socket;

/// Upper bound of a response head in bytes, with the interim responses before it.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Purpose of a client connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Listing and watching objects of a kind in the store.
    Watch(Kind),
    /// Writing this router's object to the store.
    Announce,
    /// Reading the view of the router at this address.
    View(SocketAddr),
}

impl Purpose {
    /// Returns the part of the log that the connection belongs to.
    pub fn log_target(self) -> &'static str {
        match self {
            Purpose::Watch(_) | Purpose::Announce => "store",
            Purpose::View(_) => "peer",
        }
    }
}

/// Complete response to a call.
#[derive(Debug)]
pub(crate) struct Message {
    pub head: Response,
    pub body: Vec<u8>,
    /// Whether the connection can carry another call.
    pub is_reusable: bool,
}

/// A client connection that carries one call at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub socket: Socket,
    pub purpose: Purpose,
    /// Time at which the call in progress fails; `None` between calls.
    pub deadline: Option<Time>,
    input: Vec<u8>,
    head: Option<(Response, Decoder)>,
    body: Vec<u8>,
}

impl Connection {
    pub fn new(socket: Socket, purpose: Purpose) -> Self {
        Connection {
            socket,
            purpose,
            deadline: None,
            input: Vec::new(),
            head: None,
            body: Vec::new(),
        }
    }

    /// Sends a call that fails at `deadline` without a response.
    pub fn send(&mut self, call: &Request, host: SocketAddr, deadline: Time) {
        self.deadline = Some(deadline);
        self.head = None;
        self.body.clear();
        let buffer = self.socket.write_buffer();
        write::request_line(buffer, call.method, &call.target);
        write::field(buffer, "Host", host.to_string().as_bytes());
        if !call.body.is_empty() {
            write::field(buffer, "Content-Type", b"application/json");
            write::numeric_field(buffer, "Content-Length", call.body.len() as u64);
        }
        write::end_head(buffer);
        buffer.extend_from_slice(&call.body);
        self.socket.flush();
    }

    /// Parses received bytes. Returns the response once it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid response.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Option<Message>, balsamchute_http::Error> {
        self.input.extend_from_slice(bytes);
        if self.head.is_none() {
            let Some((head, length)) = Response::parse_final(&self.input, MAX_HEAD_BYTES)? else {
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
        Ok(self.take_response())
    }

    /// Handles the end of the input. Returns the response if its body extends
    /// to the end of the connection.
    pub fn handle_eof(&mut self) -> Option<Message> {
        let (_, decoder) = self.head.as_mut()?;
        decoder.finish().ok()?;
        self.take_response()
    }

    fn take_response(&mut self) -> Option<Message> {
        let is_done = self
            .head
            .as_ref()
            .is_some_and(|(_, decoder)| decoder.is_done());
        if !is_done {
            return None;
        }
        let (head, _) = self.head.take()?;
        self.deadline = None;
        let is_reusable = head.is_keep_alive() && self.input.is_empty();
        Some(Message {
            head,
            body: std::mem::take(&mut self.body),
            is_reusable,
        })
    }
}
