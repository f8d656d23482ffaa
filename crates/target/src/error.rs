//! Errors of calls to targets.

use displaydoc::Display;

/// Why a call to a target did not succeed.
#[derive(Clone, Debug, Eq, PartialEq, Display)]
pub enum Error {
    /// target was not reached, nothing was sent: {reason}
    NotSent {
        /// What went wrong.
        reason: String,
    },
    /// target refused the request and attests that it did not run: {reason}
    Refused {
        /// What the target said.
        reason: String,
    },
    /// request may have run: {reason}
    MayHaveRun {
        /// What went wrong.
        reason: String,
    },
    /// target answered with an error: {reason}
    Answered {
        /// What the target said.
        reason: String,
    },
    /// target crashed after {tokens} tokens
    Crashed {
        /// Tokens received before.
        tokens: u64,
    },
    /// answer was cut after {tokens} tokens: {reason}
    Cut {
        /// Tokens received before.
        tokens: u64,
        /// What went wrong.
        reason: String,
    },
    /// request was cancelled after {tokens} tokens
    Cancelled {
        /// Tokens received before.
        tokens: u64,
    },
    /// answer is malformed: {reason}
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// order has an old fencing number, the target has seen {fence}
    Fenced {
        /// Highest number that the target has seen.
        fence: u64,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the request may have run, at least in part.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Error::NotSent { .. } | Error::Refused { .. } | Error::Fenced { .. } => false,
            Error::MayHaveRun { .. }
            | Error::Answered { .. }
            | Error::Crashed { .. }
            | Error::Cut { .. }
            | Error::Cancelled { .. }
            | Error::Malformed { .. } => true,
        }
    }
}
