//! Entries of the platform's list of runners.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Readiness of a runner for new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum State {
    /// The runner accepts requests.
    Ready,
    /// The runner finishes the requests in flight and then stops.
    Draining,
}

/// Version of a runner's software, not of its weights; empty if unknown. Versions have no
/// order.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(from = "String", into = "String")]
pub struct Software(Arc<str>);

/// Name that stands for an unknown version; no runner has it.
const UNKNOWN: &str = "\0unknown";

impl Software {
    /// Returns the version of a stream of which it is known that the version that began it
    /// cannot be told. A router that does not know of this takes it for a version that no
    /// runner has.
    #[must_use]
    pub fn unknown() -> Self {
        Software(Arc::from(UNKNOWN))
    }

    /// Returns whether this is [`Software::unknown`].
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        &*self.0 == UNKNOWN
    }
}

impl Default for Software {
    fn default() -> Self {
        Software(Arc::from(""))
    }
}

impl From<String> for Software {
    fn from(version: String) -> Self {
        Software(Arc::from(version))
    }
}

impl From<Software> for String {
    fn from(version: Software) -> Self {
        version.0.as_ref().to_owned()
    }
}

impl fmt::Display for Software {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Entry with which a runner registers in the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// Id of the runner. Most restarts change it.
    pub runner: Runner,
    /// Service whose requests the runner executes.
    pub service: Service,
    /// Address that the runner listens on.
    pub address: SocketAddr,
    /// Failure domain that the runner is in.
    pub domain: String,
    /// Requests that the runner executes concurrently.
    pub slots: u32,
    /// Readiness of the runner for new requests.
    pub state: State,
    /// Remaining warm-up time after a start, during which the runner is slower.
    #[serde(rename = "warming")]
    pub warmup: Span,
    /// Start time of the process in milliseconds since the Unix epoch, by the
    /// runner's clock; 0 if unknown.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Version of the runner's software.
    #[serde(default)]
    pub software: Software,
}
