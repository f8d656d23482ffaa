//! The experiments, one file each.
//!
//! To add one: write `experiments/NAME.rs` with a function that takes
//! [`Options`] and returns whether the promise held, and list it in [`all`].
//! With `--json` its last line of output is one JSON object with `pass`.

pub mod capacity;
pub mod config;
pub mod control;
pub mod demo;
pub mod drain;
pub mod fairness;
pub mod load;
pub mod once;
pub mod poison;
pub mod restart;
pub mod utilisation;

mod steady;

use bpaf::{Parser, long, pure};

use crate::error::Error;

/// Options that every experiment takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the last line is one JSON object.
    pub json: bool,
}

/// An experiment with its options, ready to run. It returns whether what was
/// promised held.
pub type Run = Box<dyn FnOnce() -> Result<bool, Error>>;

/// Returns the parser of the options.
pub fn options() -> impl Parser<Options> {
    let seed = long("seed")
        .help("Seed of all random choices")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let json = long("json")
        .help("Print one JSON object as the last line")
        .switch();
    bpaf::construct!(Options { seed, json })
}

/// Returns the subcommand of an experiment that takes only [`Options`].
fn simple(
    name: &'static str,
    about: &'static str,
    run: fn(Options) -> Result<bool, Error>,
) -> Box<dyn Parser<Run>> {
    let parser = options().map(move |options| Box::new(move || run(options)) as Run);
    parser.to_options().descr(about).command(name).boxed()
}

/// Returns the subcommands of all experiments.
#[must_use]
pub fn all() -> Vec<Box<dyn Parser<Run>>> {
    vec![
        simple(
            "demo",
            "Bring up both deployments, break things under load and audit every answer",
            demo::run,
        ),
        load::command(),
        simple(
            "fairness",
            "Measure the gap between workspaces and the wait of light ones, against baselines",
            fairness::run,
        ),
        simple(
            "utilisation",
            "Measure slot time that is idle while work waits, healthy and under kills",
            utilisation::run,
        ),
        simple(
            "control",
            "Measure what control costs a router against nodes, workspaces and runners",
            control::run,
        ),
        simple(
            "config",
            "Change the configuration under faults: time in force, reversions, racing operators",
            config::run,
        ),
        simple(
            "drain",
            "Let targets and routers leave under load: last new work, requests cut",
            drain::run,
        ),
        simple(
            "restart",
            "Replace routers under load: requests lost, time to serve again",
            restart::run,
        ),
        simple(
            "once",
            "Book under kills, pauses, cuts and a store that is down, slow and loses answers",
            once::run,
        ),
        simple(
            "poison",
            "Send requests that crash their targets: crashes of each, bystanders blamed",
            poison::run,
        ),
        capacity::command(),
    ]
}

/// Returns the hidden subcommand that runs a router.
#[must_use]
pub fn router() -> Box<dyn Parser<Run>> {
    let run = pure(()).map(|()| Box::new(crate::child::run) as Run);
    let command = run.to_options().command(crate::fleet::router::SUBCOMMAND);
    command.hide().boxed()
}
