//! Routers replaced under load, killed and stopped as planned in turn: whether
//! anything is lost, and how long until a new one serves.

use balsamchute_base::prelude::*;
use serde::Serialize;

use super::Options;
use super::steady::{self, Load};
use crate::audit::Verdict;
use crate::clock;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use crate::report::{self, Table};
use crate::traffic::Traffic;

/// Replacements of a node in a day: ten times those of the expected fleet,
/// 1,700 a day over 350 nodes.
const RATE_BOUND: f64 = 10.0 * 1_700.0 / 350.0;

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

/// Load on the fleet.
const LOAD: Load = Load {
    engine_share: 0.7,
    plain_share: 0.5,
    seconds: 60,
};

/// Time between two replacements.
const INTERVAL: Span = Span::from_secs(4);

/// Replacements of a run.
const REPLACEMENTS: usize = 13;

/// What the run has shown.
#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    pass: bool,
    seed: u64,
    replacements: usize,
    replacements_a_node_and_day: f64,
    replacements_bound: f64,
    serve_again_p50_ms: u64,
    serve_again_worst_ms: u64,
    #[serde(flatten)]
    verdict: Verdict,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an [`Error`] if the fleet cannot be brought up or a router does not
/// stop or start.
pub fn run(options: Options) -> Result<bool, Error> {
    let deployment = Deployment::association();
    let mut fleet = Fleet::start(&Plan::new(deployment.clone()))?;
    let plan = steady::workload(&deployment, LOAD).plan(&deployment, options.seed);
    let traffic = Traffic::start(&fleet.caller(), plan);
    let started = clock::now();
    let mut times = Vec::new();
    for turn in 0..REPLACEMENTS {
        clock::sleep_until(started + Span(INTERVAL.as_millis() * (turn as u64 + 1)));
        times.push(replace(&mut fleet, turn)?);
    }
    let seconds = clock::now().since(started).as_millis() as f64 / 1000.0;
    let histories = traffic.join();
    times.sort();
    let verdict = fleet.judge(&histories);
    let rate = REPLACEMENTS as f64 / fleet.routers().len() as f64 * DAY_S / seconds;
    let report = Report {
        experiment: "restart",
        pass: verdict.holds() && rate >= RATE_BOUND,
        seed: options.seed,
        replacements: REPLACEMENTS,
        replacements_a_node_and_day: rate,
        replacements_bound: RATE_BOUND,
        serve_again_p50_ms: times[times.len() / 2].as_millis(),
        serve_again_worst_ms: times[times.len() - 1].as_millis(),
        verdict,
    };
    print(&report, options);
    Ok(report.pass)
}

/// Replaces a router by an empty one, killed and stopped as planned in turn.
/// Returns how long the new one took to serve.
fn replace(fleet: &mut Fleet, turn: usize) -> Result<Span, Error> {
    let number = turn % fleet.routers().len();
    if turn.is_multiple_of(2) {
        fleet.kill_router(number)?;
    } else {
        fleet.drain_router(number)?;
        fleet.wait_drained(number)?;
    }
    let begun = clock::now();
    fleet.restart_router(number)?;
    Ok(clock::now().since(begun))
}

fn print(report: &Report, options: Options) {
    let mut table = Table::new(&["routers replaced under load", "", "bound"]);
    let rate = format!("{:.0}", report.replacements_a_node_and_day);
    let bound = format!(">= {:.1}", report.replacements_bound);
    table.row(["replacements a node and day".to_owned(), rate, bound]);
    let times = [
        ("serves again after, p50 ms", report.serve_again_p50_ms),
        ("serves again after, worst ms", report.serve_again_worst_ms),
    ];
    for (name, value) in times {
        table.row([name.to_owned(), value.to_string(), "-".to_owned()]);
    }
    steady::verdict_rows(&mut table, &report.verdict);
    println!("{table}");
    for fault in &report.verdict.faults {
        println!("{fault}");
    }
    if options.json {
        report::print_json(report);
    }
}
