//! Requests that crash their targets, sent again and again at changing routers,
//! beside healthy load.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_standin::prompt::Prompt;
use balsamchute_wire::record::{Code, Outcome};
use serde::Serialize;

use super::Options;
use super::steady::{self, Load};
use crate::audit::Verdict;
use crate::caller::Caller;
use crate::caller::call::{Call, History, Repeat, Reply};
use crate::clock;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use crate::report::{self, Table};
use crate::traffic::Traffic;

/// Requests that crash their targets.
const POISONS: usize = 4;

/// Times that the caller of each sends it.
const SENDINGS: usize = 30;

/// Pause between two of them.
const PAUSE: Span = Span(700);

/// Most targets that one of them may crash.
const CRASHES_BOUND: u64 = 2;

/// Time within which every router has to refuse after the second crash.
const SPREAD_BOUND: Span = Span::from_secs(5);

/// Load of healthy requests.
const LOAD: Load = Load {
    engine_share: 0.4,
    plain_share: 0.2,
    seconds: 24,
};

#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    pass: bool,
    seed: u64,
    poisons: usize,
    sendings: usize,
    crashes_worst: u64,
    crashes_bound: u64,
    refused_share_after: f64,
    last_start_after_second_crash_ms: u64,
    spread_bound_ms: u64,
    bystanders_blamed: u64,
    bystanders_blamed_bound: u64,
    #[serde(flatten)]
    verdict: Verdict,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an [`Error`] if the fleet cannot be brought up.
///
/// # Panics
///
/// Panics if the thread of a sender has panicked.
pub fn run(options: Options) -> Result<bool, Error> {
    let deployment = Deployment::association();
    let fleet = Fleet::start(&Plan::new(deployment.clone()))?;
    let plan = steady::workload(&deployment, LOAD).plan(&deployment, options.seed);
    let traffic = Traffic::start(&fleet.caller(), plan);
    let senders: Vec<_> = (0..POISONS)
        .map(|number| {
            let routers = fleet.callers();
            let call = poison(&deployment, number, options.seed);
            thread::spawn(move || send(&routers, number, &call))
        })
        .collect();
    let sent: Vec<Vec<History>> = senders
        .into_iter()
        .map(|sender| sender.join().expect("senders do not panic"))
        .collect();
    let histories = traffic.join();
    let report = judge(&fleet, &sent, &histories, options);
    print(&report, options);
    Ok(report.pass)
}

/// Returns a call that crashes its target half-way.
fn poison(deployment: &Deployment, number: usize, seed: u64) -> Call {
    let id = format!("poison-{number}");
    let prompt = Prompt::new(20)
        .with_crash()
        .with_text(&format!("{id}-{seed}"));
    Call {
        workspace: deployment.weights[number].0.clone(),
        service: deployment.engine_service(),
        repeat: Repeat::Idempotent,
        hint: None,
        prefix: None,
        deadline: Span::from_secs(10),
        body: prompt.to_body().into_bytes(),
        expect: None,
        id,
    }
}

/// Sends the call again and again, each time to another router.
fn send(routers: &[SocketAddr], number: usize, call: &Call) -> Vec<History> {
    let sending = |turn: usize| {
        let router = routers[(number + turn) % routers.len()];
        let call = Call {
            id: format!("{}-{turn}", call.id),
            ..call.clone()
        };
        let history = Caller::new(&[router]).send_once(router, call);
        clock::sleep_until(clock::now() + PAUSE);
        history
    };
    (0..SENDINGS).map(sending).collect()
}

fn judge(fleet: &Fleet, sent: &[Vec<History>], healthy: &[History], options: Options) -> Report {
    let executions = fleet.executions();
    let mut crashes_worst = 0;
    let mut late = Span(0);
    for histories in sent {
        let ids: BTreeSet<&str> = histories
            .iter()
            .flat_map(|history| &history.submissions)
            .map(|submission| submission.request.as_str())
            .collect();
        let mut runs: Vec<_> = executions
            .iter()
            .filter(|execution| ids.contains(execution.request.as_str()))
            .collect();
        runs.sort_by_key(|execution| execution.start);
        crashes_worst = crashes_worst.max(runs.len() as u64);
        if let (Some(second), Some(last)) = (runs.get(1), runs.last()) {
            let crashed = second.end.unwrap_or(second.start);
            late = late.max(last.start.since(crashed));
        }
    }
    let ends = sent.iter().flat_map(|histories| histories.iter().skip(2));
    let (all, refused) = ends.fold((0u64, 0u64), |(all, refused), history| {
        (all + 1, refused + u64::from(is_refused(history)))
    });
    let blamed = healthy.iter().filter(|history| is_refused(history)).count() as u64;
    let verdict = fleet.judge(healthy);
    let seen = sent.iter().flatten().any(is_refused);
    let pass = seen
        && crashes_worst <= CRASHES_BOUND
        && late <= SPREAD_BOUND
        && blamed == 0
        && verdict.holds();
    Report {
        experiment: "poison",
        pass,
        seed: options.seed,
        poisons: POISONS,
        sendings: SENDINGS,
        crashes_worst,
        crashes_bound: CRASHES_BOUND,
        refused_share_after: refused as f64 / all.max(1) as f64,
        last_start_after_second_crash_ms: late.as_millis(),
        spread_bound_ms: SPREAD_BOUND.as_millis(),
        bystanders_blamed: blamed,
        bystanders_blamed_bound: 0,
        verdict,
    }
}

/// Returns whether any sending of a call was refused as crashing its targets.
fn is_refused(history: &History) -> bool {
    history.submissions.iter().any(|submission| {
        matches!(&submission.reply, Reply::End { end, .. }
            if end.code == Some(Code::Quarantine) && end.outcome == Outcome::NotRun)
    })
}

fn print(report: &Report, options: Options) {
    let mut table = Table::new(&["requests that crash targets", "", "bound"]);
    let rows = [
        ("requests", report.poisons.to_string(), "-"),
        ("sendings of each", report.sendings.to_string(), "-"),
        (
            "targets crashed by one, worst",
            report.crashes_worst.to_string(),
            "<= 2",
        ),
        (
            "last start after the second crash, ms",
            report.last_start_after_second_crash_ms.to_string(),
            "<= 5000",
        ),
        (
            "bystanders blamed",
            report.bystanders_blamed.to_string(),
            "0",
        ),
    ];
    for (name, value, bound) in rows {
        table.row([name.to_owned(), value, bound.to_owned()]);
    }
    steady::verdict_rows(&mut table, &report.verdict);
    println!("{table}");
    for fault in &report.verdict.faults {
        println!("{fault}");
    }
    if options.json {
        report::print_json(report);
    }
}
