//! Token streams of engines.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use balsamchute_base::prelude::*;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body, BodyReader};

use crate::dial::{self, Agents};
use crate::error::Error;
use crate::line::{Line, MAX_LINE_BYTES};
use crate::settings::Settings;

/// Read buffer of a stream, in bytes. Longer lines take several reads.
const LINE_BUFFER_BYTES: usize = 1024;

/// Item of a token stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Token of the answer.
    Token {
        /// Position of the token in the answer, from 0 without gaps.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// End of a complete answer.
    Done {
        /// Number of tokens in the answer.
        tokens: u64,
    },
}

/// Handle that cancels a stream's generation from any thread.
#[derive(Clone, Debug)]
pub struct Canceller {
    agent: Agent,
    url: String,
    timeout: Span,
    cancelled: Arc<AtomicBool>,
}

impl Canceller {
    /// Cancels the generation. The stream then ends with [`Error::Cancelled`].
    ///
    /// If the engine cannot be reached, the stream ends at its next connection
    /// error or after [`Settings::idle_timeout`] without data.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not confirm the cancellation.
    pub fn cancel(&self) -> Result<(), Error> {
        self.cancelled.store(true, Ordering::Release);
        let request = self.agent.delete(&self.url).config();
        let request = request.timeout_global(Some(self.timeout.into())).build();
        let response = request
            .call()
            .map_err(|error| dial::transport_error(&error))?;
        match response.status() {
            // With 404 the engine has no such stream, so nothing is left to cancel.
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(dial::status_error(response)),
        }
    }
}

type LineReader = BufReader<BodyReader<'static>>;

/// Iterator over the tokens of an answer. The last item is [`Event::Done`] or
/// an error.
///
/// After a lost connection the stream resumes from the next token, so that no
/// token is missing or repeated.
pub struct Stream {
    agent: Agent,
    settings: Settings,
    canceller: Canceller,
    reader: Option<LineReader>,
    next_index: u64,
    /// Attempts to resume since the last token.
    resume_attempts: u32,
    /// Error of the last attempt to read or resume the stream.
    loss_reason: String,
    ended: bool,
}

impl Stream {
    /// Creates the stream of `attempt`. `response` is `None` if the response to
    /// the request was lost, and `loss_reason` is the error.
    pub(crate) fn new(
        agents: &Agents,
        settings: &Settings,
        target: SocketAddr,
        attempt: &Attempt,
        response: Option<Response<Body>>,
        loss_reason: String,
    ) -> Self {
        let canceller = Canceller {
            agent: agents.control.clone(),
            url: format!("http://{target}/stream/{attempt}"),
            timeout: settings.control_timeout,
            cancelled: Arc::new(AtomicBool::new(false)),
        };
        Self {
            agent: agents.requests.clone(),
            settings: settings.clone(),
            canceller,
            reader: response.map(line_reader),
            next_index: 0,
            resume_attempts: 0,
            loss_reason,
            ended: false,
        }
    }

    /// Returns a handle that cancels the stream from another thread.
    #[must_use]
    pub fn canceller(&self) -> Canceller {
        self.canceller.clone()
    }

    fn is_cancelled(&self) -> bool {
        self.canceller.cancelled.load(Ordering::Acquire)
    }

    fn cancelled_error(&self) -> Error {
        Error::Cancelled {
            tokens: self.next_index,
        }
    }

    /// Returns the next item. Resumes the stream after a lost connection, up to
    /// [`Settings::max_recovery_attempts`] times in a row.
    fn advance(&mut self) -> Result<Event, Error> {
        loop {
            if self.reader.is_none() {
                self.resume()?;
            }
            match self.read_event() {
                Ok(event) => {
                    self.resume_attempts = 0;
                    return Ok(event);
                }
                Err(ReadError::Connection(reason)) => self.drop_connection(reason),
                Err(ReadError::Request(error)) => return Err(error),
            }
            if self.is_cancelled() {
                return Err(self.cancelled_error());
            }
        }
    }

    fn drop_connection(&mut self, reason: String) {
        self.reader = None;
        self.loss_reason = reason;
    }

