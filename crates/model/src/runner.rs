//! Runners as the platform lists them.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Whether a runner takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One runner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// Its id, which changes with most restarts.
    pub runner: Runner,
    /// The service that it belongs to.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it works slowly after its start.
    pub warming: Span,
    /// When the process started, in milliseconds since the Unix epoch, by its
    /// own clock.
    pub born: u64,
}
