//! The platform: an object API with versions and a lagging list of instances.
//!
//! Objects live in memory. One counter gives all versions, so a path that is
//! deleted and made again never gets an old version.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tiny_http::{Method, Request};

use crate::clock;
use crate::http::{self, Answer, Target};
use crate::link::Link;

/// Largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Longest wait of a watch.
const MAX_WATCH: Duration = Duration::from_secs(60);

/// Seed of the random choices unless another one is set.
const DEFAULT_SEED: u64 = 1;

/// What an instance in the list runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A router.
    Router,
    /// A runner.
    Runner,
}

/// Whether an instance in the list is about to go.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is live.
    Live,
    /// It leaves.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// What it runs.
    pub kind: Kind,
    /// Where it listens; for a router, where other routers reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Whether it leaves.
    pub state: State,
}

/// Calls received, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads: objects, lists of objects and the list of instances.
    pub reads: u64,
    /// Writes: puts and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// A change of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// When it took effect, by [`crate::clock`].
    pub at: Time,
    /// The version that it made.
    pub version: u64,
    /// The new value.
    pub bytes: Vec<u8>,
}

struct Object {
    version: u64,
    bytes: Vec<u8>,
}

#[derive(Serialize)]
struct Entry<'a> {
    path: &'a str,
    version: u64,
}

struct Store {
    objects: BTreeMap<String, Object>,
    version: u64,
    /// Changes of the objects that are followed.
    followed: BTreeMap<String, Vec<Change>>,
    instances: BTreeMap<String, Instance>,
    /// Lists of the past with the time from which each held, oldest first.
    history: VecDeque<(Instant, Vec<Instance>)>,
    calls: Calls,
    down: bool,
    delay: Span,
    list_lag: Span,
    answer_loss: f64,
    random: ChaCha8Rng,
}

impl Store {
    fn put(&mut self, path: &str, bytes: Vec<u8>) -> u64 {
        self.version += 1;
        let version = self.version;
        if let Some(changes) = self.followed.get_mut(path) {
            changes.push(Change {
                at: clock::now(),
                version,
                bytes: bytes.clone(),
            });
        }
        let object = Object { version, bytes };
        self.objects.insert(path.to_owned(), object);
        version
    }

    fn current(&self, path: &str) -> u64 {
        self.objects.get(path).map_or(0, |object| object.version)
    }

    fn record_list(&mut self) {
        let list = self.instances.values().cloned().collect();
        self.history.push_back((Instant::now(), list));
    }

    /// Returns the list as it was one lag ago.
    fn lagging_list(&self) -> Vec<Instance> {
        let lag = Duration::from(self.list_lag);
        let mut past = self.history.iter().rev();
        let seen = past.find(|(since, _)| since.elapsed() >= lag);
        seen.or(self.history.front())
            .map_or_else(Vec::new, |(_, list)| list.clone())
    }

    fn loses_answer(&mut self) -> bool {
        self.answer_loss > 0.0 && self.random.random::<f64>() < self.answer_loss
    }
}

struct Shared {
    store: Mutex<Store>,
    changed: Condvar,
}

impl Shared {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder panics")
    }
}

