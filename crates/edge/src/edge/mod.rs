//! State of the process, and the dispatch of readiness events.

mod accept;
mod announce;
mod callers;
mod deliver;
mod endpoints;
mod ends;
mod evacuations;
mod eviction;
mod fleet;
mod identify;
mod memory;
mod requests;
mod responses;
mod runners;
mod store;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use balsamchute_adapter::store::Kind;
use balsamchute_base::clock::Clock;
use balsamchute_base::rank;
use balsamchute_model::prelude::*;
use balsamchute_model::settings::Bounds;
use balsamchute_schedule::action::Id;
use balsamchute_schedule::admission::Admission;
use balsamchute_schedule::cold;
use balsamchute_schedule::memory::Account;
use balsamchute_schedule::record::Writer;
use balsamchute_schedule::route;
use balsamchute_schedule::scheduler::{self, Scheduler};
use mio::event::Event;
use mio::net::{TcpListener, UdpSocket};
use mio::{Interest, Registry as Poller, Token};
use stakker::{CX, after};

use crate::caller;
use crate::client;
use crate::contact::Contact;
use crate::edge::evacuations::Domains;
use crate::edge::fleet::Confirmer;
use crate::ending::Endings;
use crate::error::Error;
use crate::output::Output;
use crate::peers::{Phase, Table};
use crate::pool::Pool;
use crate::registry::{Registry, Source};
use crate::server;
use crate::slots::Slots;
use crate::socket::{Input, Socket, limit_receive_buffer};
use crate::stats::Stats;
use crate::transaction::Transaction;
use crate::upstream;
use crate::watcher::Watcher;

/// Interval at which timeouts and periodic work are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of the scan for connections that exceed a timeout.
const SWEEP_INTERVAL: Span = Span(100);

/// Time for which a router that starts waits to hear from any peer.
const PEER_WAIT: Span = Span(1000);

/// Same as [`PEER_WAIT`] once it has heard from peers that all start as well: two
/// intervals of the exchange, in which one that serves would have been heard.
const RESTART_WAIT: Span = Span(200);

/// Time for which a router that starts waits for the view of a peer that serves.
const VIEW_WAIT: Span = Span(2000);

/// Size of the read buffer, which bounds a single read.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// A socket registered with the event loop. Its index in [`Slots`] is its poll token, and is not
/// used again for another socket.
#[derive(Debug)]
enum Slot {
    CallerListener(TcpListener),
    ServerListener(TcpListener, server::Endpoint),
    PeerSocket(UdpSocket),
    Caller(Box<caller::Connection>),
    Upstream(Box<upstream::Connection>),
    Client(Box<client::Connection>),
    Server(Box<server::Connection>),
}

