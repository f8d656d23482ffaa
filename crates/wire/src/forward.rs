//! Requests forwarded from the router that received them to the one that queues
//! them.

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Metadata of a request, without its body and the caller's connection.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Head {
    /// Id of the request.
    pub request: Request,
    /// Workspace that the request belongs to.
    pub workspace: Workspace,
    /// Service that the request is for.
    pub service: Service,
    /// Idempotency key of a non-idempotent request, `None` for an idempotent one.
    pub key: Option<Key>,
    /// Time left until the deadline.
    pub deadline: Span,
    /// Cost estimated by the caller, in tokens or milliseconds (see [`Cost`]).
    pub hint: Option<Cost>,
    /// Name of the prompt prefix, passed to the engine.
    pub prefix: Option<String>,
    /// Whether the caller has sent the key before, in which case that earlier
    /// request may have run.
    pub resend: bool,
    /// Number of times that the request was forwarded so far.
    pub hops: u8,
}

/// Number of hops from which a router queues a request itself instead of
/// forwarding it to the home of its workspace. The first hop leads to the home as
/// the receiving router sees it, the second to the home as that first home
/// sees it, whose list of members may differ.
pub const MAX_HOPS: u8 = 2;

/// Forwarded request with its body.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Forward {
    /// Router that forwards the request.
    pub from: Instance,
    /// Metadata of the request.
    pub head: Head,
    /// Body of the request, unchanged.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}
