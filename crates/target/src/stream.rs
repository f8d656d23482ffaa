//! An answer of an engine, token by token.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use balsamchute_base::prelude::*;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body, BodyReader};

use crate::dial;
use crate::error::Error;
use crate::line::{Line, MAX_LINE_BYTES};
use crate::settings::Settings;

/// Buffer for the lines of a stream, in bytes. Longer lines pass through it.
const LINE_BUFFER_BYTES: usize = 1024;

/// A piece of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
    /// A token.
    Token {
        /// Its place in the answer, from 0 without gaps.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The end of the whole answer.
    Done {
        /// Number of tokens.
        tokens: u64,
    },
}

/// Ends the generation of a stream, from any thread.
#[derive(Clone, Debug)]
pub struct Canceller {
    agent: Agent,
    url: String,
    limit: Span,
    cancelled: Arc<AtomicBool>,
}

impl Canceller {
    /// Asks the engine to stop. The stream then ends with [`Error::Cancelled`].
    ///
    /// If the engine cannot be reached, the stream ends at its next error or
    /// after the idle time.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not confirm.
    pub fn cancel(&self) -> Result<(), Error> {
        self.cancelled.store(true, Ordering::Release);
        let request = self.agent.delete(&self.url).config();
        let request = request.timeout_global(Some(self.limit.into())).build();
        let answer = request.call().map_err(|error| dial::failure(&error))?;
        match answer.status() {
            // Without the stream there is nothing left to cancel.
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(dial::refusal(answer)),
        }
    }
}

type Lines = BufReader<BodyReader<'static>>;

/// An answer under way. The last item is [`Piece::Done`] or an error.
///
/// A lost connection is made good by asking for the stream again from the next
/// token; nothing is missed and nothing comes twice.
pub struct Stream {
    settings: Settings,
    canceller: Canceller,
    lines: Option<Lines>,
    next: u64,
    /// Connections lost since the last token.
    losses: u32,
    /// Why the last connection was lost.
    reason: String,
    over: bool,
}

impl Stream {
    /// Creates a stream of `attempt`; `answer` is `None` if the answer to the
    /// request was lost for `reason`.
    pub(crate) fn new(
        agent: &Agent,
        settings: &Settings,
        target: SocketAddr,
        attempt: &Attempt,
        answer: Option<Response<Body>>,
        reason: String,
    ) -> Self {
        let canceller = Canceller {
            agent: agent.clone(),
            url: format!("http://{target}/stream/{attempt}"),
            limit: settings.control,
            cancelled: Arc::new(AtomicBool::new(false)),
        };
        Self {
            settings: settings.clone(),
            canceller,
            lines: answer.map(lines),
            next: 0,
            losses: 0,
            reason,
            over: false,
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

    fn cancelled(&self) -> Error {
        Error::Cancelled { tokens: self.next }
    }

    /// Returns the next piece, resuming as often as the settings allow.
    fn advance(&mut self) -> Result<Piece, Error> {
        loop {
            if self.lines.is_none() {
                self.resume()?;
            }
            match self.read() {
                Ok(piece) => {
                    self.losses = 0;
                    return Ok(piece);
                }
                Err(Lost::Connection(reason)) => self.lose(reason),
                Err(Lost::Request(error)) => return Err(error),
            }
            if self.is_cancelled() {
                return Err(self.cancelled());
            }
        }
    }

    fn lose(&mut self, reason: String) {
        self.lines = None;
        self.reason = reason;
    }

    fn read(&mut self) -> Result<Piece, Lost> {
        let lines = self.lines.as_mut().ok_or_else(|| lost("no connection"))?;
        match read_line(lines)? {
            Line::Token { index, text } if index == self.next => {
                self.next += 1;
                Ok(Piece::Token { index, text })
            }
            Line::Token { index, .. } => {
                let next = self.next;
                Err(lost(format!("token {index} came in place of {next}")))
            }
            Line::Done { tokens, .. } if tokens == self.next => Ok(Piece::Done { tokens }),
            Line::Done { tokens, .. } => {
                let next = self.next;
                Err(lost(format!("end after {tokens} tokens came after {next}")))
            }
            Line::Failed { .. } if self.is_cancelled() => Err(Lost::Request(self.cancelled())),
            Line::Failed { error } => Err(Lost::Request(Error::Answered { reason: error })),
        }
    }

    /// Asks for the stream again, from the next token on.
    fn resume(&mut self) -> Result<(), Error> {
        let url = format!("{}?from={}", self.canceller.url, self.next);
        let mut gone = false;
        while self.losses < self.settings.resumes {
            thread::sleep(Span(self.settings.pause.as_millis() << self.losses.min(8)).into());
            self.losses += 1;
            if self.is_cancelled() {
                return Err(self.cancelled());
            }
            match self.canceller.agent.get(&url).call() {
                Ok(answer) if answer.status() == StatusCode::OK => {
                    self.lines = Some(lines(answer));
                    return Ok(());
                }
                Ok(answer) if answer.status() == StatusCode::NOT_FOUND => {
                    return Err(self.forgotten());
                }
                Ok(answer) => self.reason = dial::refusal(answer).to_string(),
                Err(error) => {
                    gone = dial::is_gone(&error);
                    self.reason = error.to_string();
                }
            }
        }
        Err(if gone { self.forgotten() } else { self.cut() })
    }

    /// The target has gone, or has come back without the stream.
    fn forgotten(&self) -> Error {
        Error::Crashed { tokens: self.next }
    }

    fn cut(&self) -> Error {
        let reason = self.reason.clone();
        match self.next {
            0 => Error::MayHaveRun { reason },
            tokens => Error::Cut { tokens, reason },
        }
    }
}

impl Iterator for Stream {
    type Item = Result<Piece, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.over {
            self.finish();
            return None;
        }
        let piece = self.advance();
        self.over = !matches!(piece, Ok(Piece::Token { .. }));
        Some(piece)
    }
}

impl Stream {
    /// Reads to the end of the body, so that the connection can be kept.
    fn finish(&mut self) {
        if let Some(mut lines) = self.lines.take() {
            let mut rest = [0; 1];
            // A stream that goes on after its end is not worth keeping.
            let _ = lines.read(&mut rest);
        }
    }
}

/// What ended the reading of a connection.
enum Lost {
    /// The connection is of no more use; another one may be.
    Connection(String),
    /// The request is over.
    Request(Error),
}

fn lost(reason: impl Into<String>) -> Lost {
    Lost::Connection(reason.into())
}

fn lines(answer: Response<Body>) -> Lines {
    let body = answer.into_body().into_with_config();
    BufReader::with_capacity(LINE_BUFFER_BYTES, body.limit(u64::MAX).reader())
}

fn read_line(lines: &mut Lines) -> Result<Line, Lost> {
    let mut bytes = Vec::new();
    let mut limited = lines.take(MAX_LINE_BYTES as u64);
    let read = limited.read_until(b'\n', &mut bytes);
    read.map_err(|error| lost(error.to_string()))?;
    if bytes.pop() != Some(b'\n') {
        return Err(lost("stream ended without an end line"));
    }
    Line::parse(&bytes).map_err(|error| lost(error.to_string()))
}
