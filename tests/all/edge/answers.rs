//! Answers that come twice, late, slowly or only in part, as operators of similar
//! systems met them.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use super::environment::{
    Runner, Store, connect, read_message, respond, respond_with_body, send_raw, wait_until,
};
use super::poison::Crashing;
use super::{
    EVENT_STREAM_FIELDS, Router, decode_chunks, entry, events, manifest, request, start_router,
};

/// Counts the requests on each connection to a runner.
#[derive(Clone, Default)]
struct Connections(Arc<Mutex<BTreeMap<SocketAddr, usize>>>);

impl Connections {
    /// Returns which request of its connection this one is, from 1.
    fn count(&self, stream: &TcpStream) -> usize {
        let peer = stream.peer_addr().expect("the connection is open");
        let mut counts = self.0.lock().expect("no thread panicked");
        let count = counts.entry(peer).or_default();
        *count += 1;
        *count
    }
}

/// The runner turns a request away twice on one connection; the second copy arrives when
/// the request was sent there again. Taken for the answer to the second attempt, it would
/// lead to a third one while the second runs.
#[test]
fn a_second_copy_of_a_rejection_does_not_answer_the_next_attempt() {
    let connections = Connections::default();
    let runs = Arc::new(AtomicUsize::new(0));
    let (seen, run) = (connections.clone(), runs.clone());
    let arrivals = AtomicUsize::new(0);
    let runner = Runner::start(move |head: &str, stream: &mut TcpStream| {
        let on_connection = seen.count(stream);
        let rejection = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";
        if arrivals.fetch_add(1, Ordering::SeqCst) == 0 {
            respond(stream, head, 503, rejection, "");
            return true;
        }
        if on_connection > 1 {
            respond(stream, head, 503, rejection, "");
            thread::sleep(Duration::from_millis(100));
        }
        run.fetch_add(1, Ordering::SeqCst);
        respond_with_body(stream, head, "done")
    });
    let (_store, router) = start_router(&[&runner]);
    let response = send_raw(router.callers, &request("POST", "/once/x", "", ""));
    assert!(response.ends_with("done"), "{response}");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

/// An answer without an id on a connection that was used before may belong to the
/// earlier request.
#[test]
fn an_error_without_an_id_on_a_used_connection_is_not_delivered() {
    let connections = Connections::default();
    let runner = Runner::start(move |head: &str, stream: &mut TcpStream| {
        if connections.count(stream) > 1 {
            let late = b"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nold";
            let _ = stream.write_all(late);
        }
        respond_with_body(stream, head, "done")
    });
    let (_store, router) = start_router(&[&runner]);
    let first = send_raw(router.callers, &request("POST", "/once/x", "", ""));
    assert!(first.ends_with("done"), "{first}");
    let second = send_raw(router.callers, &request("POST", "/once/x", "", ""));
    assert!(!second.contains("old"), "{second}");
    assert!(second.starts_with("HTTP/1.1 502 "), "{second}");
}

/// Length of an answer that exceeds the buffers of the system towards a slow caller.
const LONG_ANSWER: usize = 500_000;

/// Connects a caller with a small receive buffer, which keeps the rest of an answer out
/// of the buffers of the system, and sends a request.
pub fn send_slowly_read(router: &Router, text: &str) -> TcpStream {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(4096)
        .expect("the size can be set");
    socket
        .connect(&router.callers.into())
        .expect("the router accepts");
    let mut stream: TcpStream = socket.into();
    stream
        .write_all(text.as_bytes())
        .expect("the router reads the request");
    stream
}

/// Sends a request for a long answer that is read slowly, and waits until it has ended in
/// the router.
fn connect_slow_caller(router: &Router) -> TcpStream {
    let stream = send_slowly_read(router, &request("POST", "/once/x", "", ""));
    wait_until("the request has ended", || {
        router.log().contains("event=answered")
    });
    stream
}

/// Reads a response to its end, with a pause between reads; returns the length of its
/// body.
fn read_slowly(stream: TcpStream, pause: Duration) -> usize {
    let response = read_response_slowly(stream, pause);
    let (_, body) = response.split_once("\r\n\r\n").expect("a message head");
    body.len()
}

/// Reads a response to its end, with a pause between reads.
pub fn read_response_slowly(mut stream: TcpStream, pause: Duration) -> String {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..length]);
        thread::sleep(pause);
    }
    String::from_utf8_lossy(&received).into_owned()
}

