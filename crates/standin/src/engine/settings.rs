//! Settings of an engine.

use std::net::{Ipv4Addr, SocketAddr};

use balsamchute_base::prelude::*;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Requests that it runs at full speed.
    pub slots: u32,
    /// Tokens that one request generates in a second.
    pub tokens_per_second: f64,
    /// Whether it refuses work and orders with an old fencing number.
    pub checks_fence: bool,
    /// Time before the first token unless the prefix is cached.
    pub prefill: Span,
    /// Prefixes that its cache holds.
    pub cache: usize,
    /// How long it is away after a crash.
    pub restart: Span,
    /// How long a stream goes on without a reader.
    pub linger: Span,
    /// How long a model takes to load.
    pub load_time: Span,
    /// Models that it has at start.
    pub models: Vec<String>,
    /// Seed of its random choices.
    pub seed: u64,
}

impl Settings {
    /// Creates settings with the usual values for the rest.
    #[must_use]
    pub fn new(name: &str, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            slots,
            tokens_per_second: 20.0,
            checks_fence: true,
            prefill: Span(0),
            cache: 64,
            restart: Span::from_secs(2),
            linger: Span::from_secs(2),
            load_time: Span::from_secs(2),
            models: vec!["base".to_owned()],
            seed: 1,
        }
    }

    /// Sets the tokens that one request generates in a second.
    #[must_use]
    pub fn with_speed(mut self, tokens_per_second: f64) -> Self {
        self.tokens_per_second = tokens_per_second;
        self
    }

    /// Sets whether it refuses work and orders with an old fencing number.
    #[must_use]
    pub fn with_fencing(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }
}
