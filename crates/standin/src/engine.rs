//! A model engine: continuous batching, prefix cache, streams that resume.
//!
//! It admits every request. Each generates at the set rate while no more run
//! than there are slots, and slower in proportion beyond. One thread makes the
//! tokens of all streams.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use balsamchute_base::prelude::*;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::json;
use tiny_http::{Method, Request};

use crate::cache::Cache;
use crate::clock;
use crate::http::{self, Answer, Target};
use crate::ledger::{Ledger, Start};
use crate::link::Link;
use crate::prompt::Prompt;
use crate::record::{End, Record};
use crate::stream::Stream;

/// How long an ended stream can still be resumed.
const KEEP: Span = Span::from_secs(10);

/// Shortest time between two rounds of the token thread.
const MIN_ROUND: Duration = Duration::from_millis(2);

/// Longest time between two rounds of the token thread.
const MAX_ROUND: Duration = Duration::from_millis(50);

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Requests that it runs at full speed.
    pub slots: u32,
    /// Tokens that one request generates in a second.
    pub tokens_per_second: f64,
    /// Whether it refuses work and orders with an old fencing number.
    pub checks_fence: bool,
    /// Time before the first token unless the prefix is cached.
    pub prefill: Span,
    /// Prefixes that its cache holds.
    pub cache: usize,
    /// How long it is away after a crash.
    pub restart: Span,
    /// How long a stream goes on without a reader.
    pub linger: Span,
    /// How long a model takes to load.
    pub load_time: Span,
    /// Models that it has at start.
    pub models: Vec<String>,
    /// Seed of its random choices.
    pub seed: u64,
}

impl Settings {
    /// Creates settings with the usual values for the rest.
    #[must_use]
    pub fn new(name: &str, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            slots,
            tokens_per_second: 20.0,
            checks_fence: true,
            prefill: Span(0),
            cache: 64,
            restart: Span::from_secs(2),
            linger: Span::from_secs(2),
            load_time: Span::from_secs(2),
            models: vec!["base".to_owned()],
            seed: 1,
        }
    }

    /// Sets the tokens that one request generates in a second.
    #[must_use]
    pub fn with_speed(mut self, tokens_per_second: f64) -> Self {
        self.tokens_per_second = tokens_per_second;
        self
    }

    /// Sets whether it refuses work and orders with an old fencing number.
    #[must_use]
    pub fn with_fencing(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }
}

/// An order that the engine took.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Loads a model.
    Load(String),
    /// Unloads a model.
    Unload(String),
    /// Changes its role.
    Role(String),
}

#[derive(Deserialize)]
struct Numbered {
    fence: u64,
    order: Order,
}

#[derive(Deserialize)]
struct Generate {
    attempt: String,
    workspace: String,
    request: String,
    key: Option<String>,
    prefix: Option<String>,
    fence: Option<u64>,
    prompt: String,
}

struct State {
    ledger: Ledger,
    streams: IndexMap<String, Stream>,
    cache: Cache,
    /// Models with the time from which they are loaded.
    models: IndexMap<String, Time>,
    orders: Vec<(u64, Order)>,
    fence: u64,
    incarnation: u64,
    /// Number of the present life; a restart belongs to the life it follows.
    life: u64,
    speed: f64,
    report_lag: Span,
    answer_delay: Span,
    leaving: Option<Time>,
    stopped: bool,
}

impl State {
    fn new(settings: &Settings) -> Self {
        Self {
            ledger: Ledger::new(settings.slots, settings.checks_fence),
            streams: IndexMap::new(),
            cache: Cache::new(settings.cache, settings.seed),
            models: first_models(settings),
            orders: Vec::new(),
            fence: 0,
            incarnation: clock::now().0,
            life: 0,
            speed: settings.tokens_per_second,
            report_lag: Span(0),
            answer_delay: Span(0),
            leaving: None,
            stopped: false,
        }
    }

    /// Forgets everything that does not survive a crash.
    fn crash(&mut self, settings: &Settings) {
        self.ledger.crash();
        self.streams.clear();
        self.cache.clear();
        self.models = first_models(settings);
        self.fence = 0;
        self.incarnation = clock::now().0.max(self.incarnation + 1);
        self.life += 1;
    }