/// A running platform. It stops when the handle is dropped.
pub struct Platform {
    server: http::Server,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform without objects at `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot be listened on.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        Self::start_with_seed(address, DEFAULT_SEED)
    }

    /// Starts a platform whose random choices follow from `seed`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot be listened on.
    pub fn start_with_seed(address: SocketAddr, seed: u64) -> io::Result<Self> {
        let store = Store {
            objects: BTreeMap::new(),
            version: 0,
            followed: BTreeMap::new(),
            instances: BTreeMap::new(),
            history: VecDeque::new(),
            calls: Calls::default(),
            down: false,
            delay: Span(0),
            list_lag: Span(0),
            answer_loss: 0.0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        let shared = Arc::new(Shared {
            store: Mutex::new(store),
            changed: Condvar::new(),
        });
        let handler = Arc::clone(&shared);
        let server = http::Server::start(address, move |request, link| {
            handle(&handler, request, link);
        })?;
        Ok(Self { server, shared })
    }

    /// Returns the address that clients use.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.link().address()
    }

    /// Starts or ends an outage: connections are cut and new ones refused.
    ///
    /// # Panics
    ///
    /// Panics if another program has taken the port during the outage.
    pub fn set_down(&self, down: bool) {
        self.shared.store().down = down;
        let link = self.server.link();
        if down {
            link.close();
        } else {
            link.open().expect("port is free after an outage");
        }
    }

    /// Holds back all bytes while `frozen`: calls take effect late or never.
    pub fn set_frozen(&self, frozen: bool) {
        self.server.link().set_frozen(frozen);
    }

    /// Sets how long every call waits before it is looked at.
    pub fn set_delay(&self, delay: Span) {
        self.shared.store().delay = delay;
    }

    /// Sets the share of writes, 0 to 1, that take effect but are not answered.
    pub fn set_answer_loss(&self, share: f64) {
        self.shared.store().answer_loss = share;
    }

    /// Sets how old the list of instances is.
    pub fn set_list_lag(&self, lag: Span) {
        self.shared.store().list_lag = lag;
    }

    /// Adds or replaces an instance in the list.
    pub fn put_instance(&self, instance: Instance) {
        let mut store = self.shared.store();
        store.instances.insert(instance.name.clone(), instance);
        store.record_list();
    }

    /// Marks an instance as leaving; an unknown one is ignored.
    pub fn set_leaving(&self, name: &str) {
        let mut store = self.shared.store();
        if let Some(instance) = store.instances.get_mut(name) {
            instance.state = State::Leaving;
        }
        store.record_list();
    }

    /// Takes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        let mut store = self.shared.store();
        store.instances.remove(name);
        store.record_list();
    }

    /// Stores an object without a call and returns its version.
    pub fn put(&self, path: &str, bytes: impl Into<Vec<u8>>) -> u64 {
        let version = self.shared.store().put(path, bytes.into());
        self.shared.changed.notify_all();
        version
    }

    /// Returns an object and its version without a call.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<(u64, Vec<u8>)> {
        let store = self.shared.store();
        let object = store.objects.get(path)?;
        Some((object.version, object.bytes.clone()))
    }

    /// Keeps every change of an object from now on.
    pub fn follow(&self, path: &str) {
        let mut store = self.shared.store();
        store.followed.entry(path.to_owned()).or_default();
    }

    /// Returns the changes of an object since [`Platform::follow`].
    #[must_use]
    pub fn changes(&self, path: &str) -> Vec<Change> {
        let store = self.shared.store();
        store.followed.get(path).cloned().unwrap_or_default()
    }

    /// Returns the paths that start with `prefix`, sorted, without a call.
    #[must_use]
    pub fn paths(&self, prefix: &str) -> Vec<String> {
        let store = self.shared.store();
        let paths = store.objects.keys().filter(|path| path.starts_with(prefix));
        paths.cloned().collect()
    }

    /// Returns how many calls were received.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.store().calls
    }
}

fn handle(shared: &Shared, mut request: Request, link: &Link) {
    let target = Target::new(&request);
    let Ok(body) = http::body(&mut request) else {
        return;
    };
    let delay = shared.store().delay;
    if delay > Span(0) {
        thread::sleep(delay.into());
    }
    if shared.store().down {
        return cut(&request, link);
    }
    let path = target.path.clone();
    let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
    let answer = match (&target.method, kind) {
        (Method::Get, "objects") => read(shared, name),
        (Method::Put, "objects") => {
            let condition = http::header(&request, "x-if-version");
            let answer = write(shared, name, condition.as_deref(), body);
            if shared.store().loses_answer() {
                return cut(&request, link);
            }
            answer
        }
        (Method::Delete, "objects") => {
            let answer = remove(shared, name);
            if shared.store().loses_answer() {
                return cut(&request, link);
            }
            answer
        }
        (Method::Get, "list") => list(shared, name),
        (Method::Get, "watch") => {
            let wait = Duration::from_millis(target.number("wait_ms"));
            watch(shared, name, target.number("after"), wait.min(MAX_WATCH))
        }
        (Method::Get, "instances") => {
            shared.store().calls.reads += 1;
            Answer::json(200, &shared.store().lagging_list())
        }
        _ => Answer::new(404),
    };
    answer.send(request);
}

fn cut(request: &Request, link: &Link) {
    if let Some(&peer) = request.remote_addr() {
        link.cut(peer);
    }
}

fn found(object: &Object) -> Answer {
    Answer::new(200)
        .with_header("x-version", object.version)
        .with_body(object.bytes.clone())
}

fn read(shared: &Shared, path: &str) -> Answer {
    let mut store = shared.store();
    store.calls.reads += 1;
    store
        .objects
        .get(path)
        .map_or_else(|| Answer::new(404), found)
}

fn write(shared: &Shared, path: &str, condition: Option<&str>, bytes: Vec<u8>) -> Answer {
    let mut store = shared.store();
    store.calls.writes += 1;
    if bytes.len() > MAX_VALUE_BYTES {
        return Answer::new(413);
    }
    let current = store.current(path);
    let expected = match condition.map(str::parse) {
        None => current,
        Some(Ok(version)) => version,
        Some(Err(_)) => return Answer::new(400),
    };
    if expected != current {
        return Answer::new(409).with_header("x-version", current);
    }
    let version = store.put(path, bytes);
    shared.changed.notify_all();
    Answer::new(200).with_header("x-version", version)
}

fn remove(shared: &Shared, path: &str) -> Answer {
    let mut store = shared.store();
    store.calls.writes += 1;
    match store.objects.remove(path) {
        Some(_) => Answer::new(200),
        None => Answer::new(404),
    }
}

fn list(shared: &Shared, prefix: &str) -> Answer {
    let mut store = shared.store();
    store.calls.reads += 1;
    let objects = store.objects.iter();
    let entries: Vec<Entry<'_>> = objects
        .filter(|(path, _)| path.starts_with(prefix))
        .map(|(path, object)| Entry {
            path,
            version: object.version,
        })
        .collect();
    Answer::json(200, &entries)
}

fn watch(shared: &Shared, path: &str, after: u64, wait: Duration) -> Answer {
    let mut store = shared.store();
    store.calls.watches += 1;
    let unchanged = |store: &mut Store| store.current(path) <= after;
    let (store, _) = shared
        .changed
        .wait_timeout_while(store, wait, unchanged)
        .expect("no holder panics");
    match store.objects.get(path) {
        Some(object) if object.version > after => found(object),
        _ => Answer::new(304),
    }
}
