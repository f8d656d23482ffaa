//! The whole system at work: both deployments of the brief under load, with a
//! router and a runner killed, a router drained and rules changed on the way.

use std::collections::BTreeMap;
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_fair::bound::Bound;
use balsamchute_fair::{lender, queue};
use serde::Serialize;

use super::Options;
use crate::audit::service::{Figures, Window};
use crate::audit::{Execution, Verdict};
use crate::caller::call::{History, Reply};
use crate::clock;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use crate::report::{self, Table};
use crate::traffic::Traffic;
use crate::workload::{Flow, Workload};

/// Fewest requests of a run.
const MIN_REQUESTS: u64 = 500;

/// Share of the requests that must be answered although things break.
const MIN_ANSWERED: f64 = 0.95;

/// Seconds in which calls are made.
const LOAD_S: u32 = 12;

/// Mean cost of a call to an engine in tokens.
const TOKENS: u32 = 30;

/// Mean cost of a call to a plain service in milliseconds.
const CALL_MS: u32 = 60;

/// Calls that a large workspace makes at once, and a small one.
const BURSTS: [u32; 2] = [60, 30];

/// Workspaces that make their calls at once, the first of the deployment; the
/// first half of them are the large ones.
const FLOODING: usize = 6;

/// Calls held past their deadline that are explained.
const MAX_EXPLAINED: usize = 4;

/// When the fairness of the undisturbed fleet is first looked at.
const SETTLED: Span = Span(500);

/// How old a summary is at most when a slot is lent.
const STALENESS: Span = Span::from_secs(1);

/// What is broken, and when.
const KILL_ROUTER_AT: Span = Span(4_000);
const CHANGE_RULES_AT: Span = Span(5_000);
const KILL_RUNNER_AT: Span = Span(6_000);
const DRAIN_ROUTER_AT: Span = Span(7_500);
const RESTART_AT: Span = Span(9_000);

/// Numbers of the router that is killed, the one that is drained and the
/// runner that is killed.
const KILLED_ROUTER: usize = 1;
const DRAINED_ROUTER: usize = 3;
const KILLED_RUNNER: usize = 4;

/// Longest time for a change of rules to be in force everywhere.
const IN_FORCE: Span = Span::from_secs(5);

/// Figures of one deployment.
#[derive(Debug, Serialize)]
struct Part {
    deployment: &'static str,
    #[serde(flatten)]
    verdict: Verdict,
    fairness_gap: f64,
    fairness_bound: f64,
    backlogged: usize,
    utilisation: f64,
    rules_in_force_ms: Option<u64>,
    first_token_p50_ms: u64,
    first_token_p95_ms: u64,
}

/// Figures of the whole demo.
#[derive(Debug, Default, Serialize)]
struct Report {
    experiment: &'static str,
    pass: bool,
    seed: u64,
    requests: u64,
    answered: u64,
    failed: u64,
    refused_not_run: u64,
    unknown: u64,
    lost: u64,
    cut_short: u64,
    run_twice: u64,
    false_not_run: u64,
    wrong_answer: u64,
    fairness_gap: f64,
    fairness_bound: f64,
    utilisation: f64,
    deployments: Vec<Part>,
}

/// Runs the demo; returns whether nothing was lost, cut short or run twice,
/// and enough was answered.
///
/// # Errors
///
/// Returns an [`Error`] if a deployment cannot be brought up.
///
/// # Panics
///
/// Panics if a thread of the demo does.
pub fn run(options: Options) -> Result<bool, Error> {
    let deployments = [Deployment::association(), Deployment::caixa()];
    let threads = deployments.map(|one| thread::spawn(move || play(one, options.seed)));
    let parts = threads.map(|thread| thread.join().expect("demo does not panic"));
    let parts = parts.into_iter().collect::<Result<Vec<_>, _>>()?;
    let report = sum(parts, options.seed);
    println!("{}", table(&report));
    for part in &report.deployments {
        for (reason, count) in &part.verdict.reasons {
            println!("{}: {count} times: {reason}", part.deployment);
        }
        for fault in &part.verdict.faults {
            println!("{}: {fault}", part.deployment);
        }
    }
    let pass = report.pass;
    println!("{}", if pass { "demo passed" } else { "demo FAILED" });
    if options.json {
        report::print_json(&report);
    }
    Ok(pass)
}

fn sum(parts: Vec<Part>, seed: u64) -> Report {
    let mut report = Report {
        experiment: "demo",
        seed,
        utilisation: 1.0,
        ..Report::default()
    };
    let mut pass = true;
    for part in &parts {
        let verdict = &part.verdict;
        report.requests += verdict.requests;
        report.answered += verdict.answered;
        report.failed += verdict.failed;
        report.refused_not_run += verdict.refused_not_run;
        report.unknown += verdict.unknown;
        report.lost += verdict.lost;
        report.cut_short += verdict.cut_short;
        report.run_twice += verdict.run_twice;
        report.false_not_run += verdict.false_not_run;
        report.wrong_answer += verdict.wrong_answer;
        report.utilisation = report.utilisation.min(part.utilisation);
        if part.fairness_gap >= report.fairness_gap {
            report.fairness_gap = part.fairness_gap;
            report.fairness_bound = part.fairness_bound;
        }
        pass &= verdict.holds() && part.fairness_gap <= part.fairness_bound;
        pass &= part.rules_in_force_ms.is_some();
    }
    let enough = report.answered as f64 >= MIN_ANSWERED * report.requests as f64;
    report.pass = pass && enough && report.requests >= MIN_REQUESTS;
    report.deployments = parts;
    report
}

