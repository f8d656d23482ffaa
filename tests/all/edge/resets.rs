//! Answers without a length whose connections a living runner resets.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use super::ends::plain_events;
use super::environment::{
    Router, Runner, Store, asks_for_report, connect, header, read_head, report, respond,
    respond_with_body, send_raw,
};
use super::{decode_chunks, entry, manifest, request, start_router};

/// Makes the system reset the connection when `stream` is dropped.
fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("an open socket");
}

/// Runner that begins a number of answers and resets them all at once.
struct Resetting {
    runner: Runner,
    begun: Receiver<()>,
    reset: Arc<Barrier>,
}

impl Resetting {
    fn start(answers: usize) -> Self {
        let (begin, begun) = channel();
        let begin = Mutex::new(begin);
        let reset = Arc::new(Barrier::new(answers + 1));
        let barrier = reset.clone();
        let runner = Runner::start(move |head, stream| {
            let body = match head.contains("/once/") {
                true => "first half, ",
                false => "id: 1\ndata: event 1\n\n",
            };
            respond(stream, head, 200, "", body);
            reset_on_close(stream);
            let sender = begin.lock().expect("no thread panicked").clone();
            sender.send(()).expect("the test goes on");
            barrier.wait();
            false
        });
        Resetting {
            runner,
            begun,
            reset,
        }
    }

    /// Returns the responses to `count` requests whose answers are reset together, while the
    /// router is stopped if `is_stopped`.
    fn responses(
        &self,
        router: &Router,
        path: &str,
        count: usize,
        is_stopped: bool,
    ) -> Vec<String> {
        let callers: Vec<_> = (0..count)
            .map(|number| {
                let text = request("POST", path, "", "").replace("q1", &format!("q{number}"));
                let address = router.callers;
                thread::spawn(move || send_raw(address, &text))
            })
            .collect();
        for _ in 0..count {
            self.begun.recv().expect("the runner begins each answer");
        }
        // The router has the first bytes of each answer.
        thread::sleep(Duration::from_millis(100));
        if is_stopped {
            router.signal(Signal::SIGSTOP);
        }
        self.reset.wait();
        thread::sleep(Duration::from_millis(50));
        if is_stopped {
            router.signal(Signal::SIGCONT);
        }
        let responses = callers.into_iter().map(|caller| caller.join());
        responses
            .map(|response| response.expect("the caller ends"))
            .collect()
    }
}

/// Checks that a response is a failure, or an answer that is cut off.
fn assert_not_complete(response: &str, router: &Router) {
    let is_failure = ["HTTP/1.1 502 ", "HTTP/1.1 504 "].map(|line| response.starts_with(line));
    let is_cut = response.ends_with("<reset>") && !decode_chunks(response).1;
    assert!(
        is_failure.contains(&true) || is_cut,
        "{response:.300}\n{}",
        router.log()
    );
}

fn check_not_complete(path: &str, is_stopped: bool) {
    for count in [2, 6] {
        let resetting = Resetting::start(count);
        let (_store, router) = start_router(&[&resetting.runner]);
        for response in resetting.responses(&router, path, count, is_stopped) {
            assert_not_complete(&response, &router);
        }
    }
}

#[test]
fn plain_answers_that_are_reset_together_are_not_complete() {
    check_not_complete("/once/x", false);
}

#[test]
fn plain_answers_that_are_reset_together_while_the_router_is_stopped_are_not_complete() {
    check_not_complete("/once/x", true);
}

#[test]
fn streams_that_are_reset_together_are_not_complete() {
    check_not_complete("/stream/x", false);
}

#[test]
fn streams_that_are_reset_together_while_the_router_is_stopped_are_not_complete() {
    check_not_complete("/stream/x", true);
}

/// Length of an upload that exceeds the buffers of the system towards a runner that does not
/// read it.
const LONG_UPLOAD: usize = 12 * 1024 * 1024;

