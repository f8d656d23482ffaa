//! Errors of calls to targets.

use displaydoc::Display;

/// Failure of a call to a target.
#[derive(Clone, Debug, Eq, PartialEq, Display)]
pub enum Error {
    /// target was not reached, nothing was sent: {reason}
    NotSent {
        /// Error that prevented the request from being sent.
        reason: String,
    },
    /// target refused the request and attests that it did not run: {reason}
    Refused {
        /// Status and body of the response.
        reason: String,
    },
    /// request may have run: {reason}
    MayHaveRun {
        /// Error because of which there is no complete response.
        reason: String,
    },
    /// target answered with an error: {reason}
    ErrorResponse {
        /// Status and body of the response, or the error line of the stream.
        reason: String,
    },
    /// target crashed after {tokens} tokens
    Crashed {
        /// Tokens received before the crash.
        tokens: u64,
    },
    /// answer was cut after {tokens} tokens: {reason}
    Interrupted {
        /// Tokens received before the stream was lost.
        tokens: u64,
        /// Error of the last attempt to read or resume the stream.
        reason: String,
    },
    /// request was cancelled after {tokens} tokens
    Cancelled {
        /// Tokens received before the cancellation.
        tokens: u64,
    },
    /// answer is malformed: {reason}
    Malformed {
        /// Error of the parser, or the start of the malformed line.
        reason: String,
    },
    /// order has an outdated fencing number; the target has seen {fence}
    Fenced {
        /// Highest fencing number that the target has seen.
        fence: u64,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the request may have run, at least in part.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Error::NotSent { .. } | Error::Refused { .. } | Error::Fenced { .. } => false,
            Error::MayHaveRun { .. }
            | Error::ErrorResponse { .. }
            | Error::Crashed { .. }
            | Error::Interrupted { .. }
            | Error::Cancelled { .. }
            | Error::Malformed { .. } => true,
        }
    }
}
