//! Streams that callers take up without a name for them, while runners restart in place.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{End, Id};
use balsamchute_schedule::process::Process;
use balsamchute_schedule::request::{Request, Resumed};
use common::{NOW, entry, model_request, named_scheduler, scheduler, sends};

/// Time within which a stream begins that can begin only at a process of unknown version.
const MAX_WAIT: Span = Span(6000);

fn listed(name: &str, version: &str, started_at: u64) -> Entry {
    Entry {
        software: Software::from(version.to_owned()),
        started_at,
        ..entry(name, "model", 64)
    }
}

fn begin(now: Time, id: Id) -> Request {
    Request {
        stream_digest: id,
        deadline: now + Span(15_000),
        max_attempts: 3,
        ..model_request("w1", id, 100)
    }
}

/// Returns routers of a new fleet, whose lists were just confirmed.
fn routers<const N: usize>() -> [Scheduler; N] {
    std::array::from_fn(|index| {
        let mut router = named_scheduler(&format!("r{index}.1"), 100);
        router.origins_mut().versions_mut().set_first();
        router.origins_mut().versions_mut().confirm(NOW);
        router
    })
}

/// Lets time pass: lists are confirmed, and routers report to each other.
fn exchange(now: Time, routers: &mut [Scheduler]) {
    for router in &mut *routers {
        router.origins_mut().versions_mut().confirm(now);
        router.tick(now);
    }
    for sender in 0..routers.len() {
        let report = routers[sender].report(now);
        let peer = Instance::new(&format!("r{sender}")).unwrap();
        for receiver in (0..routers.len()).filter(|receiver| *receiver != sender) {
            routers[receiver].apply_report(now, &peer, &report);
        }
    }
}

/// Submits a request and carries out what the router wants until an answer begins. The processes
/// name the starts in `named`, or tell nothing. Returns the runner that answers.
fn call(
    router: &mut Scheduler,
    now: Time,
    id: Id,
    request: Request,
    named: &[(&str, Option<u64>)],
) -> Option<String> {
    router.submit(now, id, request);
    loop {
        let sent = sends(&router.take_actions());
        let (_, runner) = sent.into_iter().find(|(sent, _)| *sent == id)?;
        let start = named.iter().find(|(name, _)| *name == runner);
        let is_asked = router.needs_process(id);
        match start.map(|(_, start)| *start) {
            Some(Some(start)) if is_asked => {
                router.record_process(now, id, Process::new(1, Some(start)));
            }
            _ if is_asked => router.record_silence(now, &common::runner(&runner)),
            _ => {}
        }
        if router.may_send(now, id) {
            router.record_write(id);
            router.record_events(now, id, 1);
            return Some(runner);
        }
        router.finish_attempt(now, id, End::NotSent);
    }
}

/// Takes a stream up, without a name for it if there is none.
fn take_up(
    router: &mut Scheduler,
    now: Time,
    id: Id,
    stream: Option<Id>,
    named: &[(&str, Option<u64>)],
) -> Option<String> {
    let request = Request {
        resumed: Some(Resumed {
            stream,
            max_age: Span(60_000),
            is_sole_service: true,
        }),
        ..begin(now, id)
    };
    call(router, now, id, request, named)
}

/// Lets a caller ask the first router for a stream every 500 ms until one begins. Returns the
/// time and the stream.
fn begin_in_time(routers: &mut [Scheduler], named: &[(&str, Option<u64>)]) -> (Time, Id) {
    for ms in (0..MAX_WAIT.0).step_by(100) {
        let now = NOW + Span(ms);
        exchange(now, routers);
        let id = 100 + ms;
        let is_due = ms.is_multiple_of(500);
        if is_due && call(&mut routers[0], now, id, begin(now, id), named).is_some() {
            return (now, id);
        }
        routers[0].cancel(now, id);
    }
    panic!("no stream began within {MAX_WAIT:?}");
}

/// The only runner restarted in place, and its entry has not arrived.
#[test]
fn a_stream_that_another_process_began_is_not_taken_up_without_a_name_at_the_version_listed() {
    let mut routers: [Scheduler; 2] = routers();
    for router in &mut routers {
        router.set_runner(NOW, listed("x", "old", 1));
    }
    let named = [("x", Some(2)), ("y", Some(1))];
    let (mut now, stream) = begin_in_time(&mut routers, &named);
    for router in &mut routers {
        router.set_runner(now, listed("y", "old", 1));
    }
    for id in 1..50 {
        for router in &mut routers {
            let name = (id % 2 == 0).then_some(stream);
            assert_eq!(take_up(router, now, id, name, &named), None, "{now:?}");
        }
        now = now + Span(100);
        exchange(now, &mut routers);
    }
}

