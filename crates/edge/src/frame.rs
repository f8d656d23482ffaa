//! What routers send each other, in MessagePack.

use std::net::SocketAddr;

use balsamchute_model::prelude::*;
use balsamchute_schedule::report::Report;
use serde::{Deserialize, Serialize};

/// Path of the call that returns a router's [`View`] to other routers.
pub(crate) const VIEW_PATH: &str = "/inner/view";

/// Largest datagram in bytes.
pub(crate) const MAX_DATAGRAM: usize = 60_000;

/// Whether a router takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Phase {
    /// It does not know manifest and runners yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It finishes what it has and exits.
    Leaving,
}

/// What a router says of itself.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Card {
    /// Its name.
    pub instance: Instance,
    /// Its life: wall-clock time of its start.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: String,
    /// Where it takes requests.
    pub callers: SocketAddr,
    /// Where it takes datagrams and calls of routers.
    pub peers: SocketAddr,
    /// Whether it takes requests.
    pub phase: Phase,
    /// Its manifest's version, 0 without one.
    pub manifest: u64,
    /// Revision of the store up to which it knows the runners.
    pub revision: u64,
    /// Whether the store answered it lately.
    pub has_store: bool,
}

/// Whose requests and runners a report counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Scope {
    /// Those of the sender.
    Own,
    /// Those of all routers of the sender's failure domain.
    Domain,
    /// Those of all routers but the one that it is sent to.
    Fleet,
}

/// A router that another one tells of.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Listed {
    /// What it said of itself.
    pub card: Card,
    /// How long ago.
    pub age: Span,
}

/// The periodic datagram of a router.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Frame {
    /// The sender.
    pub sender: Card,
    /// Addresses of other routers that it hears.
    pub known: Vec<SocketAddr>,
    /// Routers that it hears, for those that do not hear them themselves.
    pub roster: Vec<Listed>,
    /// Whose requests and runners the report counts.
    pub scope: Scope,
    /// Requests and runners.
    pub report: Report,
}

/// What a router that the store does not answer gets from another one.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct View {
    /// The manifest as the operator wrote it; empty if the asker has it.
    #[serde(with = "serde_bytes")]
    pub manifest: Vec<u8>,
    /// Runners.
    pub runners: Vec<Entry>,
    /// Revision of the store up to which the runners are known.
    pub revision: u64,
}
