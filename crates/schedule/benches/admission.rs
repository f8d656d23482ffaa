//! Duration of one admission decision: a request arrives at a scheduler with
//! full runners and a queue of waiting requests, and is cancelled.

use std::hint::black_box;
use std::net::SocketAddr;

use balsamchute_model::manifest::{Engine, ServiceSpec};
use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::Id;
use balsamchute_schedule::request::Request;
use balsamchute_schedule::scheduler::Settings;
use criterion::{Criterion, criterion_group, criterion_main};

const NOW: Time = Time(1_000_000);

/// Dimensions of the benchmarked fleet.
#[derive(Clone, Copy)]
struct Size {
    workspaces: u64,
    runners: u64,
    waiting: u64,
}

fn service() -> Service {
    Service::new("model").expect("valid service name")
}

fn request(number: u64, size: Size) -> Request {
    let workspace = format!("w{}", number % size.workspaces);
    Request {
        service: service(),
        route: format!("kind-{}", number % 3),
        workspace: Some(Workspace::new(&workspace).expect("valid workspace name")),
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

/// Creates a scheduler with full runners and waiting requests.
fn saturated_scheduler(size: Size) -> Scheduler {
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
    scheduler.set_manifest(&Manifest::new(1, Vec::new()).with_services(vec![spec]));
    for number in 0..size.runners {
        scheduler.set_runner(
            NOW,
            Entry {
                runner: Runner::new(&format!("i-{number}")).expect("valid runner name"),
                service: service(),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: "a".to_owned(),
                slots: 64,
                state: State::Ready,
                warmup: Span(0),
                started_at: 1,
                software: Software::default(),
            },
        );
    }
    // Each runner takes three of these requests; then too many of its prompt
    // tokens await prefill.
    for number in 0..size.waiting + 3 * size.runners {
        scheduler.submit(NOW, number, request(number, size));
    }
    scheduler.take_actions();
    scheduler
}

fn admission(criterion: &mut Criterion) {
    let sizes = [
        (
            "16 workspaces, 15 runners, 500 waiting",
            Size {
                workspaces: 16,
                runners: 15,
                waiting: 500,
            },
        ),
        (
            "30 workspaces, 95 runners, 5000 waiting",
            Size {
                workspaces: 30,
                runners: 95,
                waiting: 5000,
            },
        ),
    ];
    for (name, size) in sizes {
        let mut scheduler = saturated_scheduler(size);
        let mut id: Id = 1_000_000;
        // Cancelling the request restores the state, so that every iteration
        // measures the same fleet.
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                id += 1;
                scheduler.submit(NOW, id, request(id, size));
                scheduler.cancel(NOW, id);
                black_box(scheduler.take_actions());
            });
        });
    }
}

criterion_group!(benches, admission);
criterion_main!(benches);
