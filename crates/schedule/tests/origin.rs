//! Origins of streams when runners restart in place and when sources disagree.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Failure, Id};
use balsamchute_schedule::process::Process;
use balsamchute_schedule::report::{Begun, Sum};
use balsamchute_schedule::request::{Request, Resumed};
use common::{NOW, entry, model_request, named_scheduler, runner, scheduler, sends, service};

fn versioned(name: &str, version: &str, started_at: u64) -> Entry {
    Entry {
        software: Software::from(version.to_owned()),
        started_at,
        ..entry(name, "model", 64)
    }
}

fn begin(stream: u64) -> Request {
    Request {
        stream_digest: stream,
        max_attempts: 3,
        ..model_request("w1", stream, 100)
    }
}

fn take_up(id: u64, stream: u64) -> Request {
    Request {
        resumed: Some(Resumed {
            stream: Some(stream),
            max_age: Span(15_000),
            is_sole_service: true,
        }),
        ..begin(id)
    }
}

fn submit(scheduler: &mut Scheduler, now: Time, id: Id, request: Request) -> Vec<(Id, String)> {
    scheduler.submit(now, id, request);
    sends(&scheduler.take_actions())
}

/// Begins a stream at the only runner, `x`, of version `old`, and lists `y` of the same
/// version.
fn begun_at_x(scheduler: &mut Scheduler, now: Time, id: Id) {
    if scheduler.targets().count() == 0 {
        scheduler.set_runner(NOW, versioned("x", "old", 1));
    }
    assert_eq!(
        submit(scheduler, now, id, begin(id)),
        [(id, "x".to_owned())]
    );
    scheduler.record_write(id);
    scheduler.record_events(now, id, 1);
    scheduler.set_runner(now, versioned("y", "old", 1));
}

fn breaks(scheduler: &mut Scheduler, now: Time, id: Id) -> Vec<(Id, String)> {
    scheduler.finish_attempt(now, id, End::Broke);
    sends(&scheduler.take_actions())
}

/// The first event may be of the process whose entry arrives after it.
#[test]
fn a_stream_of_a_runner_that_restarted_in_place_is_not_continued_at_the_version_before() {
    let mut first = scheduler(100);
    begun_at_x(&mut first, NOW, 1);
    let mut second = named_scheduler("r2.1", 100);
    second.set_runner(NOW, versioned("y", "old", 1));
    let peer = Instance::new("r1").unwrap();
    second.apply_report(NOW, &peer, &first.report(NOW));
    let later = NOW + Span(2000);
    first.set_runner(later, versioned("x", "new", NOW.0 - 500));
    first.set_runner(later, versioned("z", "new", 1));
    second.apply_report(later, &peer, &first.report(later));
    assert_eq!(breaks(&mut first, later, 1), []);
    for router in [&mut first, &mut second] {
        assert_eq!(submit(router, later, 2, take_up(2, 1)), []);
    }
}

#[test]
fn a_stream_that_began_long_before_its_runner_restarted_is_continued_at_its_version() {
    let mut scheduler = scheduler(100);
    begun_at_x(&mut scheduler, NOW, 1);
    let later = NOW + Span(10_000);
    scheduler.set_runner(later, versioned("x", "new", later.0));
    assert_eq!(breaks(&mut scheduler, later, 1), [(1, "y".to_owned())]);
    let sent = submit(&mut scheduler, later, 2, take_up(2, 1));
    assert_eq!(sent, [(2, "y".to_owned())]);
}

/// The entry of the runner that began the stream arrives after another one was sent the rest.
#[test]
fn a_stream_that_was_moved_before_its_origin_became_unknown_is_cut_off() {
    let mut scheduler = scheduler(100);
    begun_at_x(&mut scheduler, NOW, 1);
    assert_eq!(breaks(&mut scheduler, NOW, 1), [(1, "y".to_owned())]);
    scheduler.set_runner(NOW + Span(100), versioned("x", "new", NOW.0));
    let failure = Failure::RunnerBroke;
    let actions = scheduler.take_actions();
    assert_eq!(actions, [Action::Fail { id: 1, failure }]);
}

