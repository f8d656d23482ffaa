//! Fixtures: a scheduler with a service of model engines and a plain service.

use std::net::SocketAddr;

use balsamchute_model::manifest::{Engine, ServiceSpec};
use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, Id};
use balsamchute_schedule::request::Request;
use balsamchute_schedule::scheduler::Settings;

pub const NOW: Time = Time(1_000_000);

/// Cost per second that the engines process together.
pub const CAPACITY_TOKENS_PER_S: u64 = 100_000;

pub fn service(name: &str) -> Service {
    Service::new(name).unwrap()
}

pub fn runner(name: &str) -> Runner {
    Runner::new(name).unwrap()
}

pub fn some_workspace(name: &str) -> Option<Workspace> {
    Some(Workspace::new(name).unwrap())
}

pub fn entry(name: &str, service_name: &str, slots: u32) -> Entry {
    Entry {
        runner: runner(name),
        service: service(service_name),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".to_owned(),
        slots,
        state: State::Ready,
        warmup: Span(0),
        started_at: 1,
        software: Software::default(),
    }
}

/// Creates a scheduler; `retry_slack` is the fleet-wide slack of the retry
/// budget.
pub fn scheduler(retry_slack: u32) -> Scheduler {
    named_scheduler("r1.1", retry_slack)
}

/// Creates a scheduler of the router process with this name.
pub fn named_scheduler(name: &str, retry_slack: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(Settings {
        process_name: name.to_owned(),
        domain: "a".to_owned(),
        share_window: Span(4000),
        retry_ratio: 0.2,
        retry_slack,
        retry_window: Span(10_000),
    });
    let engine = Engine {
        kv_cache_tokens: 400_000,
        tokens_per_event: 5,
    };
    let spec = |name: &str, engine| ServiceSpec {
        service: service(name),
        max_connections: 100,
        engine,
        cold_start: None,
    };
    let limits = Limits {
        cost_per_second: Some(CAPACITY_TOKENS_PER_S),
        ..Limits::default()
    };
    let manifest = Manifest::new(1, Vec::new())
        .with_services(vec![spec("model", Some(engine)), spec("plain", None)])
        .with_limits(limits);
    scheduler.set_manifest(&manifest);
    scheduler
}

pub fn plain_request(retry_policy: RetryPolicy, max_attempts: u32) -> Request {
    Request {
        service: service("plain"),
        route: "plain".to_owned(),
        workspace: some_workspace("w1"),
        retry_policy,
        stream: false,
        prompt: None,
        age: Span(0),
        latency_target: Span(200),
        event_gap_target: Span(200),
        deadline: NOW + Span(1000),
        max_attempts,
        stream_digest: 0,
        resumed: None,
        fingerprint: 1,
    }
}

/// Creates a model request whose prompt begins with the shared part `part`.
pub fn model_request(workspace_name: &str, part: u64, tokens: u32) -> Request {
    Request {
        service: service("model"),
        route: "model".to_owned(),
        workspace: some_workspace(workspace_name),
        retry_policy: RetryPolicy::Resumable,
        stream: true,
        prompt: Some(Prompt::new(
            tokens,
            50,
            &[(part, tokens / 2), (99, tokens / 2)],
        )),
        deadline: NOW + Span(15_000),
        latency_target: Span(800),
        ..plain_request(RetryPolicy::Resumable, 2)
    }
}

/// Returns the requests that the actions send, with their runners.
pub fn sends(actions: &[Action]) -> Vec<(Id, String)> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { id, runner, .. } => Some((*id, runner.as_str().to_owned())),
        _ => None,
    });
    sends.collect()
}
