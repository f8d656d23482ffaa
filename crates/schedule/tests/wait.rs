//! Waits for a runner that end in a refusal.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Failure, Refusal};
use balsamchute_schedule::request::Request;
use common::{NOW, entry, model_request, plain_request, scheduler, sends};

/// Returns the time after `start` at which the only waiting request ends, and how it ends.
fn end_of_wait(scheduler: &mut Scheduler, start: Time) -> (Span, Action) {
    for milliseconds in (0..5000).step_by(10) {
        scheduler.tick(start + Span(milliseconds));
        let end = scheduler
            .take_actions()
            .into_iter()
            .find(|action| matches!(action, Action::Refuse { .. } | Action::Fail { .. }));
        if let Some(end) = end {
            return (Span(milliseconds), end);
        }
    }
    panic!("the request waits for more than 5 s");
}

/// Returns the wait of a request until its refusal, with all runners full.
fn refused_after(request: Request) -> Span {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry("p1", "plain", 0));
    scheduler.set_runner(NOW, entry("m1", "model", 0));
    scheduler.submit(NOW, 1, request);
    let (wait, action) = end_of_wait(&mut scheduler, NOW);
    let is_saturated = matches!(
        action,
        Action::Refuse {
            id: 1,
            refusal: Refusal::Saturated,
            ..
        }
    );
    assert!(is_saturated, "{action:?}");
    wait
}

fn plain(time_left: Span, latency_target: Span) -> Request {
    Request {
        latency_target,
        deadline: NOW + time_left,
        ..plain_request(RetryPolicy::Idempotent, 2)
    }
}

// Guards against a refusal that is due at the deadline, when the caller has left.
#[test]
fn a_request_that_waits_is_refused_with_half_of_its_time_left() {
    let after = |time_left, target| refused_after(plain(time_left, target));
    assert_eq!(after(Span(860), Span(800)), Span(430));
    assert_eq!(after(Span(1000), Span(800)), Span(500));
    assert_eq!(after(Span(1000), Span(2000)), Span(500));
    assert_eq!(after(Span(100), Span(800)), Span(50));
    let stream = Request {
        deadline: NOW + Span(1000),
        ..model_request("w1", 1, 1000)
    };
    assert_eq!(refused_after(stream), Span(500));
}

// Guards against a shorter wait of callers that have the time for it.
#[test]
fn a_request_with_a_late_deadline_waits_somewhat_longer_than_its_target() {
    let after = |time_left, target| refused_after(plain(time_left, target));
    assert_eq!(after(Span(2000), Span(800)), Span(960));
    assert_eq!(after(Span(1000), Span(300)), Span(360));
    assert_eq!(refused_after(model_request("w1", 1, 1000)), Span(960));
}

// Guards against a retry that waits until the deadline of its request, so that its caller
// gets no answer.
#[test]
fn a_retry_that_waits_fails_with_half_of_its_time_left() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry("p1", "plain", 6));
    let request = Request {
        latency_target: Span(800),
        ..plain_request(RetryPolicy::Idempotent, 2)
    };
    scheduler.submit(NOW, 1, request);
    assert_eq!(sends(&scheduler.take_actions()).len(), 1);
    scheduler.record_write(1);
    scheduler.set_runner(NOW, entry("p1", "plain", 0));
    let broken_at = NOW + Span(200);
    scheduler.finish_attempt(broken_at, 1, End::Broke);
    let timeout = Action::Fail {
        id: 1,
        failure: Failure::Timeout,
    };
    assert_eq!(end_of_wait(&mut scheduler, broken_at), (Span(400), timeout));
}
