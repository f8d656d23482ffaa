//! Claims passed to the router that writes a shard of the claim log.

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::End;

/// One request to the writer of a shard.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Ask {
    /// Claims a key for the holder.
    Claim(Claim),
    /// Records how a claimed request ended.
    Settle {
        /// The workspace.
        workspace: Workspace,
        /// The key.
        key: Key,
        /// Nonce of the claim.
        nonce: u64,
        /// How it ended, with a short answer if there is one.
        outcome: Settled,
    },
    /// Asks what is known of a key.
    Look {
        /// The workspace.
        workspace: Workspace,
        /// The key.
        key: Key,
    },
}

/// The right to run one non-idempotent request once.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Claim {
    /// The workspace.
    pub workspace: Workspace,
    /// The key.
    pub key: Key,
    /// Digest of service and body; the same key with another one is an error.
    pub digest: u128,
    /// The router that will run it.
    pub holder: Instance,
    /// The life of that router.
    pub incarnation: Incarnation,
    /// Tells this claim from all others.
    pub nonce: u64,
    /// When the claim may be forgotten.
    pub expires: Time,
}

/// The end of a claimed request, as kept.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Settled {
    /// The end record.
    pub end: End,
    /// Texts of the answer's tokens, `None` if they were too long to keep.
    pub answer: Option<Vec<String>>,
}

/// The answer to one [`Ask`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Verdict {
    /// The key was free and is now claimed by the asker; it alone may run it.
    Granted,
    /// The key is claimed and its end is not known.
    Held(Claim),
    /// The request has ended.
    Settled(Settled),
    /// The key was used with another body or service.
    Mismatch,
    /// Nobody has claimed the key.
    Free,
    /// The log cannot be read or written now; nothing was claimed for the asker.
    Unavailable,
}

/// Requests to a writer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Batch {
    /// The asker.
    pub from: Instance,
    /// The requests.
    pub asks: Vec<Ask>,
}

/// The verdicts, in the order of the requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Answer {
    /// One for each request.
    pub verdicts: Vec<Verdict>,
}
