//! Bookings while routers are killed, paused and cut off and the store is down,
//! slow and loses answers: whether any runs twice or is falsely called not run.

mod faults;
mod figures;

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::Options;
use super::steady;
use crate::audit::{Execution, Verdict};
use crate::caller::call::{History, Repeat, Reply};
use crate::clock;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use crate::report::{self, Table};
use crate::traffic::{Planned, Traffic};
use crate::workload::{Flow, Workload};
use figures::Overhead;

/// How long calls are made, in seconds.
const SECONDS: u32 = 54;

/// Calls a second of each workspace to the plain service.
const RATE: f64 = 4.5;

/// Mean cost of a call in milliseconds.
const CALL_MS: u32 = 50;

/// Share of the calls that are bookings; the others are for comparison.
const ONCE: f64 = 0.85;

/// Share of the bookings that a second sender sends too, at the same time or
/// a little later and wherever it likes.
const TWINS: f64 = 0.3;

/// Longest time between the two senders of one key.
const TWIN_DELAY_MS: u64 = 1500;

/// Calls without an end that are explained.
const EXPLAINED: usize = 4;

/// Least share of the bookings that are served while the store is down.
const SERVED_BOUND: f64 = 0.99;

#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    pass: bool,
    seed: u64,
    bookings: u64,
    bookings_unknown_share: f64,
    booked_twice: u64,
    booked_twice_bound: u64,
    outage_bookings: u64,
    outage_served_share: f64,
    outage_served_bound: f64,
    claim_added_p50_ms: i64,
    overhead: Overhead,
    store_writes_per_s: f64,
    store_reads_per_s: f64,
    #[serde(flatten)]
    verdict: Verdict,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an [`Error`] if the fleet cannot be brought up or a fault cannot be
/// caused.
pub fn run(options: Options) -> Result<bool, Error> {
    let deployment = Deployment::association();
    let mut fleet = Fleet::start(&Plan::new(deployment.clone()))?;
    let plan = plan(&deployment, options.seed);
    let before = fleet.platform().calls();
    let started = clock::now();
    let traffic = Traffic::start(&fleet.caller(), plan);
    let outage = faults::cause(&mut fleet, started)?;
    let histories = traffic.join();
    let seconds = clock::now().since(started).as_millis() as f64 / 1000.0;
    let calls = fleet.platform().calls();
    explain_lost(&fleet, &histories);
    let executions = fleet.executions();
    let verdict = fleet.judge(&histories);
    let (outage_bookings, served) = figures::served(&histories, &outage);
    let overhead = figures::overhead(&histories, &executions, started + faults::QUIET);
    let booked_twice = booked_twice(&histories, &executions);
    let bookings: Vec<_> = histories.iter().filter(|h| is_booking(h)).collect();
    let unknown = bookings.iter().filter(|h| figures::is_unknown(h)).count();
    let outage_served_share = served as f64 / outage_bookings.max(1) as f64;
    let broken = verdict.run_twice + verdict.false_not_run + verdict.wrong_answer;
    let pass = broken + verdict.cut_short + verdict.lost + booked_twice == 0
        && outage_bookings > 0
        && outage_served_share >= SERVED_BOUND;
    let report = Report {
        experiment: "once",
        pass,
        seed: options.seed,
        bookings: bookings.len() as u64,
        bookings_unknown_share: unknown as f64 / bookings.len().max(1) as f64,
        booked_twice,
        booked_twice_bound: 0,
        outage_bookings,
        outage_served_share,
        outage_served_bound: SERVED_BOUND,
        claim_added_p50_ms: overhead.added_p50_ms(),
        overhead,
        store_writes_per_s: (calls.writes - before.writes) as f64 / seconds,
        store_reads_per_s: (calls.reads - before.reads) as f64 / seconds,
        verdict,
    };
    print(&report, options);
    Ok(report.pass)
}

/// Prints what the routers did with the first calls that got no end.
fn explain_lost(fleet: &Fleet, histories: &[History]) {
    let lost = histories
        .iter()
        .filter(|history| !matches!(history.last(), Some(Reply::End { .. } | Reply::Broken(_))));
    for submission in lost
        .filter_map(|history| history.submissions.last())
        .take(EXPLAINED)
    {
        eprintln!(
            "{} at {}, sent at {}:",
            submission.request, submission.router, submission.sent.0
        );
        for line in fleet.explain(&submission.request) {
            eprintln!("  {line}");
        }
    }
}

/// Returns the calls: bookings, some of them sent by two senders, and others.
fn plan(deployment: &Deployment, seed: u64) -> Vec<Planned> {
    let flow = |workspace: &Workspace| Flow {
        workspace: workspace.clone(),
        service: deployment.plain_service(),
        rate: RATE,
        burst: 0,
        cost: CALL_MS,
        hint_error: 4.0,
        once: ONCE,
        deadline_ms: 30_000,
    };
    let workload = Workload {
        deployment: deployment.name.to_owned(),
        duration_s: SECONDS,
        flows: deployment.weights.iter().map(|(w, _)| flow(w)).collect(),
    };
    let mut plan = workload.plan(deployment, seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut twins = Vec::new();
    for planned in &mut plan {
        let Repeat::Once(key) = &planned.call.repeat else {
            continue;
        };
        if !random.random_bool(TWINS) {
            continue;
        }
        planned.call.repeat = Repeat::Durable(key.clone());
        let mut twin = planned.clone();
        twin.call.id = format!("{}-twin", twin.call.id);
        twin.at = Span(twin.at.0 + random.random_range(0..TWIN_DELAY_MS));
        twins.push(twin);
    }
    plan.extend(twins);
    plan
}

fn is_booking(history: &History) -> bool {
    history.call.repeat != Repeat::Idempotent
}

/// Counts the bookings that ran more than once, under whichever keys.
fn booked_twice(histories: &[History], executions: &[Execution]) -> u64 {
    let mut runs: BTreeMap<(&Workspace, &str), u64> = BTreeMap::new();
    for execution in executions {
        if let Some(key) = &execution.key {
            *runs.entry((&execution.workspace, key)).or_default() += 1;
        }
    }
    let twice = histories.iter().filter(|history| {
        let mut keys: Vec<&Key> = history.submissions.iter().flat_map(|s| &s.key).collect();
        keys.sort();
        keys.dedup();
        let workspace = &history.call.workspace;
        let count = |key: &&Key| runs.get(&(workspace, key.as_str())).copied().unwrap_or(0);
        keys.iter().map(count).sum::<u64>() > 1
    });
    twice.count() as u64
}

fn print(report: &Report, options: Options) {
    let mut table = Table::new(&["bookings under faults", "", "bound"]);
    let row = |name: &str, value: String, bound: &str| [name.to_owned(), value, bound.to_owned()];
    let percent = |share: f64| format!("{:.2}%", share * 100.0);
    table.row(row("bookings", report.bookings.to_string(), "-"));
    table.row(row("unknown", percent(report.bookings_unknown_share), "-"));
    table.row(row("booked twice", report.booked_twice.to_string(), "0"));
    table.row(row(
        "bookings while the store was down",
        report.outage_bookings.to_string(),
        "-",
    ));
    table.row(row(
        "of these served by then",
        percent(report.outage_served_share),
        ">= 99%",
    ));
    let added = report.claim_added_p50_ms.to_string();
    table.row(row("added by a claim, p50 ms", added, "-"));
    let rates = [
        ("writes a second to the store", report.store_writes_per_s),
        ("reads a second from the store", report.store_reads_per_s),
    ];
    for (name, value) in rates {
        table.row(row(name, format!("{value:.1}"), "-"));
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