/// Of two runners, one restarted in place at another version.
#[test]
fn a_restart_in_place_of_one_runner_does_not_end_streams_of_others() {
    let mut routers: [Scheduler; 2] = routers();
    for router in &mut routers {
        for name in ["x", "y", "z"] {
            router.set_runner(NOW, listed(name, "old", 1));
        }
    }
    for (step, x) in (0..40).zip([Some(2), None].repeat(20)) {
        let named = [("x", x), ("y", Some(1)), ("z", Some(1))];
        let now = NOW + Span(100 * step);
        exchange(now, &mut routers);
        for (router, id) in routers.iter_mut().zip([4 * step, 4 * step + 2]) {
            let began = call(router, now, id, begin(now, id), &named);
            assert!(began.is_some_and(|runner| runner != "x"), "{step}");
            let goes_on = take_up(router, now, id + 1, None, &named);
            assert!(goes_on.is_some_and(|runner| runner != "x"), "{step}");
            router.cancel(now, id);
            router.cancel(now, id + 1);
        }
    }
}

/// The router that starts reads the records that name what serves.
#[test]
fn a_router_that_starts_while_a_stream_is_of_unknown_version_takes_up_none_without_a_name() {
    let mut routers: [Scheduler; 1] = routers();
    routers[0].set_runner(NOW, listed("x", "old", 1));
    let named = [("x", Some(2)), ("y", Some(1))];
    let (now, _) = begin_in_time(&mut routers, &named);
    let record = routers[0].origins().record_versions(now);
    let mut started = scheduler(100);
    let versions = started.origins_mut().versions_mut();
    versions.merge(now, &record);
    versions.set_recorded();
    versions.confirm(now);
    started.set_runner(now, listed("y", "old", 1));
    assert_eq!(take_up(&mut started, now, 1, None, &named), None);
}

/// The entry of the new version arrives while the runner is asked which process it is.
#[test]
fn a_stream_does_not_begin_at_a_version_that_was_listed_while_its_runner_was_asked() {
    for is_verified in [true, false] {
        let [mut router]: [Scheduler; 1] = routers();
        let now = NOW + Span(10_000);
        for at in (NOW.0..=now.0).step_by(1000) {
            for name in ["x", "y"] {
                router.set_runner(Time(at), listed(name, "old", 1));
            }
            router.origins_mut().versions_mut().confirm(Time(at));
        }
        router.submit(now, 1, begin(now, 1));
        let (_, asked) = sends(&router.take_actions()).remove(0);
        router.set_runner(now + Span(50), listed(&asked, "new", 2));
        if is_verified {
            router.record_process(now + Span(100), 1, Process::Listed);
        }
        assert!(!router.may_send(now + Span(100), 1), "{is_verified}");
        router.finish_attempt(now + Span(100), 1, End::NotSent);
        let other = if asked == "x" { "y" } else { "x" };
        assert_eq!(sends(&router.take_actions()), [(1, other.to_owned())]);
    }
}

/// The store is away, so that no entry follows.
#[test]
fn runners_of_unknown_version_do_not_stay_idle_while_the_known_one_has_no_room() {
    let [mut router]: [Scheduler; 1] = routers();
    for (name, slots) in [("x", 64), ("y", 2)] {
        let entry = Entry {
            slots,
            ..listed(name, "old", 1)
        };
        router.set_runner(NOW, entry);
    }
    let named = [("x", Some(2)), ("y", Some(1))];
    let mut began_at = None;
    for ms in (0..20_000).step_by(100) {
        let now = NOW + Span(ms);
        exchange(now, std::slice::from_mut(&mut router));
        router.take_actions();
        let runner = call(&mut router, now, ms, begin(now, ms), &named);
        if runner.is_some_and(|runner| runner == "x") {
            began_at.get_or_insert(ms);
        }
    }
    // Not before other routers can have heard that the entry does not follow.
    assert!(began_at.is_some_and(|ms| ms >= 8000), "{began_at:?}");
}

/// The report ends its connection, so the request goes over another one.
#[test]
fn a_process_that_names_its_start_on_a_connection_that_it_closes_is_not_silent_any_more() {
    let [mut router]: [Scheduler; 1] = routers();
    router.set_runner(NOW, listed("x", "old", 1));
    router.record_silence(NOW, &common::runner("x"));
    router.submit(NOW, 1, begin(NOW, 1));
    assert_eq!(sends(&router.take_actions()), [(1, "x".to_owned())]);
    assert!(!router.may_send(NOW, 1));
    router.record_listed(NOW, &common::runner("x"));
    assert!(router.may_send(NOW, 1));
}
