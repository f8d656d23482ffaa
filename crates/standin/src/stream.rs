//! One generation at an engine and the connection that reads it.

use std::io::{self, Write};

use balsamchute_base::prelude::*;

use crate::prompt::Prompt;

/// Head of a streamed answer.
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

/// Last chunk of a streamed answer.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A connection that reads a stream.
pub type Reader = Box<dyn Write + Send>;

/// A generation.
pub struct Stream {
    /// Place of its record.
    pub place: usize,
    /// What it generates.
    pub prompt: Prompt,
    /// Tokens made up to now, with the fraction of the next; negative while
    /// the prompt is read in.
    pub progress: f64,
    /// The last line, once it has ended.
    pub last_line: Option<String>,
    /// When it ended or lost its reader.
    pub idle_since: Option<Time>,
    reader: Option<Reader>,
    /// Index of the next token to send to the reader.
    next: u64,
}

impl Stream {
    /// Creates a stream without a reader.
    #[must_use]
    pub fn new(place: usize, prompt: Prompt, progress: f64, now: Time) -> Self {
        Self {
            place,
            prompt,
            progress,
            last_line: None,
            idle_since: Some(now),
            reader: None,
            next: 0,
        }
    }

    /// Returns the number of whole tokens made.
    #[must_use]
    pub fn made(&self) -> u64 {
        // A negative progress becomes zero.
        (self.progress as u64).min(self.prompt.tokens)
    }

    /// Whether a reader waits for more.
    #[must_use]
    pub fn has_reader(&self) -> bool {
        self.reader.is_some()
    }

    /// Sends the stream from token `from` to `reader`, instead of to an earlier one.
    pub fn attach(&mut self, mut reader: Reader, from: u64) {
        if reader.write_all(HEAD).is_err() {
            return;
        }
        self.reader = Some(reader);
        self.next = from;
        if self.last_line.is_none() {
            self.idle_since = None;
        }
    }

    /// Ends the stream with a line.
    pub fn end(&mut self, line: String, now: Time) {
        self.last_line = Some(line);
        self.idle_since = Some(now);
    }

    /// Sends what the reader has not got yet.
    pub fn flush(&mut self, now: Time) {
        let Some(mut reader) = self.reader.take() else {
            return;
        };
        match self.send(&mut reader) {
            Ok(true) => {}
            Ok(false) => self.reader = Some(reader),
            Err(_) if self.last_line.is_none() => self.idle_since = Some(now),
            Err(_) => {}
        }
    }

    /// Returns whether the stream is over for the reader.
    fn send(&mut self, reader: &mut Reader) -> io::Result<bool> {
        let (next, made) = (self.next, self.made());
        for index in next..made {
            let text = self.prompt.token(index);
            write_chunk(
                reader,
                &serde_json::json!({"index": index, "text": text}).to_string(),
            )?;
        }
        self.next = next.max(made);
        if let Some(line) = &self.last_line {
            write_chunk(reader, line)?;
            reader.write_all(LAST_CHUNK)?;
        }
        // The head goes out with the first token at the latest.
        reader.flush()?;
        Ok(self.last_line.is_some())
    }
}

fn write_chunk(reader: &mut Reader, line: &str) -> io::Result<()> {
    write!(reader, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
    reader.flush()
}
