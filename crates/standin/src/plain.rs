//! Plain service: a call gets a single response, without streaming.
//!
//! The service has no queue: it starts every call at once. A call takes its
//! nominal time if there are no more running calls than slots when it starts;
//! beyond that, it takes longer in proportion.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use balsamchute_base::prelude::*;
use serde_json::json;
use tiny_http::{Method, Request};

use crate::clock;
use crate::http::{self, Parts, Response};
use crate::ledger::{Execution, Ledger};
use crate::link::Link;
use crate::prompt::Prompt;
use crate::record::{Outcome, Record};

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the service, used in log messages.
    pub name: String,
    /// Listening address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Number of calls that run concurrently at full speed.
    pub slots: u32,
    /// Duration of a call whose body specifies none.
    pub service_time: Span,
    /// Whether the service rejects calls with a stale fencing number.
    pub checks_fence: bool,
    /// Time between a crash and the restart.
    pub restart_delay: Span,
}

impl Settings {
    /// Creates settings with default values for the remaining fields.
    #[must_use]
    pub fn new(name: &str, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            slots,
            service_time: Span(50),
            checks_fence: true,
            restart_delay: Span::from_secs(2),
        }
    }

    /// Sets the duration of a call whose body specifies none.
    #[must_use]
    pub fn with_service_time(mut self, service_time: Span) -> Self {
        self.service_time = service_time;
        self
    }

    /// Sets whether the service rejects calls with a stale fencing number.
    #[must_use]
    pub fn with_fencing(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }
}

struct State {
    ledger: Ledger,
    incarnation: u64,
    /// Number of crashes and kills. A call and a scheduled restart are abandoned if this
    /// has changed.
    epoch: u64,
    speed_factor: f64,
    report_lag: Span,
    response_delay: Span,
    leaving_since: Option<Time>,
    stopped: bool,
}

impl State {
    /// Ends all calls as crashed and begins a new incarnation.
    fn crash(&mut self) {
        self.ledger.crash();
        // Start time in milliseconds, increased even by a second crash within a millisecond.
        self.incarnation = clock::now().0.max(self.incarnation + 1);
        self.epoch += 1;
    }
}

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

    /// Sleeps until `duration` has passed, or until the service crashes or stops.
    /// Returns whether it is still running in `epoch`.
    fn sleep_within_epoch(&self, duration: Duration, epoch: u64) -> bool {
        let is_current = |state: &mut State| state.epoch == epoch && !state.stopped;
        let wait_result = self
            .changed
            .wait_timeout_while(self.state(), duration, is_current);
        let (mut state, _) = wait_result.expect("no thread panics while holding the lock");
        is_current(&mut state)
    }
}

/// Running plain service. Dropping the handle stops it.
pub struct Plain {
    server: http::Server,
    shared: Arc<Shared>,
}

impl Plain {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the service cannot listen on the address.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let address = settings.address;
        let state = State {
            ledger: Ledger::new(settings.slots, settings.checks_fence),
            incarnation: clock::now().0,
            epoch: 0,
            speed_factor: 1.0,
            report_lag: Span(0),
            response_delay: Span(0),
            leaving_since: None,
            stopped: false,
        };
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let handler_shared = Arc::clone(&shared);
        let server = http::Server::start(address, move |request, link| {
            handle(&handler_shared, request, link);
        })?;
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

    /// Kills the service: drops its connections, and refuses new ones until
    /// [`Plain::restart`].
    pub fn kill(&self) {
        // Close connections first, so that no partial response is sent.
        self.server.link().close();
        self.shared.state().crash();
        self.shared.changed.notify_all();
    }

    /// Starts a killed service as a new incarnation at the same address.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the service cannot listen on the address.
    pub fn restart(&self) -> io::Result<()> {
        self.server.link().open()
    }

    /// Drops all connections while the service keeps running.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the service cannot listen on the address
    /// again.
    pub fn drop_connections(&self) -> io::Result<()> {
        self.server.link().close();
        self.server.link().open()
    }

    /// Holds back all bytes in both directions while `stalled` is set.
    pub fn set_stalled(&self, stalled: bool) {
        self.server.link().set_stalled(stalled);
    }

    /// Records the time at which the service began to leave. It still accepts calls, and
    /// its load reports do not show this.
    pub fn set_leaving(&self) {
        self.shared.state().leaving_since = Some(clock::now());
    }

