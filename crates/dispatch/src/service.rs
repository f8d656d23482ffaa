//! The state of one service at this router.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_base::prelude::*;
use balsamchute_fair::order::{Reading, fleet_time};
use balsamchute_fair::{lender::Lender, queue::Queue};
use balsamchute_inventory::config::Kind;
use balsamchute_wire::exchange::Summary;

/// How long what a router says itself goes before what others say of it.
const DIRECT_HOLD: Span = Span::from_secs(1);

/// What another router published about a service.
pub(crate) struct Heard {
    reading: Reading,
    /// When the router itself last said so.
    direct: Option<Time>,
}

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
    /// The virtual time that was last told.
    pub told_time: f64,
    /// The owners that were told, unless the need was withdrawn.
    pub told_to: BTreeSet<Instance>,
    /// What other routers published last.
    pub heard: BTreeMap<Instance, Heard>,
}

impl State {
    /// Returns what this router publishes about the service.
    pub fn summary(&self, service: &Service) -> Summary {
        Summary {
            service: service.clone(),
            virtual_time: self.queue.virtual_time(),
            backlog: self.queue.backlog(),
            weight: self.queue.weight(),
            free: self.lender.free(),
        }
    }

    /// Takes in what another router published, by itself (`direct`) or passed on.
    pub fn learn(&mut self, now: Time, from: &Instance, summary: &Summary, direct: bool) {
        let before = self.heard.get(from).and_then(|heard| heard.direct);
        if !direct && before.is_some_and(|at| now.since(at) < DIRECT_HOLD) {
            return;
        }
        let reading = Reading {
            virtual_time: summary.virtual_time,
            backlog: summary.backlog,
            weight: summary.weight,
        };
        let direct = if direct { Some(now) } else { before };
        self.heard.insert(from.clone(), Heard { reading, direct });
        let Reading {
            virtual_time,
            backlog,
            weight,
        } = reading;
        self.lender
            .summary(now, from, virtual_time, weight, backlog);
        let readings = self.heard.values().map(|heard| heard.reading);
        if let Some(time) = fleet_time(readings.chain([self.reading()])) {
            self.queue.observe(time);
        }
    }

    /// Returns whether a mean request or more was served since the virtual time
    /// was last told. Owners that do not know it all serve this router at once,
    /// and bring it too far ahead.
    pub fn moved(&self) -> bool {
        let ahead = self.queue.virtual_time() - self.told_time;
        ahead * self.queue.weight() >= self.queue.mean_cost()
    }

    /// Returns whether requests wait at another router.
    pub fn is_contended(&self) -> bool {
        self.heard.values().any(|heard| heard.reading.backlog > 0)
    }

    /// Forgets a router that is gone.
    pub fn forget(&mut self, now: Time, peer: &Instance) {
        self.heard.remove(peer);
        self.lender.forget(now, peer);
    }

    fn reading(&self) -> Reading {
        Reading {
            virtual_time: self.queue.virtual_time(),
            backlog: self.queue.backlog(),
            weight: self.queue.weight(),
        }
    }
}
