//! The settings of one process, as the platform hands them out.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;

/// Time and rate bounds that the operator promises or asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Span,
    /// Repeats for each request to a service, over all routers.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window: Span,
    /// Repeats in a window beyond the ratio, over all routers.
    pub retry_slack: u32,
    /// Window in which workspaces are owed their shares.
    pub share_window: Span,
    /// Longest time that callers keep a list of routers.
    pub address_ttl: Span,
}

/// What the machine gives the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Memory in bytes; the process is killed above it.
    pub memory_bytes: u64,
    /// File descriptors.
    pub descriptors: usize,
}

/// Addresses that the process listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the platform.
    pub ready: SocketAddr,
    /// Questions which router to use.
    pub directory: SocketAddr,
    /// Calls and datagrams of other routers.
    pub peers: SocketAddr,
    /// Reads of the metrics.
    pub metrics: SocketAddr,
}

/// All settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: Instance,
    /// Failure domain of the instance.
    pub domain: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Routers to ask first; some may be down.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Bounds.
    pub bounds: Bounds,
    /// Limits of the machine.
    pub machine: Machine,
}
