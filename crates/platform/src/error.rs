//! Errors of calls to the platform.

use balsamchute_base::prelude::*;
use displaydoc::Display;

/// Why a call did not succeed.
#[derive(Debug, Display)]
pub enum Error {
    /// object "{path}" does not exist
    NotFound {
        /// The path.
        path: String,
    },
    /// object "{path}" is at version {current}, not at the expected one
    Conflict {
        /// The path.
        path: String,
        /// Version that the object has, 0 if it does not exist.
        current: u64,
    },
    /// object "{path}" of {bytes} bytes is larger than the platform takes
    TooLarge {
        /// The path.
        path: String,
        /// Size of the value in bytes.
        bytes: usize,
    },
    // A write with this error did not take effect.
    /// platform is unavailable for {call}: {reason}
    Unavailable {
        /// Method and path.
        call: String,
        /// What went wrong.
        reason: String,
    },
    /// answer to {call} was lost, it may have taken effect: {reason}
    AnswerLost {
        /// Method and path.
        call: String,
        /// What went wrong.
        reason: String,
    },
    /// answer to {call} is malformed: {reason}
    Malformed {
        /// Method and path.
        call: String,
        /// What is wrong with it.
        reason: String,
    },
    /// call budget is spent, {call} was not sent
    Budget {
        /// Method and path.
        call: String,
        /// When the budget allows a call again.
        wait: Span,
    },
}

impl std::error::Error for Error {}
