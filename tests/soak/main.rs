//! Fault soak of the routers at the edge: real processes, a seeded plan of faults and
//! load, and checks of what callers and runners see.
//!
//! `cargo test --test soak -- --seed 7 --seconds 60` plays a seed; `--steady` plays it with
//! runners that are listed with one software version. Without these two, a short run of seed 1
//! of either kind is played. A run that failed keeps the logs of its routers and prints where.

#[allow(
    dead_code,
    reason = "shared with the tests of the binary, which use all of it"
)]
#[path = "../all/command.rs"]
mod command;
#[allow(
    dead_code,
    reason = "shared with the tests of the binary, which use all of it"
)]
#[path = "../all/edge/environment.rs"]
mod environment;

mod answer;
mod callers;
mod connection;
mod counts;
mod early;
mod event;
mod fleet;
mod framing;
mod hostile;
mod judge;
mod order;
mod plan;
mod process;
mod server;
mod shape;
mod steady;
mod streams;
mod trouble;
mod uploads;

use std::collections::BTreeSet;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Parser;

use crate::callers::Callers;
use crate::fleet::Fleet;
use crate::hostile::Clients;
use crate::judge::Judge;
use crate::plan::Plan;
use crate::shape::Shape;
use crate::uploads::Uploaders;

/// Time for which faults are injected without the option, in seconds.
const SECONDS: u64 = 15;
const STEADY_SECONDS: u64 = 8;

/// Time after the last fault within which the fleet must serve everything again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Requests per second that half of the runners accept for a while.
const LIMIT: u64 = 5;

/// Time for which they do: until limits count, and two windows.
const LIMIT_TIME: Duration = Duration::from_secs(9);

/// Routers from which on one of them reads the store for all.
const HUB_ROUTERS: usize = 20;

/// Exit code of a test binary whose tests failed.
const FAILURE_CODE: u8 = 101;

/// Streams taken up by callers below which a run of 20 s says little about their order.
const MIN_TAKEN_UP: usize = 100;

/// Options of the soak.
#[derive(Clone, Debug)]
struct Options {
    seed: Option<u64>,
    is_steady: bool,
    seconds: Option<u64>,
    routers: usize,
    filters: Vec<String>,
}

fn options() -> Options {
    let seed = bpaf::long("seed")
        .help("Seed of the faults and the load")
        .argument("SEED")
        .optional();
    let is_steady = bpaf::long("steady")
        .help("Lists all runners with one software version")
        .switch();
    let seconds = bpaf::long("seconds")
        .help("Time for which faults are injected")
        .argument("SECONDS")
        .optional();
    let routers = bpaf::long("routers")
        .help("Number of router processes, 2 to 200")
        .argument("COUNT")
        .fallback(4)
        .guard(|count| (2..=200).contains(count), "must be 2 to 200");
    let filters = bpaf::positional("FILTER")
        .help("Names of tests, as cargo passes them on")
        .many();
    bpaf::construct!(Options {
        seed,
        is_steady,
        seconds,
        routers,
        filters
    })
    .to_options()
    .run()
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == process::MODE) {
        process::run(&args[1..]);
    }
    let options = options();
    let is_selected = |filter: &String| "soak".contains(filter.as_str());
    if !options.filters.is_empty() && !options.filters.iter().any(is_selected) {
        return ExitCode::SUCCESS;
    }
    let usual = (Shape::new(options.routers), SECONDS);
    let steady = (Shape::steady(options.routers), STEADY_SECONDS);
    let runs = match (options.is_steady, options.seed) {
        (true, _) => vec![steady],
        (false, Some(_)) => vec![usual],
        (false, None) => vec![usual, steady],
    };
    let mut is_sound = true;
    for (shape, seconds) in runs {
        let seconds = options.seconds.unwrap_or(seconds);
        is_sound &= check(&shape, options.seed.unwrap_or(1), seconds);
    }
    match is_sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(FAILURE_CODE),
    }
}

/// Plays a run and prints what was seen. Returns whether all promises were kept.
fn check(shape: &Shape, seed: u64, seconds: u64) -> bool {
    let judge = run(shape, seed, seconds);
    let violations = judge.violations();
    let name = match shape.is_steady {
        false => "soak",
        true => "soak_steady",
    };
    println!("{name} seed={seed} {}", judge.summary());
    println!("{name} seed={seed} {}", judge.stream_summary());
    println!("{name} seed={seed} {}", judge.answer_summary());
    let taken_up = judge.streams().taken_up;
    if seconds >= 20 && taken_up < MIN_TAKEN_UP {
        println!("warning: callers took up {taken_up} streams, fewer than {MIN_TAKEN_UP}");
    }
    for violation in &violations {
        println!("violation {violation}");
    }
    // The lines and the exit code of a test binary, so that CI can list promises that are
    // known to be broken.
    let promises = violations.iter().map(|text| promise_of(text));
    for promise in promises.collect::<BTreeSet<_>>() {
        println!("test {name}::{promise} ... FAILED");
    }
    violations.is_empty()
}

/// Returns the promise that a violation names, as a part of the name of a test.
fn promise_of(violation: &str) -> String {
    let mut parts = violation.split(": ");
    let name = match (parts.next(), parts.next()) {
        (Some(group @ ("order" | "mixed" | "sound answer")), Some(part)) => {
            format!("{group}::{part}")
        }
        (name, _) => name.unwrap_or_default().to_owned(),
    };
    name.replace(' ', "_")
}

/// Plays the plan of a seed and returns what was seen.
fn run(shape: &Shape, seed: u64, seconds: u64) -> Judge {
    let plan = Plan::new(seed, Duration::from_secs(seconds), shape);
    let judge = Judge::new(shape);
    judge.measure_wakeups();
    let mut fleet = Fleet::start(*shape, &judge);
    let callers = Callers::start(seed, shape, fleet.router_addresses(), &judge);
    let hostile = Clients::start(seed, shape, &fleet.router_addresses());
    let uploaders = Uploaders::start(seed, &fleet.router_addresses(), &judge);
    let begin = Instant::now();
    for step in &plan.steps {
        let due = begin + step.at;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        fleet.apply(&step.fault, &judge);
    }
    fleet.heal(&judge);
    if !shape.is_steady {
        play_calm(&mut fleet, shape, &judge);
    }
    callers.stop();
    uploaders.stop();
    hostile.stop();
    let deadline = Instant::now() + RECOVERY_TIME;
    std::thread::scope(|scope| {
        for address in fleet.router_addresses() {
            let judge = &judge;
            scope.spawn(move || {
                if !callers::serves_until(address, judge, deadline) {
                    judge.report("recovery", &format!("router {address} does not serve"));
                }
            });
        }
    });
    fleet.stop(&judge);
    if !judge.violations().is_empty() {
        fleet.keep_logs(&judge);
    }
    judge
}

/// Changes runners and their limits while nothing else disturbs the fleet.
fn play_calm(fleet: &mut Fleet, shape: &Shape, judge: &Judge) {
    // Without a fault for a while, every router must follow every change in time.
    std::thread::sleep(judge::CALM_TIME);
    judge.set_calm(true);
    fleet.limit_runners(LIMIT, judge);
    std::thread::sleep(LIMIT_TIME);
    fleet.limit_runners(0, judge);
    fleet.replace_all_runners(judge);
    std::thread::sleep(judge::CALM_TIME);
    if shape.routers >= HUB_ROUTERS {
        fleet.replace_runners_without_hub(judge);
    }
    judge.set_calm(false);
}
