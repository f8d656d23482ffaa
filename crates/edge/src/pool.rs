//! Idle connections to runners.

use std::collections::HashMap;

use balsamchute_model::prelude::*;

/// Share of a runner's connection limit that all routers together may keep
/// idle. The rest is left to requests in flight and to new routers.
const IDLE_SHARE: f64 = 0.5;

/// Indices of idle connections by runner, the most recently used last.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: HashMap<Runner, Vec<usize>>,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new() -> Self {
        Pool::default()
    }

    /// Returns the number of idle connections that each of `routers` may keep
    /// to a runner that accepts `connections` in total, at least one.
    #[must_use]
    pub fn idle_limit(connections: u32, routers: u32) -> usize {
        let per_router = f64::from(connections) * IDLE_SHARE / f64::from(routers.max(1));
        (per_router as usize).max(1)
    }

    /// Adds the connection with index `index`. Returns the least recently used
    /// one if there are more than `limit`; it must then be closed.
    #[must_use]
    pub fn put(&mut self, runner: &Runner, index: usize, limit: usize) -> Option<usize> {
        let indices = self.idle.entry(runner.clone()).or_default();
        indices.push(index);
        (indices.len() > limit).then(|| indices.remove(0))
    }

    /// Takes the most recently used connection.
    #[must_use]
    pub fn take(&mut self, runner: &Runner) -> Option<usize> {
        self.idle.get_mut(runner)?.pop()
    }

    /// Removes the connection with index `index`.
    pub fn remove(&mut self, runner: &Runner, index: usize) {
        if let Some(indices) = self.idle.get_mut(runner) {
            indices.retain(|&other| other != index);
            if indices.is_empty() {
                self.idle.remove(runner);
            }
        }
    }
}
