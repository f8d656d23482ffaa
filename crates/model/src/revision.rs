//! Revisions of the platform's store.

use serde::{Deserialize, Serialize};

/// State of the store that a list or a change belongs to.
///
/// A store that comes back from an older copy counts its revisions on from that
/// copy and gives numbers out again, so revisions are ordered by era first.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Revision {
    /// Number of times that the store came back from an older copy; 0 if the store
    /// does not tell.
    pub era: u64,
    /// Revision counter within the era.
    pub number: u64,
}

impl Revision {
    /// Creates the revision `number` of an era.
    #[must_use]
    pub fn new(era: u64, number: u64) -> Self {
        Revision { era, number }
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
