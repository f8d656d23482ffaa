//! Requests held by this router.

use balsamchute_base::prelude::*;
use balsamchute_wire::forward::Head;
use balsamchute_wire::message::LoanId;

use std::net::SocketAddr;

use crate::limits::CountedAs;

/// Stage of a request at this router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Forwarded to another router.
    Forwarded,
    /// Waiting for the reply on the claim of its key.
    Claiming,
    /// Waiting for the outcome of another request with the same key.
    Joined,
    /// Waiting for a slot.
    Waiting,
    /// Waiting for a point in time before it is queued again.
    Paused,
    /// Running on a slot.
    Running(Slot),
}

/// Slot of a runner that a request runs on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Slot {
    /// Router that lent the slot.
    pub owner: Instance,
    /// Incarnation of the owner at the time of the loan.
    pub incarnation: Incarnation,
    /// Number of the loan at the owner.
    pub loan: LoanId,
    /// Runner that the slot belongs to.
    pub runner: Runner,
    /// Address that the runner listens on.
    pub address: SocketAddr,
    /// Time until which further requests may start on the slot without a new
    /// grant.
    pub until: Time,
    /// Cost of the requests that ran on the slot before the current one.
    pub spent: Cost,
}

/// A request held by this router.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Request without its body.
    pub head: Head,
    /// Digest of the service name and the body.
    pub digest: u128,
    /// Digest of workspace, service and body, which is the same for resent
    /// requests whatever their key and id.
    pub fingerprint: u128,
    /// Whether a failed attempt of the request may have run.
    pub may_have_run: bool,
    /// Failure domain to avoid, and the time until which to avoid it.
    pub avoided_domain: Option<(Domain, Time)>,
    /// Time at which the request must have ended.
    pub deadline: Time,
    /// Current stage of the request.
    pub stage: Stage,
    /// State in which the request counts against the limits.
    pub counted_as: CountedAs,
    /// Attempts made so far.
    pub attempts: u32,
    /// Id of the most recent attempt, `None` before the first.
    pub last_attempt: Option<Attempt>,
    /// Random number that distinguishes the claim of this request from other
    /// claims of its key.
    pub nonce: u64,
    /// Whether this request runs on behalf of all requests with its key.
    pub leads_key: bool,
    /// Whether the attempt was cancelled because the deadline passed.
    pub deadline_cancelled: bool,
    /// Whether the claim log holds a claim for this request.
    pub has_claim: bool,
    /// Whether the caller disconnected while the request waited for the reply to
    /// its claim.
    pub caller_gone: bool,
}

impl Entry {
    /// Returns whether the request must not run more than once, which is so if
    /// it has a key.
    pub fn is_non_idempotent(&self) -> bool {
        self.head.key.is_some()
    }
}
