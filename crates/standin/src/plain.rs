//! A plain service: one call, one answer.
//!
//! It admits every call. A call takes its time while no more run than there
//! are slots, and longer in proportion beyond.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use balsamchute_base::prelude::*;
use serde_json::json;
use tiny_http::{Method, Request};

use crate::clock;
use crate::http::{self, Answer, Target};
use crate::ledger::{Ledger, Start};
use crate::link::Link;
use crate::prompt::Prompt;
use crate::record::{End, Record};

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Calls that it runs at full speed.
    pub slots: u32,
    /// Time of a call that sets none.
    pub service_time: Span,
    /// Whether it refuses calls with an old fencing number.
    pub checks_fence: bool,
    /// How long it is away after a crash.
    pub restart: Span,
}

impl Settings {
    /// Creates settings with the usual values for the rest.
    #[must_use]
    pub fn new(name: &str, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            slots,
            service_time: Span(50),
            checks_fence: true,
            restart: Span::from_secs(2),
        }
    }

    /// Sets the time of a call that sets none.
    #[must_use]
    pub fn with_service_time(mut self, service_time: Span) -> Self {
        self.service_time = service_time;
        self
    }

    /// Sets whether it refuses calls with an old fencing number.
    #[must_use]
    pub fn with_fencing(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }
}

struct State {
    ledger: Ledger,
    incarnation: u64,
    /// Number of the present life; a call belongs to the life it began in.
    life: u64,
    speed: f64,
    report_lag: Span,
    answer_delay: Span,
    leaving: Option<Time>,
    stopped: bool,
}

impl State {
    fn crash(&mut self) {
        self.ledger.crash();
        self.incarnation = clock::now().0.max(self.incarnation + 1);
        self.life += 1;
    }
}

struct Shared {
    settings: Settings,
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Waits unless the life ends before. Returns whether it still lasts.
    fn pause(&self, time: Duration, life: u64) -> bool {
        let lasts = |state: &mut State| state.life == life && !state.stopped;
        let waited = self.changed.wait_timeout_while(self.state(), time, lasts);
        let (mut state, _) = waited.expect("no holder panics");
        lasts(&mut state)
    }
}

/// A running plain service. It stops when the handle is dropped.
pub struct Plain {
    server: http::Server,
    shared: Arc<Shared>,
}

impl Plain {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the address cannot be listened on.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let address = settings.address;
        let state = State {
            ledger: Ledger::new(settings.slots, settings.checks_fence),
            incarnation: clock::now().0,
            life: 0,
            speed: 1.0,
            report_lag: Span(0),
            answer_delay: Span(0),
            leaving: None,
            stopped: false,
        };
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let handler = Arc::clone(&shared);
        let server = http::Server::start(address, move |request, link| {
            handle(&handler, request, link);
        })?;
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

    /// Kills the service: connections are cut, and it stays away until
    /// [`Plain::restart`].
    pub fn kill(&self) {
        // Connections go first, so that no half-made answer gets out.
        self.server.link().close();
        self.shared.state().crash();
        self.shared.changed.notify_all();
    }

    /// Starts a killed service as a new incarnation at the same address.
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

    /// Notes that the service leaves; it still takes what it is sent.
    pub fn set_leaving(&self) {
        self.shared.state().leaving = Some(clock::now());
    }

    /// Returns when the service began to leave.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Time> {
        self.shared.state().leaving
    }

    /// Sets its speed, 1 for the usual one. Calls under way keep theirs.
    pub fn set_speed(&self, speed: f64) {
        self.shared.state().speed = speed;
    }

    /// Sets how old load reports are.
    pub fn set_report_lag(&self, lag: Span) {
        self.shared.state().report_lag = lag;
    }

    /// Sets how late an answer is sent after its call has ended.
    pub fn set_answer_delay(&self, delay: Span) {
        self.shared.state().answer_delay = delay;
    }

    /// Returns what the service did, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.shared.state().ledger.records().to_vec()
    }

    /// Returns the number of calls that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.state().ledger.running()
    }

    /// Returns the most calls that ran at once.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.shared.state().ledger.peak()
    }

    /// Returns the slot time used up to now, in milliseconds.
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
    let target = Target::new(&request);
    let Ok(body) = http::body(&mut request) else {
        return;
    };
    let answer = match (&target.method, target.path.as_str()) {
        (Method::Post, "call") => match call(shared, &request, &body, link) {
            Some(answer) => answer,
            // The service crashed: the connection is cut.
            None => return,
        },
        (Method::Get, "load") => load(shared),
        _ => Answer::new(404),
    };
    answer.send(request);
}

/// Returns the answer, `None` if the service crashed before there was one.
fn call(shared: &Arc<Shared>, request: &Request, body: &[u8], link: &Arc<Link>) -> Option<Answer> {
    let prompt: Prompt = match serde_json::from_slice(body) {
        Ok(prompt) => prompt,
        Err(reason) => return Some(not_run(400, &reason.to_string())),
    };
    let Some((place, life)) = start(shared, request, body) else {
        return Some(not_run(409, "fencing number is old"));
    };
    let time = call_time(shared, &prompt);
    if prompt.crash {
        if shared.pause(time / 2, life) {
            crash(shared, link);
        }
        return None;
    }
    if !shared.pause(time, life) {
        return None;
    }
    let end = if prompt.fail { End::Failed } else { End::Done };
    let delay = {
        let mut state = shared.state();
        state.ledger.set_cost(place, Cost(time.as_millis() as u64));
        state.ledger.finish(place, end);
        state.answer_delay
    };
    if delay > Span(0) && !shared.pause(delay.into(), life) {
        return None;
    }
    Some(match end {
        End::Failed => Answer::new(500).with_body(b"call failed".to_vec()),
        _ => Answer::new(200).with_body(prompt.answer().into_bytes()),
    })
}

fn not_run(status: u16, reason: &str) -> Answer {
    Answer::new(status)
        .with_header("x-not-run", 1)
        .with_body(reason.as_bytes().to_vec())
}

/// Returns the place of the record and the life, `None` if fencing refuses it.
fn start(shared: &Shared, request: &Request, body: &[u8]) -> Option<(usize, u64)> {
    let text = |name| http::header(request, name);
    let key = text("x-key");
    let start = Start {
        attempt: &text("x-attempt").unwrap_or_default(),
        request: &text("x-request").unwrap_or_default(),
        workspace: &text("x-workspace").unwrap_or_default(),
        key: key.as_deref(),
        fence: text("x-fence").and_then(|fence| fence.parse().ok()),
        body,
    };
    let mut state = shared.state();
    let place = state.ledger.start(&start)?;
    Some((place, state.life))
}

fn call_time(shared: &Shared, prompt: &Prompt) -> Duration {
    let state = shared.state();
    let usual = shared.settings.service_time.as_millis();
    let ms = prompt.ms.unwrap_or(usual) as f64;
    Duration::from_millis((ms * state.ledger.slowdown() / state.speed) as u64)
}

fn crash(shared: &Arc<Shared>, link: &Arc<Link>) {
    link.close();
    let life = {
        let mut state = shared.state();
        state.crash();
        state.life
    };
    shared.changed.notify_all();
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

fn load(shared: &Shared) -> Answer {
    let state = shared.state();
    let load = state.ledger.load(state.report_lag);
    Answer::json(
        200,
        &json!({
            "incarnation": state.incarnation,
            "running": load.running,
            "slots": shared.settings.slots,
            "age_ms": load.age.as_millis(),
            "models": [],
        }),
    )
}
