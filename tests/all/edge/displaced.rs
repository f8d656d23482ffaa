//! Callers that give way while the router's memory for requests is nearly used up.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::answers::send_slowly_read;
use super::environment::{
    self, Route, Router, Runner, Store, connect, header, read_message, respond_with_body,
    wait_until,
};
use super::request;

/// Memory of the router in MB, of which it uses 30% for what callers make it hold.
const MEMORY_MB: usize = 16;

/// Length of the answers that the slow caller leaves unread.
const ANSWER: usize = 1000;

/// Unsent bytes to a caller above which the router reads no further request of it.
const MAX_UNSENT: usize = 128 * 1024;

/// Bodies of the requests that fill the memory, and how many of the smaller ones end then, to
/// leave 23 to 25 kB.
const LARGE_BODY: usize = 100_000;
const SMALL_BODY: usize = 700;
const ENDED: usize = 11;

/// Answers that the router holds for the slow caller, in bytes.
const UNSENT: usize = 8000;

/// Time for which the runner works on the slow caller's last request.
const LAST_TIME: Duration = Duration::from_millis(300);

/// Time for the router to read and write what has arrived.
const SETTLE_TIME: Duration = Duration::from_millis(50);

const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn text(path: &str, id: &str, body: usize) -> String {
    let fields = format!("Content-Length: {body}\r\n");
    request("POST", path, &fields, &"b".repeat(body))
        .replace("X-Request-Id: q1", &format!("X-Request-Id: {id}"))
        .replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 60000")
        .replace("Connection: close\r\n", "")
}

/// Starts a runner that answers at `/once/read` and, later, at `/once/last`, but not at
/// `/once/fill`. Returns it with the number of requests that it got.
fn start_runner() -> (Runner, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let arrived = count.clone();
    let runner = Runner::start(move |head: &str, stream: &mut TcpStream| {
        arrived.fetch_add(1, Ordering::SeqCst);
        match head.split(' ').nth(1) {
            Some("/once/fill") => thread::sleep(Duration::from_secs(60)),
            Some("/once/last") => thread::sleep(LAST_TIME),
            _ => {}
        }
        respond_with_body(stream, head, &"a".repeat(ANSWER))
    });
    (runner, count)
}

/// Waits until the runner got another request. Returns whether it did.
fn wait_for_arrival(count: &AtomicUsize, before: usize) -> bool {
    let deadline = Instant::now() + Duration::from_millis(500);
    while count.load(Ordering::SeqCst) == before {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_micros(200));
    }
    true
}

/// Connects a caller that reads nothing and sends `limit` requests, or fewer if the router
/// reads no more of them. Returns it with the number of answers.
fn leave_unread(
    router: &Router,
    count: &AtomicUsize,
    name: &str,
    limit: usize,
) -> (TcpStream, usize) {
    let mut stream = send_slowly_read(router, "");
    for number in 0..limit {
        let before = count.load(Ordering::SeqCst);
        let text = text("/once/read", &format!("{name}-{number}"), 0);
        stream.write_all(text.as_bytes()).expect("the router reads");
        if !wait_for_arrival(count, before) {
            return (stream, number);
        }
    }
    (stream, limit)
}

/// Sends requests with a body of this length that are not answered, until one is refused.
fn fill(router: &Router, count: &AtomicUsize, body: usize) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    loop {
        let before = count.load(Ordering::SeqCst);
        let mut caller = connect(router.callers);
        let text = text("/once/fill", &format!("f{body}-{}", callers.len()), body);
        caller.write_all(text.as_bytes()).expect("the router reads");
        if !wait_for_arrival(count, before) {
            let (head, _) = read_message(&mut caller).expect("a refusal");
            assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
            return callers;
        }
        callers.push(caller);
    }
}

/// Lets a caller that leaves answers unread send a request with a body of `last_body` bytes,
/// which takes more memory than is left, and checks what it and the caller accepted next get.
fn check(last_body: usize) {
    let (runner, count) = start_runner();
    let store = Store::start();
    let routes = [Route::new("once", "non_idempotent", 60_000)];
    let manifest = environment::manifest(1, &routes, &["k1"]);
    store.put("config", "main", Some(manifest));
    let entry = environment::entry(runner.address, "s", 400);
    store.put("servers", "i-0", Some(entry));
    let router = Router::start_with_limits("r1", store.address, MEMORY_MB, 4100);
    router.wait_ready();

    // The system takes most of the answers; it takes as many for each caller.
    let (mut blocked, all) = leave_unread(&router, &count, "b", usize::MAX);
    let (head, body) = read_message(&mut blocked).expect("an answer");
    let unread = all - (MAX_UNSENT - UNSENT) / (head.len() + body.len());
    drop(blocked);

    let _large = fill(&router, &count, LARGE_BODY);
    let mut small = fill(&router, &count, SMALL_BODY);
    let gone = || router.log().matches("event=caller_gone").count();
    let before = gone();
    small.truncate(small.len() - ENDED);
    wait_until("the memory is free", || gone() == before + ENDED);

    let (mut slow, unread) = leave_unread(&router, &count, "s", unread);
    thread::sleep(SETTLE_TIME);
    let last = text("/once/last", "last", last_body);
    slow.write_all(last.as_bytes()).expect("the router reads");
    thread::sleep(SETTLE_TIME);

    let mut next = connect(router.callers);
    let read = text("/once/read", "own", 0);
    next.write_all(read.as_bytes()).expect("the router reads");
    let (head, _) = read_message(&mut next).expect("an answer");
    assert_eq!(header(&head, "x-request-id"), Some("own"), "{head}");
    next.set_read_timeout(Some(2 * LAST_TIME))
        .expect("the time is not zero");
    let surplus = read_message(&mut next);
    assert!(surplus.is_none(), "{surplus:?} {}", router.log());

    slow.set_read_timeout(Some(READ_TIMEOUT))
        .expect("the time is not zero");
    for number in 0..unread {
        let (head, _) = read_message(&mut slow).expect("an answer");
        let id = format!("s-{number}");
        assert_eq!(header(&head, "x-request-id"), Some(id.as_str()), "{head}");
    }
    let (head, _) = read_message(&mut slow).expect("a refusal");
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert_eq!(header(&head, "x-request-id"), Some("last"), "{head}");
}

#[test]
fn an_answer_does_not_go_to_the_caller_accepted_after_its_own_gave_way() {
    check(24_500);
}

#[test]
fn a_caller_is_not_disconnected_for_a_request_that_its_unread_answers_leave_no_memory_for() {
    check(15_500);
}