/// State of the process, owned by the event loop.
pub(crate) struct Edge {
    settings: Settings,
    clock: Clock,
    poller: Poller,
    slots: Slots<Slot>,
    read_buffer: Vec<u8>,
    output: Output,
    stats: Stats,
    scheduler: Scheduler,
    manifest: Option<Arc<Manifest>>,
    // Manifest as the operator wrote it, for the views of other routers.
    manifest_bytes: Vec<u8>,
    registry: Registry,
    // Listed runners whose malformed notices were logged.
    malformed_notices: BTreeSet<Runner>,
    // Whether a full list of runners was received, possibly an empty one.
    is_runner_list_loaded: bool,
    is_router_list_loaded: bool,
    transactions: HashMap<Id, Transaction>,
    next_id: Id,
    // Longest remaining time seen on a request, by route name.
    longest_times_left: HashMap<String, Span>,
    pool: Pool,
    endings: Endings,
    caller_listener: usize,
    caller_count: usize,
    // Indices of connections whose input was left, to go on with.
    queued: VecDeque<usize>,
    // Bytes that were read from callers in this turn.
    turn_bytes: usize,
    // Connections to the internal endpoints.
    server_count: usize,
    // Memory that callers make the process hold.
    account: Account,
    watchers: BTreeMap<Kind, Watcher>,
    // Evacuated failure domains; `None` where the platform has no evacuations.
    evacuations: Option<Domains>,
    contact: Contact,
    // Indices of the connections to the store, by kind of object.
    watch_connections: BTreeMap<Kind, usize>,
    // Whether this router's object was written to the store, or is being written.
    announced: bool,
    // Time from which on the object may be written.
    announce_at: Time,
    // Whether a write of the object waits for its response.
    is_writing: bool,
    // Whether a record that changed has not reached the store.
    repeats_record: bool,
    record_writer: Writer,
    // Whether a record of versions or streams in the store could not be decoded.
    has_malformed_record: bool,
    route_changes: route::Changes,
    // Routes in the last record that was written.
    written_routes: Option<route::Record>,
    // Era of the store; `None` before the first response that names one.
    store_era: Option<u64>,
    last_view_request: Option<Time>,
    // Source of the latest confirmation of the list of runners.
    confirmer: Confirmer,
    // Whether a peer's view was applied since the start.
    has_peer_view: bool,
    started: Time,
    peers: Table,
    peer_socket: usize,
    phase: Phase,
    // Time at which the graceful shutdown began.
    leaving_since: Option<Time>,
    last_sweep: Time,
    last_exchange: Time,
    // Appearances of versions up to the last datagrams that were sent.
    announced_appearances: u64,
    // Time since which bytes that are read in this turn may have waited: the process may have
    // been stopped meanwhile.
    arrived_after: Time,
    // Time at which datagrams of other routers were last read.
    datagrams_read_at: Time,
    // Whether the last turn left callers' connections in the accept queue.
    has_pending_accepts: bool,
    // Time since which callers' connections may have waited in the accept queue; `None` if the
    // last turn left none.
    accepts_wait_since: Option<Time>,
    admission: Admission,
    done: bool,
}

impl Edge {
    /// Opens all listeners and starts reading from the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if an address cannot be used.
    pub fn new(
        settings: Settings,
        clock: Clock,
        poller: Poller,
        output: Output,
    ) -> Result<Self, Error> {
        let now = clock.now();
        let scheduler = Scheduler::new(scheduler::Settings {
            process_name: format!("{}.{}", settings.instance, clock.start().0),
            domain: settings.domain.clone(),
            share_window: settings.bounds.share_window,
            retry_ratio: settings.bounds.retry_ratio,
            retry_slack: settings.bounds.retry_slack,
            retry_window: settings.bounds.retry_window,
        });
        let scheduler = scheduler.with_cold_bound(cold::Bound {
            ratio: settings.bounds.cold_ratio,
            slack: settings.bounds.cold_slack,
        });
        let bounds = &settings.bounds;
        let evacuation_watcher = bounds
            .evacuation
            .map(|bound| Watcher::new(Kind::Evacuations).with_change_bound(bound));
        let watchers = [
            Watcher::new(Kind::Manifest).with_change_bound(bounds.manifest_change),
            Watcher::new(Kind::Runners).with_change_bound(bounds.runner_drain),
            Watcher::new(Kind::Routers).with_current_list(!settings.bootstrap),
        ];
        let score = rank::score("record", settings.instance.as_str());
        let position = score as f64 / (u64::MAX as f64 + 1.0);
        let record_writer = Writer::new(position.min(0.999), settings.store_writes_per_s);
        let mut edge = Edge {
            clock,
            poller,
            slots: Slots::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            output,
            stats: Stats::new().map_err(Error::Metrics)?,
            scheduler,
            manifest: None,
            manifest_bytes: Vec::new(),
            registry: Registry::new(settings.heartbeat),
            malformed_notices: BTreeSet::new(),
            is_runner_list_loaded: false,
            is_router_list_loaded: false,
            transactions: HashMap::new(),
            next_id: 0,
            longest_times_left: HashMap::new(),
            pool: Pool::new(),
            endings: Endings::default(),
            caller_listener: 0,
            caller_count: 0,
            queued: VecDeque::new(),
            turn_bytes: 0,
            server_count: 0,
            account: Account::new(settings.resource_limits.memory_bytes),
            watchers: watchers
                .into_iter()
                .chain(evacuation_watcher)
                .map(|watcher| (watcher.kind(), watcher))
                .collect(),
            evacuations: bounds.evacuation.map(|_| Domains::default()),
            contact: Contact::new(),
            watch_connections: BTreeMap::new(),
            announced: false,
            announce_at: now,
            is_writing: false,
            repeats_record: false,
            record_writer,
            has_malformed_record: false,
            route_changes: route::Changes::default(),
            written_routes: None,
            store_era: None,
            last_view_request: None,
            confirmer: Confirmer::None,
            has_peer_view: false,
            started: now,
            peers: Table::new(settings.listen.peers),
            peer_socket: 0,
            phase: Phase::Starting,
            leaving_since: None,
            last_sweep: now,
            // The first datagrams go out with the first tick.
            last_exchange: Time(0),
            announced_appearances: 0,
            arrived_after: now,
            datagrams_read_at: now,
            has_pending_accepts: false,
            accepts_wait_since: None,
            admission: Admission::new(),
            done: false,
            settings,
        };
        if edge.settings.bootstrap {
            edge.scheduler.origins_mut().versions_mut().set_first();
            edge.route_changes.set_complete();
        }
        edge.listen()?;
        edge.add_seeds();
        log::info!(
            target: "process",
            "event=start instance={} domain={} callers={} incarnation={}",
            edge.settings.instance,
            edge.settings.domain,
            edge.settings.listen.callers,
            edge.clock.start().0
        );
        Ok(edge)
    }

