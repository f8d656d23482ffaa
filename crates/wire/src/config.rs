//! The configuration as it is stored and passed on.

use balsamchute_base::digest::Digest;
use serde::{Deserialize, Serialize};

/// A version of the configuration with its text.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Document {
    /// Version that the platform gave it, 0 for none.
    pub version: u64,
    /// Id of the change that made it, which settles a lost answer.
    pub change: String,
    /// Who made the change.
    pub author: String,
    /// Inventory and rules in YAML.
    pub text: String,
    /// Ids of the changes before, the newest first, at most [`MAX_PAST`].
    #[serde(default)]
    pub past: Vec<String>,
}

/// Changes that a document remembers. A lost answer can be settled until as
/// many changes have followed.
pub const MAX_PAST: usize = 32;

/// Names a version without carrying it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Stamp {
    /// The version.
    pub version: u64,
    /// Digest of the text.
    pub digest: Digest,
}
