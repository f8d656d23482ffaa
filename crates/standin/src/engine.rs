//! Model engine with continuous batching, a prefix cache and resumable streams.
//!
//! The engine has no queue: it starts every request at once. Requests generate at
//! the configured rate while there are no more of them than slots; beyond that,
//! the rate drops in proportion. A single thread generates the tokens of all
//! streams.

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
        self.state
            .lock()
            .expect("no thread panics while holding the lock")
    }
}

/// Running engine. Dropping the handle stops it.
pub struct Engine {
    server: http::Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the engine cannot listen on the address.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let address = settings.address;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(&settings)),
            settings,
            changed: Condvar::new(),
        });
        let handler_shared = Arc::clone(&shared);
        let server = http::Server::start(address, move |request, _link| {
            handler::handle(&handler_shared, request);
        })?;
        let (generator_shared, link) = (Arc::clone(&shared), server.shared_link());
        thread::Builder::new()
            .name("standin-engine".to_owned())
            .spawn(move || generate_tokens(&generator_shared, &link))?;
        Ok(Self { server, shared })
    }

    /// Returns the name from the settings.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.link().address()
    }

    /// Kills the engine: drops its connections and its state, and refuses
    /// connections until [`Engine::restart`].
    pub fn kill(&self) {
        // Close connections first, so that no partial response is sent.
        self.server.link().close();
        self.shared.state().crash(&self.shared.settings);
    }

    /// Starts a killed engine as a new incarnation at the same address.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the engine cannot listen on the address.
    pub fn restart(&self) -> io::Result<()> {
        self.server.link().open()
    }

    /// Drops all connections while the engine keeps running.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the engine cannot listen on the address again.
    pub fn drop_connections(&self) -> io::Result<()> {
        self.server.link().close();
        self.server.link().open()
    }

    /// Holds back all bytes in both directions while `stalled` is set.
    pub fn set_stalled(&self, stalled: bool) {
        self.server.link().set_stalled(stalled);
    }

    /// Records the time at which the engine began to leave. It still accepts requests, and
    /// its load reports do not show this.
    pub fn set_leaving(&self) {
        self.shared.state().leaving_since = Some(clock::now());
    }

    /// Returns the time of the last [`Engine::set_leaving`], `None` if not
    /// leaving.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Time> {
        self.shared.state().leaving_since
    }

    /// Sets the tokens per second that one request generates at full speed.
    pub fn set_tokens_per_second(&self, tokens_per_second: f64) {
        self.shared.state().tokens_per_second = tokens_per_second;
        self.shared.changed.notify_all();
    }

    /// Sets the age of load reports.
    pub fn set_report_lag(&self, lag: Span) {
        self.shared.state().report_lag = lag;
    }

    /// Sets the delay between the start of a request and its response, unlike that of the
    /// plain service, which follows the end.
    pub fn set_response_delay(&self, delay: Span) {
        self.shared.state().response_delay = delay;
    }

    /// Sets the delay before cache events become visible, and the share of events
    /// (0 to 1) that are lost.
    pub fn set_event_faults(&self, lag: Span, loss_share: f64) {
        self.shared.state().cache.set_faults(lag, loss_share);
    }

    /// Returns the execution records, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.shared.state().ledger.records().to_vec()
    }

    /// Returns the accepted orders with their fencing numbers, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<(u64, Order)> {
        self.shared.state().orders.clone()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.state().ledger.running()
    }

    /// Returns the highest number of requests that ran concurrently.
    #[must_use]
    pub fn peak_running(&self) -> u32 {
        self.shared.state().ledger.peak_running()
    }

    /// Returns the slot time used up to now, in milliseconds: the number of
    /// running requests, capped at the number of slots, integrated over time.
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

/// Generates the tokens of all streams until the engine is stopped.
fn generate_tokens(shared: &Arc<Shared>, link: &Arc<Link>) {
    let mut last_advance = Instant::now();
    let mut state = shared.state();
    while !state.stopped {
        let now = Instant::now();
        let crashed = state.advance(now - last_advance, &shared.settings);
        last_advance = now;
        if crashed {
            drop(state);
            link.close();
            state = shared.state();
            state.crash(&shared.settings);
            schedule_restart(shared, link, state.epoch);
        } else if state.is_idle() {
            state = shared
                .changed
                .wait(state)
                .expect("no thread panics while holding the lock");
            last_advance = Instant::now();
        } else {
            let tick_interval = state.tick_interval();
            let wait_result = shared.changed.wait_timeout(state, tick_interval);
            state = wait_result
                .expect("no thread panics while holding the lock")
                .0;
        }
    }
}

fn schedule_restart(shared: &Arc<Shared>, link: &Arc<Link>, epoch: u64) {
    let (shared, link) = (Arc::clone(shared), Arc::clone(link));
    thread::spawn(move || {
        thread::sleep(shared.settings.restart_delay.into());
        let state = shared.state();
        if state.epoch == epoch && !state.stopped {
            drop(state);
            if let Err(error) = link.open() {
                log::error!(
                    "standin: {} cannot listen again after a crash: {error}",
                    shared.settings.name
                );
            }
        }
    });
}
