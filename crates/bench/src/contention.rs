//! Calls of a service that is asked for more than it has, and what they show.

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_fair::bound::Bound;
use balsamchute_fair::{lender, queue};
use serde::Serialize;

use crate::audit::Execution;
use crate::audit::service::{Capacity, Figures, Window};
use crate::caller::call::History;
use crate::deployment::Deployment;
use crate::traffic::Planned;
use crate::workload::{Flow, Workload};

/// Workspaces that are backlogged throughout, the first of the deployment. The
/// others are light.
pub const BACKLOGGED: usize = 6;

/// Number of the backlogged workspace that floods the service.
const FLOOD: usize = 1;

/// Load of a light workspace as a part of its share.
const LIGHT_LOAD: f64 = 0.5;

/// Load of a backlogged workspace and of the flood as a part of their shares.
const HEAVY_LOAD: f64 = 1.15;
const FLOOD_LOAD: f64 = 2.0;

/// Seconds of its share that a backlogged workspace asks for at once.
const BURST_S: f64 = 8.0;

/// Hints are wrong by a factor up to this one.
const HINT_ERROR: f64 = 4.0;

/// Mean of the factor between the cost of a call and that of its flow, which
/// is 3 to a power that lies evenly between -1 and 1, and its largest value.
const MEAN_FACTOR: f64 = 1.2137;
const LARGEST_FACTOR: f64 = 3.0;

/// How long callers wait beyond the window: the rest of the work is done then.
const OVERTIME: Span = Span::from_secs(60);

/// Calls that keep the engines of a deployment contended.
#[derive(Clone, Debug)]
pub struct Contention {
    /// The deployment.
    pub deployment: Deployment,
    /// Tokens a second of one slot.
    pub speed: f64,
    /// Cost of a flow in tokens.
    pub cost: u32,
    /// Time before the window.
    pub warm_up: Span,
    /// Length of the window.
    pub window: Span,
}

impl Contention {
    /// Returns the slots of the engines.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let pool = &self.deployment.pools[0];
        pool.runners as u32 * pool.slots
    }

    /// Returns the mean cost of a call in tokens.
    #[must_use]
    pub fn mean_cost(&self) -> f64 {
        f64::from(self.cost) * MEAN_FACTOR
    }

    /// Returns how long a mean call runs.
    #[must_use]
    pub fn mean_service(&self) -> Span {
        Span((self.mean_cost() * 1_000.0 / self.speed) as u64)
    }

    /// Returns when the window ends, from the start of the calls.
    #[must_use]
    pub fn end(&self) -> Span {
        Span(self.warm_up.0 + self.window.0)
    }

    /// Returns the window of a run that started at `start`.
    #[must_use]
    pub fn window(&self, start: Time) -> Window {
        Window::new(start + self.warm_up, start + self.end())
    }

    /// Returns the calls; the same seed gives the same ones.
    #[must_use]
    pub fn plan(&self, seed: u64) -> Vec<Planned> {
        let workload = Workload {
            deployment: self.deployment.name.to_owned(),
            duration_s: (self.end().0 / 1_000) as u32,
            flows: self.flows(),
        };
        let mut plan = workload.plan(&self.deployment, seed);
        let over = self.end().0 + OVERTIME.0;
        for planned in &mut plan {
            planned.call.deadline = Span(over.saturating_sub(planned.at.0));
        }
        plan
    }

    fn flows(&self) -> Vec<Flow> {
        let weights = &self.deployment.weights;
        let heavy: f64 = weights[..BACKLOGGED]
            .iter()
            .map(|one| f64::from(one.1))
            .sum();
        let light: f64 = weights[BACKLOGGED..]
            .iter()
            .map(|one| f64::from(one.1))
            .sum();
        let calls = f64::from(self.slots()) * self.speed / self.mean_cost();
        let share = calls / (heavy + LIGHT_LOAD * light);
        let flow = |(number, (workspace, weight)): (usize, &(Workspace, u32))| {
            let share = share * f64::from(*weight);
            let (load, burst) = match number {
                FLOOD => (FLOOD_LOAD, 2.0 * BURST_S),
                _ if number < BACKLOGGED => (HEAVY_LOAD, BURST_S),
                _ => (LIGHT_LOAD, 0.0),
            };
            Flow {
                workspace: workspace.clone(),
                service: self.deployment.engine_service(),
                rate: share * load,
                burst: (share * burst).ceil() as u32,
                cost: self.cost,
                hint_error: HINT_ERROR,
                once: 0.0,
                deadline_ms: 1,
            }
        };
        weights.iter().enumerate().map(flow).collect()
    }

    /// Returns the bound on the gap by its formula.
    #[must_use]
    pub fn bound(&self, staleness: Span) -> Bound {
        let weights = self.deployment.weights[..BACKLOGGED].iter();
        Bound {
            largest: Cost((f64::from(self.cost) * LARGEST_FACTOR) as u64),
            mean: Cost(self.mean_cost() as u64),
            slots: self.slots(),
            backlogged_weight: weights.map(|one| f64::from(one.1)).sum(),
            weight: 1.0,
            credit: queue::Settings::default().credit,
            lag: queue::Settings::default().lag,
            staleness,
            rate: f64::from(self.slots()) * self.speed,
            router_weight: 1.0,
            lease: lender::Settings::default().lease,
        }
    }
}

