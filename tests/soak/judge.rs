//! Record of a run and the checks of the promises.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::answer::Report;
use crate::counts::Streams;
use crate::framing::UNNAMED_CLOSE;
use crate::server::now_ms;
use crate::shape::Shape;

/// Time within which a router in touch must use a change: `drain_ms` and `apply_ms` of
/// the settings.
pub const CHANGE_BOUND: Duration = Duration::from_millis(2000);

/// Time without a fault after which the checks of changes apply to all routers:
/// `contact_ms` of the settings, and the bound.
pub const CALM_TIME: Duration = Duration::from_millis(5000);

/// Time after a withdrawal and the longest fault from which on no router may accept a key,
/// whatever happened to it: the time until the router is in touch, and the bound.
const KEY_BOUND: Duration = Duration::from_millis(3000 + 2000);

/// Crashes of runners after which, and time after the last of them from which on, a part
/// that crashes runners must not reach any, but for a few requests.
const CRASHES: usize = 5;
const CRASH_BOUND: Duration = Duration::from_millis(3000);
const LATE_ARRIVALS: usize = 3;

/// Window in which requests count against the limit that a runner names, and time from
/// which on they do: `contact_ms` of the settings.
const LIMIT_WINDOW: Duration = Duration::from_millis(4000);
const LIMIT_BOUND: Duration = Duration::from_millis(3000);

/// Sleep of the thread that measures how late threads of the soak wake up, and delay from
/// which on it is recorded.
const WAKEUP_INTERVAL: Duration = Duration::from_millis(5);
const LATE_WAKEUP: Duration = Duration::from_millis(50);

/// Time before a violation for which late wake-ups are told with it.
const WAKEUP_WINDOW: Duration = Duration::from_millis(3000);

/// Time between an answer that ends with its connection and one that its runner breaks off,
/// within which the end of the first may count as a break: for that time the routers remember a
/// lost connection.
const BREAK_TIME: Duration = Duration::from_millis(1100);

/// Ratio, slack and window of the retry budget in the settings of the routers.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 54.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// What a request may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Runs at most once.
    Once,
    /// May be repeated.
    Idempotent,
    /// Stream that may be resumed.
    Stream,
    /// Stream that may not be resumed, and runs at most once.
    SingleStream,
}

impl Kind {
    /// Returns whether a request of this kind runs at most once.
    fn is_once(self) -> bool {
        matches!(self, Kind::Once | Kind::SingleStream)
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    Complete,
    /// The router promised that the request has not run.
    NotRun,
    /// The key was refused.
    Unauthorized,
    /// The outcome is not known: 502, 504 or a broken connection.
    Unknown,
}

#[derive(Debug, Default)]
struct Record {
    kind: Option<Kind>,
    outcome: Option<Outcome>,
    runs: usize,
    arrivals: usize,
    // `Last-Event-Id` that the caller sent, or 0.
    after: u64,
    // Cause for which a runner may have spoilt the answer.
    trouble: Option<String>,
    // Runner that sent a sound answer, the framing and the time.
    sound: Option<(usize, String, Instant)>,
    // Whether the request was sent in the calm stretch.
    is_calm: bool,
}

#[derive(Debug, Default)]
struct State {
    requests: BTreeMap<String, Record>,
    sent: Vec<Instant>,
    repeats: Vec<Instant>,
    // Begin and end of the faults.
    faults: Vec<(Instant, Instant)>,
    // Runners that left, and when the store accepted that.
    leaving: BTreeMap<usize, Instant>,
    withdrawn: BTreeMap<String, Instant>,
    // Arrivals of prompts at runners by the part that crashes these.
    crashing: BTreeMap<u64, Vec<Instant>>,
    // Runners that name a limit, since when, and the requests that reached them.
    limited: BTreeMap<usize, (u64, Instant, Vec<Instant>)>,
    streams: Streams,
    // Requests whose callers got something else than a whole answer as one, and what.
    spoilt: Vec<(String, String)>,
    // Times at which runners broke off answers.
    breaks: BTreeMap<usize, Vec<Instant>>,
    // Same, at which they crashed.
    crashes: BTreeMap<usize, Vec<Instant>>,
    // Whether nothing disturbs the runners.
    is_calm: bool,
    arrivals: usize,
    runner_kills: usize,
    notes: Vec<String>,
    // Times at which a thread of the soak woke up late, and by how much.
    wakeups: Vec<(Instant, Duration)>,
    violations: Vec<String>,
}

impl State {
    /// Returns the sound answer to a request that nothing disturbed: its runner, framing and
    /// time.
    fn undisturbed<'a>(&self, record: &'a Record) -> Option<&'a (usize, String, Instant)> {
        let (runner, framing, at) = record.sound.as_ref().filter(|_| record.is_calm)?;
        let is_near = |times: &BTreeMap<usize, Vec<Instant>>| {
            let times = times.get(runner).map_or(&[][..], Vec::as_slice);
            let mut near = times.iter();
            near.any(|time| *time < *at + BREAK_TIME && *at < *time + BREAK_TIME)
        };
        // A runner that loses a connection at the end of such an answer may have ended.
        let leaving = self.leaving.get(runner);
        let is_disturbed = leaving.is_some_and(|since| *at > *since + CHANGE_BOUND)
            || is_near(&self.crashes)
            || (framing == UNNAMED_CLOSE && is_near(&self.breaks));
        record.sound.as_ref().filter(|_| !is_disturbed)
    }
}

