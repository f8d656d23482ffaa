//! Routers, runners and the store of a run, and the faults that are injected into them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use balsamchute_standin::link::Link;
use nix::sys::signal::Signal;
use rand::{Rng, RngExt};
use serde_json::json;

use crate::environment::{self, Copy, Route, Router, Store};
use crate::event::digest;
use crate::judge::{CHANGE_BOUND, Judge};
use crate::plan::{Change, Cycle, Fault};
use crate::server::{Host, Server, Spec, now_ms};
use crate::shape::Shape;
use crate::steady::OtherVersion;
use crate::trouble::Instruction;
use crate::uploads::MAX_BYTES;

/// Copies of the store that are kept, one for each change.
const MAX_COPIES: usize = 6;

/// Longest time that a planned stop may take: the grace period of the settings.
const GRACE_TIME: Duration = Duration::from_secs(8);

/// Time for which a kill or a stop counts as a fault: until the router serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Time within which a process that starts has set its signal handlers, also on a busy
/// machine.
const HANDLER_TIME: Duration = Duration::from_millis(500);

/// Timeout of the routes of streams in milliseconds, and the time that their callers wait.
pub const STREAM_TIMEOUT_MS: u64 = 8000;

/// Timeout of these routes after a change.
const CHANGED_STREAM_TIMEOUT_MS: u64 = 3000;

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

/// Time in which other routers read the store in place of one that lost it: time until it
/// notices, and a second to pass that on.
const TAKEOVER_TIME: Duration = Duration::from_millis(2700);

/// Steps in which runners are replaced without the hub, and the time between two.
const REPLACEMENT_STEPS: usize = 6;
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(700);

/// Time after which a runner of a large fleet that was replaced ends.
const LEAVE_TIME: Duration = Duration::from_secs(6);

/// Everything that a run starts.
pub struct Fleet {
    shape: Shape,
    store: Store,
    store_links: Vec<Arc<Link>>,
    routers: Vec<Arc<Mutex<Router>>>,
    addresses: Vec<SocketAddr>,
    servers: BTreeMap<usize, Arc<Server>>,
    // Number of the next runner, and the place of each in `servers`.
    next_runner: usize,
    places: Vec<usize>,
    newest_version: usize,
    manifest_version: u64,
    stream_timeout_ms: u64,
    copies: Vec<Copy>,
    pending: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts the store, the runners and the routers, and waits until they serve.
    pub fn start(shape: Shape, judge: &Judge) -> Self {
        BAD_PART.store(0, Ordering::SeqCst);
        KEY.store(1, Ordering::SeqCst);
        let store = Store::start();
        let mut fleet = Fleet {
            shape,
            store,
            store_links: Vec::new(),
            routers: Vec::new(),
            addresses: Vec::new(),
            servers: BTreeMap::new(),
            next_runner: 0,
            places: Vec::new(),
            newest_version: shape.versions - 1,
            manifest_version: 0,
            stream_timeout_ms: STREAM_TIMEOUT_MS,
            copies: Vec::new(),
            pending: Vec::new(),
        };
        fleet.put_manifest();
        for place in 0..shape.places {
            let number = fleet.start_runner(place, place / 2 % shape.versions, judge);
            fleet.places.push(number);
        }
        for index in 0..shape.routers {
            let link = Link::start(([127, 0, 0, 1], 0).into(), fleet.store.address);
            let link = Arc::new(link.expect("the link starts"));
            let seeds: Vec<SocketAddr> = fleet.addresses.iter().take(2).copied().collect();
            let (name, domain) = (format!("soak-{index}"), shape.domain_of(index));
            let router = Router::start_in(&name, domain, link.address(), &seeds);
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
            Route::new("stream", "stream", self.stream_timeout_ms).resumable(),
            Route::new("single", "stream", self.stream_timeout_ms),
            Route::new("once", "non_idempotent", 4000),
            Route::new("safe", "idempotent", 4000),
        ];
        let key = current_key();
        let mut manifest = environment::manifest(self.manifest_version, &routes, &[&key]);
        manifest["limits"]["max_body_bytes"] = json!(MAX_BYTES);
        self.keep_copy();
        self.store.put("config", "main", Some(manifest));
    }

