//! Bounded label sets.
//!
//! Every label value costs memory for each series until the process ends, so
//! only so many names get a label of their own, in the order in which the
//! configuration lists them. All others share [`OTHER`]. A name keeps its label
//! when a later configuration drops it.

use std::collections::HashMap;
use std::sync::Arc;

/// Label of all names that have none of their own.
pub const OTHER: &str = "other";

/// The names that have a label.
#[derive(Clone, Debug)]
pub struct Labels {
    limit: usize,
    named: HashMap<Arc<str>, Arc<str>>,
    other: Arc<str>,
}

impl Labels {
    /// Creates a set that gives labels to `limit` names.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            named: HashMap::new(),
            other: Arc::from(OTHER),
        }
    }

    /// Gives labels to `names` while there are any left.
    pub fn add<'a, I: IntoIterator<Item = &'a str>>(&mut self, names: I) {
        for name in names {
            if self.named.len() >= self.limit {
                return;
            }
            let label: Arc<str> = Arc::from(name);
            self.named.entry(Arc::clone(&label)).or_insert(label);
        }
    }

    /// Returns the label of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Arc<str> {
        Arc::clone(self.named.get(name).unwrap_or(&self.other))
    }
}