/// Shared record of a run.
#[derive(Clone, Debug)]
pub struct Judge {
    state: Arc<Mutex<State>>,
    /// Time after a withdrawal from which on no router may accept a key.
    key_bound: Duration,
}

impl Judge {
    pub fn new(shape: &Shape) -> Self {
        Judge {
            state: Arc::default(),
            key_bound: shape.longest_fault + KEY_BOUND,
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }

    /// Measures how late threads of the soak wake up, until the process ends.
    pub fn measure_wakeups(&self) {
        let judge = self.clone();
        thread::spawn(move || {
            loop {
                let due = Instant::now() + WAKEUP_INTERVAL;
                thread::sleep(WAKEUP_INTERVAL);
                let delay = due.elapsed();
                if delay >= LATE_WAKEUP {
                    judge.state().wakeups.push((Instant::now(), delay));
                }
            }
        });
    }

    /// Records a violation of a promise.
    pub fn report(&self, promise: &str, detail: &str) {
        self.note(&format!("violation {promise}: {detail}"));
        self.state().violations.push(format!("{promise}: {detail}"));
    }

    /// Records that the caller of request `id` got something else than a whole answer as one.
    pub fn report_spoilt(&self, id: &str, detail: &str) {
        self.note(&format!("violation of {id}: {detail}"));
        let spoilt = (id.to_owned(), detail.to_owned());
        self.state().spoilt.push(spoilt);
    }

    /// Records that nothing disturbs the runners from now on, or that something does.
    pub fn set_calm(&self, is_calm: bool) {
        self.state().is_calm = is_calm;
    }

    /// Records what happens at this moment, for traces.
    pub fn note(&self, text: &str) {
        let ms = now_ms() % 86_400_000;
        let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
        let (seconds, ms) = (ms / 1000 % 60, ms % 1000);
        let note = format!("{hours:02}:{minutes:02}:{seconds:02}.{ms:03}Z {text}");
        self.state().notes.push(note);
    }

    /// Returns what was noted, a line each.
    pub fn notes(&self) -> String {
        self.state().notes.join("\n")
    }

    /// Records that a caller sends a request, with the event after which a stream goes on or
    /// 0.
    pub fn record_sent(&self, id: &str, kind: Kind, after: u64) {
        let mut state = self.state();
        state.sent.push(Instant::now());
        let is_calm = state.is_calm;
        let record = state.requests.entry(id.to_owned()).or_default();
        (record.kind, record.after) = (Some(kind), after);
        record.is_calm = is_calm;
    }

    /// Changes the counts of streams.
    pub fn count_streams(&self, count: impl FnOnce(&mut Streams)) {
        count(&mut self.state().streams);
    }

    /// Returns the counts of streams.
    pub fn streams(&self) -> Streams {
        self.state().streams.clone()
    }

    /// Records that a runner process is killed.
    pub fn record_kill(&self) {
        self.state().runner_kills += 1;
    }

    /// Returns the number of requests that reached runners.
    pub fn arrivals(&self) -> usize {
        self.state().arrivals
    }

    /// Records what a runner reports.
    pub fn record_report(&self, report: Report) {
        match report {
            Report::Arrival {
                id,
                runner,
                runs,
                after,
            } => {
                self.note(&format!(
                    "{id} reaches i-{runner} runs={runs} after={after}"
                ));
                self.record_arrival(&id, runner, runs, after);
            }
            Report::Astray {
                id,
                runner,
                expected,
            } => self.report(
                "right runner",
                &format!("{id} for {expected} reached i-{runner}"),
            ),
            Report::Stop { id, runner, event } => {
                self.note(&format!(
                    "{id} is stopped by i-{runner} before event {event}"
                ));
            }
            Report::Crash { part, runner } => self.record_crashing(part, runner),
            Report::Trouble { id, cause } => {
                self.note(&format!("{id} may be spoilt: {cause}"));
                let mut state = self.state();
                state.requests.entry(id).or_default().trouble = Some(cause);
            }
            Report::Sound {
                id,
                runner,
                framing,
            } => {
                self.note(&format!("{id} is answered by i-{runner}, {framing}"));
                let mut state = self.state();
                state.requests.entry(id).or_default().sound =
                    Some((runner, framing, Instant::now()));
            }
            Report::Break { runner } => {
                let mut state = self.state();
                state.breaks.entry(runner).or_default().push(Instant::now());
            }
            Report::Foreign { id } => {
                self.report(
                    "unasked",
                    &format!("{id} brought bytes that its caller did not send"),
                );
            }
        }
    }

    /// Records the outcome of a request sent with `key`.
    pub fn record_outcome(&self, id: &str, outcome: Outcome, key: &str, sent: Instant) {
        let mut state = self.state();
        state.requests.entry(id.to_owned()).or_default().outcome = Some(outcome);
        let withdrawn = state.withdrawn.get(key).copied();
        let is_late = withdrawn.is_some_and(|at| sent > at + self.key_bound);
        if is_late && outcome == Outcome::Complete {
            let age = sent - withdrawn.unwrap_or(sent);
            state
                .violations
                .push(format!("key: {id} ran with a key withdrawn {age:?} before"));
        }
    }

    /// Records that a request reached a runner, and whether the runner runs it.
    fn record_arrival(&self, id: &str, runner: usize, runs: bool, after: u64) {
        let now = Instant::now();
        let mut state = self.state();
        state.arrivals += 1;
        let record = state.requests.entry(id.to_owned()).or_default();
        record.arrivals += 1;
        record.runs += usize::from(runs);
        let is_repeat = record.arrivals > 1;
        let is_resumed = after > record.after;
        state.streams.resumed += usize::from(is_resumed);
        if let Some((_, _, arrivals)) = state.limited.get_mut(&runner) {
            arrivals.push(now);
        }
        if is_repeat {
            state.repeats.push(now);
        }
        let Some(&since) = state.leaving.get(&runner) else {
            return;
        };
        let is_calm = state.faults.iter().all(|(_, end)| *end + CALM_TIME < now);
        if is_calm && now > since + CHANGE_BOUND {
            let age = now - since;
            let recent = state
                .wakeups
                .iter()
                .filter(|(at, _)| *at + WAKEUP_WINDOW > now);
            let late: Duration = recent.map(|(_, delay)| *delay).sum();
            state.violations.push(format!(
                "drain: {id} reached runner {runner} {age:?} after it left; a thread of the soak woke up {late:?} late in all within the last {WAKEUP_WINDOW:?}"
            ));
        }
    }

    /// Records a fault that lasts for `time` from now on.
    pub fn record_fault(&self, time: Duration) {
        let now = Instant::now();
        self.state().faults.push((now, now + time));
    }

    /// Records that the store accepted that a runner leaves.
    pub fn record_leaving(&self, runner: usize) {
        self.state().leaving.entry(runner).or_insert(Instant::now());
    }

    /// Records that the store accepted the withdrawal of a key.
    pub fn record_withdrawn(&self, key: &str) {
        let mut state = self.state();
        state.withdrawn.insert(key.to_owned(), Instant::now());
    }

    /// Records that a prompt with a part that crashes runners reached one.
    fn record_crashing(&self, part: u64, runner: usize) {
        let mut state = self.state();
        state
            .crashes
            .entry(runner)
            .or_default()
            .push(Instant::now());
        state.crashing.entry(part).or_default().push(Instant::now());
    }

    /// Records that a runner names a limit from now on, or none any more if it is 0. Checks
    /// the one that it named.
    pub fn record_limit(&self, runner: usize, limit: u64) {
        let mut state = self.state();
        let named = (limit, Instant::now(), Vec::new());
        let ended = match limit {
            0 => state.limited.remove(&runner),
            _ => state.limited.insert(runner, named),
        };
        let Some((limit, since, arrivals)) = ended else {
            return;
        };
        let counted = arrivals.iter().filter(|at| **at >= since + LIMIT_BOUND);
        let counted: Vec<Instant> = counted.copied().collect();
        let in_window = |from: &Instant| {
            let window = *from..*from + LIMIT_WINDOW;
            counted.iter().filter(|at| window.contains(*at)).count() as u64
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        // Half more than the limit allows, and 5.
        if most > limit * 6 + 5 {
            state.violations.push(format!(
                "limit: runner {runner} got {most} requests in 4 s at a limit of {limit} a second"
            ));
        }
        if most == 0 {
            let text = format!("limit: runner {runner} got nothing while it named {limit}");
            state.violations.push(text);
        }
    }

    /// Returns all violations, those that need the whole run included.
    pub fn violations(&self) -> Vec<String> {
        let state = self.state();
        let mut violations = state.violations.clone();
        for (id, detail) in &state.spoilt {
            let cause = state
                .requests
                .get(id)
                .and_then(|record| record.trouble.as_ref());
            let promise = match cause {
                Some(cause) => format!("mixed: {cause}"),
                None => "whole answer".to_owned(),
            };
            violations.push(format!("{promise}: {id} {detail}"));
        }
        for (id, record) in &state.requests {
            if let Some((runner, framing, _)) = state.undisturbed(record)
                && record.outcome == Some(Outcome::Unknown)
            {
                violations.push(format!(
                    "sound answer: {framing}: {id} did not get that of i-{runner}"
                ));
            }
            let is_once = record.kind.is_some_and(Kind::is_once);
            if record.kind.is_none() {
                violations.push(format!("unasked: {id} reached a runner"));
            }
            if is_once && record.runs > 1 {
                violations.push(format!("at most once: {id} ran {} times", record.runs));
            }
            if is_once && record.runs > 0 && record.outcome == Some(Outcome::NotRun) {
                violations.push(format!("refusal: {id} ran and was refused as not run"));
            }
        }
        for (part, arrivals) in &state.crashing {
            let Some(&fifth) = arrivals.get(CRASHES - 1) else {
                continue;
            };
            let late = arrivals.iter().filter(|at| **at > fifth + CRASH_BOUND);
            let late = late.count();
            if late > LATE_ARRIVALS {
                violations.push(format!(
                    "crashing part: {part} reached runners {late} times after five ended"
                ));
            }
        }
        let sorted = |times: &[Instant]| {
            let mut times = times.to_vec();
            times.sort();
            times
        };
        let (all_repeats, sent) = (sorted(&state.repeats), sorted(&state.sent));
        for &begin in &all_repeats {
            let within = |times: &[Instant], from: Instant, to: Instant| {
                let before = |time: Instant| times.partition_point(|at| *at < time);
                (before(to) - before(from)) as f64
            };
            let end = begin + RETRY_WINDOW;
            let repeats = within(&all_repeats, begin, end);
            let requests =
                within(&sent, begin - RETRY_WINDOW, begin).max(within(&sent, begin, end));
            if repeats > requests * RETRY_RATIO + RETRY_SLACK {
                violations.push(format!(
                    "retry budget: {repeats} repeats of {requests} requests in a window"
                ));
                break;
            }
        }
        violations
    }

    /// Returns the counts of streams and of the violations of their order.
    pub fn stream_summary(&self) -> String {
        let streams = self.streams();
        let violations = self.violations();
        let count = |part: &str| {
            let promise = format!("order: {part}:");
            let broken = violations.iter();
            broken.filter(|text| text.starts_with(&promise)).count()
        };
        let [missing, twice, joined, ended_early] =
            ["missing", "twice", "joined", "ended early"].map(count);
        format!(
            "streams {streams} missing={missing} twice={twice} joined={joined} ended_early={ended_early}"
        )
    }

    /// Returns counts of the answers of runners in trouble and of the sound ones, and of what
    /// callers got.
    pub fn answer_summary(&self) -> String {
        let violations = self.violations();
        let state = self.state();
        let mut causes: BTreeMap<&str, usize> = BTreeMap::new();
        // Those of the calm stretch, and those of them that arrived.
        let mut sound: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for record in state.requests.values() {
            if let Some(cause) = &record.trouble {
                *causes.entry(cause).or_default() += 1;
            }
            if let Some((_, framing, _)) = state.undisturbed(record) {
                let (sent, complete) = sound.entry(framing).or_default();
                *sent += 1;
                *complete += usize::from(record.outcome == Some(Outcome::Complete));
            }
        }
        let mixed = violations.iter().filter(|text| text.starts_with("mixed: "));
        let mut delivered: BTreeMap<&str, usize> = BTreeMap::new();
        for cause in mixed.filter_map(|text| text.split(": ").nth(1)) {
            *delivered.entry(cause).or_default() += 1;
        }
        format!("answers troubled={causes:?} mixed={delivered:?} calm_sound={sound:?}")
    }

    /// Returns counts of the run.
    pub fn summary(&self) -> String {
        let state = self.state();
        let count = |outcome| {
            let records = state.requests.values();
            records
                .filter(|record| record.outcome == Some(outcome))
                .count()
        };
        format!(
            "requests={} complete={} not_run={} unauthorized={} unknown={} repeats={} faults={} crashes={} runner_kills={} late_wakeups={} longest_ms={}",
            state.sent.len(),
            count(Outcome::Complete),
            count(Outcome::NotRun),
            count(Outcome::Unauthorized),
            count(Outcome::Unknown),
            state.repeats.len(),
            state.faults.len(),
            state.crashing.values().map(Vec::len).sum::<usize>(),
            state.runner_kills,
            state.wakeups.len(),
            state
                .wakeups
                .iter()
                .map(|(_, delay)| delay.as_millis())
                .max()
                .unwrap_or(0)
        )
    }
}