fn long_answer() -> Runner {
    Runner::start(|head, stream| respond_with_body(stream, head, &"x".repeat(LONG_ANSWER)))
}

/// Most of the answer is still in the router when the request has ended there. The planned
/// stop must wait for it.
#[test]
fn a_planned_stop_delivers_an_answer_that_is_read_slowly() {
    let runner = long_answer();
    let (_store, mut router) = start_router(&[&runner]);
    let stream = connect_slow_caller(&router);
    router.signal(Signal::SIGTERM);
    // Takes longer than the router stays without requests in flight.
    assert_eq!(read_slowly(stream, Duration::from_millis(35)), LONG_ANSWER);
    assert_eq!(router.wait(), Some(0));
}

/// Bytes that wait for a caller who does not read are acknowledged all the same.
#[test]
fn a_caller_that_pauses_for_seconds_gets_its_whole_answer() {
    let runner = long_answer();
    let (_store, router) = start_router(&[&runner]);
    let stream = connect_slow_caller(&router);
    thread::sleep(Duration::from_secs(5));
    assert_eq!(read_slowly(stream, Duration::ZERO), LONG_ANSWER);
}

/// A request whose head has arrived when the stop begins is served, although its body
/// takes longer than the router would stay otherwise.
#[test]
fn a_planned_stop_serves_a_request_that_is_still_arriving() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let (_store, mut router) = start_router(&[&runner]);
    let mut stream = connect(router.callers);
    let head = request("POST", "/once/x", "Content-Length: 40\r\n", "");
    stream
        .write_all(head.as_bytes())
        .expect("the router reads the head");
    router.signal(Signal::SIGTERM);
    for _ in 0..40 {
        thread::sleep(Duration::from_millis(80));
        stream.write_all(b"b").expect("the router reads the body");
    }
    let (head, _) = read_message(&mut stream).expect("a response");
    // Later than the time for which a router that stops accepts requests.
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    drop(stream);
    assert_eq!(router.wait(), Some(0));
}

/// The limit on idle time applies to the time between bytes, not to the whole upload.
#[test]
fn a_steady_upload_may_take_longer_than_the_idle_timeout() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let store = Store::start();
    let mut limited = manifest(1, &["k1"]).expect("a manifest");
    limited["limits"]["idle_timeout_ms"] = json!(1000);
    store.put("config", "main", Some(limited));
    store.put("servers", "i-0", entry(runner.address, "s"));
    let router = Router::start("r1", store.address);
    router.wait_ready();
    let mut stream = connect(router.callers);
    let head = request("POST", "/once/x", "Content-Length: 20\r\n", "");
    stream
        .write_all(head.as_bytes())
        .expect("the router reads the head");
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(100));
        stream.write_all(b"b").expect("the router reads the body");
    }
    let (head, _) = read_message(&mut stream).expect("a response");
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    assert!(runner.requests()[0].ends_with(&"b".repeat(20)));
}

/// Returns the response to a stream request that goes to the runner at `address`; the
/// stream may not be resumed.
fn request_unresumable(address: SocketAddr) -> String {
    let store = Store::start();
    let route = super::Route::new("stream", "stream", 8000);
    let unresumable = super::environment::manifest(1, &[route], &["k1"]);
    store.put("config", "main", Some(unresumable));
    store.put("servers", "i-0", entry(address, "s"));
    let router = Router::start("r1", store.address);
    router.wait_ready();
    send_raw(router.callers, &request("POST", "/stream/x", "", ""))
}

/// Starts a runner that answers with a 200 stream and closes the connection, and returns
/// the response of a router whose stream route may not be resumed.
fn broken_stream(fields: &'static str, body: &'static str) -> String {
    let runner = Runner::start(move |head, stream| {
        respond(stream, head, 200, fields, body);
        false
    });
    request_unresumable(runner.address)
}

