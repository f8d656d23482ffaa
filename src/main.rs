//! Command line of balsamchute: the routers and the commands for operators.

mod commands;
mod error;
mod output;
mod router;
mod store;
mod trail;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

/// Line width of help and error texts.
const HELP_WIDTH_CHARS: usize = 100;

fn main() -> ExitCode {
    let command = match commands::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_parse_failure(&failure),
    };
    if !command.has_own_logger() {
        let default = env_logger::Env::default().default_filter_or("info");
        env_logger::Builder::from_env(default).init();
    }
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsamchute: {error}");
            error.exit_code()
        }
    }
}

/// Prints help, shell completions or the error in the command line.
fn report_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH_CHARS);
    match failure {
        ParseFailure::Stderr(_) => error::EXIT_USAGE.into(),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