/// The new process has not answered yet when its entry arrives.
#[test]
fn a_stream_is_not_continued_by_a_process_whose_entry_arrives_after_the_request() {
    for has_other in [true, false] {
        let mut scheduler = scheduler(100);
        begun_at_x(&mut scheduler, NOW, 1);
        assert_eq!(breaks(&mut scheduler, NOW, 1), [(1, "y".to_owned())]);
        scheduler.record_write(1);
        if has_other {
            scheduler.set_runner(NOW, versioned("v", "old", 1));
        }
        // The stream began long before the process did.
        let started_at = NOW.0 + 10_000;
        scheduler.set_runner(NOW + Span(100), versioned("y", "new", started_at));
        let actions = scheduler.take_actions();
        let (resumed, withdrawn) = match has_other {
            true => (vec![(1, "v".to_owned())], Action::Abandon { id: 1 }),
            false => {
                let failure = Failure::RunnerBroke;
                (vec![], Action::Fail { id: 1, failure })
            }
        };
        assert_eq!(sends(&actions), resumed);
        assert!(actions.contains(&withdrawn), "{actions:?}");
    }
}

/// A refused connection shows that the process is gone; the next one has no entry yet.
#[test]
fn a_stream_that_begins_after_its_runner_refused_a_connection_is_of_unknown_version() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, versioned("x", "old", 1));
    scheduler.origins_mut().versions_mut().confirm(NOW);
    scheduler.record_refused_probe(NOW, &runner("x"));
    let later = NOW + Span(1000);
    begun_at_x(&mut scheduler, later, 1);
    assert_eq!(breaks(&mut scheduler, later, 1), []);
    assert_eq!(submit(&mut scheduler, later, 2, take_up(2, 1)), []);
}

fn told(version: &str) -> Vec<Begun> {
    vec![Begun {
        service: service("model"),
        software: Software::from(version.to_owned()),
        streams: vec![7],
        age: Span(0),
    }]
}

/// Reports and records arrive in any order, and a request id may be used twice.
#[test]
fn a_stream_of_which_sources_tell_two_versions_is_refused_whichever_came_last() {
    for versions in [["old", "new"], ["new", "old"]] {
        let mut scheduler = scheduler(100);
        scheduler.set_runner(NOW, versioned("x", "old", 1));
        scheduler.set_runner(NOW, versioned("z", "new", 1));
        for version in versions {
            scheduler.apply_streams(NOW, &told(version));
        }
        let mut sum = Sum::new();
        sum.add(&scheduler.report(NOW));
        assert_eq!(submit(&mut scheduler, NOW, 1, take_up(1, 7)), []);
    }
}

/// A caller may name the request that continued the stream last.
#[test]
fn a_stream_is_known_by_the_ids_of_the_requests_that_took_it_up() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, versioned("x", "old", 1));
    scheduler.set_runner(NOW, versioned("z", "new", 1));
    scheduler.apply_streams(NOW, &told("new"));
    let sent = submit(&mut scheduler, NOW, 1, take_up(8, 7));
    assert_eq!(sent, [(1, "z".to_owned())]);
    scheduler.record_events(NOW, 1, 1);
    scheduler.cancel(NOW, 1);
    let sent = submit(&mut scheduler, NOW, 2, take_up(9, 8));
    assert_eq!(sent, [(2, "z".to_owned())]);
}

/// A router that has not heard of the new version infers the old one.
#[test]
fn streams_begin_at_a_new_version_for_want_of_room_once_all_routers_have_heard_of_it() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(
        NOW,
        Entry {
            slots: 4,
            ..versioned("x", "old", 1)
        },
    );
    let release = NOW + Span(20_000);
    for at in (NOW.0..release.0).step_by(1000) {
        scheduler.tick(Time(at));
    }
    scheduler.set_runner(release, versioned("z", "new", 1));
    let request = |id| Request {
        deadline: release + Span(15_000),
        ..begin(id)
    };
    let first: Vec<String> = (1..=6)
        .flat_map(|id| {
            let sent = submit(&mut scheduler, release, id, request(id));
            // Prefill is done at once, so that only the slots limit the runner.
            scheduler.record_events(release, id, 1);
            sent.into_iter().map(|(_, runner)| runner)
        })
        .collect();
    assert_eq!(first, ["x", "x", "x", "x"]);
    let plain = Request {
        retry_policy: RetryPolicy::AtMostOnce,
        ..request(10)
    };
    for id in 5..=6 {
        scheduler.cancel(release, id);
    }
    assert_eq!(submit(&mut scheduler, release, 10, plain)[0].1, "z");
    for (ms, is_sent) in [(1999, false), (2000, true)] {
        let now = release + Span(ms);
        let sent = submit(&mut scheduler, now, 20 + ms, request(20 + ms));
        assert_eq!(!sent.is_empty(), is_sent, "{ms}");
        scheduler.cancel(now, 20 + ms);
    }
    for id in 1..=4 {
        scheduler.cancel(release, id);
    }
    let settled = release + Span(10_000);
    for at in (release.0..settled.0).step_by(1000) {
        scheduler.tick(Time(at));
    }
    assert_eq!(submit(&mut scheduler, settled, 11, request(11))[0].1, "z");
}

