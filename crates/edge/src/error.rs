//! Why the process cannot serve.

use displaydoc::Display;

/// A fault that ends the process.
#[derive(Debug, Display)]
pub enum Error {
    /// settings file {path}: {reason}
    Settings {
        /// The file.
        path: String,
        /// Why it cannot be used.
        reason: String,
    },
    /// cannot listen on {address}: {error}
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
    /// {0}
    Metrics(balsamchute_metrics::Error),
    /// event loop: {0}
    Poll(std::io::Error),
}

impl std::error::Error for Error {}
