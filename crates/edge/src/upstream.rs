//! Connection to a runner: response parsing and reuse.

use std::net::SocketAddr;

use balsamchute_adapter::response::{self, Classification};
use balsamchute_http::Error;
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Response;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;

use crate::socket::Socket;

/// Upper bound of a response head in bytes, with the interim responses before it.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Idle time for which a connection may be reused if the runner does not
/// announce its keep-alive timeout.
const DEFAULT_IDLE_TIME: Span = Span(500);

/// Margin before the runner's keep-alive timeout: a request must arrive before
/// the runner closes the connection.
const IDLE_MARGIN: Span = Span(300);

/// Upper bound of the idle time after which a connection may be reused.
const MAX_IDLE_TIME: Span = Span(8000);

/// State of a connection to a runner.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The connection is being established for this request.
    Connecting(Id),
    /// The connection is being established to learn whether the runner accepts any.
    Probing,
    /// The same, after the answer to this request has ended with its connection.
    Confirming(Id),
    /// The connection is open while answers may end with theirs, to show that the runner's
    /// process lives.
    Witness,
    /// The connection carries a request for the runner's report, to learn whether its process
    /// lives after the answer to this request has ended.
    Asking(Id),
    /// The runner was asked which process it is, and this request waits for the response.
    Identifying(Id),
    /// The connection carries this request.
    Busy(Id),
    /// The connection may be reused until this time.
    Idle(Time),
}

/// A response that is being read.
#[derive(Debug)]
pub(crate) struct Partial {
    pub head: Response,
    pub classification: Classification,
    pub framing: Framing,
    pub decoder: Decoder,
    /// Decoded body bytes that are not forwarded yet.
    pub body: Vec<u8>,
}

/// Connection to a runner with its read buffer and parser state.
#[derive(Debug)]
pub(crate) struct Connection {
    pub socket: Socket,
    pub runner: Runner,
    pub address: SocketAddr,
    /// Start time of the process that was listed when the connection was made, or when the
    /// runner named its start.
    pub started_at: u64,
    /// Version of the software that was listed then.
    pub software: Software,
    /// Whether the connection is known to lead to that process.
    pub is_verified: bool,
    /// Whether the runner announced how long it keeps the connection idle.
    pub is_idle_time_known: bool,
    pub phase: Phase,
    /// Time at which the phase began.
    pub since: Time,
    /// Time at which the connection was found to be established.
    pub established_at: Option<Time>,
    pub input: Vec<u8>,
    pub response: Option<Partial>,
    /// Bytes received since the request was sent or a part was forwarded.
    pub withheld: usize,
    /// Whether reading is paused until the unsent bytes to the caller are written.
    pub is_read_paused: bool,
    /// Whether the connection carried another request before.
    pub is_reused: bool,
    /// Time after which the answer began to arrive; `None` before its first bytes.
    pub answered_after: Option<Time>,
    /// Last time at which the runner was known to have the connection open: no bytes
    /// waited in it, or all had just arrived.
    pub open_at: Time,
    /// Time at which the runner closed the connection.
    pub ended_at: Option<Time>,
}

impl Connection {
    /// Creates a connection that is being established in this phase, to a runner with this entry
    /// if it is listed.
    pub fn new(
        now: Time,
        socket: Socket,
        runner: Runner,
        address: SocketAddr,
        entry: Option<&Entry>,
        phase: Phase,
    ) -> Self {
        Connection {
            socket,
            runner,
            address,
            started_at: entry.map_or(0, |entry| entry.started_at),
            software: entry.map_or_else(Software::unknown, |entry| entry.software.clone()),
            is_verified: false,
            is_idle_time_known: false,
            phase,
            since: now,
            established_at: None,
            input: Vec::new(),
            response: None,
            withheld: 0,
            is_read_paused: false,
            is_reused: false,
            answered_after: None,
            open_at: now,
            ended_at: None,
        }
    }

    /// Returns the request that uses or waits for the connection.
    pub fn request(&self) -> Option<Id> {
        match self.phase {
            Phase::Connecting(id) | Phase::Identifying(id) | Phase::Busy(id) => Some(id),
            Phase::Idle(_)
            | Phase::Probing
            | Phase::Confirming(_)
            | Phase::Witness
            | Phase::Asking(_) => None,
        }
    }

    /// Returns whether the entry is of the process that the connection was made to, as far as
    /// entries tell: processes that name no start may differ in their address or version alone.
    pub fn belongs_to(&self, entry: &Entry) -> bool {
        self.started_at == entry.started_at
            && self.address == entry.address
            && self.software == entry.software
    }

    /// Returns whether the connection carries an answer that ends with it.
    pub fn ends_by_close(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| response.framing == Framing::UntilClose)
    }

    /// Parses the head of the response to `request_id`. Returns whether it is
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid response.
    pub fn parse_head(&mut self, request_id: &str, method: &str) -> Result<bool, Error> {
        let Some((head, length)) = Response::parse_final(&self.input, MAX_HEAD_BYTES)? else {
            return Ok(false);
        };
        self.input.drain(..length);
        let framing = Framing::of_response(&head, method)?;
        self.response = Some(Partial {
            classification: response::classify(&head, request_id, self.is_reused),
            decoder: Decoder::new(framing),
            framing,
            head,
            body: Vec::new(),
        });
        Ok(true)
    }

    /// Returns the time until which the connection may be kept without a request that it
    /// has carried.
    pub fn unused_deadline(now: Time) -> Time {
        now + DEFAULT_IDLE_TIME
    }

    /// Returns the time until which the connection may be reused after this
    /// response, or `None` if it must be closed.
    pub fn reuse_deadline(&mut self, now: Time) -> Option<Time> {
        let response = self.response.as_ref()?;
        let is_reusable = response.decoder.is_done()
            && response.framing != Framing::UntilClose
            && response.head.is_keep_alive()
            && self.input.is_empty()
            && self.socket.unsent() == 0
            && !self.socket.is_broken();
        if !is_reusable {
            return None;
        }
        let announced = response::keep_alive_timeout(&response.head);
        self.is_idle_time_known = announced.is_some();
        let idle = match announced {
            Some(idle) => idle.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME),
            None => DEFAULT_IDLE_TIME,
        };
        Some(now + idle)
    }
}
