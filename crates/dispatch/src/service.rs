//! The state of one service at this router.

use balsamchute_base::prelude::*;
use balsamchute_fair::{lender::Lender, queue::Queue};
use balsamchute_inventory::config::Kind;
use balsamchute_wire::exchange::Summary;

/// Queue and slots of one service.
pub(crate) struct State {
    /// What its runners speak.
    pub kind: Kind,
    /// Requests that wait here.
    pub queue: Queue,
    /// Slots of the runners that this router owns.
    pub lender: Lender,
    /// When the need was last told to owners.
    pub told: Time,
    /// The backlog that was last told.
    pub told_backlog: u32,
}

impl State {
    /// Returns what this router publishes about the service.
    pub fn summary(&self, service: &Service) -> Summary {
        Summary {
            service: service.clone(),
            virtual_time: self
                .queue
                .head()
                .unwrap_or_else(|| self.queue.virtual_time()),
            backlog: self.queue.backlog(),
            weight: self.queue.weight(),
            free: self.lender.free(),
        }
    }
}
