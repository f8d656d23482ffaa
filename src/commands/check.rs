//! `balsamchute check`

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
    /// Files with inventory and rules, which make up one configuration
    #[bpaf(positional("FILE"), some("name at least one FILE"))]
    files: Vec<PathBuf>,
}

/// What a configuration holds.
#[derive(Serialize)]
struct Summary {
    domains: usize,
    services: usize,
    runners: usize,
    workspaces: usize,
}

/// Checks the files.
///
/// # Errors
///
/// Returns [`Error::Faults`] if there are any.
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
