//! Streams that callers take up without naming the request that began them, so that routers can
//! only infer the version.

use std::collections::BTreeSet;
use std::io::Read;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;

use super::environment::{LATE, READ_TIMEOUT, wait_until};
use super::streams::{
    BEGIN_LIMIT, Fleet, LISTED, assert_refused, begin, begin_by_retries, list, runner, take_up,
    try_begin,
};
use super::{Router, decode_chunks};

/// Start of a process that is not listed.
const OTHER: u64 = 2;

/// Time after which a stream counts as not begun where that is allowed.
const BEGIN_TIME: Duration = Duration::from_secs(2);

/// Times at which streams are taken up after they broke off.
const TAKE_UP_TIMES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(600)];

/// Time after which a version that is listed from the start is not new.
const SETTLE_TIME: Duration = Duration::from_millis(5500);

/// Streams for which a runner has room.
const SLOTS: usize = 6;

impl Fleet {
    /// Begins a stream at the first router, replaces the process of the first runner by another
    /// one of its version, and lists that 1 s later. Returns the time at which routers list it, and
    /// the responses to those who want streams meanwhile.
    fn restart_in_place(&self) -> (Instant, Vec<String>) {
        let (name, runner) = &self.runners[0];
        let _caller = begin(&self.routers[0], "q1");
        let start = SystemTime::now().duration_since(UNIX_EPOCH);
        let start = start.expect("a time after 1970").as_millis() as u64;
        runner.set_born(start);
        self.breaks.store(true, Ordering::SeqCst);
        wait_until("the stream breaks", || {
            self.routers[0].log().contains("event=runner_broke")
        });
        self.breaks.store(false, Ordering::SeqCst);
        let want = |router: &Router| -> Vec<String> {
            let want_one = |number| {
                thread::sleep(Duration::from_millis(200));
                try_begin(router, &format!("m{number}"), READ_TIMEOUT).1
            };
            (0..4).map(want_one).collect()
        };
        thread::scope(|scope| {
            let want_at = |index: usize| scope.spawn(move || want(&self.routers[index]));
            let callers = [0, 1].map(want_at);
            thread::sleep(Duration::from_secs(1));
            list(&self.store, name, runner, "v1", start);
            self.wait_logged(&format!(
                "event=runner_listed runner={name} service=s software=\"v1\" started_at={start} "
            ));
            let listed_at = Instant::now();
            let responses = callers.map(|caller| caller.join().expect("responses"));
            (listed_at, responses.concat())
        })
    }

    /// Takes a stream up at each router, some time after it broke off.
    fn take_up_all(&self) -> Vec<String> {
        let begin = Instant::now();
        let mut responses = Vec::new();
        for time in TAKE_UP_TIMES {
            thread::sleep(time.saturating_sub(begin.elapsed()));
            for router in &self.routers {
                responses.push(take_up(router, &format!("t{}", responses.len())));
            }
        }
        responses
    }
}

/// Returns the names of the runners whose events are in a response.
fn senders(response: &str) -> BTreeSet<&str> {
    let data = |line| str::strip_prefix(line, "data: ");
    response.lines().filter_map(data).collect()
}

/// Checks that the events of a stream, those after it was taken up included, are of one process
/// if `other` began it, which is not listed.
fn assert_not_joined(other: &str, begun: &str, taken_up: &[String]) {
    let is_joined = |response: &&String| {
        let mut names = senders(response);
        names.extend(senders(begun));
        names.contains(other) && names.len() > 1
    };
    let joined: Vec<&String> = taken_up.iter().filter(is_joined).collect();
    let count = taken_up.len();
    assert!(senders(begun).len() < 2, "{begun}");
    assert!(joined.is_empty(), "{} of {count}: {joined:?}", joined.len());
}

fn assert_whole(response: &str) {
    let (body, is_whole) = decode_chunks(response);
    assert!(is_whole && body.contains("id: 5\n"), "{response}");
}

