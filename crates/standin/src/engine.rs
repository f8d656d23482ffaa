//! A model engine: continuous batching, prefix cache, streams that resume.
//!
//! It admits every request. Each generates at the set rate while no more run
//! than there are slots, and slower in proportion beyond. One thread makes the
//! tokens of all streams.

mod body;
mod handler;
mod settings;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use balsamchute_base::prelude::*;

use crate::clock;
use crate::http;
use crate::link::Link;
use crate::record::Record;

use self::state::State;

pub use self::body::Order;
pub use self::settings::Settings;

struct Shared {
    settings: Settings,
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// A running engine. It stops when the handle is dropped.
pub struct Engine {
    server: http::Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the address cannot be listened on.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let address = settings.address;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(&settings)),
            settings,
            changed: Condvar::new(),
        });
        let shared_state = Arc::clone(&shared);
        let server = http::Server::start(address, move |request, _link| {
            handler::handle(&shared_state, request);
        })?;
        let (ticker, link) = (Arc::clone(&shared), server.shared_link());
        thread::Builder::new()
            .name("standin-engine".to_owned())
            .spawn(move || generate_tokens(&ticker, &link))?;
        Ok(Self { server, shared })
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Returns the address that clients use.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.link().address()
    }

    /// Kills the engine: connections are cut, its state is lost, and it stays
    /// away until [`Engine::restart`].
    pub fn kill(&self) {
        // Connections go first, so that no half-made answer gets out.
        self.server.link().close();
        self.shared.state().crash(&self.shared.settings);
    }

    /// Starts a killed engine as a new incarnation at the same address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the address cannot be listened on.
    pub fn restart(&self) -> io::Result<()> {
        self.server.link().open()
    }

    /// Cuts all connections but goes on running.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the address cannot be listened on
    /// again.
    pub fn cut_connections(&self) -> io::Result<()> {
        self.server.link().close();
        self.server.link().open()
    }

    /// Holds back all bytes while `frozen`.
    pub fn set_frozen(&self, frozen: bool) {
        self.server.link().set_frozen(frozen);
    }

    /// Notes that the engine leaves; it still takes what it is sent.
    pub fn set_leaving(&self) {
        self.shared.state().leaving = Some(clock::now());
    }

    /// Returns when the engine began to leave.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Time> {
        self.shared.state().leaving
    }

    /// Sets the tokens that one request generates in a second.
    pub fn set_speed(&self, tokens_per_second: f64) {
        self.shared.state().speed = tokens_per_second;
        self.shared.changed.notify_all();
    }

    /// Sets how old load reports are.
    pub fn set_report_lag(&self, lag: Span) {
        self.shared.state().report_lag = lag;
    }

    /// Sets how late an answer begins after its request has started to run.
    pub fn set_answer_delay(&self, delay: Span) {
        self.shared.state().answer_delay = delay;
    }

    /// Sets how late cache events come, and the share of them that never does.
    pub fn set_event_faults(&self, lag: Span, gap: f64) {
        self.shared.state().cache.set_faults(lag, gap);
    }

    /// Returns what the engine did, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.shared.state().ledger.records().to_vec()
    }

    /// Returns the orders that it took, with their fencing numbers.
    #[must_use]
    pub fn orders(&self) -> Vec<(u64, Order)> {
        self.shared.state().orders.clone()
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.state().ledger.running()
    }

    /// Returns the most requests that ran at once.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.shared.state().ledger.peak()
    }

    /// Returns the slot time used up to now, in milliseconds: the integral over
    /// time of the requests that run, up to the number of slots.
    #[must_use]
    pub fn busy_ms(&self) -> u64 {
        self.shared.state().ledger.busy_ms()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.server.link().close();
        self.shared.state().stopped = true;
        self.shared.changed.notify_all();
    }
}

/// Makes the tokens of all streams until the engine is stopped.
fn generate_tokens(shared: &Arc<Shared>, link: &Arc<Link>) {
    let mut last = Instant::now();
    let mut state = shared.state();
    while !state.stopped {
        let now = Instant::now();
        let crashed = state.advance(now - last, &shared.settings);
        last = now;
        if crashed {
            drop(state);
            link.close();
            state = shared.state();
            state.crash(&shared.settings);
            restart_later(shared, link, state.life);
        } else if state.is_idle() {
            state = shared.changed.wait(state).expect("no holder panics");
            last = Instant::now();
        } else {
            let round = state.round();
            let waited = shared.changed.wait_timeout(state, round);
            state = waited.expect("no holder panics").0;
        }
    }
}

fn restart_later(shared: &Arc<Shared>, link: &Arc<Link>, life: u64) {
    let (shared, link) = (Arc::clone(shared), Arc::clone(link));
    thread::spawn(move || {
        thread::sleep(shared.settings.restart.into());
        let state = shared.state();
        if state.life == life && !state.stopped {
            drop(state);
            if let Err(error) = link.open() {
                log::error!("standin: {} stays away: {error}", shared.settings.name);
            }
        }
    });
}
