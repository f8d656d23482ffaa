//! Decoding of bodies as their bytes arrive.

use crate::error::Error;
use crate::framing::Framing;

/// Longest line of a chunk's size with its extensions, or of a trailer field.
const MAX_LINE_BYTES: usize = 4096;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Bytes(u64),
    UntilClose,
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// Decodes one body.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
    line: Vec<u8>,
}

impl Decoder {
    /// Creates a decoder of a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Bytes(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Decoder {
            state,
            line: Vec::new(),
        }
    }

    /// Returns whether the body is whole.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Appends the body's bytes in `input` to `out`. Returns how many bytes of
    /// `input` belong to the message; what follows belongs to the next one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Chunk`] for malformed chunks.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Error> {
        let mut used = 0;
        while used < input.len() && !self.is_done() {
            used += self.step(&input[used..], out)?;
        }
        Ok(used)
    }

    /// Takes in that the connection ended.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] unless the body is whole now.
    pub fn end(&mut self) -> Result<(), Error> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(Error::Truncated),
        }
    }

    fn step(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Error> {
        match self.state {
            State::Done => Ok(0),
            State::UntilClose => {
                out.extend_from_slice(input);
                Ok(input.len())
            }
            State::Bytes(left) => {
                let taken = take(left, input, out);
                self.state = match left - taken as u64 {
                    0 => State::Done,
                    left => State::Bytes(left),
                };
                Ok(taken)
            }
            State::Chunk(left) => {
                let taken = take(left, input, out);
                self.state = match left - taken as u64 {
                    0 => State::ChunkEnd,
                    left => State::Chunk(left),
                };
                Ok(taken)
            }
            State::Size | State::ChunkEnd | State::Trailer => self.line(input),
        }
    }

    /// Collects a line and acts on it once it is whole.
    fn line(&mut self, input: &[u8]) -> Result<usize, Error> {
        let end = input.iter().position(|&b| b == b'\n');
        let taken = end.map_or(input.len(), |end| end + 1);
        self.line.extend_from_slice(&input[..taken]);
        if self.line.len() > MAX_LINE_BYTES {
            return Err(Error::Chunk("line is too long"));
        }
        if end.is_none() {
            return Ok(taken);
        }
        let line = std::mem::take(&mut self.line);
        let line = line
            .strip_suffix(b"\r\n")
            .ok_or(Error::Chunk("line does not end with CR LF"))?;
        self.state = match self.state {
            State::Size => match size(line)? {
                0 => State::Trailer,
                size => State::Chunk(size),
            },
            State::ChunkEnd if line.is_empty() => State::Size,
            State::ChunkEnd => return Err(Error::Chunk("data is longer than its size")),
            _ if line.is_empty() => State::Done,
            _ => State::Trailer,
        };
        Ok(taken)
    }
}

fn take(left: u64, input: &[u8], out: &mut Vec<u8>) -> usize {
    let taken = usize::try_from(left).map_or(input.len(), |left| left.min(input.len()));
    out.extend_from_slice(&input[..taken]);
    taken
}

fn size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|&b| b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    let valid = !text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !valid {
        return Err(Error::Chunk("size is not a hexadecimal number"));
    }
    u64::from_str_radix(text, 16).map_err(|_| Error::Chunk("size is too large"))
}