    /// Initializes the actor with an existing state.
    pub fn start(_cx: CX![], edge: Edge) -> Option<Self> {
        Some(edge)
    }

    fn listen(&mut self) -> Result<(), Error> {
        let listen = self.settings.listen;
        let caller_listener = bind_listener(listen.callers)?;
        self.caller_listener =
            self.add_listener(listen.callers, Slot::CallerListener(caller_listener))?;
        let servers = [
            (listen.ready, server::Endpoint::Ready),
            (listen.directory, server::Endpoint::Directory),
            (listen.peers, server::Endpoint::Peers),
        ];
        for (address, endpoint) in servers {
            let socket = bind_listener(address)?;
            self.add_listener(address, Slot::ServerListener(socket, endpoint))?;
        }
        let metrics = bind_listener(listen.metrics).and_then(|socket| {
            let slot = Slot::ServerListener(socket, server::Endpoint::Metrics);
            self.add_listener(listen.metrics, slot)
        });
        if let Err(error) = metrics {
            // A router without metrics still serves requests.
            log::warn!(target: "process", "event=no_metrics reason={:?}", error.to_string());
        }
        let bound = UdpSocket::bind(listen.peers);
        let socket = bound.map_err(|error| listen_error(listen.peers, error))?;
        self.peer_socket = self.add_listener(listen.peers, Slot::PeerSocket(socket))?;
        Ok(())
    }

    fn add_listener(&mut self, address: SocketAddr, slot: Slot) -> Result<usize, Error> {
        let index = self.slots.insert(slot);
        let token = Token(index);
        let registered = match self.slots.get_mut(index) {
            Some(Slot::CallerListener(socket) | Slot::ServerListener(socket, _)) => {
                self.poller.register(socket, token, Interest::READABLE)
            }
            Some(Slot::PeerSocket(socket)) => {
                self.poller.register(socket, token, Interest::READABLE)
            }
            _ => Ok(()),
        };
        registered.map_err(|error| listen_error(address, error))?;
        Ok(index)
    }

    /// Returns whether the last turn left work that waits for no event: connections in the
    /// accept queue, or input.
    pub fn has_pending_work(&self) -> bool {
        self.has_pending_accepts || !self.queued.is_empty()
    }

