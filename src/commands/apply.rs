//! `balsamchute apply`

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
    /// Version that the files were made from; the change is refused if another one is current.
    /// Without it, the version current at the start of the command is meant
    #[bpaf(long, argument("VERSION"))]
    base: Option<u64>,
    /// Who makes the change
    #[bpaf(long, env("USER"), argument("NAME"), fallback("operator".to_owned()))]
    author: String,
    /// Return only when every live router reports the change in force
    #[bpaf(long)]
    wait: bool,
    /// Longest time in seconds to try, and again as long to wait
    #[bpaf(long, argument("SECONDS"), fallback(30), display_fallback)]
    timeout: u64,
    /// Files with inventory and rules, which make up one configuration
    #[bpaf(positional("FILE"), some("name at least one FILE"))]
    files: Vec<PathBuf>,
}

#[derive(Serialize)]
struct Report {
    version: u64,
    change: Option<String>,
    changes: Vec<String>,
    in_force_ms: Option<u64>,
}

/// Makes the files the fleet's configuration.
///
/// # Errors
///
/// Returns faults in the files, [`Error::Race`] if another change came first,
/// `operator::Error::Unsettled` if its fate stayed unknown, [`Error::Wait`] if it did
/// not come into force in time, and failures of the platform.
pub fn run(options: &Options) -> Result<(), Error> {
    let timeout = Span::from_secs(options.timeout);
    let config = files::read(&options.files, options.output)?;
    let client = store::client(options.platform.platform);
    let base = operator::read(&client)?;
    let old = diff::config(&base).unwrap_or_default();
    if options.base.is_some_and(|wanted| wanted != base.version) {
        return Err(lost(options, &config, &base));
    }
    let mut report = Report {
        version: base.version,
        change: None,
        changes: diff::lines(&old, &config),
        in_force_ms: None,
    };
    let text = document::text(&config);
    if text != base.text {
        let id = format!("{:032x}", rand::random::<u128>());
        let change = change::next(&base, &id, &options.author, &text);
        report.version =
            operator::apply(&client, &change, timeout).map_err(|error| match error {
                operator::Error::Lost(current) => lost_to(options, &old, &base, &current),
                other => other.into(),
            })?;
        report.change = Some(id);
    }
    let written = Instant::now();
    if options.wait {
        wait::until(options.platform.platform, report.version, timeout.into())?;
        report.in_force_ms = Some(written.elapsed().as_millis() as u64);
    }
    options.output.print(&report, || text_of(&report));
    Ok(())
}

fn text_of(report: &Report) -> String {
    let state = match (&report.change, report.in_force_ms) {
        (None, _) => "is current already".to_owned(),
        (Some(_), None) => "is accepted".to_owned(),
        (Some(_), Some(ms)) => format!("is in force everywhere after {ms} ms"),
    };
    let changes = diff::text(&report.changes);
    format!("{changes}version {} {state}\n", report.version)
}

#[derive(Serialize)]
struct Race<'a> {
    base: u64,
    current: u64,
    author: &'a str,
    changes: Vec<String>,
}

/// Shows what another operator changed while this change was on its way.
fn lost_to(options: &Options, old: &Config, base: &Document, current: &Document) -> Error {
    let theirs = diff::config(current).unwrap_or_default();
    let changes = diff::lines(old, &theirs);
    race(options, base.version, current, changes, "they changed")
}

/// Shows how the files differ from what became current since their base.
fn lost(options: &Options, config: &Config, current: &Document) -> Error {
    let theirs = diff::config(current).unwrap_or_default();
    let changes = diff::lines(config, &theirs);
    let base = options.base.unwrap_or_default();
    race(
        options,
        base,
        current,
        changes,
        "against these files it has",
    )
}

fn race(
    options: &Options,
    base: u64,
    current: &Document,
    changes: Vec<String>,
    title: &str,
) -> Error {
    let race = Race {
        base,
        current: current.version,
        author: &current.author,
        changes,
    };
    options.output.print(&race, || {
        let (version, author) = (race.current, race.author);
        let changes = diff::text(&race.changes);
        format!("version {version} by {author} is current; {title}:\n{changes}")
    });
    Error::Race {
        base,
        current: current.version,
        author: current.author.clone(),
    }
}
