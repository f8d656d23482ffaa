//! Streams of the resumable route: runners that begin and continue them, fleets that serve them,
//! and their callers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_standin::link::Link;
use serde_json::json;

use super::environment::{
    READ_TIMEOUT, Runner, Store, connect, header, respond, send_raw, wait_until,
};
use super::{EVENT_STREAM_FIELDS, Router, entry, manifest};

/// Time in which routers tell each other of a stream.
pub const SPREAD_TIME: Duration = Duration::from_millis(600);

/// Start that the entries of a [`Fleet`] name.
pub const LISTED: u64 = 1;

/// Time in which streams must begin at the only runner, whatever its process.
pub const BEGIN_LIMIT: Duration = Duration::from_secs(8);

/// Encodes the events `from` to `to` with `data` as HTTP chunks, without the final chunk.
pub fn events_with(data: &str, from: u64, to: u64) -> String {
    let events = (from..=to).map(|id| format!("id: {id}\ndata: {data}\n\n"));
    events
        .map(|event| format!("{:x}\r\n{event}\r\n", event.len()))
        .collect()
}

/// Runner that begins streams with two events, which break off once `breaks` is set, and
/// continues others to their fifth event. It answers requests with an id that begins with `whole`
/// at once, and keeps the connection. The data of its events is `name`.
pub fn runner(name: &'static str, breaks: &Arc<AtomicBool>) -> Runner {
    let breaks = breaks.clone();
    Runner::start(move |head: &str, stream: &mut TcpStream| {
        if header(head, "last-event-id").is_some() {
            let body = format!("{}0\r\n\r\n", events_with(name, 3, 5));
            respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
            return true;
        }
        if header(head, "x-request-id").is_some_and(|id| id.starts_with("whole")) {
            let body = format!("{}0\r\n\r\n", events_with(name, 1, 5));
            let fields = format!("Keep-Alive: timeout=8\r\n{EVENT_STREAM_FIELDS}");
            respond(stream, head, 200, &fields, &body);
            return true;
        }
        let body = events_with(name, 1, 2);
        respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
        wait_until("the stream breaks", || breaks.load(Ordering::SeqCst));
        false
    })
}

/// Writes the entry of a runner's process.
pub fn list(store: &Store, name: &str, runner: &Runner, version: &str, started_at: u64) {
    let mut value = entry(runner.address, "s").expect("an entry");
    value["version"] = json!(version);
    value["born"] = json!(started_at);
    store.put("servers", name, Some(value));
}

/// Two routers, and runners that are listed at version `v1`.
pub struct Fleet {
    pub store: Store,
    /// Connections of the second router to the store.
    pub link: Link,
    pub routers: Vec<Router>,
    pub runners: Vec<(&'static str, Runner)>,
    /// Whether streams break off after their second event.
    pub breaks: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts the routers, and runners whose processes name these starts.
    pub fn start(starts: &[(&'static str, u64)]) -> Self {
        let store = Store::start();
        store.put("config", "main", manifest(1, &["k1"]));
        let link = Link::start(([127, 0, 0, 1], 0).into(), store.address);
        let mut fleet = Fleet {
            store,
            link: link.expect("the link starts"),
            routers: Vec::new(),
            runners: Vec::new(),
            breaks: Arc::default(),
        };
        for (name, start) in starts {
            fleet.add(name, *start);
        }
        let first = Router::start("r0", fleet.store.address);
        let second = Router::start_with_seeds("r1", fleet.link.address(), &[first.peers]);
        fleet.routers = vec![first, second];
        for router in &fleet.routers {
            router.wait_ready();
        }
        fleet
    }

    /// Adds a runner, whose process names this start, and waits until it is listed.
    pub fn add(&mut self, name: &'static str, start: u64) {
        let runner = runner(name, &self.breaks);
        runner.set_born(start);
        list(&self.store, name, &runner, "v1", LISTED);
        self.runners.push((name, runner));
        self.wait_logged(&format!("event=runner_listed runner={name} "));
    }

    /// Waits until the logs of all routers contain a text.
    pub fn wait_logged(&self, text: &str) {
        let is_logged = |router: &Router| router.log().contains(text);
        wait_until(text, || self.routers.iter().all(is_logged));
    }
}

pub fn request(id: &str, fields: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Authorization: Token k1\r\nConnection: close\r\n{fields}Content-Length: 0\r\n\r\n"
    )
}

/// Requests a stream and returns its connection with the response up to the second event, or
/// less of it if it ends or `time` passes before.
pub fn try_begin(router: &Router, id: &str, time: Duration) -> (TcpStream, String) {
    let deadline = Instant::now() + time;
    let mut caller = connect(router.callers);
    let text = request(id, "");
    caller.write_all(text.as_bytes()).expect("a request");
    let mut response = String::new();
    while !response.contains("id: 2\n") {
        let remaining = deadline.saturating_duration_since(Instant::now());
        // A timeout of zero is an error.
        let remaining = remaining.max(Duration::from_millis(1));
        caller.set_read_timeout(Some(remaining)).expect("a timeout");
        let mut bytes = [0; 512];
        match caller.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(length) => response.push_str(&String::from_utf8_lossy(&bytes[..length])),
        }
    }
    let timeout = Some(READ_TIMEOUT);
    caller.set_read_timeout(timeout).expect("a timeout");
    (caller, response)
}

/// Begins a stream and returns its connection with the response up to the second event.
pub fn begin(router: &Router, id: &str) -> (TcpStream, String) {
    let (caller, response) = try_begin(router, id, READ_TIMEOUT);
    assert!(response.contains("id: 2\n"), "{response}");
    (caller, response)
}

/// Begins a stream, again each 300 ms after a refusal. Fails the test if `time` passes before.
pub fn begin_by_retries(router: &Router, id: &str, time: Duration) -> (TcpStream, String) {
    let deadline = Instant::now() + time;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let (caller, response) = try_begin(router, id, remaining);
        if response.contains("id: 2\n") {
            return (caller, response);
        }
        assert_refused(&response);
        thread::sleep(Duration::from_millis(300));
    }
}

pub fn assert_refused(response: &str) {
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
    assert!(header(response, "retry-after").is_some(), "{response}");
}

/// Takes a stream up shortly after it began, as a caller that names only its last event.
pub fn take_up(router: &Router, id: &str) -> String {
    let request = request(id, "Last-Event-Id: 2\r\n");
    let request = request.replace("Deadline-Ms: 8000", "Deadline-Ms: 7000");
    send_raw(router.callers, &request)
}