    /// Lets the event loop go on with a connection whose input was left. The caller of this
    /// method does not go on itself: it would run as deep as requests wait in the input.
    fn queue(&mut self, index: usize) {
        let is_queued = match self.slots.get_mut(index) {
            Some(Slot::Caller(connection)) => &mut connection.is_queued,
            Some(Slot::Server(connection)) => &mut connection.is_queued,
            _ => return,
        };
        if !std::mem::replace(is_queued, true) {
            self.queued.push_back(index);
        }
    }

    /// Goes on with the connections whose input was left.
    pub fn continue_queued(&mut self, _cx: CX![]) {
        for _ in 0..self.queued.len() {
            let Some(index) = self.queued.pop_front() else {
                break;
            };
            match self.slots.get_mut(index) {
                Some(Slot::Caller(connection)) => {
                    connection.is_queued = false;
                    self.handle_caller_ready(index);
                }
                Some(Slot::Server(connection)) => {
                    connection.is_queued = false;
                    self.handle_server_ready(index);
                }
                _ => {}
            }
        }
        self.run_actions();
        self.enforce_memory();
    }

    /// Returns whether the process may exit.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Begins a turn of the event loop, in which bytes are read that arrived after this time.
    /// The machine was suspended meanwhile for a time that the clock does not count.
    pub fn begin_turn(&mut self, _cx: CX![], arrived_after: Instant, suspended: Span) {
        // Rounded up, so that the result is not later.
        let waited = arrived_after.elapsed().as_millis() + 1;
        self.arrived_after = self.now() - Span(waited as u64) - suspended;
        self.turn_bytes = 0;
    }

    /// Handles a readiness event for the socket at `index`.
    pub fn handle_ready(&mut self, _cx: CX![], index: usize) {
        match self.slots.get(index) {
            Some(Slot::CallerListener(_) | Slot::ServerListener(..)) => self.accept(index),
            Some(Slot::PeerSocket(_)) => self.receive_datagrams(index),
            Some(Slot::Caller(_)) => self.handle_caller_ready(index),
            Some(Slot::Upstream(_)) => self.handle_upstream_ready(index),
            Some(Slot::Client(_)) => self.handle_client_ready(index),
            Some(Slot::Server(_)) => self.handle_server_ready(index),
            // An earlier event of this turn closed the connection.
            None => {}
        }
        self.run_actions();
        self.enforce_memory();
    }