    fn keep_copy(&mut self) {
        self.copies.push(self.store.copy());
        if self.copies.len() > MAX_COPIES {
            self.copies.remove(0);
        }
    }

    /// Returns what a new runner at a place starts with.
    fn new_spec(&mut self, place: usize, version: usize) -> Spec {
        let number = self.next_runner;
        self.next_runner += 1;
        Spec {
            number,
            version,
            domain: self.shape.domain_of(place),
            slots: self.shape.slots,
            is_limited: self.shape.is_large,
        }
    }

    fn start_runner(&mut self, place: usize, version: usize, judge: &Judge) -> usize {
        let spec = self.new_spec(place, version);
        let number = spec.number;
        let server = start_server(self.shape.is_process(place), spec, &self.store, judge);
        self.keep_copy();
        server.listing.put();
        self.servers.insert(number, Arc::new(server));
        number
    }

    fn server(&self, place: usize) -> Arc<Server> {
        self.servers[&self.places[place]].clone()
    }

    /// Begins a fault or carries out a change. A fault with a length ends by itself.
    pub fn apply(&mut self, fault: &Fault, judge: &Judge) {
        judge.note(&format!("{fault:?}"));
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
            Fault::SlowRouter { index, cycle, time } => {
                judge.record_fault(*time);
                self.slow_router(*index, *cycle, *time);
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
                let link = self.store_links[*index].clone();
                link.set_stalled(true);
                self.after(*time, move || link.set_stalled(false));
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
            Fault::ResetRunner(place) => self.server(*place).reset(),
            Fault::SilenceRunner(place, time) => self.silence_runner(*place, *time, judge),
            Fault::ReplaceRunner(place) => self.replace_runner(*place, judge),
            Fault::AnnounceLeaving(place) => self.server(*place).announce_leaving(),
            Fault::RestartRunner {
                place,
                down,
                change,
            } => self.restart_runner(*place, *down, *change, judge),
            Fault::RunOtherVersion(place, other) => self.run_other_version(*place, *other, judge),
            Fault::LimitSlots(time) => self.limit_slots(*time),
            Fault::HoldAnswers(place, time) => {
                self.server(*place).instruct(Instruction::Hold(*time));
            }
            Fault::ResetAnswers { place, share } => {
                self.server(*place).instruct(Instruction::Reset(*share));
            }
            Fault::MalformAnswers(place, time) => {
                self.server(*place).instruct(Instruction::Malform(*time));
            }
            Fault::Release => self.newest_version += 1,
            Fault::UpgradeRunner(place, time) => {
                let old = self.server(*place);
                self.replace_with(*place, self.newest_version, judge);
                self.after(*time, old.leave());
            }
            Fault::UpgradeRunners(places, time) => {
                self.upgrade_runners(places, *time, judge);
            }
            Fault::ChangeTimeout => {
                self.stream_timeout_ms = match self.stream_timeout_ms {
                    STREAM_TIMEOUT_MS => CHANGED_STREAM_TIMEOUT_MS,
                    _ => STREAM_TIMEOUT_MS,
                };
                self.put_manifest();
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
        let router = self.routers[index].clone();
        // One that is about to stop would hold up the other faults.
        self.after(Duration::ZERO, move || {
            let mut router = router.lock().expect("no thread panicked");
            router.restart(Signal::SIGKILL);
        });
    }

    /// Lets a router run and wait in turn, as one does that has a small part of a core.
    fn slow_router(&mut self, index: usize, cycle: Cycle, time: Duration) {
        let router = self.routers[index].clone();
        let end = Instant::now() + time;
        self.after(Duration::ZERO, move || {
            // Without the lock, the router is about to stop or to start again.
            while Instant::now() < end {
                if let Ok(router) = router.try_lock() {
                    router.signal_if_running(Signal::SIGSTOP);
                }
                thread::sleep(cycle.wait);
                if let Ok(router) = router.try_lock() {
                    router.signal_if_running(Signal::SIGCONT);
                }
                thread::sleep(cycle.run);
            }
            let router = router.lock().expect("no thread panicked");
            router.signal_if_running(Signal::SIGCONT);
        });
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
        for (number, server) in &self.servers {
            match self.places.contains(number) {
                true => server.listing.put(),
                false => self.store.put("servers", &format!("i-{number}"), None),
            }
        }
    }

    fn silence_runner(&mut self, place: usize, time: Duration, judge: &Judge) {
        let server = self.server(place);
        if let Host::Process(_) = server.host {
            // What it received before counts as received afterwards.
            judge.record_fault(time);
        }
        server.set_silent(true);
        self.after(time, move || server.set_silent(false));
    }

    /// Kills a runner process and starts it again at its address.
    fn restart_runner(&mut self, place: usize, down: Duration, change: Change, judge: &Judge) {
        let mut server = self.server(place);
        let Host::Process(process) = &server.host else {
            return;
        };
        let process = process.clone();
        judge.record_kill();
        let generation = process.kill();
        let (mut version, mut lag) = (server.listing.version(), Duration::ZERO);
        match change {
            Change::Life => {}
            Change::Id(time) => {
                let old = server.listing.clone();
                let number = self.next_runner;
                self.next_runner += 1;
                server = Arc::new(server.rename(&process, number, &self.store));
                self.servers.insert(number, server.clone());
                self.places[place] = number;
                self.after(down + time, move || old.remove());
            }
            Change::Version(time) => {
                lag = time;
                version = match version == self.newest_version {
                    true => version - 1,
                    false => self.newest_version,
                };
            }
        }
        self.after(down, move || {
            let born = now_ms();
            if process.start(generation, born, version) {
                thread::sleep(lag);
                server.listing.update(born, version);
            }
        });
    }

    /// Lets a process of the newest version answer for a runner, and one of the version that is
    /// listed again afterwards.
    fn run_other_version(&mut self, place: usize, other: OtherVersion, judge: &Judge) {
        let server = self.server(place);
        let Host::Process(process) = &server.host else {
            return;
        };
        let (process, listing) = (process.clone(), server.listing.clone());
        judge.record_kill();
        let generation = process.kill();
        let (usual, newest) = (listing.version(), self.newest_version);
        self.after(Duration::ZERO, move || {
            other.play(&process, &listing, generation, (newest, usual));
        });
    }

    /// Lets the entries of all runners name one slot for a time.
    fn limit_slots(&mut self, time: Duration) {
        let places = self.places.iter();
        let listings: Vec<_> = places
            .map(|number| self.servers[number].listing.clone())
            .collect();
        listings.iter().for_each(|listing| listing.set_slots(1));
        let slots = self.shape.slots;
        self.after(time, move || {
            listings.iter().for_each(|listing| listing.set_slots(slots));
        });
    }

    /// Lets a runner drain and starts another one of its version in its place.
    fn replace_runner(&mut self, place: usize, judge: &Judge) {
        let version = self.server(place).listing.version();
        self.replace_with(place, version, judge);
    }

    fn replace_with(&mut self, place: usize, version: usize, judge: &Judge) {
        let new = self.start_runner(place, version, judge);
        let old = std::mem::replace(&mut self.places[place], new);
        self.keep_copy();
        self.servers[&old].listing.drain();
        judge.record_leaving(old);
        if self.shape.is_large {
            self.after(LEAVE_TIME, self.servers[&old].leave());
        }
    }

    /// Lets the runners at some places drain at once and starts others of the newest version
    /// there. The old ones end after a time.
    fn upgrade_runners(&mut self, places: &[usize], time: Duration, judge: &Judge) {
        let version = self.newest_version;
        let specs: Vec<Spec> = places
            .iter()
            .map(|place| self.new_spec(*place, version))
            .collect();
        let (shape, store) = (self.shape, &self.store);
        let servers: Vec<Server> = thread::scope(|scope| {
            let starts = places.iter().zip(&specs).map(|(place, spec)| {
                let is_process = shape.is_process(*place);
                scope.spawn(move || start_server(is_process, *spec, store, judge))
            });
            let starts: Vec<_> = starts.collect();
            let servers = starts.into_iter();
            servers
                .map(|start| start.join().expect("the runner starts"))
                .collect()
        });
        self.keep_copy();
        for ((place, spec), server) in places.iter().zip(&specs).zip(servers) {
            server.listing.put();
            self.servers.insert(spec.number, Arc::new(server));
            let old = std::mem::replace(&mut self.places[*place], spec.number);
            self.servers[&old].listing.drain();
            judge.record_leaving(old);
            self.after(time, self.servers[&old].leave());
        }
    }

    /// Lets half of the runners name a limit in their answers, or name none any more.
    pub fn limit_runners(&mut self, limit: u64, judge: &Judge) {
        for place in 0..self.shape.places / 2 {
            let number = self.places[place];
            self.servers[&number].limit(limit);
            judge.record_limit(number, limit);
        }
    }

    /// Lets all runners drain and starts others in their places.
    pub fn replace_all_runners(&mut self, judge: &Judge) {
        for place in 0..self.places.len() {
            self.replace_runner(place, judge);
        }
    }

    /// Holds back the store from the hub, the router that has run longest, and replaces the
    /// runners one after the other. All routers must follow: the store serves the others.
    pub fn replace_runners_without_hub(&mut self, judge: &Judge) {
        let age = |index: &usize| self.routers[*index].lock().expect("no panic").age();
        let hub = (0..self.routers.len()).max_by_key(age).unwrap_or(0);
        judge.note(&format!("the store is silent for soak-{hub}"));
        let link = self.store_links[hub].clone();
        link.set_stalled(true);
        thread::sleep(TAKEOVER_TIME);
        let places: Vec<usize> = (0..self.places.len()).collect();
        for step in places.chunks(self.places.len().div_ceil(REPLACEMENT_STEPS)) {
            for place in step {
                self.replace_runner(*place, judge);
            }
            thread::sleep(REPLACEMENT_INTERVAL);
        }
        thread::sleep(CHANGE_BOUND);
        link.set_stalled(false);
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
            if self.server(place).notices.is_leaving.load(Ordering::SeqCst) {
                self.replace_runner(place, judge);
            }
        }
    }

    /// Stops all routers as planned, at once. Their exit must be clean.
    pub fn stop(&mut self, judge: &Judge) {
        thread::scope(|scope| {
            for router in &self.routers {
                scope.spawn(move || {
                    let mut router = router.lock().expect("no thread panicked");
                    router.signal_if_running(Signal::SIGTERM);
                    let code = router.wait();
                    if code != Some(0) {
                        judge.report(
                            "clean exit",
                            &format!("{} ended with {code:?}", router.callers),
                        );
                    }
                });
            }
        });
        if judge.arrivals() == 0 {
            judge.report("service", "no request reached a runner");
        }
    }
}

/// Starts a runner that is a process or a thread.
fn start_server(is_process: bool, spec: Spec, store: &Store, judge: &Judge) -> Server {
    match is_process {
        true => Server::start_process(spec, store, judge),
        false => Server::start_thread(spec, store, judge),
    }
}

impl Fleet {
    /// Prints where the logs of the routers and the notes of the run are, and keeps them.
    pub fn keep_logs(self, judge: &Judge) {
        let name = format!("balsamchute-soak-notes-{}", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, judge.notes()).expect("the file can be written");
        println!("notes {}", file.display());
        for router in &self.routers {
            let router = router.lock().expect("no thread panicked");
            println!("log {}", router.log_file);
        }
        // Dropping a router removes its folder. The routers have ended, and runners end with
        // this process.
        std::mem::forget(self);
    }
}