/// What one run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Findings {
    /// What ran.
    pub name: String,
    /// Worst gap in the window, in tokens for each unit of weight.
    pub gap: f64,
    /// Worst gap in the first and in the second half of the window.
    pub gap_halves: [f64; 2],
    /// Largest deviation of a backlogged workspace from its share.
    pub share_error: f64,
    /// Cost served to each backlogged workspace in the window, for each unit of
    /// weight.
    pub served: Vec<f64>,
    /// Wait of light workspaces in milliseconds: p50, p95, p99.
    pub light_wait_ms: [u64; 3],
    /// Share of slot time idle while a request waited.
    pub idle: f64,
    /// Workspaces that were backlogged throughout.
    pub backlogged: usize,
    /// Requests that ran.
    pub executions: usize,
}

impl Findings {
    /// Computes the findings of a run that started at `start`.
    #[must_use]
    pub fn new(
        name: &str,
        contention: &Contention,
        start: Time,
        histories: &[History],
        executions: &[Execution],
        capacity: &Capacity,
    ) -> Self {
        let window = contention.window(start);
        let service = contention.deployment.engine_service();
        let weights: BTreeMap<Workspace, u32> =
            contention.deployment.weights.iter().cloned().collect();
        let figures = Figures::new(&service, window, histories, executions, &weights, capacity);
        let middle = window.start + Span(window.end.since(window.start).0 / 2);
        let worst = |later: bool| {
            let half = figures
                .gaps
                .iter()
                .filter(|(time, _)| (*time >= middle) == later);
            half.map(|(_, gap)| *gap).fold(0.0, f64::max)
        };
        let served = served(contention, window, executions);
        Findings {
            name: name.to_owned(),
            gap: figures.fairness_gap,
            gap_halves: [worst(false), worst(true)],
            share_error: share_error(&served),
            served,
            light_wait_ms: light_waits(contention, window, histories, executions),
            idle: 1.0 - figures.utilisation,
            backlogged: figures.backlogged,
            executions: executions.len(),
        }
    }
}

fn served(contention: &Contention, window: Window, executions: &[Execution]) -> Vec<f64> {
    let backlogged = contention.deployment.weights[..BACKLOGGED].iter();
    let served = backlogged.map(|(workspace, weight)| {
        let own = executions.iter().filter(|one| one.workspace == *workspace);
        let inside = own.filter(|one| one.start >= window.start && one.start < window.end);
        inside.map(|one| one.cost.0 as f64).sum::<f64>() / f64::from(*weight)
    });
    served.collect()
}

fn share_error(served: &[f64]) -> f64 {
    let mean = served.iter().sum::<f64>() / served.len() as f64;
    let errors = served.iter().map(|one| (one / mean - 1.0).abs());
    errors.fold(0.0, f64::max)
}

fn light_waits(
    contention: &Contention,
    window: Window,
    histories: &[History],
    executions: &[Execution],
) -> [u64; 3] {
    let light = &contention.deployment.weights[BACKLOGGED..];
    let starts: BTreeMap<&str, Time> = executions
        .iter()
        .map(|one| (one.request.as_str(), one.start))
        .collect();
    let mut waits = Vec::new();
    for history in histories {
        let own = light
            .iter()
            .any(|(workspace, _)| *workspace == history.call.workspace);
        if !own || history.wanted < window.start || history.wanted >= window.end {
            continue;
        }
        let start = history
            .submissions
            .iter()
            .find_map(|one| starts.get(one.request.as_str()));
        // One that never ran waited to its end.
        let start = start.copied().unwrap_or(history.over);
        waits.push(start.since(history.wanted).0);
    }
    waits.sort_unstable();
    let at = |percent: usize| {
        let place = waits.len() * percent / 100;
        waits
            .get(place.min(waits.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    };
    [at(50), at(95), at(99)]
}
