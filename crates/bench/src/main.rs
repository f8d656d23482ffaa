//! The `balsamchute-bench` command: demo, load and experiments.

use std::process::ExitCode;

use balsamchute_bench::experiments;

/// Exit status if a promise did not hold.
const BROKEN: u8 = 1;

/// Exit status if the run could not be made.
const FAILED: u8 = 2;

fn main() -> ExitCode {
    env_logger::init();
    let mut commands = experiments::all();
    commands.push(experiments::capacity::probe_command());
    commands.push(experiments::router());
    let parser = bpaf::choice(commands);
    let run = bpaf::Parser::to_options(parser)
        .descr("Demo, load and experiments on a fleet of real routers over stand-ins")
        .footer("Exit status: 0 what was promised held, 1 it did not, 2 the run could not be made.")
        .run();
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("balsamchute-bench: {error}");
            ExitCode::from(FAILED)
        }
    }
}
