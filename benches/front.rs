//! Edge router on loopback: memory of open streams, latency of an event from runner to
//! caller, and requests per second compared with a forwarder built from `tiny_http` and
//! `ureq`.
//!
//! Exits with status 1 if a stream takes more than [`MAX_STREAM_BYTES`].

#[path = "../tests/all/command.rs"]
#[allow(dead_code)]
mod command;
#[path = "../tests/all/edge/environment.rs"]
#[allow(dead_code)]
mod environment;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use criterion::Criterion;
use environment::{
    Route, Router, Runner, Store, connect, read_message, respond, respond_with_body,
};

/// Numbers of open streams at which memory and latency are measured.
const STREAMS: [usize; 3] = [50, 200, 700];

/// Upper bound for the memory of one open stream, a goal of the users' platform.
const MAX_STREAM_BYTES: u64 = 16 * 1024;

/// Duration over which completed requests are counted.
const LOAD_DURATION: Duration = Duration::from_secs(3);

/// Number of concurrent connections in the load, and of threads of the forwarder.
const LOAD_CONNECTIONS: usize = 16;

/// Timeout of the routes; longer than the measurements, so that streams stay open.
const ROUTE_TIMEOUT_MS: u64 = 600_000;

/// Size of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;

/// Returns a chunk with the event of this id. Ids have to rise within a stream.
fn event(id: usize) -> Vec<u8> {
    let event = format!("id: {id}\ndata: some tokens..\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

fn request(path: &str, id: usize) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{id}\r\nX-Deadline-Ms: {ROUTE_TIMEOUT_MS}\r\n\r\n"
    )
}

fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).expect("the process runs");
    let pages = text.split(' ').nth(1).expect("the second field");
    pages.parse::<u64>().expect("a number") * PAGE_BYTES
}

/// Starts a router with one runner, which has more slots than the bench opens streams.
fn start_router(store: &Store, runner: &Runner) -> Router {
    let entry = environment::entry(runner.address, "s", 5000);
    store.put("servers", "i-1", Some(entry));
    let router = Router::start("bench", store.address);
    router.wait_ready();
    router
}

/// Open event streams from a runner through a router to callers.
struct Streams {
    _router: Router,
    caller_connections: Vec<TcpStream>,
    runner_connections: Arc<Mutex<Vec<TcpStream>>>,
    /// Growth of the resident memory of the router per open stream.
    stream_bytes: u64,
    /// Number of events passed so far, which selects the next stream.
    next: usize,
}

impl Streams {
    fn open(store: &Store, count: usize) -> Self {
        let runner_connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let accepted_connections = runner_connections.clone();
        let runner = Runner::start(move |head, stream| {
            let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            respond(stream, head, 200, fields, "");
            stream.set_nodelay(true).expect("the socket is open");
            let connection = stream.try_clone().expect("a descriptor is available");
            accepted_connections
                .lock()
                .expect("no thread panicked")
                .push(connection);
            // Returning closes the stream, so the thread sleeps for longer than the
            // bench runs.
            thread::sleep(Duration::from_millis(ROUTE_TIMEOUT_MS));
            false
        });
        let router = start_router(store, &runner);
        let bytes_before = resident_bytes(router.pid());
        let mut caller_connections = Vec::new();
        for id in 0..count {
            let mut caller = connect(router.callers);
            let text = request("/stream/x", id);
            caller.write_all(text.as_bytes()).expect("the router reads");
            caller_connections.push(caller);
            environment::wait_until("the stream is open", || {
                runner_connections.lock().expect("no thread panicked").len() > id
            });
        }
        let mut streams = Streams {
            caller_connections,
            runner_connections,
            stream_bytes: 0,
            next: 0,
            _router: router,
        };
        // One event through each stream, so that the buffers of an active stream are
        // counted.
        for _ in 0..count {
            streams.pass_event();
        }
        let grown_bytes = resident_bytes(streams._router.pid()).saturating_sub(bytes_before);
        streams.stream_bytes = grown_bytes / count as u64;
        streams
    }