/// The process that takes the place of one that ended answers before its entry is listed.
#[test]
fn a_stream_is_not_continued_at_a_runner_whose_connection_broke_before() {
    let mut scheduler = scheduler(100);
    begun_at_x(&mut scheduler, NOW, 1);
    let sent = submit(&mut scheduler, NOW, 5, begin(5));
    assert_eq!(sent, [(5, "y".to_owned())]);
    assert_eq!(breaks(&mut scheduler, NOW, 5), [(5, "x".to_owned())]);
    scheduler.set_runner(NOW, versioned("v", "old", 1));
    assert_eq!(breaks(&mut scheduler, NOW, 1), [(1, "v".to_owned())]);
    let sent = submit(&mut scheduler, NOW, 2, take_up(2, 1));
    assert_eq!(sent, [(2, "v".to_owned())]);
}

/// Begins three streams at `x`, each of which breaks before the next one begins.
#[test]
fn a_stream_that_begins_after_a_break_in_the_same_millisecond_is_not_taken_for_open_at_it() {
    let mut scheduler = scheduler(100);
    for id in 1..=3 {
        begun_at_x(&mut scheduler, NOW, id);
        assert_eq!(breaks(&mut scheduler, NOW, id), [(id, "y".to_owned())]);
        scheduler.cancel(NOW, id);
        scheduler.remove_runner(&runner("y"));
    }
}

#[test]
fn streams_that_begin_and_break_together_in_a_millisecond_leave_their_process_in_doubt() {
    let mut scheduler = scheduler(100);
    begun_at_x(&mut scheduler, NOW, 1);
    scheduler.remove_runner(&runner("y"));
    begun_at_x(&mut scheduler, NOW, 2);
    for id in [1, 2] {
        assert_eq!(breaks(&mut scheduler, NOW, id), [(id, "y".to_owned())]);
        scheduler.cancel(NOW, id);
    }
    scheduler.remove_runner(&runner("y"));
    begun_at_x(&mut scheduler, NOW, 3);
    assert_eq!(breaks(&mut scheduler, NOW, 3), []);
}

/// Nothing was sent to the other process, so the retry budget is left to failures.
#[test]
fn a_stream_that_finds_another_process_than_is_listed_goes_elsewhere_without_retry_budget() {
    let mut scheduler = scheduler(2);
    begun_at_x(&mut scheduler, NOW, 1);
    assert_eq!(breaks(&mut scheduler, NOW, 1), [(1, "y".to_owned())]);
    scheduler.set_runner(NOW, versioned("v", "old", 1));
    assert!(scheduler.needs_process(1));
    scheduler.record_process(NOW, 1, Process::new(1, Some(2)));
    assert!(!scheduler.may_send(NOW, 1));
    scheduler.finish_attempt(NOW, 1, End::NotSent);
    assert_eq!(sends(&scheduler.take_actions()), [(1, "v".to_owned())]);
    scheduler.record_process(NOW, 1, Process::new(1, Some(1)));
    assert!(scheduler.may_send(NOW, 1));
}

#[test]
fn a_stream_is_not_continued_at_an_unknown_process_of_a_runner_that_left_the_list() {
    for (named, may_send) in [(None, false), (Some(2), false), (Some(1), true)] {
        let mut scheduler = scheduler(100);
        begun_at_x(&mut scheduler, NOW, 1);
        assert_eq!(breaks(&mut scheduler, NOW, 1), [(1, "y".to_owned())]);
        scheduler.remove_runner(&runner("y"));
        scheduler.record_process(NOW, 1, Process::new(1, named));
        assert_eq!(scheduler.may_send(NOW, 1), may_send, "{named:?}");
    }
}

