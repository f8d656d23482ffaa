//! Figures of the experiment, from histories and execution records.

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_wire::record::Outcome;
use serde::Serialize;

use super::faults::Outage;
use crate::audit::Execution;
use crate::caller::call::{History, Repeat, Reply};

/// Returns whether a call ended with `unknown`.
pub fn is_unknown(history: &History) -> bool {
    has_outcome(history, Outcome::Unknown)
}

fn has_outcome(history: &History, outcome: Outcome) -> bool {
    matches!(history.last(), Some(Reply::End { end, .. }) if end.outcome == outcome)
}

/// Counts the bookings wanted during the outage at routers that lived through
/// it, and those of them that were served before its end. Bookings whose
/// callers insist on a durable key are left out.
pub fn served(histories: &[History], outage: &Outage) -> (u64, u64) {
    let wanted = histories.iter().filter(|history| {
        matches!(history.call.repeat, Repeat::Once(_)) && outage.contains(history)
    });
    let (mut all, mut served) = (0, 0);
    for history in wanted {
        all += 1;
        if has_outcome(history, Outcome::Done) && history.over <= outage.end {
            served += 1;
        }
    }
    (all, served)
}

/// Time to the answer less the target's own time, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Overhead {
    booking_p50_ms: i64,
    booking_p95_ms: i64,
    other_p50_ms: i64,
    other_p95_ms: i64,
}

impl Overhead {
    /// Returns what a claim adds at the median, in milliseconds.
    pub fn added_p50_ms(&self) -> i64 {
        self.booking_p50_ms - self.other_p50_ms
    }
}

/// Returns the overhead of the calls that were over before `until`.
pub fn overhead(histories: &[History], executions: &[Execution], until: Time) -> Overhead {
    let costs: BTreeMap<&str, Cost> = executions
        .iter()
        .map(|execution| (execution.request.as_str(), execution.cost))
        .collect();
    let overheads = |booking: bool| {
        let mut overheads: Vec<i64> = histories
            .iter()
            .filter(|history| history.over <= until && history.submissions.len() == 1)
            .filter(|history| matches!(history.call.repeat, Repeat::Once(_)) == booking)
            .filter(|history| has_outcome(history, Outcome::Done))
            .filter_map(|history| {
                let cost = costs.get(history.submissions[0].request.as_str())?;
                let total = history.over.since(history.wanted).as_millis() as i64;
                Some(total - cost.0 as i64)
            })
            .collect();
        overheads.sort_unstable();
        overheads
    };
    let (with, without) = (overheads(true), overheads(false));
    let at = |all: &[i64], share: usize| all.get(all.len() * share / 100).copied().unwrap_or(0);
    Overhead {
        booking_p50_ms: at(&with, 50),
        booking_p95_ms: at(&with, 95),
        other_p50_ms: at(&without, 50),
        other_p95_ms: at(&without, 95),
    }
}