/// Begins a stream at `i-0`, adds `i-1` and breaks the stream off. Returns its events, and the
/// responses to those who take it up.
fn take_up_after_break(fleet: &mut Fleet) -> (String, Vec<String>) {
    let (mut caller, mut begun) = try_begin(&fleet.routers[0], "q1", BEGIN_TIME);
    fleet.add("i-1", LISTED);
    fleet.breaks.store(true, Ordering::SeqCst);
    // The answer is cut off, with a reset if its end was not read.
    let _ = caller.read_to_string(&mut begun);
    let taken_up = fleet.take_up_all();
    (begun, taken_up)
}

#[test]
fn a_stream_of_a_process_that_is_not_listed_is_not_taken_up_at_the_version_listed() {
    let mut fleet = Fleet::start(&[("i-0", OTHER)]);
    let (begun, taken_up) = take_up_after_break(&mut fleet);
    assert_not_joined("i-0", &begun, &taken_up);
}

/// The process may be the next one of the runner, at another version.
#[test]
fn a_stream_of_a_process_that_names_no_start_in_time_is_not_taken_up_at_the_version_listed() {
    let mut fleet = Fleet::start(&[("i-0", LATE)]);
    let (begun, taken_up) = take_up_after_break(&mut fleet);
    assert_not_joined("i-0", &begun, &taken_up);
}

/// Runners of the service name their start, so that the one that does not is known to be late.
#[test]
fn a_stream_of_a_late_process_is_not_taken_up_at_the_version_of_runners_that_named_theirs() {
    let mut fleet = Fleet::start(&[("i-9", LISTED)]);
    let begin_at = |router| begin(router, "n");
    let named: Vec<_> = fleet.routers.iter().map(begin_at).collect();
    fleet.wait_logged("event=process_listed runner=i-9 ");
    fleet.add("i-0", LATE);
    fleet.store.put("servers", "i-9", None);
    fleet.wait_logged("event=runner_gone runner=i-9 ");
    drop(named);
    let (begun, taken_up) = take_up_after_break(&mut fleet);
    assert_not_joined("i-0", &begun, &taken_up);
}

/// Its process is not known either once another runner of the service has named its start.
#[test]
fn a_stream_is_not_taken_up_at_a_runner_that_was_late_before_another_one_named_its_start() {
    let mut fleet = Fleet::start(&[("i-0", LATE)]);
    let _late = try_begin(&fleet.routers[0], "q0", BEGIN_TIME);
    fleet.add("i-1", LISTED);
    let (caller, begun) = begin(&fleet.routers[0], "q1");
    assert_eq!(senders(&begun), BTreeSet::from(["i-1"]));
    drop(caller);
    fleet.store.put("servers", "i-1", None);
    fleet.wait_logged("event=runner_gone runner=i-1 ");
    let response = take_up(&fleet.routers[0], "t0");
    assert!(!senders(&response).contains("i-0"), "{response}");
}

/// Begins streams at both routers while `i-0` has this start, breaks them off, and takes them up.
fn begin_beside_a_known_process(start: u64) {
    let mut fleet = Fleet::start(&[("i-0", start), ("i-1", LISTED)]);
    let mut callers = Vec::new();
    for router in &fleet.routers {
        for number in 0..2 {
            let began_at = Instant::now();
            let (caller, begun) = begin(router, &format!("q{number}"));
            let elapsed = began_at.elapsed();
            assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
            assert_eq!(senders(&begun), BTreeSet::from(["i-1"]));
            callers.push(caller);
        }
    }
    fleet.breaks.store(true, Ordering::SeqCst);
    for mut caller in callers {
        let _ = caller.read_to_end(&mut Vec::new());
    }
    fleet.add("i-2", LISTED);
    for response in fleet.take_up_all() {
        assert_whole(&response);
        assert!(!senders(&response).contains("i-0"), "{response}");
    }
    assert_eq!(fleet.runners[0].1.requests(), Vec::<String>::new());
}

#[test]
fn streams_begin_at_a_listed_process_and_are_taken_up_while_another_runner_has_restarted() {
    begin_beside_a_known_process(OTHER);
}

