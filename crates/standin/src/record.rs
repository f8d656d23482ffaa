//! Execution records: what a target actually executed.
//!
//! Audits check guarantees against these records instead of trusting the routers'
//! own reports.

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;

/// Outcome of an execution.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Completed without an error of the target.
    Done,
    /// Ended with an error of the target.
    Failed,
    /// Cancelled by a call, or because its stream had no client for too long.
    Cancelled,
    /// Interrupted by a crash or kill of the target.
    Crashed,
}

/// One execution of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// ID of the attempt.
    pub attempt: String,
    /// ID of the request.
    pub request: String,
    /// Workspace of the request.
    pub workspace: String,
    /// Idempotency key of a non-idempotent request.
    pub key: Option<String>,
    /// Digest of the request body.
    pub digest: Digest,
    /// Time at which the execution started.
    pub started_at: Time,
    /// End time, `None` while the execution is running.
    pub finished_at: Option<Time>,
    /// Cost incurred so far: tokens at an engine, milliseconds at a plain
    /// service.
    pub cost: Cost,
    /// Outcome, `None` while the execution is running.
    pub outcome: Option<Outcome>,
    /// Number of times that the stream was resumed.
    pub resumptions: u32,
}
