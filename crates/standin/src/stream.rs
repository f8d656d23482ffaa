//! Generation at an engine, streamed to a client connection.

use std::io::{self, Write};

use balsamchute_base::prelude::*;

use crate::prompt::Prompt;

/// Response head of a stream.
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

/// Final chunk of a stream, in chunked transfer coding.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Connection to the client that receives a stream.
pub type Client = Box<dyn Write + Send>;

/// Generation in progress or ended.
pub struct Stream {
    /// Index of the execution record in the ledger.
    pub record_index: usize,
    /// Prompt of the request.
    pub prompt: Prompt,
    /// Number of tokens generated so far, including the fraction of the next;
    /// negative during the prefill.
    pub progress: f64,
    /// Last line of the stream, `None` until the generation has ended.
    pub last_line: Option<String>,
    /// Time at which the generation ended or lost its client; `None` while a
    /// client reads a running generation.
    pub idle_since: Option<Time>,
    client: Option<Client>,
    /// Index of the next token to send to the client.
    next_index: u64,
}

impl Stream {
    /// Creates a stream without a client.
    #[must_use]
    pub fn new(record_index: usize, prompt: Prompt, progress: f64, now: Time) -> Self {
        Self {
            record_index,
            prompt,
            progress,
            last_line: None,
            idle_since: Some(now),
            client: None,
            next_index: 0,
        }
    }

    /// Returns the number of complete tokens generated so far.
    #[must_use]
    pub fn generated_tokens(&self) -> u64 {
        // The cast turns negative progress into zero.
        (self.progress as u64).min(self.prompt.tokens)
    }

    /// Returns whether a client is attached.
    #[must_use]
    pub fn has_client(&self) -> bool {
        self.client.is_some()
    }

    /// Sends the stream to `client` from token `from_index` on, replacing an
    /// earlier client.
    pub fn attach(&mut self, mut client: Client, from_index: u64) {
        if client.write_all(RESPONSE_HEAD).is_err() {
            return;
        }
        self.client = Some(client);
        self.next_index = from_index;
        if self.last_line.is_none() {
            self.idle_since = None;
        }
    }

    /// Ends the generation with `line` as the last line of the stream.
    pub fn end(&mut self, line: String, now: Time) {
        self.last_line = Some(line);
        self.idle_since = Some(now);
    }

    /// Sends the pending tokens to the client. Detaches the client at the end of
    /// the stream or on an error.
    pub fn flush(&mut self, now: Time) {
        let Some(mut client) = self.client.take() else {
            return;
        };
        match self.send_pending(&mut client) {
            Ok(true) => {}
            Ok(false) => self.client = Some(client),
            Err(_) if self.last_line.is_none() => self.idle_since = Some(now),
            Err(_) => {}
        }
    }

    /// Returns whether the whole stream has been sent.
    fn send_pending(&mut self, client: &mut Client) -> io::Result<bool> {
        let (next_index, generated) = (self.next_index, self.generated_tokens());
        for index in next_index..generated {
            let text = self.prompt.token_text(index);
            write_chunk(
                client,
                &serde_json::json!({"index": index, "text": text}).to_string(),
            )?;
        }
        self.next_index = next_index.max(generated);
        if let Some(line) = &self.last_line {
            write_chunk(client, line)?;
            client.write_all(LAST_CHUNK)?;
        }
        // Flushes the response head even if no token is due yet.
        client.flush()?;
        Ok(self.last_line.is_some())
    }
}

fn write_chunk(client: &mut Client, line: &str) -> io::Result<()> {
    write!(client, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
    client.flush()
}
