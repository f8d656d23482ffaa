//! Fairness and utilisation of one service, from execution records.

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use serde::Serialize;

use super::Execution;
use crate::caller::call::History;

/// Time between two samples.
pub const STEP: Span = Span(50);

/// The part of a run that is looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Window {
    /// Its start.
    pub start: Time,
    /// Its end.
    pub end: Time,
}

impl Window {
    /// Creates a window.
    #[must_use]
    pub fn new(start: Time, end: Time) -> Self {
        Window { start, end }
    }

    fn samples(self) -> impl Iterator<Item = Time> {
        let count = self.end.since(self.start).as_millis() / STEP.as_millis();
        (0..=count).map(move |step| self.start + Span(step * STEP.as_millis()))
    }
}

/// The slots that a service had over time.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Slots that a runner had, from one time to another.
    pub spells: Vec<(Runner, u32, Window)>,
}

impl Capacity {
    /// Returns the slots at `time`.
    #[must_use]
    pub fn at(&self, time: Time) -> u64 {
        let here = |window: &Window| window.start <= time && time < window.end;
        let spells = self.spells.iter().filter(|(_, _, window)| here(window));
        spells.map(|&(_, slots, _)| u64::from(slots)).sum()
    }
}

/// What a service did in a window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Largest difference of cost / weight between two workspaces that were
    /// both backlogged since the start of the window.
    pub fairness_gap: f64,
    /// The gap at each sample.
    #[serde(skip)]
    pub gaps: Vec<(Time, f64)>,
    /// Workspaces backlogged since the start of the window, at its middle.
    pub backlogged: usize,
    /// Share of slot time in use while a request waited; 1 if none ever did.
    pub utilisation: f64,
    /// Slot time while a request waited, in slot milliseconds.
    pub contended_slot_ms: f64,
}

/// A request that waits from its first submission to its execution.
struct Wait<'a> {
    workspace: &'a Workspace,
    from: Time,
    to: Time,
}

impl Figures {
    /// Computes the figures of `service` in `window`. Workspaces weigh 1 that
    /// are not in `weights`.
    #[must_use]
    pub fn new(
        service: &Service,
        window: Window,
        histories: &[History],
        executions: &[Execution],
        weights: &BTreeMap<Workspace, u32>,
        capacity: &Capacity,
    ) -> Self {
        let executions: Vec<_> = executions
            .iter()
            .filter(|execution| execution.service == *service)
            .collect();
        let waits = waits(service, histories, &executions);
        let mut figures = Figures::default();
        figures.gap(window, &waits, &executions, weights);
        figures.usage(window, &waits, &executions, capacity);
        figures
    }

    fn gap(
        &mut self,
        window: Window,
        waits: &[Wait<'_>],
        executions: &[&Execution],
        weights: &BTreeMap<Workspace, u32>,
    ) {
        let mut backlogged: Vec<&Workspace> = waiting(waits, window.start).collect();
        backlogged.sort();
        backlogged.dedup();
        let half = window.end.since(window.start).as_millis() / 2;
        for time in window.samples() {
            backlogged.retain(|workspace| waiting(waits, time).any(|one| one == *workspace));
            if time.since(window.start).as_millis() <= half {
                self.backlogged = backlogged.len();
            }
            let service = |workspace: &&Workspace| {
                let weight = weights.get(*workspace).copied().unwrap_or(1);
                let own = executions.iter().filter(|one| one.workspace == **workspace);
                let cost: f64 = own.map(|one| spent(one, window.start, time)).sum();
                cost / f64::from(weight)
            };
            let totals: Vec<f64> = backlogged.iter().map(service).collect();
            let most = totals.iter().copied().fold(f64::MIN, f64::max);
            let least = totals.iter().copied().fold(f64::MAX, f64::min);
            let gap = (most - least).max(0.0);
            self.gaps.push((time, gap));
            self.fairness_gap = self.fairness_gap.max(gap);
        }
    }

    fn usage(
        &mut self,
        window: Window,
        waits: &[Wait<'_>],
        executions: &[&Execution],
        capacity: &Capacity,
    ) {
        let step = STEP.as_millis() as f64;
        let mut busy = 0.0;
        for time in window.samples() {
            let slots = capacity.at(time);
            let demand = waiting(waits, time).count() as u64;
            let running = executions.iter().filter(|one| runs(one, time)).count() as u64;
            let usable = slots.min(running + demand);
            if demand > 0 {
                busy += running.min(usable) as f64 * step;
                self.contended_slot_ms += usable as f64 * step;
            }
        }
        self.utilisation = match self.contended_slot_ms {
            0.0 => 1.0,
            slot_ms => busy / slot_ms,
        };
    }
}

fn waits<'a>(
    service: &Service,
    histories: &'a [History],
    executions: &[&Execution],
) -> Vec<Wait<'a>> {
    let mut starts: BTreeMap<&str, Time> = BTreeMap::new();
    for execution in executions {
        let start = starts.entry(&execution.request).or_insert(execution.start);
        *start = (*start).min(execution.start);
    }
    let mut waits = Vec::new();
    let own = histories.iter().filter(|one| one.call.service == *service);
    for history in own {
        for submission in &history.submissions {
            let start = starts.get(submission.request.as_str()).copied();
            waits.push(Wait {
                workspace: &history.call.workspace,
                from: submission.sent,
                to: start.unwrap_or(submission.finished),
            });
        }
    }
    waits
}

fn waiting<'a>(waits: &[Wait<'a>], time: Time) -> impl Iterator<Item = &'a Workspace> {
    let now = waits
        .iter()
        .filter(move |one| one.from <= time && time < one.to);
    now.map(|one| one.workspace)
}

fn runs(execution: &Execution, time: Time) -> bool {
    execution.start <= time && execution.end.is_none_or(|end| time < end)
}

/// Returns the cost that an execution had between two times, spread evenly
/// over its duration.
fn spent(execution: &Execution, from: Time, to: Time) -> f64 {
    let Some(end) = execution.end else { return 0.0 };
    let all = end.since(execution.start).as_millis().max(1) as f64;
    let start = execution.start.max(from);
    let part = end.min(to).since(start).as_millis() as f64;
    if execution.start >= from && execution.end <= Some(to) {
        return execution.cost.0 as f64;
    }
    execution.cost.0 as f64 * part / all
}