/// Way in which a runner ends its answer to a request whose body it has not read.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It resets the connection.
    Reset,
    /// It closes its write side, and resets the connection after this time.
    CloseThenReset(Duration),
}

/// Starts a runner that answers a request before it has read the body, and ends the answer.
fn start_early(fields: &'static str, fill: &str, end: End) -> Runner {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let fill = fill.to_owned();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let fill = fill.clone();
            thread::spawn(move || {
                while let Some(head) = read_head(&mut stream) {
                    if asks_for_report(&head) {
                        report(&mut stream, 0);
                        continue;
                    }
                    // A part of the upload, so that the rest waits in the router.
                    let _ = stream.read(&mut [0; 1024]);
                    respond(&mut stream, &head, 200, fields, &fill);
                    reset_on_close(&stream);
                    if let End::CloseThenReset(after) = end {
                        let _ = stream.shutdown(Shutdown::Write);
                        thread::sleep(after);
                    }
                    return;
                }
            });
        }
    });
    Runner {
        address,
        received: Arc::default(),
        born: Arc::default(),
        reply: Arc::default(),
    }
}

/// Sends a request with a body of this length, and returns the response.
fn upload(router: &Router, path: &str, length: usize) -> String {
    let mut stream = connect(router.callers);
    let head = request("POST", path, &format!("Content-Length: {length}\r\n"), "");
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(&vec![b'b'; length]))
        .expect("the router reads the request");
    let mut received = Vec::new();
    if stream.read_to_end(&mut received).is_err() {
        received.extend_from_slice(b"<reset>");
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Starts a router that takes long uploads for a runner.
fn start_for_uploads(runner: &Runner) -> (Store, Router) {
    let store = Store::start();
    let mut limited = manifest(1, &["k1"]).expect("a manifest");
    limited["limits"]["max_body_bytes"] = json!(2 * LONG_UPLOAD);
    store.put("config", "main", Some(limited));
    store.put("servers", "i-0", entry(runner.address, "s"));
    let router = Router::start_with_limits("r1", store.address, 200, 4100);
    router.wait_ready();
    (store, router)
}

fn check_early(length: usize, fill: &str, end: End) {
    let runner = start_early("", fill, end);
    let (_store, router) = start_for_uploads(&runner);
    for path in ["/once/x", "/stream/x"] {
        assert_not_complete(&upload(&router, path, length), &router);
    }
}

#[test]
fn an_early_answer_that_ends_before_the_request_is_sent_is_not_complete() {
    for after in [0, 1, 20, 200] {
        let end = End::CloseThenReset(Duration::from_millis(after));
        check_early(LONG_UPLOAD / 4, &plain_events(1, 1), end);
        check_early(LONG_UPLOAD, &plain_events(1, 1), end);
    }
}

#[test]
fn an_early_answer_that_is_reset_before_the_request_is_sent_is_not_complete() {
    check_early(LONG_UPLOAD, &plain_events(1, 1), End::Reset);
}

/// The rest of the request is in the buffers of the system, so it counts as sent.
#[test]
fn an_early_answer_that_is_reset_after_its_end_is_not_complete() {
    for after in [0, 1, 20, 50] {
        let end = End::CloseThenReset(Duration::from_millis(after));
        check_early(200_000, &plain_events(1, 1), end);
    }
}

/// The answer is longer than what the router buffers, so its head has been sent.
#[test]
fn a_long_early_answer_that_ends_before_the_request_is_sent_is_not_complete() {
    let end = End::CloseThenReset(Duration::from_millis(1));
    check_early(LONG_UPLOAD, &plain_events(1, 40_000), end);
}

#[test]
fn a_whole_early_answer_is_delivered_though_the_rest_of_the_request_is_reset() {
    for fields in ["Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"] {
        let body = match fields.contains("chunked") {
            true => "4\r\nbody\r\n0\r\n\r\n",
            false => "body",
        };
        for length in [200_000, LONG_UPLOAD] {
            let runner = start_early(fields, body, End::Reset);
            let (_store, router) = start_for_uploads(&runner);
            let response = upload(&router, "/once/x", length);
            let is_whole =
                response.starts_with("HTTP/1.1 200 ") && response.ends_with("\r\n\r\nbody");
            assert!(is_whole, "{response}\n{}", router.log());
        }
    }
}

/// The runner has read the whole request, so its end by close counts.
#[test]
fn a_whole_answer_that_ends_by_close_after_an_upload_is_delivered() {
    let runner = Runner::start(|head, stream| {
        respond(stream, head, 200, "", "body");
        false
    });
    let (_store, router) = start_for_uploads(&runner);
    for length in [0, 200_000, LONG_UPLOAD] {
        let response = upload(&router, "/once/x", length);
        let is_whole = response.starts_with("HTTP/1.1 200 ") && response.ends_with("\r\n\r\nbody");
        assert!(is_whole, "{response}\n{}", router.log());
    }
}

/// The end arrives with the report, and no other event announces it.
#[test]
fn a_connection_that_ends_with_its_report_carries_no_request() {
    for is_reset in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                thread::spawn(move || {
                    let Some(head) = read_head(&mut stream) else {
                        return;
                    };
                    if asks_for_report(&head) {
                        report(&mut stream, 0);
                    } else {
                        respond(&mut stream, &head, 200, "", "body");
                        return;
                    }
                    if is_reset {
                        reset_on_close(&stream);
                    }
                });
            }
        });
        let store = Store::start();
        store.put("config", "main", manifest(1, &["k1"]));
        store.put("servers", "i-0", entry(address, "s"));
        let router = Router::start("r1", store.address);
        router.wait_ready();
        for _ in 0..20 {
            let response = send_raw(router.callers, &request("POST", "/once/x", "", ""));
            assert!(
                response.ends_with("\r\n\r\nbody"),
                "{is_reset} {response}\n{}",
                router.log()
            );
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// The router handles the event of the caller first.
#[test]
fn a_connection_whose_end_waits_to_be_read_carries_no_request() {
    let (sender, streams) = channel();
    let sender = Mutex::new(sender);
    let runner = Runner::start(move |head, stream| {
        let copy = stream.try_clone().expect("a descriptor");
        let sent = sender.lock().expect("no thread panicked").send(copy);
        sent.expect("the test goes on");
        respond_with_body(stream, head, "body")
    });
    let (_store, router) = start_router(&[&runner]);
    let text = request("POST", "/once/x", "", "");
    send_raw(router.callers, &text);
    let kept: TcpStream = streams.recv().expect("the runner gets the request");
    let mut caller = connect(router.callers);
    thread::sleep(Duration::from_millis(20));
    router.signal(Signal::SIGSTOP);
    thread::sleep(Duration::from_millis(5));
    caller
        .write_all(text.as_bytes())
        .expect("an open connection");
    thread::sleep(Duration::from_millis(5));
    kept.shutdown(Shutdown::Both).expect("an open connection");
    thread::sleep(Duration::from_millis(5));
    router.signal(Signal::SIGCONT);
    let mut response = String::new();
    let _ = caller.read_to_string(&mut response);
    assert!(
        response.ends_with("\r\n\r\nbody"),
        "{response}\n{}",
        router.log()
    );
}

#[test]
fn a_whole_answer_to_an_upload_shortly_before_the_deadline_is_delivered() {
    let runner = Runner::start(|head, stream| {
        let left = header(head, "x-deadline-ms").expect("a deadline");
        let left: u64 = left.parse().expect("a number");
        thread::sleep(Duration::from_millis(left.saturating_sub(30)));
        respond(stream, head, 200, "", "body");
        false
    });
    let (_store, router) = start_for_uploads(&runner);
    let body = "b".repeat(60_000);
    let text = request("POST", "/once/x", "Content-Length: 60000\r\n", &body)
        .replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 400");
    let response = send_raw(router.callers, &text);
    assert!(
        response.ends_with("\r\n\r\nbody"),
        "{response}\n{}",
        router.log()
    );
}
