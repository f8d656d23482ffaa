//! Hooks by which a test bench restricts the connections of a router.

use std::net::SocketAddr;
use std::sync::Arc;

/// Policy that decides which addresses the router may connect to. A test bench
/// uses it to block connections.
pub trait Policy: Send + Sync {
    /// Returns whether the router may connect to `address`.
    fn allows(&self, address: SocketAddr) -> bool;
}

/// Policy that allows every connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowAll;

impl Policy for AllowAll {
    fn allows(&self, _address: SocketAddr) -> bool {
        true
    }
}

/// Hooks of one router process.
#[derive(Clone)]
pub struct Hooks {
    /// Policy for connections to other routers, runners and the platform.
    pub policy: Arc<dyn Policy>,
}

impl Hooks {
    /// Creates hooks that allow every connection.
    #[must_use]
    pub fn new() -> Self {
        Hooks {
            policy: Arc::new(AllowAll),
        }
    }

    /// Replaces the policy for outgoing connections.
    #[must_use]
    pub fn with_policy(mut self, policy: Arc<dyn Policy>) -> Self {
        self.policy = policy;
        self
    }
}

impl Default for Hooks {
    fn default() -> Self {
        Self::new()
    }
}
