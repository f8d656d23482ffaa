//! Entries of the platform's list of instances.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use serde::Deserialize;

/// What an instance runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A router.
    Router,
    /// A runner.
    Runner,
}

/// Whether an instance is about to go.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is live.
    Live,
    /// It leaves.
    Leaving,
}

/// An entry of the list, which lags behind what is so.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Entry {
    /// Name of the instance or runner.
    pub name: Instance,
    /// What it runs.
    pub kind: Kind,
    /// Where it listens; for a router, where other routers reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether it leaves.
    pub state: State,
}
