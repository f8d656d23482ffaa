//! Non-blocking TCP connection with a write buffer.

use std::cell::Cell;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balsamchute_model::prelude::*;
use balsamchute_schedule::memory::Progress;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use socket2::SockRef;

/// Time after which unacknowledged bytes end a connection. A machine behind a
/// network partition or without power never acknowledges.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Idle time before the first keep-alive probe, and the interval between
/// probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes that end a connection.
const MAX_PROBES: u32 = 3;

/// Bytes that may wait unread in the socket of a client, as the system counts them. They are
/// charged to the memory of the machine; without a bound of its own the system lets the
/// buffer of a connection grow to several megabytes.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Bytes of requests that may wait in the system to be sent to a runner. What exceeds it, and what
/// the runner lets arrive before it reads, counts as unsent.
const SEND_BUFFER_BYTES: usize = 256 * 1024;

/// Sent bytes at the front of a write buffer from which on they are removed.
const MAX_SENT_BYTES: usize = 64 * 1024;

/// Result of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Input {
    /// Number of bytes read into the buffer.
    Bytes(usize),
    /// No bytes are available now.
    WouldBlock,
    /// The other end closed its write side.
    Eof,
    /// The connection failed and cannot be used.
    Broken,
}

/// Call that found the failure of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Read,
    Write,
    Peek,
    /// Query of the pending error.
    Query,
}

/// Failure of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Failure {
    kind: io::ErrorKind,
    found_by: Call,
}

impl fmt::Display for Failure {
    /// Writes the kind of the error and the call that found it, as in `ConnectionReset:peek`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found_by = match self.found_by {
            Call::Read => "read",
            Call::Write => "write",
            Call::Peek => "peek",
            Call::Query => "query",
        };
        write!(f, "{:?}:{found_by}", self.kind)
    }
}

/// Bounds the receive buffers of the connections that `listener` will accept by
/// [`RECEIVE_BUFFER_BYTES`].
pub(crate) fn limit_receive_buffer(listener: &TcpListener) {
    // Linux doubles the value, to count its own overhead.
    let socket = SockRef::from(listener);
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES / 2) {
        log::debug!(target: "socket", "event=options error={error:?}");
    }
}

/// TCP connection and the bytes that are still to be written.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    write_buffer: Vec<u8>,
    sent: usize,
    /// Bytes that follow the write buffer, and the number of them that are sent.
    shared: Option<(Rc<Vec<u8>>, usize)>,
    /// First failure. The system reports an error only once, to whichever call comes next.
    failure: Cell<Option<Failure>>,
}

impl Socket {
    /// Replaces the time after which unacknowledged bytes, or bytes that wait for a
    /// receiver that does not read, end the connection.
    pub fn with_user_timeout(self, timeout: Duration) -> Self {
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_tcp_user_timeout(Some(timeout)) {
            log::debug!(target: "socket", "event=options error={error:?}");
        }
        self
    }

    /// Bounds the bytes that wait in the system to be sent by [`SEND_BUFFER_BYTES`].
    pub fn with_send_buffer_limit(self) -> Self {
        let socket = SockRef::from(&self.stream);
        // Linux doubles the value, to count its own overhead.
        if let Err(error) = socket.set_send_buffer_size(SEND_BUFFER_BYTES / 2) {
            log::debug!(target: "socket", "event=options error={error:?}");
        }
        self
    }

