//! Errors of starting a router.

use std::net::SocketAddr;

use displaydoc::Display;

/// Error that keeps a router from starting.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address} (setting "{setting}"): {reason}
    Listen {
        /// Name of the setting that holds the address.
        setting: &'static str,
        /// Address that the router tried to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        reason: String,
    },
    /// cannot start a thread or an HTTP server: {0}
    Thread(std::io::Error),
    /// cannot install signal handlers: {0}
    Signal(std::io::Error),
    /// cannot set up metrics: {0}
    Metrics(balsamchute_metrics::Error),
}

impl std::error::Error for Error {}
