//! Environment of an edge router on loopback: a store, scripted runners and callers.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::command::{TempDir, command, unused_loopback_ip};

/// Time after which [`wait_until`] fails the test.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after which a caller gives up waiting for bytes.
pub const READ_TIMEOUT: Duration = Duration::from_secs(30);

// Ports of a router, below the ephemeral port range of the system. Each router has a
// loopback address of its own.
const CALLER_PORT: u16 = 7301;
const READY_PORT: u16 = 7302;
const DIRECTORY_PORT: u16 = 7303;
const PEER_PORT: u16 = 7304;

/// Reads the head of an HTTP message and the body that `Content-Length` announces;
/// `None` if the connection ends before the message does. A chunked body is left
/// unread.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let head = read_head(stream)?;
    let length = header(&head, "content-length").map_or(0, |text| text.parse().expect("a number"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Reads the head of an HTTP message; `None` if the connection ends before it does.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8(bytes).expect("the head is UTF-8"))
}

/// Returns the value of a header in the head of a message.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.split("\r\n").filter_map(|line| line.split_once(": "));
    let matching = lines
        .into_iter()
        .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name));
    matching.map(|(_, value)| value)
}

#[derive(Clone, Default)]
struct Objects {
    /// Number of times that the store was restored from a copy.
    era: u64,
    revision: u64,
    /// Kind, name, revision of the last write and value of each object; the value is
    /// `None` after a deletion.
    objects: Vec<(String, String, u64, Option<Value>)>,
    unavailable: bool,
    unavailable_kind: Option<String>,
    /// Whether calls get no answer, not even later on, and the number of times that this
    /// began.
    silent: bool,
    silences: usize,
    /// Calls that wrote an object.
    writes: usize,
}

/// Copy of the objects of a [`Store`].
#[derive(Clone)]
pub struct Copy(Objects);

impl Objects {
    /// Creates an object that a POST call names, or replaces the one that a PUT call
    /// names.
    fn write(&mut self, method: Option<&str>, path: &str, body: &[u8]) -> (u16, Value) {
        self.writes += 1;
        let body: Value = serde_json::from_slice(body).expect("a JSON body");
        let (kind, name) = path
            .split_once('/')
            .unwrap_or_else(|| (path, body["metadata"]["name"].as_str().expect("a name")));
        let is_same = |object: &(String, String, u64, Option<Value>)| {
            (object.0.as_str(), object.1.as_str()) == (kind, name)
        };
        let existing = self.objects.iter().position(is_same);
        if let (Some("POST"), Some(index)) = (method, existing) {
            let (_, name, _, value) = &self.objects[index];
            return (409, json!({"metadata": {"name": name}, "spec": value}));
        }
        if let Some(index) = existing {
            self.objects.remove(index);
        }
        self.revision += 1;
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let value = Some(body["spec"].clone());
        self.objects.push((kind, name, self.revision, value));
        (200, json!({}))
    }

    fn is_unavailable(&self, kind: &str) -> bool {
        self.unavailable || self.unavailable_kind.as_deref() == Some(kind)
    }
}

