//! Requests and responses of HTTP/1.1 on a blocking connection, within bounds on what a
//! client may make the process hold.
//!
//! The server library of the house style (`tiny_http`) keeps a header line of any length,
//! allocates what a client announces to skip it, and has no timeouts. Heads and bodies are
//! parsed by `balsamchute_http` instead, as in the edge router.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use balsamchute_base::clock::Clock;
use balsamchute_base::prelude::*;
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::{Error, head, write};
use smallvec::SmallVec;

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Longest time from the first byte of a head to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time without bytes between two requests of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time without bytes within a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time for which a client may leave an answer unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time in which the rest of a body is skipped after the response. A close with
/// unread bytes resets the connection, and the client may lose the response.
const SKIP_TIME: Duration = Duration::from_secs(10);

/// Bytes of one read from a connection.
const READ_BYTES: usize = 8 * 1024;

/// Value of [`Connection::waits_since`] while a request is being served.
const NOT_WAITING: u64 = u64::MAX;

/// Connection of a client, shared by the thread that serves it and its listener.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    input: Mutex<Input>,
    clock: Clock,
    /// Time in ms since which the connection waits for a request or the rest of one, or
    /// [`NOT_WAITING`].
    waits_since: AtomicU64,
    /// Whether the last response was written to its end.
    is_answered: AtomicBool,
}

/// Bytes that were read from a connection and not used yet.
#[derive(Debug)]
struct Input {
    bytes: Vec<u8>,
    /// Body of the present request.
    decoder: Decoder,
    /// Decoded bytes of the body.
    content: Vec<u8>,
    /// Whether the client waits for an interim response before it sends the body.
    awaits_interim: bool,
    timeout: Duration,
}

impl Connection {
    /// Takes over an accepted connection.
    ///
    /// # Errors
    ///
    /// Returns the error of an option that cannot be set.
    pub fn new(stream: TcpStream, clock: Clock) -> io::Result<Self> {
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
        Ok(Connection {
            stream,
            input: Mutex::new(Input {
                bytes: Vec::new(),
                decoder: Decoder::new(Framing::Length(0)),
                content: Vec::new(),
                awaits_interim: false,
                timeout: IDLE_TIMEOUT,
            }),
            clock,
            waits_since: AtomicU64::new(clock.now().0),
            is_answered: AtomicBool::new(true),
        })
    }

    /// Returns the time since which the connection waits for a request or the rest of one;
    /// `None` while a request is being served.
    pub fn waits_since(&self) -> Option<Time> {
        match self.waits_since.load(Ordering::Relaxed) {
            NOT_WAITING => None,
            since => Some(Time(since)),
        }
    }