/// Begins stream 1 where it was sent, and returns whether `y`, of version `old`, takes it up.
fn is_taken_up_at_y(scheduler: &mut Scheduler) -> bool {
    scheduler.record_write(1);
    scheduler.record_events(NOW, 1, 1);
    scheduler.set_runner(NOW, versioned("y", "old", 1));
    !submit(scheduler, NOW, 2, take_up(2, 1)).is_empty()
}

/// Asks for streams until they may begin at the only runner, whose version is unknown.
fn announce(scheduler: &mut Scheduler) {
    for (id, ms) in (1000..).zip((0..=4800).step_by(400)) {
        let now = NOW - Span(4800 - ms);
        submit(scheduler, now, id, begin(id));
        scheduler.cancel(now, id);
    }
}

/// Checks that request 1 is not sent to the only runner, whose version is unknown, and submits it
/// again once it may be.
fn begin_at_unknown(scheduler: &mut Scheduler) {
    assert!(!scheduler.may_send(NOW, 1));
    scheduler.cancel(NOW, 1);
    announce(scheduler);
    submit(scheduler, NOW, 1, begin(1));
}

#[test]
fn a_stream_that_another_process_than_is_listed_begins_is_of_unknown_version() {
    for (named, taken_up) in [(None, true), (Some(1), true), (Some(2), false)] {
        let mut scheduler = scheduler(100);
        scheduler.set_runner(NOW, versioned("x", "old", 1));
        submit(&mut scheduler, NOW, 1, begin(1));
        scheduler.record_process(NOW, 1, Process::new(1, named));
        if named == Some(2) {
            begin_at_unknown(&mut scheduler);
            scheduler.record_process(NOW, 1, Process::Other);
        }
        assert!(scheduler.may_send(NOW, 1));
        assert_eq!(is_taken_up_at_y(&mut scheduler), taken_up, "{named:?}");
    }
}

/// The silent process may be the next one of the runner, at another version.
#[test]
fn a_stream_that_a_silent_runner_begins_is_of_unknown_version_if_its_entry_names_a_start() {
    let cases = [
        (Some("x"), 1, false),
        (Some("z"), 1, false),
        (None, 1, false),
        (None, 0, true),
    ];
    for (named_by, started_at, taken_up) in cases {
        let mut scheduler = scheduler(100);
        if let Some(name) = named_by {
            scheduler.set_runner(NOW, versioned(name, "old", 1));
            submit(&mut scheduler, NOW, 3, begin(3));
            scheduler.record_process(NOW, 3, Process::new(1, Some(1)));
            scheduler.cancel(NOW, 3);
        }
        scheduler.remove_runner(&runner("z"));
        scheduler.set_runner(NOW, versioned("x", "old", started_at));
        if started_at != 0 {
            submit(&mut scheduler, NOW, 4, begin(4));
            scheduler.record_silence(NOW - Span(4950), &runner("x"));
            assert!(scheduler.needs_process(4) && !scheduler.may_send(NOW, 4));
            scheduler.cancel(NOW, 4);
            announce(&mut scheduler);
        }
        submit(&mut scheduler, NOW, 1, begin(1));
        scheduler.record_silence(NOW - Span(4950), &runner("x"));
        assert!(!scheduler.needs_process(1));
        assert!(scheduler.may_send(NOW, 1));
        scheduler.record_write(1);
        // Before the first event the silence is forgotten, and the runner may be asked again.
        scheduler.tick(NOW + Span(100));
        assert!(scheduler.needs_process(1));
        let is_taken_up = is_taken_up_at_y(&mut scheduler);
        assert_eq!(is_taken_up, taken_up, "{named_by:?} {started_at}");
    }
}

#[test]
fn a_stream_does_not_begin_at_an_unknown_process_of_a_runner_that_left_the_list() {
    for (named, begins) in [(None, false), (Some(2), false), (Some(1), true)] {
        let mut scheduler = scheduler(100);
        scheduler.set_runner(NOW, versioned("x", "old", 1));
        submit(&mut scheduler, NOW, 1, begin(1));
        scheduler.remove_runner(&runner("x"));
        assert!(scheduler.needs_process(1));
        scheduler.record_process(NOW, 1, Process::new(1, named));
        assert_eq!(scheduler.may_send(NOW, 1), begins, "{named:?}");
        assert!(!begins || is_taken_up_at_y(&mut scheduler));
    }
}

