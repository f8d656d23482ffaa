//! What the threads of the process share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use balsamchute_base::clock::Clock;
use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Event, Ticket};
use balsamchute_metrics::Metrics;
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::cancel::Cancels;
use crate::hooks::Hooks;
use crate::input::{Input, Query};
use crate::run::Targets;
use crate::settings::Settings;

/// Stack of a thread that serves one request, in bytes.
pub(crate) const STACK_BYTES: usize = 256 * 1024;

/// Time between two looks at whether requests are still being served.
const IDLE_CHECK: Duration = Duration::from_millis(50);

/// How long a thread waits for the actor's answer to a question.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Shared by all threads of the process.
#[derive(Clone)]
pub(crate) struct Work {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The hooks.
    pub hooks: Hooks,
    /// The clock.
    pub clock: Clock,
    /// The actor's inputs.
    pub inputs: Sender<Input>,
    /// Connections to other routers, kept between requests.
    pub pooled: ureq::Agent,
    /// Connections to other routers, each for one request.
    pub fresh: ureq::Agent,
    /// Clients of targets.
    pub targets: Targets,
    /// Attempts that can be cancelled.
    pub cancels: Cancels,
    /// What is counted for operators.
    pub metrics: Arc<Metrics>,
    tickets: Arc<AtomicU64>,
    busy: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
}

/// A place among the requests served at the same time.
pub(crate) struct Permit(Arc<AtomicUsize>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Work {
    /// Creates what the threads share.
    pub fn new(
        settings: Settings,
        hooks: Hooks,
        clock: Clock,
        inputs: Sender<Input>,
        metrics: Metrics,
        cancels: Cancels,
    ) -> Self {
        Work {
            metrics: Arc::new(metrics),
            settings: Arc::new(settings),
            hooks,
            clock,
            inputs,
            pooled: agent(64),
            fresh: agent(0),
            targets: Targets::new(),
            cancels,
            tickets: Arc::new(AtomicU64::new(1)),
            busy: Arc::default(),
            closing: Arc::default(),
        }
    }

    /// Returns a number for a request.
    pub fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a place to serve a request, `None` if all are taken.
    pub fn permit(&self) -> Option<Permit> {
        let before = self.busy.fetch_add(1, Ordering::Relaxed);
        let permit = Permit(Arc::clone(&self.busy));
        (before < self.settings.limits.requests).then_some(permit)
    }

    /// Waits until no request is being served, at most for `limit`.
    pub fn wait_idle(&self, limit: Duration) {
        let start = std::time::Instant::now();
        // Requests that were read but not yet counted get a first moment.
        std::thread::sleep(IDLE_CHECK);
        while self.busy.load(Ordering::Relaxed) > 0 && start.elapsed() < limit {
            std::thread::sleep(IDLE_CHECK);
        }
    }

    /// Ends what is left when the grace time of a planned stop is over.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.event(Event::Close);
    }

    /// Returns whether the grace time of a planned stop is over. Answers that
    /// have not ended by then are ended.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Sends an input to the actor. One that has stopped takes none.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Sends an event to the actor.
    pub fn event(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// Asks the actor, `None` if it does not answer in time.
    pub fn ask<T>(&self, query: impl FnOnce(Sender<T>) -> Query) -> Option<T> {
        let (sender, receiver): (Sender<T>, Receiver<T>) = bounded(1);
        self.send(Input::Query(query(sender)));
        receiver.recv_timeout(QUERY_TIMEOUT).ok()
    }

    /// Returns whether the router may connect to `address`.
    pub fn is_open(&self, address: SocketAddr) -> bool {
        self.hooks.link.is_open(address)
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }
}

/// Buffer of a connection for each direction, in bytes. Every request that is
/// passed on has a connection.
const BUFFER_BYTES: usize = 8 * 1024;

/// Time to set up a connection to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

fn agent(idle: usize) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle.min(4))
        .max_redirects(0)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_response_header_size(BUFFER_BYTES)
        .user_agent("")
        .accept("")
        .build()
        .into()
}

/// Returns whether the error shows that no process listens at the address.
pub(crate) fn is_refused(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Returns whether the error shows that no byte of the request was sent.
pub(crate) fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(timeout) => {
            matches!(timeout, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        error => is_refused(error),
    }
}
