//! `balsamchute apply`

use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_fleet::change::{self, Verdict};
use balsamchute_inventory::config::Config;
use balsamchute_inventory::document;
use balsamchute_platform::client::Client;
use balsamchute_platform::error::Error as Platform;
use balsamchute_wire::config::Document;
use bpaf::Bpaf;
use serde::Serialize;

use crate::commands::{diff, files, wait};
use crate::error::Error;
use crate::output::Output;
use crate::store::{self, Address};

/// Pause before the platform is asked again.
const PAUSE: Duration = Duration::from_millis(200);

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
/// [`Error::Unsettled`] if its fate stayed unknown, [`Error::Wait`] if it did
/// not come into force in time, and failures of the platform.
pub fn run(options: &Options) -> Result<(), Error> {
    let timeout = Duration::from_secs(options.timeout);
    let config = files::read(&options.files, options.output)?;
    let client = store::client(options.platform.platform);
    let base = store::read(&client)?;
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
        report.version = write(&client, &change, timeout).map_err(|failure| match failure {
            Failure::Lost(current) => lost_to(options, &old, &base, &current),
            Failure::Other(error) => error,
        })?;
        report.change = Some(id);
    }
    let written = Instant::now();
    if options.wait {
        wait::until(options.platform.platform, report.version, timeout)?;
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

enum Failure {
    /// The current document, which another operator made.
    Lost(Document),
    Other(Error),
}

/// Writes a change and settles what became of it. Returns its version.
fn write(client: &Client, change: &Document, timeout: Duration) -> Result<u64, Failure> {
    let bytes = store::encode(change).map_err(Failure::Other)?;
    let started = Instant::now();
    let mut sent = false;
    loop {
        match client.put_if(store::PATH, change.version - 1, &bytes) {
            Ok(version) => return Ok(version),
            Err(error @ Platform::TooLarge { .. }) => return Err(Failure::Other(error.into())),
            Err(Platform::Conflict { .. } | Platform::AnswerLost { .. }) => sent = true,
            Err(error) if started.elapsed() > timeout && !sent => {
                return Err(Failure::Other(error.into()));
            }
            Err(error) => log::warn!("apply: {error}"),
        }
        if sent && let Some(version) = settle(client, change)? {
            return Ok(version);
        }
        if started.elapsed() > timeout && sent {
            let change = change.change.clone();
            return Err(Failure::Other(Error::Unsettled { change }));
        }
        thread::sleep(PAUSE);
    }
}

/// Asks the platform what became of a change that was sent. Returns its
/// version, `None` if that is not known yet.
fn settle(client: &Client, change: &Document) -> Result<Option<u64>, Failure> {
    let current = match store::read(client) {
        Ok(current) => current,
        Err(error @ Error::Stored { .. }) => return Err(Failure::Other(error)),
        Err(error) => {
            log::warn!("apply: {error}");
            return Ok(None);
        }
    };
    match change::settle(change, &current) {
        Verdict::Applied(version) => Ok(Some(version)),
        Verdict::Replaced => {
            log::warn!("apply: accepted, and replaced since by {}", current.author);
            Ok(Some(change.version))
        }
        Verdict::Open => Ok(None),
        Verdict::Lost => Err(Failure::Lost(current)),
    }
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
