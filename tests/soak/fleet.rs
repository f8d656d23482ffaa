//! Routers, runners and the store of a run, and the faults that are injected into them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use balsamchute_standin::link::Link;
use nix::sys::signal::Signal;
use rand::{Rng, RngExt};
use serde_json::{Value, json};

use crate::Options;
use crate::environment::{self, Copy, Route, Router, Runner, Store, header, respond};
use crate::judge::Judge;
use crate::plan::{Fault, RUNNERS};

/// Events of a stream.
pub const STREAM_EVENTS: u64 = 8;

/// Software versions that serve side by side.
pub const VERSIONS: usize = 2;

/// Copies of the store that are kept, one for each change.
const MAX_COPIES: usize = 6;

/// Longest time that a planned stop may take: the grace period of the settings.
const GRACE_TIME: Duration = Duration::from_secs(8);

/// Time for which a kill or a stop counts as a fault: until the router serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Time within which a process that starts has set its signal handlers, also on a busy
/// machine.
const HANDLER_TIME: Duration = Duration::from_millis(500);

/// Time after which a runner that crashed is back.
const CRASH_TIME: Duration = Duration::from_millis(1500);

/// Sound prompt parts besides the one that crashes runners.
const SOUND_PARTS: u64 = 10;

/// Number of the prompt part that crashes runners; 0 while there is none.
static BAD_PART: AtomicU64 = AtomicU64::new(0);

/// Number of the API key that callers use.
static KEY: AtomicU64 = AtomicU64::new(1);

/// Returns the API key in force.
pub fn current_key() -> String {
    format!("k{}", KEY.load(Ordering::SeqCst))
}

/// Returns an API key that is or was in force.
pub fn some_key(random: &mut impl Rng) -> String {
    let newest = KEY.load(Ordering::SeqCst);
    format!("k{}", random.random_range(1..=newest))
}

/// Returns the second part of a request's prompt: the one that crashes runners for one
/// request in eight.
pub fn part_of(id: &str) -> u64 {
    match BAD_PART.load(Ordering::SeqCst) {
        bad @ 1.. if digest(id).is_multiple_of(8) => 1000 + bad,
        _ => digest(id) / 8 % SOUND_PARTS,
    }
}

/// Returns the whole answer to a plain request; its length varies with the id.
pub fn body_of(id: &str) -> String {
    let padding = digest(id) % 3000;
    format!("answer to {id} {}", "x".repeat(padding as usize))
}

/// Returns an event of the answer to a stream by a runner with this software version.
pub fn event_of(id: &str, event: u64, version: usize) -> String {
    format!("id: {event}\ndata: {id} {event} v{version}\n\n")
}

