//! Errors that prevent the process from serving.

use displaydoc::Display;

/// An error that ends the process.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot use settings file {path}: {reason}
    Settings {
        /// Path of the settings file.
        path: String,
        /// Description of the read or parse error.
        reason: String,
    },
    /// cannot listen on {address}: {error}
    Listen {
        /// Configured address of the listener.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// {0}
    Metrics(balsamchute_metrics::Error),
    /// cannot set up or run the event loop: {0}
    Poll(std::io::Error),
}

impl std::error::Error for Error {}
