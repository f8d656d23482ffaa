//! What a request says of the work that it asks a model engine for.

use smallvec::SmallVec;

/// A part of a prompt, which other requests may begin with too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Digest of the part and of all parts before it.
    pub chain: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The size of a model request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the whole prompt.
    pub tokens_in: u32,
    /// Most tokens that the answer may have.
    pub tokens_out: u32,
    /// The caller's estimate of the answer's tokens.
    pub expected_out: Option<u32>,
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: SmallVec<[Part; 4]>,
}

impl Prompt {
    /// Creates a prompt from the ids and sizes of its parts.
    #[must_use]
    pub fn new(tokens_in: u32, tokens_out: u32, parts: &[(u64, u32)]) -> Self {
        let mut chain = 0;
        let parts = parts.iter().map(|&(id, tokens)| {
            chain = chained(chain, id);
            Part { chain, tokens }
        });
        Prompt {
            tokens_in,
            tokens_out,
            expected_out: None,
            parts: parts.collect(),
        }
    }

    /// Adds the caller's estimate of the answer's length in tokens.
    #[must_use]
    pub fn with_expected_out(mut self, tokens: Option<u32>) -> Self {
        self.expected_out = tokens;
        self
    }

    /// Returns the parts that other requests may share: all but the last.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the tokens that the answer probably has.
    #[must_use]
    pub fn likely_out(&self) -> u32 {
        match self.expected_out {
            Some(tokens) => tokens.clamp(1, self.tokens_out.max(1)),
            None => self.tokens_out,
        }
    }
}

/// Returns the digest of a chain of parts that `id` is added to.
fn chained(chain: u64, id: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chain.to_le_bytes());
    bytes[8..].copy_from_slice(&id.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
