//! The router at the edge: memory of open streams, time that it adds to an
//! event, and requests a second through it, with everything on loopback.
//!
//! Ends with status 1 if a stream costs more than [`MAX_STREAM_BYTES`].

#[path = "../tests/all/command.rs"]
#[allow(dead_code)]
mod command;
#[path = "../tests/all/edge/world.rs"]
#[allow(dead_code)]
mod world;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use world::{Router, Runner, Store, connect, read_message, respond, respond_whole};

/// Open streams at which memory and time are measured.
const STREAMS: [usize; 3] = [50, 200, 700];

/// Memory of one open stream at most, from the goal of the platform issue.
const MAX_STREAM_BYTES: u64 = 16 * 1024;

/// Events timed at each number of streams.
const EVENTS: usize = 2000;

/// Time over which requests are counted.
const LOAD_TIME: Duration = Duration::from_secs(3);

/// Connections that send requests at once.
const LOAD_CONNECTIONS: usize = 16;

/// Size of a page of memory in bytes.
const PAGE_BYTES: u64 = 4096;

const EVENT: &[u8] = b"1b\r\nid: 1\ndata: some tokens..\n\n\r\n";

fn entry(runner: &Runner) -> Option<serde_json::Value> {
    Some(
        json!({"service": "s", "address": runner.address.to_string(), "zone": "a",
        "slots": 5000, "state": "ready", "cold_left_ms": 0, "sequence": 1}),
    )
}

fn manifest() -> Option<serde_json::Value> {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "h", "path_prefix": prefix, "kind": kind, "timeout_ms": 600_000,
            "slo_ms": 60_000, "service": "s", "max_attempts": 1, "public": true, "gap_aim_ms": 60_000})
    };
    Some(
        json!({"version": 1, "services": [{"name": "s", "max_conns": 5000}],
        "routes": [route("stream", "/stream/", "stream"), route("safe", "/safe/", "non_idempotent")],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 100_000, "header_timeout_ms": 1000,
            "idle_timeout_ms": 600_000}}),
    )
}

fn request(path: &str, id: usize) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{id}\r\nX-Deadline-Ms: 600000\r\n\r\n"
    )
}

fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).expect("the process runs");
    let pages = text.split(' ').nth(1).expect("the second field");
    pages.parse::<u64>().expect("a number") * PAGE_BYTES
}

/// Opens streams and returns both ends of each.
fn open(router: &Router, runners: &Mutex<Vec<TcpStream>>, count: usize) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for id in 0..count {
        let mut caller = connect(router.callers);
        let text = request("/stream/x", id);
        caller.write_all(text.as_bytes()).expect("the router reads");
        callers.push(caller);
        world::eventually("the stream is open", || {
            runners.lock().expect("no thread panicked").len() > id
        });
    }
    callers
}

fn streams(store: &Store, count: usize) -> (u64, Duration, Duration) {
    let ends: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let kept = ends.clone();
    let runner = Runner::start(move |head, stream| {
        let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        respond(stream, head, 200, fields, "");
        stream.set_nodelay(true).expect("the socket is open");
        let end = stream.try_clone().expect("descriptors are left");
        kept.lock().expect("no thread panicked").push(end);
        thread::sleep(Duration::from_secs(600));
        false
    });
    store.put("servers", "i-1", entry(&runner));
    let router = Router::start("bench", store.address);
    router.wait_ready();
    let before = resident(router.pid());
    let mut callers = open(&router, &ends, count);
    let mut times = Vec::new();
    let mut ends = ends.lock().expect("no thread panicked");
    let mut buffer = [0; 1024];
    for turn in 0..EVENTS + count {
        let at = turn % count;
        let begin = Instant::now();
        ends[at].write_all(EVENT).expect("the router reads");
        loop {
            let length = callers[at].read(&mut buffer).expect("the event comes");
            if buffer[..length].ends_with(b"\n\r\n") {
                break;
            }
        }
        if turn >= count {
            times.push(begin.elapsed());
        }
    }
    times.sort();
    let grown = resident(router.pid()).saturating_sub(before);
    (
        grown / count as u64,
        times[times.len() / 2],
        times[times.len() * 99 / 100],
    )
}

fn requests(store: &Store) -> f64 {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    store.put("servers", "i-1", entry(&runner));
    let router = Router::start("bench", store.address);
    router.wait_ready();
    let callers = router.callers;
    let until = Instant::now() + LOAD_TIME;
    let threads: Vec<_> = (0..LOAD_CONNECTIONS)
        .map(|id| {
            thread::spawn(move || {
                let mut caller = connect(callers);
                let mut answered = 0_u32;
                while Instant::now() < until {
                    let text = request("/safe/x", id);
                    caller.write_all(text.as_bytes()).expect("the router reads");
                    let (head, _) = read_message(&mut caller).expect("an answer");
                    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
                    answered += 1;
                }
                answered
            })
        })
        .collect();
    let answered: u32 = threads
        .into_iter()
        .map(|thread| thread.join().expect("the caller ends"))
        .sum();
    f64::from(answered) / LOAD_TIME.as_secs_f64()
}

fn main() -> ExitCode {
    let store = Store::start();
    store.put("config", "main", manifest());
    let mut holds = true;
    for count in STREAMS {
        let (memory, median, worst) = streams(&store, count);
        holds &= memory <= MAX_STREAM_BYTES;
        println!(
            "{count} streams: {memory} bytes a stream, event to caller {} us median, {} us p99",
            median.as_micros(),
            worst.as_micros()
        );
    }
    println!(
        "{:.0} requests a second over {LOAD_CONNECTIONS} connections",
        requests(&store)
    );
    match holds {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
