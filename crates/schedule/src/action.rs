//! What the process is told to do, and what it tells back.

use std::net::SocketAddr;

use balsamchute_model::prelude::*;

/// A request in the process, by a number that the process gave it.
pub type Id = u64;

/// Why a request that has not run is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The service has no runner that takes work.
    NoRunner,
    /// No runner had room within the time that the request could wait.
    Saturated,
    /// The workspace had its share and no runner is idle.
    OverShare,
    /// Requests like it crashed the runners that ran them.
    Crashes,
    /// Runners rejected it, and it may not be sent again.
    Rejected,
}

impl Refusal {
    /// Returns the word that logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoRunner => "no_runner",
            Refusal::Saturated => "saturated",
            Refusal::OverShare => "over_share",
            Refusal::Crashes => "crashes_runners",
            Refusal::Rejected => "rejected",
        }
    }
}

/// Why a request that may have run failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The runner's connection broke.
    Broken,
    /// The runner sent something that is no answer to the request.
    Invalid,
    /// The time of the request was up.
    Timeout,
}

impl Failure {
    /// Returns the word that logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::Broken => "runner_broke",
            Failure::Invalid => "invalid_answer",
            Failure::Timeout => "timeout",
        }
    }
}

/// What decided the choice of a runner, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Basis {
    /// Whether the workspace was owed the request.
    pub owed: bool,
    /// Estimated cost of the request.
    pub cost: f64,
    /// Cost that the workspace was served in the window, fleet-wide.
    pub served: f64,
    /// Most that any workspace is owed in the window.
    pub level: f64,
    /// Prompt tokens that the runner probably has to read.
    pub unread: u64,
    /// Of these, tokens of shared parts.
    pub shared: u64,
    /// Digest of the prompt's shared parts, 0 without any.
    pub chain: u64,
    /// How long the first event should take.
    pub estimate: Span,
    /// Requests that run there, of all routers.
    pub running: u32,
    /// Prompt tokens that wait to be read there, of all routers.
    pub waiting: u64,
}

impl Basis {
    /// Takes cost, use and share from `other`.
    #[must_use]
    pub fn with_share(self, other: &Basis) -> Self {
        Basis {
            cost: other.cost,
            served: other.served,
            level: other.level,
            ..self
        }
    }
}

/// What the process is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a runner.
    Send {
        /// The request.
        id: Id,
        /// The runner, which must answer by this name.
        runner: Runner,
        /// Its address.
        address: SocketAddr,
        /// What decided it.
        basis: Basis,
    },
    /// Stop waiting for the runner that has the request; it goes elsewhere.
    Withdraw {
        /// The request.
        id: Id,
    },
    /// Answer that the request has not run.
    Refuse {
        /// The request.
        id: Id,
        /// Why.
        refusal: Refusal,
        /// When sending it again may succeed.
        retry: Span,
        /// What decided it, as far as it was looked at.
        basis: Basis,
    },
    /// Deliver the failure that the runner answered.
    Deliver {
        /// The request.
        id: Id,
    },
    /// Answer that it failed, or cut an answer that has begun.
    Fail {
        /// The request.
        id: Id,
        /// Why.
        failure: Failure,
    },
}

/// How an attempt at a runner ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The answer is whole.
    Done,
    /// The runner answered with a failure of its own.
    RunnerFailed,
    /// The runner says that it did not run it.
    Rejected,
    /// The runner's address belongs to another runner now; it did not run it.
    Misdirected,
    /// No connection came about, so nothing was sent.
    NoConnection {
        /// Whether the connection was refused rather than not answered.
        refused: bool,
    },
    /// The connection ended before the answer did.
    Broke,
    /// The answer was malformed or belonged to another request.
    Invalid,
}
