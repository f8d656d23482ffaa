//! Inputs that other threads send to the actor.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_claim::ledger;
use balsamchute_dispatch::event::{Arrival, Command, Event};
use balsamchute_dispatch::view::{self, Address, Explanation, Status};
use balsamchute_wire::claim;
use balsamchute_wire::config::{Document, Stamp};
use balsamchute_wire::exchange::Frame;
use crossbeam_channel::Sender;

/// Input to the actor.
pub(crate) enum Input {
    /// A request arrived. Its commands go to the sender.
    RequestArrived(Arrival, Sender<Command>),
    /// An event for the decisions of `balsamchute_dispatch`.
    Event(Event),
    /// Another router started an exchange. The answering frame goes to the
    /// sender.
    ExchangeReceived(Frame, Sender<Frame>),
    /// A configuration was read from the source.
    ConfigRead(Source, Document),
    /// The platform answered that it has no configuration newer than the stored
    /// one.
    ConfigUnchanged,
    /// Another router sent operations for claim shards that this router writes.
    ClaimBatch(claim::Batch, Sender<claim::Replies>),
    /// A query about the state.
    Query(Query),
}

/// Source that a configuration was read from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// Object store of the platform.
    Platform,
    /// Another router of the fleet.
    Peer,
}

/// Query about the state. The answer goes to the sender.
pub(crate) enum Query {
    /// Addresses of the routers that callers of a workspace should use, with a
    /// new bound key.
    Addresses(Workspace, Sender<Address>),
    /// Whether the router serves callers.
    Ready(Sender<bool>),
    /// Summary of the state for the status page.
    Status(Sender<Status>),
    /// Recorded events of requests.
    Explain(Subject, Sender<Explanation>),
    /// State of a key in the memory of this router, `None` if it has no record
    /// of the key.
    Key(Workspace, Key, Sender<Option<ledger::Entry>>),
    /// Address for callers of one incarnation of a router, `None` if that
    /// incarnation is not known to be alive.
    RouterAddress(Instance, Incarnation, Sender<Option<SocketAddr>>),
    /// Reply of the claim log on a key.
    LogReply(Workspace, Key, Sender<claim::Reply>),
    /// Fingerprints of requests that crashed their targets.
    CrashSuspects(Sender<Vec<view::Suspect>>),
    /// Releases a fingerprint from quarantine. The answer is whether it was
    /// suspected.
    ReleaseFingerprint(u128, Sender<bool>),
    /// Version stamp of the configuration in force.
    ConfigStamp(Sender<Stamp>),
    /// Newest configuration that this router has read.
    Config(Sender<Document>),
}

/// Subject of an explanation.
#[derive(Clone, Debug)]
pub(crate) enum Subject {
    /// The request with this id.
    Request(Request),
    /// All requests of the workspace.
    Workspace(Workspace),
    /// All requests with the key.
    Key(Key),
}
