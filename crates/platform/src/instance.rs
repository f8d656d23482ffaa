//! Entries of the platform's instance list.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use serde::Deserialize;

/// Kind of process that an instance runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Router of the fleet.
    Router,
    /// Runner to which routers send requests.
    Runner,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Instance that is in service.
    Live,
    /// Instance that is about to be removed.
    Leaving,
}

/// Entry of the instance list, which may be outdated.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Entry {
    /// Name of the instance or runner.
    pub name: Instance,
    /// Kind of process that the instance runs.
    pub kind: Kind,
    /// Address on which the instance listens; for a router, the address for
    /// traffic between routers.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Lifecycle state; a leaving instance is about to be removed.
    pub state: State,
}
