//! Streams across pauses of the router or the caller, and at the end of the router.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;

use super::answers::send_slowly_read;
use super::environment::{
    self, Route, Router, Runner, Store, connect, header, respond, send_raw, wait_until,
};
use super::{EVENT_STREAM_FIELDS, decode_chunks, events, request};

/// Timeout of the route in ms; a stream stalls after three quarters of it.
const TIMEOUT_MS: u64 = 8000;

/// Time after which a stream without an event has stalled.
const STALL: Duration = Duration::from_millis(6200);

/// Streams under way; more than the router handles events in one turn.
const STREAMS: usize = 400;

/// Starts a router and two runners with the same script on a resumable route.
fn start(
    script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    timeout_ms: u64,
) -> (Store, Router, [Runner; 2]) {
    let script = Arc::new(script);
    let runners = [(); 2].map(|()| {
        let script = script.clone();
        Runner::start(move |head, stream| script(head, stream))
    });
    let store = Store::start();
    let route = Route::new("stream", "stream", timeout_ms).resumable();
    let manifest = environment::manifest(1, &[route], &["k1"]);
    store.put("config", "main", Some(manifest));
    for (index, runner) in runners.iter().enumerate() {
        let entry = environment::entry(runner.address, "s", STREAMS as u32);
        store.put("servers", &format!("i-{index}"), Some(entry));
    }
    let router = Router::start("r1", store.address);
    router.wait_ready();
    (store, router, runners)
}

fn runs(runners: &[Runner; 2]) -> usize {
    runners.iter().map(|runner| runner.requests().len()).sum()
}

/// Events wait in the socket of a router that was stopped. It must read them before it
/// judges how long the stream was silent.
#[test]
fn streams_are_not_moved_when_the_router_was_stopped() {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let may_go_on = is_stopped.clone();
    let script = move |head: &str, stream: &mut TcpStream| {
        let from = header(head, "last-event-id").map_or(0, |id| id.parse().expect("a number"));
        respond(stream, head, 200, EVENT_STREAM_FIELDS, &events(from + 1, 2));
        wait_until("the router is stopped", || may_go_on.load(Ordering::SeqCst));
        let rest = format!("{}0\r\n\r\n", events(from.max(2) + 1, 5));
        stream.write_all(rest.as_bytes()).is_ok()
    };
    let (_store, router, runners) = start(script, TIMEOUT_MS);
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let address = router.callers;
            let text = request("GET", "/stream/x", "", "");
            let text = text.replace("X-Request-Id: q1", &format!("X-Request-Id: q{number}"));
            thread::spawn(move || send_raw(address, &text))
        })
        .collect();
    wait_until("the runners have the requests", || {
        runs(&runners) == STREAMS
    });
    // Time for the first events, and for the router to sleep.
    thread::sleep(Duration::from_millis(100));
    router.signal(Signal::SIGSTOP);
    is_stopped.store(true, Ordering::SeqCst);
    thread::sleep(STALL);
    router.signal(Signal::SIGCONT);
    for caller in callers {
        let response = caller.join().expect("the caller ends");
        let (body, is_complete) = decode_chunks(&response);
        assert!(is_complete, "{response}");
        assert_eq!(body.matches("data: event").count(), 5, "{body}");
    }
    assert_eq!(runs(&runners), STREAMS, "{}", router.log());
}

/// Length of an event of [`long_events`], and their number: more than the buffers of the
/// system hold.
const LONG_EVENT: usize = 20_000;
const LONG_EVENTS: u64 = 1000;

fn long_events(from: u64) -> String {
    let fill = "x".repeat(LONG_EVENT);
    let events = (from..=LONG_EVENTS).map(|id| format!("id: {id}\ndata: {fill}\n\n"));
    events
        .map(|event| format!("{:x}\r\n{event}\r\n", event.len()))
        .collect()
}

/// The router stops reading from the runner when the caller does not read. The silence is
/// the caller's, not the runner's.
#[test]
fn a_stream_is_not_moved_when_its_caller_pauses() {
    let script = |head: &str, stream: &mut TcpStream| {
        let from = header(head, "last-event-id").map_or(0, |id| id.parse().expect("a number"));
        let body = format!("{}0\r\n\r\n", long_events(from + 1));
        respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
        true
    };
    let (_store, router, runners) = start(script, TIMEOUT_MS);
    let mut stream = send_slowly_read(&router, &request("GET", "/stream/x", "", ""));
    thread::sleep(STALL);
    let mut received = Vec::new();
    // A reset shows as a body that is not complete.
    let _ = stream.read_to_end(&mut received);
    let (body, is_complete) = decode_chunks(&String::from_utf8_lossy(&received));
    assert!(is_complete, "{} bytes, {}", received.len(), router.log());
    let ids: Vec<&str> = body.matches("id: ").collect();
    assert_eq!(ids.len() as u64, LONG_EVENTS);
    assert_eq!(runs(&runners), 1, "{}", router.log());
}

/// At the end of the grace period streams are cut, whatever their framing and however slowly
/// their callers read. None may look complete.
#[test]
fn streams_that_a_stop_cuts_do_not_look_complete() {
    let script = |head: &str, stream: &mut TcpStream| {
        let is_chunked = head.contains("/stream/chunked");
        let fields = match is_chunked {
            true => EVENT_STREAM_FIELDS,
            false => "Content-Type: text/event-stream\r\n",
        };
        respond(stream, head, 200, fields, "");
        for id in 1.. {
            let event = match is_chunked {
                true => events(id, id),
                false => format!("id: {id}\ndata: {}\n\n", "x".repeat(LONG_EVENT)),
            };
            if stream.write_all(event.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(Duration::from_millis(2));
        }
        false
    };
    let (_store, mut router, _runners) = start(script, 30_000);
    let text = |name: &str| {
        let text = request("GET", &format!("/stream/{name}"), "", "");
        text.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 30000")
    };
    let slow = send_slowly_read(&router, &text("slow"));
    let chunked = connect(router.callers);
    let unframed = connect(router.callers);
    for (mut stream, name) in [(&chunked, "chunked"), (&unframed, "unframed")] {
        stream
            .write_all(text(name).as_bytes())
            .expect("the router reads the request");
    }
    let readers = [chunked, unframed].map(|mut stream| {
        thread::spawn(move || {
            let mut received = Vec::new();
            // The end may be a reset.
            let _ = stream.read_to_end(&mut received);
            received
        })
    });
    thread::sleep(Duration::from_millis(500));
    router.signal(Signal::SIGTERM);
    assert_eq!(router.wait(), Some(0));
    let mut responses: Vec<Vec<u8>> = readers
        .into_iter()
        .map(|reader| reader.join().expect("the caller ends"))
        .collect();
    let (mut slow, mut received) = (slow, Vec::new());
    let _ = slow.read_to_end(&mut received);
    responses.push(received);
    for response in responses {
        let (body, is_complete) = decode_chunks(&String::from_utf8_lossy(&response));
        assert!(body.contains("id: 1\n"), "{} bytes", response.len());
        assert!(!is_complete, "{} bytes", response.len());
    }
}
