//! Load reports.

use balsamchute_base::prelude::*;
use serde::Deserialize;

/// What a target says of its load, late.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Load {
    /// Its current life; a higher one has forgotten everything.
    pub incarnation: Incarnation,
    /// Requests that ran when the report was made.
    pub running: u32,
    /// Requests that it runs at full speed.
    pub slots: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Models that are loaded.
    #[serde(default)]
    pub models: Vec<String>,
}
