//! Processor time of scheduling decisions at a router that one workspace floods.
//!
//! 140 runners of 16 slots are full by this router's requests and the reports of 5 peers,
//! and 2,000 requests of 30 workspaces and 5 routes wait. Measured are a refusal on
//! arrival, an arrival that is the first of its workspace and route, the cycle of a
//! forwarded request (an arrival, then first event and end of another attempt) and a tick.

use std::collections::VecDeque;
use std::hint::black_box;
use std::net::SocketAddr;

use balsamchute_model::manifest::{Engine, ServiceSpec};
use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Id};
use balsamchute_schedule::report::{Load, Report, Usage};
use balsamchute_schedule::request::Request;
use balsamchute_schedule::scheduler::Settings;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

const NOW: Time = Time(1_000_000);

/// Numbers of runners that are compared; the cost may grow no faster than these.
const RUNNERS: [u64; 3] = [35, 70, 140];

const SLOTS: u32 = 16;
const PEERS: u64 = 5;
const WORKSPACES: u64 = 30;
const ROUTES: u64 = 5;
const WAITING: usize = 2_000;

/// Number of the workspace that sends most of the requests.
const FLOODING: u64 = 0;

fn service() -> Service {
    Service::new("model").expect("valid service name")
}

fn runner(number: u64) -> Runner {
    Runner::new(&format!("i-{number}")).expect("valid runner name")
}

fn workspace(number: u64) -> Workspace {
    Workspace::new(&format!("w{number}")).expect("valid workspace name")
}

fn request(number: u64, workspace_number: u64, route: &str) -> Request {
    Request {
        service: service(),
        route: route.to_owned(),
        workspace: Some(workspace(workspace_number)),
        retry_policy: RetryPolicy::Resumable,
        stream: true,
        prompt: Some(Prompt::new(
            4000,
            100,
            &[(number % 160, 2000), (number, 2000)],
        )),
        age: Span(0),
        latency_target: Span(800),
        event_gap_target: Span(200),
        deadline: NOW + Span(15_000),
        max_attempts: 2,
        stream_digest: 0,
        resumed: None,
        fingerprint: u128::from(number),
    }
}

/// Request of the usual mix: workspaces and routes in turn.
fn mixed_request(number: u64) -> Request {
    let route = format!("kind-{}", number / WORKSPACES % ROUTES);
    request(number, number % WORKSPACES, &route)
}

fn report(runners: u64) -> Report {
    Report {
        loads: (0..runners)
            .map(|number| Load {
                runner: runner(number),
                running: 2,
                prefill_tokens: 300,
                kv_tokens: 8_000,
            })
            .collect(),
        usage: (0..WORKSPACES)
            .map(|number| Usage {
                service: service(),
                workspace: workspace(number),
                demand: if number == FLOODING { 5e6 } else { 1e4 },
                served: if number == FLOODING { 5e5 } else { 1e3 },
            })
            .collect(),
        ..Report::default()
    }
}

/// Creates a scheduler with full runners and 2,000 waiting requests. Returns the ids of
/// the requests in progress.
fn flooded_scheduler(runners: u64) -> (Scheduler, Vec<Id>) {
    let mut scheduler = Scheduler::new(Settings {
        process_name: "r1.1".to_owned(),
        domain: "a".to_owned(),
        share_window: Span(4000),
        retry_ratio: 0.2,
        retry_slack: 50,
        retry_window: Span(10_000),
    });
    let engine = Engine {
        kv_cache_tokens: 400_000,
        tokens_per_event: 5,
    };
    let spec = ServiceSpec {
        service: service(),
        max_connections: 300,
        engine: Some(engine),
        cold_start: None,
    };
    let limits = Limits {
        cost_per_second: Some(340_000),
        ..Limits::default()
    };
    let manifest = Manifest::new(1, Vec::new())
        .with_services(vec![spec])
        .with_limits(limits);
    scheduler.set_manifest(&manifest);
    for number in 0..runners {
        scheduler.set_runner(
            NOW,
            Entry {
                runner: runner(number),
                service: service(),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: if number % 2 == 0 { "a" } else { "b" }.to_owned(),
                slots: SLOTS,
                state: State::Ready,
                warmup: Span(0),
                started_at: 1,
                software: Software::default(),
            },
        );
    }
    for peer in 0..PEERS {
        let peer = Instance::new(&format!("r{peer}")).expect("valid instance name");
        scheduler.apply_report(NOW, &peer, &report(runners));
    }
    let mut busy = Vec::new();
    for id in 0.. {
        scheduler.submit(NOW, id, mixed_request(id));
        busy.extend(sent(&scheduler.take_actions()));
        if scheduler.len() >= WAITING + busy.len() {
            break;
        }
    }
    // The shares follow from the reports; the flooding workspace is beyond its own.
    scheduler.tick(NOW);
    busy.extend(sent(&scheduler.take_actions()));
    (scheduler, busy)
}

fn sent(actions: &[Action]) -> Vec<Id> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { id, .. } => Some(*id),
        _ => None,
    });
    sends.collect()
}

fn flood(criterion: &mut Criterion) {
    for runners in RUNNERS {
        let (scheduler, busy) = flooded_scheduler(runners);
        let mut group = criterion.benchmark_group(format!("{runners} runners"));
        let mut next_id: Id = 1_000_000;

        let mut fleet = scheduler.clone();
        group.bench_function("refusal on arrival", |bencher| {
            bencher.iter(|| {
                next_id += 1;
                fleet.submit(NOW, next_id, request(next_id, FLOODING, "kind-0"));
                let actions = fleet.take_actions();
                assert!(matches!(actions[..], [Action::Refuse { .. }]));
                black_box(actions);
            });
        });

        // The cancelled arrival leaves the fleet as it was.
        let mut fleet = scheduler.clone();
        group.bench_function("first of its flow, runners full", |bencher| {
            bencher.iter(|| {
                next_id += 1;
                fleet.submit(NOW, next_id, request(next_id, 1, "kind-other"));
                fleet.cancel(NOW, next_id);
                black_box(fleet.take_actions());
            });
        });

        // Every batch begins with the same fleet, so that it is compared at equal load.
        group.bench_function("10 x arrival, first event, end", |bencher| {
            bencher.iter_batched_ref(
                || (scheduler.clone(), VecDeque::from(busy.clone())),
                |(fleet, in_progress)| {
                    for number in 0..10 {
                        let id = 2_000_000 + number;
                        fleet.submit(NOW, id, mixed_request(id));
                        if let Some(id) = in_progress.pop_front() {
                            fleet.record_events(NOW, id, 1);
                            fleet.finish_attempt(NOW, id, End::Done);
                        }
                    }
                    black_box(fleet.take_actions());
                },
                BatchSize::LargeInput,
            );
        });

        let mut fleet = scheduler.clone();
        group.bench_function("tick", |bencher| {
            bencher.iter(|| {
                fleet.tick(NOW);
                black_box(fleet.take_actions());
            });
        });
        group.finish();
    }
}

criterion_group!(benches, flood);
criterion_main!(benches);
