//! `balsamchute apply`: stores a configuration as the current one.

use std::path::PathBuf;
use std::time::Instant;

use balsamchute_base::prelude::*;
use balsamchute_fleet::change;
use balsamchute_inventory::config::Config;
use balsamchute_inventory::document;
use balsamchute_platform::operator;
use balsamchute_wire::config::Document;
use bpaf::Bpaf;
use serde::Serialize;

use crate::commands::{diff, files, wait};
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
    /// Version that the files are based on; the change is rejected if another version is current.
    /// Defaults to the version that is current when the command starts
    #[bpaf(long, argument("VERSION"))]
    base: Option<u64>,
    /// Author name that is recorded with the change
    #[bpaf(long, env("USER"), argument("NAME"), fallback("operator".to_owned()))]
    author: String,
    /// Wait until every live router reports the change in force
    #[bpaf(long)]
    wait: bool,
    /// Timeout in seconds for storing the change, and the same again for --wait
    #[bpaf(long, argument("SECONDS"), fallback(30), display_fallback)]
    timeout: u64,
    /// Inventory and rule files that together form one configuration
    #[bpaf(positional("FILE"), some("at least one FILE is required"))]
    files: Vec<PathBuf>,
}

#[derive(Serialize)]
struct Report {
    version: u64,
    /// Id of the stored change, `None` if nothing was stored.
    change: Option<String>,
    /// Differences from the configuration stored before, one line each.
    changes: Vec<String>,
    /// Time from the acceptance until every live router had the version in force,
    /// `None` without `--wait`.
    in_force_ms: Option<u64>,
}

/// Stores the configuration in the files as the fleet's current one.
///
/// Files that equal the current configuration store nothing.
///
/// # Errors
///
/// Returns an error for invalid files, [`Error::Conflict`] if another change was
/// stored first, `operator::Error::Unconfirmed` if it is unknown whether the change was
/// accepted, [`Error::NotInForce`] if it is not in force everywhere in time, and
/// errors of the platform.
pub fn run(options: &Options) -> Result<(), Error> {
    let timeout = Span::from_secs(options.timeout);
    let config = files::read(&options.files, options.output)?;
    let client = store::client(options.platform.platform);
    let base = operator::read(&client)?;
    // An invalid stored configuration counts as empty, so that it can be replaced.
    let old = diff::parse_document(&base).unwrap_or_default();
    if options
        .base
        .is_some_and(|expected| expected != base.version)
    {
        return Err(report_stale_base(options, &config, &base));
    }
    let mut report = Report {
        version: base.version,
        change: None,
        changes: diff::describe_changes(&old, &config),
        in_force_ms: None,
    };
    let text = document::to_yaml(&config);
    if text != base.text {
        let change_id = format!("{:032x}", rand::random::<u128>());
        let change = change::successor(&base, &change_id, &options.author, &text);
        report.version =
            operator::apply(&client, &change, timeout).map_err(|error| match error {
                operator::Error::Conflict(current) => {
                    report_lost_race(options, &old, &base, &current)
                }
                other => other.into(),
            })?;
        report.change = Some(change_id);
    }
    let stored_at = Instant::now();
    if options.wait {
        wait::until_in_force(options.platform.platform, report.version, timeout.into())?;
        report.in_force_ms = Some(stored_at.elapsed().as_millis() as u64);
    }
    options.output.print(&report, || report_text(&report));
    Ok(())
}

fn report_text(report: &Report) -> String {
    let state = match (&report.change, report.in_force_ms) {
        (None, _) => "is current already".to_owned(),
        (Some(_), None) => "is accepted".to_owned(),
        (Some(_), Some(ms)) => format!("is in force everywhere after {ms} ms"),
    };
    let changes = diff::format_changes(&report.changes);
    format!("{changes}version {} {state}\n", report.version)
}

#[derive(Serialize)]
struct Conflict<'a> {
    base: u64,
    current: u64,
    author: &'a str,
    changes: Vec<String>,
}

/// Prints what another operator changed between this command's read and its write,
/// and returns the error.
fn report_lost_race(options: &Options, old: &Config, base: &Document, current: &Document) -> Error {
    let current_config = diff::parse_document(current).unwrap_or_default();
    let changes = diff::describe_changes(old, &current_config);
    report_conflict(
        options,
        base.version,
        current,
        changes,
        "changes since the version that was read",
    )
}

/// Prints how the current configuration differs from the files, whose base version is
/// no longer current, and returns the error.
fn report_stale_base(options: &Options, config: &Config, current: &Document) -> Error {
    let current_config = diff::parse_document(current).unwrap_or_default();
    let changes = diff::describe_changes(config, &current_config);
    let base = options.base.unwrap_or_default();
    report_conflict(
        options,
        base,
        current,
        changes,
        "differences from these files",
    )
}

fn report_conflict(
    options: &Options,
    base: u64,
    current: &Document,
    changes: Vec<String>,
    changes_heading: &str,
) -> Error {
    let conflict = Conflict {
        base,
        current: current.version,
        author: &current.author,
        changes,
    };
    options.output.print(&conflict, || {
        let (version, author) = (conflict.current, conflict.author);
        let changes = diff::format_changes(&conflict.changes);
        format!("version {version} by {author} is current; {changes_heading}:\n{changes}")
    });
    Error::Conflict {
        base,
        current: current.version,
        author: current.author.clone(),
    }
}