fn table(report: &Report) -> Table {
    let mut table = Table::new(&["", "association", "caixa"]);
    let mut row = |name: &str, cell: &dyn Fn(&Part) -> String| {
        let cells = report.deployments.iter().map(cell);
        table.row(std::iter::once(name.to_owned()).chain(cells));
    };
    row("requests", &|part| part.verdict.requests.to_string());
    row("answered", &|part| part.verdict.answered.to_string());
    row("failed at the target", &|part| {
        part.verdict.failed.to_string()
    });
    row("refused, not run", &|part| {
        part.verdict.refused_not_run.to_string()
    });
    row("unknown", &|part| part.verdict.unknown.to_string());
    row("lost", &|part| part.verdict.lost.to_string());
    row("cut short", &|part| part.verdict.cut_short.to_string());
    row("run twice", &|part| part.verdict.run_twice.to_string());
    row("false \"not run\"", &|part| {
        part.verdict.false_not_run.to_string()
    });
    row("wrong answers", &|part| {
        part.verdict.wrong_answer.to_string()
    });
    row("streams cut by the killed router", &|part| {
        part.verdict.cuts_by_faults.to_string()
    });
    row("workspaces compared", &|part| part.backlogged.to_string());
    row("fairness gap, tokens/weight", &|part| {
        format!("{:.0}", part.fairness_gap)
    });
    row("its bound", &|part| format!("{:.0}", part.fairness_bound));
    row("slots used while work waits", &|part| {
        format!("{:.1}%", part.utilisation * 100.0)
    });
    row("first token p50, ms", &|part| {
        part.first_token_p50_ms.to_string()
    });
    row("first token p95, ms", &|part| {
        part.first_token_p95_ms.to_string()
    });
    row("rules in force after, ms", &|part| {
        part.rules_in_force_ms
            .map_or("never".to_owned(), |ms| ms.to_string())
    });
    table
}

fn play(deployment: Deployment, seed: u64) -> Result<Part, Error> {
    let name = deployment.name;
    say(name, "starting");
    let mut fleet = Fleet::start(&Plan::new(deployment.clone()))?;
    let routers = fleet.routers().len();
    say(
        name,
        &format!(
            "{routers} routers and {} runners are up",
            fleet.targets().len()
        ),
    );
    let start = clock::now();
    let plan = workload(&deployment).plan(&deployment, seed);
    let traffic = Traffic::start(&fleet.caller(), plan);
    let in_force = disturb(&mut fleet, start, name, &traffic)?;
    let histories = traffic.join();
    say(name, &format!("all {} calls are over", histories.len()));
    explain_overdue(name, &histories);
    Ok(judge(&fleet, start, &histories, in_force))
}

/// Prints what routers say about calls that they held past their deadline.
fn explain_overdue(name: &str, histories: &[History]) {
    let last = histories
        .iter()
        .filter_map(|history| history.submissions.last());
    let overdue = last.filter(|one| matches!(one.reply, Reply::Overdue { .. }));
    for submission in overdue.take(MAX_EXPLAINED) {
        let (router, request) = (submission.router, &submission.request);
        let url = format!("http://{router}/v1/explain?request={request}");
        let answer = ureq::get(url).call();
        let text = answer.and_then(|mut answer| answer.body_mut().read_to_string());
        say(
            name,
            &format!("{request} at {router}: {}", text.unwrap_or_default()),
        );
    }
}

fn say(name: &str, text: &str) {
    println!("{name}: {text}");
}

fn workload(deployment: &Deployment) -> Workload {
    let mut flows = Vec::new();
    for (number, (workspace, _)) in deployment.weights.iter().enumerate() {
        let burst = match number {
            _ if number < FLOODING / 2 => BURSTS[0],
            _ if number < FLOODING => BURSTS[1],
            _ => 0,
        };
        flows.push(Flow {
            workspace: workspace.clone(),
            service: deployment.engine_service(),
            rate: if burst > 0 { 0.0 } else { 0.8 },
            burst,
            cost: TOKENS,
            hint_error: 4.0,
            once: 0.0,
            deadline_ms: 40_000,
        });
        flows.push(Flow {
            workspace: workspace.clone(),
            service: deployment.plain_service(),
            rate: 0.8,
            burst: 0,
            cost: CALL_MS,
            hint_error: 4.0,
            once: 0.75,
            deadline_ms: 40_000,
        });
    }
    Workload {
        deployment: deployment.name.to_owned(),
        duration_s: LOAD_S,
        flows,
    }
}

