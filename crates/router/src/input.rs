//! What other threads send to the actor.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_claim::ledger;
use balsamchute_dispatch::event::{Arrival, Command, Event};
use balsamchute_dispatch::view::{self, Address, Explanation, Status};
use balsamchute_wire::claim;
use balsamchute_wire::config::{Document, Stamp};
use balsamchute_wire::exchange::Frame;
use crossbeam_channel::Sender;

/// One input.
pub(crate) enum Input {
    /// A request came; commands for it go to the sender.
    Arrive(Arrival, Sender<Command>),
    /// Something happened.
    Event(Event),
    /// Another router started an exchange.
    Exchange(Frame, Sender<Frame>),
    /// A configuration was read.
    Document(Source, Document),
    /// The platform answered that it has no configuration newer than ours.
    Unchanged,
    /// Another router asks this one as writer of claim shards.
    Claims(claim::Batch, Sender<claim::Answer>),
    /// Somebody asks about the state.
    Query(Query),
}

/// Where a configuration was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// On the platform.
    Platform,
    /// At another router.
    Peer,
}

/// A question about the state.
pub(crate) enum Query {
    /// Which routers a caller may use.
    Address(Workspace, Sender<Address>),
    /// Whether callers may use this router.
    Ready(Sender<bool>),
    /// The state in short.
    Status(Sender<Status>),
    /// What happened to a request.
    Explain(Subject, Sender<Explanation>),
    /// What this router knows of a key.
    Key(Workspace, Key, Sender<Option<ledger::State>>),
    /// Where callers reach one life of a router, if it is alive.
    Router(Instance, Incarnation, Sender<Option<SocketAddr>>),
    /// What the claim log says of a key.
    Log(Workspace, Key, Sender<claim::Verdict>),
    /// Which requests crashed their targets.
    Quarantine(Sender<Vec<view::Suspect>>),
    /// Lets requests of a fingerprint run again; the answer is whether it was known.
    Release(u128, Sender<bool>),
    /// Which configuration is in force.
    Stamp(Sender<Stamp>),
    /// The newest configuration that this router holds.
    Document(Sender<Document>),
}

/// What an explanation is about.
#[derive(Clone, Debug)]
pub(crate) enum Subject {
    /// One request.
    Request(Request),
    /// All requests of a workspace.
    Workspace(Workspace),
    /// All requests with a key.
    Key(Key),
}
