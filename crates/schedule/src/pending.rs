//! Requests that a router has accepted and not yet answered in full.

use balsamchute_model::prelude::*;
use smallvec::SmallVec;

use crate::parts::{self, Keys};
use crate::process::Naming;
use crate::request::Request;
use crate::runner::Target;
use crate::stream::Basis;

/// Rejections by runners above which a request is not retried.
const MAX_REJECTIONS: u32 = 3;

/// Failed connection attempts above which a request is not retried.
const MAX_FAILED_CONNECTS: u32 = 6;

/// Attempt in progress at a runner.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub runner: Runner,
    pub sent_at: Time,
    /// Number of breaks and refusals that the router had recorded when it was sent: the clock
    /// does not order events of one millisecond.
    pub breaks: u64,
    /// Expected time until the first event of the answer.
    pub estimate: Span,
    /// Prompt tokens that count as not yet prefilled in the runner's load; zero
    /// after the first event.
    pub prefill_tokens: u64,
    /// Tokens reserved in the runner's KV cache for prompt and expected answer.
    pub kv_tokens: u64,
    /// Version of the runner's software.
    pub software: Software,
    /// Time of the last event, or of the dispatch before any event.
    pub last_event_at: Time,
    /// Events received in this attempt.
    pub events: u64,
    /// Whether bytes of the request may have reached the runner.
    pub written: bool,
    /// Whether the answer is not read because its caller does not read.
    pub is_read_paused: bool,
    /// Whether the connection is known to lead to the process of that version.
    pub is_verified: bool,
    /// Whether a stream may begin though its version is unknown.
    pub may_be_unknown: bool,
}

impl Dispatch {
    /// Returns the version of the process that answers, `listed` being the present state of the
    /// runner, by a list that is current or not. It is unknown if another process may have taken
    /// the place of the one that the request was sent to.
    pub fn software_that_answers(&self, listed: Option<&Target>, is_current: bool) -> Software {
        let is_likely = listed.is_none_or(|target| {
            target.entry.software == self.software && !target.is_in_doubt() && is_current
        });
        match self.is_verified || is_likely {
            true => self.software.clone(),
            false => Software::unknown(),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Stage {
    Waiting,
    Dispatched(Dispatch),
}

/// Accepted request with the state of its attempts.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub request: Request,
    /// Digests of the prompt parts that other requests may share.
    pub part_keys: Keys,
    /// Start of the current wait: the arrival, or the end of the last attempt.
    pub waiting_since: Time,
    pub stage: Stage,
    /// Runners that the request was sent to, in order.
    pub tried: SmallVec<[Runner; 2]>,
    /// Attempts that may have run the request.
    pub possible_runs: u32,
    /// Attempts that runners reported as not run.
    pub rejections: u32,
    /// Attempts without an established connection.
    pub failed_connects: u32,
    /// Whether the caller has received a part of the answer.
    pub answer_begun: bool,
    /// Whether another attempt can go on after what the caller has received.
    pub is_resumable: bool,
    /// Software version that began the stream, the only one at which it may go on.
    pub software: Option<Software>,
    /// Source of that version.
    pub basis: Option<Basis>,
    /// Whether the request takes up a stream that is known to have begun.
    pub takes_up: bool,
}

impl Pending {
    pub fn new(now: Time, request: Request) -> Self {
        Pending {
            part_keys: parts::keys(&request.service, request.prompt.as_ref()),
            request,
            waiting_since: now,
            stage: Stage::Waiting,
            tried: SmallVec::new(),
            possible_runs: 0,
            rejections: 0,
            failed_connects: 0,
            answer_begun: false,
            is_resumable: true,
            software: None,
            basis: None,
            takes_up: false,
        }
    }

    /// Returns whether the request's own limits permit another attempt.
    pub fn may_retry(&self, now: Time) -> bool {
        let is_repeatable = self.possible_runs == 0
            || (self.request.retry_policy.allows_retry()
                && self.possible_runs < self.request.max_attempts);
        is_repeatable
            && self.is_resumable
            && self.rejections <= MAX_REJECTIONS
            && self.failed_connects <= MAX_FAILED_CONNECTS
            && now < self.request.deadline
    }

    /// Returns whether a runner may have worked for the caller already, on this request or on
    /// the stream that it takes up.
    pub fn has_run(&self) -> bool {
        self.possible_runs > 0 || self.takes_up
    }

    /// Returns whether the stream may go on at a runner of this software version.
    pub fn fits(&self, software: &Software) -> bool {
        let began = self.software.as_ref();
        began.is_none_or(|began| began == software && !began.is_unknown())
    }

    /// Returns whether the request may go to a runner by its software version, by a list that
    /// is current or not. A stream is not continued at a runner whose process may be another one
    /// than is listed, unless that shows on the connection.
    pub fn may_continue_at(&self, target: &Target, is_current: bool) -> bool {
        let may_be_listed = match target.naming() {
            Naming::Unknown | Naming::Named => !target.is_gone(),
            Naming::Unnamed => !target.is_in_doubt() && is_current,
            Naming::Silent => false,
        };
        self.software.is_none() || (self.fits(&target.entry.software) && may_be_listed)
    }

    /// Returns how often the request was sent to a runner.
    pub fn tries_at(&self, runner: &Runner) -> usize {
        self.tried.iter().filter(|tried| *tried == runner).count()
    }

    /// Returns whether the request begins a stream that another runner may continue.
    pub fn begins_resumable(&self) -> bool {
        self.software.is_none() && self.request.is_resumable()
    }

    /// Returns whether any runner of the service may take the request: it was sent to none
    /// and is bound to no software version.
    pub fn is_unbound(&self) -> bool {
        self.software.is_none() && self.tried.is_empty()
    }

    /// Returns the attempt in progress if no event of its answer has arrived.
    pub fn unanswered(&self) -> Option<&Dispatch> {
        match &self.stage {
            Stage::Dispatched(dispatch) if dispatch.events == 0 => Some(dispatch),
            Stage::Dispatched(_) | Stage::Waiting => None,
        }
    }

    /// Returns whether another attempt spends retry budget: the service has
    /// received the request before. Failed connections do not count.
    pub fn uses_retry_budget(&self) -> bool {
        self.possible_runs + self.rejections > 0
    }
}
