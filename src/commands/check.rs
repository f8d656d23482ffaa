//! `balsamchute check`: validates inventory and rules.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;

use crate::commands::files;
use crate::error::Error;
use crate::output::Output;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(crate::output::output))]
    output: Output,
    /// Inventory and rule files that together form one configuration
    #[bpaf(positional("FILE"), some("at least one FILE is required"))]
    files: Vec<PathBuf>,
}

/// Number of items of each kind in a configuration.
#[derive(Serialize)]
struct Summary {
    domains: usize,
    services: usize,
    runners: usize,
    workspaces: usize,
}

/// Validates the files and prints how many items they define.
///
/// # Errors
///
/// Returns [`Error::InvalidConfig`] if the files have errors and [`Error::File`] if
/// one cannot be read.
pub fn run(options: &Options) -> Result<(), Error> {
    let config = files::read(&options.files, options.output)?;
    let summary = Summary {
        domains: config.domains.len(),
        services: config.services.len(),
        runners: config.runners.len(),
        workspaces: config.workspaces.len(),
    };
    options.output.print(&summary, || {
        format!(
            "no faults: {} failure domains, {} services, {} runners, {} workspaces\n",
            summary.domains, summary.services, summary.runners, summary.workspaces
        )
    });
    Ok(())
}
