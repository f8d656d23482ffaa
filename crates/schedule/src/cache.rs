//! Which prompt parts a runner probably keeps in memory.

use balsamchute_model::prelude::*;
use indexmap::IndexMap;

/// Parts remembered for one runner; a part costs 24 bytes here.
const MAX_PARTS: usize = 2048;

/// Prompt parts that this router sent to one runner, least recent first.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: IndexMap<u64, u32>,
    tokens: u64,
}

impl Cache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the tokens at the start of the prompt that the runner keeps.
    #[must_use]
    pub fn kept(&self, prompt: &Prompt) -> u32 {
        let kept = prompt
            .parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.chain));
        kept.map(|part| part.tokens).sum()
    }

    /// Records that the runner reads this prompt; it keeps at most `capacity`
    /// tokens, and the least recently used ones yield.
    pub fn read(&mut self, prompt: &Prompt, capacity: u64) {
        for part in prompt.shared() {
            match self.parts.shift_remove(&part.chain) {
                Some(_) => {}
                None => self.tokens += u64::from(part.tokens),
            }
            self.parts.insert(part.chain, part.tokens);
        }
        while self.parts.len() > MAX_PARTS || self.tokens > capacity {
            let Some((_, tokens)) = self.parts.shift_remove_index(0) else {
                break;
            };
            self.tokens -= u64::from(tokens);
        }
    }

    /// Forgets everything, after the runner restarted.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}
