//! The checked configuration that routers work with.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use balsamchute_base::prelude::*;

/// What a target of a service speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model engine that streams tokens.
    Engine,
    /// A plain service that answers a call as a whole.
    Plain,
}

/// A failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Domain {
    /// The region that the failure domain lies in.
    pub region: String,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// What its runners speak.
    pub kind: Kind,
}

/// A runner of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Runner {
    /// The service that it serves.
    pub service: balsamchute_base::id::Service,
    /// The failure domain that it runs in.
    pub domain: balsamchute_base::id::Domain,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it refuses work with an old fencing number.
    pub fencing: bool,
}

/// Limits on the work of one workspace or one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Requests a second, with a burst of as many.
    pub rate: Option<u32>,
    /// Requests that run at the same time.
    pub concurrency: Option<u32>,
    /// Requests that wait at the same time.
    pub queue: Option<u32>,
}

/// The share of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Weight among the workspaces, at least 1.
    pub weight: u32,
    /// Number of home routers over which the workspace is spread, at least 1.
    pub homes: u32,
    /// Limits of the workspace.
    pub limits: Limits,
}

/// A whole configuration. Every reference in it names something that exists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// Failure domains.
    pub domains: BTreeMap<balsamchute_base::id::Domain, Domain>,
    /// Services.
    pub services: BTreeMap<balsamchute_base::id::Service, Service>,
    /// Limits of services.
    pub service_limits: BTreeMap<balsamchute_base::id::Service, Limits>,
    /// Runners.
    pub runners: BTreeMap<balsamchute_base::id::Runner, Runner>,
    /// Workspaces.
    pub workspaces: BTreeMap<Workspace, Share>,
}
