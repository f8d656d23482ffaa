//! `balsamchute status`

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use balsamchute_base::rank;
use balsamchute_inventory::config::Config;
use balsamchute_platform::operator;
use bpaf::Bpaf;
use serde::Serialize;

use crate::commands::diff;
use crate::error::Error;
use crate::output::{self, Output};
use crate::router::{Client, Entrance, Fleet, Status};
use crate::store;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(crate::output::output))]
    output: Output,
    #[bpaf(external(crate::router::entrance))]
    entrance: Entrance,
    /// Address of the platform's object API, to show who is responsible for what
    #[bpaf(long, env("BALSAMCHUTE_PLATFORM"), argument("IP:PORT"), optional)]
    platform: Option<SocketAddr>,
}

#[derive(Serialize)]
struct Report {
    routers: Vec<Status>,
    silent: Vec<Silent>,
    /// Owner of each runner.
    runners: BTreeMap<String, String>,
    /// Home routers of each workspace, the first choice first.
    workspaces: BTreeMap<String, Vec<String>>,
}

#[derive(Serialize)]
struct Silent {
    router: SocketAddr,
    reason: String,
}

/// Shows the fleet.
///
/// # Errors
///
/// Returns [`Error::Router`] if the router that was named does not answer, and
/// failures of the platform if it was named.
pub fn run(options: &Options) -> Result<(), Error> {
    let fleet = Client::new().fleet(options.entrance.router)?;
    let config = match options.platform {
        Some(platform) => diff::config(&operator::read(&store::client(platform))?)?,
        None => Config::default(),
    };
    let report = report(fleet, &config);
    options.output.print(&report, || text(&report));
    Ok(())
}

fn report(fleet: Fleet, config: &Config) -> Report {
    let routers: Vec<Status> = fleet
        .routers
        .into_iter()
        .map(|(_, status)| status)
        .collect();
    let serving: Vec<&str> = routers
        .iter()
        .filter(|status| status.phase == "serving")
        .map(|status| status.instance.as_str())
        .collect();
    let owner = |item: &str| rank::first(item, serving.iter().copied()).map(str::to_owned);
    let runners = config.runners.keys().filter_map(|runner| {
        let owner = owner(runner.as_str())?;
        Some((runner.to_string(), owner))
    });
    let workspaces = config.workspaces.iter().map(|(workspace, share)| {
        let homes = homes(workspace.as_str(), share.homes as usize, &serving);
        (workspace.to_string(), homes)
    });
    let silent = fleet.silent.into_iter();
    Report {
        silent: silent
            .map(|(router, reason)| Silent { router, reason })
            .collect(),
        runners: runners.collect(),
        workspaces: workspaces.collect(),
        routers,
    }
}

fn homes(workspace: &str, count: usize, serving: &[&str]) -> Vec<String> {
    let mut ranked: Vec<&str> = serving.to_vec();
    ranked.sort_by_key(|name| std::cmp::Reverse(rank::score(workspace, name)));
    ranked.truncate(count);
    ranked.into_iter().map(str::to_owned).collect()
}

fn text(report: &Report) -> String {
    let mut out = routers(report);
    for silent in &report.silent {
        writeln!(out, "{}: {}", silent.router, silent.reason).expect("strings take all text");
    }
    out.push('\n');
    out.push_str(&services(report));
    if !report.workspaces.is_empty() {
        out.push('\n');
        out.push_str(&homes_table(report));
    }
    out
}

fn routers(report: &Report) -> String {
    let owned = |instance: &str| {
        let owners = report.runners.values();
        owners
            .filter(|owner| *owner == instance)
            .count()
            .to_string()
    };
    let rows: Vec<Vec<String>> = report
        .routers
        .iter()
        .map(|status| {
            vec![
                status.instance.clone(),
                status.phase.clone(),
                status.config.to_string(),
                if status.durable { "yes" } else { "no" }.to_owned(),
                status.requests.to_string(),
                status.members.len().to_string(),
                owned(&status.instance),
            ]
        })
        .collect();
    let head = [
        "router", "phase", "version", "durable", "requests", "sees", "runners",
    ];
    output::table(&head, &rows)
}

fn services(report: &Report) -> String {
    let mut sums: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    for service in report.routers.iter().flat_map(|status| &status.services) {
        let sum = sums.entry(&service.service).or_default();
        sum.0 += service.backlog;
        sum.1 += service.slots;
        sum.2 += service.lent;
    }
    let rows: Vec<Vec<String>> = sums
        .iter()
        .map(|(service, (backlog, slots, lent))| {
            let numbers = [backlog, slots, lent].map(ToString::to_string);
            std::iter::once((*service).to_owned())
                .chain(numbers)
                .collect()
        })
        .collect();
    output::table(&["service", "waiting", "slots", "in use"], &rows)
}

fn homes_table(report: &Report) -> String {
    let rows: Vec<Vec<String>> = report
        .workspaces
        .iter()
        .map(|(workspace, homes)| vec![workspace.clone(), homes.join(" ")])
        .collect();
    output::table(&["workspace", "home routers"], &rows)
}
