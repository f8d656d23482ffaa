//! The streamed answer to a caller or another router.

use std::io::{self, Write};

use balsamchute_wire::record::{Code, End, Outcome, Record};
use tiny_http::{Header, Request, Response};

/// An answer that is being written.
pub(crate) struct Answer {
    state: State,
}

enum State {
    /// Nothing was written.
    Fresh(Request),
    /// The head was written, and records may follow.
    Streaming(Box<dyn Write + Send>),
    /// It has ended or the reader is gone.
    Closed,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n\
    Content-Type: application/x-ndjson\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

impl Answer {
    /// Creates the answer to `request`.
    pub fn new(request: Request) -> Self {
        Answer {
            state: State::Fresh(request),
        }
    }

    /// Writes one line and flushes it.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the reader is gone.
    pub fn line(&mut self, line: &str) -> io::Result<()> {
        if let State::Fresh(_) = self.state {
            let State::Fresh(request) = std::mem::replace(&mut self.state, State::Closed) else {
                unreachable!()
            };
            self.state = State::Streaming(request.into_writer());
            self.write(HEAD.as_bytes())?;
        }
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        self.write(chunk.as_bytes())?;
        self.flush()
    }

    /// Writes an empty line, which tells the reader that the request waits.
    pub fn keep_alive(&mut self) -> io::Result<()> {
        self.line("\n")
    }

    /// Writes the last record.
    pub fn end(&mut self, end: &End) -> io::Result<()> {
        match std::mem::replace(&mut self.state, State::Closed) {
            State::Fresh(request) if end.outcome != Outcome::Done => refuse(request, end),
            state => {
                self.state = state;
                self.line(&Record::End(end.clone()).to_line())?;
                self.write(b"0\r\n\r\n")?;
                self.flush()?;
                self.state = State::Closed;
                Ok(())
            }
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.state {
            State::Streaming(writer) => writer.write_all(bytes),
            State::Fresh(_) | State::Closed => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match &mut self.state {
            State::Streaming(writer) => writer.flush(),
            State::Fresh(_) | State::Closed => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }
}

/// Header of a request whose key was sent before.
pub(crate) const RESEND: &str = "x-resend";

/// Answers a request that has no records with a status and the end record.
pub(crate) fn refuse(request: Request, end: &End) -> io::Result<()> {
    let resent = request.headers().iter().any(|h| h.field.equiv(RESEND));
    let end = &if resent {
        end.clone().for_resend()
    } else {
        end.clone()
    };
    let body = Record::End(end.clone()).to_line();
    let mut response = Response::from_string(body).with_status_code(status(end));
    response.add_header(header("Content-Type", "application/json"));
    if let Some(millis) = end.retry_after_ms {
        response.add_header(header("Retry-After", &millis.div_ceil(1000).to_string()));
    }
    request.respond(response)
}

/// Returns the HTTP status for an end without records.
fn status(end: &End) -> u16 {
    match (end.outcome, end.code) {
        (Outcome::Done, _) => 200,
        (Outcome::Failed, _) => 502,
        (Outcome::Unknown, _) => 504,
        (Outcome::NotRun, Some(Code::NotFound)) => 404,
        (Outcome::NotRun, Some(Code::Mismatch)) => 409,
        (Outcome::NotRun, Some(Code::Limit | Code::Quarantine)) => 429,
        (Outcome::NotRun, Some(Code::Elsewhere | Code::NoClaims | Code::Deadline)) => 503,
        (Outcome::NotRun, None) if end.retry_after_ms.is_some() => 503,
        (Outcome::NotRun, None) => 400,
    }
}

/// Creates a header from text that is known to be valid.
pub(crate) fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header is valid")
}