/// Fake store that serves lists and watches of the objects put into it.
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

    /// Writes an object; `None` deletes it.
    pub fn put(&self, kind: &str, name: &str, value: Option<Value>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("no thread panicked");
        state.revision += 1;
        let revision = state.revision;
        state.objects.retain(|(old_kind, old_name, ..)| {
            (old_kind.as_str(), old_name.as_str()) != (kind, name)
        });
        state
            .objects
            .push((kind.to_owned(), name.to_owned(), revision, value));
        changed.notify_all();
    }

    /// Writes a field of an object, if it is there.
    #[allow(dead_code, reason = "used by the soak")]
    pub fn set_field(&self, kind: &str, name: &str, field: &str, field_value: Value) {
        let object = {
            let state = self.state.0.lock().expect("no thread panicked");
            let is_same = |object: &&(String, String, u64, Option<Value>)| {
                (object.0.as_str(), object.1.as_str()) == (kind, name)
            };
            state.objects.iter().find(is_same).cloned()
        };
        if let Some((_, _, _, Some(mut value))) = object {
            value[field] = field_value;
            self.put(kind, name, Some(value));
        }
    }

    /// Returns another handle to the store.
    #[allow(dead_code, reason = "used by the soak")]
    pub fn handle(&self) -> Store {
        Store {
            address: self.address,
            state: self.state.clone(),
        }
    }

    /// Returns a copy of the objects as they are now.
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().expect("no thread panicked").clone())
    }

    /// Restores the objects of an older copy, with the revision that they had, in the
    /// next era.
    pub fn restore(&self, copy: Copy) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("no thread panicked");
        state.era += 1;
        state.revision = copy.0.revision;
        state.objects = copy.0.objects;
        changed.notify_all();
    }

    /// Starts or stops being silent: calls that wait at its start, or that arrive before its
    /// end, are never answered.
    pub fn set_silent(&self, silent: bool) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("no thread panicked");
        state.silent = silent;
        state.silences += usize::from(silent);
        changed.notify_all();
    }

    /// Returns the number of calls that wrote an object.
    pub fn writes(&self) -> usize {
        self.state.0.lock().expect("no thread panicked").writes
    }

    /// Starts or stops responding 503 to every request.
    pub fn set_unavailable(&self, unavailable: bool) {
        let (lock, changed) = &*self.state;
        lock.lock().expect("no thread panicked").unavailable = unavailable;
        changed.notify_all();
    }

    /// Responds 503 to requests for one kind of object; `None` ends that.
    pub fn set_unavailable_for(&self, kind: Option<&str>) {
        let (lock, changed) = &*self.state;
        lock.lock().expect("no thread panicked").unavailable_kind = kind.map(str::to_owned);
        changed.notify_all();
    }
}

fn serve_store(mut stream: TcpStream, shared: &(Mutex<Objects>, Condvar)) {
    let silence = || {
        let state = shared.0.lock().expect("no thread panicked");
        (state.silent, state.silences)
    };
    while let Some((head, written)) = read_message(&mut stream) {
        let arrived = silence();
        let (status, body) = store_response(&head, &written, shared);
        if arrived != (false, silence().1) {
            continue;
        }
        let era = shared.0.lock().expect("no thread panicked").era;
        let text = body.to_string();
        let response = format!(
            "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn store_response(
    head: &str,
    written: &[u8],
    (lock, changed): &(Mutex<Objects>, Condvar),
) -> (u16, Value) {
    let mut words = head.split(' ');
    let (method, target) = (words.next(), words.next().expect("a request target"));
    let path = target.trim_start_matches("/-/objects/");
    let (kind, query) = path.split_once('?').unwrap_or((path, ""));
    let mut state = lock.lock().expect("no thread panicked");
    if state.is_unavailable(kind) {
        return (503, json!({}));
    }
    if method != Some("GET") {
        let response = state.write(method, path, written);
        changed.notify_all();
        return response;
    }
    let query_number = |name: &str| -> Option<u64> {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let matching = pairs.into_iter().find(|(parameter, _)| *parameter == name);
        matching.and_then(|(_, value)| value.parse().ok())
    };
    let object =
        |name: &str, value: &Option<Value>| json!({"metadata": {"name": name}, "spec": value});
    let Some(from) = query_number("watch") else {
        let items: Vec<Value> = state
            .objects
            .iter()
            .filter(|(object_kind, _, _, value)| object_kind == kind && value.is_some())
            .map(|(_, name, _, value)| object(name, value))
            .collect();
        return (
            200,
            json!({"items": items, "has_more": false, "at": state.revision}),
        );
    };
    let deadline = Instant::now() + Duration::from_millis(query_number("wait_ms").unwrap_or(0));
    loop {
        let is_new = |candidate: &&(String, String, u64, Option<Value>)| {
            candidate.0 == kind && candidate.2 > from
        };
        let events: Vec<Value> = state
            .objects
            .iter()
            .filter(is_new)
            .map(|(_, name, _, value)| json!({"object": object(name, value), "deleted": value.is_none()}))
            .collect();
        let remaining = deadline.saturating_duration_since(Instant::now());
        if state.is_unavailable(kind) {
            return (503, json!({}));
        }
        if from > state.revision {
            return (410, json!({}));
        }
        if !events.is_empty() || remaining.is_zero() {
            return (200, json!({"events": events, "at": state.revision}));
        }
        state = changed
            .wait_timeout(state, remaining)
            .expect("no thread panicked")
            .0;
    }
}

/// Returns the store object of a ready runner.
pub fn entry(address: SocketAddr, service: &str, slots: u32) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": "a", "slots": slots,
        "state": "ready", "cold_left_ms": 0, "sequence": 1})
}

