//! The `balsamchute` command.

mod commands;
mod error;
mod output;
mod router;
mod store;
mod trail;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

/// Width of help and error texts in characters.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match commands::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return usage(&failure),
    };
    if !command.starts_logger() {
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

/// Prints help, completions or what is wrong with the command line.
fn usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => error::USAGE.into(),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
