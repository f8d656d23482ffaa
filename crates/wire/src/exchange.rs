//! The periodic exchange between two routers.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::config::Stamp;

/// Where a router stands in its life.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Phase {
    /// It takes no requests yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It finishes what it has and takes no new requests.
    Leaving,
}

/// What is known of one router.
///
/// Of two entries for the same instance, the one with the higher
/// `(incarnation, beat)` is newer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// The instance.
    pub instance: Instance,
    /// Its current life.
    pub incarnation: Incarnation,
    /// Heartbeat counter, which only the instance itself raises.
    pub beat: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other routers reach it.
    pub inner: SocketAddr,
    /// The configuration that it has in force.
    pub config: u64,
    /// Its summary for each service that it has work for or runners of.
    pub services: Vec<Summary>,
}

/// What a router publishes about one service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Summary {
    /// The service.
    pub service: Service,
    /// Virtual time of its queue, in cost for each unit of weight.
    pub virtual_time: f64,
    /// Requests that wait and could run.
    pub backlog: u32,
    /// Sum of the weights of workspaces that have requests waiting.
    pub weight: f64,
    /// Free slots that it owns.
    pub free: u32,
}

// Summaries hold no NaN: virtual times are sums of finite costs.
impl Eq for Summary {}

/// A runner that leaves, as seen by some router in the platform's list.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Leaving {
    /// The runner.
    pub runner: Runner,
    /// The address at which it leaves; another address is another life.
    pub address: SocketAddr,
}

/// A router that did not answer some other router.
///
/// It counts as dead unless a higher heartbeat of it is seen in time.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Doubt {
    /// The router.
    pub instance: Instance,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its highest heartbeat known to the router that doubts.
    pub beat: u64,
}

/// A request fingerprint with the crashes that it was part of.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Suspect {
    /// Digest of workspace, service and body.
    pub fingerprint: u128,
    /// Attempts that ended in a crash of the target, by attempt id.
    pub crashes: Vec<Attempt>,
    /// Times that an operator released it, which voids earlier crashes.
    pub releases: u32,
}

/// One side of an exchange.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Frame {
    /// The sender.
    pub from: Instance,
    /// The configuration that the sender has.
    pub config: Stamp,
    /// The sender and other routers, the sender first.
    pub members: Vec<Member>,
    /// Routers that did not answer.
    pub doubts: Vec<Doubt>,
    /// Runners that leave.
    pub leaving: Vec<Leaving>,
    /// Fingerprints under suspicion.
    pub suspects: Vec<Suspect>,
}
