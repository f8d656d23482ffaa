//! Streams of runners that restart in place, under their id and address, at another version.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::environment::{
    LATE, Store, asks_for_report, read_message, respond, send_raw, wait_until,
};
use super::streams::{BEGIN_LIMIT, SPREAD_TIME, begin, begin_by_retries, list, request, runner};
use super::{EVENT_STREAM_FIELDS, Router, decode_chunks, entry, events, manifest, start_routers};

/// The stream begins before the entry of the process that sends it arrives.
#[test]
fn a_stream_of_a_restarted_runner_is_not_continued_at_the_version_before() {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    let breaks = Arc::new(AtomicBool::new(false));
    let (restarted, other) = (runner("i-0", &breaks), runner("i-1", &breaks));
    list(&store, "i-0", &restarted, "v1", 1);
    let routers = start_routers(&store, 2);
    let (mut caller, mut response) = begin(&routers[0], "q1");
    list(&store, "i-1", &other, "v1", 1);
    let now = std::time::SystemTime::now();
    let now = now.duration_since(std::time::UNIX_EPOCH).expect("a time");
    list(&store, "i-0", &restarted, "v2", now.as_millis() as u64);
    let is_listed = |router: &Router| {
        let log = router.log();
        log.contains("runner=i-1 ") && log.contains("software=\"v2\"")
    };
    wait_until("the entries are listed", || routers.iter().all(is_listed));
    thread::sleep(SPREAD_TIME);
    breaks.store(true, Ordering::SeqCst);
    // The answer is cut off, with a reset if its end was not read.
    let _ = caller.read_to_string(&mut response);
    assert!(!response.contains("id: 3\n"), "{response}");
    let fields = "Last-Event-Id: 2\r\nResumes: q1\r\n";
    for router in &routers {
        let response = send_raw(router.callers, &request("q2", fields));
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    }
    assert_eq!(other.requests(), Vec::<String>::new());
}

/// The process of the other runner may have ended, and the next one is not listed yet.
#[test]
fn a_stream_is_not_continued_at_a_runner_whose_connection_broke_before() {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    let (first_breaks, other_breaks) = <(Arc<AtomicBool>, Arc<AtomicBool>)>::default();
    let (first, other) = (runner("i-0", &first_breaks), runner("i-1", &other_breaks));
    list(&store, "i-0", &first, "v1", 1);
    let routers = start_routers(&store, 1);
    let (mut caller, mut response) = begin(&routers[0], "q1");
    list(&store, "i-1", &other, "v1", 1);
    wait_until("the entry is listed", || {
        routers[0].log().contains("runner=i-1 ")
    });
    let mut begun = Vec::new();
    while other.requests().len() < 2 {
        begun.push(begin(&routers[0], &format!("b{}", begun.len())));
    }
    other_breaks.store(true, Ordering::SeqCst);
    wait_until("the connections break", || {
        routers[0].log().matches("event=runner_broke").count() == 2
    });
    // Whether the process lives is examined after 50 ms.
    thread::sleep(Duration::from_millis(150));
    first_breaks.store(true, Ordering::SeqCst);
    let _ = caller.read_to_string(&mut response);
    assert!(!response.contains("id: 3\n"), "{response}");
    // A connection on which another stream ended is still open, so the process of i-0 lives.
    let taken_up = request("q3", "Last-Event-Id: 2\r\nResumes: q1\r\n");
    let response = send_raw(routers[0].callers, &taken_up);
    assert!(response.contains("id: 5\n"), "{response}");
    assert_eq!(other.requests().len(), 2);
}

/// Begins a stream at `i-0`, whose process names the start 1, or 2 if it is not listed, and lists
/// `i-1` as started at 1. Breaks the stream off and returns the response.
fn break_off(store: &Store, starts: [u64; 2], fails_store: bool) -> (String, Vec<Router>) {
    let breaks = Arc::new(AtomicBool::new(false));
    let runners = starts.map(|start| {
        let runner = runner("i", &breaks);
        runner.set_born(start);
        runner
    });
    // Runners whose entries name no start may be late.
    let listed = u64::from(starts != [LATE, LATE]);
    store.put("config", "main", manifest(1, &["k1"]));
    list(store, "i-0", &runners[0], "v1", listed);
    let routers = start_routers(store, 1);
    let (mut caller, mut response) = match starts[0] {
        2 => begin_by_retries(&routers[0], "q1", BEGIN_LIMIT),
        _ => begin(&routers[0], "q1"),
    };
    list(store, "i-1", &runners[1], "v1", listed);
    wait_until("the entry is listed", || {
        routers[0].log().contains("runner=i-1 ")
    });
    if fails_store {
        store.set_unavailable(true);
        thread::sleep(LIST_TIME);
    }
    breaks.store(true, Ordering::SeqCst);
    let _ = caller.read_to_string(&mut response);
    (response, routers)
}

