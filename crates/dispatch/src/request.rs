//! Requests that this router has in hand.

use balsamchute_base::prelude::*;
use balsamchute_wire::forward::Head;
use balsamchute_wire::message::Loan;

use std::net::SocketAddr;

use crate::limits::Count;

/// Where a request stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Passed on to another router.
    Forwarded,
    /// Its key is being claimed.
    Claiming,
    /// It waits for the outcome of another request with the same key.
    Joined,
    /// It waits for a slot.
    Waiting,
    /// It waits for a time before it is queued again.
    Paused,
    /// It runs on a slot.
    Running(Slot),
}

/// A slot in use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Slot {
    /// The router that lent it.
    pub owner: Instance,
    /// The life of that router.
    pub incarnation: Incarnation,
    /// Number of the loan at the owner.
    pub loan: Loan,
    /// The runner.
    pub runner: Runner,
    /// Where the runner listens.
    pub address: SocketAddr,
    /// Until when further requests may be started on the slot without asking.
    pub until: Time,
    /// Cost of the requests that ran on the slot before the current one.
    pub spent: Cost,
}

/// A request in hand.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// What was asked for.
    pub head: Head,
    /// Digest of the service's name and the body.
    pub digest: u128,
    /// What tells it from others whatever its key and id are.
    pub fingerprint: u128,
    /// Whether an attempt of it that failed may have run.
    pub began: bool,
    /// Failure domain that it stays away from until a time.
    pub avoid: Option<(Domain, Time)>,
    /// When it is given up.
    pub deadline: Time,
    /// Where it stands.
    pub stage: Stage,
    /// How it counts against the limits.
    pub count: Count,
    /// Attempts made so far.
    pub attempts: u32,
    /// The last attempt.
    pub attempt: Option<Attempt>,
    /// Nonce of its claim.
    pub nonce: u64,
    /// Whether it is the one that runs for its key.
    pub leads: bool,
    /// Whether its attempt was cancelled because its deadline passed.
    pub late: bool,
    /// Whether a claim for it stands in the log.
    pub claimed: bool,
    /// Whether the caller went away while its claim was being made.
    pub gone: bool,
}

impl Entry {
    /// Returns whether the request must not run twice.
    pub fn once(&self) -> bool {
        self.head.key.is_some()
    }
}