/// FNV-1a, for choices that depend on the request alone.
pub fn digest(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

struct Server {
    name: String,
    runner: Runner,
    // Also used by the runner itself, to crash.
    link: Arc<OnceLock<Arc<Link>>>,
    // Start of the runner's life in milliseconds since the Unix epoch; 0 for the first.
    born: Arc<AtomicU64>,
    is_leaving: Arc<AtomicBool>,
    // Requests per second that the runner names in its answers; 0 for none.
    limit: Arc<AtomicU64>,
    version: usize,
}

impl Server {
    fn link(&self) -> &Arc<Link> {
        self.link.get().expect("the link is set")
    }

    fn entry(&self) -> Value {
        let mut entry = environment::entry(self.link().address(), "s", 16);
        entry["born"] = json!(self.born.load(Ordering::SeqCst));
        entry["version"] = json!(format!("v{}", self.version));
        entry
    }
}

/// Everything that a run starts.
pub struct Fleet {
    store: Store,
    store_links: Vec<Arc<Link>>,
    routers: Vec<Arc<Mutex<Router>>>,
    addresses: Vec<SocketAddr>,
    servers: BTreeMap<usize, Server>,
    // Number of the next runner, and the place of each in `servers`.
    next_runner: usize,
    places: Vec<usize>,
    manifest_version: u64,
    copies: Vec<Copy>,
    pending: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts the store, the runners and the routers, and waits until they serve.
    pub fn start(options: &Options, judge: &Judge) -> Self {
        let store = Store::start();
        let mut fleet = Fleet {
            store,
            store_links: Vec::new(),
            routers: Vec::new(),
            addresses: Vec::new(),
            servers: BTreeMap::new(),
            next_runner: 0,
            places: Vec::new(),
            manifest_version: 0,
            copies: Vec::new(),
            pending: Vec::new(),
        };
        fleet.put_manifest();
        for _ in 0..RUNNERS {
            let number = fleet.start_runner(judge);
            fleet.places.push(number);
        }
        for index in 0..options.routers {
            let link = Link::start(([127, 0, 0, 1], 0).into(), fleet.store.address);
            let link = Arc::new(link.expect("the link starts"));
            let seeds: Vec<SocketAddr> = fleet.addresses.iter().take(2).copied().collect();
            let router = Router::start_with_seeds(&format!("soak-{index}"), link.address(), &seeds);
            fleet.addresses.push(router.callers);
            fleet.store_links.push(link);
            fleet.routers.push(Arc::new(Mutex::new(router)));
        }
        for router in &fleet.routers {
            router.lock().expect("no thread panicked").wait_ready();
        }
        fleet
    }

    /// Returns the addresses of the routers for callers.
    pub fn router_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.clone()
    }

    fn put_manifest(&mut self) {
        self.manifest_version += 1;
        let routes = [
            Route::new("stream", "stream", 4000).resumable(),
            Route::new("once", "non_idempotent", 4000),
            Route::new("safe", "idempotent", 4000),
        ];
        let key = current_key();
        let manifest = environment::manifest(self.manifest_version, &routes, &[&key]);
        self.keep_copy();
        self.store.put("config", "main", Some(manifest));
    }

    fn keep_copy(&mut self) {
        self.copies.push(self.store.copy());
        if self.copies.len() > MAX_COPIES {
            self.copies.remove(0);
        }
    }

    fn start_runner(&mut self, judge: &Judge) -> usize {
        let number = self.next_runner;
        self.next_runner += 1;
        let version = number % VERSIONS;
        let is_leaving = Arc::new(AtomicBool::new(false));
        let limit: Arc<AtomicU64> = Arc::default();
        let (judge, leaving, own_limit) = (judge.clone(), is_leaving.clone(), limit.clone());
        let link: Arc<OnceLock<Arc<Link>>> = Arc::default();
        let born: Arc<AtomicU64> = Arc::default();
        let (own_link, own_born, store) = (link.clone(), born.clone(), self.store.handle());
        let runner = Runner::start(move |head, stream| {
            if let Some(part) = bad_part(head) {
                judge.record_crashing(part);
                let link = own_link.get().expect("the link is set").clone();
                crash(number, link, own_born.clone(), store.handle());
                return false;
            }
            let mut notices = String::new();
            if leaving.load(Ordering::SeqCst) {
                notices.push_str("Server-Leaving: 1\r\n");
            }
            match own_limit.load(Ordering::SeqCst) {
                0 => {}
                limit => notices.push_str(&format!("Server-Limit: {limit}.0\r\n")),
            }
            serve(number, head, stream, &judge, &notices)
        });
        let started = Link::start(([127, 0, 0, 1], 0).into(), runner.address);
        let started = Arc::new(started.expect("the link starts"));
        link.set(started).ok().expect("the link is set once");
        let server = Server {
            name: format!("i-{number}"),
            runner,
            link,
            born,
            is_leaving,
            limit,
            version,
        };
        self.keep_copy();
        self.store
            .put("servers", &server.name, Some(server.entry()));
        self.servers.insert(number, server);
        number
    }

    /// Begins a fault or carries out a change. A fault with a length ends by itself.
    pub fn apply(&mut self, fault: &Fault, judge: &Judge) {
        match fault {
            Fault::KillRouter(index) => self.kill(*index, judge),
            Fault::KillAllRouters => {
                for index in 0..self.routers.len() {
                    self.kill(index, judge);
                }
            }
            Fault::PauseRouter(index, time) => {
                judge.record_fault(*time);
                self.signal(*index, Signal::SIGSTOP);
                let router = self.routers[*index].clone();
                self.after(*time, move || {
                    router
                        .lock()
                        .expect("no thread panicked")
                        .signal_if_running(Signal::SIGCONT);
                });
            }
            Fault::StopRouter(index) => self.stop_and_start(*index, judge),
            Fault::ReloadRouter(index) => {
                let router = self.routers[*index].lock().expect("no thread panicked");
                // Before a process can set a handler, SIGHUP ends it.
                if router.age() > HANDLER_TIME {
                    router.signal_if_running(Signal::SIGHUP);
                }
            }
            Fault::SilenceStore(index, time) => {
                judge.record_fault(*time);
                silence(&mut self.pending, &self.store_links[*index], *time);
            }
            Fault::CutStore(index, time) => {
                judge.record_fault(*time);
                let link = self.store_links[*index].clone();
                link.close();
                self.after(*time, move || {
                    link.open().expect("the link opens again");
                });
            }
            Fault::StoreDown(time) => {
                judge.record_fault(*time);
                self.store.set_unavailable(true);
                let store = self.store.handle();
                self.after(*time, move || store.set_unavailable(false));
            }
            Fault::RestoreStore(age) => self.restore(*age, judge),
            Fault::ResetRunner(place) => {
                let link = self.servers[&self.places[*place]].link();
                link.reset().expect("connections can be reset");
            }
            Fault::SilenceRunner(place, time) => {
                let link = self.servers[&self.places[*place]].link().clone();
                silence(&mut self.pending, &link, *time);
            }
            Fault::ReplaceRunner(place) => self.replace_runner(*place, judge),
            Fault::AnnounceLeaving(place) => {
                let server = &self.servers[&self.places[*place]];
                server.is_leaving.store(true, Ordering::SeqCst);
            }
            Fault::SpoilPart => {
                BAD_PART.fetch_add(1, Ordering::SeqCst);
            }
            Fault::WithdrawKey => {
                let key = current_key();
                KEY.fetch_add(1, Ordering::SeqCst);
                self.put_manifest();
                judge.record_withdrawn(&key);
            }
        }
    }

    fn signal(&self, index: usize, signal: Signal) {
        let router = self.routers[index].lock().expect("no thread panicked");
        router.signal_if_running(signal);
    }

    fn kill(&mut self, index: usize, judge: &Judge) {
        judge.record_fault(RESTART_TIME);
        let mut router = self.routers[index].lock().expect("no thread panicked");
        router.restart(Signal::SIGKILL);
    }

    /// Stops a router as planned and starts it again when it has exited.
    fn stop_and_start(&mut self, index: usize, judge: &Judge) {
        judge.record_fault(GRACE_TIME + RESTART_TIME);
        let (router, judge) = (self.routers[index].clone(), judge.clone());
        self.after(Duration::ZERO, move || {
            let begin = Instant::now();
            let mut router = router.lock().expect("no thread panicked");
            router.restart(Signal::SIGTERM);
            // A paused router handles the signal when it goes on.
            if begin.elapsed() > GRACE_TIME + RESTART_TIME {
                judge.report("planned stop", &format!("took {:?}", begin.elapsed()));
            }
        });
    }

    fn restore(&mut self, age: usize, judge: &Judge) {
        judge.record_fault(RESTART_TIME);
        let index = self.copies.len().saturating_sub(age);
        if let Some(copy) = self.copies.drain(index..).next() {
            self.store.restore(copy);
        }
        // The operator and the runners write again what the copy lacks.
        self.put_manifest();
        let live: Vec<usize> = self.places.clone();
        for (number, server) in &self.servers {
            let entry = live.contains(number).then(|| server.entry());
            self.store.put("servers", &server.name, entry);
        }
    }

    /// Lets a runner drain and starts another one in its place.
    fn replace_runner(&mut self, place: usize, judge: &Judge) {
        let new = self.start_runner(judge);
        let old = std::mem::replace(&mut self.places[place], new);
        let server = &self.servers[&old];
        let mut entry = server.entry();
        entry["state"] = json!("draining");
        self.keep_copy();
        self.store
            .put("servers", &self.servers[&old].name, Some(entry));
        judge.record_leaving(old);
    }

    /// Lets half of the runners name a limit in their answers, or name none any more.
    pub fn limit_runners(&mut self, limit: u64, judge: &Judge) {
        for place in 0..RUNNERS / 2 {
            let number = self.places[place];
            self.servers[&number].limit.store(limit, Ordering::SeqCst);
            judge.record_limit(number, limit);
        }
    }

    /// Lets all runners drain and starts others in their places.
    pub fn replace_all_runners(&mut self, judge: &Judge) {
        for place in 0..self.places.len() {
            self.replace_runner(place, judge);
        }
    }

    fn after(&mut self, time: Duration, action: impl FnOnce() + Send + 'static) {
        self.pending.push(thread::spawn(move || {
            thread::sleep(time);
            action();
        }));
    }

    /// Waits for the end of all faults.
    pub fn heal(&mut self, judge: &Judge) {
        for pending in self.pending.drain(..) {
            pending.join().expect("no fault panicked");
        }
        // Runners that only said that they leave are replaced, so that some are left.
        for place in 0..self.places.len() {
            let server = &self.servers[&self.places[place]];
            if server.is_leaving.load(Ordering::SeqCst) {
                self.replace_runner(place, judge);
            }
        }
    }

    /// Stops all routers as planned. Their exit must be clean.
    pub fn stop(&mut self, judge: &Judge) {
        for router in &self.routers {
            let mut router = router.lock().expect("no thread panicked");
            router.signal_if_running(Signal::SIGTERM);
            let code = router.wait();
            if code != Some(0) {
                judge.report(
                    "clean exit",
                    &format!("{} ended with {code:?}", router.callers),
                );
            }
        }
        let served: usize = self
            .servers
            .values()
            .map(|server| server.runner.requests().len())
            .sum();
        if served == 0 {
            judge.report("service", "no request reached a runner");
        }
    }
}

