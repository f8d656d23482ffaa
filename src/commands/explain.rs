//! `balsamchute explain`: explains the scheduling of requests.

use std::fmt::Write;
use std::fs::File;
use std::io::{BufRead, BufReader};

use balsamchute_wire::record::End;
use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::output::Output;
use crate::router::{Address, Client, Fleet};
use crate::trail::Trail;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(crate::output::output))]
    output: Output,
    #[bpaf(external(source))]
    source: Source,
    /// Workspace of the key; also shows the recorded outcome of the request
    #[bpaf(long, argument("WORKSPACE"))]
    workspace: Option<String>,
    /// Request id, workspace, or key of a non-idempotent request
    #[bpaf(positional("REQUEST|WORKSPACE|KEY"))]
    name: String,
}

/// Source of the explanation.
#[derive(Clone, Debug, Bpaf)]
enum Source {
    /// Log lines that routers wrote
    Log {
        /// File with log lines of one or more routers; "-" reads standard input
        #[bpaf(long("log"), argument("FILE"))]
        file: String,
    },
    /// Routers that are running
    Routers(#[bpaf(external(crate::router::address))] Address),
}

/// Decisions and waiting requests at one router, as `/v1/explain` returns them.
#[derive(Debug, Deserialize, Serialize)]
struct Explanation {
    instance: String,
    decisions: Vec<Decision>,
    waiting: Vec<Waiting>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Decision {
    /// Time of the decision in milliseconds since the Unix epoch.
    at: u64,
    request: String,
    workspace: String,
    key: Option<String>,
    text: String,
}

#[derive(Debug, Deserialize, Serialize)]
struct Waiting {
    request: String,
    why: String,
}

#[derive(Serialize)]
struct Report {
    routers: Vec<Explanation>,
    outcome: Option<End>,
    /// Addresses or instance names of routers that could not be queried.
    silent: Vec<String>,
}

/// Explains a request from log lines, or queries every router for the request,
/// workspace or key of the given name.
///
/// # Errors
///
/// Returns [`Error::NotFound`] if nothing matches the name, [`Error::File`] if the
/// log cannot be read and [`Error::Router`] if the request to the given router fails.
pub fn run(options: &Options) -> Result<(), Error> {
    match &options.source {
        Source::Log { file } => explain_log(options, file),
        Source::Routers(address) => explain_routers(options, address),
    }
}

fn explain_log(options: &Options, file: &str) -> Result<(), Error> {
    let to_error = |error: std::io::Error| Error::File {
        file: file.to_owned(),
        reason: error.to_string(),
    };
    let input: Box<dyn BufRead> = match file {
        "-" => Box::new(std::io::stdin().lock()),
        _ => Box::new(BufReader::new(File::open(file).map_err(to_error)?)),
    };
    let trail = Trail::read(&options.name, input).map_err(to_error)?;
    if trail.skipped > 0 {
        log::warn!(
            "skipped {} lines that are not log lines of a router",
            trail.skipped
        );
    }
    if trail.lines.is_empty() {
        return Err(Error::NotFound(options.name.clone()));
    }
    options.output.print(&trail, || trail.text());
    Ok(())
}

fn explain_routers(options: &Options, address: &Address) -> Result<(), Error> {
    let client = Client::new();
    let fleet = client.fetch_fleet(address.router)?;
    let report = collect_report(options, &client, &fleet);
    if report.routers.is_empty() && report.outcome.is_none() {
        return Err(Error::NotFound(options.name.clone()));
    }
    options.output.print(&report, || report_text(&report));
    Ok(())
}

fn collect_report(options: &Options, client: &Client, fleet: &Fleet) -> Report {
    let mut report = Report {
        routers: Vec::new(),
        outcome: None,
        silent: fleet
            .failures
            .iter()
            .map(|(address, _)| address.to_string())
            .collect(),
    };
    for (address, status) in &fleet.routers {
        // The name may be a request id, a workspace or a key.
        for kind in ["request", "workspace", "key"] {
            let path = format!("/v1/explain?{kind}={}", options.name);
            match client.get::<Explanation>(*address, &path) {
                Ok(Some(entry)) if !entry.is_empty() => report.routers.push(entry),
                Ok(_) => {}
                Err(error) => {
                    log::warn!("explain: {error}");
                    report.silent.push(status.instance.clone());
                    break;
                }
            }
        }
        if let (None, Some(workspace)) = (&report.outcome, &options.workspace) {
            let path = format!("/v1/outcome?workspace={workspace}&key={}", options.name);
            // A failed query counts as no outcome; the next router is queried.
            report.outcome = client.get(*address, &path).ok().flatten();
        }
    }
    report
}

impl Explanation {
    fn is_empty(&self) -> bool {
        self.decisions.is_empty() && self.waiting.is_empty()
    }
}

/// Formats the decisions in order of time, then the waiting requests, the outcome and
/// the routers that could not be queried.
fn report_text(report: &Report) -> String {
    let mut lines: Vec<(u64, String)> = Vec::new();
    for entry in &report.routers {
        for decision in &entry.decisions {
            let (at, request) = (decision.at, &decision.request);
            let line = format!("{at} {} {request}: {}\n", entry.instance, decision.text);
            lines.push((at, line));
        }
    }
    lines.sort();
    let mut out: String = lines.into_iter().map(|(_, line)| line).collect();
    for entry in &report.routers {
        for waiting in &entry.waiting {
            let (router, request) = (&entry.instance, &waiting.request);
            writeln!(out, "now {router} {request}: {}", waiting.why)
                .expect("writing to a String does not fail");
        }
    }
    if let Some(end) = &report.outcome {
        let reason = end.reason.as_deref().unwrap_or("no reason given");
        writeln!(out, "outcome {:?}: {reason}", end.outcome)
            .expect("writing to a String does not fail");
    }
    for router in &report.silent {
        writeln!(out, "{router} could not be queried").expect("writing to a String does not fail");
    }
    out
}
