//! Virtual time, and an order for it.

use std::cmp::Ordering;

/// A virtual time that can be a key: cost for each unit of weight.
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

/// A router's virtual time for a service, as published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Its virtual time.
    pub virtual_time: f64,
    /// Requests that wait there and could run.
    pub backlog: u32,
    /// Sum of the weights of its workspaces that have requests waiting.
    pub weight: f64,
}

/// Returns the virtual time of a fleet, `None` for an empty one.
///
/// It is the mean over the backlogged routers by backlogged weight. If none is
/// backlogged it is the highest, so that a router that starts to queue does not
/// start behind what idle routers have already served.
#[must_use]
pub fn fleet_time(readings: impl IntoIterator<Item = Reading>) -> Option<f64> {
    let mut weight = 0.0;
    let mut sum = 0.0;
    let mut highest: Option<f64> = None;
    for reading in readings {
        if !reading.virtual_time.is_finite() {
            continue;
        }
        if reading.backlog > 0 && reading.weight.is_finite() && reading.weight > 0.0 {
            weight += reading.weight;
            sum += reading.weight * reading.virtual_time;
        }
        highest = Some(highest.map_or(reading.virtual_time, |v| v.max(reading.virtual_time)));
    }
    if weight > 0.0 {
        Some(sum / weight)
    } else {
        highest
    }
}
