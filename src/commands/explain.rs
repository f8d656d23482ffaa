//! `balsamchute explain`

use std::fmt::Write;
use std::fs::File;
use std::io::{BufRead, BufReader};

use balsamchute_wire::record::End;
use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::output::Output;
use crate::router::{Client, Entrance, Fleet};
use crate::trail::Trail;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(crate::output::output))]
    output: Output,
    #[bpaf(external(source))]
    source: Source,
    /// The workspace that a key belongs to, to show the recorded outcome as well
    #[bpaf(long, argument("WORKSPACE"))]
    workspace: Option<String>,
    /// A request's id, a workspace or the key of a non-idempotent request
    #[bpaf(positional("REQUEST|WORKSPACE|KEY"))]
    name: String,
}

/// Where decisions are read from.
#[derive(Clone, Debug, Bpaf)]
enum Source {
    /// Log lines of routers
    Log {
        /// File with log lines of one or more routers; "-" reads standard input
        #[bpaf(long("log"), argument("FILE"))]
        file: String,
    },
    /// Routers that answer now
    Routers(#[bpaf(external(crate::router::entrance))] Entrance),
}

/// What one router knows.
#[derive(Debug, Deserialize, Serialize)]
struct Explanation {
    instance: String,
    decisions: Vec<Decision>,
    waiting: Vec<Waiting>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Decision {
    /// Milliseconds since the Unix epoch.
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
    /// Routers that could not be asked.
    silent: Vec<String>,
}

/// Reads the way of a request from log lines, or asks every router what it
/// knows of the name.
///
/// # Errors
///
/// Returns [`Error::Unknown`] if nothing is known, [`Error::File`] if the log
/// cannot be read and [`Error::Router`] if the router that was named does not
/// answer.
pub fn run(options: &Options) -> Result<(), Error> {
    match &options.source {
        Source::Log { file } => explain_log(options, file),
        Source::Routers(entrance) => explain_routers(options, entrance),
    }
}

fn explain_log(options: &Options, file: &str) -> Result<(), Error> {
    let failed = |error: std::io::Error| Error::File {
        file: file.to_owned(),
        reason: error.to_string(),
    };
    let input: Box<dyn BufRead> = match file {
        "-" => Box::new(std::io::stdin().lock()),
        _ => Box::new(BufReader::new(File::open(file).map_err(failed)?)),
    };
    let trail = Trail::read(&options.name, input).map_err(failed)?;
    if trail.skipped > 0 {
        log::warn!(
            "{} lines are none of a router's and were skipped",
            trail.skipped
        );
    }
    if trail.lines.is_empty() {
        return Err(Error::Unknown(options.name.clone()));
    }
    options.output.print(&trail, || trail.text());
    Ok(())
}

fn explain_routers(options: &Options, entrance: &Entrance) -> Result<(), Error> {
    let client = Client::new();
    let fleet = client.fleet(entrance.router)?;
    let report = report(options, &client, &fleet);
    if report.routers.is_empty() && report.outcome.is_none() {
        return Err(Error::Unknown(options.name.clone()));
    }
    options.output.print(&report, || text(&report));
    Ok(())
}

fn report(options: &Options, client: &Client, fleet: &Fleet) -> Report {
    let mut report = Report {
        routers: Vec::new(),
        outcome: None,
        silent: fleet.silent.iter().map(|(at, _)| at.to_string()).collect(),
    };
    for (address, status) in &fleet.routers {
        for kind in ["request", "workspace", "key"] {
            let path = format!("/v1/explain?{kind}={}", options.name);
            match client.get::<Explanation>(*address, &path) {
                Ok(Some(found)) if !found.is_empty() => report.routers.push(found),
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

fn text(report: &Report) -> String {
    let mut lines: Vec<(u64, String)> = Vec::new();
    for found in &report.routers {
        for decision in &found.decisions {
            let (at, request) = (decision.at, &decision.request);
            let line = format!("{at} {} {request}: {}\n", found.instance, decision.text);
            lines.push((at, line));
        }
    }
    lines.sort();
    let mut out: String = lines.into_iter().map(|(_, line)| line).collect();
    for found in &report.routers {
        for waiting in &found.waiting {
            let (router, request) = (&found.instance, &waiting.request);
            writeln!(out, "now {router} {request}: {}", waiting.why).expect("strings take text");
        }
    }
    if let Some(end) = &report.outcome {
        let reason = end.reason.as_deref().unwrap_or("no reason given");
        writeln!(out, "outcome {:?}: {reason}", end.outcome).expect("strings take text");
    }
    for router in &report.silent {
        writeln!(out, "{router} could not be asked").expect("strings take text");
    }
    out
}