    fn cancel(&mut self, attempt: &str) -> bool {
        let Some(stream) = self.streams.get_mut(attempt) else {
            return false;
        };
        if stream.last_line.is_none() {
            stream.end(json!({"error": "cancelled"}).to_string(), clock::now());
            self.ledger.finish(stream.place, End::Cancelled);
        }
        stream.flush(clock::now());
        true
    }

    /// Tokens a second of one request at the present load.
    fn rate(&self) -> f64 {
        self.speed / self.ledger.slowdown()
    }

    /// Makes tokens for the time passed. Returns whether a request crashed
    /// the engine.
    fn advance(&mut self, passed: Duration, settings: &Settings) -> bool {
        let gain = passed.as_secs_f64() * self.rate();
        let now = clock::now();
        for stream in self.streams.values_mut() {
            if stream.last_line.is_none() {
                stream.progress += gain;
                self.ledger.set_cost(stream.place, Cost(stream.made()));
                if stream.prompt.crash && stream.made() >= stream.prompt.tokens.div_ceil(2) {
                    return true;
                }
                if stream.made() == stream.prompt.tokens && stream.progress >= 0.0 {
                    finish(stream, &mut self.ledger, now);
                }
            }
            stream.flush(now);
            let idle = stream.idle_since.map(|since| now.since(since));
            if stream.last_line.is_none() && idle.is_some_and(|idle| idle > settings.linger) {
                stream.end(json!({"error": "cancelled"}).to_string(), now);
                self.ledger.finish(stream.place, End::Cancelled);
            }
        }
        self.streams.retain(|_, stream| {
            let idle = stream.idle_since.map(|since| now.since(since));
            stream.last_line.is_none()
                || stream.has_reader()
                || idle.is_none_or(|idle| idle <= KEEP)
        });
        false
    }

    /// Time until the next token of any stream.
    fn round(&self) -> Duration {
        let rate = self.rate().max(0.001);
        let running = self
            .streams
            .values()
            .filter(|stream| stream.last_line.is_none());
        let next = running
            .map(|stream| (1.0 - stream.progress.rem_euclid(1.0)) / rate)
            .fold(MAX_ROUND.as_secs_f64(), f64::min);
        Duration::from_secs_f64(next).max(MIN_ROUND)
    }

    fn is_idle(&self) -> bool {
        let at_rest = |stream: &Stream| stream.last_line.is_some() && !stream.has_reader();
        self.streams.values().all(at_rest)
    }
}

fn finish(stream: &mut Stream, ledger: &mut Ledger, now: Time) {
    let (line, end) = if stream.prompt.fail {
        (json!({"error": "prompt failed"}), End::Failed)
    } else {
        (
            json!({"done": true, "tokens": stream.prompt.tokens}),
            End::Done,
        )
    };
    stream.end(line.to_string(), now);
    ledger.finish(stream.place, end);
}