impl Fleet {
    /// Prints where the logs of the routers are, and keeps them.
    pub fn keep_logs(self) {
        for router in &self.routers {
            let router = router.lock().expect("no thread panicked");
            println!("log {}", router.log_file);
        }
        // Dropping a router removes its folder. The processes have ended.
        std::mem::forget(self.routers);
    }
}

fn silence(pending: &mut Vec<JoinHandle<()>>, link: &Arc<Link>, time: Duration) {
    link.set_stalled(true);
    let link = link.clone();
    pending.push(thread::spawn(move || {
        thread::sleep(time);
        link.set_stalled(false);
    }));
}

/// Returns the part of a prompt that crashes runners.
fn bad_part(head: &str) -> Option<u64> {
    let prefix = header(head, "x-prompt-prefix")?;
    let part = prefix.split(',').nth(1)?.split(':').next()?;
    u64::from_str_radix(part, 16)
        .ok()
        .filter(|part| *part > 1000)
}

/// Ends a runner, which is back after a time in a new life.
fn crash(number: usize, link: Arc<Link>, born: Arc<AtomicU64>, store: Store) {
    link.close();
    thread::spawn(move || {
        thread::sleep(CRASH_TIME);
        link.open().expect("the link opens again");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let start = since_epoch.expect("the clock is set").as_millis() as u64;
        born.store(start, Ordering::SeqCst);
        store.set_field("servers", &format!("i-{number}"), "born", json!(start));
    });
}

