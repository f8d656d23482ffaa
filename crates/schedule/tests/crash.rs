//! Crashes of runners while they run equal requests, as many callers that read one page send them.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Id, Refusal};
use balsamchute_schedule::report::Sum;
use balsamchute_schedule::request::Request;
use common::{NOW, entry, model_request, named_scheduler, plain_request, runner, scheduler, sends};

/// Request that many callers send alike.
fn page(_: Id) -> Request {
    plain_request(RetryPolicy::AtMostOnce, 1)
}

/// Prompt of its own that shares a part with others.
fn prompt(id: Id) -> Request {
    Request {
        retry_policy: RetryPolicy::AtMostOnce,
        fingerprint: u128::from(id),
        ..model_request("w1", 7, 100)
    }
}

/// Returns whether the request is sent; otherwise it is refused because it crashes runners.
fn submit(scheduler: &mut Scheduler, now: Time, id: Id, request: Request) -> bool {
    let request = Request {
        deadline: now + Span(1000),
        ..request
    };
    scheduler.submit(now, id, request);
    scheduler.record_write(id);
    let actions = scheduler.take_actions();
    let is_refused = actions.iter().any(|action| {
        let Action::Refuse { refusal, .. } = action else {
            return false;
        };
        *refusal == Refusal::CrashesRunners
    });
    assert_eq!(is_refused, sends(&actions).is_empty(), "{actions:?}");
    !is_refused
}

/// Sends requests to `name`, the only runner, and lets it crash. The router sees the last break
/// after it was refused a connection.
fn crash(scheduler: &mut Scheduler, now: Time, name: &str, ids: &[Id], request: fn(Id) -> Request) {
    for &id in ids {
        assert!(submit(scheduler, now, id, request(id)), "request {id}");
    }
    let (last, others) = ids.split_last().unwrap();
    for &id in others {
        scheduler.finish_attempt(now, id, End::Broke);
    }
    scheduler.record_refused_probe(now, &runner(name));
    scheduler.finish_attempt(now, *last, End::Broke);
    scheduler.record_refused_probe(now + Span(60), &runner(name));
    scheduler.take_actions();
}

/// Replaces the runners by one.
fn list_only(scheduler: &mut Scheduler, now: Time, entry: Entry) {
    let listed: Vec<Runner> = scheduler
        .targets()
        .map(|target| target.entry.runner.clone())
        .collect();
    for other in listed.iter().filter(|other| **other != entry.runner) {
        scheduler.remove_runner(other);
    }
    scheduler.set_runner(now, entry);
    scheduler.take_actions();
}

#[test]
fn equal_requests_that_one_crash_breaks_off_count_as_one_crash() {
    let mut scheduler = scheduler(100);
    list_only(&mut scheduler, NOW, entry("p1", "plain", 6));
    crash(&mut scheduler, NOW, "p1", &[1, 2, 3], page);
    list_only(&mut scheduler, NOW, entry("p2", "plain", 6));
    // The request is not refused until the second crash.
    crash(&mut scheduler, NOW, "p2", &[4], page);
    list_only(&mut scheduler, NOW, entry("p3", "plain", 6));
    assert!(!submit(&mut scheduler, NOW, 5, page(5)));
}

#[test]
fn equal_requests_of_several_routers_that_one_crash_breaks_off_count_as_one_crash() {
    let mut routers = ["r1.1", "r2.1", "r3.1"].map(|name| named_scheduler(name, 100));
    let mut sum = Sum::new();
    for router in &mut routers {
        list_only(router, NOW, entry("p1", "plain", 6));
        crash(router, NOW, "p1", &[1], page);
        sum.add(&router.report(NOW));
    }
    let report = sum.into_report();
    for router in &mut routers {
        list_only(router, NOW, entry("p2", "plain", 6));
        router.apply_report(NOW, &Instance::new("r0").unwrap(), &report);
        assert!(submit(router, NOW, 2, page(2)));
    }
}

#[test]
fn each_process_of_a_runner_that_a_request_crashes_counts() {
    let mut scheduler = scheduler(100);
    let listed = |started_at: u64| Entry {
        started_at,
        ..entry("p1", "plain", 6)
    };
    list_only(&mut scheduler, NOW, listed(1));
    crash(&mut scheduler, NOW, "p1", &[1, 2], page);
    list_only(&mut scheduler, NOW + Span(3000), listed(2));
    crash(&mut scheduler, NOW + Span(3000), "p1", &[3], page);
    list_only(&mut scheduler, NOW + Span(6000), listed(3));
    assert!(!submit(&mut scheduler, NOW + Span(6000), 4, page(4)));
}

/// The runner starts again under its id, and crashes before the new entry arrives.
#[test]
fn each_process_that_crashes_before_its_entry_arrives_counts() {
    for (service, request, limit) in [
        ("plain", page as fn(Id) -> Request, 2),
        ("model", prompt, 3),
    ] {
        let mut scheduler = scheduler(100);
        list_only(&mut scheduler, NOW, entry("p1", service, 6));
        for id in 1..=limit {
            let now = NOW + Span(3000 * id);
            crash(&mut scheduler, now, "p1", &[id], request);
        }
        let now = NOW + Span(3000 * (limit + 1));
        assert!(!submit(&mut scheduler, now, 9, request(9)), "{service}");
    }
}
