//! Idle connections to runners.

use std::collections::HashMap;

use balsamchute_model::prelude::*;

/// Share of the connections that a runner accepts which all routers together
/// may keep idle there; the rest is for requests under way and new routers.
const IDLE_SHARE: f64 = 0.5;

/// Idle connections by runner, the most recently used last.
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

    /// Returns how many idle connections one of `routers` may keep to a runner
    /// that accepts `connections` of all of them.
    #[must_use]
    pub fn limit(connections: u32, routers: u32) -> usize {
        let each = f64::from(connections) * IDLE_SHARE / f64::from(routers.max(1));
        (each as usize).max(1)
    }

    /// Adds the connection in `slot`. Returns the least recently used one if
    /// there are more than `limit`; it is to be closed.
    #[must_use]
    pub fn put(&mut self, runner: &Runner, slot: usize, limit: usize) -> Option<usize> {
        let slots = self.idle.entry(runner.clone()).or_default();
        slots.push(slot);
        (slots.len() > limit).then(|| slots.remove(0))
    }

    /// Takes the most recently used connection.
    #[must_use]
    pub fn take(&mut self, runner: &Runner) -> Option<usize> {
        self.idle.get_mut(runner)?.pop()
    }

    /// Removes the connection in `slot`.
    pub fn remove(&mut self, runner: &Runner, slot: usize) {
        if let Some(slots) = self.idle.get_mut(runner) {
            slots.retain(|&other| other != slot);
            if slots.is_empty() {
                self.idle.remove(runner);
            }
        }
    }
}
