//! The share of slot time that is idle while work waits that could use it, on a
//! healthy fleet, while routers are killed, and with fixed slots.

use std::thread;

use balsamchute_base::prelude::*;
use serde::Serialize;

use super::Options;
use super::fairness::{replayed, table};
use crate::audit::Verdict;
use crate::clock;
use crate::contention::{Contention, Findings};
use crate::deployment::Deployment;
use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use crate::replay::Policy;
use crate::report;
use crate::traffic::{Planned, Traffic};

/// Most idle slot time of a healthy fleet while work waits.
const HEALTHY_LIMIT: f64 = 0.01;

/// Most idle slot time while a router is killed again and again.
const KILLS_LIMIT: f64 = 0.03;

/// Time between two kills.
const KILL_EVERY: Span = Span::from_secs(20);

/// Time after which a killed router is replaced.
const REPLACED_AFTER: Span = Span::from_secs(4);

/// The report.
#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    pass: bool,
    seed: u64,
    /// Idle share of the healthy fleet, and its bound.
    figure: f64,
    bound: f64,
    kills: f64,
    kills_bound: f64,
    runs: Vec<Findings>,
    faults: Vec<String>,
}

/// Runs the experiment; returns whether the goals held.
///
/// # Errors
///
/// Returns an [`Error`] if a fleet cannot be brought up or a router not killed.
pub fn run(options: Options) -> Result<bool, Error> {
    let healthy = contention(Span::from_secs(30));
    let broken = contention(Span(3 * KILL_EVERY.0));
    let calls = healthy.plan(options.seed);
    eprintln!("utilisation: healthy, {} calls", calls.len());
    let (findings, verdict) = measure(&healthy, "healthy", &calls, false)?;
    let mut faults = verdict.faults;
    let mut runs = vec![findings];
    let fixed = replayed(&healthy, "fixed slots, replayed", Policy::Fixed, &calls);
    let calls = broken.plan(options.seed);
    eprintln!("utilisation: kills, {} calls", calls.len());
    let (findings, verdict) = measure(&broken, "a router killed every 20 s", &calls, true)?;
    faults.extend(verdict.faults);
    runs.extend([findings, fixed]);
    let report = Report {
        experiment: "utilisation",
        pass: runs[0].idle <= HEALTHY_LIMIT && runs[1].idle <= KILLS_LIMIT && faults.is_empty(),
        seed: options.seed,
        figure: runs[0].idle,
        bound: HEALTHY_LIMIT,
        kills: runs[1].idle,
        kills_bound: KILLS_LIMIT,
        runs,
        faults,
    };
    println!("{}", table(&report.runs));
    report.faults.iter().for_each(|fault| println!("{fault}"));
    if options.json {
        report::print_json(&report);
    }
    Ok(report.pass)
}

fn contention(window: Span) -> Contention {
    Contention {
        deployment: Deployment::caixa(),
        speed: 50.0,
        cost: 100,
        warm_up: Span::from_secs(6),
        window,
    }
}

fn measure(
    contention: &Contention,
    name: &str,
    calls: &[Planned],
    kills: bool,
) -> Result<(Findings, Verdict), Error> {
    let plan = Plan::new(contention.deployment.clone()).with_speed(contention.speed);
    let mut fleet = Fleet::start(&plan)?;
    let start = clock::now();
    let traffic = Traffic::start(&fleet.caller(), calls.to_vec());
    if kills {
        kill_routers(&mut fleet, contention, start)?;
    }
    let histories = traffic.join();
    let executions = fleet.executions();
    let capacity = fleet.capacity(&contention.deployment.engine_service());
    let findings = Findings::new(name, contention, start, &histories, &executions, &capacity);
    Ok((findings, fleet.judge(&histories)))
}

/// Kills one router after the other through the window.
fn kill_routers(fleet: &mut Fleet, contention: &Contention, start: Time) -> Result<(), Error> {
    let window = contention.window(start);
    let mut next = window.start;
    let mut number = 0;
    while next < window.end {
        clock::sleep_until(next);
        fleet.kill_router(number)?;
        thread::sleep(REPLACED_AFTER.into());
        fleet.restart_router(number)?;
        number = (number + 1) % fleet.routers().len();
        next = next + KILL_EVERY;
    }
    Ok(())
}
