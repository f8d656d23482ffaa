//! The configuration as stored at the platform and distributed by routers.

use balsamchute_base::digest::Digest;
use serde::{Deserialize, Serialize};

/// One version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Document {
    /// Version number at the platform, 0 if there is no configuration.
    pub version: u64,
    /// Id of the change that created this version. If the answer to the write was
    /// lost, the id shows that the change took effect.
    #[serde(rename = "change")]
    pub change_id: String,
    /// Author of the change.
    pub author: String,
    /// Inventory and rules as YAML.
    pub text: String,
    /// Ids of the preceding changes, newest first, at most [`MAX_PAST_CHANGES`].
    #[serde(default)]
    #[serde(rename = "past")]
    pub past_changes: Vec<String>,
}

/// Number of preceding changes that a document lists. A change whose answer was
/// lost can be identified until this many others have followed it. Every stored
/// document contains these ids.
pub const MAX_PAST_CHANGES: usize = 32;

/// Version and digest of a configuration, without its text.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Stamp {
    /// Version number, 0 if there is no configuration.
    pub version: u64,
    /// Digest of the text, zero for version 0.
    pub digest: Digest,
}
