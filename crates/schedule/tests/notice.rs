//! Notices of runners: that they leave, and that they want a pause.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Refusal};
use balsamchute_schedule::request::Request;
use common::{NOW, entry, model_request, plain_request, runner, scheduler, sends};

/// Creates a scheduler with the plain runners `names`.
fn with_runners(names: &[&str]) -> Scheduler {
    let mut scheduler = scheduler(100);
    for name in names {
        scheduler.set_runner(NOW, entry(name, "plain", 6));
    }
    scheduler
}

/// Submits requests `first` to `first + 3` and returns the runners that got one.
fn runners_used(scheduler: &mut Scheduler, now: Time, first: u64) -> Vec<String> {
    for id in first..first + 4 {
        let request = plain_request(RetryPolicy::AtMostOnce, 2);
        let deadline = now + Span(1000);
        scheduler.submit(
            now,
            id,
            Request {
                deadline,
                ..request
            },
        );
    }
    let sends = sends(&scheduler.take_actions());
    let mut names: Vec<String> = sends.into_iter().map(|(_, runner)| runner).collect();
    names.sort();
    names.dedup();
    names
}

/// A runner may say that it leaves seconds before the store lists it as draining.
#[test]
fn a_runner_that_says_that_it_leaves_gets_no_new_request() {
    let mut scheduler = with_runners(&["p1", "p2"]);
    assert!(scheduler.record_leaving(&runner("p1"), 1));
    assert!(!scheduler.record_leaving(&runner("p1"), 1));
    assert_eq!(runners_used(&mut scheduler, NOW, 1), ["p2"]);
    // Losing and regaining its entry does not make it stay.
    scheduler.remove_runner(&runner("p1"));
    scheduler.set_runner(NOW, entry("p1", "plain", 6));
    assert_eq!(runners_used(&mut scheduler, NOW, 10), ["p2"]);
}

/// A stream is no exception: it would outlive the runner.
#[test]
fn a_model_runner_that_says_that_it_leaves_gets_no_new_stream() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry("m1", "model", 64));
    scheduler.set_runner(NOW, entry("m2", "model", 64));
    scheduler.record_leaving(&runner("m1"), 1);
    for id in 1..9 {
        scheduler.submit(NOW, id, model_request("w1", id, 100));
    }
    let sends = sends(&scheduler.take_actions());
    assert!(sends.iter().all(|(_, runner)| runner == "m2"), "{sends:?}");
    assert!(!sends.is_empty());
}

#[test]
fn a_runner_that_starts_again_under_its_id_is_used_at_once() {
    let mut scheduler = with_runners(&["p1"]);
    scheduler.record_leaving(&runner("p1"), 1);
    scheduler.record_pause(NOW, &runner("p1"), 1, Span(60_000));
    let restarted = Entry {
        started_at: 2,
        ..entry("p1", "plain", 6)
    };
    scheduler.set_runner(NOW, restarted);
    assert_eq!(runners_used(&mut scheduler, NOW, 1), ["p1"]);
    // A late answer of the earlier process changes nothing.
    assert!(!scheduler.record_leaving(&runner("p1"), 1));
    scheduler.record_pause(NOW, &runner("p1"), 1, Span(60_000));
    assert_eq!(runners_used(&mut scheduler, NOW, 10), ["p1"]);
}

#[test]
fn other_routers_learn_which_runner_leaves() {
    let mut first = with_runners(&["p1", "p2"]);
    first.record_leaving(&runner("p1"), 1);
    let mut second = with_runners(&["p1", "p2"]);
    second.apply_report(NOW, &Instance::new("r1").unwrap(), &first.report(NOW));
    assert_eq!(runners_used(&mut second, NOW, 1), ["p2"]);
    // The next router learns it from the second one.
    assert_eq!(second.report(NOW).leaving, first.report(NOW).leaving);
}

/// A runner that answers 503 with a delay wants nothing from this router until then. The
/// request that it turned away goes elsewhere at once.
#[test]
fn a_runner_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let mut scheduler = with_runners(&["p1", "p2"]);
    scheduler.submit(NOW, 1, plain_request(RetryPolicy::AtMostOnce, 2));
    let first = sends(&scheduler.take_actions())[0].1.clone();
    scheduler.record_write(1);
    scheduler.record_pause(NOW, &runner(&first), 1, Span(3000));
    scheduler.finish_attempt(NOW, 1, End::Rejected);
    let second = sends(&scheduler.take_actions())[0].1.clone();
    assert_ne!(second, first);
    let before_end = NOW + Span(2999);
    assert_eq!(runners_used(&mut scheduler, before_end, 10), [second]);
    let at_end = NOW + Span(3000);
    assert!(runners_used(&mut scheduler, at_end, 20).contains(&first));
}

/// Guards against holding a request that no runner will take in time: its caller could
/// come back when one does.
#[test]
fn a_request_is_refused_at_once_if_all_runners_pause_for_longer_than_it_may_wait() {
    let mut scheduler = with_runners(&["p1", "p2"]);
    scheduler.record_pause(NOW, &runner("p1"), 1, Span(2500));
    scheduler.record_pause(NOW, &runner("p2"), 1, Span(4000));
    scheduler.submit(NOW, 1, plain_request(RetryPolicy::AtMostOnce, 2));
    scheduler.tick(NOW);
    let actions = scheduler.take_actions();
    assert!(
        matches!(
            actions[..],
            [Action::Refuse {
                id: 1,
                refusal: Refusal::Paused,
                retry_after: Span(2500),
                ..
            }]
        ),
        "{actions:?}"
    );
}

/// A pause that ends within the time that a request may wait is waited for.
#[test]
fn a_request_waits_for_a_short_pause() {
    let mut scheduler = with_runners(&["p1"]);
    scheduler.record_pause(NOW, &runner("p1"), 1, Span(100));
    scheduler.submit(NOW, 1, plain_request(RetryPolicy::AtMostOnce, 2));
    scheduler.tick(NOW + Span(99));
    assert_eq!(scheduler.take_actions(), []);
    scheduler.tick(NOW + Span(100));
    assert_eq!(sends(&scheduler.take_actions()).len(), 1);
}