/// A runner that crashes may close the connection in the middle of an event. Without a
/// length or chunks, that end looks like any other.
#[test]
fn a_stream_without_a_length_that_ends_inside_an_event_is_not_complete() {
    let body = "id: 1\ndata: event 1\n\nid: 2\ndata: ev";
    let response = broken_stream("Content-Type: text/event-stream\r\n", body);
    assert!(!decode_chunks(&response).1, "{response}");
    assert!(
        !response.contains("event 1") || response.ends_with("<reset>"),
        "{response}"
    );
}

#[test]
fn a_stream_without_a_length_that_ends_before_its_first_event_is_not_complete() {
    let response = broken_stream("Content-Type: text/event-stream\r\n", "");
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
}

#[test]
fn a_chunked_stream_whose_last_chunk_comes_inside_an_event_is_not_complete() {
    let body = "15\r\nid: 1\ndata: event 1\n\n\r\nd\r\nid: 2\ndata: e\r\n0\r\n\r\n";
    let response = broken_stream(EVENT_STREAM_FIELDS, body);
    assert!(!decode_chunks(&response).1, "{response}");
    assert!(response.ends_with("<reset>"), "{response}");
}

#[test]
fn a_stream_with_a_length_that_ends_inside_an_event_is_not_complete() {
    let fields = "Content-Type: text/event-stream\r\nContent-Length: 34\r\n";
    let response = broken_stream(fields, "id: 1\ndata: event 1\n\nid: 2\ndata: e");
    assert!(response.ends_with("<reset>"), "{response}");
}

/// The process that ends closes its connections in good order, and its listener.
#[test]
fn a_stream_without_a_length_whose_runner_crashes_between_events_is_not_complete() {
    let runner = Crashing::start(
        |mut stream| {
            let Some((head, _)) = read_message(&mut stream) else {
                return true;
            };
            let fields = "Content-Type: text/event-stream\r\n";
            let body = "id: 1\ndata: event 1\n\n";
            respond(&mut stream, &head, 200, fields, body);
            false
        },
        Arc::default(),
    );
    let response = request_unresumable(runner.address);
    assert!(!decode_chunks(&response).1, "{response}");
    assert!(response.ends_with("<reset>"), "{response}");
}

/// Events of the first runner say nothing of how far the second one came.
#[test]
fn a_stream_that_is_resumed_without_a_length_and_sends_no_event_is_not_complete() {
    let arrivals = AtomicUsize::new(0);
    let script = Arc::new(move |head: &str, stream: &mut TcpStream| {
        if arrivals.fetch_add(1, Ordering::SeqCst) == 0 {
            respond(stream, head, 200, EVENT_STREAM_FIELDS, &events(1, 2));
        } else {
            respond(stream, head, 200, "Content-Type: text/event-stream\r\n", "");
        }
        false
    });
    let runners = [(); 2].map(|()| {
        let script = script.clone();
        Runner::start(move |head, stream| script(head, stream))
    });
    let (_store, router) = start_router(&[&runners[0], &runners[1]]);
    let response = send_raw(router.callers, &request("POST", "/stream/x", "", ""));
    assert!(!decode_chunks(&response).1, "{response}");
    assert!(response.ends_with("<reset>"), "{response}");
}

/// The connection ends with the answer to another request, so no answer to this one can
/// follow.
#[test]
fn a_connection_that_ends_after_an_answer_to_another_request_fails_the_attempt_at_once() {
    let runner = Runner::start(|_, stream| {
        let late = b"HTTP/1.1 200 X\r\nX-Request-Id: q0\r\nX-Answer-Signature: s\r\n\r\nold";
        let _ = stream.write_all(late);
        false
    });
    let (_store, router) = start_router(&[&runner]);
    let response = send_raw(router.callers, &request("POST", "/once/x", "", ""));
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
}

/// Writes `head`, then `fill` again and again until the router closes the connection.
/// Returns the number of bytes written.
fn write_without_end(stream: &mut TcpStream, head: &str, fill: &str) -> usize {
    let block = fill.repeat(64 * 1024 / fill.len());
    let mut written = 0;
    if stream.write_all(head.as_bytes()).is_ok() {
        while written < ENDLESS_BYTES && stream.write_all(block.as_bytes()).is_ok() {
            written += block.len();
        }
    }
    written
}

