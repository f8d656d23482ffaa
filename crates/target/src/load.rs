//! Load reports of targets.

use balsamchute_base::prelude::*;
use serde::Deserialize;

/// Load report of a target, which may be outdated by [`Report::age_ms`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Report {
    /// Incarnation of the target; it rises with each restart, which loses all
    /// of the target's state.
    pub incarnation: Incarnation,
    /// Requests that were running when the report was made.
    pub running: u32,
    /// Requests that the target runs concurrently at full speed.
    pub slots: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Names of the loaded models.
    #[serde(default)]
    pub models: Vec<String>,
}
