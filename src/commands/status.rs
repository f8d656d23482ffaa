//! `balsamchute status`: shows the routers of the fleet and their load.

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
use crate::router::{Address, Client, Fleet, Status};
use crate::store;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(crate::output::output))]
    output: Output,
    #[bpaf(external(crate::router::address))]
    entrance: Address,
    /// Address of the platform's object API; also shows the owners of runners and the home routers
    /// of workspaces
    #[bpaf(long, env("BALSAMCHUTE_PLATFORM"), argument("IP:PORT"), optional)]
    platform: Option<SocketAddr>,
}

#[derive(Serialize)]
struct Report {
    routers: Vec<Status>,
    /// Routers that could not be queried, each with the error.
    silent: Vec<Failure>,
    /// Instance name of the owner of each runner, by runner name.
    runners: BTreeMap<String, String>,
    /// Instance names of the home routers of each workspace, in order of preference.
    workspaces: BTreeMap<String, Vec<String>>,
}

#[derive(Serialize)]
struct Failure {
    router: SocketAddr,
    reason: String,
}

/// Prints the state of the fleet.
///
/// # Errors
///
/// Returns [`Error::Router`] if the request to the given router fails, and errors of
/// the platform if its address is given.
pub fn run(options: &Options) -> Result<(), Error> {
    let fleet = Client::new().fetch_fleet(options.entrance.router)?;
    let config = match options.platform {
        Some(platform) => diff::parse_document(&operator::read(&store::client(platform))?)?,
        None => Config::default(),
    };
    let report = build_report(fleet, &config);
    options.output.print(&report, || report_text(&report));
    Ok(())
}

/// Builds the report. Owners of runners and homes of workspaces are computed here, by
/// the ranking that the routers use, over the routers that report that they are
/// serving.
fn build_report(fleet: Fleet, config: &Config) -> Report {
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
    let owner = |item: &str| rank::highest(item, serving.iter().copied()).map(str::to_owned);
    let runners = config.runners.keys().filter_map(|runner| {
        let owner = owner(runner.as_str())?;
        Some((runner.to_string(), owner))
    });
    let workspaces = config.workspaces.iter().map(|(workspace, share)| {
        let homes = home_routers(workspace.as_str(), share.homes as usize, &serving);
        (workspace.to_string(), homes)
    });
    let failures = fleet.failures.into_iter();
    Report {
        silent: failures
            .map(|(router, reason)| Failure { router, reason })
            .collect(),
        runners: runners.collect(),
        workspaces: workspaces.collect(),
        routers,
    }
}

fn home_routers(workspace: &str, count: usize, serving: &[&str]) -> Vec<String> {
    let mut ranked: Vec<&str> = serving.to_vec();
    ranked.sort_by_key(|name| std::cmp::Reverse(rank::score(workspace, name)));
    ranked.truncate(count);
    ranked.into_iter().map(str::to_owned).collect()
}

fn report_text(report: &Report) -> String {
    let mut out = router_table(report);
    for failure in &report.silent {
        writeln!(out, "{}: {}", failure.router, failure.reason)
            .expect("writing to a String does not fail");
    }
    out.push('\n');
    out.push_str(&service_table(report));
    if !report.workspaces.is_empty() {
        out.push('\n');
        out.push_str(&workspace_table(report));
    }
    out
}

fn router_table(report: &Report) -> String {
    // 0 for every router without the address of the platform, as the runners are unknown
    // then.
    let owned_count = |instance: &str| {
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
                owned_count(&status.instance),
            ]
        })
        .collect();
    let header = [
        "router", "phase", "version", "durable", "requests", "sees", "runners",
    ];
    output::table(&header, &rows)
}

fn service_table(report: &Report) -> String {
    // Waiting requests, slots and slots in use, by service.
    let mut totals: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    for service in report.routers.iter().flat_map(|status| &status.services) {
        let total = totals.entry(&service.service).or_default();
        total.0 += service.backlog;
        total.1 += service.slots;
        total.2 += service.lent;
    }
    let rows: Vec<Vec<String>> = totals
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

fn workspace_table(report: &Report) -> String {
    let rows: Vec<Vec<String>> = report
        .workspaces
        .iter()
        .map(|(workspace, homes)| vec![workspace.clone(), homes.join(" ")])
        .collect();
    output::table(&["workspace", "home routers"], &rows)
}
