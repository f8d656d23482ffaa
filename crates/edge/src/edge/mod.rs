//! The state of the process, and what each readiness event does to it.

mod callers;
mod deliver;
mod fleet;
mod questions;
mod runners;
mod store;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamchute_adapter::store::Kind;
use balsamchute_base::clock::Clock;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;
use balsamchute_schedule::core::{self, Core};
use mio::event::Event;
use mio::net::{TcpListener, UdpSocket};
use mio::{Interest, Registry as Poller, Token};
use slab::Slab;
use stakker::{CX, after};

use crate::caller;
use crate::client;
use crate::error::Error;
use crate::flight::Flight;
use crate::output::Output;
use crate::peers::{Phase, Table};
use crate::pool::Pool;
use crate::registry::Registry;
use crate::report::Report;
use crate::server;
use crate::socket::{Input, Socket};
use crate::sync::Sync;
use crate::upstream;

/// Interval at which waits and time limits are looked at.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which idle connections are looked at.
const SWEEP: Span = Span(100);

/// Bytes that one read takes at most.
const READ_BYTES: usize = 64 * 1024;

/// Connections of callers that one turn of the loop accepts at most. Requests in
/// hand, and callers that leave, must not wait for all that flood a router.
const MAX_ACCEPTED: usize = 16;

/// Share of the descriptors that callers' connections may use.
const CALLER_DESCRIPTORS: f64 = 0.6;

/// What a slot of the event loop holds.
#[derive(Debug)]
enum Slot {
    Callers(TcpListener),
    Server(TcpListener, server::Purpose),
    Datagrams(UdpSocket),
    Caller(Box<caller::Connection>),
    Upstream(Box<upstream::Connection>),
    Client(Box<client::Connection>),
    Question(Box<server::Connection>),
}

/// The state of the process.
pub(crate) struct Edge {
    settings: Settings,
    clock: Clock,
    poller: Poller,
    slots: Slab<Slot>,
    scratch: Vec<u8>,
    output: Output,
    report: Report,
    core: Core,
    manifest: Option<Arc<Manifest>>,
    manifest_bytes: Vec<u8>,
    registry: Registry,
    has_runners: bool,
    flights: HashMap<Id, Flight>,
    next_id: Id,
    // Longest time that callers of a route wait, by its name.
    patience: HashMap<String, Span>,
    pool: Pool,
    callers_listener: usize,
    callers: usize,
    body_bytes: usize,
    syncs: BTreeMap<Kind, Sync>,
    followers: BTreeMap<Kind, usize>,
    announced: bool,
    store_heard: Option<Time>,
    store_failed: Option<Time>,
    view_asked: Option<Time>,
    peers: Table,
    datagrams: usize,
    phase: Phase,
    leaving_since: Option<Time>,
    swept: Time,
    exchanged: Time,
    // Whether more connections may wait to be accepted than a turn took.
    accepts_more: bool,
    done: bool,
}

impl Edge {
    /// Listens on all addresses and begins to follow the store.
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
        let core = Core::new(core::Settings {
            origin: format!("{}.{}", settings.instance, clock.start().0),
            domain: settings.domain.clone(),
            share_window: settings.bounds.share_window,
            retry_ratio: settings.bounds.retry_ratio,
            retry_slack: settings.bounds.retry_slack,
            retry_window: settings.bounds.retry_window,
        });
        let kinds = [Kind::Manifest, Kind::Runners, Kind::Routers];
        let mut edge = Edge {
            clock,
            poller,
            slots: Slab::new(),
            scratch: vec![0; READ_BYTES],
            output,
            report: Report::new().map_err(Error::Metrics)?,
            core,
            manifest: None,
            manifest_bytes: Vec::new(),
            registry: Registry::new(),
            has_runners: false,
            flights: HashMap::new(),
            next_id: 0,
            patience: HashMap::new(),
            pool: Pool::new(),
            callers_listener: 0,
            callers: 0,
            body_bytes: 0,
            syncs: kinds.map(|kind| (kind, Sync::new(kind))).into(),
            followers: BTreeMap::new(),
            announced: false,
            store_heard: None,
            store_failed: None,
            view_asked: None,
            peers: Table::new(settings.listen.peers),
            datagrams: 0,
            phase: Phase::Starting,
            leaving_since: None,
            swept: now,
            exchanged: now,
            accepts_more: false,
            done: false,
            settings,
        };
        edge.listen()?;
        edge.learn_seeds();
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

