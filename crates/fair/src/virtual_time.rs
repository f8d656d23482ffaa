//! Virtual time: a totally ordered key and the mean over the fleet.

use std::cmp::Ordering;

/// Virtual time in cost per unit of weight, with a total order so that it can be
/// the key of a sorted collection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tag(pub f64);

impl PartialEq for Tag {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Virtual time and backlog of a service's queue, as one router publishes them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Snapshot {
    /// Virtual time of the queue, in cost per unit of weight.
    pub virtual_time: f64,
    /// Requests that wait at the router and that no limit holds back.
    pub backlog: u32,
    /// Sum of the weights of the workspaces that the backlog belongs to.
    pub backlogged_weight: f64,
}

/// Returns the virtual time of a fleet, or `None` without any finite snapshot.
///
/// The mean over the backlogged routers is weighted by their backlogged weight. If
/// no router is backlogged, the result is the highest virtual time, so that a
/// router that begins to queue does not lag behind routers that have served
/// requests and are idle now.
#[must_use]
pub fn fleet_virtual_time(snapshots: impl IntoIterator<Item = Snapshot>) -> Option<f64> {
    let mut total_weight = 0.0;
    let mut weighted_sum = 0.0;
    let mut highest: Option<f64> = None;
    for snapshot in snapshots {
        if !snapshot.virtual_time.is_finite() {
            continue;
        }
        if snapshot.backlog > 0
            && snapshot.backlogged_weight.is_finite()
            && snapshot.backlogged_weight > 0.0
        {
            total_weight += snapshot.backlogged_weight;
            weighted_sum += snapshot.backlogged_weight * snapshot.virtual_time;
        }
        highest = Some(highest.map_or(snapshot.virtual_time, |max| max.max(snapshot.virtual_time)));
    }
    if total_weight > 0.0 {
        Some(weighted_sum / total_weight)
    } else {
        highest
    }
}
