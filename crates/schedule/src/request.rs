//! Properties of a request that scheduling depends on.

use balsamchute_model::prelude::*;

use crate::stream::Digest;

/// Stream that a caller takes up after its answer broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resumed {
    /// Digest of the id of the request that brought the first event, if the caller names
    /// it.
    pub stream: Option<Digest>,
    /// Longest time since the stream began, that for which the request waited to be read
    /// included.
    pub max_age: Span,
    /// Whether no other service can have begun the stream.
    pub is_sole_service: bool,
}

/// Properties of a request that scheduling depends on; the body is not among
/// them.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Service that runs the request.
    pub service: Service,
    /// Name of the route that the request matched. Requests of a workspace are
    /// queued and counted separately by route.
    pub route: String,
    /// Workspace that is charged; `None` on public routes without an API key.
    pub workspace: Option<Workspace>,
    /// Whether a request that may have run can be retried, and how.
    pub retry_policy: RetryPolicy,
    /// Whether the answer is an event stream.
    pub stream: bool,
    /// Prompt size and parts of a model request; `None` for plain requests.
    pub prompt: Option<Prompt>,
    /// Estimated time from the caller's first try until the request arrived here.
    /// Earlier tries were refused or went to another router.
    pub age: Span,
    /// Latency target: time from the first try within which the answer counts
    /// as on time.
    pub latency_target: Span,
    /// Longest gap between events of a stream that counts as on time.
    pub event_gap_target: Span,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Maximum number of attempts that may have run, the first one included.
    pub max_attempts: u32,
    /// Digest of the request's id, under which a stream that it begins is known.
    pub stream_digest: Digest,
    /// Part of a stream that the caller has, and after which the answer goes on; `None` if
    /// the request begins one.
    pub resumed: Option<Resumed>,
    /// Digest of the request's content, equal for every retry by the caller.
    pub fingerprint: u128,
}

impl Request {
    /// Returns whether the answer is a stream that another runner may continue.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.stream && self.retry_policy == RetryPolicy::Resumable
    }

    /// Returns whether the request had missed its latency target when it
    /// arrived.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.age > self.latency_target
    }

    /// Returns the estimated cost: one for each prompt token and two for each
    /// generated token, or one for a plain request.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.prompt.as_ref().map_or(1.0, |prompt| {
            f64::from(prompt.input_tokens) + 2.0 * f64::from(prompt.expected_output_tokens())
        })
    }
}
