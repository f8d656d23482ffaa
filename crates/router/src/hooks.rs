//! What a test bench may change about a router's connections.

use std::net::SocketAddr;
use std::sync::Arc;

/// Decides which addresses the router may connect to.
pub trait Link: Send + Sync {
    /// Returns whether a connection to `address` may be used.
    fn is_open(&self, address: SocketAddr) -> bool;
}

/// A link that is always open.
#[derive(Clone, Copy, Debug, Default)]
pub struct Open;

impl Link for Open {
    fn is_open(&self, _address: SocketAddr) -> bool {
        true
    }
}

/// Hooks of one router process.
#[derive(Clone)]
pub struct Hooks {
    /// Connections that the router may use.
    pub link: Arc<dyn Link>,
}

impl Hooks {
    /// Creates hooks that change nothing.
    #[must_use]
    pub fn new() -> Self {
        Hooks {
            link: Arc::new(Open),
        }
    }

    /// Sets the link.
    #[must_use]
    pub fn with_link(mut self, link: Arc<dyn Link>) -> Self {
        self.link = link;
        self
    }
}

impl Default for Hooks {
    fn default() -> Self {
        Self::new()
    }
}