    /// Runs the periodic work and schedules the next tick.
    pub fn tick(&mut self, cx: CX![]) {
        let now = self.now();
        self.settle_endings(cx);
        self.scheduler.tick(now);
        self.run_actions();
        self.poll_store(now);
        let changes = self.registry.expire(now);
        self.apply_runner_changes(now, changes, Source::Timer);
        self.advance_evacuations(now);
        self.exchange(now);
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
        }
        self.advance_phase(now);
        self.output.flush();
        after!(TICK_INTERVAL, [cx], tick());
    }

    /// Begins the graceful shutdown.
    pub fn begin_shutdown(&mut self, _cx: CX![]) {
        if self.leaving_since.is_some() {
            return;
        }
        let now = self.now();
        self.leaving_since = Some(now);
        self.phase = Phase::Leaving;
        log::info!(target: "process", "event=stop_begins requests={}", self.transactions.len());
        self.send_frames(now);
    }

    /// Adds new seeds and replaces the grace period and the time for which callers keep
    /// a list of routers. Other settings require a restart.
    pub fn reload(&mut self, _cx: CX![], settings: Settings) {
        if settings == self.settings {
            return;
        }
        let bounds = Bounds {
            termination_grace: settings.bounds.termination_grace,
            address_ttl: settings.bounds.address_ttl,
            ..self.settings.bounds
        };
        let applied = Settings {
            seeds: settings.seeds.clone(),
            bounds,
            ..self.settings.clone()
        };
        if applied != settings {
            log::warn!(target: "process", "event=reload_partial reason=\"only seeds, grace period and address TTL change without a restart\"");
        }
        self.settings = applied;
        self.add_seeds();
        log::info!(target: "process", "event=reload seeds={:?}", self.settings.seeds);
    }

    /// Moves from starting to serving, and from leaving to the exit.
    fn advance_phase(&mut self, now: Time) {
        match self.phase {
            Phase::Starting
                if self.is_synced()
                    && self.is_introduced(now)
                    && self.has_records(now)
                    && self.may_serve_evacuations(now) =>
            {
                self.phase = Phase::Serving;
                log::info!(
                    target: "process",
                    "event=serving manifest={} runners={}",
                    self.manifest_version(),
                    self.registry.entries().count()
                );
                self.send_frames(now);
            }
            Phase::Leaving => self.advance_leaving(now),
            _ => {}
        }
    }

    /// Returns whether the peers were asked for what the store may have lost: a later
    /// manifest, and runners that left. Ends when no peer answers in time.
    fn is_introduced(&self, now: Time) -> bool {
        let mut phases = self.peers.alive(now).map(|peer| peer.descriptor.phase);
        let max_wait = match phases.next() {
            None => PEER_WAIT,
            Some(Phase::Serving) => VIEW_WAIT,
            Some(_) if phases.any(|phase| phase == Phase::Serving) => VIEW_WAIT,
            Some(_) => RESTART_WAIT,
        };
        let waited = now.since(self.started);
        self.has_peer_view || self.peers.is_empty() || waited >= max_wait
    }

    /// Returns whether the manifest and the runner list are loaded.
    fn is_synced(&self) -> bool {
        self.manifest.is_some() && self.is_runner_list_loaded
    }

    fn manifest_version(&self) -> u64 {
        self.manifest
            .as_ref()
            .map_or(0, |manifest| manifest.version)
    }

    fn register(&mut self, index: usize) -> io::Result<()> {
        let token = Token(index);
        match self.slots.get_mut(index).and_then(socket_of) {
            Some(socket) => socket.register(&self.poller, token),
            None => Ok(()),
        }
    }

    /// Closes a connection in any state.
    fn close(&mut self, index: usize) {
        let Some(mut slot) = self.slots.try_remove(index) else {
            return;
        };
        match &slot {
            Slot::Caller(connection) => {
                self.caller_count -= 1;
                self.account.update(connection.charged, 0);
            }
            Slot::Server(connection) => {
                self.server_count -= 1;
                self.account.update(connection.charged, 0);
            }
            Slot::Upstream(connection) => {
                self.pool.remove(&connection.runner, index);
                let witness = self.endings.witnesses.get_mut(&connection.address);
                if let Some(witness) = witness.filter(|witness| **witness == Some(index)) {
                    *witness = None;
                }
            }
            _ => {}
        }
        if let Some(socket) = socket_of(&mut slot) {
            socket.deregister(&self.poller);
        }
    }

    /// Reads once from a connection into the read buffer.
    fn read(&mut self, index: usize) -> Input {
        let Some(slot) = self.slots.get_mut(index) else {
            return Input::WouldBlock;
        };
        let limit = match slot {
            Slot::Caller(connection) => connection.read_limit(),
            _ => None,
        };
        let limit = limit.unwrap_or(READ_BUFFER_BYTES).min(READ_BUFFER_BYTES);
        match socket_of(slot) {
            Some(socket) => socket.read(&mut self.read_buffer[..limit]),
            None => Input::WouldBlock,
        }
    }
}

fn socket_of(slot: &mut Slot) -> Option<&mut Socket> {
    match slot {
        Slot::Caller(connection) => Some(&mut connection.socket),
        Slot::Upstream(connection) => Some(&mut connection.socket),
        Slot::Client(connection) => Some(&mut connection.socket),
        Slot::Server(connection) => Some(&mut connection.socket),
        Slot::CallerListener(_) | Slot::ServerListener(..) | Slot::PeerSocket(_) => None,
    }
}

fn bind_listener(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).map_err(|error| listen_error(address, error))?;
    limit_receive_buffer(&listener);
    Ok(listener)
}

fn listen_error(address: SocketAddr, error: io::Error) -> Error {
    Error::Listen { address, error }
}

/// Returns the index that an event refers to.
pub(crate) fn index_of(event: &Event) -> usize {
    event.token().0
}
