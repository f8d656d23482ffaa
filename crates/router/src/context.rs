//! State shared by the threads of the process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use balsamchute_base::clock::Clock;
use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Event, RequestNumber};
use balsamchute_metrics::Metrics;
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::body;
use crate::cancel::Cancellations;
use crate::hooks::Hooks;
use crate::input::{Input, Query};
use crate::run::Targets;
use crate::settings::Settings;

/// Stack size of a thread, in bytes. Each connection is served by a thread of its
/// own.
pub(crate) const STACK_BYTES: usize = 256 * 1024;

/// Interval at which a stopping process checks whether requests are still being
/// served.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time that a thread waits for the actor's answer to a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all threads of the process. Clones refer to the same state.
#[derive(Clone)]
pub(crate) struct Context {
    /// Settings that the process was started with.
    pub settings: Arc<Settings>,
    /// Hooks that restrict outgoing connections.
    pub hooks: Hooks,
    /// Clock of the process. Its start time is the incarnation of the router.
    pub clock: Clock,
    /// Queue of inputs to the actor.
    pub inputs: Sender<Input>,
    /// HTTP client for other routers that reuses connections.
    pub pooled_agent: ureq::Agent,
    /// HTTP client for other routers that opens a connection for each request.
    pub unpooled_agent: ureq::Agent,
    /// Clients for engines and plain services.
    pub targets: Targets,
    /// Running attempts that can be cancelled.
    pub cancellations: Cancellations,
    /// Counters and histograms for operators.
    pub metrics: Arc<Metrics>,
    /// Memory that request bodies occupy.
    pub bodies: body::Account,
    request_numbers: Arc<AtomicU64>,
    active_requests: Arc<AtomicUsize>,
    end_forced: Arc<AtomicBool>,
}

/// Permit to serve a request. Dropping it frees its place in the limit on
/// concurrent requests.
pub(crate) struct Permit(Arc<AtomicUsize>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Context {
    pub fn new(
        settings: Settings,
        hooks: Hooks,
        clock: Clock,
        inputs: Sender<Input>,
        metrics: Metrics,
        cancellations: Cancellations,
    ) -> Self {
        Context {
            bodies: body::Account::new(settings.limits.held_body_bytes),
            metrics: Arc::new(metrics),
            settings: Arc::new(settings),
            hooks,
            clock,
            inputs,
            pooled_agent: build_agent(64),
            unpooled_agent: build_agent(0),
            targets: Targets::new(),
            cancellations,
            request_numbers: Arc::new(AtomicU64::new(1)),
            active_requests: Arc::default(),
            end_forced: Arc::default(),
        }
    }

    /// Returns the next request number.
    pub fn next_request_number(&self) -> RequestNumber {
        self.request_numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a permit to serve a request, `None` if the limit on concurrent
    /// requests is reached.
    pub fn acquire_permit(&self) -> Option<Permit> {
        let active_before = self.active_requests.fetch_add(1, Ordering::Relaxed);
        let permit = Permit(Arc::clone(&self.active_requests));
        (active_before < self.settings.limits.requests).then_some(permit)
    }

    /// Waits at most `timeout` until no request is being served.
    pub fn wait_idle(&self, timeout: Duration) {
        let start = std::time::Instant::now();
        // Requests that have been read but not counted yet get time to be
        // counted.
        std::thread::sleep(IDLE_CHECK_INTERVAL);
        while self.active_requests.load(Ordering::Relaxed) > 0 && start.elapsed() < timeout {
            std::thread::sleep(IDLE_CHECK_INTERVAL);
        }
    }

    /// Begins the last part of the grace period of a planned stop, in which the
    /// remaining answers are ended.
    pub fn force_end(&self) {
        self.end_forced.store(true, Ordering::Relaxed);
        self.send_event(Event::GraceExpired);
    }

    /// Returns whether the last part of the grace period of a planned stop has
    /// begun. Threads then end the answers that they still write.
    pub fn is_end_forced(&self) -> bool {
        self.end_forced.load(Ordering::Relaxed)
    }

    /// Sends an input to the actor. Inputs are dropped once the actor has
    /// stopped.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Sends an event to the actor.
    pub fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// Sends a query to the actor and waits for the answer. Returns `None` if
    /// it does not answer within [`QUERY_TIMEOUT`].
    pub fn query<T>(&self, query: impl FnOnce(Sender<T>) -> Query) -> Option<T> {
        let (sender, receiver): (Sender<T>, Receiver<T>) = bounded(1);
        self.send(Input::Query(query(sender)));
        receiver.recv_timeout(QUERY_TIMEOUT).ok()
    }

    /// Returns whether the hooks allow a connection to `address`.
    pub fn may_connect(&self, address: SocketAddr) -> bool {
        self.hooks.policy.allows(address)
    }

    /// Returns the time of the process clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }
}

/// Size of a connection's buffer for each direction and maximum length of a
/// response head, in bytes. Kept small because every forwarded request has a
/// connection.
const BUFFER_BYTES: usize = 8 * 1024;

/// Longest time to open a connection to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Creates an HTTP client that keeps up to `max_idle` idle connections, of which
/// at most four go to the same router, or opens a new one for each request if
/// `max_idle` is 0.
fn build_agent(max_idle: usize) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle.min(4))
        .max_redirects(0)
        .proxy(None)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_response_header_size(BUFFER_BYTES)
        // An empty value leaves the header out.
        .user_agent("")
        .accept("")
        .build();
    balsamchute_transport::agent(config)
}

/// Returns whether the error is a refused connection, which shows that no
/// process listens at the address.
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