    /// Becomes an actor.
    pub fn start(_cx: CX![], edge: Edge) -> Option<Self> {
        Some(edge)
    }

    fn listen(&mut self) -> Result<(), Error> {
        let listen = self.settings.listen;
        let callers = listener(listen.callers)?;
        self.callers_listener = self.add_listener(listen.callers, Slot::Callers(callers))?;
        let servers = [
            (listen.ready, server::Purpose::Ready),
            (listen.directory, server::Purpose::Directory),
            (listen.peers, server::Purpose::Peers),
        ];
        for (address, purpose) in servers {
            let socket = listener(address)?;
            self.add_listener(address, Slot::Server(socket, purpose))?;
        }
        let metrics = listener(listen.metrics).and_then(|socket| {
            let slot = Slot::Server(socket, server::Purpose::Metrics);
            self.add_listener(listen.metrics, slot)
        });
        if let Err(error) = metrics {
            // Serving goes before being measured.
            log::warn!(target: "process", "event=no_metrics reason={:?}", error.to_string());
        }
        let bound = UdpSocket::bind(listen.peers);
        let datagrams = bound.map_err(|error| listen_error(listen.peers, error))?;
        self.datagrams = self.add_listener(listen.peers, Slot::Datagrams(datagrams))?;
        Ok(())
    }

    fn add_listener(&mut self, address: SocketAddr, slot: Slot) -> Result<usize, Error> {
        let index = self.slots.insert(slot);
        let token = Token(index);
        let registered = match &mut self.slots[index] {
            Slot::Callers(socket) | Slot::Server(socket, _) => {
                self.poller.register(socket, token, Interest::READABLE)
            }
            Slot::Datagrams(socket) => self.poller.register(socket, token, Interest::READABLE),
            _ => Ok(()),
        };
        registered.map_err(|error| listen_error(address, error))?;
        Ok(index)
    }

    /// Accepts connections of callers that the last turn left waiting.
    pub fn accept_more(&mut self, _cx: CX![]) {
        if std::mem::take(&mut self.accepts_more) {
            self.accept(self.callers_listener);
            self.act();
        }
    }

    /// Returns whether connections of callers wait to be accepted.
    pub fn accepts_more(&self) -> bool {
        self.accepts_more
    }

    /// Returns whether the process may exit.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Acts on a readiness event.
    pub fn ready(&mut self, _cx: CX![], token: usize) {
        match self.slots.get(token) {
            Some(Slot::Callers(_) | Slot::Server(..)) => self.accept(token),
            Some(Slot::Datagrams(_)) => self.receive_datagrams(token),
            Some(Slot::Caller(_)) => self.caller_ready(token),
            Some(Slot::Upstream(_)) => self.upstream_ready(token),
            Some(Slot::Client(_)) => self.client_ready(token),
            Some(Slot::Question(_)) => self.question_ready(token),
            // The connection was closed by an earlier event of this turn.
            None => {}
        }
        self.act();
    }

