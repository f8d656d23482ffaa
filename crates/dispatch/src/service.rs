//! State of one service at this router.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_base::prelude::*;
use balsamchute_fair::virtual_time::{Snapshot, fleet_virtual_time};
use balsamchute_fair::{lender::Lender, queue::Queue};
use balsamchute_inventory::config::Kind;
use balsamchute_wire::exchange::Summary;

/// Time for which a summary received from a router itself takes precedence over
/// summaries relayed by others.
const DIRECT_PRECEDENCE: Span = Span::from_secs(1);

/// Last summary of a service that another router published.
pub(crate) struct Report {
    snapshot: Snapshot,
    /// Time of the last summary received from the router itself.
    direct_at: Option<Time>,
}

/// Queue and slots of one service.
pub(crate) struct State {
    /// Protocol that the runners speak.
    pub kind: Kind,
    /// Requests of the service that wait or run here.
    pub queue: Queue,
    /// Slots of the runners that this router owns.
    pub lender: Lender,
    /// Time at which the need was last sent to owners.
    pub need_sent_at: Time,
    /// Backlog that was last sent.
    pub sent_backlog: u32,
    /// Virtual time that was last sent.
    pub sent_virtual_time: f64,
    /// Owners that received the current need. Empty after a withdrawal.
    pub need_recipients: BTreeSet<Instance>,
    /// Last summary of each other router.
    pub reports: BTreeMap<Instance, Report>,
}

impl State {
    /// Returns the summary of the service that this router publishes.
    pub fn summary(&self, service: &Service) -> Summary {
        Summary {
            service: service.clone(),
            virtual_time: self.queue.virtual_time(),
            backlog: self.queue.backlog(),
            weight: self.queue.backlogged_weight(),
            free: self.lender.free_slots(),
        }
    }

    /// Merges a summary of another router, received from that router itself
    /// (`direct`) or relayed.
    pub fn merge_summary(&mut self, now: Time, from: &Instance, summary: &Summary, direct: bool) {
        let last_direct_at = self.reports.get(from).and_then(|report| report.direct_at);
        if !direct
            && last_direct_at.is_some_and(|direct_at| now.since(direct_at) < DIRECT_PRECEDENCE)
        {
            return;
        }
        let snapshot = Snapshot {
            virtual_time: summary.virtual_time,
            backlog: summary.backlog,
            backlogged_weight: summary.weight,
        };
        let direct_at = if direct { Some(now) } else { last_direct_at };
        self.reports.insert(
            from.clone(),
            Report {
                snapshot,
                direct_at,
            },
        );
        let Snapshot {
            virtual_time,
            backlog,
            backlogged_weight,
        } = snapshot;
        self.lender
            .update_summary(now, from, virtual_time, backlogged_weight, backlog);
        let snapshots = self.reports.values().map(|report| report.snapshot);
        if let Some(virtual_time) = fleet_virtual_time(snapshots.chain([self.snapshot()])) {
            self.queue.observe_fleet_time(virtual_time);
        }
    }

    /// Returns whether at least the mean cost of one request was served since
    /// the virtual time was last sent. Owners that still see the old virtual
    /// time all serve this router at once, which puts it too far ahead of the
    /// others.
    pub fn has_advanced(&self) -> bool {
        let advance = self.queue.virtual_time() - self.sent_virtual_time;
        advance * self.queue.backlogged_weight() >= self.queue.mean_cost()
    }

    /// Returns whether requests wait at another router.
    pub fn is_contended(&self) -> bool {
        self.reports
            .values()
            .any(|report| report.snapshot.backlog > 0)
    }

    /// Removes a router that left or restarted.
    pub fn forget_router(&mut self, now: Time, peer: &Instance) {
        self.reports.remove(peer);
        self.lender.remove_router(now, peer);
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            virtual_time: self.queue.virtual_time(),
            backlog: self.queue.backlog(),
            backlogged_weight: self.queue.backlogged_weight(),
        }
    }
}
