//! Runners of a run, and their entries in the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use balsamchute_standin::link::Link;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::answer::{Life, Notices, Report, Slots, answer, bad_part};
use crate::environment::{self, Runner, Store};
use crate::judge::Judge;
use crate::process::Process;
use crate::trouble::Instruction;

/// Time after which a runner that crashed is back.
pub const CRASH_TIME: Duration = Duration::from_millis(1500);

/// Returns the time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.expect("the clock is set").as_millis() as u64
}

/// What a runner starts with.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub number: usize,
    pub version: usize,
    pub domain: &'static str,
    pub slots: usize,
    /// Whether the runner turns requests away that it has no slots for.
    pub is_limited: bool,
}

impl Spec {
    fn limit(&self) -> Option<usize> {
        self.is_limited.then_some(self.slots)
    }
}

#[derive(Debug)]
struct Entry {
    born: u64,
    version: usize,
    state: &'static str,
    slots: usize,
    // Whether the runner has started under this id.
    has_started: bool,
    // Whether the runner has ended for good, or has another id.
    is_removed: bool,
}

/// Entry of a runner in the store. It may lag behind the runner.
pub struct Listing {
    store: Store,
    name: String,
    spec: Spec,
    address: OnceLock<SocketAddr>,
    entry: Mutex<Entry>,
}

impl std::fmt::Debug for Listing {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.name)
    }
}

impl Listing {
    fn new(store: &Store, spec: Spec) -> Self {
        Listing {
            store: store.handle(),
            name: format!("i-{}", spec.number),
            spec,
            address: OnceLock::new(),
            entry: Mutex::new(Entry {
                born: 0,
                version: spec.version,
                state: "ready",
                slots: spec.slots,
                has_started: true,
                is_removed: false,
            }),
        }
    }

    /// Changes the entry and writes it, or removes it.
    fn change(&self, change: impl FnOnce(&mut Entry)) {
        let mut entry = self.entry.lock().expect("no thread panicked");
        change(&mut entry);
        let value = (entry.has_started && !entry.is_removed).then(|| {
            let address = self.address.get().expect("the address is set");
            let mut value: Value = environment::entry(*address, "s", entry.slots as u32);
            value["zone"] = json!(self.spec.domain);
            value["born"] = json!(entry.born);
            value["version"] = json!(format!("v{}", entry.version));
            value["state"] = json!(entry.state);
            value
        });
        self.store.put("servers", &self.name, value);
    }

    /// Writes the entry as it is.
    pub fn put(&self) {
        self.change(|_| {});
    }

    /// Writes the start and the version of a runner that started again, unless a later start
    /// was written before.
    pub fn update(&self, born: u64, version: usize) {
        self.change(|entry| {
            if born > entry.born {
                (entry.born, entry.version) = (born, version);
                entry.has_started = true;
            }
        });
    }

    /// Writes the number of slots.
    pub fn set_slots(&self, slots: usize) {
        self.change(|entry| entry.slots = slots);
    }

    /// Writes that the runner drains.
    pub fn drain(&self) {
        self.change(|entry| entry.state = "draining");
    }

    /// Removes the entry for good.
    pub fn remove(&self) {
        self.change(|entry| entry.is_removed = true);
    }

    /// Returns the version that is listed.
    pub fn version(&self) -> usize {
        self.entry.lock().expect("no thread panicked").version
    }
}

/// Thread or process that runs a runner.
pub enum Host {
    /// A thread of the soak behind a link.
    Thread { link: Arc<Link>, _runner: Runner },
    /// A process.
    Process(Arc<Process>),
}

/// Runner under one id.
pub struct Server {
    pub host: Host,
    pub listing: Arc<Listing>,
    pub notices: Arc<Notices>,
}

impl Server {
    /// Starts a runner that is a thread.
    pub fn start_thread(spec: Spec, store: &Store, judge: &Judge) -> Self {
        let Spec {
            number, version, ..
        } = spec;
        let notices: Arc<Notices> = Arc::default();
        let slots = Arc::new(Slots::new(spec.limit()));
        let listing = Arc::new(Listing::new(store, spec));
        let link: Arc<OnceLock<Arc<Link>>> = Arc::default();
        let born: Arc<AtomicU64> = Arc::default();
        let runs = AtomicU64::new(0);
        let received: Arc<OnceLock<Arc<Mutex<Vec<String>>>>> = Arc::default();
        let own_received = received.clone();
        let (judge, own_notices) = (judge.clone(), notices.clone());
        let (own_link, own_listing) = (link.clone(), listing.clone());
        let runner = Runner::start(move |head, stream| {
            // The uploads of a long run would fill the memory.
            if let Some(received) = own_received.get() {
                received.lock().expect("no thread panicked").clear();
            }
            if let Some(part) = bad_part(head) {
                judge.record_report(Report::Crash {
                    part,
                    runner: number,
                });
                let link = own_link.get().expect("the link is set").clone();
                crash(link, born.clone(), own_listing.clone(), version);
                return false;
            }
            let life = Life {
                number,
                born: born.load(Ordering::SeqCst),
                version,
                is_named: false,
                former: Vec::new(),
                runs: AtomicU64::new(runs.fetch_add(1, Ordering::SeqCst)),
                slots: slots.clone(),
            };
            let report = |report| judge.record_report(report);
            answer(&life, &own_notices, head, stream, &report)
        });
        received.set(runner.received.clone()).expect("set once");
        let started = Link::start(([127, 0, 0, 1], 0).into(), runner.address);
        let started = Arc::new(started.expect("the link starts"));
        listing.address.set(started.address()).expect("set once");
        link.set(started.clone()).ok().expect("set once");
        let host = Host::Thread {
            link: started,
            _runner: runner,
        };
        Server {
            host,
            listing,
            notices,
        }
    }

