//! Execution records: what a target really did.
//!
//! Audits read these, so that no promise is checked against the word of a
//! router.

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;

/// How an execution ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum End {
    /// It ran to its end.
    Done,
    /// It ended with an error of its own.
    Failed,
    /// It was cancelled, or nobody came back for its stream.
    Cancelled,
    /// The target crashed or was killed.
    Crashed,
}

/// One execution of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The attempt.
    pub attempt: String,
    /// The request.
    pub request: String,
    /// The workspace.
    pub workspace: String,
    /// Key of a non-idempotent request.
    pub key: Option<String>,
    /// Digest of the body.
    pub digest: Digest,
    /// When it started.
    pub started: Time,
    /// When it ended, `None` while it runs.
    pub finished: Option<Time>,
    /// Cost up to now: tokens at an engine, milliseconds at a plain service.
    pub cost: Cost,
    /// How it ended, `None` while it runs.
    pub end: Option<End>,
    /// Times that its stream was resumed.
    pub resumed: u32,
}