/// Its start does not rule out that the new process began the stream; the connection does.
#[test]
fn a_stream_of_a_process_that_named_its_start_keeps_its_version_after_a_restart() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, versioned("x", "old", 1));
    submit(&mut scheduler, NOW, 1, begin(1));
    scheduler.record_process(NOW, 1, Process::new(1, Some(1)));
    scheduler.record_events(NOW, 1, 1);
    scheduler.set_runner(NOW, versioned("y", "old", 1));
    scheduler.set_runner(NOW + Span(500), versioned("x", "new", NOW.0));
    let later = NOW + Span(500);
    assert_eq!(breaks(&mut scheduler, later, 1), [(1, "y".to_owned())]);
}

/// A runner that waits for its processor may answer late; what it named before does not count.
#[test]
fn a_stream_is_not_continued_at_a_runner_that_named_its_start_and_is_silent_now() {
    let mut scheduler = scheduler(100);
    begun_at_x(&mut scheduler, NOW, 1);
    let sent = submit(&mut scheduler, NOW, 5, begin(5));
    assert_eq!(sent, [(5, "y".to_owned())]);
    scheduler.record_process(NOW, 5, Process::new(1, Some(1)));
    scheduler.record_silence(NOW, &runner("y"));
    scheduler.cancel(NOW, 5);
    assert_eq!(
        submit(&mut scheduler, NOW, 2, take_up(2, 1)),
        [(2, "x".to_owned())]
    );
    assert_eq!(breaks(&mut scheduler, NOW, 1), []);
    let later = NOW + Span(5000);
    scheduler.tick(later);
    assert_eq!(breaks(&mut scheduler, later, 2), [(2, "y".to_owned())]);
}

/// The process that answers is not the one that named its start.
#[test]
fn a_stream_of_a_runner_that_named_its_start_and_does_not_any_more_is_of_unknown_version() {
    for (named_before, taken_up) in [(None, true), (Some(1), false)] {
        let mut scheduler = scheduler(100);
        scheduler.set_runner(NOW, versioned("x", "old", 1));
        submit(&mut scheduler, NOW, 3, begin(3));
        scheduler.record_process(NOW, 3, Process::new(1, named_before));
        scheduler.cancel(NOW, 3);
        submit(&mut scheduler, NOW, 1, begin(1));
        scheduler.record_process(NOW, 1, Process::new(1, None));
        if named_before.is_some() {
            begin_at_unknown(&mut scheduler);
        }
        assert!(scheduler.may_send(NOW, 1));
        assert_eq!(
            is_taken_up_at_y(&mut scheduler),
            taken_up,
            "{named_before:?}"
        );
    }
}

/// The entry is of a process that is gone, written late, or of a runner whose clock stepped back.
#[test]
fn a_stream_after_an_entry_with_an_earlier_start_is_of_unknown_version_unless_it_is_named() {
    let cases = [
        (7, 1, None, false),
        (7, 1, Some(7), false),
        (7, 1, Some(1), true),
        (1, 7, None, true),
    ];
    for (before, listed, named, taken_up) in cases {
        let mut scheduler = scheduler(100);
        scheduler.set_runner(NOW, versioned("x", "new", before));
        scheduler.set_runner(NOW, versioned("x", "old", listed));
        submit(&mut scheduler, NOW, 1, begin(1));
        scheduler.record_process(NOW, 1, Process::new(listed, named));
        if named == Some(before) {
            begin_at_unknown(&mut scheduler);
            scheduler.record_process(NOW, 1, Process::Other);
        }
        assert!(scheduler.may_send(NOW, 1));
        let is_taken_up = is_taken_up_at_y(&mut scheduler);
        assert_eq!(is_taken_up, taken_up, "{before} {named:?}");
    }
}

/// Steps of 2,400 ms of the clocks of the runner and of the router, in opposite directions.
#[test]
fn a_stream_of_the_next_process_is_of_unknown_version_if_both_clocks_were_stepped() {
    for (step, is_unknown) in [(-4800_i64, true), (0, true), (4800, true), (5001, false)] {
        let mut scheduler = scheduler(100);
        begun_at_x(&mut scheduler, NOW, 1);
        let started_at = NOW.0.checked_add_signed(step).unwrap();
        scheduler.set_runner(NOW + Span(800), versioned("x", "new", started_at));
        let sent = submit(&mut scheduler, NOW + Span(800), 2, take_up(2, 1));
        assert_eq!(sent.is_empty(), is_unknown, "{step} {sent:?}");
    }
}
