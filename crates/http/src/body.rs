//! Incremental decoding of message bodies.

use crate::error::Error;
use crate::framing::Framing;

/// Maximum length of the trailer section of a chunked body, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Maximum length of a line of a chunked body, in bytes with its CR LF: a chunk
/// size with its extensions, or a trailer field.
const MAX_LINE_BYTES: usize = 4096;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Inside a body of known length, with this many bytes left.
    Length(u64),
    /// Inside a body that extends until the connection closes.
    UntilClose,
    /// Inside the line that holds the size of the next chunk.
    ChunkSize,
    /// Inside the data of a chunk, with this many bytes left.
    ChunkData(u64),
    /// At the CR LF after the data of a chunk.
    ChunkEnd,
    /// Inside the trailer section, which an empty line ends, after this many bytes of
    /// it.
    Trailer(usize),
    /// After the last byte of the body.
    Done,
}

/// Incremental decoder of the body of one message.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
    line: Vec<u8>,
}

impl Decoder {
    /// Creates a decoder at the start of a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Decoder {
            state,
            line: Vec::new(),
        }
    }

    /// Returns whether the end of the body has been decoded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input` and appends the body's content to `out`. Returns the
    /// number of bytes consumed; the bytes after them belong to the next
    /// message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Chunk`] if the chunked coding is malformed.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Error> {
        let mut consumed = 0;
        while consumed < input.len() && !self.is_done() {
            consumed += self.step(&input[consumed..], out)?;
        }
        Ok(consumed)
    }

    /// Handles the end of the connection, which completes a body that is framed
    /// as [`Framing::UntilClose`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] if the body is incomplete.
    pub fn finish(&mut self) -> Result<(), Error> {
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
            State::Length(left) => {
                let consumed = copy_content(left, input, out);
                self.state = match left - consumed as u64 {
                    0 => State::Done,
                    left => State::Length(left),
                };
                Ok(consumed)
            }
            State::ChunkData(left) => {
                let consumed = copy_content(left, input, out);
                self.state = match left - consumed as u64 {
                    0 => State::ChunkEnd,
                    left => State::ChunkData(left),
                };
                Ok(consumed)
            }
            State::ChunkSize | State::ChunkEnd | State::Trailer(_) => self.decode_line(input),
        }
    }

    /// Applies the next line if its end is in the input, and buffers a part of it otherwise.
    fn decode_line(&mut self, input: &[u8]) -> Result<usize, Error> {
        let end = input.iter().position(|&b| b == b'\n');
        let consumed = end.map_or(input.len(), |end| end + 1);
        if self.line.len() + consumed > MAX_LINE_BYTES {
            return Err(Error::Chunk("line is too long"));
        }
        let part = &input[..consumed];
        if end.is_none() {
            self.line.extend_from_slice(part);
        } else if self.line.is_empty() {
            self.apply_line(part)?;
        } else {
            let mut line = std::mem::take(&mut self.line);
            line.extend_from_slice(part);
            self.apply_line(&line)?;
        }
        Ok(consumed)
    }

    /// Applies a line with its CR LF.
    fn apply_line(&mut self, full_line: &[u8]) -> Result<(), Error> {
        let length = full_line.len();
        let line = full_line
            .strip_suffix(b"\r\n")
            .ok_or(Error::Chunk("line does not end with CR LF"))?;
        self.state = match self.state {
            State::ChunkSize => match chunk_size(line)? {
                0 => State::Trailer(0),
                size => State::ChunkData(size),
            },
            State::ChunkEnd if line.is_empty() => State::ChunkSize,
            // The data is not followed by CR LF.
            State::ChunkEnd => return Err(Error::Chunk("data is longer than its size")),
            // Trailer fields are checked and ignored; an empty line ends the section.
            _ if line.is_empty() => State::Done,
            State::Trailer(before) if before + length <= MAX_TRAILER_BYTES => {
                check_trailer(full_line)?;
                State::Trailer(before + length)
            }
            _ => return Err(Error::Chunk("trailer section is too long")),
        };
        Ok(())
    }
}

/// Appends at most `left` bytes of `input` to `out` and returns their number.
fn copy_content(left: u64, input: &[u8], out: &mut Vec<u8>) -> usize {
    let consumed = usize::try_from(left).map_or(input.len(), |left| left.min(input.len()));
    out.extend_from_slice(&input[..consumed]);
    consumed
}

/// Checks the line of a trailer field with its CR LF.
fn check_trailer(line: &[u8]) -> Result<(), Error> {
    // A valid line is only the beginning of a section, which an empty line ends.
    match httparse::parse_headers(line, &mut [httparse::EMPTY_HEADER]) {
        Ok(_) => Ok(()),
        Err(_) => Err(Error::Chunk("trailer field is malformed")),
    }
}

/// Parses the size of a chunk, ignoring its extensions. The size must be a hexadecimal
/// number that fits a `u64`, with blanks only before an extension (RFC 9112, section 7.1.1),
/// and the extensions must not contain control characters other than tab.
fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = match memchr::memchr(b';', line) {
        Some(end) => line[..end].trim_ascii_end(),
        None => line,
    };
    let text = std::str::from_utf8(digits).unwrap_or_default();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Error::Chunk("size is not a hexadecimal number"));
    }
    if line.iter().any(|&b| b.is_ascii_control() && b != b'\t') {
        return Err(Error::Chunk("extension contains a control character"));
    }
    u64::from_str_radix(text, 16).map_err(|_| Error::Chunk("size is too large"))
}
