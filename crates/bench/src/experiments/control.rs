//! What control costs a router: bytes, messages, processor time and memory
//! against nodes, workspaces, backlogged workspaces and runners, each varied
//! alone, and what follows for the fleet that is expected.

use balsamchute_base::prelude::*;
use serde::Serialize;

use super::Options;
use crate::capacity::fit::Line;
use crate::capacity::page::number;
use crate::capacity::size::Size;
use crate::clock;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::fleet::router::Router;
use crate::fleet::{Fleet, Plan};
use crate::process::Usage;
use crate::report::{self, Table};
use crate::sockets::Meter;
use crate::traffic::Traffic;
use crate::workload::{Flow, Workload};

/// Most bytes a second that a node may send for control.
const BYTES_LIMIT: f64 = 3_000.0;

/// Most of a core that a node may use for control.
const CORE_LIMIT: f64 = 0.022;

/// Most memory that a node may use for control, in bytes.
const MEMORY_LIMIT: f64 = 64.0 * 1024.0 * 1024.0;

/// Time for a fleet to settle before it is looked at.
const SETTLE: Span = Span::from_secs(2);

/// Time in which a fleet is looked at.
const WINDOW: Span = Span::from_secs(8);

/// Time between two looks at the connections.
const LOOK: Span = Span(500);

/// Requests that wait for each backlogged workspace.
const WAITING: u32 = 12;

/// Tokens of a request that keeps a slot busy for the whole window.
const LONG: u32 = 400;

/// Counts of one run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct Case {
    nodes: usize,
    workspaces: usize,
    backlogged: usize,
    runners: usize,
}

/// The case that the others differ from in one count. It has more nodes than
/// the largest fleet that exchanges everything, as the expected fleet has.
const BASE: Case = Case {
    nodes: 20,
    workspaces: 16,
    backlogged: 0,
    runners: 12,
};

const NODES: [usize; 4] = [18, 24, 32, 48];
const WORKSPACES: [usize; 4] = [16, 200, 800, 1_600];
const BACKLOGGED: [usize; 4] = [0, 4, 8, 16];
const RUNNERS: [usize; 4] = [12, 40, 80, 160];

/// Figures of one node in one run.
#[derive(Clone, Copy, Debug, Serialize)]
struct Figures {
    sent_bytes_s: f64,
    messages_s: f64,
    core: f64,
    resident: f64,
    threads: f64,
}

/// One run.
#[derive(Clone, Debug, Serialize)]
struct Point {
    against: &'static str,
    case: Case,
    figures: Figures,
}

/// What follows for the expected fleet from one count.
#[derive(Debug, Serialize)]
struct Slope {
    against: &'static str,
    bytes: Line,
    messages: Line,
    core: Line,
    resident: Line,
}

/// The report.
#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    pass: bool,
    bytes_s: f64,
    bytes_limit: f64,
    core: f64,
    core_limit: f64,
    resident: f64,
    resident_limit: f64,
    points: Vec<Point>,
    slopes: Vec<Slope>,
}

/// Runs the experiment; returns whether the expected fleet stays within its
/// limits.
///
/// # Errors
///
/// Returns an [`Error`] if a fleet cannot be brought up or looked at.
pub fn run(options: Options) -> Result<bool, Error> {
    let mut points = Vec::new();
    for (against, case) in cases() {
        eprintln!("control: {against}: {case:?}");
        let figures = look(case, options.seed)?;
        points.push(Point {
            against,
            case,
            figures,
        });
    }
    println!("{}", points_table(&points));
    let report = extrapolate(points);
    println!("{}", limits_table(&report));
    if options.json {
        report::print_json(&report);
    }
    Ok(report.pass)
}

fn cases() -> Vec<(&'static str, Case)> {
    let nodes = NODES.map(|nodes| ("nodes", Case { nodes, ..BASE }));
    let workspaces = WORKSPACES.map(|workspaces| ("workspaces", Case { workspaces, ..BASE }));
    let backlogged = BACKLOGGED.map(|backlogged| ("backlogged", Case { backlogged, ..BASE }));
    let runners = RUNNERS.map(|runners| ("runners", Case { runners, ..BASE }));
    [nodes, workspaces, backlogged, runners].concat()
}

fn deployment(case: Case) -> Deployment {
    let mut deployment = Deployment::association().with_routers(case.nodes);
    deployment.pools.truncate(1);
    deployment.pools[0].runners = case.runners;
    let name = |number| Workspace::new(&format!("w-{number:05}")).expect("name is valid");
    deployment.weights = (0..case.workspaces)
        .map(|number| (name(number), 1))
        .collect();
    deployment
}

fn look(case: Case, seed: u64) -> Result<Figures, Error> {
    let deployment = deployment(case);
    let plan = Plan::new(deployment.clone());
    let fleet = Fleet::start(&plan)?;
    let traffic = (case.backlogged > 0).then(|| {
        let calls = backlog(&deployment, case).plan(&deployment, seed);
        Traffic::start(&fleet.caller(), calls)
    });
    clock::sleep_until(clock::now() + SETTLE);
    let figures = window(&fleet);
    // Callers still waiting get their ends when the fleet goes.
    drop(fleet);
    drop(traffic.map(Traffic::join));
    figures
}

fn backlog(deployment: &Deployment, case: Case) -> Workload {
    let names = deployment.weights.iter().take(case.backlogged);
    let flows = names.map(|(workspace, _)| Flow {
        workspace: workspace.clone(),
        service: deployment.engine_service(),
        rate: 0.0,
        burst: WAITING,
        cost: LONG,
        hint_error: 1.0,
        once: 0.0,
        deadline_ms: 12_000,
    });
    Workload {
        deployment: deployment.name.to_owned(),
        duration_s: 1,
        flows: flows.collect(),
    }
}

