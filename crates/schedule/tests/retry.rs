//! Handling of failed attempts: retries, refusals and the retry budget.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Failure, Refusal};
use balsamchute_schedule::request::Request;
use common::{NOW, entry, model_request, plain_request, runner, scheduler, sends};

fn two_plain_runners(retry_slack: u32) -> Scheduler {
    let mut scheduler = scheduler(retry_slack);
    scheduler.set_runner(NOW, entry("p1", "plain", 6));
    scheduler.set_runner(NOW, entry("p2", "plain", 6));
    scheduler
}

/// Sends request 1 and returns the runner that received it.
fn send_first(scheduler: &mut Scheduler, retry_policy: RetryPolicy, attempts: u32) -> String {
    scheduler.submit(NOW, 1, plain_request(retry_policy, attempts));
    let sends = sends(&scheduler.take_actions());
    assert_eq!(sends.len(), 1);
    scheduler.record_write(1);
    sends[0].1.clone()
}

// A connection that breaks after the request was written leaves open whether it
// ran. A retry could run it twice.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    let mut scheduler = two_plain_runners(100);
    send_first(&mut scheduler, RetryPolicy::AtMostOnce, 2);
    scheduler.finish_attempt(NOW, 1, End::Broke);
    let failure = Failure::RunnerBroke;
    assert_eq!(scheduler.take_actions(), [Action::Fail { id: 1, failure }]);
    assert!(scheduler.is_empty());
}

// A retry is safe even for non-idempotent requests if the runner rejected the
// request, the address belongs to another runner or no connection came about.
#[test]
fn a_request_that_did_not_run_is_retried_on_another_runner() {
    for end in [
        End::Rejected,
        End::Misdirected,
        End::NoConnection { refused: true },
    ] {
        let mut scheduler = two_plain_runners(100);
        let first_runner = send_first(&mut scheduler, RetryPolicy::AtMostOnce, 1);
        scheduler.finish_attempt(NOW, 1, end);
        let retries = sends(&scheduler.take_actions());
        assert_eq!(retries.len(), 1, "{end:?}");
        assert_ne!(retries[0].1, first_runner, "{end:?}");
    }
}

// Guards against failing a request that no runner has received a byte of.
#[test]
fn a_connection_that_broke_before_any_write_allows_a_retry() {
    let mut scheduler = two_plain_runners(100);
    scheduler.submit(NOW, 1, plain_request(RetryPolicy::AtMostOnce, 1));
    scheduler.take_actions();
    scheduler.finish_attempt(NOW, 1, End::Broke);
    assert_eq!(sends(&scheduler.take_actions()).len(), 1);
}

// A rejected request has not run, so it is refused instead of failing with an
// unknown outcome.
#[test]
fn a_rejected_request_without_retry_budget_is_refused() {
    let mut scheduler = two_plain_runners(0);
    send_first(&mut scheduler, RetryPolicy::AtMostOnce, 1);
    scheduler.finish_attempt(NOW, 1, End::Rejected);
    let actions = scheduler.take_actions();
    let refusal = Refusal::Rejected;
    assert!(
        matches!(actions[..], [Action::Refuse { id: 1, refusal: actual, .. }] if actual == refusal),
        "{actions:?}"
    );
}

// Guards against retries without end while every runner breaks the connection.
#[test]
fn an_idempotent_request_runs_at_most_as_often_as_its_route_allows() {
    let mut scheduler = two_plain_runners(100);
    send_first(&mut scheduler, RetryPolicy::Idempotent, 2);
    scheduler.finish_attempt(NOW, 1, End::Broke);
    assert_eq!(sends(&scheduler.take_actions()).len(), 1);
    scheduler.record_write(1);
    scheduler.finish_attempt(NOW, 1, End::Broke);
    assert!(matches!(
        scheduler.take_actions()[..],
        [Action::Fail { id: 1, .. }]
    ));
}

// Guards against hiding the runner's own error from the caller.
#[test]
fn a_failure_answered_by_a_runner_is_delivered_if_no_retry_is_allowed() {
    let mut scheduler = two_plain_runners(100);
    send_first(&mut scheduler, RetryPolicy::AtMostOnce, 2);
    scheduler.finish_attempt(NOW, 1, End::RunnerFailed);
    assert_eq!(scheduler.take_actions(), [Action::DeliverFailure { id: 1 }]);
}

