//! Why a router cannot start.

use std::net::SocketAddr;

use displaydoc::Display;

/// Why a router cannot start.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address} (setting "{setting}"): {reason}
    Listen {
        /// The setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// cannot start a thread: {0}
    Thread(std::io::Error),
    /// cannot handle signals: {0}
    Signal(std::io::Error),
    /// cannot set up metrics: {0}
    Metrics(balsamchute_metrics::Error),
}

impl std::error::Error for Error {}