/// Breaks things at their times; returns how long the change of rules took.
fn disturb(
    fleet: &mut Fleet,
    start: Time,
    name: &str,
    traffic: &Traffic,
) -> Result<Option<u64>, Error> {
    let step = |at: Span, text: &str| {
        clock::sleep_until(start + at);
        let (sent, over) = traffic.progress();
        say(name, &format!("{sent} calls made, {over} over; {text}"));
    };
    step(KILL_ROUTER_AT, "killing a router");
    fleet.kill_router(KILLED_ROUTER)?;
    step(CHANGE_RULES_AT, "changing the rules");
    let changed = clock::now();
    let version = change_rules(fleet);
    let in_force = wait_in_force(fleet, version, changed);
    step(KILL_RUNNER_AT, "killing a runner");
    fleet.kill_target(KILLED_RUNNER);
    step(DRAIN_ROUTER_AT, "draining a router");
    fleet.drain_router(DRAINED_ROUTER)?;
    step(RESTART_AT, "restarting the router and the runner");
    fleet.restart_router(KILLED_ROUTER)?;
    fleet.restart_target(KILLED_RUNNER)?;
    fleet.wait_drained(DRAINED_ROUTER)?;
    step(Span::from_secs(u64::from(LOAD_S)), "no further calls");
    Ok(in_force)
}

/// Gives the last workspace a greater share.
fn change_rules(fleet: &mut Fleet) -> u64 {
    let last = fleet.deployment().weights.last().cloned();
    fleet.change_config("demo-rules", |config| {
        let share = last.and_then(|(workspace, _)| config.workspaces.get_mut(&workspace));
        if let Some(share) = share {
            share.weight += 1;
        }
    })
}

fn wait_in_force(fleet: &Fleet, version: u64, changed: Time) -> Option<u64> {
    let live = (0..fleet.routers().len()).filter(|&number| number != KILLED_ROUTER);
    let mut waiting: Vec<usize> = live.collect();
    while clock::now().since(changed) <= IN_FORCE {
        waiting.retain(|&number| fleet.config_version(number).is_none_or(|own| own < version));
        if waiting.is_empty() {
            return Some(clock::now().since(changed).as_millis());
        }
        thread::sleep(Span(20).into());
    }
    None
}

fn judge(fleet: &Fleet, start: Time, histories: &[History], in_force: Option<u64>) -> Part {
    let deployment = fleet.deployment();
    let executions = fleet.executions();
    let service = deployment.engine_service();
    let weights = deployment.weight_map();
    let capacity = fleet.capacity(&service);
    let figures = |window| {
        Figures::new(
            &service,
            window,
            histories,
            &executions,
            &weights,
            &capacity,
        )
    };
    let healthy = figures(Window::new(start + SETTLED, start + KILL_ROUTER_AT));
    let whole = figures(Window::new(
        start,
        start + Span::from_secs(u64::from(LOAD_S)),
    ));
    let mut waits: Vec<_> = histories.iter().filter_map(History::first_token).collect();
    waits.sort();
    let quantile = |part: usize| waits.get(waits.len() * part / 100).map_or(0, |span| span.0);
    Part {
        deployment: deployment.name,
        verdict: fleet.judge(histories),
        fairness_gap: healthy.fairness_gap,
        fairness_bound: bound(fleet, &service, &executions, &weights),
        backlogged: healthy.backlogged,
        utilisation: whole.utilisation,
        rules_in_force_ms: in_force,
        first_token_p50_ms: quantile(50),
        first_token_p95_ms: quantile(95),
    }
}

fn bound(
    fleet: &Fleet,
    service: &Service,
    executions: &[Execution],
    weights: &BTreeMap<Workspace, u32>,
) -> f64 {
    let own = executions.iter().filter(|one| one.service == *service);
    let costs: Vec<u64> = own.map(|one| one.cost.0).collect();
    let slots: u32 = fleet
        .targets()
        .iter()
        .filter(|target| target.place().service == service.as_str())
        .map(|target| target.place().slots)
        .sum();
    let (queue, lender) = (queue::Settings::default(), lender::Settings::default());
    let flooding = fleet.deployment().weights.iter().take(FLOODING);
    let backlogged: u32 = flooding.map(|(_, weight)| weight).sum();
    let smallest = weights.values().copied().min().unwrap_or(1);
    let bound = Bound {
        largest: Cost(costs.iter().copied().max().unwrap_or(0)),
        mean: Cost(costs.iter().sum::<u64>() / costs.len().max(1) as u64),
        slots,
        backlogged_weight: f64::from(backlogged),
        weight: f64::from(smallest),
        credit: queue.credit,
        lag: queue.lag,
        staleness: STALENESS,
        rate: f64::from(slots) * crate::fleet::TOKENS_PER_SECOND,
        router_weight: f64::from(smallest),
        lease: lender.lease,
    };
    bound.healthy()
}
