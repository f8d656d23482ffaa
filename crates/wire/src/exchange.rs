//! Frames of the periodic gossip exchange between two routers.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::config::Stamp;

/// Lifecycle phase of a router.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Phase {
    /// The router accepts no requests yet.
    Starting,
    /// The router accepts requests.
    Serving,
    /// The router completes its requests and accepts no new ones.
    Leaving,
}

/// State of one router as spread by gossip.
///
/// Of two entries for the same instance, the one with the higher
/// `(incarnation, heartbeat)` is newer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Instance that runs the router.
    pub instance: Instance,
    /// Current incarnation of the router.
    pub incarnation: Incarnation,
    /// Heartbeat counter, raised only by the router itself.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Lifecycle phase of the router.
    pub phase: Phase,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Address at which the router accepts requests of callers.
    pub callers: SocketAddr,
    /// Address at which the router accepts connections of other routers.
    pub inner: SocketAddr,
    /// Version number of the configuration in force at the router, 0 if there is
    /// none.
    pub config: u64,
    /// Summaries of the services for which the router has work or owns runners.
    pub services: Vec<Summary>,
}

/// Queue and slots of one service at one router.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Summary {
    /// Service that the summary is about.
    pub service: Service,
    /// Virtual time of the router's queue, in cost per unit of weight.
    pub virtual_time: f64,
    /// Number of waiting requests that could run now.
    pub backlog: u32,
    /// Sum of the weights of the workspaces that have a waiting request that could
    /// run now.
    pub weight: f64,
    /// Number of free slots of the runners that the router owns.
    pub free: u32,
}

// Summaries contain no NaN: virtual times are sums of finite costs, and weights
// are sums of finite weights.
impl Eq for Summary {}

/// Mark on a runner that is leaving and gets no new requests. A router sets it
/// when the platform's list shows the runner as leaving.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Leaving {
    /// Name of the runner that leaves.
    pub runner: Runner,
    /// Address of the runner that leaves. The mark does not apply to a runner of
    /// the same name at another address, which is a new process.
    pub address: SocketAddr,
}

/// Suspected failure of a router after a failed exchange with it.
///
/// The router counts as dead unless a higher heartbeat of it arrives within the
/// failure timeout (`failure_timeout` in the settings of
/// `balsamchute_dispatch`).
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Doubt {
    /// Router that is suspected to have failed.
    pub instance: Instance,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Highest heartbeat of that router known to the one that suspects it.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

/// Request fingerprint with the target crashes attributed to it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Suspect {
    /// Digest of workspace, service and body, independent of request id and key.
    pub fingerprint: u128,
    /// Ids of the attempts during which the target crashed, or names of the processes that
    /// crashed.
    pub crashes: Vec<Attempt>,
    /// Number of times that the crashes were voided, for example by an operator.
    /// Of two entries, the one with more releases replaces the other.
    pub releases: u32,
}

/// Data that one router sends in an exchange.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Frame {
    /// Router that sends the frame.
    pub from: Instance,
    /// Configuration in force at the sender.
    pub config: Stamp,
    /// Entries of the sender, which comes first, and of other routers.
    pub members: Vec<Member>,
    /// Routers that are suspected to have failed.
    pub doubts: Vec<Doubt>,
    /// Marks of the runners that are leaving.
    pub leaving: Vec<Leaving>,
    /// Fingerprints of requests that may crash their targets.
    pub suspects: Vec<Suspect>,
}
