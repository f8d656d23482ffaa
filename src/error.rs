//! Why a command failed, and the exit code that says so.

use std::net::SocketAddr;
use std::process::ExitCode;

use balsamchute_platform::error::Error as Platform;
use balsamchute_platform::operator;
use displaydoc::Display;

/// Exit code of a command line that is wrong.
pub const USAGE: u8 = 2;

/// Exit code of any failure without a code of its own.
const FAILURE: u8 = 1;

/// Exit code of files or settings with faults.
const FAULTS: u8 = 3;

/// Exit code of a change that lost against another operator's.
const RACE: u8 = 4;

/// Exit code of a change that is accepted but not yet in force everywhere.
const WAIT: u8 = 5;

/// Exit code of a change of which it is not known whether it was accepted.
const UNSETTLED: u8 = 6;

/// Exit code if the thing asked for is not known.
const UNKNOWN: u8 = 7;

/// Why a command failed.
#[derive(Debug, Display)]
pub enum Error {
    /// file "{file}" cannot be read: {reason}
    File {
        /// The file.
        file: String,
        /// What went wrong.
        reason: String,
    },
    /// {0} faults in the configuration
    Faults(usize),
    /// settings "{file}" cannot be used: {reason}
    Settings {
        /// The file.
        file: String,
        /// What is wrong.
        reason: String,
    },
    /// router cannot start: {0}
    Serve(balsamchute_router::Error),
    /// router at the edge: {0}
    Edge(balsamchute_edge::Error),
    /// platform: {0}
    Platform(Platform),
    /// platform holds no configuration at "{0}"
    NoConfiguration(&'static str),
    /// platform holds a configuration at "{path}" that cannot be used: {reason}
    Stored {
        /// The path.
        path: &'static str,
        /// What went wrong.
        reason: String,
    },
    /// {0}
    Operator(operator::Error),
    /// version {base} is no longer current, version {current} by {author} is; nothing was changed
    Race {
        /// The version that the change was made from.
        base: u64,
        /// The current version.
        current: u64,
        /// Who made the current version.
        author: String,
    },
    /// version {version} is accepted but not in force everywhere: {behind}
    Wait {
        /// The version.
        version: u64,
        /// Routers that do not report it.
        behind: String,
    },
    /// router {address} does not answer: {reason}
    Router {
        /// The router.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// no router knows a request, workspace or key "{0}"
    Unknown(String),
    /// no router holds the fingerprint "{0}"
    Fingerprint(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Error::Faults(_) | Error::Settings { .. } | Error::File { .. } => FAULTS,
            Error::Race { .. } => RACE,
            Error::Wait { .. } => WAIT,
            Error::Operator(operator::Error::Unsettled(_)) => UNSETTLED,
            Error::Unknown(_) | Error::Fingerprint(_) => UNKNOWN,
            _ => FAILURE,
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
