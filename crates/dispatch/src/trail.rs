//! The audit trail: the last decisions, for operators who ask why.

use std::collections::VecDeque;

use balsamchute_base::prelude::*;
use serde::Serialize;

/// Entries kept.
const CAPACITY: usize = 20_000;

/// One decision.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// When it was taken.
    pub at: Time,
    /// The request that it is about.
    pub request: Request,
    /// The workspace of that request.
    pub workspace: Workspace,
    /// The key of that request.
    pub key: Option<Key>,
    /// What was decided and why.
    pub text: String,
}

/// The last decisions, oldest first.
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

    /// Adds a decision and drops the oldest beyond the capacity.
    pub fn push(&mut self, entry: Entry) {
        if self.entries.len() == CAPACITY {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns the decisions that `wanted` selects, oldest first.
    pub fn select(&self, wanted: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        self.entries
            .iter()
            .filter(|entry| wanted(entry))
            .cloned()
            .collect()
    }
}