// Guards against a retry storm: without a split, each of several routers would
// spend the budget of the whole fleet.
#[test]
fn retries_stop_at_the_part_of_the_budget_of_one_router() {
    let mut scheduler = two_plain_runners(20);
    scheduler.set_router_count(4);
    let mut retry_count = 0;
    for id in 0..40 {
        scheduler.submit(NOW, id, plain_request(RetryPolicy::Idempotent, 2));
        scheduler.take_actions();
        scheduler.record_write(id);
        scheduler.finish_attempt(NOW, id, End::Broke);
        retry_count += sends(&scheduler.take_actions()).len();
        scheduler.cancel(NOW, id);
        scheduler.take_actions();
    }
    // The bounds are this router's quarter of the slack, and that plus the
    // retry ratio of the requests counted so far.
    assert!((3..=5 + 8).contains(&retry_count), "{retry_count}");
}

// A runner that stops sending keeps its connection open. Only a resumable
// stream may move; another one could run twice.
#[test]
fn a_stalled_stream_moves_to_another_runner_only_if_it_is_resumable() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry("m1", "model", 64));
    scheduler.set_runner(NOW, entry("m2", "model", 64));
    scheduler.submit(NOW, 1, model_request("w1", 7, 1000));
    let once = Request {
        retry_policy: RetryPolicy::AtMostOnce,
        ..model_request("w1", 7, 1000)
    };
    scheduler.submit(NOW, 2, once);
    let first_sends = sends(&scheduler.take_actions());
    assert_eq!(first_sends.len(), 2);
    scheduler.record_write(1);
    scheduler.record_write(2);
    scheduler.record_events(NOW + Span(50), 1, 1);
    scheduler.record_events(NOW + Span(50), 2, 1);
    scheduler.tick(NOW + Span(500));
    assert_eq!(scheduler.take_actions(), []);
    scheduler.tick(NOW + Span(1000));
    let actions = scheduler.take_actions();
    assert_eq!(actions[0], Action::Abandon { id: 1 });
    let retries = sends(&actions);
    assert_eq!(retries.len(), 1);
    assert_ne!(retries[0].1, first_sends[0].1);
}

// A second answer must not follow a part of the first one, which may go on after a stall.
#[test]
fn a_request_whose_answer_cannot_be_resumed_is_not_sent_again() {
    for end in [End::Broke, End::Invalid, End::RunnerFailed] {
        let mut scheduler = two_plain_runners(100);
        send_first(&mut scheduler, RetryPolicy::Idempotent, 3);
        scheduler.record_events(NOW, 1, 1);
        scheduler.set_resumable(1, false);
        scheduler.tick(NOW + Span(900));
        assert_eq!(scheduler.take_actions(), []);
        scheduler.finish_attempt(NOW + Span(900), 1, end);
        assert_eq!(sends(&scheduler.take_actions()), []);
        assert!(scheduler.is_empty());
    }
}

// Guards against load that stays counted at a runner after its request timed
// out.
#[test]
fn a_request_fails_and_releases_its_load_at_the_deadline() {
    let mut scheduler = two_plain_runners(100);
    send_first(&mut scheduler, RetryPolicy::AtMostOnce, 1);
    scheduler.tick(NOW + Span(1000));
    let failure = Failure::Timeout;
    assert_eq!(scheduler.take_actions(), [Action::Fail { id: 1, failure }]);
    assert!(scheduler.is_empty());
    assert!(
        scheduler
            .targets()
            .all(|target| target.local_load.running == 0)
    );
}

