//! `balsamchute diff`

use std::path::PathBuf;

use balsamchute_inventory::config::Config;
use balsamchute_inventory::diff::{self, Change};
use balsamchute_inventory::document;
use balsamchute_platform::operator;
use balsamchute_wire::config::Document;
use bpaf::Bpaf;
use serde::Serialize;

use crate::commands::files;
use crate::error::Error;
use crate::output::Output;
use crate::store::{self, Address};

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(crate::output::output))]
    output: Output,
    #[bpaf(external(crate::store::address))]
    platform: Address,
    /// Files with inventory and rules, which make up one configuration
    #[bpaf(positional("FILE"), some("name at least one FILE"))]
    files: Vec<PathBuf>,
}

#[derive(Serialize)]
struct Report {
    version: u64,
    changes: Vec<String>,
}

/// Compares the files with the current configuration.
///
/// # Errors
///
/// Returns faults in the files and failures of the platform.
pub fn run(options: &Options) -> Result<(), Error> {
    let new = files::read(&options.files, options.output)?;
    let current = operator::read(&store::client(options.platform.platform))?;
    let report = Report {
        version: current.version,
        changes: lines(&config(&current)?, &new),
    };
    options.output.print(&report, || {
        let head = format!("against version {}:\n", report.version);
        head + &text(&report.changes)
    });
    Ok(())
}

/// Reads the configuration that a document holds.
///
/// # Errors
///
/// Returns [`Error::Stored`] with its first fault if it has any.
pub fn config(document: &Document) -> Result<Config, Error> {
    if document.version == 0 {
        return Ok(Config::default());
    }
    document::parse(&document.text, operator::PATH).map_err(|faults| Error::Stored {
        path: operator::PATH,
        reason: faults.first().map(ToString::to_string).unwrap_or_default(),
    })
}

/// Returns what turns `old` into `new`, a line for each change.
pub fn lines(old: &Config, new: &Config) -> Vec<String> {
    let changes = diff::changes(old, new);
    changes.iter().map(Change::to_string).collect()
}

/// Joins lines of changes for people.
pub fn text(changes: &[String]) -> String {
    if changes.is_empty() {
        return "no change\n".to_owned();
    }
    changes.iter().map(|line| format!("{line}\n")).collect()
}