#[test]
fn streams_begin_at_a_listed_process_and_are_taken_up_while_another_runner_is_late() {
    begin_beside_a_known_process(LATE);
}

#[test]
fn a_stream_of_a_listed_process_is_taken_up_at_all_routers() {
    let mut fleet = Fleet::start(&[("i-0", LISTED)]);
    let (begun, taken_up) = take_up_after_break(&mut fleet);
    assert!(begun.contains("id: 2\n"), "{begun}");
    for response in &taken_up {
        assert_whole(response);
    }
}

#[test]
fn streams_are_served_or_refused_until_the_entry_of_a_restarted_runner_arrives_and_served_then() {
    let fleet = Fleet::start(&[("i-0", LISTED)]);
    let (listed_at, responses) = fleet.restart_in_place();
    for response in &responses {
        if !response.contains("id: 2\n") {
            assert_refused(response);
        }
    }
    for router in &fleet.routers {
        let remaining = Duration::from_millis(1500).saturating_sub(listed_at.elapsed());
        begin_by_retries(router, "r", remaining);
    }
}

#[test]
fn a_stream_begun_before_a_restart_is_taken_up_once_the_entry_of_the_same_version_arrived() {
    let fleet = Fleet::start(&[("i-0", LISTED)]);
    fleet.restart_in_place();
    for response in fleet.take_up_all() {
        assert_whole(&response);
    }
}

#[test]
fn streams_are_served_at_a_runner_whose_entry_does_not_arrive() {
    let fleet = Fleet::start(&[("i-0", OTHER)]);
    for router in &fleet.routers {
        begin_by_retries(router, "r", BEGIN_LIMIT);
    }
}

#[test]
fn a_stream_of_a_process_that_is_never_listed_is_not_taken_up_at_a_runner_listed_later() {
    let mut fleet = Fleet::start(&[("i-0", OTHER)]);
    let (mut caller, mut begun) = begin_by_retries(&fleet.routers[0], "r", BEGIN_LIMIT);
    fleet.breaks.store(true, Ordering::SeqCst);
    let _ = caller.read_to_string(&mut begun);
    thread::sleep(Duration::from_secs(1));
    fleet.add("i-1", LISTED);
    let mut taken_up = fleet.take_up_all();
    let listing = "event=runner_listed runner=i-1 ";
    let listings = |router: &Router| router.log().matches(listing).count();
    let before = listings(&fleet.routers[1]);
    fleet.routers[1].restart(Signal::SIGKILL);
    fleet.routers[1].wait_ready();
    wait_until("the restarted router lists the runner", || {
        listings(&fleet.routers[1]) > before
    });
    taken_up.push(take_up(&fleet.routers[1], "u"));
    assert_not_joined("i-0", &begun, &taken_up);
}

/// The second router hears of the new version from the first one alone.
#[test]
fn a_stream_that_begins_at_a_new_version_for_want_of_room_is_not_taken_up_at_the_old_one() {
    let play = || {
        let fleet = Fleet::start(&[("i-0", LISTED)]);
        thread::sleep(SETTLE_TIME);
        let [first, second] = &fleet.routers[..] else {
            panic!("two routers");
        };
        assert_whole(&take_up(second, "t0"));
        let held: Vec<_> = (0..SLOTS).map(|n| begin(first, &format!("h{n}"))).collect();
        let new = runner("i-1", &fleet.breaks);
        new.set_born(LISTED);
        fleet.link.set_stalled(true);
        let response = thread::scope(|scope| {
            let caller = scope.spawn(|| {
                let (caller, begun) = begin_by_retries(first, "r", BEGIN_LIMIT);
                assert_eq!(senders(&begun), BTreeSet::from(["i-1"]));
                drop((held, caller));
                take_up(second, "t1")
            });
            // The request waits for room until the new version is listed.
            thread::sleep(Duration::from_millis(200));
            list(&fleet.store, "i-1", &new, "v2", LISTED);
            caller.join().expect("a response")
        });
        assert!(!senders(&response).contains("i-0"), "{response}");
    };
    thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(play);
        }
    });
}
