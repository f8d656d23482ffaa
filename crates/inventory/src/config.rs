//! The validated configuration that routers run with.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use balsamchute_base::prelude::*;

/// Protocol between routers and the runners of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model engine that streams tokens.
    Engine,
    /// A plain service that returns each response as a whole.
    Plain,
}

/// Settings of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Domain {
    /// Name of the region that contains the failure domain.
    pub region: String,
}

/// Settings of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Protocol that the service's runners speak.
    pub kind: Kind,
}

/// Settings of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Runner {
    /// Service that the runner executes requests of.
    pub service: balsamchute_base::id::Service,
    /// Failure domain that the runner is in.
    pub domain: balsamchute_base::id::Domain,
    /// Address that the runner listens on.
    pub address: SocketAddr,
    /// Maximum number of requests that the runner executes concurrently.
    pub slots: u32,
    /// Whether the runner refuses requests with an outdated fencing number.
    pub fencing: bool,
}

/// Limits of one workspace or one service; `None` if none is configured.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Maximum request rate, in requests per second. As many requests may arrive
    /// at once.
    pub rate: Option<u32>,
    /// Maximum number of running requests.
    pub concurrency: Option<u32>,
    /// Maximum number of waiting requests.
    pub queue: Option<u32>,
}

/// Settings of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkspaceSpec {
    /// Weight in fair queueing against the other workspaces, at least 1.
    pub weight: u32,
    /// Number of home routers that the workspace is spread over, at least 1.
    pub homes: u32,
    /// Limits on the workspace's requests.
    pub limits: Limits,
}

/// A complete configuration. The services and failure domains that its
/// runners refer to exist in it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// Failure domains by name.
    pub domains: BTreeMap<balsamchute_base::id::Domain, Domain>,
    /// Services that requests may call, by name.
    pub services: BTreeMap<balsamchute_base::id::Service, Service>,
    /// Limits by service; a service without an entry has none.
    pub service_limits: BTreeMap<balsamchute_base::id::Service, Limits>,
    /// Runners of all services, by name.
    pub runners: BTreeMap<balsamchute_base::id::Runner, Runner>,
    /// Weight, homes and limits by workspace.
    pub workspaces: BTreeMap<Workspace, WorkspaceSpec>,
}
