//! A small world around a router at the edge: a store, scripted runners, and
//! callers, all on loopback.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::command::{Directory, command, machine};

/// Longest time for anything to come true.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Longest silence that a caller bears.
const SILENCE: Duration = Duration::from_secs(30);

/// Ports of a router's machine, below those that the system hands out itself.
const CALLERS: u16 = 7301;
const READY: u16 = 7302;
const DIRECTORY: u16 = 7303;
const PEERS: u16 = 7304;

/// Reads a message's head and, with `Content-Length`, its body; `None` if the
/// connection ends before.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(bytes).expect("heads are text");
    let length = field(&head, "content-length").map_or(0, |text| text.parse().expect("a number"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Returns a field of a head.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.split("\r\n").filter_map(|line| line.split_once(": "));
    let found = lines
        .into_iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value)
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: Vec<(String, String, u64, Option<Value>)>,
    down: bool,
    down_kind: Option<String>,
}

impl Objects {
    fn is_down(&self, kind: &str) -> bool {
        self.down || self.down_kind.as_deref() == Some(kind)
    }
}

/// A store that keeps objects and answers lists and watches.
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state: Arc<(Mutex<Objects>, Condvar)> = Arc::default();
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve_store(stream, &shared));
            }
        });
        Store { address, state }
    }

    /// Writes an object, or removes it without a value.
    pub fn put(&self, kind: &str, name: &str, value: Option<Value>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("no thread panicked");
        state.revision += 1;
        let revision = state.revision;
        state
            .objects
            .retain(|(k, n, ..)| (k.as_str(), n.as_str()) != (kind, name));
        state
            .objects
            .push((kind.to_owned(), name.to_owned(), revision, value));
        changed.notify_all();
    }

    /// Answers 503 to everything from now on, or no longer.
    pub fn set_down(&self, down: bool) {
        let (lock, changed) = &*self.state;
        lock.lock().expect("no thread panicked").down = down;
        changed.notify_all();
    }

    /// Answers 503 to calls about one kind from now on, or no longer.
    pub fn set_down_for(&self, kind: Option<&str>) {
        let (lock, changed) = &*self.state;
        lock.lock().expect("no thread panicked").down_kind = kind.map(str::to_owned);
        changed.notify_all();
    }
}

fn serve_store(mut stream: TcpStream, shared: &(Mutex<Objects>, Condvar)) {
    while let Some((head, _)) = read_message(&mut stream) {
        let (status, body) = answer_store(&head, shared);
        let text = body.to_string();
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer_store(head: &str, (lock, changed): &(Mutex<Objects>, Condvar)) -> (u16, Value) {
    let mut words = head.split(' ');
    let (method, target) = (words.next(), words.next().expect("a target"));
    let path = target.trim_start_matches("/-/objects/");
    let (kind, query) = path.split_once('?').unwrap_or((path, ""));
    let mut state = lock.lock().expect("no thread panicked");
    if state.is_down(kind) {
        return (503, json!({}));
    }
    if method != Some("GET") {
        return (200, json!({}));
    }
    let number = |name: &str| -> Option<u64> {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(n, _)| *n == name);
        found.and_then(|(_, value)| value.parse().ok())
    };
    let object =
        |name: &str, value: &Option<Value>| json!({"metadata": {"name": name}, "spec": value});
    let Some(from) = number("watch") else {
        let items: Vec<Value> = state
            .objects
            .iter()
            .filter(|(k, _, _, value)| k == kind && value.is_some())
            .map(|(_, name, _, value)| object(name, value))
            .collect();
        return (
            200,
            json!({"items": items, "has_more": false, "at": state.revision}),
        );
    };
    let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
    loop {
        let news = |o: &&(String, String, u64, Option<Value>)| o.0 == kind && o.2 > from;
        let events: Vec<Value> = state
            .objects
            .iter()
            .filter(news)
            .map(|(_, name, _, value)| json!({"object": object(name, value), "deleted": value.is_none()}))
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if state.is_down(kind) {
            return (503, json!({}));
        }
        if !events.is_empty() || left.is_zero() {
            return (200, json!({"events": events, "at": state.revision}));
        }
        state = changed
            .wait_timeout(state, left)
            .expect("no thread panicked")
            .0;
    }
}

/// Returns a runner's object in the store.
pub fn entry(address: SocketAddr, service: &str, slots: u32) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": "a", "slots": slots,
        "state": "ready", "cold_left_ms": 0, "sequence": 1})
}

/// A route to service `s` under `/NAME/`.
pub struct Offered {
    name: &'static str,
    kind: &'static str,
    is_public: bool,
    is_resumed: bool,
    longest_ms: u64,
}

impl Offered {
    /// Creates a route whose answers last `longest_ms`, with a quarter of it as aim
    /// and pause.
    pub fn new(name: &'static str, kind: &'static str, longest_ms: u64) -> Self {
        Offered {
            name,
            kind,
            is_public: false,
            is_resumed: false,
            longest_ms,
        }
    }

    /// Lets callers without a key use it.
    pub fn public(mut self) -> Self {
        self.is_public = true;
        self
    }

    /// Lets streams go on at another runner.
    pub fn resumed(mut self) -> Self {
        self.is_resumed = true;
        self
    }

