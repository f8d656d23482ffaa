//! Changes of the configuration under faults: how long until they are in force
//! everywhere, whether any goes back, and whether operators are told the truth.

mod judge;
mod operators;
mod watch;

use std::thread;

use balsamchute_base::prelude::*;
use serde::Serialize;

use self::judge::Excuse;
use self::operators::Operators;
use self::watch::Watch;
use super::Options;
use crate::clock;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::fleet::{CONFIG_PATH, Fleet, Plan};
use crate::report::{self, Table};

/// Longest time for a change to be in force everywhere.
const IN_FORCE: Span = Span::from_secs(5);

/// Operators who race each other.
const OPERATORS: u64 = 3;

/// Share of the platform's answers that are lost in the second phase and later.
const LOSS: f64 = 0.2;

/// Time that the platform takes for an answer in the second phase.
const SLOW: Span = Span(150);

/// Time after the last change in which it must come into force.
const SETTLE: Span = Span::from_secs(7);

/// Fewest changes of a run that says something.
const MIN_CHANGES: usize = 20;

/// What the run has shown.
#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    pass: bool,
    seed: u64,
    changes: usize,
    min_changes: usize,
    in_force_p50_ms: u64,
    in_force_p99_ms: u64,
    in_force_worst_ms: u64,
    in_force_bound_ms: u64,
    never_in_force: usize,
    reversions: usize,
    stale_starts: usize,
    operators_told: usize,
    operators_misled: usize,
    operators_unsettled: usize,
    platform_reads: u64,
    platform_writes: u64,
    platform_watches: u64,
    seconds: u64,
    faults: Vec<String>,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an [`Error`] if the fleet cannot be brought up.
pub fn run(options: Options) -> Result<bool, Error> {
    let mut fleet = Fleet::start(&Plan::new(Deployment::association()))?;
    fleet.platform().follow(CONFIG_PATH);
    let started = clock::now();
    let before = fleet.platform().calls();
    let watch = Watch::new(fleet.callers());
    let operators = Operators::start(fleet.platform().address(), OPERATORS, options.seed);
    let run = thread::scope(|scope| {
        watch.start(scope);
        let excuses = disturb(&mut fleet, &watch, started);
        let answers = operators.stop();
        clock::sleep_until(clock::now() + SETTLE);
        watch.stop();
        excuses.map(|excuses| (excuses, answers))
    });
    let (excuses, answers) = run?;
    let changes = fleet.platform().changes(CONFIG_PATH);
    let calls = fleet.platform().calls();
    let seconds = clock::now().since(started).as_millis() / 1000;
    let figures = judge::figures(&watch, &changes, &excuses, &answers);
    let bound = IN_FORCE.as_millis();
    let sound = figures.reversions + figures.stale_starts + figures.misled + figures.never == 0;
    let report = Report {
        experiment: "config",
        pass: sound && figures.worst_ms <= bound && figures.changes >= MIN_CHANGES,
        seed: options.seed,
        changes: figures.changes,
        min_changes: MIN_CHANGES,
        in_force_p50_ms: figures.p50_ms,
        in_force_p99_ms: figures.p99_ms,
        in_force_worst_ms: figures.worst_ms,
        in_force_bound_ms: bound,
        never_in_force: figures.never,
        reversions: figures.reversions,
        stale_starts: figures.stale_starts,
        operators_told: figures.told,
        operators_misled: figures.misled,
        operators_unsettled: figures.unsettled,
        platform_reads: calls.reads - before.reads,
        platform_writes: calls.writes - before.writes,
        platform_watches: calls.watches - before.watches,
        seconds,
        faults: figures.faults,
    };
    print(&report, options);
    Ok(report.pass)
}

fn print(report: &Report, options: Options) {
    let mut table = Table::new(&["changes under faults", "", "bound"]);
    let none = || "-".to_owned();
    let rows = [
        (
            "changes accepted",
            report.changes as u64,
            format!(">= {}", report.min_changes),
        ),
        (
            "in force everywhere, p50 ms",
            report.in_force_p50_ms,
            none(),
        ),
        (
            "in force everywhere, p99 ms",
            report.in_force_p99_ms,
            none(),
        ),
        (
            "in force everywhere, worst ms",
            report.in_force_worst_ms,
            report.in_force_bound_ms.to_string(),
        ),
        (
            "never in force at a router",
            report.never_in_force as u64,
            "0".to_owned(),
        ),
        ("reversions", report.reversions as u64, "0".to_owned()),
        (
            "served with an old version after a start",
            report.stale_starts as u64,
            "0".to_owned(),
        ),
        (
            "operators told a falsehood",
            report.operators_misled as u64,
            "0".to_owned(),
        ),
        (
            "operators told nothing",
            report.operators_unsettled as u64,
            none(),
        ),
        ("platform reads", report.platform_reads, none()),
        ("platform writes", report.platform_writes, none()),
        ("platform watches", report.platform_watches, none()),
    ];
    for (name, value, bound) in rows {
        table.row([name.to_owned(), value.to_string(), bound]);
    }
    println!("{table}");
    for fault in &report.faults {
        println!("{fault}");
    }
    if options.json {
        report::print_json(report);
    }
}

/// Breaks things in phases and returns in which times which router could not
/// know of a change.
fn disturb(fleet: &mut Fleet, watch: &Watch, started: Time) -> Result<Vec<Excuse>, Error> {
    let mut excuses = Vec::new();
    let mut excuse = |router: usize, from: Time| {
        let to = clock::now();
        excuses.push(Excuse { router, from, to });
    };
    let at = |seconds: u64| clock::sleep_until(started + Span::from_secs(seconds));

    at(5); // A slow platform that loses answers.
    fleet.platform().set_answer_loss(LOSS);
    fleet.platform().set_delay(SLOW);
    at(11);
    fleet.platform().set_delay(Span(0));

    at(14); // An outage. What was accepted before spreads on between the routers.
    fleet.platform().set_down(true);
    at(18);
    fleet.platform().set_down(false);

    at(21); // Three routers see one another but neither the platform nor the rest.
    let cut = clock::now();
    fleet.cut_routers(&[1, 2, 3], true)?;
    at(26);
    fleet.heal_routers()?;
    [1, 2, 3].into_iter().for_each(|router| excuse(router, cut));

    at(29); // One router sees the platform but no other router.
    fleet.cut_routers(&[5], false)?;
    at(33);
    fleet.heal_routers()?;

    at(35); // One is paused, one killed and restarted empty.
    let broken = clock::now();
    fleet.pause_router(6)?;
    fleet.kill_router(0)?;
    at(37);
    fleet.restart_router(0)?;
    watch.wait_serving(0);
    excuse(0, broken);
    at(39);
    fleet.resume_router(6)?;
    excuse(6, broken);

    at(42); // One restarts empty during an outage: only its peers can tell it.
    fleet.platform().set_down(true);
    let broken = clock::now();
    fleet.restart_router(4)?;
    watch.wait_serving(4);
    excuse(4, broken);
    at(46);
    fleet.platform().set_down(false);
    at(51);
    fleet.platform().set_answer_loss(0.0);
    Ok(excuses)
}