    /// Ends the connection; its thread notices that.
    pub fn end(&self) {
        // The client may have closed it.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Reads the head of the next request. Returns `None` if the connection ends or the
    /// client is too slow. A malformed head is answered.
    pub fn next_request(self: &Arc<Self>) -> Option<Request> {
        self.waits_since
            .store(self.clock.now().0, Ordering::Relaxed);
        let mut input = self.input();
        let mut began = None;
        loop {
            let parsed = match input.bytes.is_empty() {
                true => Ok(None),
                false => head::Request::parse(&input.bytes, MAX_HEAD_BYTES),
            };
            match parsed.and_then(|parsed| parsed.map(frame).transpose()) {
                Ok(Some((head, length, framing))) => {
                    input.bytes.drain(..length);
                    input.decoder = Decoder::new(framing);
                    input.content = Vec::new();
                    input.awaits_interim = head.fields.contains_token("expect", "100-continue");
                    self.is_answered.store(false, Ordering::Relaxed);
                    self.note_body(&input.decoder);
                    return Some(Request {
                        head,
                        framing,
                        connection: Arc::clone(self),
                    });
                }
                Ok(None) => {}
                Err(error) => {
                    drop(input);
                    self.refuse(&error);
                    return None;
                }
            }
            let timeout = match input.bytes.is_empty() {
                true => IDLE_TIMEOUT,
                false => {
                    let began: &mut Instant = began.get_or_insert_with(Instant::now);
                    HEAD_TIMEOUT.checked_sub(began.elapsed())?
                }
            };
            if self.read_more(&mut input, timeout).ok()? == 0 {
                return None;
            }
        }
    }

    fn refuse(&self, error: &Error) {
        let status = match error {
            Error::HeadTooLong(_) => 431,
            _ => 400,
        };
        let text = error.to_string();
        let response = Response::new(status, text.into_bytes());
        // The client may have closed the connection.
        let _ = (&self.stream).write_all(&response.encode(true, false));
        self.skip_input();
    }

    /// Skips the rest of the body. Returns whether another request may follow.
    pub fn finish_request(&self, is_keep_alive: bool) -> bool {
        if !self.is_answered.load(Ordering::Relaxed) {
            return false;
        }
        let ends = Instant::now() + SKIP_TIME;
        let mut piece = [0; READ_BYTES];
        while Instant::now() < ends {
            match self.read_body(&mut piece) {
                Ok(0) => return is_keep_alive,
                Ok(_) => {}
                Err(_) => break,
            }
        }
        false
    }

    /// Closes the write side and reads on, so that the client gets the last response.
    fn skip_input(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let ends = Instant::now() + SKIP_TIME;
        let mut input = self.input();
        while Instant::now() < ends {
            input.bytes.clear();
            match self.read_more(&mut input, Duration::from_secs(1)) {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads content of the body; 0 bytes at its end.
    fn read_body(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut input = self.input();
        loop {
            if !input.content.is_empty() {
                let length = buffer.len().min(input.content.len());
                buffer[..length].copy_from_slice(&input.content[..length]);
                input.content.drain(..length);
                if input.content.is_empty() {
                    // A stalled body must not keep what it has passed on.
                    input.content = Vec::new();
                }
                return Ok(length);
            }
            if input.decoder.is_done() {
                return Ok(0);
            }
            if input.bytes.is_empty() {
                if std::mem::take(&mut input.awaits_interim) {
                    (&self.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
                }
                if self.read_more(&mut input, BODY_TIMEOUT)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            let Input {
                bytes,
                decoder,
                content,
                ..
            } = &mut *input;
            let used = decoder.decode(bytes, content).map_err(io::Error::other)?;
            bytes.drain(..used);
            if bytes.is_empty() {
                *bytes = Vec::new();
            }
            self.note_body(decoder);
        }
    }

    /// Notes that nothing more is expected from the client if the body is complete.
    fn note_body(&self, decoder: &Decoder) {
        if decoder.is_done() {
            self.waits_since.store(NOT_WAITING, Ordering::Relaxed);
        }
    }

    /// Reads from the client, for this time at most. Returns the number of bytes.
    fn read_more(&self, input: &mut Input, timeout: Duration) -> io::Result<usize> {
        // A timeout of zero stands for none.
        let timeout = timeout.max(Duration::from_millis(1));
        if timeout != input.timeout {
            self.stream.set_read_timeout(Some(timeout))?;
            input.timeout = timeout;
        }
        let mut piece = [0; READ_BYTES];
        let length = loop {
            match (&self.stream).read(&mut piece) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        input.bytes.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    fn input(&self) -> MutexGuard<'_, Input> {
        self.input.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a parsed head with its length and the framing of the body.
fn frame((head, length): (head::Request, usize)) -> Result<(head::Request, usize, Framing), Error> {
    let framing = Framing::of_request(&head)?;
    Ok((head, length, framing))
}

/// A request whose body may still arrive.
#[derive(Debug)]
pub(crate) struct Request {
    head: head::Request,
    framing: Framing,
    connection: Arc<Connection>,
}

impl Request {
    /// Returns the method, with the case as received.
    pub fn method(&self) -> &str {
        &self.head.method
    }

    /// Returns the path with the query.
    pub fn url(&self) -> &str {
        &self.head.target
    }

    /// Returns the value of the first header `name`, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.fields.get(name)
    }

    /// Returns the names and values of all headers.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &[u8])> + '_ {
        self.head.fields.iter()
    }

    /// Returns the length of the body in bytes, `None` in chunks.
    pub fn body_length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(usize::try_from(length).unwrap_or(usize::MAX)),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Returns whether another request may follow on the connection.
    pub fn is_keep_alive(&self) -> bool {
        self.head.is_keep_alive()
    }

    /// Returns a reader of the body.
    pub fn reader(&mut self) -> impl Read {
        BodyReader(&self.connection)
    }

    /// Sends a response.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the client disconnected or does not read.
    pub fn respond(self, response: &Response) -> io::Result<()> {
        let bytes = response.encode(!self.is_keep_alive(), self.method() == "HEAD");
        (&self.connection.stream).write_all(&bytes)?;
        self.connection.is_answered.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Returns a writer of the response, head and body.
    pub fn into_writer(self) -> Writer {
        Writer(self.connection)
    }
}

struct BodyReader<'a>(&'a Connection);

impl Read for BodyReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read_body(buffer)
    }
}

/// Writer of a response. The connection closes after it unless the end is written.
#[derive(Debug)]
pub(crate) struct Writer(Arc<Connection>);

impl Writer {
    /// Records that the response was written to its end.
    pub fn finish(&self) {
        self.0.is_answered.store(true, Ordering::Relaxed);
    }
}

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        (&self.0.stream).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A response with a body of known length.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    status: u16,
    fields: SmallVec<[(&'static str, String); 2]>,
    body: Vec<u8>,
}

impl Response {
    /// Creates a response without header fields.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            fields: SmallVec::new(),
            body,
        }
    }

    /// Adds a header field.
    pub fn with_field(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.fields.push((name, value.into()));
        self
    }

    fn encode(&self, close: bool, is_head: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        write::status_line(&mut bytes, self.status, write::reason_phrase(self.status));
        for (name, value) in &self.fields {
            write::field(&mut bytes, name, value.as_bytes());
        }
        if self.status != 204 {
            write::numeric_field(&mut bytes, "Content-Length", self.body.len() as u64);
        }
        if close {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::end_head(&mut bytes);
        if !is_head {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}