    /// Starts connecting to `address`.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect(address).map(Socket::new)
    }

    /// Wraps an open stream and sets its options.
    pub fn new(stream: TcpStream) -> Self {
        let socket = Socket {
            stream,
            write_buffer: Vec::new(),
            sent: 0,
            shared: None,
            failure: Cell::new(None),
        };
        if let Err(error) = socket.set_options() {
            log::debug!(target: "socket", "event=options error={error:?}");
        }
        socket
    }

    fn set_options(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let socket = SockRef::from(&self.stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let probes = socket2::TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(MAX_PROBES);
        socket.set_tcp_keepalive(&probes)
    }

    /// Registers the socket for edge-triggered readiness.
    pub fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(
            &mut self.stream,
            token,
            Interest::READABLE | Interest::WRITABLE,
        )
    }

    /// Removes the registration; required before the socket is dropped.
    pub fn deregister(&mut self, registry: &Registry) {
        if let Err(error) = registry.deregister(&mut self.stream) {
            log::debug!(target: "socket", "event=deregister error={error:?}");
        }
    }

    /// Returns whether the connection is established.
    ///
    /// # Errors
    ///
    /// Returns the error of a connection attempt that failed.
    pub fn check_connected(&self) -> io::Result<bool> {
        if let Some(failure) = self.failure() {
            return Err(failure.kind.into());
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Returns whether an established connection is open and no bytes wait in it. If bytes
    /// wait, an end may follow them.
    pub fn is_open(&self) -> bool {
        if self.is_broken() {
            return false;
        }
        match self.stream.peek(&mut [0]) {
            Ok(_) => false,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => true,
            Err(error) => {
                self.record_failure(&error, Call::Peek);
                false
            }
        }
    }

    /// Returns the failure of the connection, if the system has reported one or has one pending.
    pub fn failure(&self) -> Option<Failure> {
        if let Ok(Some(error)) = self.stream.take_error() {
            self.record_failure(&error, Call::Query);
        }
        self.failure.get()
    }

    fn record_failure(&self, error: &io::Error, found_by: Call) {
        let found = Failure {
            kind: error.kind(),
            found_by,
        };
        self.failure.set(self.failure.get().or(Some(found)));
    }

    /// Reads available bytes into `buffer`. Bytes that arrived before a failure are read first; no
    /// end is reported after one.
    pub fn read(&mut self, buffer: &mut [u8]) -> Input {
        loop {
            return match self.stream.read(buffer) {
                Ok(0) if self.failure().is_some() => Input::Broken,
                Ok(0) => Input::Eof,
                Ok(length) => Input::Bytes(length),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => match self.is_broken() {
                    true => Input::Broken,
                    false => Input::WouldBlock,
                },
                Err(error) => {
                    self.record_failure(&error, Call::Read);
                    Input::Broken
                }
            };
        }
    }

    /// Returns the write buffer, to append to. Nothing may be appended behind shared bytes.
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        debug_assert!(self.shared.is_none(), "shared bytes are unsent");
        &mut self.write_buffer
    }

    /// Appends bytes without copying them.
    pub fn append_shared(&mut self, bytes: Rc<Vec<u8>>) {
        self.shared = Some((bytes, 0));
    }

    /// Returns the bytes that the write buffer occupies.
    pub fn memory(&self) -> usize {
        self.write_buffer.capacity()
    }

    /// Returns the number of buffered bytes that are not written yet.
    pub fn unsent(&self) -> usize {
        let shared = self.shared.as_ref();
        let shared = shared.map_or(0, |(bytes, sent)| bytes.len() - sent);
        self.write_buffer.len() - self.sent + shared
    }

    /// Returns whether a call has found the connection to be broken.
    pub fn is_broken(&self) -> bool {
        self.failure.get().is_some()
    }

    /// Writes as many bytes as the system accepts. Returns their number.
    pub fn flush(&mut self) -> usize {
        if self.is_broken() {
            return 0;
        }
        let unsent = &self.write_buffer[self.sent..];
        let (mut total, mut error) = write(&mut self.stream, unsent);
        self.sent += total;
        if self.sent == self.write_buffer.len() {
            self.write_buffer.clear();
            self.sent = 0;
            // A large body must not occupy memory for the lifetime of the
            // connection.
            self.write_buffer.shrink_to(4096);
        } else if self.sent >= MAX_SENT_BYTES {
            self.write_buffer.drain(..self.sent);
            self.sent = 0;
        }
        if self.write_buffer.is_empty()
            && let Some((bytes, sent)) = self.shared.take()
        {
            let written;
            (written, error) = write(&mut self.stream, &bytes[sent..]);
            total += written;
            if sent + written < bytes.len() {
                self.shared = Some((bytes, sent + written));
            }
        }
        if let Some(error) = error {
            self.record_failure(&error, Call::Write);
        }
        total
    }

    /// Writes as many bytes as the system accepts, and records their progress; `None` stands
    /// for nothing unsent.
    pub fn flush_with_progress(&mut self, now: Time, progress: &mut Option<Progress>) {
        if self.unsent() == 0 {
            return;
        }
        let sent = progress.get_or_insert(Progress::new(now));
        match self.flush() {
            0 => {}
            written => sent.record(now, written),
        }
        if self.unsent() == 0 {
            *progress = None;
        }
    }

    /// Closes the write side.
    pub fn shutdown(&self) {
        if let Err(error) = self.stream.shutdown(std::net::Shutdown::Write) {
            log::debug!(target: "socket", "event=shutdown error={error:?}");
        }
    }

    /// Resets the connection on close, so that the caller cannot mistake a
    /// truncated response for a complete one.
    pub fn reset_on_close(&self) {
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!(target: "socket", "event=linger error={error:?}");
        }
    }
}

/// Writes as many of `bytes` as the system accepts. Returns their number, and the error if a
/// write fails.
fn write(stream: &mut TcpStream, bytes: &[u8]) -> (usize, Option<io::Error>) {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(0) => return (written, Some(io::ErrorKind::WriteZero.into())),
            Ok(length) => written += length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return (written, Some(error)),
        }
    }
    (written, None)
}