/// Bytes after which a runner that writes without end gives up; more than the limit on
/// the memory of a router.
const ENDLESS_BYTES: usize = 256 * 1024 * 1024;

/// Checks that a router gives up the answer of a runner that writes without end, and
/// closes the connection.
fn check_given_up(head: &'static str, fill: &'static str) {
    let written: Arc<Mutex<Option<usize>>> = Arc::default();
    let total = written.clone();
    let runner = Runner::start(move |_, stream| {
        let length = write_without_end(stream, head, fill);
        *total.lock().expect("no thread panicked") = Some(length);
        false
    });
    let (_store, router) = start_router(&[&runner]);
    let response = send_raw(router.callers, &request("POST", "/once/x", "", ""));
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
    let written = || *written.lock().expect("no thread panicked");
    wait_until("the runner has stopped writing", || written().is_some());
    assert!(written() < Some(ENDLESS_BYTES), "{:?}", written());
}

#[test]
fn an_answer_whose_head_never_ends_is_given_up() {
    check_given_up("HTTP/1.1 200 X\r\nA: ", "x");
}

#[test]
fn interim_answers_that_never_end_are_given_up() {
    check_given_up("", "HTTP/1.1 100 X\r\n\r\n");
}

#[test]
fn a_failure_whose_body_never_ends_is_given_up() {
    let head = "HTTP/1.1 500 X\r\nX-Request-Id: q1\r\nX-Answer-Signature: s\r\n\r\n";
    check_given_up(head, "x");
}

#[test]
fn an_answer_to_another_request_that_never_ends_is_given_up() {
    let head = "HTTP/1.1 200 X\r\nX-Request-Id: q0\r\nX-Answer-Signature: s\r\n\r\n";
    check_given_up(head, "x");
}

/// Progress of a stream is a whole event. The first runner only sends bytes of one, now
/// and then.
#[test]
fn a_stream_that_sends_bytes_but_no_event_moves_to_another_runner() {
    check_stalled_stream_moves(b"1\r\n:\r\n");
}

#[test]
fn a_stream_that_sends_comments_but_no_event_moves_to_another_runner() {
    check_stalled_stream_moves(b"3\r\n:\n\n\r\n");
}

/// Checks that a stream whose runner sends one event, and then only `drip` now and then,
/// is resumed at another runner.
fn check_stalled_stream_moves(drip: &'static [u8]) {
    let first = AtomicUsize::new(0);
    let script = move |head: &str, stream: &mut TcpStream| {
        if first.fetch_add(1, Ordering::SeqCst) > 0 {
            let rest = format!("{}0\r\n\r\n", events(2, 3));
            respond(stream, head, 200, EVENT_STREAM_FIELDS, &rest);
            return true;
        }
        respond(stream, head, 200, EVENT_STREAM_FIELDS, &events(1, 1));
        // The router closes the connection when it moves the stream.
        while stream.write_all(drip).is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
        false
    };
    let script = Arc::new(script);
    let runners = [(); 2].map(|()| {
        let script = script.clone();
        Runner::start(move |head, stream| script(head, stream))
    });
    let (_store, router) = start_router(&[&runners[0], &runners[1]]);
    let response = send_raw(router.callers, &request("POST", "/stream/x", "", ""));
    let (body, is_complete) = decode_chunks(&response);
    assert!(is_complete, "{response}");
    assert_eq!(body.matches("data: event").count(), 3, "{body}");
}

/// Events that come slowly are no reason to move or cut a stream.
#[test]
fn a_slow_but_sound_stream_is_delivered_by_one_runner() {
    let runner = Runner::start(|head, stream| {
        respond(stream, head, 200, EVENT_STREAM_FIELDS, "");
        for id in 1..=5 {
            thread::sleep(Duration::from_millis(1200));
            if stream.write_all(events(id, id).as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    let (_store, router) = start_router(&[&runner]);
    let response = send_raw(router.callers, &request("POST", "/stream/x", "", ""));
    let (body, is_complete) = decode_chunks(&response);
    assert!(is_complete, "{response}");
    assert_eq!(body.matches("data: event").count(), 5, "{body}");
    assert_eq!(runner.requests().len(), 1);
}