fn first_models(settings: &Settings) -> IndexMap<String, Time> {
    let models = settings.models.iter().cloned();
    models.map(|model| (model, Time(0))).collect()
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
        let handler = Arc::clone(&shared);
        let server = http::Server::start(address, move |request, _link| {
            handle(&handler, request);
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
    let mut last = std::time::Instant::now();
    let mut state = shared.state();
    while !state.stopped {
        let now = std::time::Instant::now();
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
            last = std::time::Instant::now();
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

fn handle(shared: &Shared, mut request: Request) {
    let target = Target::new(&request);
    let Ok(body) = http::body(&mut request) else {
        return;
    };
    let path = target.path.clone();
    let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
    let answer = match (&target.method, kind) {
        (Method::Post, "generate") => return generate(shared, request, &body),
        (Method::Get, "stream") => return resume(shared, request, name, target.number("from")),
        (Method::Delete, "stream") => {
            let cancelled = shared.state().cancel(name);
            Answer::new(if cancelled { 200 } else { 404 })
        }
        (Method::Get, "load") => load(shared),
        (Method::Get, "events") => {
            let events = shared.state().cache.events(target.number("after"));
            Answer::json(200, &json!({ "events": events }))
        }
        (Method::Post, "order") => order(shared, &body),
        (Method::Get, "kv") if shared.state().cache.contains(name) => {
            Answer::new(200).with_body(format!("kv of {name}").into_bytes())
        }
        (Method::Put, "kv") => {
            shared.state().cache.touch(name);
            Answer::new(200)
        }
        _ => Answer::new(404),
    };
    answer.send(request);
}

fn error(status: u16, reason: impl ToString) -> Answer {
    Answer::json(status, &json!({ "error": reason.to_string() }))
}

fn generate(shared: &Shared, request: Request, body: &[u8]) {
    let parsed: Result<Generate, _> = serde_json::from_slice(body);
    let generate = match parsed {
        Ok(generate) => generate,
        Err(reason) => return error(400, reason).with_header("x-not-run", 1).send(request),
    };
    let prompt: Prompt = match serde_json::from_str(&generate.prompt) {
        Ok(prompt) => prompt,
        Err(reason) => return error(400, reason).with_header("x-not-run", 1).send(request),
    };
    if let Err(answer) = admit(shared, &generate, prompt) {
        return answer.send(request);
    }
    let delay = shared.state().answer_delay;
    if delay > Span(0) {
        thread::sleep(delay.into());
    }
    attach(shared, request, &generate.attempt, 0);
}

fn admit(shared: &Shared, generate: &Generate, prompt: Prompt) -> Result<(), Answer> {
    let mut state = shared.state();
    if state.streams.contains_key(&generate.attempt) {
        return Err(error(409, "attempt exists"));
    }
    let start = Start {
        attempt: &generate.attempt,
        request: &generate.request,
        workspace: &generate.workspace,
        key: generate.key.as_deref(),
        fence: generate.fence,
        body: generate.prompt.as_bytes(),
    };
    let Some(place) = state.ledger.start(&start) else {
        return Err(error(409, "fencing number is old").with_header("x-not-run", 1));
    };
    let prefix = generate.prefix.as_deref();
    let cached = prefix.is_some_and(|prefix| state.cache.touch(prefix));
    let prefill = if cached {
        Span(0)
    } else {
        shared.settings.prefill
    };
    // The first token comes at once after the prefill.
    let progress = 1.0 - prefill.as_millis() as f64 / 1000.0 * state.speed;
    let stream = Stream::new(place, prompt, progress, clock::now());
    state.streams.insert(generate.attempt.clone(), stream);
    shared.changed.notify_all();
    Ok(())
}

fn resume(shared: &Shared, request: Request, attempt: &str, from: u64) {
    let mut state = shared.state();
    let Some(place) = state.streams.get(attempt).map(|stream| stream.place) else {
        drop(state);
        return error(404, "no such stream").send(request);
    };
    state.ledger.record_resumption(place);
    drop(state);
    attach(shared, request, attempt, from);
}

fn attach(shared: &Shared, request: Request, attempt: &str, from: u64) {
    let mut state = shared.state();
    match state.streams.get_mut(attempt) {
        Some(stream) => stream.attach(request.into_writer(), from),
        None => {
            drop(state);
            return error(404, "no such stream").send(request);
        }
    }
    shared.changed.notify_all();
}

fn load(shared: &Shared) -> Answer {
    let state = shared.state();
    let load = state.ledger.load(state.report_lag);
    let now = clock::now();
    let loaded = state.models.iter().filter(|(_, since)| **since <= now);
    let models: Vec<&String> = loaded.map(|(model, _)| model).collect();
    Answer::json(
        200,
        &json!({
            "incarnation": state.incarnation,
            "running": load.running,
            "slots": shared.settings.slots,
            "age_ms": load.age.as_millis(),
            "models": models,
        }),
    )
}

fn order(shared: &Shared, body: &[u8]) -> Answer {
    let numbered: Numbered = match serde_json::from_slice(body) {
        Ok(numbered) => numbered,
        Err(reason) => return error(400, reason),
    };
    let mut state = shared.state();
    if shared.settings.checks_fence && numbered.fence < state.fence {
        return Answer::json(409, &json!({ "fence": state.fence }));
    }
    state.fence = state.fence.max(numbered.fence);
    match &numbered.order {
        Order::Load(model) => {
            let ready = clock::now() + shared.settings.load_time;
            state.models.entry(model.clone()).or_insert(ready);
        }
        Order::Unload(model) => {
            state.models.shift_remove(model);
        }
        Order::Role(_) => {}
    }
    state.orders.push((numbered.fence, numbered.order));
    Answer::new(200)
}