/// Route to service `s` with the path prefix `/NAME/`.
pub struct Route {
    name: &'static str,
    kind: &'static str,
    is_public: bool,
    is_resumable: bool,
    timeout_ms: u64,
}

impl Route {
    /// Creates a route with a timeout; the latency target and the longest event gap
    /// are a quarter of it.
    pub fn new(name: &'static str, kind: &'static str, timeout_ms: u64) -> Self {
        Route {
            name,
            kind,
            is_public: false,
            is_resumable: false,
            timeout_ms,
        }
    }

    /// Admits callers without an API key.
    pub fn public(mut self) -> Self {
        self.is_public = true;
        self
    }

    /// Allows streams to resume at another runner.
    pub fn resumable(mut self) -> Self {
        self.is_resumable = true;
        self
    }

    fn object(&self) -> Value {
        json!({"name": self.name, "host": "h", "path_prefix": format!("/{}/", self.name),
            "kind": self.kind, "timeout_ms": self.timeout_ms,
            "slo_ms": self.timeout_ms / 4, "service": "s",
            "max_attempts": 2, "public": self.is_public, "can_resume": self.is_resumable,
            "gap_aim_ms": self.timeout_ms / 4})
    }
}

/// Returns the store object of a manifest with one service and one tenant.
pub fn manifest(version: u64, routes: &[Route], keys: &[&str]) -> Value {
    let routes: Vec<Value> = routes.iter().map(Route::object).collect();
    json!({"version": version, "routes": routes,
        "services": [{"name": "s", "max_conns": 5000}],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 100_000, "header_timeout_ms": 1000,
            "idle_timeout_ms": 15000},
        "tenants": [{"name": "w1", "api_keys": keys}]})
}

/// Fake runner whose responses are scripted by a test.
pub struct Runner {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<String>>>,
    /// Start that the runner names in its report; 0 for none.
    pub born: Arc<AtomicU64>,
    /// Response to a request for the report, in place of one that names `born`.
    pub reply: Arc<Mutex<Option<String>>>,
}

impl Runner {
    /// Starts a runner. `script` writes the response to a request and returns
    /// whether the connection stays open. Requests for the runner's report are answered without
    /// it, and not recorded.
    pub fn start<F>(script: F) -> Self
    where
        F: Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let received: Arc<Mutex<Vec<String>>> = Arc::default();
        let (script, requests) = (Arc::new(script), received.clone());
        let born: Arc<AtomicU64> = Arc::default();
        let reply: Arc<Mutex<Option<String>>> = Arc::default();
        let (named, replied) = (born.clone(), reply.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (script, requests) = (script.clone(), requests.clone());
                let (named, replied) = (named.clone(), replied.clone());
                thread::spawn(move || {
                    while let Some((head, body)) = read_message(&mut stream) {
                        if asks_for_report(&head) {
                            match &*replied.lock().expect("no thread panicked") {
                                // The router may have closed the connection.
                                Some(text) => drop(stream.write_all(text.as_bytes())),
                                None => report(&mut stream, named.load(Ordering::SeqCst)),
                            }
                            continue;
                        }
                        let text = format!("{head}{}", String::from_utf8_lossy(&body));
                        requests.lock().expect("no thread panicked").push(text);
                        if !script(&head, &mut stream) {
                            return;
                        }
                    }
                });
            }
        });
        Runner {
            address,
            received,
            born,
            reply,
        }
    }

    /// Lets the runner name this start in its report.
    #[allow(dead_code, reason = "not used by the soak")]
    pub fn set_born(&self, born: u64) {
        self.born.store(born, Ordering::SeqCst);
    }

    /// Lets the runner answer requests for its report with this response.
    #[allow(dead_code, reason = "not used by the soak")]
    pub fn set_reply(&self, text: &str) {
        *self.reply.lock().expect("no thread panicked") = Some(text.to_owned());
    }

    /// Returns the requests received so far, as text.
    pub fn requests(&self) -> Vec<String> {
        self.received.lock().expect("no thread panicked").clone()
    }
}