fn window(fleet: &Fleet) -> Result<Figures, Error> {
    let inner = fleet.routers().iter().map(|router| router.settings().inner);
    let targets = fleet.targets().iter().map(|target| target.address());
    let outside = targets.chain([fleet.platform().address()]);
    let mut inner = Meter::new(inner)?;
    let mut outside = Meter::new(outside)?;
    let before = usage(fleet.routers());
    let start = clock::now();
    while clock::now().since(start) < WINDOW {
        clock::sleep_until(clock::now() + LOOK);
        inner.update()?;
        outside.update()?;
    }
    let seconds = clock::now().since(start).as_millis() as f64 / 1000.0;
    let after = usage(fleet.routers());
    let nodes = fleet.routers().len() as f64;
    let each = |total: f64| total / nodes / seconds;
    let (inner, outside) = (inner.count(), outside.count());
    // Between routers one side's received bytes are the other's sent ones.
    let sent = inner.received + inner.sent + outside.received;
    Ok(Figures {
        sent_bytes_s: each(sent as f64),
        messages_s: each((inner.requests + outside.requests) as f64),
        core: each(after.cpu_s - before.cpu_s),
        resident: after.resident / nodes,
        threads: after.threads / nodes,
    })
}

fn usage(routers: &[Router]) -> Usage {
    let all = routers.iter().filter_map(|router| Usage::new(router.pid()));
    all.fold(Usage::default(), |sum, one| Usage {
        cpu_s: sum.cpu_s + one.cpu_s,
        resident: sum.resident + one.resident,
        threads: sum.threads + one.threads,
    })
}

fn points_table(points: &[Point]) -> Table {
    let heads = [
        "against",
        "nodes",
        "workspaces",
        "backlogged",
        "runners",
        "sent B/s",
        "messages/s",
        "core",
        "MB",
        "threads",
    ];
    let mut table = Table::new(&heads);
    for Point {
        against,
        case,
        figures,
    } in points
    {
        table.row([
            (*against).to_owned(),
            case.nodes.to_string(),
            case.workspaces.to_string(),
            case.backlogged.to_string(),
            case.runners.to_string(),
            number(figures.sent_bytes_s),
            number(figures.messages_s),
            format!("{:.2}%", figures.core * 100.0),
            number(figures.resident / 1048576.0),
            number(figures.threads),
        ]);
    }
    table
}

fn slope(points: &[Point], against: &'static str, count: fn(&Case) -> usize) -> Slope {
    let own: Vec<&Point> = points
        .iter()
        .filter(|point| point.against == against)
        .collect();
    let line = |figure: fn(&Figures) -> f64| {
        let values = own
            .iter()
            .map(|one| (count(&one.case) as f64, figure(&one.figures)));
        Line::new(&values.collect::<Vec<_>>())
    };
    Slope {
        against,
        bytes: line(|figures| figures.sent_bytes_s),
        messages: line(|figures| figures.messages_s),
        core: line(|figures| figures.core),
        resident: line(|figures| figures.resident),
    }
}

/// A node's part of the expected fleet's count: what grows with runners is
/// spread over the nodes, so it grows with the runners for each node.
fn extrapolate(points: Vec<Point>) -> Report {
    let letter = Size::letter();
    let runners_a_node = letter.runners as f64 / letter.nodes as f64;
    let slopes = vec![
        slope(&points, "nodes", |case| case.nodes),
        slope(&points, "workspaces", |case| case.workspaces),
        slope(&points, "backlogged", |case| case.backlogged),
        slope(&points, "runners", |case| case.runners),
    ];
    let steps = [
        letter.nodes as f64 - BASE.nodes as f64,
        letter.workspaces as f64 - BASE.workspaces as f64,
        letter.backlogged as f64 * BASE.nodes as f64 / letter.nodes as f64,
        runners_a_node * BASE.nodes as f64 - BASE.runners as f64,
    ];
    let at = |line: fn(&Slope) -> Line| {
        let base = line(&slopes[0]).at(BASE.nodes as f64).max(0.0);
        let rise = slopes
            .iter()
            .zip(steps)
            .map(|(one, step)| line(one).slope * step);
        base + rise.sum::<f64>()
    };
    let (bytes_s, core) = (at(|one| one.bytes), at(|one| one.core));
    let resident = at(|one| one.resident);
    Report {
        experiment: "control",
        pass: bytes_s <= BYTES_LIMIT && core <= CORE_LIMIT && resident <= MEMORY_LIMIT,
        bytes_s,
        bytes_limit: BYTES_LIMIT,
        core,
        core_limit: CORE_LIMIT,
        resident,
        resident_limit: MEMORY_LIMIT,
        points,
        slopes,
    }
}

fn limits_table(report: &Report) -> Table {
    let mut table = Table::new(&["a node of the expected fleet", "by the slopes", "limit"]);
    let megabytes = |bytes: f64| format!("{} MB", number(bytes / 1048576.0));
    let percent = |core: f64| format!("{:.2}%", core * 100.0);
    let bytes = [report.bytes_s, report.bytes_limit].map(|bytes| format!("{} B/s", number(bytes)));
    let core = [report.core, report.core_limit].map(percent);
    let resident = [report.resident, report.resident_limit].map(megabytes);
    for (name, [value, limit]) in [("sent", bytes), ("core", core), ("resident", resident)] {
        table.row([name.to_owned(), value, limit]);
    }
    table
}
