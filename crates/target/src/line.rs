//! Lines of an engine's stream.

use serde::Deserialize;

use crate::error::Error;

/// Longest line in bytes.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;

/// One line.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// A token.
    Token {
        /// Its place in the answer.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The end of a whole answer.
    Done {
        /// Always true.
        done: bool,
        /// Number of tokens in the answer.
        tokens: u64,
    },
    /// The end of an answer that failed.
    Failed {
        /// Why.
        error: String,
    },
}

impl Line {
    /// Reads a line, without its line feed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] with the start of the line.
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        match serde_json::from_slice(bytes) {
            Ok(Line::Done { done: false, .. }) | Err(_) => Err(malformed(bytes)),
            Ok(line) => Ok(line),
        }
    }
}

fn malformed(bytes: &[u8]) -> Error {
    const SHOWN_BYTES: usize = 80;
    let start = String::from_utf8_lossy(&bytes[..bytes.len().min(SHOWN_BYTES)]);
    let reason = format!("line {start:?} is no token and no end");
    Error::Malformed { reason }
}
