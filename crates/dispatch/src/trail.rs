//! Audit trail: the most recent decisions, kept for operators.

use std::collections::VecDeque;

use balsamchute_base::prelude::*;
use serde::Serialize;

/// Maximum number of decisions kept; the oldest are dropped first.
const MAX_ENTRIES: usize = 20_000;

/// A decision about a request.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Time of the decision.
    pub at: Time,
    /// Id of the request that the decision is about.
    pub request: Request,
    /// Workspace of the request.
    pub workspace: Workspace,
    /// Idempotency key of the request, `None` for an idempotent one.
    pub key: Option<Key>,
    /// Decision and its reason.
    pub text: String,
}

/// Most recent decisions, oldest first.
#[derive(Debug, Default)]
pub struct Trail {
    entries: VecDeque<Entry>,
}

impl Trail {
    /// Creates an empty trail.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a decision, and drops the oldest one at capacity.
    pub fn push(&mut self, entry: Entry) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns the decisions that `matches` selects, oldest first.
    pub fn select(&self, matches: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        self.entries
            .iter()
            .filter(|entry| matches(entry))
            .cloned()
            .collect()
    }
}
