//! Streamed answers to requests of callers and other routers.

use std::io::{self, Write};

use balsamchute_wire::record::{Code, End, Outcome, Record};

use crate::http::{Request, Response, Writer};

/// Answer to one request, written record by record.
pub(crate) struct Answer {
    state: State,
}

enum State {
    /// Nothing has been written.
    Unstarted(Request),
    /// The response head has been written. Records may follow.
    Streaming(Writer),
    /// The answer has ended, or the client disconnected.
    Closed,
}

const JSON: &str = "application/json";

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\n\
    Content-Type: application/x-ndjson\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

impl Answer {
    /// Creates the answer to `request`, without writing to the connection.
    pub fn new(request: Request) -> Self {
        Answer {
            state: State::Unstarted(request),
        }
    }

    /// Writes one line as a chunk of the response body and flushes it. The
    /// first line is preceded by the response head.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the client disconnected.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        if let State::Unstarted(_) = self.state {
            let State::Unstarted(request) = std::mem::replace(&mut self.state, State::Closed)
            else {
                unreachable!()
            };
            self.state = State::Streaming(request.into_writer());
            self.write(STREAM_HEAD.as_bytes())?;
        }
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        self.write(chunk.as_bytes())?;
        self.flush()
    }

    /// Writes an empty line, which shows the client that the request is still
    /// waiting.
    pub fn write_keep_alive(&mut self) -> io::Result<()> {
        self.write_line("\n")
    }

    /// Writes the end record. An answer without other records becomes a plain
    /// HTTP error response unless the outcome is `Done`.
    pub fn finish(&mut self, end: &End) -> io::Result<()> {
        match std::mem::replace(&mut self.state, State::Closed) {
            State::Unstarted(request) if end.outcome != Outcome::Done => {
                respond_with_end(request, end)
            }
            state => {
                self.state = state;
                self.write_line(&Record::End(end.clone()).to_line())?;
                self.write(b"0\r\n\r\n")?;
                self.flush()?;
                if let State::Streaming(writer) = std::mem::replace(&mut self.state, State::Closed)
                {
                    writer.finish();
                }
                Ok(())
            }
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.state {
            State::Streaming(writer) => writer.write_all(bytes),
            State::Unstarted(_) | State::Closed => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match &mut self.state {
            State::Streaming(writer) => writer.flush(),
            State::Unstarted(_) | State::Closed => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }
}

/// Request header by which a caller states that it has sent the key before.
pub(crate) const RESEND_HEADER: &str = "x-resend";

/// Sends an answer that consists of the end record only, with the matching HTTP
/// status. For a resent key, the outcome is reported as unknown instead of not
/// run, because the earlier sending may have run.
pub(crate) fn respond_with_end(request: Request, end: &End) -> io::Result<()> {
    let is_resend = request.header(RESEND_HEADER).is_some();
    let end = &if is_resend {
        end.clone().for_resend()
    } else {
        end.clone()
    };
    let body = Record::End(end.clone()).to_line();
    let mut response =
        Response::new(status_code(end), body.into_bytes()).with_field("Content-Type", JSON);
    if let Some(retry_after_ms) = end.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1000).to_string();
        response = response.with_field("Retry-After", seconds);
    }
    request.respond(&response)
}

/// Sends a response with a JSON body. The client may have closed the connection.
pub(crate) fn respond_with_json(request: Request, status: u16, body: String) {
    let response = Response::new(status, body.into_bytes());
    let _ = request.respond(&response.with_field("Content-Type", JSON));
}

/// Returns the HTTP status of a response that consists of the end record only.
fn status_code(end: &End) -> u16 {
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
