//! Streams that go on after a break, while runners of several software versions serve.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Id, Refusal};
use balsamchute_schedule::report::Sum;
use balsamchute_schedule::request::{Request, Resumed};
use balsamchute_schedule::stream::Origin;
use common::{NOW, entry, model_request, named_scheduler, plain_request, scheduler, sends};

fn versioned(name: &str, version: &str) -> Entry {
    Entry {
        software: Software::from(version.to_owned()),
        ..entry(name, "model", 64)
    }
}

/// Adds runners `a1`, `a2` of version `a` and `b1`, `b2` of version `b`.
fn with_runners(mut scheduler: Scheduler) -> Scheduler {
    for name in ["a1", "a2", "b1", "b2"] {
        scheduler.set_runner(NOW, versioned(name, &name[..1]));
    }
    scheduler
}

fn begin(stream: u64) -> Request {
    Request {
        stream_digest: stream,
        ..model_request("w1", stream, 100)
    }
}

fn take_up(stream: Option<u64>) -> Request {
    Request {
        resumed: Some(Resumed {
            stream,
            max_age: Span(15_000),
            is_sole_service: true,
        }),
        ..begin(77)
    }
}

fn submit(scheduler: &mut Scheduler, now: Time, id: Id, request: Request) -> Vec<Action> {
    scheduler.submit(now, id, request);
    scheduler.take_actions()
}

/// Plays a list of runners that is confirmed every second.
fn confirm_until(scheduler: &mut Scheduler, from: Time, until: Time) {
    for at in (from.0..=until.0).step_by(1000) {
        scheduler.origins_mut().versions_mut().confirm(Time(at));
        scheduler.tick(Time(at));
    }
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

/// Begins a stream and returns the runner that sent its first event.
fn begun(scheduler: &mut Scheduler, id: Id, stream: u64) -> String {
    let runner = sends(&submit(scheduler, NOW, id, begin(stream)))[0]
        .1
        .clone();
    scheduler.record_write(id);
    scheduler.record_events(NOW, id, 1);
    runner
}

#[test]
fn a_broken_stream_goes_on_at_the_other_runner_of_its_version_and_nowhere_else() {
    let mut scheduler = with_runners(scheduler(100));
    let first = begun(&mut scheduler, 1, 1);
    scheduler.finish_attempt(NOW, 1, End::Broke);
    let second = sends(&scheduler.take_actions())[0].1.clone();
    assert_ne!(second, first);
    assert_eq!(second[..1], first[..1]);
    scheduler.finish_attempt(NOW, 1, End::Rejected);
    let actions = scheduler.take_actions();
    assert!(sends(&actions).is_empty(), "{actions:?}");
    let is_failed = |action: &Action| matches!(action, Action::Fail { id: 1, .. });
    assert!(actions.iter().any(is_failed), "{actions:?}");
}

/// Reports reach routers of other domains as sums, and a router that starts learns of all
/// streams at once.
#[test]
fn routers_learn_from_sums_and_from_each_other_where_streams_began() {
    let mut first = with_runners(scheduler(100));
    let streams: Vec<(u64, String)> = (1..20).map(|id| (id, begun(&mut first, id, id))).collect();
    let mut sum = Sum::new();
    sum.add(&first.report(NOW));
    let mut second = with_runners(named_scheduler("r2.1", 100));
    let hub = Instance::new("fleet").unwrap();
    second.apply_report(NOW, &hub, &sum.into_report());
    let mut third = with_runners(named_scheduler("r3.1", 100));
    third.apply_streams(NOW, &second.streams());
    for (stream, runner) in &streams {
        for router in [&mut second, &mut third] {
            let actions = submit(router, NOW, 100 + stream, take_up(Some(*stream)));
            assert_eq!(sends(&actions)[0].1[..1], runner[..1], "{stream}");
        }
    }
}

#[test]
fn a_stream_of_unknown_version_is_refused_until_one_version_is_left_for_long() {
    let mut scheduler = with_runners(scheduler(100));
    let unknown = || take_up(Some(99));
    for (id, request) in [(1, unknown()), (2, take_up(None))] {
        let actions = submit(&mut scheduler, NOW, id, request);
        assert_eq!(refusal(&actions), Some(Refusal::UnknownVersion));
    }
    confirm_until(&mut scheduler, NOW, NOW);
    for name in ["b1", "b2"] {
        scheduler.remove_runner(&common::runner(name));
    }
    let soon = NOW + Span(5_000);
    confirm_until(&mut scheduler, NOW, soon);
    let actions = submit(&mut scheduler, soon, 3, unknown());
    assert_eq!(refusal(&actions), Some(Refusal::UnknownVersion));
    let later = NOW + Span(30_000);
    confirm_until(&mut scheduler, soon, later);
    let request = Request {
        deadline: later + Span(15_000),
        ..unknown()
    };
    assert_eq!(sends(&submit(&mut scheduler, later, 4, request)).len(), 1);
}

#[test]
fn a_stream_whose_version_has_left_is_refused_at_once() {
    let mut scheduler = with_runners(scheduler(100));
    let runner = begun(&mut scheduler, 1, 1);
    let version = runner[..1].to_owned();
    for number in ["1", "2"] {
        let draining = Entry {
            state: State::Draining,
            ..versioned(&format!("{version}{number}"), &version)
        };
        scheduler.set_runner(NOW, draining);
    }
    let actions = submit(&mut scheduler, NOW, 2, take_up(Some(1)));
    assert_eq!(refusal(&actions), Some(Refusal::NoRunnerOfVersion));
}

/// Requests that begin nothing, and streams that may not go on, use any version.
#[test]
fn other_requests_are_not_bound_to_a_version() {
    let mut scheduler = scheduler(100);
    for (name, version) in [("p1", "a"), ("p2", "b")] {
        let entry = Entry {
            software: Software::from(version.to_owned()),
            ..entry(name, "plain", 6)
        };
        scheduler.set_runner(NOW, entry);
    }
    let request = plain_request(RetryPolicy::Idempotent, 2);
    let first = sends(&submit(&mut scheduler, NOW, 1, request))[0].1.clone();
    scheduler.finish_attempt(NOW, 1, End::RunnerFailed);
    let second = sends(&scheduler.take_actions())[0].1.clone();
    assert_ne!(first, second);
}

/// A route may lead to two services whose versions have the same names: what one began must
/// not go on at the other.
#[test]
fn a_stream_of_another_service_is_refused() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, versioned("a1", "a"));
    scheduler.origins_mut().versions_mut().set_first();
    confirm_until(&mut scheduler, NOW, NOW);
    let origin = Origin {
        service: Service::new("other").unwrap(),
        software: Software::from("a".to_owned()),
    };
    scheduler.origins_mut().record(NOW, 5, origin);
    let of_unknown_service = Request {
        resumed: Some(Resumed {
            stream: Some(6),
            max_age: Span(0),
            is_sole_service: false,
        }),
        ..begin(77)
    };
    for (id, request) in [(1, take_up(Some(5))), (2, of_unknown_service)] {
        let actions = submit(&mut scheduler, NOW, id, request);
        assert_eq!(refusal(&actions), Some(Refusal::UnknownVersion));
    }
    assert_eq!(
        sends(&submit(&mut scheduler, NOW, 3, take_up(Some(7)))).len(),
        1
    );
}

