//! Settings of an engine.

use std::net::{Ipv4Addr, SocketAddr};

use balsamchute_base::prelude::*;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the engine, used in log messages.
    pub name: String,
    /// Listening address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Number of requests that run concurrently at full speed.
    pub slots: u32,
    /// Tokens per second that one request generates at full speed.
    pub tokens_per_second: f64,
    /// Whether the engine rejects requests and orders with a stale fencing
    /// number.
    pub checks_fence: bool,
    /// Time before the first token if the prefix of the request is not cached.
    pub prefill_time: Span,
    /// Maximum number of cached prefixes.
    pub cache: usize,
    /// Time between a crash and the restart.
    pub restart_delay: Span,
    /// Time after which a stream without a client is cancelled.
    pub idle_timeout: Span,
    /// Time between an order to load a model and the model being ready.
    pub load_time: Span,
    /// Models that are loaded at start and after a crash.
    pub models: Vec<String>,
    /// Seed of the random choice of lost cache events.
    pub seed: u64,
}

impl Settings {
    /// Creates settings with default values for the remaining fields.
    #[must_use]
    pub fn new(name: &str, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            slots,
            tokens_per_second: 20.0,
            checks_fence: true,
            prefill_time: Span(0),
            cache: 64,
            restart_delay: Span::from_secs(2),
            idle_timeout: Span::from_secs(2),
            load_time: Span::from_secs(2),
            models: vec!["base".to_owned()],
            seed: 1,
        }
    }

    /// Sets the tokens per second that one request generates at full speed.
    #[must_use]
    pub fn with_speed(mut self, tokens_per_second: f64) -> Self {
        self.tokens_per_second = tokens_per_second;
        self
    }

    /// Sets whether the engine rejects requests and orders with a stale fencing
    /// number.
    #[must_use]
    pub fn with_fencing(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }
}
