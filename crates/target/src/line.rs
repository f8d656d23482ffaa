//! JSON lines of an engine's token stream.

use serde::Deserialize;

use crate::error::Error;

/// Maximum length of a line with its line feed, in bytes.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Line of a token stream.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// Token of the answer.
    Token {
        /// Position of the token in the answer, from 0.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// End of a complete answer.
    Done {
        /// Marker of the end line, always true.
        done: bool,
        /// Number of tokens in the answer.
        tokens: u64,
    },
    /// End of an answer that failed at the engine.
    Failed {
        /// Error message of the engine.
        error: String,
    },
}

impl Line {
    /// Parses a line without its line feed.
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
    const MAX_EXCERPT_BYTES: usize = 80;
    let excerpt = String::from_utf8_lossy(&bytes[..bytes.len().min(MAX_EXCERPT_BYTES)]);
    let reason = format!("line {excerpt:?} is no token and no end");
    Error::Malformed { reason }
}