    /// Returns the time of the last [`Plain::set_leaving`], `None` if not
    /// leaving.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Time> {
        self.shared.state().leaving_since
    }

    /// Sets the speed of calls relative to full speed, 1: a call takes its service time
    /// divided by it. Running calls keep their duration.
    pub fn set_speed_factor(&self, speed_factor: f64) {
        self.shared.state().speed_factor = speed_factor;
    }

    /// Sets the age of load reports.
    pub fn set_report_lag(&self, lag: Span) {
        self.shared.state().report_lag = lag;
    }

    /// Sets the delay between the end of a call and its response, unlike that of the
    /// engine, which follows the start.
    pub fn set_response_delay(&self, delay: Span) {
        self.shared.state().response_delay = delay;
    }

    /// Returns the execution records, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.shared.state().ledger.records().to_vec()
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.state().ledger.running()
    }

    /// Returns the highest number of calls that ran concurrently.
    #[must_use]
    pub fn peak_running(&self) -> u32 {
        self.shared.state().ledger.peak_running()
    }

    /// Returns the slot time used up to now, in milliseconds: the number of
    /// running calls, capped at the number of slots, integrated over time.
    #[must_use]
    pub fn busy_ms(&self) -> u64 {
        self.shared.state().ledger.busy_ms()
    }
}

impl Drop for Plain {
    fn drop(&mut self) {
        self.server.link().close();
        self.shared.state().stopped = true;
        self.shared.changed.notify_all();
    }
}

fn handle(shared: &Arc<Shared>, mut request: Request, link: &Arc<Link>) {
    let parts = Parts::new(&request);
    let Ok(body) = http::read_body(&mut request) else {
        return;
    };
    let response = match (&parts.method, parts.path.as_str()) {
        (Method::Post, "call") => match call(shared, &request, &body, link) {
            Some(response) => response,
            // The service crashed or stopped: send no response.
            None => return,
        },
        (Method::Get, "load") => load_report(shared),
        _ => Response::new(404),
    };
    response.send(request);
}

/// Runs a call and returns its response, or `None` if the service crashed or
/// stopped first.
fn call(
    shared: &Arc<Shared>,
    request: &Request,
    body: &[u8],
    link: &Arc<Link>,
) -> Option<Response> {
    let prompt: Prompt = match serde_json::from_slice(body) {
        Ok(prompt) => prompt,
        Err(reason) => return Some(not_run_response(400, &reason.to_string())),
    };
    let Some((record_index, epoch)) = start_execution(shared, request, body) else {
        return Some(not_run_response(409, "fencing number is old"));
    };
    let duration = call_duration(shared, &prompt);
    if prompt.crash {
        if shared.sleep_within_epoch(duration / 2, epoch) {
            crash(shared, link);
        }
        return None;
    }
    if !shared.sleep_within_epoch(duration, epoch) {
        return None;
    }
    let end = if prompt.fail {
        Outcome::Failed
    } else {
        Outcome::Done
    };
    let delay = {
        let mut state = shared.state();
        state
            .ledger
            .set_cost(record_index, Cost(duration.as_millis() as u64));
        state.ledger.finish(record_index, end);
        state.response_delay
    };
    if delay > Span(0) && !shared.sleep_within_epoch(delay.into(), epoch) {
        return None;
    }
    Some(match end {
        Outcome::Failed => Response::new(500).with_body(b"call failed".to_vec()),
        _ => Response::new(200).with_body(prompt.response_body().into_bytes()),
    })
}

fn not_run_response(status: u16, reason: &str) -> Response {
    Response::new(status)
        .with_header("x-not-run", 1)
        .with_body(reason.as_bytes().to_vec())
}

/// Starts an execution. Returns the index of its record and the current epoch, or
/// `None` if its fencing number is stale.
fn start_execution(shared: &Shared, request: &Request, body: &[u8]) -> Option<(usize, u64)> {
    let header = |name| http::header(request, name);
    let key = header("x-key");
    let execution = Execution {
        attempt: &header("x-attempt").unwrap_or_default(),
        request: &header("x-request").unwrap_or_default(),
        workspace: &header("x-workspace").unwrap_or_default(),
        key: key.as_deref(),
        fence: header("x-fence").and_then(|fence| fence.parse().ok()),
        body,
    };
    let mut state = shared.state();
    let record_index = state.ledger.start(&execution)?;
    Some((record_index, state.epoch))
}

fn call_duration(shared: &Shared, prompt: &Prompt) -> Duration {
    let state = shared.state();
    let default_ms = shared.settings.service_time.as_millis();
    let ms = prompt.ms.unwrap_or(default_ms) as f64;
    Duration::from_millis((ms * state.ledger.slowdown() / state.speed_factor) as u64)
}

fn crash(shared: &Arc<Shared>, link: &Arc<Link>) {
    link.close();
    let epoch = {
        let mut state = shared.state();
        state.crash();
        state.epoch
    };
    shared.changed.notify_all();
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

fn load_report(shared: &Shared) -> Response {
    let state = shared.state();
    let report = state.ledger.load_report(state.report_lag);
    Response::json(
        200,
        &json!({
            "incarnation": state.incarnation,
            "running": report.running,
            "slots": shared.settings.slots,
            "age_ms": report.age.as_millis(),
            "models": [],
        }),
    )
}