/// Returns a router that has listed runners of this version, and no other, for 20 s.
fn uniform(name: &str, version: &str) -> Scheduler {
    let mut scheduler = named_scheduler(name, 100);
    scheduler.origins_mut().versions_mut().set_first();
    for number in 1..=2 {
        let runner = format!("{version}{number}");
        scheduler.set_runner(NOW, versioned(&runner, version));
    }
    confirm_until(&mut scheduler, NOW, NOW + Span(20_000));
    scheduler.take_actions();
    scheduler
}

/// Passes a report on through a hub.
fn relay(from: &Scheduler, to: &mut Scheduler, now: Time) {
    let mut sum = Sum::new();
    sum.add(&from.report(now));
    let hub = Instance::new("fleet").unwrap();
    to.apply_report(now, &hub, &sum.into_report());
}

#[test]
fn a_stream_is_refused_at_a_router_that_lists_only_the_old_version_while_another_lists_a_new_one() {
    let now = NOW + Span(20_000);
    let (mut ahead, mut behind) = (uniform("r1.1", "a"), uniform("r2.1", "a"));
    ahead.set_runner(now, versioned("b1", "b"));
    relay(&ahead, &mut behind, now);
    let actions = submit(&mut behind, now, 1, take_up(None));
    assert_eq!(refusal(&actions), Some(Refusal::UnknownVersion));
}

#[test]
fn a_stream_is_refused_while_another_router_lists_a_version_that_left_the_own_list() {
    let begun = NOW + Span(20_000);
    let (mut ahead, mut behind) = (uniform("r1.1", "a"), uniform("r2.1", "a"));
    ahead.set_runner(begun, versioned("b1", "b"));
    for name in ["a1", "a2"] {
        ahead.remove_runner(&common::runner(name));
    }
    let mut now = begun;
    while now < begun + Span(3_000) {
        now = now + Span(100);
        confirm_until(&mut ahead, now, now);
        behind.tick(now);
        relay(&ahead, &mut behind, now);
        relay(&behind, &mut ahead, now);
    }
    let mut request = take_up(None);
    request.resumed = request.resumed.map(|resumed| Resumed {
        max_age: Span(100),
        ..resumed
    });
    let actions = submit(&mut ahead, now, 1, request);
    assert_eq!(refusal(&actions), Some(Refusal::UnknownVersion));
}
