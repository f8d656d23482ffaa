//! `balsamchute diff`: compares files with the current configuration.

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
    /// Inventory and rule files that together form one configuration
    #[bpaf(positional("FILE"), some("at least one FILE is required"))]
    files: Vec<PathBuf>,
}

#[derive(Serialize)]
struct Report {
    version: u64,
    changes: Vec<String>,
}

/// Prints the changes that applying the files would make.
///
/// # Errors
///
/// Returns an error for invalid files, for an invalid stored configuration and for
/// failed calls to the platform.
pub fn run(options: &Options) -> Result<(), Error> {
    let new = files::read(&options.files, options.output)?;
    let current = operator::read(&store::client(options.platform.platform))?;
    let report = Report {
        version: current.version,
        changes: describe_changes(&parse_document(&current)?, &new),
    };
    options.output.print(&report, || {
        let header = format!("against version {}:\n", report.version);
        header + &format_changes(&report.changes)
    });
    Ok(())
}

/// Parses the configuration in a document; version 0 has an empty one.
///
/// # Errors
///
/// Returns [`Error::InvalidStored`] with the first error in the document.
pub fn parse_document(document: &Document) -> Result<Config, Error> {
    if document.version == 0 {
        return Ok(Config::default());
    }
    document::parse(&document.text, operator::CONFIG_PATH).map_err(|faults| Error::InvalidStored {
        path: operator::CONFIG_PATH,
        reason: faults.first().map(ToString::to_string).unwrap_or_default(),
    })
}

/// Describes the changes from `old` to `new`, one line each.
pub fn describe_changes(old: &Config, new: &Config) -> Vec<String> {
    let changes = diff::compare_configs(old, new);
    changes.iter().map(Change::to_string).collect()
}

/// Formats the lines of [`describe_changes`] as text output.
pub fn format_changes(changes: &[String]) -> String {
    if changes.is_empty() {
        return "no change\n".to_owned();
    }
    changes.iter().map(|line| format!("{line}\n")).collect()
}