    /// Sends an event through the next stream and waits until the caller has it.
    fn pass_event(&mut self) {
        let index = self.next % self.caller_connections.len();
        self.next += 1;
        let mut runner_connections = self.runner_connections.lock().expect("no thread panicked");
        runner_connections[index]
            .write_all(&event(self.next))
            .expect("the router reads");
        let mut buffer = [0; 1024];
        loop {
            let length = self.caller_connections[index]
                .read(&mut buffer)
                .expect("the event arrives");
            // The blank line of the event, then the line end of the chunk.
            if buffer[..length].ends_with(b"\n\r\n") {
                return;
            }
        }
    }
}

/// Returns the requests per second that the server at `address` completes under load.
fn requests_per_second(address: SocketAddr) -> f64 {
    let deadline = Instant::now() + LOAD_DURATION;
    let threads: Vec<_> = (0..LOAD_CONNECTIONS)
        .map(|id| {
            thread::spawn(move || {
                let mut caller = connect(address);
                let mut completed = 0_u32;
                while Instant::now() < deadline {
                    let text = request("/open/x", id);
                    caller
                        .write_all(text.as_bytes())
                        .expect("the request is sent");
                    let (head, _) = read_message(&mut caller).expect("a response");
                    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
                    completed += 1;
                }
                completed
            })
        })
        .collect();
    let completed: u32 = threads
        .into_iter()
        .map(|thread| thread.join().expect("the caller ends"))
        .sum();
    f64::from(completed) / LOAD_DURATION.as_secs_f64()
}

/// Starts the forwarder of the comparison, built from the HTTP libraries of the native
/// interface.
fn start_forwarder(runner: SocketAddr) -> SocketAddr {
    let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").expect("a free port"));
    let address = server.server_addr().to_ip().expect("an address");
    let agent = ureq::Agent::new_with_defaults();
    for _ in 0..LOAD_CONNECTIONS {
        let (server, agent) = (server.clone(), agent.clone());
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                let id = request.headers().iter();
                let id = id
                    .into_iter()
                    .find(|header| header.field.equiv("X-Request-Id"));
                let id = id.map_or("", |header| header.value.as_str());
                let call = agent.get(format!("http://{runner}{}", request.url()));
                let mut response = call.header("X-Request-Id", id).call().expect("a response");
                let body = response
                    .body_mut()
                    .read_to_string()
                    .expect("a complete body");
                let response = tiny_http::Response::from_string(body);
                // The caller may have closed the connection.
                let _ = request.respond(response);
            }
        });
    }
    address
}

fn main() -> ExitCode {
    let mut criterion = Criterion::default().configure_from_args();
    let store = Store::start();
    let routes = [
        Route::new("stream", "stream", ROUTE_TIMEOUT_MS).public(),
        Route::new("open", "idempotent", ROUTE_TIMEOUT_MS).public(),
    ];
    store.put(
        "config",
        "main",
        Some(environment::manifest(1, &routes, &[])),
    );
    let mut is_within_bound = true;
    for count in STREAMS {
        let mut streams = Streams::open(&store, count);
        let name = format!("event to caller, {count} streams");
        criterion.bench_function(&name, |bencher| bencher.iter(|| streams.pass_event()));
        println!("{count} streams: {} bytes a stream", streams.stream_bytes);
        is_within_bound &= streams.stream_bytes <= MAX_STREAM_BYTES;
    }
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let router = start_router(&store, &runner);
    let (router_rate, forwarder_rate) = (
        requests_per_second(router.callers),
        requests_per_second(start_forwarder(runner.address)),
    );
    println!(
        "{router_rate:.0} requests a second over {LOAD_CONNECTIONS} connections, {forwarder_rate:.0} through tiny_http and ureq"
    );
    match is_within_bound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
