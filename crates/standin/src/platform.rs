//! Platform: a versioned object store and a list of instances that may lag.
//!
//! Objects are kept in memory. A single counter numbers the versions of all
//! objects, so that an object that is deleted and created again never reuses a
//! version.

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
use crate::http::{self, Parts, Response};
use crate::link::Link;

/// Maximum size of an object in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Maximum time that a watch waits for a change.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(60);

/// Seed of the random choices in [`Platform::start`].
const DEFAULT_SEED: u64 = 1;

/// Kind of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Instance of a router.
    Router,
    /// Instance of a runner.
    Runner,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service, not about to leave.
    Live,
    /// About to leave the fleet.
    Leaving,
}

/// Entry in the list of instances.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Unique name of the instance.
    pub name: String,
    /// Kind of the instance: router or runner.
    pub kind: Kind,
    /// Listening address; for a router, the address for other routers.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// State in the list: live, or about to leave the fleet.
    pub state: State,
}

/// Number of received calls by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads of objects, lists of objects and reads of the list of instances.
    pub reads: u64,
    /// Writes: puts and deletes, including rejected ones.
    pub writes: u64,
    /// Watches, including those that timed out.
    pub watches: u64,
    /// Longest time that a watch asked to wait.
    pub longest_watch: Span,
}

/// Recorded change of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Time at which the change took effect, by [`crate::clock`].
    pub applied_at: Time,
    /// Version that the change created.
    pub version: u64,
    /// New contents of the object.
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
    /// Changes by path, for paths whose changes are recorded.
    recorded_changes: BTreeMap<String, Vec<Change>>,
    instances: BTreeMap<String, Instance>,
    /// Past lists of instances with the time from which each was current, oldest
    /// first.
    instance_history: VecDeque<(Instant, Vec<Instance>)>,
    calls: Calls,
    down: bool,
    call_delay: Span,
    list_lag: Span,
    response_loss: f64,
    rng: ChaCha8Rng,
}

impl Store {
    fn put(&mut self, path: &str, bytes: Vec<u8>) -> u64 {
        self.version += 1;
        let version = self.version;
        if let Some(changes) = self.recorded_changes.get_mut(path) {
            changes.push(Change {
                applied_at: clock::now(),
                version,
                bytes: bytes.clone(),
            });
        }
        let object = Object { version, bytes };
        self.objects.insert(path.to_owned(), object);
        version
    }

    fn current_version(&self, path: &str) -> u64 {
        self.objects.get(path).map_or(0, |object| object.version)
    }

    fn record_instances(&mut self) {
        let instances = self.instances.values().cloned().collect();
        self.instance_history.push_back((Instant::now(), instances));
    }

    /// Returns the list of instances as it was `list_lag` ago.
    fn lagged_instances(&self) -> Vec<Instance> {
        let lag = Duration::from(self.list_lag);
        let mut newest_first = self.instance_history.iter().rev();
        let entry = newest_first.find(|(since, _)| since.elapsed() >= lag);
        entry
            .or(self.instance_history.front())
            .map_or_else(Vec::new, |(_, list)| list.clone())
    }

    fn loses_response(&mut self) -> bool {
        self.response_loss > 0.0 && self.rng.random::<f64>() < self.response_loss
    }
}

struct Shared {
    store: Mutex<Store>,
    changed: Condvar,
}

impl Shared {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store
            .lock()
            .expect("no thread panics while holding the lock")
    }
}

