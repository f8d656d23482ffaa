//! The router at the edge: memory of open streams, time that it adds to an
//! event, and requests a second through it beside a forwarder of `tiny_http` and
//! `ureq`, with everything on loopback.
//!
//! Ends with status 1 if a stream costs more than [`MAX_STREAM_BYTES`].

#[path = "../tests/all/command.rs"]
#[allow(dead_code)]
mod command;
#[path = "../tests/all/edge/world.rs"]
#[allow(dead_code)]
mod world;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use criterion::Criterion;
use world::{Offered, Router, Runner, Store, connect, read_message, respond, respond_whole};

/// Open streams at which memory and time are measured.
const STREAMS: [usize; 3] = [50, 200, 700];

/// Memory of one open stream at most, from the goal of the platform issue.
const MAX_STREAM_BYTES: u64 = 16 * 1024;

/// Time over which requests are counted.
const LOAD_TIME: Duration = Duration::from_secs(3);

/// Connections that send requests at once, and threads of the forwarder.
const LOAD_CONNECTIONS: usize = 16;

/// Longest time of a stream in ms: longer than all events are timed.
const LONGEST_MS: u64 = 600_000;

/// Size of a page of memory in bytes.
const PAGE_BYTES: u64 = 4096;

const EVENT: &[u8] = b"1b\r\nid: 1\ndata: some tokens..\n\n\r\n";

fn request(path: &str, id: usize) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{id}\r\nX-Deadline-Ms: {LONGEST_MS}\r\n\r\n"
    )
}

fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).expect("the process runs");
    let pages = text.split(' ').nth(1).expect("the second field");
    pages.parse::<u64>().expect("a number") * PAGE_BYTES
}

/// Starts a router before one runner.
fn start(store: &Store, runner: &Runner) -> Router {
    let entry = world::entry(runner.address, "s", 5000);
    store.put("servers", "i-1", Some(entry));
    let router = Router::start("bench", store.address);
    router.wait_ready();
    router
}

/// Streams that are open through a router.
struct Streams {
    _router: Router,
    callers: Vec<TcpStream>,
    runners: Arc<Mutex<Vec<TcpStream>>>,
    /// Memory that they added to the router, in bytes for each.
    memory: u64,
    next: usize,
}

impl Streams {
    fn open(store: &Store, count: usize) -> Self {
        let runners: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let kept = runners.clone();
        let runner = Runner::start(move |head, stream| {
            let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            respond(stream, head, 200, fields, "");
            stream.set_nodelay(true).expect("the socket is open");
            let end = stream.try_clone().expect("descriptors are left");
            kept.lock().expect("no thread panicked").push(end);
            // The stream stays open for as long as the bench runs: it ends with
            // this thread.
            thread::sleep(Duration::from_millis(LONGEST_MS));
            false
        });
        let router = start(store, &runner);
        let before = resident(router.pid());
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
        let mut streams = Streams {
            callers,
            runners,
            memory: 0,
            next: 0,
            _router: router,
        };
        for _ in 0..count {
            streams.pass();
        }
        let grown = resident(streams._router.pid()).saturating_sub(before);
        streams.memory = grown / count as u64;
        streams
    }

    /// Passes an event through the next stream.
    fn pass(&mut self) {
        let at = self.next % self.callers.len();
        self.next += 1;
        let mut runners = self.runners.lock().expect("no thread panicked");
        runners[at].write_all(EVENT).expect("the router reads");
        let mut buffer = [0; 1024];
        loop {
            let length = self.callers[at].read(&mut buffer).expect("the event comes");
            if buffer[..length].ends_with(b"\n\r\n") {
                return;
            }
        }
    }
}

/// Returns the requests a second that are answered at `address`.
fn load(address: SocketAddr) -> f64 {
    let until = Instant::now() + LOAD_TIME;
    let threads: Vec<_> = (0..LOAD_CONNECTIONS)
        .map(|id| {
            thread::spawn(move || {
                let mut caller = connect(address);
                let mut answered = 0_u32;
                while Instant::now() < until {
                    let text = request("/open/x", id);
                    caller.write_all(text.as_bytes()).expect("it is read");
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

/// Starts a forwarder of the libraries that the own interface is built on.
fn forwarder(runner: SocketAddr) -> SocketAddr {
    let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").expect("a free port"));
    let address = server.server_addr().to_ip().expect("an address");
    let agent = ureq::Agent::new_with_defaults();
    for _ in 0..LOAD_CONNECTIONS {
        let (server, agent) = (server.clone(), agent.clone());
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                let id = request.headers().iter();
                let id = id.into_iter().find(|h| h.field.equiv("X-Request-Id"));
                let id = id.map_or("", |header| header.value.as_str());
                let call = agent.get(format!("http://{runner}{}", request.url()));
                let mut answer = call.header("X-Request-Id", id).call().expect("an answer");
                let body = answer.body_mut().read_to_string().expect("a whole body");
                let response = tiny_http::Response::from_string(body);
                // A caller that has all it wants is gone.
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
        Offered::new("stream", "stream", LONGEST_MS).public(),
        Offered::new("open", "idempotent", LONGEST_MS).public(),
    ];
    store.put("config", "main", Some(world::manifest(1, &routes, &[])));
    let mut holds = true;
    for count in STREAMS {
        let mut streams = Streams::open(&store, count);
        let name = format!("event to caller, {count} streams");
        criterion.bench_function(&name, |bencher| bencher.iter(|| streams.pass()));
        println!("{count} streams: {} bytes a stream", streams.memory);
        holds &= streams.memory <= MAX_STREAM_BYTES;
    }
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let router = start(&store, &runner);
    let (own, reference) = (load(router.callers), load(forwarder(runner.address)));
    println!(
        "{own:.0} requests a second over {LOAD_CONNECTIONS} connections, {reference:.0} through tiny_http and ureq"
    );
    match holds {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
