//! Steady load on a deployment, and rows of a verdict for tables.

use crate::audit::Verdict;
use crate::deployment::Deployment;
use crate::fleet::TOKENS_PER_SECOND;
use crate::report::Table;
use crate::workload::{Flow, Workload};

/// Mean cost of a call to an engine in tokens.
const TOKENS: u32 = 60;

/// Mean cost of a call to a plain service in milliseconds.
const CALL_MS: u32 = 60;

/// Mean factor between the cost that is asked for and the mean: costs are
/// spread by a factor of up to 3 either way, (3 - 1/3) / (2 ln 3) on average.
const SPREAD: f64 = 1.214;

/// Share of the calls to a plain service that are non-idempotent.
const ONCE: f64 = 0.75;

/// How much of the capacity is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Of the engines.
    pub engine_share: f64,
    /// Of the plain services.
    pub plain_share: f64,
    /// How long, in seconds.
    pub seconds: u32,
}

/// Returns a workload of all workspaces with equal rates.
#[must_use]
pub fn workload(deployment: &Deployment, load: Load) -> Workload {
    let slots = |pool: usize| {
        let pool = &deployment.pools[pool];
        pool.runners as f64 * f64::from(pool.slots)
    };
    let workspaces = deployment.weights.len() as f64;
    let engine_s = SPREAD * f64::from(TOKENS) / TOKENS_PER_SECOND;
    let plain_s = SPREAD * f64::from(CALL_MS) / 1000.0;
    let engine_rate = load.engine_share * slots(0) / engine_s / workspaces;
    let plain_rate = load.plain_share * slots(1) / plain_s / workspaces;
    let mut flows = Vec::new();
    for (workspace, _) in &deployment.weights {
        flows.push(Flow {
            workspace: workspace.clone(),
            service: deployment.engine_service(),
            rate: engine_rate,
            burst: 0,
            cost: TOKENS,
            hint_error: 4.0,
            once: 0.0,
            deadline_ms: 60_000,
        });
        flows.push(Flow {
            workspace: workspace.clone(),
            service: deployment.plain_service(),
            rate: plain_rate,
            burst: 0,
            cost: CALL_MS,
            hint_error: 4.0,
            once: ONCE,
            deadline_ms: 60_000,
        });
    }
    Workload {
        deployment: deployment.name.to_owned(),
        duration_s: load.seconds,
        flows,
    }
}

/// Adds the counts of a verdict to a table of three columns.
pub fn verdict_rows(table: &mut Table, verdict: &Verdict) {
    let rows = [
        ("requests", verdict.requests, "-"),
        ("answered", verdict.answered, "-"),
        ("failed", verdict.failed, "-"),
        ("refused, not run", verdict.refused_not_run, "-"),
        ("unknown", verdict.unknown, "-"),
        (
            "streams cut by killed, paused or cut-off routers",
            verdict.cuts_by_faults,
            "-",
        ),
        ("lost", verdict.lost, "0"),
        ("cut short", verdict.cut_short, "0"),
        ("run twice", verdict.run_twice, "0"),
        ("false \"not run\"", verdict.false_not_run, "0"),
        ("wrong answers", verdict.wrong_answer, "0"),
    ];
    for (name, value, bound) in rows {
        table.row([name.to_owned(), value.to_string(), bound.to_owned()]);
    }
}