/// Answers a request at a runner. Some requests, by their id, are turned away, broken
/// off, spoilt or answered twice.
fn serve(number: usize, head: &str, stream: &mut TcpStream, judge: &Judge, notices: &str) -> bool {
    let id = header(head, "x-request-id").unwrap_or("-").to_owned();
    let expected = header(head, "x-expect-instance").unwrap_or("-");
    if expected != format!("i-{number}") {
        judge.report(
            "right runner",
            &format!("{id} for {expected} reached i-{number}"),
        );
    }
    let choice = digest(&id) / 7 % 100;
    if choice < 3 {
        judge.record_arrival(&id, number, false);
        let retry = if choice == 0 {
            "Retry-After: 0.5\r\n"
        } else {
            ""
        };
        let fields = format!("X-Not-Executed: 1\r\n{retry}{notices}Content-Length: 0\r\n");
        respond(stream, head, 503, &fields, "");
        return true;
    }
    judge.record_arrival(&id, number, true);
    thread::sleep(Duration::from_millis(digest(&id) % 40));
    if head.starts_with("POST /stream/") {
        return serve_stream(&id, head, stream, notices, choice, number % VERSIONS);
    }
    let body = body_of(&id);
    let fields = format!("{notices}Content-Length: {}\r\n", body.len());
    match choice {
        // The answer is lost.
        3 => return false,
        // It breaks off.
        4 => {
            respond(stream, head, 200, &fields, &body[..body.len() / 2]);
            return false;
        }
        // It comes twice.
        5..=6 => respond(stream, head, 200, &fields, &body),
        // It has no length and ends with the connection.
        7 => {
            respond(stream, head, 200, notices, &body);
            return false;
        }
        _ => {}
    }
    respond(stream, head, 200, &fields, &body);
    true
}

fn serve_stream(
    id: &str,
    head: &str,
    stream: &mut TcpStream,
    notices: &str,
    choice: u64,
    version: usize,
) -> bool {
    let after: u64 = header(head, "last-event-id").map_or(0, |text| text.parse().unwrap_or(0));
    let fields =
        format!("{notices}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    // Some answers have no length and end with the connection.
    let fields = match choice % 4 {
        0 => format!("{notices}Content-Type: text/event-stream\r\n"),
        _ => fields,
    };
    let is_chunked = !choice.is_multiple_of(4);
    respond(stream, head, 200, &fields, "");
    // The first run of some breaks off before its first event.
    if after == 0 && choice == 12 {
        return false;
    }
    for event in after + 1..=STREAM_EVENTS {
        let text = event_of(id, event, version);
        // The first run breaks off, on some requests inside an event.
        let is_cut = after == 0 && choice < 10 && event == 4;
        let part = if is_cut {
            &text[..text.len() / 2]
        } else {
            &text
        };
        let chunk = match is_chunked {
            true => format!("{:x}\r\n{part}\r\n", part.len()),
            false => part.to_owned(),
        };
        if stream.write_all(chunk.as_bytes()).is_err() || is_cut {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_chunked && stream.write_all(b"0\r\n\r\n").is_ok()
}
