//! The `balsamchute-bench` command: demo, load and experiments.

use std::process::ExitCode;

use balsamchute_bench::experiments;
use bpaf::{Args, ParseFailure};

/// Exit status if a promise did not hold.
const BROKEN: u8 = 1;

/// Width of help and error texts in characters.
const HELP_WIDTH: usize = 100;

/// Exit status if the command line is wrong or the run could not be made.
const FAILED: u8 = 2;

fn main() -> ExitCode {
    env_logger::init();
    let mut commands = experiments::all();
    commands.push(experiments::capacity::probe_command());
    commands.push(experiments::router());
    let parser = bpaf::choice(commands);
    let options = bpaf::Parser::to_options(parser)
        .descr("Demo, load and experiments on a fleet of real routers over stand-ins")
        .footer(
            "Exit status: 0 what was promised held, 1 it did not, 2 the run could not be made.",
        );
    let run = match options.run_inner(Args::current_args()) {
        Ok(run) => run,
        Err(failure) => return usage(&failure),
    };
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("balsamchute-bench: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(FAILED),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
