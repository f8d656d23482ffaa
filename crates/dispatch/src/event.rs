//! Events that a router handles and actions that it requests from its process.

use std::net::SocketAddr;
use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_inventory::config::{Config, Kind};
use balsamchute_wire::claim::{Operation, Reply, Settled};
use balsamchute_wire::config::Stamp;
use balsamchute_wire::exchange::Frame;
use balsamchute_wire::forward::Head;
use balsamchute_wire::message::{Batch, Message};
use balsamchute_wire::record::End;

/// Number of a request, unique within one process.
pub type RequestNumber = u64;

/// A request as received by the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Number of the request in this process.
    pub request_number: RequestNumber,
    /// Request without its body: ids, service, key, deadline and hints.
    pub head: Head,
    /// Digest of the service name and the body.
    pub digest: u128,
}

/// Result of an attempt at a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The target sent a complete answer.
    Done,
    /// The target answered with an error; the text is its reason.
    Answered(String),
    /// No byte reached the target; the text is the reason.
    NotSent(String),
    /// The target attested that it refused the request; the text is its reason.
    Refused(String),
    /// The connection was lost and the rest of the answer cannot be received.
    /// The request may have run.
    Lost(String),
    /// The attempt was cancelled, because the caller disconnected or the
    /// deadline passed.
    Cancelled,
}

/// Report on a finished attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finish {
    /// Number of the request that the attempt belongs to.
    pub request_number: RequestNumber,
    /// Result of the attempt.
    pub ending: Ending,
    /// Cost of the attempt until it ended.
    pub cost: Cost,
    /// Tokens that were sent to the caller.
    pub tokens: u64,
    /// Digest of the texts of those tokens, 32 hexadecimal digits.
    pub digest: String,
    /// Answer to a non-idempotent request, `None` if it is too long to keep.
    pub answer: Option<Vec<String>>,
}

/// An event that the router handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived from a caller or from another router.
    RequestArrived(Arrival),
    /// The caller of a request disconnected while the request waited.
    CallerGone(RequestNumber),
    /// A request could not be forwarded. No byte reached the other router.
    ForwardFailed(RequestNumber),
    /// An idempotent request was forwarded and may have started, but no part of
    /// its answer was received.
    ForwardLost(RequestNumber),
    /// A request was forwarded and its answer has ended or was cut off.
    ForwardEnded(RequestNumber),
    /// Cost of a running attempt so far.
    Progress(RequestNumber, Cost),
    /// An attempt finished, with this result and cost.
    Finish(Finish),
    /// The claim log answered the claim of a request.
    ClaimReply(RequestNumber, Reply),
    /// The claim log became writable (`true`) or unwritable (`false`).
    ClaimsAvailable(bool),
    /// A new version of the configuration was read.
    ConfigRead(Stamp, Arc<Config>),
    /// The platform's list of instances was read, with the time at which it was
    /// requested.
    ListRead(Time, Vec<Listed>),
    /// Another router started an exchange. The number identifies its answer.
    ExchangeReceived(u64, Frame),
    /// The router at this address did not answer an exchange. The flag is
    /// `true` if it refused the connection, which shows that its process is
    /// gone.
    ExchangeFailed(SocketAddr, bool),
    /// Another router answered an exchange.
    ExchangeAnswered(Frame),
    /// Another router sent messages.
    Messages(Batch),
    /// Messages to the router of this name could not be delivered.
    Undelivered(Instance, Vec<Message>),
    /// A runner reported its load.
    Load(Runner, Load),
    /// A runner did not answer a load request.
    RunnerUnresponsive(Runner),
    /// Time has passed; timers are checked.
    Tick,
    /// The process was asked to stop, and the drain begins.
    DrainRequested,
    /// The grace period of the drain is over.
    GraceExpired,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Listed {
    /// Router, which receives traffic of callers and of other routers.
    Router {
        /// Instance name of the router.
        instance: Instance,
        /// Address for traffic between routers.
        inner: SocketAddr,
        /// Whether the list marks the router as leaving.
        leaving: bool,
    },
    /// Runner, which executes the requests of a service.
    Runner {
        /// Name of the runner.
        runner: Runner,
        /// Address that the runner listens on.
        address: SocketAddr,
        /// Whether the list marks the runner as leaving.
        leaving: bool,
    },
}

/// Load reported by a runner. A report describes a moment in the past.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests running at the runner.
    pub running: u32,
    /// Age of the report.
    pub age: Span,
}

/// Instruction to the thread that serves a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Forward the request to another router.
    Forward {
        /// Instance name of the other router.
        to: Instance,
        /// Address of the other router for traffic between routers.
        address: SocketAddr,
        /// Head to send, with its hops and remaining deadline updated.
        head: Head,
    },
    /// Run the request at a target.
    Run(Run),
    /// End the answer with this record.
    End(End),
    /// Send an answer that was recorded earlier.
    Replay(Settled),
}

/// Longest delay between the decision to make an attempt and its start. A
/// process that was paused in between must not start it, because the target may
/// have left.
pub const MAX_START_DELAY: Span = Span::from_secs(1);

/// An attempt to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Unique id of the attempt.
    pub attempt: Attempt,
    /// Runner whose slot the attempt uses.
    pub runner: Runner,
    /// Address that the runner listens on.
    pub address: SocketAddr,
    /// Protocol that the runner speaks.
    pub kind: Kind,
    /// Time of the decision. The attempt must start within [`MAX_START_DELAY`].
    pub decided_at: Time,
    /// Fencing number, for targets that check one.
    pub fence: u64,
}

/// An action for the process to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Pass a command to the thread that serves a request.
    Command(RequestNumber, Command),
    /// Send a request to the writer of a claim shard. The reply returns as
    /// [`Event::ClaimReply`].
    SendClaim(RequestNumber, Operation),
    /// Record the end of a claimed request. No reply is awaited.
    Settle(Operation),
    /// Start an exchange with the router at this address.
    Exchange(SocketAddr, Frame),
    /// Answer the exchange that has this number.
    AnswerExchange(u64, Frame),
    /// Send messages to a router.
    Send(SocketAddr, Instance, Batch),
    /// Fetch the configuration from a router that has a newer version.
    FetchConfig(SocketAddr),
    /// Cancel the attempt of a request at its target.
    Cancel(RequestNumber),
    /// Read the platform's list of instances.
    ReadList,
    /// Poll the load of exactly these runners from now on.
    PollLoad(Vec<(Runner, SocketAddr)>),
    /// All work is finished and the process may exit.
    Exit,
}
