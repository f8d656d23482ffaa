//! A request passed from the router that received it to the one that queues it.

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

/// A request without the place that it came from.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Head {
    /// Id of the request.
    pub request: Request,
    /// The workspace that it belongs to.
    pub workspace: Workspace,
    /// The service that it asks for.
    pub service: Service,
    /// Key of a non-idempotent request, `None` for an idempotent one.
    pub key: Option<Key>,
    /// Time left to its deadline.
    pub deadline: Span,
    /// The caller's estimate of its cost.
    pub hint: Option<Cost>,
    /// Name of its prompt prefix.
    pub prefix: Option<String>,
    /// Whether the caller has sent the key before, so that an earlier sending
    /// may have run.
    pub resend: bool,
    /// Routers that have passed it on, at most [`MAX_HOPS`].
    pub hops: u8,
}

/// How often a request is passed on before it is queued where it is.
pub const MAX_HOPS: u8 = 2;

/// A head and the body, as sent.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Forward {
    /// The router that passes it on.
    pub from: Instance,
    /// The request.
    pub head: Head,
    /// Its body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}