    /// Does what is due by time, and calls itself again.
    pub fn tick(&mut self, cx: CX![]) {
        let now = self.now();
        self.core.tick(now);
        self.act();
        self.follow_store(now);
        for change in self.registry.expire(now) {
            self.apply_runner(now, change);
        }
        self.exchange(now);
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.sweep(now);
        }
        self.advance_phase(now);
        self.output.flush();
        after!(TICK, [cx], tick());
    }

    /// Begins the graceful stop.
    pub fn leave(&mut self, _cx: CX![]) {
        if self.leaving_since.is_some() {
            return;
        }
        let now = self.now();
        self.leaving_since = Some(now);
        self.phase = Phase::Leaving;
        log::info!(target: "process", "event=stop_begins requests={}", self.flights.len());
        self.send_frames(now);
    }

    /// Takes what may change of the settings: seeds and bounds.
    pub fn reload(&mut self, _cx: CX![], settings: Settings) {
        if settings == self.settings {
            return;
        }
        let fixed = Settings {
            seeds: settings.seeds.clone(),
            bounds: settings.bounds,
            ..self.settings.clone()
        };
        if fixed != settings {
            log::warn!(target: "process", "event=reload_partial reason=\"only seeds and bounds change without a restart\"");
        }
        self.settings = fixed;
        self.learn_seeds();
        log::info!(target: "process", "event=reload seeds={:?}", self.settings.seeds);
    }

    /// Moves from starting to serving, and from leaving to the exit.
    fn advance_phase(&mut self, now: Time) {
        match self.phase {
            Phase::Starting if self.is_complete() => {
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

    /// Returns whether manifest and runners are known.
    fn is_complete(&self) -> bool {
        self.manifest.is_some() && self.has_runners
    }

    fn manifest_version(&self) -> u64 {
        self.manifest
            .as_ref()
            .map_or(0, |manifest| manifest.version)
    }

    fn accept(&mut self, token: usize) {
        for count in 0.. {
            if count == MAX_ACCEPTED && token == self.callers_listener {
                log::info!(target: "caller", "event=accepts_wait open={}", self.callers);
                self.accepts_more = true;
                return;
            }
            let accepted = match &self.slots[token] {
                Slot::Callers(listener) | Slot::Server(listener, _) => listener.accept(),
                _ => return,
            };
            match accepted {
                Ok((stream, _)) => self.accepted(token, Socket::new(stream)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!(target: "process", "event=accept_failed error={:?}", error.to_string());
                    return;
                }
            }
        }
    }

    fn accepted(&mut self, token: usize, socket: Socket) {
        let now = self.now();
        let slot = match &self.slots[token] {
            Slot::Server(_, purpose) => {
                Slot::Question(Box::new(server::Connection::new(now, socket, *purpose)))
            }
            _ => {
                let limit = self.settings.machine.descriptors as f64 * CALLER_DESCRIPTORS;
                if self.callers as f64 >= limit && !self.evict_callers() {
                    log::warn!(target: "caller", "event=connection_refused open={}", self.callers);
                    return;
                }
                self.callers += 1;
                Slot::Caller(Box::new(caller::Connection::new(now, socket)))
            }
        };
        let index = self.slots.insert(slot);
        if let Err(error) = self.register(index) {
            log::warn!(target: "process", "event=register_failed error={:?}", error.to_string());
            self.close(index);
        }
    }

    fn register(&mut self, index: usize) -> io::Result<()> {
        let token = Token(index);
        match self.slots.get_mut(index).and_then(socket_of) {
            Some(socket) => socket.register(&self.poller, token),
            None => Ok(()),
        }
    }

    /// Closes a connection without looking at what it was doing.
    fn close(&mut self, index: usize) {
        let Some(mut slot) = self.slots.try_remove(index) else {
            return;
        };
        match &slot {
            Slot::Caller(_) => self.callers -= 1,
            Slot::Upstream(connection) => self.pool.remove(&connection.runner, index),
            _ => {}
        }
        if let Some(socket) = socket_of(&mut slot) {
            socket.deregister(&self.poller);
        }
    }

    /// Reads once from a connection into the scratch buffer.
    fn read(&mut self, index: usize) -> Input {
        match self.slots.get_mut(index).and_then(socket_of) {
            Some(socket) => socket.read(&mut self.scratch),
            None => Input::Nothing,
        }
    }
}

fn socket_of(slot: &mut Slot) -> Option<&mut Socket> {
    match slot {
        Slot::Caller(connection) => Some(&mut connection.socket),
        Slot::Upstream(connection) => Some(&mut connection.socket),
        Slot::Client(connection) => Some(&mut connection.socket),
        Slot::Question(connection) => Some(&mut connection.socket),
        Slot::Callers(_) | Slot::Server(..) | Slot::Datagrams(_) => None,
    }
}

fn listener(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|error| listen_error(address, error))
}

fn listen_error(address: SocketAddr, error: io::Error) -> Error {
    Error::Listen { address, error }
}

/// Returns the slot of an event.
pub(crate) fn slot_of(event: &Event) -> usize {
    event.token().0
}