    /// Starts a runner that is a process, and waits until it listens.
    pub fn start_process(spec: Spec, store: &Store, judge: &Judge) -> Self {
        let notices: Arc<Notices> = Arc::default();
        let listing = Arc::new(Listing::new(store, spec));
        let process = Process::new(spec.number, spec.limit(), notices.clone(), judge, &listing);
        let process = Arc::new(process);
        listing.address.set(process.address).expect("set once");
        let born = now_ms();
        process.start(0, born, spec.version);
        listing.entry.lock().expect("no thread panicked").born = born;
        Server {
            host: Host::Process(process),
            listing,
            notices,
        }
    }

    /// Returns the runner under another id, which it has from its next start on.
    pub fn rename(&self, process: &Arc<Process>, number: usize, store: &Store) -> Self {
        let spec = Spec {
            number,
            version: self.listing.version(),
            ..self.listing.spec
        };
        let listing = Arc::new(Listing::new(store, spec));
        listing.address.set(process.address).expect("set once");
        // A restored store must not name a runner that has written nothing.
        listing
            .entry
            .lock()
            .expect("no thread panicked")
            .has_started = false;
        process.rename(number, &listing);
        Server {
            host: Host::Process(process.clone()),
            listing,
            notices: self.notices.clone(),
        }
    }

    /// Lets the runner say in its answers that it leaves.
    pub fn announce_leaving(&self) {
        self.notices.is_leaving.store(true, Ordering::SeqCst);
        self.send_notices();
    }

    /// Lets the runner name a limit in its answers; 0 for none.
    pub fn limit(&self, limit: u64) {
        self.notices.limit.store(limit, Ordering::SeqCst);
        self.send_notices();
    }

    fn send_notices(&self) {
        if let Host::Process(process) = &self.host {
            process.send_notices();
        }
    }

    /// Resets the connections on which requests are answered.
    pub fn reset(&self) {
        match &self.host {
            Host::Thread { link, .. } => link.reset().expect("connections can be reset"),
            Host::Process(process) => {
                self.notices.resets.fetch_add(1, Ordering::SeqCst);
                process.send_notices();
            }
        }
    }

    /// Lets the runner do something wrong. Resets are for processes: the link of a thread ends
    /// a connection in order that the thread resets.
    pub fn instruct(&self, instruction: Instruction) {
        match &self.host {
            Host::Thread { .. } => self.notices.trouble.apply(instruction),
            Host::Process(process) => process.send_instruction(instruction),
        }
    }

    /// Lets the runner hold back all bytes, or continue.
    pub fn set_silent(&self, is_silent: bool) {
        match &self.host {
            Host::Thread { link, .. } => link.set_stalled(is_silent),
            Host::Process(process) if is_silent => process.signal(Signal::SIGSTOP),
            Host::Process(process) => process.signal(Signal::SIGCONT),
        }
    }

    /// Returns an action that ends the runner for good and removes its entry.
    pub fn leave(&self) -> impl FnOnce() + Send + 'static {
        let end: Box<dyn FnOnce() + Send> = match &self.host {
            Host::Thread { link, .. } => {
                let link = link.clone();
                Box::new(move || link.close())
            }
            Host::Process(process) => {
                let process = process.clone();
                Box::new(move || process.leave())
            }
        };
        let listing = self.listing.clone();
        move || {
            end();
            listing.remove();
        }
    }
}

/// Ends a runner that is a thread; it is back after a time in a new life.
fn crash(link: Arc<Link>, born: Arc<AtomicU64>, listing: Arc<Listing>, version: usize) {
    link.close();
    thread::spawn(move || {
        thread::sleep(CRASH_TIME);
        link.open().expect("the link opens again");
        let start = now_ms();
        born.store(start, Ordering::SeqCst);
        listing.update(start, version);
    });
}
