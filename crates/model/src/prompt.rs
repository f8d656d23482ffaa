//! Size and composition of prompts, as declared by callers of model requests.

use smallvec::SmallVec;

/// Segment of a prompt; prompts with a common prefix begin with the same segments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Id that the caller gave this part; the same in all prompts that contain it.
    pub id: u64,
    /// Digest of the ids of this part and of all parts before it.
    pub prefix_digest: u64,
    /// Length of this part in tokens.
    pub tokens: u32,
}

/// Prompt length and output limit of a model request, as declared by the caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the whole prompt in tokens.
    pub input_tokens: u32,
    /// Limit on the length of the response, in tokens.
    pub max_output_tokens: u32,
    /// Length of the response in tokens, as estimated by the caller.
    pub output_estimate: Option<u32>,
    /// Parts in order. The last one is specific to the request or its session, and
    /// is not shared with other callers.
    pub parts: SmallVec<[Part; 4]>,
}

impl Prompt {
    /// Creates a prompt of `input_tokens` tokens with at most `max_output_tokens`
    /// tokens of output. Each part is given as its id and its length in tokens; the
    /// sum of these lengths is not compared with `input_tokens`.
    #[must_use]
    pub fn new(input_tokens: u32, max_output_tokens: u32, parts: &[(u64, u32)]) -> Self {
        let mut prefix_digest = 0;
        let parts = parts.iter().map(|&(id, tokens)| {
            prefix_digest = extend_digest(prefix_digest, id);
            Part {
                id,
                prefix_digest,
                tokens,
            }
        });
        Prompt {
            input_tokens,
            max_output_tokens,
            output_estimate: None,
            parts: parts.collect(),
        }
    }

    /// Sets the caller's estimate of the response length in tokens.
    #[must_use]
    pub fn with_output_estimate(mut self, tokens: Option<u32>) -> Self {
        self.output_estimate = tokens;
        self
    }

    /// Returns the parts that other requests may have in common: all but the last.
    #[must_use]
    pub fn shareable_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the expected length of the response in tokens: the caller's estimate,
    /// cut to the limit and raised to at least one, or else the limit.
    #[must_use]
    pub fn expected_output_tokens(&self) -> u32 {
        match self.output_estimate {
            Some(tokens) => tokens.clamp(1, self.max_output_tokens.max(1)),
            None => self.max_output_tokens,
        }
    }
}

/// Returns the digest of a sequence of parts with digest `prefix_digest` after
/// appending the part `id`.
fn extend_digest(prefix_digest: u64, id: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&prefix_digest.to_le_bytes());
    bytes[8..].copy_from_slice(&id.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
