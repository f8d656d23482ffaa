//! Settings of a router process.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;

/// Bounds that the operator sets on times and retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time that the platform waits between SIGTERM and SIGKILL.
    pub termination_grace: Span,
    /// Retry budget as the ratio of retries to requests of a service, over all
    /// routers.
    pub retry_ratio: f64,
    /// Window over which the retry budget is counted.
    pub retry_window: Span,
    /// Retries per window that are allowed in addition to the ratio, over all
    /// routers.
    pub retry_slack: u32,
    /// Window over which the served cost of each workspace is compared with its fair
    /// share.
    pub share_window: Span,
    /// Longest time that callers may cache a list of routers.
    pub address_ttl: Span,
    /// Longest time from the confirmation of a manifest until it is in force.
    pub manifest_change: Span,
    /// Longest time from the report that a runner drains until it gets no more requests.
    pub runner_drain: Span,
    /// Longest time from the confirmation of an evacuation until it is in force; `None`
    /// where the platform has no evacuations.
    pub evacuation: Option<Span>,
    /// Requests to a cold runner in any one second over all routers, as a ratio of those
    /// that its service sustains.
    pub cold_ratio: f64,
    /// Requests to a cold runner in any one second that are allowed in addition.
    pub cold_slack: f64,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Memory limit in bytes; the process is killed above it.
    pub memory_bytes: u64,
    /// Limit on open file descriptors.
    pub descriptors: usize,
    /// Processor time per second, in thousandths of a core.
    pub millicores: u32,
}

/// Addresses that the process listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness checks of the platform.
    pub ready: SocketAddr,
    /// Address at which callers look up the routers.
    pub directory: SocketAddr,
    /// Address for calls and datagrams of other routers.
    pub peers: SocketAddr,
    /// Address for scrapes of the metrics.
    pub metrics: SocketAddr,
}

/// Settings of a router process, as decoded from its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the router instance that the process runs.
    pub instance: Instance,
    /// Failure domain that this instance is in.
    pub domain: String,
    /// Failure domains of the deployment; may be empty.
    pub domains: Vec<String>,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Addresses of machines with routers to contact first; some may be down. The
    /// port is ignored: routers use that of `listen.peers`.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Writes per second that the store accepts from all routers together.
    pub store_writes_per_s: f64,
    /// Whether the fleet starts for the first time, so that no stream began before.
    pub bootstrap: bool,
    /// Interval at which a runner writes to the store that it is alive.
    pub heartbeat: Span,
    /// Bounds that the operator sets.
    pub bounds: Bounds,
    /// Limits on the memory and file descriptors of the process.
    pub resource_limits: ResourceLimits,
}
