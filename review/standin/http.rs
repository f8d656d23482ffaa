//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Message with its head as text and its body without transfer coding.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn start_line(&self) -> &str {
        self.head.split("\r\n").next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let word = self.start_line().split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.split("\r\n").skip(1);
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        let found = pairs.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            rest: Vec::new(),
        }
    }

    /// Connects within a second, as consumers do.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Adds bytes to the rest. Returns 0 at the end of the connection.
    fn fill(&mut self, deadline: Instant) -> io::Result<usize> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut buffer = [0; 16 * 1024];
        let length = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..length]);
        Ok(length)
    }

    /// Reads the head of a message; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self, deadline: Instant) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.rest, b"\r\n\r\n") {
                let head: Vec<u8> = self.rest.drain(..end + 4).collect();
                return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
            }
            if self.fill(deadline)? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a message. A response to a HEAD request has no body, whatever its head says
    /// (RFC 9110, section 9.3.2). A response that ends early is returned as not whole.
    pub fn read(&mut self, within: Duration, is_head: bool) -> io::Result<Option<Message>> {
        let deadline = Instant::now() + within;
        let Some(head) = self.read_head(deadline)? else {
            return Ok(None);
        };
        let mut message = Message {
            head,
            body: Vec::new(),
            is_whole: true,
        };
        if is_head {
            return Ok(Some(message));
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        let length: Option<usize> = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let is_request = !message.head.starts_with("HTTP/");
        let result = match (is_chunked, length) {
            (true, _) => self.read_chunks(&mut message.body, deadline),
            (false, Some(length)) => self.take(length, &mut message.body, deadline),
            (false, None) if is_request => Ok(()),
            (false, None) => loop {
                if self.fill(deadline)? == 0 {
                    message.body = std::mem::take(&mut self.rest);
                    break Ok(());
                }
            },
        };
        message.is_whole = result.is_ok();
        Ok(Some(message))
    }

    fn take(&mut self, length: usize, out: &mut Vec<u8>, deadline: Instant) -> io::Result<()> {
        while self.rest.len() < length {
            if self.fill(deadline)? == 0 {
                out.append(&mut self.rest);
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        out.extend(self.rest.drain(..length));
        Ok(())
    }

    fn read_chunks(&mut self, out: &mut Vec<u8>, deadline: Instant) -> io::Result<()> {
        loop {
            let end = loop {
                if let Some(end) = find(&self.rest, b"\r\n") {
                    break end;
                }
                if self.fill(deadline)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line: Vec<u8> = self.rest.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            self.take(size, out, deadline)?;
            self.take(2, &mut Vec::new(), deadline)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

pub fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes
        .windows(needle.len())
        .position(|window| window == needle)
}
