//! Bounds on the number of label values.
//!
//! Every label value adds a series to each metric with the label, and a series
//! occupies memory until the process ends.
//! Therefore only a limited number of names get a label of their own, in the
//! order in which they are added. All others share [`OTHER`]. A
//! name keeps its label when a later configuration drops it.

use std::collections::HashMap;
use std::sync::Arc;

/// Label shared by all names without a label of their own.
pub const OTHER: &str = "other";

/// Names that have a label of their own, up to a limit.
#[derive(Clone, Debug)]
pub struct Allowlist {
    limit: usize,
    labels: HashMap<Arc<str>, Arc<str>>,
    other: Arc<str>,
}

impl Allowlist {
    /// Creates an empty list that takes up to `limit` names.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            labels: HashMap::new(),
            other: Arc::from(OTHER),
        }
    }

    /// Adds `names` in their order until the limit is reached.
    pub fn add<'a, I: IntoIterator<Item = &'a str>>(&mut self, names: I) {
        for name in names {
            if self.labels.len() >= self.limit {
                return;
            }
            let label: Arc<str> = Arc::from(name);
            self.labels.entry(Arc::clone(&label)).or_insert(label);
        }
    }

    /// Returns the label of `name`, which is [`OTHER`] unless the name was added.
    #[must_use]
    pub fn label(&self, name: &str) -> Arc<str> {
        Arc::clone(self.labels.get(name).unwrap_or(&self.other))
    }
}
