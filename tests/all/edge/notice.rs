//! Runners that say in their answers that they leave, or want a pause.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::environment::{
    Router, Runner, Store, header, respond, respond_with_body, send_raw, wait_until,
};
use super::{entry, manifest, request, start_router};

/// Returns a runner whose answers all carry `fields`.
fn with_fields(fields: &'static str) -> Runner {
    Runner::start(move |head, stream| {
        let fields = format!("Content-Length: 1\r\n{fields}\r\n");
        respond(stream, head, 200, &fields, "a");
        true
    })
}

fn send(router: &Router) -> String {
    send_raw(router.callers, &request("POST", "/once/x", "", ""))
}

/// The store lists the runner as ready all the while. The answer with the notice is
/// delivered, and no later request reaches the runner, from either router.
#[test]
fn a_runner_that_leaves_gets_no_request_after_it_said_so() {
    let leaving = with_fields("Server-Leaving: 1");
    let (store, router) = start_router(&[&leaving]);
    let second = Router::start_with_seeds("r2", store.address, &[router.callers]);
    second.wait_ready();
    assert!(send(&router).ends_with("\r\n\r\na"));
    assert!(send(&router).starts_with("HTTP/1.1 503 "));
    wait_until("the second router knows", || {
        send(&second).starts_with("HTTP/1.1 503 ")
    });
    let received = leaving.requests().len();
    thread::sleep(Duration::from_millis(300));
    assert!(send(&second).starts_with("HTTP/1.1 503 "));
    assert_eq!(leaving.requests().len(), received);
}

/// The connection was made to the process before, or before the entry arrived.
#[test]
fn a_notice_of_a_restarted_runner_counts_although_an_older_connection_was_open() {
    let answers = AtomicUsize::new(0);
    let runner = Runner::start(move |head, stream| {
        let notice = match answers.fetch_add(1, Ordering::SeqCst) {
            0 => "",
            _ => "Server-Leaving: 1\r\n",
        };
        let fields = format!("Keep-Alive: timeout=10\r\nContent-Length: 1\r\n{notice}");
        respond(stream, head, 200, &fields, "a");
        true
    });
    let (store, router) = start_router(&[&runner]);
    assert!(send(&router).ends_with("\r\n\r\na"));
    let mut value = entry(runner.address, "s").expect("an entry");
    value["born"] = json!(5);
    store.put("servers", "i-0", Some(value));
    wait_until("the entry is listed", || {
        router.log().contains("started_at=5 ")
    });
    assert!(send(&router).ends_with("\r\n\r\na"));
    assert!(send(&router).starts_with("HTTP/1.1 503 "));
}

/// Malformed notices are logged once a runner and change nothing.
#[test]
fn malformed_notices_are_ignored() {
    for fields in [
        "Server-Leaving: ",
        "Server-Leaving: yes",
        "Server-Leaving: 0",
        "Server-Leaving: -1",
    ] {
        let runner = with_fields(fields);
        let (_store, router) = start_router(&[&runner]);
        for _ in 0..3 {
            assert!(send(&router).ends_with("\r\n\r\na"), "{fields}");
        }
        let lines = || router.log().matches("event=notice_ignored").count();
        wait_until("the notice is logged", || lines() > 0);
        assert_eq!(lines(), 1, "{fields}");
    }
}

/// A request that can't wait for the end of the pause is refused at once, with the time
/// that is left of it. One that can is sent at the end and not before.
#[test]
fn a_runner_that_wants_a_pause_gets_no_request_until_its_end() {
    let pause = Duration::from_secs(3);
    let received = AtomicUsize::new(0);
    let runner = Runner::start(move |head: &str, stream: &mut TcpStream| {
        if received.fetch_add(1, Ordering::SeqCst) > 0 {
            return respond_with_body(stream, head, "done");
        }
        let fields = "X-Not-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n";
        respond(stream, head, 503, fields, "");
        true
    });
    let (_store, router) = start_router(&[&runner]);
    let begin = Instant::now();
    let response = send(&router);
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    let retry = header(&response, "retry-after").and_then(|text| text.parse().ok());
    assert!(
        retry.is_some_and(|seconds: f64| seconds > 2.4 && seconds <= 3.0),
        "{response}"
    );
    // The latency target of the route is 2 s, so a request may wait for 2.4 s.
    thread::sleep(Duration::from_millis(1200));
    assert!(send(&router).ends_with("done"));
    assert!(begin.elapsed() >= pause);
    assert_eq!(runner.requests().len(), 2);
}

/// The users' rule counts from three seconds after the first answer with the limit.
#[test]
fn a_runner_gets_no_more_requests_from_two_routers_than_its_limit_allows() {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let times = arrivals.clone();
    let limited = Runner::start(move |head: &str, stream: &mut TcpStream| {
        times
            .lock()
            .expect("no thread panicked")
            .push(Instant::now());
        let fields = "Server-Limit: 4.0\r\nContent-Length: 1\r\n";
        respond(stream, head, 200, fields, "a");
        true
    });
    let (store, router) = start_router(&[&limited]);
    let second = Router::start_with_seeds("r2", store.address, &[router.callers]);
    second.wait_ready();
    let end = Instant::now() + Duration::from_secs(9);
    thread::scope(|scope| {
        for router in [&router, &second].repeat(6) {
            scope.spawn(move || {
                while Instant::now() < end {
                    send(router);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let arrivals = arrivals.lock().expect("no thread panicked");
    let counted_from = arrivals[0] + Duration::from_secs(3);
    let counted: Vec<&Instant> = arrivals.iter().filter(|at| **at >= counted_from).collect();
    for (index, first) in counted.iter().enumerate() {
        let window_end = **first + Duration::from_secs(4);
        let in_window = counted[index..].iter().filter(|at| ***at < window_end);
        let count = in_window.count();
        // Half more than the limit allows in 4 s, and 5.
        assert!(count <= 29, "{count} requests in 4 s");
    }
    assert!(counted.len() >= 8, "{} requests in 6 s", counted.len());
}

/// Guards against a herd of requests to a runner that started a short time ago, as its
/// responses say, and against values that are not understood.
#[test]
fn a_cold_runner_gets_few_requests_and_a_malformed_time_changes_nothing() {
    let cold = with_fields("X-Cold-Ms: 9000");
    let malformed = with_fields("X-Cold-Ms: soon");
    let store = Store::start();
    let mut manifest = manifest(1, &["k1"]).expect("a manifest");
    manifest["services"][0]["cold_start_s"] = json!(9);
    manifest["services"][0]["cold_per_s"] = json!(7.6);
    store.put("config", "main", Some(manifest));
    store.put("servers", "i-0", entry(cold.address, "s"));
    let router = Router::start("r1", store.address);
    router.wait_ready();
    assert!(send(&router).ends_with("\r\n\r\na"));
    wait_until("the runner is known as cold", || {
        router.log().contains("event=runner_cold runner=i-0")
    });
    // Requests that find no token wait for one, or are refused.
    let begin = Instant::now();
    let end = begin + Duration::from_secs(3);
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while Instant::now() < end {
                    send(&router);
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
    });
    // The bound is 16.4 in any second, the rate 6.03 a second.
    let received = cold.requests().len();
    assert!((4..=35).contains(&received), "{received}");
    store.put("servers", "i-1", entry(malformed.address, "s"));
    wait_until("the second runner is used", || {
        send(&router);
        malformed.requests().len() >= 3
    });
    let log = router.log();
    assert_eq!(log.matches("event=notice_ignored runner=i-1").count(), 1);
    assert!(log.contains("event=runner_cold runner=i-1 left_ms=9000 source=start"));
}
