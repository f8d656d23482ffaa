//! Errors of the commands and the exit codes that they map to.

use std::net::SocketAddr;
use std::process::ExitCode;

use balsamchute_platform::error::Error as Platform;
use balsamchute_platform::operator;
use displaydoc::Display;

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for failures that have no code of their own.
const EXIT_FAILURE: u8 = 1;

/// Exit code for files or settings that are invalid or cannot be read.
const EXIT_INVALID: u8 = 3;

/// Exit code for a change that was rejected because another one was stored first.
const EXIT_CONFLICT: u8 = 4;

/// Exit code for an accepted change that is not in force at every router yet.
const EXIT_NOT_IN_FORCE: u8 = 5;

/// Exit code if it is unknown whether a change was accepted.
const EXIT_UNCONFIRMED: u8 = 6;

/// Exit code if the requested item was not found.
const EXIT_NOT_FOUND: u8 = 7;

/// Error that ends a command.
#[derive(Debug, Display)]
pub enum Error {
    /// file "{file}" cannot be read: {reason}
    File {
        /// Path as given on the command line.
        file: String,
        /// Error of the file system.
        reason: String,
    },
    /// the configuration is invalid, number of faults: {0}
    InvalidConfig(usize),
    /// settings file "{file}" is invalid: {reason}
    InvalidSettings {
        /// Path as given on the command line.
        file: String,
        /// First error in the settings, with its line or field.
        reason: String,
    },
    /// router cannot start: {0}
    Serve(balsamchute_router::Error),
    /// edge router failed: {0}
    Edge(balsamchute_edge::Error),
    /// request to the platform failed: {0}
    Platform(Platform),
    /// the platform has no configuration at "{0}"
    NoConfiguration(&'static str),
    /// the configuration at "{path}" on the platform is invalid: {reason}
    InvalidStored {
        /// Name of the object on the platform.
        path: &'static str,
        /// First error in the configuration.
        reason: String,
    },
    /// {0}
    Operator(operator::Error),
    /// the change is based on version {base}, but version {current} by {author} is current; nothing was changed
    Conflict {
        /// Version that the change is based on.
        base: u64,
        /// Version that is current on the platform.
        current: u64,
        /// Author of the current version.
        author: String,
    },
    /// version {version} is accepted but not in force at every router: {lagging}
    NotInForce {
        /// Version of the accepted change.
        version: u64,
        /// Routers that do not report the version, each with the reason.
        lagging: String,
    },
    /// request to router {address} failed: {reason}
    Router {
        /// Address that the request was sent to.
        address: SocketAddr,
        /// Transport error, unexpected status or malformed body.
        reason: String,
    },
    /// no request, workspace or key "{0}" was found
    NotFound(String),
    /// no router has fingerprint "{0}" in quarantine
    UnknownFingerprint(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit code that the process ends with for this error.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Error::InvalidConfig(_)
            | Error::InvalidSettings { .. }
            | Error::File { .. }
            | Error::Edge(balsamchute_edge::Error::Settings { .. }) => EXIT_INVALID,
            Error::Conflict { .. } => EXIT_CONFLICT,
            Error::NotInForce { .. } => EXIT_NOT_IN_FORCE,
            Error::Operator(operator::Error::Unconfirmed(_)) => EXIT_UNCONFIRMED,
            Error::NotFound(_) | Error::UnknownFingerprint(_) => EXIT_NOT_FOUND,
            _ => EXIT_FAILURE,
        };
        code.into()
    }
}

impl From<Platform> for Error {
    fn from(error: Platform) -> Self {
        Error::Platform(error)
    }
}

impl From<balsamchute_router::Error> for Error {
    fn from(error: balsamchute_router::Error) -> Self {
        Error::Serve(error)
    }
}

impl From<operator::Error> for Error {
    fn from(error: operator::Error) -> Self {
        Error::Operator(error)
    }
}

impl From<balsamchute_edge::Error> for Error {
    fn from(error: balsamchute_edge::Error) -> Self {
        Error::Edge(error)
    }
}