/// Returns whether a request asks a runner for its report.
pub fn asks_for_report(head: &str) -> bool {
    head.starts_with("GET /-/report ")
}

/// Start of a runner whose reports come late, and do not name it.
#[allow(dead_code, reason = "not used by the soak")]
pub const LATE: u64 = u64::MAX;

/// Writes a runner's report, with the start that it names; 0 for none.
pub fn report(stream: &mut TcpStream, mut born: u64) {
    if born == LATE {
        thread::sleep(Duration::from_millis(600));
        born = 0;
    }
    let mut value = json!({"stage": "both", "busy": false, "sequence": 1, "queued": 0});
    if born > 0 {
        value["born"] = json!(born);
    }
    let text = value.to_string();
    let head = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n", text.len());
    // The router may have closed the connection.
    let _ = write!(stream, "{head}Content-Type: application/json\r\n\r\n{text}");
}

/// Writes a runner's response: a head with `fields`, then the bytes of `body`.
pub fn respond(stream: &mut TcpStream, request_head: &str, status: u16, fields: &str, body: &str) {
    let id = header(request_head, "x-request-id").unwrap_or("-");
    let text = format!(
        "HTTP/1.1 {status} X\r\nX-Request-Id: {id}\r\nX-Answer-Signature: s\r\n{fields}\r\n{body}"
    );
    // The router may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

/// Writes a 200 response with `Content-Length`; returns true to keep the connection.
pub fn respond_with_body(stream: &mut TcpStream, request_head: &str, body: &str) -> bool {
    let length = format!("Content-Length: {}\r\n", body.len());
    respond(stream, request_head, 200, &length, body);
    true
}

/// Starts a router process that appends to its log file.
fn spawn(settings_file: &str, log_file: &str) -> Child {
    let log = std::fs::File::options().append(true).open(log_file);
    let mut command = command(&["edge", "--settings", settings_file]);
    command
        .env("RUST_LOG", "info")
        .stdout(log.expect("the log can be written"));
    command.spawn().expect("the router starts")
}

/// Limits on the memory and the file descriptors of a router.
struct Resources {
    memory_mb: usize,
    descriptors: usize,
}

impl Default for Resources {
    /// Returns the limits of the example settings in `platform/tests/decode.rs`.
    fn default() -> Self {
        Resources {
            memory_mb: 110,
            descriptors: 4100,
        }
    }
}

/// Edge router process that is killed when dropped.
pub struct Router {
    child: Child,
    started: Instant,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub settings_file: String,
    pub log_file: String,
    // Keeps the settings and log files until the router is dropped.
    _dir: TempDir,
}

impl Router {
    /// Starts a router on a loopback address of its own, with the limits of the example
    /// settings in `platform/tests/decode.rs`.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        Router::start_with(name, "a", store, &[], Resources::default(), "")
    }

    /// Starts a router with these limits on its memory in MB and on its file descriptors.
    #[allow(dead_code, reason = "not used by the soak")]
    pub fn start_with_limits(
        name: &str,
        store: SocketAddr,
        memory_mb: usize,
        descriptors: usize,
    ) -> Self {
        let resources = Resources {
            memory_mb,
            descriptors,
        };
        Router::start_with(name, "a", store, &[], resources, "")
    }

    /// Starts a router with the addresses of other routers as seeds.
    pub fn start_with_seeds(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Router::start_with(name, "a", store, seeds, Resources::default(), "")
    }

    /// Starts a router in a failure domain, with the addresses of other routers as seeds.
    #[allow(dead_code, reason = "used by the soak")]
    pub fn start_in(name: &str, domain: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Router::start_with(name, domain, store, seeds, Resources::default(), "")
    }

    /// Starts a router of a deployment whose operator evacuates failure domains, with the
    /// addresses of other routers as seeds.
    #[allow(dead_code, reason = "not used by the soak")]
    pub fn start_with_evacuations(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Router::start_with(
            name,
            "a",
            store,
            seeds,
            Resources::default(),
            "evac_ms = 5000\n",
        )
    }

    fn start_with(
        name: &str,
        domain: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        resources: Resources,
        more_bounds: &str,
    ) -> Self {
        let ip = unused_loopback_ip();
        let address_at = |port| SocketAddr::new(ip, port);
        let [callers, ready, directory, peers] = [
            address_at(CALLER_PORT),
            address_at(READY_PORT),
            address_at(DIRECTORY_PORT),
            address_at(PEER_PORT),
        ];
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        // The bounds are those of the example settings in `platform/tests/decode.rs`.
        let text = format!(
            "bootstrap = true\nnode_name = \"{name}\"\nzone = \"{domain}\"\nport_range = [{port},{port}]\nseeds = [{seeds}]\n\
             heartbeat_ms = 1200\n[listen]\nfront = \"{callers}\"\nready = \"{ready}\"\ndirectory = \"{directory}\"\n\
             [limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = {descriptors}\n[bounds]\ndrain_ms = 2000\n\
             grace_s = 8\napply_ms = 2000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 54\n\
             quota_window_s = 4\nttl_max_s = 5\n{more_bounds}[provider]\naddress = \"{store}\"\n",
            memory_mb = resources.memory_mb,
            descriptors = resources.descriptors,
            port = peers.port(),
            seeds = seeds.join(","),
        );
        let dir = TempDir::new(&format!("edge-{name}-{ip}"));
        let file = dir.write("settings.toml", &text);
        let log_file = dir.write("log", "");
        let child = spawn(&file, &log_file);
        Router {
            child,
            started: Instant::now(),
            callers,
            ready,
            directory,
            peers,
            settings_file: file,
            log_file,
            _dir: dir,
        }
    }

    /// Waits until the readiness endpoint responds 200.
    pub fn wait_ready(&self) {
        wait_until("the router is ready", || {
            let text = send_raw(
                self.ready,
                "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
            );
            text.starts_with("HTTP/1.1 200")
        });
    }

    /// Returns the log written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).expect("the log can be read")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.pid() as i32);
        nix::sys::signal::kill(pid, signal).expect("the process is running");
    }

    /// Sends a signal unless the process has ended.
    #[allow(dead_code, reason = "used by the soak")]
    pub fn signal_if_running(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.pid() as i32);
        let _ = nix::sys::signal::kill(pid, signal);
    }

    /// Ends the process by a signal, waits for it and starts it again with its settings
    /// and its addresses. A process that was stopped continues first.
    #[allow(dead_code, reason = "used by the soak")]
    pub fn restart(&mut self, signal: nix::sys::signal::Signal) {
        self.signal_if_running(signal);
        self.signal_if_running(nix::sys::signal::Signal::SIGCONT);
        self.wait();
        self.set_bootstrap("bootstrap = false\n");
        self.child = spawn(&self.settings_file, &self.log_file);
        self.started = Instant::now();
    }

    /// Replaces the line of the settings that names whether the fleet starts for the first
    /// time, if it is there.
    pub fn set_bootstrap(&self, line: &str) {
        let text = std::fs::read_to_string(&self.settings_file).expect("settings");
        let text = text.replace("bootstrap = true\n", line);
        std::fs::write(&self.settings_file, text).expect("settings can be written");
    }

    /// Returns the time since the process was started.
    #[allow(dead_code, reason = "used by the soak")]
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits until the process exits and returns the exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child
            .wait()
            .expect("the process can be waited for")
            .code()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls until `condition` holds; fails the test after [`CONDITION_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met in time: {description}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the address accepts connections");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the time is not zero");
    stream
}

/// Sends `text` and returns all bytes received until the connection ends; empty if
/// no connection is made. A reset is recorded as `<reset>` at the end.
pub fn send_raw(address: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return String::new();
    };
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the time is not zero");
    let _ = stream.write_all(text.as_bytes());
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {
            bytes.extend_from_slice(b"<reset>");
        }
        Err(error) => panic!("reading from the connection failed: {error}"),
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
