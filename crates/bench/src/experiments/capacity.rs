//! Measures the slopes of the parts at several sizes, up to those of the fleet
//! that is expected, works out what each role needs, and writes the tables and
//! the plot of docs/CAPACITY.md. It passes if a node stays within its limits.

use std::path::PathBuf;

use bpaf::{Parser, long, positional};
use serde::Serialize;

use super::{Options, Run, options};
use crate::capacity::probe::{SUBCOMMAND, Slope};
use crate::capacity::roles::{self, Calls, Role};
use crate::capacity::size::{Size, machine_memory};
use crate::capacity::{page, plot, probes};
use crate::error::Error;
use crate::report::{self, Table};

/// Options of the experiment.
#[derive(Clone, Debug)]
struct Request {
    common: Options,
    size: Size,
    page: Option<PathBuf>,
    plot: Option<PathBuf>,
}

/// The report.
#[derive(Debug, Serialize)]
struct Report<'a> {
    experiment: &'static str,
    pass: bool,
    roles: &'a [Role],
    calls: Calls,
    slopes: &'a [Slope],
}

/// Returns the subcommand.
#[must_use]
pub fn command() -> Box<dyn Parser<Run>> {
    let common = options();
    let size = size();
    let page = long("page")
        .help("Page whose table is written again")
        .argument::<PathBuf>("FILE")
        .optional();
    let plot = long("plot")
        .help("SVG file to write the slopes to")
        .argument::<PathBuf>("FILE")
        .optional();
    let request = bpaf::construct!(Request {
        common,
        size,
        page,
        plot
    });
    let run = request.map(|request| Box::new(move || run(&request)) as Run);
    let about = "Measure slopes of state, time and messages at the sizes of a large fleet";
    run.to_options().descr(about).command("capacity").boxed()
}

/// Returns the hidden subcommand that runs one probe.
#[must_use]
pub fn probe_command() -> Box<dyn Parser<Run>> {
    let name = positional::<String>("NAME");
    let size = positional::<u64>("SIZE");
    let both = bpaf::construct!(name, size);
    let run = both.map(|(name, size)| Box::new(move || probe(&name, size)) as Run);
    run.to_options().command(SUBCOMMAND).hide().boxed()
}

fn size() -> impl Parser<Size> {
    let letter = Size::letter();
    let count = |name: &'static str, help: &'static str, value: u64| {
        long(name)
            .help(help)
            .argument::<u64>("N")
            .fallback(value)
            .display_fallback()
    };
    let nodes = count("nodes", "Routers", letter.nodes);
    let runners = count("runners", "Runners", letter.runners);
    let workspaces = count("workspaces", "Workspaces", letter.workspaces);
    let backlogged = count("backlogged", "Backlogged workspaces", letter.backlogged);
    bpaf::construct!(nodes, runners, workspaces, backlogged).map(
        move |(nodes, runners, workspaces, backlogged)| Size {
            nodes,
            runners,
            workspaces,
            backlogged,
            ..letter
        },
    )
}

fn probe(name: &str, size: u64) -> Result<bool, Error> {
    let probe = probes::named(name).ok_or_else(|| Error::Start {
        what: format!("probe {name}"),
        reason: "it does not exist".to_owned(),
    })?;
    println!("{}", (probe.run)(size));
    Ok(true)
}

fn run(request: &Request) -> Result<bool, Error> {
    request.size.check(machine_memory())?;
    if let Some(path) = &request.page {
        page::check(path)?;
    }
    if let Some(path) = &request.plot {
        page::check_writable(path)?;
    }
    let mut slopes = Vec::new();
    for probe in &probes::ALL {
        eprintln!("capacity: {}", probe.name);
        slopes.push(Slope::new(probe, probes::full(probe, &request.size))?);
    }
    let roles = roles::roles(&slopes, &request.size);
    let calls = roles::calls(&request.size);
    let tables = [
        page::table(&slopes),
        roles::table(&roles),
        roles::calls_table(&calls),
    ];
    tables.iter().for_each(|table| println!("{table}"));
    if let Some(path) = &request.page {
        let text: Vec<_> = tables.iter().map(Table::to_markdown).collect();
        page::write(path, &text.join("\n"))?;
    }
    if let Some(path) = &request.plot {
        plot::write(path, &slopes)?;
    }
    let pass = roles::fits(&roles);
    if request.common.json {
        report::print_json(&Report {
            experiment: "capacity",
            pass,
            roles: &roles,
            calls,
            slopes: &slopes,
        });
    }
    Ok(pass)
}
