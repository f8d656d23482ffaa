//! What a router reacts to and what it does.

use std::net::SocketAddr;
use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_inventory::config::{Config, Kind};
use balsamchute_wire::claim::{Ask, Settled, Verdict};
use balsamchute_wire::config::Stamp;
use balsamchute_wire::exchange::Frame;
use balsamchute_wire::forward::Head;
use balsamchute_wire::message::{Batch, Message};
use balsamchute_wire::record::End;

/// Number of a request in this process.
pub type Ticket = u64;

/// A request as the process received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Its number here.
    pub ticket: Ticket,
    /// What the caller asked for.
    pub head: Head,
    /// Digest of the service's name and the body.
    pub digest: u128,
}

/// How an attempt at a target ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The answer is whole.
    Done,
    /// The target answered with an error.
    Answered(String),
    /// No byte reached the target.
    NotSent(String),
    /// The target attested that it refused the request.
    Refused(String),
    /// The connection was lost and the answer cannot be had any more.
    Lost(String),
    /// The caller went away.
    Cancelled,
}

/// The report on an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finish {
    /// The request.
    pub ticket: Ticket,
    /// How the attempt ended.
    pub ending: Ending,
    /// Cost that it had up to then.
    pub cost: Cost,
    /// Tokens that were passed on to the caller.
    pub tokens: u64,
    /// Digest of those tokens' texts, 32 hexadecimal digits.
    pub digest: String,
    /// The answer of a non-idempotent request, where it is short enough to keep.
    pub answer: Option<Vec<String>>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request came, from a caller or another router.
    Arrive(Arrival),
    /// The caller of a request that waits went away.
    Gone(Ticket),
    /// A request could not be passed on. No byte reached the other router.
    ForwardFailed(Ticket),
    /// An idempotent request was passed on and may have begun, but none of its
    /// answer came.
    ForwardLost(Ticket),
    /// A request was passed on and its answer has ended or broken off.
    Forwarded(Ticket),
    /// True cost of a running attempt so far.
    Progress(Ticket, Cost),
    /// An attempt ended.
    Finish(Finish),
    /// The claim log answered.
    Verdict(Ticket, Verdict),
    /// The claim log can or cannot be written.
    Durable(bool),
    /// A configuration came into force on this router.
    Config(Stamp, Arc<Config>),
    /// The platform's list of instances, asked for at this time.
    Listed(Time, Vec<Listed>),
    /// Another router started an exchange; it is answered under this number.
    Exchange(u64, Frame),
    /// The router at this address did not answer; `true` if it refused the
    /// connection, which shows that its process is gone.
    Unreachable(SocketAddr, bool),
    /// Another router answered an exchange.
    Exchanged(Frame),
    /// Messages of another router.
    Messages(Batch),
    /// Messages to this router were not delivered.
    Undelivered(Instance, Vec<Message>),
    /// A runner reported its load.
    Load(Runner, Load),
    /// A runner did not answer.
    Silent(Runner),
    /// Time has passed.
    Tick,
    /// The router is asked to stop.
    Stop,
    /// The time that it has to stop is over.
    Close,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Listed {
    /// A router.
    Router {
        /// Its name.
        instance: Instance,
        /// Where other routers reach it.
        inner: SocketAddr,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A runner.
    Runner {
        /// Its name.
        runner: Runner,
        /// Where it listens.
        address: SocketAddr,
        /// Whether it is leaving.
        leaving: bool,
    },
}

/// A runner's own report, which is late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// How old the report is.
    pub age: Span,
}

/// What the process is to do for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Pass it on to another router.
    Forward {
        /// The router.
        to: Instance,
        /// Its address.
        address: SocketAddr,
        /// The head to send.
        head: Head,
    },
    /// Run it at a target.
    Run(Run),
    /// End the answer with this record.
    End(End),
    /// Give an answer recorded before.
    Replay(Settled),
}

/// Longest time from the decision to make an attempt to its beginning. A process
/// that was paused in between must not begin it, since the target may leave.
pub const MAX_DELAY: Span = Span::from_secs(1);

/// One attempt to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Its id.
    pub attempt: Attempt,
    /// The runner.
    pub runner: Runner,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it speaks.
    pub kind: Kind,
    /// When it was decided. It must not begin much later, see [`MAX_DELAY`].
    pub at: Time,
    /// Fencing number, for targets that check one.
    pub fence: u64,
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Tell the thread that serves a request.
    Tell(Ticket, Command),
    /// Ask the writer of a claim shard; the verdict comes as an event.
    Ask(Ticket, Ask),
    /// Record the end of a claimed request; no verdict is awaited.
    Settle(Ask),
    /// Start an exchange.
    Exchange(SocketAddr, Frame),
    /// Answer an exchange.
    Answer(u64, Frame),
    /// Send messages to a router.
    Send(SocketAddr, Instance, Batch),
    /// Fetch the configuration from a router that has a newer one.
    Fetch(SocketAddr),
    /// Cancel the attempt of a request at its target.
    Cancel(Ticket),
    /// Read the platform's list of instances.
    ReadList,
    /// Ask these runners for their load from now on.
    Watch(Vec<(Runner, SocketAddr)>),
    /// All work is finished and the process may exit.
    Stopped,
}
