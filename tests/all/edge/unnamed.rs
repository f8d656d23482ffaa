//! Streams that callers take up without naming the request that began them, while a process
//! answers at a runner's address that is not the listed one.

use std::collections::BTreeSet;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::environment::{LATE, Runner, Store, wait_until};
use super::streams::{begin, list, runner, take_up, try_begin};
use super::{Router, decode_chunks, manifest, start_routers};

/// Start of the process that the entries name.
const LISTED: u64 = 1;

/// Start of a process that is not listed.
const OTHER: u64 = 2;

/// Time after which a stream counts as not begun where that is allowed.
const BEGIN_TIME: Duration = Duration::from_secs(2);

/// Times at which streams are taken up after they broke off.
const TAKE_UP_TIMES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(600)];

struct Fleet {
    store: Store,
    routers: Vec<Router>,
    runners: Vec<(&'static str, Runner)>,
    breaks: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts two routers and runners, all listed as started at [`LISTED`] at version `v1`, whose
    /// processes name these starts.
    fn start(starts: &[(&'static str, u64)]) -> Self {
        let store = Store::start();
        store.put("config", "main", manifest(1, &["k1"]));
        let mut fleet = Fleet {
            store,
            routers: Vec::new(),
            runners: Vec::new(),
            breaks: Arc::default(),
        };
        for (name, start) in starts {
            fleet.add(name, *start);
        }
        fleet.routers = start_routers(&fleet.store, 2);
        fleet
    }

    /// Adds a runner and waits until it is listed.
    fn add(&mut self, name: &'static str, start: u64) {
        let runner = runner(name, &self.breaks);
        runner.set_born(start);
        list(&self.store, name, &runner, "v1", LISTED);
        self.runners.push((name, runner));
        self.wait_logged(&format!("event=runner_listed runner={name} "));
    }

    fn wait_logged(&self, text: &str) {
        let is_logged = |router: &Router| router.log().contains(text);
        wait_until(text, || self.routers.iter().all(is_logged));
    }

    /// Breaks off the streams that began, and each that begins after its second event.
    fn break_off(&self) {
        self.breaks.store(true, Ordering::SeqCst);
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
    let lines = response.lines();
    lines
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
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
    fleet.break_off();
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
    let named: Vec<_> = fleet
        .routers
        .iter()
        .map(|router| begin(router, "n"))
        .collect();
    fleet.wait_logged("event=process_listed runner=i-9 ");
    fleet.add("i-0", LATE);
    fleet.store.put("servers", "i-9", None);
    fleet.wait_logged("event=runner_gone runner=i-9 ");
    drop(named);
    let (begun, taken_up) = take_up_after_break(&mut fleet);
    assert_not_joined("i-0", &begun, &taken_up);
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
    fleet.break_off();
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
