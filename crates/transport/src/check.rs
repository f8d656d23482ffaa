//! Check of the responses on one connection.

use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Response;

use crate::error::Error;

/// Check of the bytes received on one connection. The responses belong to requests of
/// methods other than `HEAD`, which are sent one after the other.
#[derive(Debug)]
pub struct Check {
    max_head_bytes: usize,
    state: State,
}

#[derive(Debug)]
enum State {
    /// No response is due.
    Idle,
    /// Within the head of a response, after these bytes of it and of the interim ones.
    Head(Vec<u8>),
    /// Within the body of a response.
    Body(Decoder),
    /// The connection carries no further response.
    Spent,
}

impl Check {
    /// Creates the check of a connection without requests so far. A response head may
    /// have up to `max_head_bytes`, with the interim responses before it.
    #[must_use]
    pub fn new(max_head_bytes: usize) -> Self {
        Check {
            max_head_bytes,
            state: State::Idle,
        }
    }

    /// Records that a part of a request is sent.
    pub fn send(&mut self) {
        if matches!(self.state, State::Idle) {
            self.state = State::Head(Vec::new());
        }
    }

    /// Checks received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is malformed.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let used = match std::mem::replace(&mut self.state, State::Spent) {
                // Bytes that follow a response answer no request.
                State::Idle | State::Spent => return Ok(()),
                State::Head(received) => self.receive_head(received, rest)?,
                State::Body(decoder) => self.receive_body(decoder, rest)?,
            };
            rest = &rest[used..];
        }
        Ok(())
    }

    /// Records that the other side has ended the connection in good order.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is incomplete.
    pub fn finish(&mut self) -> Result<(), Error> {
        match std::mem::replace(&mut self.state, State::Spent) {
            State::Idle => Ok(()),
            State::Body(mut decoder) => Ok(decoder.finish()?),
            State::Head(_) | State::Spent => Err(balsamchute_http::Error::Truncated.into()),
        }
    }

    /// Returns whether another request may be sent.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    /// Adds bytes to those `received` of a head. Returns the number of bytes used.
    fn receive_head(&mut self, mut received: Vec<u8>, bytes: &[u8]) -> Result<usize, Error> {
        let before = received.len();
        received.extend_from_slice(bytes);
        let Some((head, length)) = Response::parse_final(&received, self.max_head_bytes)? else {
            self.state = State::Head(received);
            return Ok(bytes.len());
        };
        let framing = Framing::of_response(&head, "GET")?;
        self.state = body_state(Decoder::new(framing));
        Ok(length - before)
    }

    /// Decodes bytes of a body. Returns the number of bytes used.
    fn receive_body(&mut self, mut decoder: Decoder, bytes: &[u8]) -> Result<usize, Error> {
        let used = decoder.decode(bytes, &mut Vec::new())?;
        self.state = body_state(decoder);
        Ok(used)
    }
}

fn body_state(decoder: Decoder) -> State {
    match decoder.is_done() {
        true => State::Idle,
        false => State::Body(decoder),
    }
}
