//! Requests to the router that writes a shard of the claim log, and the replies.

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::End;

/// Operation on the claim of one key, sent to the writer of its shard.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Operation {
    /// Claims a key for the holder of the claim.
    Claim(Claim),
    /// Records the end of a claimed request.
    Settle {
        /// Workspace of the key.
        workspace: Workspace,
        /// Idempotency key of the request.
        key: Key,
        /// Nonce of the claim, which has to match the claim in the log.
        nonce: u64,
        /// End of the request, with its answer if that is short.
        outcome: Settled,
    },
    /// Reads the state of a key without claiming it.
    Look {
        /// Workspace of the key.
        workspace: Workspace,
        /// Idempotency key to look up.
        key: Key,
    },
}

/// Claim of a key, the exclusive right to run its non-idempotent request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Claim {
    /// Workspace of the key.
    pub workspace: Workspace,
    /// Idempotency key of the request.
    pub key: Key,
    /// Digest of service and body. Reuse of the key with another digest is a
    /// [`Reply::Mismatch`].
    pub digest: u128,
    /// Router that holds the claim and runs the request.
    pub holder: Instance,
    /// Incarnation of the holder that made the claim.
    pub incarnation: Incarnation,
    /// Number that distinguishes this claim from other claims of the holder's
    /// incarnation.
    pub nonce: u64,
    /// Time after which the log may drop the claim.
    pub expires: Time,
}

/// End of a claimed request as kept in the log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Settled {
    /// Last record of the answer.
    pub end: End,
    /// Texts of the answer's tokens in order, `None` if they are not kept, for
    /// example because they are too long.
    pub answer: Option<Vec<String>>,
}

/// Result of one [`Operation`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Reply {
    /// The key was free and is now claimed for the holder in the request, which
    /// alone may run it.
    Granted,
    /// The key is claimed and its request has no recorded end.
    Held(Claim),
    /// The request of the key has ended.
    Settled(Settled),
    /// The key is claimed with another body or service.
    Mismatch,
    /// The log holds no claim of the key.
    Free,
    /// The log cannot be read or written at the moment, and nothing was claimed
    /// for the sender.
    Unavailable,
}

/// Operations sent to a writer in one request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Batch {
    /// Router that sends the operations.
    pub from: Instance,
    /// Operations on keys in shards that the receiver writes.
    #[serde(rename = "asks")]
    pub operations: Vec<Operation>,
}

/// Response to a [`Batch`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Replies {
    /// One reply per operation, in the order of the operations.
    #[serde(rename = "verdicts")]
    pub replies: Vec<Reply>,
}
