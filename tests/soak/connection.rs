//! Connections of callers to routers.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::environment::header;

/// Time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Receive buffer of a caller that reads slowly, and the most that it reads at once, in
/// bytes.
const SLOW_BUFFER: usize = 4096;

/// Reads at once, or some bytes after each pause.
struct Paced {
    stream: TcpStream,
    pause: Option<Duration>,
}

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Some(pause) = self.pause else {
            return self.stream.read(buffer);
        };
        thread::sleep(pause);
        let length = buffer.len().min(SLOW_BUFFER);
        self.stream.read(&mut buffer[..length])
    }
}

/// Connection of a caller, kept while the router allows.
pub struct Connection(BufReader<Paced>);

impl Connection {
    /// Connects to a router. With a pause, the caller reads slowly and has a small receive
    /// buffer.
    pub fn open(router: SocketAddr, pause: Option<Duration>) -> Option<Self> {
        let domain = socket2::Domain::for_address(router);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None).ok()?;
        if pause.is_some() {
            socket.set_recv_buffer_size(SLOW_BUFFER).ok()?;
        }
        socket
            .connect_timeout(&router.into(), CONNECT_TIMEOUT)
            .ok()?;
        let stream: TcpStream = socket.into();
        Some(Connection(BufReader::new(Paced { stream, pause })))
    }

    /// Limits the time without a byte, in both directions.
    pub fn set_patience(&self, patience: Duration) {
        let patience = patience.max(Duration::from_millis(1));
        let stream = &self.0.get_ref().stream;
        stream
            .set_read_timeout(Some(patience))
            .and_then(|()| stream.set_write_timeout(Some(patience)))
            .expect("the time is not zero");
    }

    /// Sends a request; `None` if the connection is broken.
    pub fn send(&mut self, request: &str) -> Option<()> {
        let stream = &mut self.0.get_mut().stream;
        stream.write_all(request.as_bytes()).ok()
    }

    /// Reads the head of an answer; `None` if it breaks off.
    pub fn read_head(&mut self) -> Option<String> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.0.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        Some(head)
    }

    /// Reads a body with the length that `head` names, or all of its chunks; `None` if it
    /// breaks off.
    pub fn read_body(&mut self, head: &str) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        if is_chunked(head) {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Some(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        body.resize(header(head, "content-length")?.parse().ok()?, 0);
        self.0.read_exact(&mut body).ok()?;
        Some(body)
    }

    /// Reads a chunk, which is empty if it is the last one; `None` if it breaks off.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let mut line = String::new();
        self.0.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        self.0.read_exact(&mut chunk).ok()?;
        chunk.truncate(size);
        Some(chunk)
    }
}

/// Returns whether the body of an answer comes in chunks.
pub fn is_chunked(head: &str) -> bool {
    header(head, "transfer-encoding") == Some("chunked")
}
