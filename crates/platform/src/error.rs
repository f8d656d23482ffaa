//! Errors of calls to the platform.

use balsamchute_base::prelude::*;
use displaydoc::Display;

/// Failure of a call to the platform.
#[derive(Debug, Display)]
pub enum Error {
    /// object "{path}" does not exist
    NotFound {
        /// Path of the object.
        path: String,
    },
    /// object "{path}" is at version {current}, not at the expected one
    Conflict {
        /// Path of the object.
        path: String,
        /// Current version of the object, 0 if it does not exist.
        current: u64,
    },
    /// object "{path}" of {bytes} bytes exceeds the platform's size limit
    TooLarge {
        /// Path of the object.
        path: String,
        /// Size of the value in bytes.
        bytes: usize,
    },
    // A write with this error did not take effect.
    /// platform is unavailable for {call}: {reason}
    Unavailable {
        /// Method and path of the call.
        call: String,
        /// Transport error or unexpected status.
        reason: String,
    },
    /// response to {call} was lost; the call may have taken effect: {reason}
    ResponseLost {
        /// Method and path of the call.
        call: String,
        /// Transport error, unexpected status or missing version.
        reason: String,
    },
    /// response to {call} is malformed: {reason}
    Malformed {
        /// Method and path of the call.
        call: String,
        /// Error of the parser, or the header that is missing.
        reason: String,
    },
    /// call budget is exhausted; {call} was not sent
    BudgetExhausted {
        /// Method and path of the call.
        call: String,
        /// Time until the budget allows another call.
        retry_after: Span,
    },
}

impl std::error::Error for Error {}
