//! Messages exchanged between routers, encoded as MessagePack.

use std::net::SocketAddr;

use balsamchute_model::prelude::*;
use balsamchute_schedule::evacuation;
use balsamchute_schedule::report::{Begun, Report};
use serde::{Deserialize, Serialize};

/// HTTP path at which a router serves its [`View`] to other routers.
pub(crate) const VIEW_PATH: &str = "/inner/view";

/// Upper bound of the datagram size in bytes, below the UDP limit of 65,507.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Lifecycle phase of a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Phase {
    /// The manifest and the runner list are not loaded yet; requests are
    /// rejected.
    Starting,
    /// The router accepts requests.
    Serving,
    /// The router finishes its requests and exits.
    Leaving,
}

/// Identity, addresses and state that a router publishes to its peers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Descriptor {
    /// Name of the router instance.
    pub instance: Instance,
    /// Wall-clock time at which the process started; distinguishes restarts.
    pub incarnation: u64,
    /// Failure domain of the router's machine.
    pub domain: String,
    /// Listen address for requests of callers.
    pub callers: SocketAddr,
    /// Listen address for datagrams and HTTP calls of other routers.
    pub peers: SocketAddr,
    /// Processor of the router's machine, in thousandths of a core.
    pub millicores: u32,
    /// Lifecycle phase of the router.
    pub phase: Phase,
    /// Version of the manifest in force, 0 without one.
    pub manifest: u64,
    /// Store revision up to which the router's runner list is current.
    pub revision: Revision,
    /// Whether the router reads from the store, which responded recently to it.
    pub has_store: bool,
}

/// Set of routers whose requests a report covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Scope {
    /// The sending router alone.
    Own,
    /// All routers of the sender's failure domain.
    Domain,
    /// All routers, the receiver included.
    Fleet,
}

/// A roster entry: the descriptor of a third router, relayed by the sender.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Listing {
    /// Descriptor that the third router published.
    #[serde(rename = "card")]
    pub descriptor: Descriptor,
    /// Time since the descriptor was published.
    pub age: Span,
    /// Highest number known of the third router's frames; 0 if the sender does not tell.
    #[serde(default)]
    pub sequence: u64,
}

/// Periodic datagram between routers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Frame {
    /// Descriptor of the sending router.
    pub sender: Descriptor,
    /// Datagram addresses of live routers, for peer discovery.
    #[serde(rename = "known")]
    pub known_addresses: Vec<SocketAddr>,
    /// Live routers, for receivers that do not exchange with them directly. Empty in
    /// frames between two rosters.
    pub roster: Vec<Listing>,
    /// Set of routers that the report covers.
    pub scope: Scope,
    /// Requests in flight and use of services, summed over the scope.
    pub report: Report,
    /// Number of this frame among those of the sender; numbers rise.
    pub sequence: u64,
    /// Receivers whose own reports the sum includes, each with the sequence number of
    /// its frame that carried the report.
    pub included: Vec<(SocketAddr, u64)>,
    /// Evacuated failure domains.
    #[serde(default)]
    pub evacuations: evacuation::Shared,
    /// Time since the sender's list of runners was confirmed; `None` if it never was.
    #[serde(default)]
    pub list_age: Option<Span>,
}

/// Configuration that a router reads from a peer: one that has just started, has no
/// store connection, or follows a hub.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct View {
    /// Manifest as the operator wrote it; empty if the requester's is current.
    #[serde(with = "serde_bytes")]
    pub manifest: Vec<u8>,
    /// Entries of all runners in use.
    pub runners: Vec<Entry>,
    /// Entries of runners that left before the store was restored and are listed there
    /// again.
    pub held: Vec<Entry>,
    /// Runners in `runners` whose removal is deferred, with the time that is left.
    pub expiring: Vec<(Runner, Span)>,
    /// Store revision up to which the runners are current.
    pub revision: Revision,
    /// Streams that callers may take up, with the software versions that began them.
    pub streams: Vec<Begun>,
    /// Evacuated failure domains.
    #[serde(default)]
    pub evacuations: evacuation::Shared,
    /// Time since the runners were confirmed; `None` if they never were.
    #[serde(default)]
    pub list_age: Option<Span>,
}