// Guards against a request that crashes one runner after the other when callers
// retry it.
#[test]
fn requests_that_crash_runners_are_refused_after_the_second_crash() {
    let mut scheduler = scheduler(100);
    for name in ["p1", "p2", "p3", "p4"] {
        scheduler.set_runner(NOW, entry(name, "plain", 6));
    }
    for (index, id) in [1, 2].into_iter().enumerate() {
        scheduler.submit(NOW, id, plain_request(RetryPolicy::AtMostOnce, 1));
        assert_eq!(sends(&scheduler.take_actions()).len(), 1, "request {id}");
        scheduler.record_write(id);
        scheduler.finish_attempt(NOW, id, End::Broke);
        scheduler.take_actions();
        // The next request to the runner has its connection refused, which
        // confirms the crash.
        let crashed = scheduler
            .targets()
            .find(|target| !target.disconnects.is_empty())
            .map(|target| target.entry.runner.clone())
            .expect("a runner has a recorded disconnect");
        let probe = 10 + index as u64;
        let mut probe_request = plain_request(RetryPolicy::Idempotent, 1);
        probe_request.fingerprint = u128::from(100 + probe);
        let entries: Vec<Entry> = scheduler
            .targets()
            .map(|target| target.entry.clone())
            .collect();
        for entry in &entries {
            if entry.runner != crashed {
                scheduler.remove_runner(&entry.runner);
            }
        }
        scheduler.submit(NOW, probe, probe_request);
        scheduler.finish_attempt(NOW, probe, End::NoConnection { refused: true });
        scheduler.cancel(NOW, probe);
        for entry in entries {
            if entry.runner != crashed {
                scheduler.set_runner(NOW, entry);
            }
        }
        scheduler.take_actions();
    }
    scheduler.submit(NOW, 3, plain_request(RetryPolicy::AtMostOnce, 1));
    let actions = scheduler.take_actions();
    let refusal = Refusal::CrashesRunners;
    assert!(
        matches!(actions[..], [Action::Refuse { id: 3, refusal: actual, .. }] if actual == refusal),
        "{actions:?}"
    );
}

// Guards against crashes that go unnoticed where few requests come: no other request is
// refused by the runner in time.
#[test]
fn a_crash_is_recognised_although_no_other_request_comes() {
    let mut scheduler = scheduler(100);
    for name in ["p1", "p2", "p3"] {
        scheduler.set_runner(NOW, entry(name, "plain", 6));
    }
    for id in [1, 2] {
        scheduler.submit(NOW, id, plain_request(RetryPolicy::AtMostOnce, 1));
        scheduler.record_write(id);
        scheduler.finish_attempt(NOW, id, End::Broke);
        scheduler.take_actions();
        scheduler.tick(NOW + Span(60));
        let actions = scheduler.take_actions();
        let [Action::Probe { runner, .. }] = &actions[..] else {
            panic!("{actions:?}");
        };
        scheduler.record_refused_probe(NOW + Span(60), runner);
        scheduler.tick(NOW + Span(120));
        let expected: &[Action] = match id {
            1 => &[],
            // The request is refused from now on.
            _ => &[Action::StoreRefusals],
        };
        assert_eq!(scheduler.take_actions(), expected, "one probe a break");
    }
    scheduler.submit(NOW, 3, plain_request(RetryPolicy::AtMostOnce, 1));
    let actions = scheduler.take_actions();
    assert!(
        matches!(
            actions[..],
            [Action::Refuse {
                id: 3,
                refusal: Refusal::CrashesRunners,
                ..
            }]
        ),
        "{actions:?}"
    );
}

// If the only runner of a service drains, its requests are refused with the
// reason `NoRunner`.
#[test]
fn a_draining_runner_receives_no_new_requests() {
    let mut scheduler = two_plain_runners(100);
    let draining = Entry {
        state: State::Draining,
        ..entry("p1", "plain", 6)
    };
    scheduler.set_runner(NOW, draining);
    scheduler.remove_runner(&runner("p2"));
    scheduler.submit(NOW, 1, plain_request(RetryPolicy::AtMostOnce, 1));
    assert_eq!(scheduler.take_actions(), []);
    scheduler.tick(NOW + Span(300));
    let refusal = Refusal::NoRunner;
    let actions = scheduler.take_actions();
    assert!(
        matches!(actions[..], [Action::Refuse { id: 1, refusal: actual, .. }] if actual == refusal),
        "{actions:?}"
    );
}

// Guards against a timeout of a request that left a stalled runner while the
// other runner was at capacity.
#[test]
fn a_request_from_a_stalled_runner_waits_for_a_free_runner() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry("m1", "model", 64));
    scheduler.submit(NOW, 1, model_request("w1", 7, 1000));
    scheduler.take_actions();
    scheduler.record_write(1);
    scheduler.set_runner(NOW, entry("m2", "model", 0));
    scheduler.tick(NOW + Span(1500));
    assert_eq!(scheduler.take_actions(), [Action::Abandon { id: 1 }]);
    scheduler.tick(NOW + Span(1520));
    assert_eq!(
        scheduler.take_actions(),
        [],
        "the other runner has no free slot"
    );
    scheduler.set_runner(NOW + Span(1600), entry("m2", "model", 64));
    assert_eq!(sends(&scheduler.take_actions()), [(1, "m2".to_owned())]);
}