/// Time after which a list of runners is too old to tell which process answers.
const LIST_TIME: Duration = Duration::from_millis(4200);

#[test]
fn a_stream_is_not_continued_at_a_process_that_is_not_listed() {
    let store = Store::start();
    let (response, _routers) = break_off(&store, [1, 2], false);
    assert!(!response.contains("id: 3\n"), "{response}");
}

#[test]
fn a_stream_that_a_process_began_which_is_not_listed_is_not_continued_at_the_version_listed() {
    let store = Store::start();
    let (response, routers) = break_off(&store, [2, 1], false);
    assert!(!response.contains("id: 3\n"), "{response}");
    let taken_up = request("q2", "Last-Event-Id: 2\r\nResumes: q1\r\n");
    let response = send_raw(routers[0].callers, &taken_up);
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
}

#[test]
fn a_stream_is_continued_at_a_process_that_is_listed_also_while_the_store_is_down() {
    for fails_store in [false, true] {
        let store = Store::start();
        let (response, _routers) = break_off(&store, [1, 1], fails_store);
        assert!(response.contains("id: 5\n"), "{response}");
    }
}

/// The process of a runner that does not name its start may have been replaced meanwhile.
#[test]
fn a_stream_is_not_continued_by_an_old_list_at_a_runner_that_does_not_name_its_start() {
    let store = Store::start();
    let (response, _routers) = break_off(&store, [1, 0], true);
    assert!(!response.contains("id: 3\n"), "{response}");
}

#[test]
fn a_report_that_comes_late_is_not_taken_for_the_answer_of_a_stream() {
    let store = Store::start();
    let (response, _routers) = break_off(&store, [LATE, LATE], false);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.contains("id: 5\n"), "{response}");
}

/// The process may be the next one of the runner, which has not checked in.
#[test]
fn a_stream_that_a_runner_begins_before_its_late_report_is_not_continued_at_the_version_listed() {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    let breaks = Arc::new(AtomicBool::new(false));
    let (late, other) = (runner("i-0", &breaks), runner("i-1", &breaks));
    late.set_born(LATE);
    other.set_born(1);
    list(&store, "i-1", &other, "v1", 1);
    let routers = start_routers(&store, 1);
    let is_logged = |text: &str| routers[0].log().contains(text);
    let _named = begin(&routers[0], "q1");
    store.put("servers", "i-1", None);
    list(&store, "i-0", &late, "v1", 1);
    wait_until("the entries are listed", || {
        is_logged("runner=i-0 ") && is_logged("event=runner_gone")
    });
    let (mut caller, mut response) = begin_by_retries(&routers[0], "q2", BEGIN_LIMIT);
    list(&store, "i-1", &other, "v1", 1);
    thread::sleep(SPREAD_TIME);
    breaks.store(true, Ordering::SeqCst);
    let _ = caller.read_to_string(&mut response);
    assert!(!response.contains("id: 3\n"), "{response}");
    let taken_up = request("q3", "Last-Event-Id: 2\r\nResumes: q2\r\n");
    let response = send_raw(routers[0].callers, &taken_up);
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
}

#[test]
fn a_runner_that_closes_connections_on_a_request_for_its_report_serves_streams() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            while let Some((head, _)) = read_message(&mut stream) {
                if asks_for_report(&head) {
                    break;
                }
                let body = format!("{}0\r\n\r\n", events(1, 3));
                respond(&mut stream, &head, 200, EVENT_STREAM_FIELDS, &body);
            }
        }
    });
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    store.put("servers", "i-0", entry(address, "s"));
    let routers = start_routers(&store, 1);
    let response = send_raw(routers[0].callers, &request("q1", ""));
    let (body, is_whole) = decode_chunks(&response);
    assert!(is_whole && body.contains("id: 3\n"), "{response}");
}
