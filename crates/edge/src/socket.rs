//! A non-blocking connection with its unsent bytes.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;

/// Time after which unacknowledged bytes end a connection: peers behind a
/// partition or without power never answer.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 3;

/// What reading brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Input {
    /// This many bytes.
    Bytes(usize),
    /// Nothing for now.
    Nothing,
    /// The peer sends no more.
    End,
    /// The connection broke.
    Broken,
}

/// A connection.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    out: Vec<u8>,
    sent: usize,
    broken: bool,
}

impl Socket {
    /// Begins to connect.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect(address).map(Socket::new)
    }

    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        let socket = Socket {
            stream,
            out: Vec::new(),
            sent: 0,
            broken: false,
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
            .with_retries(PROBES);
        socket.set_tcp_keepalive(&probes)
    }

    /// Registers it for edge-triggered readiness.
    pub fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(
            &mut self.stream,
            token,
            Interest::READABLE | Interest::WRITABLE,
        )
    }

    /// Ends the registration, before the socket is dropped.
    pub fn deregister(&mut self, registry: &Registry) {
        if let Err(error) = registry.deregister(&mut self.stream) {
            log::debug!(target: "socket", "event=deregister error={error:?}");
        }
    }

    /// Returns whether the connection came about; the error if it did not.
    pub fn connected(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads into `buffer`.
    pub fn read(&mut self, buffer: &mut [u8]) -> Input {
        loop {
            return match self.stream.read(buffer) {
                Ok(0) => Input::End,
                Ok(length) => Input::Bytes(length),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => Input::Nothing,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => Input::Broken,
            };
        }
    }

    /// Returns the buffer of unsent bytes, to append to.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    /// Returns the number of unsent bytes.
    pub fn unsent(&self) -> usize {
        self.out.len() - self.sent
    }

    /// Returns whether a write failed.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Sends as much as the system takes. Returns the number of bytes.
    pub fn flush(&mut self) -> usize {
        let before = self.sent;
        while self.sent < self.out.len() && !self.broken {
            match self.stream.write(&self.out[self.sent..]) {
                Ok(0) => self.broken = true,
                Ok(length) => self.sent += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.broken = true,
            }
        }
        let written = self.sent - before;
        if self.sent == self.out.len() {
            self.out.clear();
            self.sent = 0;
            // A large body must not keep its memory for the connection's life.
            self.out.shrink_to(4096);
        }
        written
    }

    /// Tells the peer that no more bytes follow.
    pub fn shutdown(&self) {
        if let Err(error) = self.stream.shutdown(std::net::Shutdown::Write) {
            log::debug!(target: "socket", "event=shutdown error={error:?}");
        }
    }

    /// Makes closing reset the connection, so that what was sent of an answer
    /// cannot look whole.
    pub fn reset_on_close(&self) {
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!(target: "socket", "event=linger error={error:?}");
        }
    }
}
