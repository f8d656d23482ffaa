//! Estimate of the prompt parts that a runner holds in its prefix cache.

use balsamchute_model::prelude::*;
use indexmap::IndexMap;

use crate::hash::NumberState;

/// Parts tracked for one runner; each takes 24 bytes in this router.
const MAX_PARTS: usize = 2048;

/// Shared prompt parts that this router sent to one runner, least recently used
/// first.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Length in tokens of each part, by `Part::prefix_digest`: the hash of the
    /// prompt up to the end of the part.
    parts: IndexMap<u64, u32, NumberState>,
    /// Sum of the lengths in `parts`.
    tokens: u64,
}

impl Cache {
    /// Creates an empty cache estimate, as for a runner that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the tokens of the longest prompt prefix that the runner has
    /// probably cached.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let cached = prompt
            .parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.prefix_digest));
        cached.map(|part| part.tokens).sum()
    }

    /// Records the shareable parts of a prompt that the runner prefills. Evicts
    /// the least recently used parts beyond `capacity` tokens or `MAX_PARTS`
    /// parts.
    pub fn insert(&mut self, prompt: &Prompt, capacity: u64) {
        for part in prompt.shareable_parts() {
            match self.parts.shift_remove(&part.prefix_digest) {
                Some(_) => {}
                None => self.tokens += u64::from(part.tokens),
            }
            self.parts.insert(part.prefix_digest, part.tokens);
        }
        while self.parts.len() > MAX_PARTS || self.tokens > capacity {
            let Some((_, tokens)) = self.parts.shift_remove_index(0) else {
                break;
            };
            self.tokens -= u64::from(tokens);
        }
    }

    /// Removes all parts, because a restart empties the runner's cache.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}