    fn object(&self) -> Value {
        json!({"name": self.name, "host": "h", "path_prefix": format!("/{}/", self.name),
            "kind": self.kind, "timeout_ms": self.longest_ms,
            "slo_ms": self.longest_ms / 4, "service": "s",
            "max_attempts": 2, "public": self.is_public, "can_resume": self.is_resumed,
            "gap_aim_ms": self.longest_ms / 4})
    }
}

/// Returns the manifest's object in the store.
pub fn manifest(version: u64, routes: &[Offered], keys: &[&str]) -> Value {
    let routes: Vec<Value> = routes.iter().map(Offered::object).collect();
    json!({"version": version, "routes": routes,
        "services": [{"name": "s", "max_conns": 5000}],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 100_000, "header_timeout_ms": 1000,
            "idle_timeout_ms": 15000},
        "tenants": [{"name": "w1", "api_keys": keys}]})
}

/// A runner whose answers a test writes by hand.
pub struct Runner {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<String>>>,
}

impl Runner {
    /// Starts a runner; `script` writes the answer to a request and returns
    /// whether the connection goes on.
    pub fn start<F>(script: F) -> Self
    where
        F: Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<String>>> = Arc::default();
        let (script, record) = (Arc::new(script), seen.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (script, record) = (script.clone(), record.clone());
                thread::spawn(move || {
                    while let Some((head, body)) = read_message(&mut stream) {
                        let text = format!("{head}{}", String::from_utf8_lossy(&body));
                        record.lock().expect("no thread panicked").push(text);
                        if !script(&head, &mut stream) {
                            return;
                        }
                    }
                });
            }
        });
        Runner { address, seen }
    }

    /// Returns the requests that reached it.
    pub fn requests(&self) -> Vec<String> {
        self.seen.lock().expect("no thread panicked").clone()
    }
}

/// Writes the head of a runner's answer and `body` after it.
pub fn respond(stream: &mut TcpStream, request: &str, status: u16, fields: &str, body: &str) {
    let id = field(request, "x-request-id").unwrap_or("-");
    let text = format!(
        "HTTP/1.1 {status} X\r\nX-Request-Id: {id}\r\nX-Answer-Signature: s\r\n{fields}\r\n{body}"
    );
    // The router may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

/// Answers with a body of known length.
pub fn respond_whole(stream: &mut TcpStream, request: &str, body: &str) -> bool {
    let length = format!("Content-Length: {}\r\n", body.len());
    respond(stream, request, 200, &length, body);
    true
}

/// A router process, killed when dropped.
pub struct Router {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub settings_file: String,
    pub log_file: String,
    // Holds the files.
    _directory: Directory,
}

impl Router {
    /// Starts a router on a machine of its own.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        Router::start_with(name, store, &[], 4100)
    }

    /// Starts a router that may use only so many descriptors.
    pub fn start_small(name: &str, store: SocketAddr, descriptors: usize) -> Self {
        Router::start_with(name, store, &[], descriptors)
    }

    /// Starts a router that is told of others.
    pub fn start_beside(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Router::start_with(name, store, seeds, 4100)
    }

    fn start_with(name: &str, store: SocketAddr, seeds: &[SocketAddr], descriptors: usize) -> Self {
        let ip = machine();
        let at = |port| SocketAddr::new(ip, port);
        let [callers, ready, directory, peers] = [at(CALLERS), at(READY), at(DIRECTORY), at(PEERS)];
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node_name = \"{name}\"\nzone = \"a\"\nport_range = [{port},{port}]\nseeds = [{seeds}]\n\
             heartbeat_ms = 1200\n[listen]\nfront = \"{callers}\"\nready = \"{ready}\"\ndirectory = \"{directory}\"\n\
             [limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = 110\nmax_fds = {descriptors}\n[bounds]\ndrain_ms = 2000\n\
             grace_s = 8\napply_ms = 2000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 54\n\
             quota_window_s = 4\nttl_max_s = 5\n[provider]\naddress = \"{store}\"\n",
            port = peers.port(),
            seeds = seeds.join(","),
        );
        let folder = Directory::new(&format!("edge-{name}-{ip}"));
        let file = folder.file("settings.toml", &text);
        let log_file = folder.file("log", "");
        let writer = std::fs::File::create(&log_file).expect("the log can be written");
        let mut command = command(&["edge", "--settings", &file]);
        command.env("RUST_LOG", "info").stdout(writer);
        let child = command.spawn().expect("the router starts");
        Router {
            child,
            callers,
            ready,
            directory,
            peers,
            settings_file: file,
            log_file,
            _directory: folder,
        }
    }

    /// Waits until it says that it takes requests.
    pub fn wait_ready(&self) {
        eventually("the router is ready", || {
            let text = ask(
                self.ready,
                "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
            );
            text.starts_with("HTTP/1.1 200")
        });
    }

    /// Returns what it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).expect("the log can be read")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.pid() as i32);
        nix::sys::signal::kill(pid, signal).expect("it runs");
    }

    /// Waits for its end; returns the exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("it can be waited for").code()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits for a condition.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("somebody listens");
    stream
        .set_read_timeout(Some(SILENCE))
        .expect("the time is not zero");
    stream
}

/// Sends `text` and returns all bytes until the connection ends; empty if there
/// is no connection.
pub fn ask(address: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return String::new();
    };
    stream
        .set_read_timeout(Some(SILENCE))
        .expect("the time is not zero");
    let _ = stream.write_all(text.as_bytes());
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {
            bytes.extend_from_slice(b"<reset>");
        }
        Err(error) => panic!("the connection fails: {error}"),
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