    /// Reads the next line. A line that is malformed or does not follow the last
    /// token counts as a lost connection.
    fn read_event(&mut self) -> Result<Event, ReadError> {
        let reader = self
            .reader
            .as_mut()
            .ok_or_else(|| connection_error("no connection"))?;
        match read_line(reader)? {
            Line::Token { index, text } if index == self.next_index => {
                self.next_index += 1;
                Ok(Event::Token { index, text })
            }
            Line::Token { index, .. } => {
                let expected = self.next_index;
                Err(connection_error(format!(
                    "token {index} came in place of {expected}"
                )))
            }
            Line::Done { tokens, .. } if tokens == self.next_index => Ok(Event::Done { tokens }),
            Line::Done { tokens, .. } => {
                let received = self.next_index;
                Err(connection_error(format!(
                    "end after {tokens} tokens came after {received}"
                )))
            }
            Line::Failed { .. } if self.is_cancelled() => {
                Err(ReadError::Request(self.cancelled_error()))
            }
            Line::Failed { error } => {
                Err(ReadError::Request(Error::ErrorResponse { reason: error }))
            }
        }
    }

    /// Requests the rest of the stream on another connection, from the next
    /// token on, with exponential backoff.
    fn resume(&mut self) -> Result<(), Error> {
        let url = format!("{}?from={}", self.canceller.url, self.next_index);
        let mut refused = false;
        while self.resume_attempts < self.settings.max_recovery_attempts {
            // The limit on the doublings keeps the shift from overflowing.
            thread::sleep(
                Span(self.settings.recovery_backoff.as_millis() << self.resume_attempts.min(8))
                    .into(),
            );
            self.resume_attempts += 1;
            if self.is_cancelled() {
                return Err(self.cancelled_error());
            }
            match self.agent.get(&url).call() {
                Ok(response) if response.status() == StatusCode::OK => {
                    self.reader = Some(line_reader(response));
                    return Ok(());
                }
                Ok(response) if response.status() == StatusCode::NOT_FOUND => {
                    return Err(self.crashed_error());
                }
                Ok(response) => self.loss_reason = dial::status_error(response).to_string(),
                Err(error) => {
                    refused = dial::is_connection_refused(&error);
                    self.loss_reason = error.to_string();
                }
            }
        }
        Err(if refused {
            self.crashed_error()
        } else {
            self.interrupted_error()
        })
    }

    /// Returns the error for a target that refuses connections or has restarted
    /// without the stream.
    fn crashed_error(&self) -> Error {
        Error::Crashed {
            tokens: self.next_index,
        }
    }

    fn interrupted_error(&self) -> Error {
        let reason = self.loss_reason.clone();
        match self.next_index {
            0 => Error::MayHaveRun { reason },
            tokens => Error::Interrupted { tokens, reason },
        }
    }
}

impl Iterator for Stream {
    type Item = Result<Event, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.ended {
            self.finish_body();
            return None;
        }
        let event = self.advance();
        self.ended = !matches!(event, Ok(Event::Token { .. }));
        Some(event)
    }
}

impl Stream {
    /// Reads to the end of the body. A close with unread bytes would reset the connection.
    fn finish_body(&mut self) {
        if let Some(mut reader) = self.reader.take() {
            let mut excess = [0; 1];
            // The answer is complete whatever follows.
            let _ = reader.read(&mut excess);
        }
    }
}

/// Failure to read the next line of a stream.
enum ReadError {
    /// The connection failed; the stream may be resumed on another one.
    Connection(String),
    /// The stream has ended with an error and is not resumed.
    Request(Error),
}

fn connection_error(reason: impl Into<String>) -> ReadError {
    ReadError::Connection(reason.into())
}

fn line_reader(response: Response<Body>) -> LineReader {
    let body = response.into_body().into_with_config();
    BufReader::with_capacity(LINE_BUFFER_BYTES, body.limit(u64::MAX).reader())
}

fn read_line(reader: &mut LineReader) -> Result<Line, ReadError> {
    let mut bytes = Vec::new();
    let mut limited = reader.take(MAX_LINE_BYTES as u64);
    let result = limited.read_until(b'\n', &mut bytes);
    result.map_err(|error| connection_error(error.to_string()))?;
    // The stream ended, possibly within a line, or the line is longer than
    // `MAX_LINE_BYTES`.
    if bytes.pop() != Some(b'\n') {
        return Err(connection_error("stream ended without an end line"));
    }
    Line::parse(&bytes).map_err(|error| connection_error(error.to_string()))
}
