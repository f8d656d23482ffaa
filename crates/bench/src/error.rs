//! Why a bench run could not be made.

use displaydoc::Display;

/// An error of the bench itself, not of what it measures.
#[derive(Debug, Display)]
pub enum Error {
    /// no loopback ports are free
    Ports,
    /// cannot start {what}: {reason}
    Start {
        /// What was started.
        what: String,
        /// Why it did not start.
        reason: String,
    },
    /// router "{0}" does not exist
    Router(String),
    /// router "{router}" did not become {state} within {seconds} s
    Late {
        /// The router.
        router: String,
        /// The state that was waited for.
        state: &'static str,
        /// How long.
        seconds: u64,
    },
    /// cannot signal router "{router}": {reason}
    Signal {
        /// The router.
        router: String,
        /// Why.
        reason: String,
    },
    /// cannot store the configuration: {0}
    Config(String),
    /// cannot read "{path}": {reason}
    Read {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// cannot write "{path}": {reason}
    Write {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// workload "{path}": {reason}
    Workload {
        /// The file.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// size "{name}" is {value}: {reason}
    Size {
        /// The size.
        name: &'static str,
        /// Its value.
        value: u64,
        /// What is wrong with it.
        reason: String,
    },
}

impl std::error::Error for Error {}