/// Running platform. Dropping the handle stops it.
pub struct Platform {
    server: http::Server,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform without objects at `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the platform cannot listen on the address.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        Self::start_with_seed(address, DEFAULT_SEED)
    }

    /// Starts a platform whose random choices are seeded with `seed`.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the platform cannot listen on the address.
    pub fn start_with_seed(address: SocketAddr, seed: u64) -> io::Result<Self> {
        let store = Store {
            objects: BTreeMap::new(),
            version: 0,
            recorded_changes: BTreeMap::new(),
            instances: BTreeMap::new(),
            instance_history: VecDeque::new(),
            calls: Calls::default(),
            down: false,
            call_delay: Span(0),
            list_lag: Span(0),
            response_loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let shared = Arc::new(Shared {
            store: Mutex::new(store),
            changed: Condvar::new(),
        });
        let handler_shared = Arc::clone(&shared);
        let server = http::Server::start(address, move |request, link| {
            handle(&handler_shared, request, link);
        })?;
        Ok(Self { server, shared })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.link().address()
    }

    /// Starts or ends an outage, in which connections are dropped and new ones
    /// refused.
    ///
    /// # Panics
    ///
    /// Panics if another program has taken the port during the outage.
    pub fn set_unavailable(&self, down: bool) {
        self.shared.store().down = down;
        let link = self.server.link();
        if down {
            link.close();
        } else {
            link.open()
                .expect("no other program takes the port during an outage");
        }
    }

    /// Holds back all bytes in both directions while `stalled` is set, so that
    /// calls take effect late or never.
    pub fn set_stalled(&self, stalled: bool) {
        self.server.link().set_stalled(stalled);
    }

    /// Sets the delay before each call is processed.
    pub fn set_call_delay(&self, call_delay: Span) {
        self.shared.store().call_delay = call_delay;
    }

    /// Sets the share of writes (0 to 1) that take effect but whose response is
    /// lost.
    pub fn set_response_loss(&self, share: f64) {
        self.shared.store().response_loss = share;
    }

    /// Sets the age of the list of instances that callers read.
    pub fn set_list_age(&self, lag: Span) {
        self.shared.store().list_lag = lag;
    }

    /// Adds an instance to the list, or replaces the one of the same name.
    pub fn put_instance(&self, instance: Instance) {
        let mut store = self.shared.store();
        store.instances.insert(instance.name.clone(), instance);
        store.record_instances();
    }

    /// Marks an instance as leaving; an unknown name is ignored.
    pub fn set_leaving(&self, name: &str) {
        let mut store = self.shared.store();
        if let Some(instance) = store.instances.get_mut(name) {
            instance.state = State::Leaving;
        }
        store.record_instances();
    }

    /// Removes an instance from the list; an unknown name is ignored.
    pub fn remove_instance(&self, name: &str) {
        let mut store = self.shared.store();
        store.instances.remove(name);
        store.record_instances();
    }

    /// Stores an object directly, without counting a call, and returns its
    /// version.
    pub fn put(&self, path: &str, bytes: impl Into<Vec<u8>>) -> u64 {
        let version = self.shared.store().put(path, bytes.into());
        self.shared.changed.notify_all();
        version
    }

    /// Returns the version and contents of an object directly, without counting a
    /// call.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<(u64, Vec<u8>)> {
        let store = self.shared.store();
        let object = store.objects.get(path)?;
        Some((object.version, object.bytes.clone()))
    }

    /// Records every change of an object from now on.
    pub fn record_changes(&self, path: &str) {
        let mut store = self.shared.store();
        store.recorded_changes.entry(path.to_owned()).or_default();
    }

    /// Returns the changes of an object since [`Platform::record_changes`], oldest first.
    #[must_use]
    pub fn changes(&self, path: &str) -> Vec<Change> {
        let store = self.shared.store();
        store
            .recorded_changes
            .get(path)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the sorted paths that start with `prefix`, without counting a
    /// call.
    #[must_use]
    pub fn paths(&self, prefix: &str) -> Vec<String> {
        let store = self.shared.store();
        let paths = store.objects.keys().filter(|path| path.starts_with(prefix));
        paths.cloned().collect()
    }

    /// Returns the number of calls received so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.store().calls
    }
}

fn handle(shared: &Shared, mut request: Request, link: &Link) {
    let parts = Parts::new(&request);
    let Ok(body) = http::read_body(&mut request) else {
        return;
    };
    let call_delay = shared.store().call_delay;
    if call_delay > Span(0) {
        thread::sleep(call_delay.into());
    }
    if shared.store().down {
        return drop_connection(&request, link);
    }
    let path = parts.path.clone();
    let (resource, name) = path.split_once('/').unwrap_or((&path, ""));
    let response = match (&parts.method, resource) {
        (Method::Get, "objects") => read(shared, name),
        (Method::Put, "objects") => {
            let condition = http::header(&request, "x-if-version");
            let response = write(shared, name, condition.as_deref(), body);
            if shared.store().loses_response() {
                return drop_connection(&request, link);
            }
            response
        }
        (Method::Delete, "objects") => {
            let response = remove(shared, name);
            if shared.store().loses_response() {
                return drop_connection(&request, link);
            }
            response
        }
        (Method::Get, "list") => list_objects(shared, name),
        (Method::Get, "watch") => {
            let wait = Duration::from_millis(parts.query_u64("wait_ms"));
            watch(
                shared,
                name,
                parts.query_u64("after"),
                wait.min(MAX_WATCH_DURATION),
            )
        }
        (Method::Get, "instances") => {
            shared.store().calls.reads += 1;
            Response::json(200, &shared.store().lagged_instances())
        }
        _ => Response::new(404),
    };
    response.send(request);
}

fn drop_connection(request: &Request, link: &Link) {
    if let Some(&peer) = request.remote_addr() {
        link.drop_connection(peer);
    }
}

fn object_response(object: &Object) -> Response {
    Response::new(200)
        .with_header("x-version", object.version)
        .with_body(object.bytes.clone())
}

fn read(shared: &Shared, path: &str) -> Response {
    let mut store = shared.store();
    store.calls.reads += 1;
    store
        .objects
        .get(path)
        .map_or_else(|| Response::new(404), object_response)
}

/// Writes an object if its version is the one in `condition`, 0 for an object that does
/// not exist; in any case without a condition.
fn write(shared: &Shared, path: &str, condition: Option<&str>, bytes: Vec<u8>) -> Response {
    let mut store = shared.store();
    store.calls.writes += 1;
    if bytes.len() > MAX_VALUE_BYTES {
        return Response::new(413);
    }
    let current_version = store.current_version(path);
    let expected = match condition.map(str::parse) {
        None => current_version,
        Some(Ok(version)) => version,
        Some(Err(_)) => return Response::new(400),
    };
    if expected != current_version {
        return Response::new(409).with_header("x-version", current_version);
    }
    let version = store.put(path, bytes);
    shared.changed.notify_all();
    Response::new(200).with_header("x-version", version)
}

fn remove(shared: &Shared, path: &str) -> Response {
    let mut store = shared.store();
    store.calls.writes += 1;
    match store.objects.remove(path) {
        Some(_) => Response::new(200),
        None => Response::new(404),
    }
}

fn list_objects(shared: &Shared, prefix: &str) -> Response {
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
    Response::json(200, &entries)
}

/// Waits until the object has a version above `after`, or returns 304 after `wait`. A
/// deletion does not end the wait.
fn watch(shared: &Shared, path: &str, after: u64, wait: Duration) -> Response {
    let mut store = shared.store();
    store.calls.watches += 1;
    let asked = Span(wait.as_millis() as u64);
    store.calls.longest_watch = store.calls.longest_watch.max(asked);
    let unchanged = |store: &mut Store| store.current_version(path) <= after;
    let (store, _) = shared
        .changed
        .wait_timeout_while(store, wait, unchanged)
        .expect("no thread panics while holding the lock");
    match store.objects.get(path) {
        Some(object) if object.version > after => object_response(object),
        _ => Response::new(304),
    }
}
