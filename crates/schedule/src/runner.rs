//! Load and health of runners, as one router observes them.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;
use smallvec::SmallVec;

use crate::cache::Cache;
use crate::parts::Keys;
use crate::process::{Naming, Process};

/// Age above which load reported by a peer is ignored. Peers report several
/// times a second.
const MAX_PEER_LOAD_AGE: Span = Span(600);

/// Length of the first ejection of a failing runner; consecutive ones double.
const MIN_EJECTION: Span = Span(400);

/// Upper bound of the ejection of a runner that keeps failing.
const MAX_EJECTION: Span = Span(3000);

/// Weight of the newest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Failure rate at or above which a runner is ejected. Three failures in a row
/// reach it from a rate of zero.
const EJECTION_FAILURE_RATE: f64 = 0.45;

/// Weight of the newest observation in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;

/// Lower and upper bound of the slowdown factor.
const SLOWDOWN_RANGE: (f64, f64) = (0.6, 8.0);

/// Time for which broken connections are kept. A refused connection within it
/// shows that the runner crashed, while a break alone may be a reset.
const CRASH_WINDOW: Span = Span(1000);

/// Time after a break at which the router connects to the runner to learn whether it
/// crashed: a process that ends may close its connections before its listener.
const PROBE_DELAY: Span = Span(50);

/// Time after a refused or broken connection in which the next process of the runner may answer
/// before its entry is listed: the store drops the entry of a process that is gone after three
/// check-in intervals, and lists a new one within one.
const REFUSAL_TIME: Span = Span(6000);

/// Time for which a runner that sent no report is not asked again: each question delays a
/// request.
const SILENCE_TIME: Span = Span::from_secs(5);

/// Load that requests in flight place on a runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests in flight at the runner.
    pub running: u32,
    /// Prompt tokens that the runner has not prefilled yet.
    pub prefill_tokens: u64,
    /// Tokens reserved in the runner's KV cache for prompts and expected
    /// answers.
    pub kv_tokens: u64,
}

impl Load {
    /// Adds the load of one request.
    pub fn add(&mut self, prefill_tokens: u64, kv_tokens: u64) {
        self.running += 1;
        self.prefill_tokens += prefill_tokens;
        self.kv_tokens += kv_tokens;
    }

    /// Removes a request, with those of its prompt tokens that are not
    /// prefilled yet.
    pub fn remove(&mut self, prefill_tokens: u64, kv_tokens: u64) {
        self.running = self.running.saturating_sub(1);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(kv_tokens);
    }
}

/// Time from which a connection was in use, compared with the breaks of other connections.
#[derive(Clone, Copy, Debug)]
pub enum Start {
    /// After the router had recorded this number of breaks.
    AfterBreaks(u64),
    /// At this time. A break in the same millisecond counts as later.
    At(Time),
}

/// Break of a connection to the runner.
#[derive(Clone, Copy, Debug)]
struct Break {
    at: Time,
    /// Number of breaks that the router had recorded with it.
    number: u64,
}

/// Attempt whose connection to the runner broke.
#[derive(Clone, Debug)]
pub struct Disconnect {
    /// Time at which the router observed the break.
    pub broken_at: Time,
    /// Fingerprint of the request, which identifies it across retries.
    pub fingerprint: u128,
    /// Digests of the shareable prompt parts, empty if the answer had begun.
    pub part_keys: Keys,
    /// Process of the runner that the connection led to; see [`Target::process`].
    pub process: Attempt,
}

/// Failure rate and ejection of a runner, for outlier detection.
#[derive(Clone, Debug, Default)]
struct Health {
    failure_rate: f64,
    ejected_until: Time,
    // Length of the last ejection, 0 after a success.
    ejection: Span,
}

/// Sum of the loads that peers reported, computed when one of them changes: each decision
/// compares the loads of all runners.
#[derive(Clone, Copy, Debug)]
struct PeerSum {
    load: Load,
    from: Time,
    /// Time at which the first of the summed reports is out of date.
    until: Time,
}

impl PeerSum {
    fn holds_at(&self, now: Time) -> bool {
        self.from <= now && now < self.until
    }
}

impl Default for PeerSum {
    fn default() -> Self {
        PeerSum {
            load: Load::default(),
            from: Time(0),
            until: Time(u64::MAX),
        }
    }
}

/// Runner with its load and health; a target for requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// Registration of the runner as the platform lists it.
    pub entry: Entry,
    /// Load that this router has placed on the runner.
    pub local_load: Load,
    /// Estimate of the prompt parts in the runner's prefix cache.
    pub cache: Cache,
    /// Connections that broke within the crash window.
    pub disconnects: SmallVec<[Disconnect; 4]>,
    /// Whether the router has connected to the runner since the last break.
    is_probed: bool,
    /// Time of the last connection that the runner refused, while the process that is listed
    /// may be gone.
    refused_at: Option<Time>,
    /// Time at which a connection led to another process than the one that is listed.
    replaced_at: Option<Time>,
    /// Last connection that broke.
    last_break: Option<Break>,
    /// Whether no connection that was open beside that one shows that its process lives.
    is_suspected: bool,
    /// Time at which connections last broke that were open at the same time, unless another one
    /// shows that their process lives.
    lost_at: Option<Time>,
    /// Time at which the entry arrived, if it names an earlier start than the one before.
    stepped_back_at: Option<Time>,
    /// Number of crashes that this router saw since the entry arrived. A runner may start again
    /// under its id and crash before the entry of the next process arrives.
    crashes: u32,
    /// Number of breaks that the router had recorded with the last of them.
    breaks_at_crash: u64,
    /// Whether the process names its start, if that is known.
    names_start: Option<bool>,
    /// Time until which the process is not asked for its start, since it did not answer.
    silent_until: Option<Time>,
    /// Whether the process did not answer when it was last asked.
    was_silent: bool,
    peer_loads: BTreeMap<Instance, (Time, Load)>,
    peer_sum: PeerSum,
    health: Health,
    slowdown: f64,
}

impl Target {
    /// Creates a target without load, failures or cached parts.
    #[must_use]
    pub fn new(entry: Entry) -> Self {
        Target {
            entry,
            local_load: Load::default(),
            cache: Cache::new(),
            disconnects: SmallVec::new(),
            is_probed: true,
            refused_at: None,
            replaced_at: None,
            last_break: None,
            is_suspected: false,
            lost_at: None,
            stepped_back_at: None,
            crashes: 0,
            breaks_at_crash: 0,
            names_start: None,
            silent_until: None,
            was_silent: false,
            peer_loads: BTreeMap::new(),
            peer_sum: PeerSum::default(),
            health: Health::default(),
            slowdown: 1.0,
        }
    }

    /// Replaces the registration. A changed start time means a restart, which
    /// resets the cache estimate and the health. An entry with an earlier start may be a late
    /// write of a process that is gone: the process is in doubt.
    pub fn update(&mut self, now: Time, entry: Entry) {
        if entry.started_at != self.entry.started_at {
            self.cache.clear();
            self.health = Health::default();
        }
        let is_same = |known: &Entry| {
            known.started_at == entry.started_at && known.software == entry.software
        };
        if !is_same(&self.entry) {
            self.refused_at = None;
            self.replaced_at = None;
            self.record_alive();
            self.crashes = 0;
            self.names_start = None;
            self.end_silence();
            let is_earlier = entry.started_at != 0 && entry.started_at < self.entry.started_at;
            self.stepped_back_at = is_earlier.then_some(now);
        }
        self.entry = entry;
    }

    /// Records that the runner refused a connection: the process that is listed is gone. Returns
    /// the attempts that were in flight when it crashed, by their connections, which broke within
    /// the crash window. `breaks` is the number of breaks that the router has recorded with this
    /// refusal.
    pub fn record_refusal(&mut self, now: Time, breaks: u64) -> SmallVec<[Disconnect; 4]> {
        self.refused_at = Some(now);
        let mut disconnects = std::mem::take(&mut self.disconnects);
        disconnects.retain(|disconnect| now.since(disconnect.broken_at) < CRASH_WINDOW);
        let process = self.process(breaks);
        let mut names = disconnects.iter().map(|disconnect| &disconnect.process);
        if names.any(|name| process.as_ref() == Some(name)) {
            self.crashes += 1;
            self.breaks_at_crash = breaks;
        }
        disconnects
    }

    /// Returns the name of the process that an attempt reaches which is sent after `breaks`
    /// recorded breaks: the runner and the start of the listed process, with the number of
    /// crashes since then that this router saw. All routers give a listed process the same name.
    /// `None` if the name is too long.
    #[must_use]
    pub fn process(&self, breaks: u64) -> Option<Attempt> {
        let crashes = match breaks < self.breaks_at_crash {
            true => self.crashes.saturating_sub(1),
            false => self.crashes,
        };
        let (runner, started_at) = (&self.entry.runner, self.entry.started_at);
        let name = match crashes {
            0 => format!("{runner}.{started_at}"),
            crashes => format!("{runner}.{started_at}-{crashes}"),
        };
        Attempt::new(&name).ok()
    }

    /// Records that a connection, in use since `start`, ended as it does when the process ends;
    /// `number` is the number of breaks that the router has recorded with it. Two that were open
    /// at the same time break together if the process ends.
    pub fn record_break(&mut self, now: Time, number: u64, start: Start) {
        let was_open = |last: Break| match start {
            Start::AfterBreaks(breaks) => breaks < last.number,
            Start::At(opened_at) => opened_at <= last.at,
        };
        let last = self
            .last_break
            .filter(|last| now.since(last.at) < CRASH_WINDOW);
        if last.is_some_and(was_open) {
            self.lost_at = Some(now);
        }
        self.last_break = Some(Break { at: now, number });
        self.is_suspected = true;
    }

    /// Records that the process of the last connection that broke lives.
    pub fn record_alive(&mut self) {
        self.is_suspected = false;
        self.lost_at = None;
    }

    /// Records which process a new connection leads to.
    pub fn record_process(&mut self, now: Time, process: Process) {
        match process {
            Process::Listed => {
                self.names_start = Some(true);
                self.refused_at = None;
                self.replaced_at = None;
                self.stepped_back_at = None;
                self.end_silence();
                self.record_alive();
                self.crashes = 0;
            }
            Process::Other => {
                self.names_start = Some(true);
                self.refused_at = Some(now);
                self.replaced_at = Some(now);
            }
            // The process that named its start may be gone.
            Process::Unnamed if self.names_start == Some(true) => self.record_silence(now),
            Process::Unnamed => self.names_start = Some(false),
        }
    }

    /// Ends the doubt about the listed process if it is still listed long after the last
    /// refusal or break, by a list that was confirmed at `confirmed_at`.
    pub fn confirm_process(&mut self, confirmed_at: Time) {
        let is_outdated = |at: Time| confirmed_at >= at + REFUSAL_TIME;
        self.refused_at.take_if(|at| is_outdated(*at));
        self.replaced_at.take_if(|at| is_outdated(*at));
        self.lost_at.take_if(|at| is_outdated(*at));
        self.stepped_back_at.take_if(|at| is_outdated(*at));
        let outdated = self.last_break.take_if(|last| is_outdated(last.at));
        if outdated.is_some() {
            self.is_suspected = false;
        }
    }

    /// Returns whether requests may reach another process than the listed one.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.is_gone() || self.lost_at.is_some() || self.stepped_back_at.is_some()
    }

    /// Returns whether the process that answers is known to be another one than is listed.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.replaced_at.is_some()
    }

    /// Returns whether a stream that begins at the runner now is of unknown version: its process
    /// is another one than is listed, or does not tell which one it is.
    #[must_use]
    pub fn has_unknown_version(&self) -> bool {
        match self.naming() {
            Naming::Unknown | Naming::Named => self.is_replaced(),
            Naming::Unnamed => self.is_in_doubt() || self.silent_until.is_some(),
            Naming::Silent => true,
        }
    }

    /// Returns whether a connection broke and nothing shows that its process lives.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.is_suspected
    }

    /// Returns whether the listed process is known to be gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.refused_at.is_some()
    }

    /// Records that no report came in time over a new connection. A process that names its start
    /// in its entry names it in its reports.
    pub fn record_silence(&mut self, now: Time) {
        self.silent_until = Some(now + SILENCE_TIME);
        self.was_silent = true;
    }

    fn end_silence(&mut self) {
        self.silent_until = None;
        self.was_silent = false;
    }

    /// Returns whether the process should name its start, and did not when it was last asked.
    #[must_use]
    pub fn was_silent(&self) -> bool {
        self.was_silent && self.entry.started_at != 0 && self.names_start != Some(false)
    }

    /// Lets the process be asked again for its start.
    pub fn expire_silence(&mut self, now: Time) {
        self.silent_until.take_if(|until| now >= *until);
    }

    /// Returns what is known of the reports of the process.
    #[must_use]
    pub fn naming(&self) -> Naming {
        match (self.names_start, self.silent_until) {
            (Some(true), Some(_)) => Naming::Silent,
            (None, Some(_)) if self.entry.started_at != 0 => Naming::Silent,
            (Some(true), None) => Naming::Named,
            (Some(false), _) | (None, Some(_)) => Naming::Unnamed,
            (None, None) => Naming::Unknown,
        }
    }

    /// Returns whether the platform lists the runner as accepting requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.entry.state == State::Ready
    }

    /// Returns whether the runner is ejected at `now` because of failures.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.health.ejected_until
    }

    /// Returns the load on the runner from all routers, without reports that
    /// are out of date.
    #[must_use]
    pub fn load(&self, now: Time) -> Load {
        let by_peers = match self.peer_sum.holds_at(now) {
            true => self.peer_sum.load,
            false => self.sum_peer_loads(now).load,
        };
        Load {
            running: self.local_load.running + by_peers.running,
            prefill_tokens: self.local_load.prefill_tokens + by_peers.prefill_tokens,
            kv_tokens: self.local_load.kv_tokens + by_peers.kv_tokens,
        }
    }

    /// Returns the time before which the load and the ejection stay as they are without
    /// another event; `now` if that is not known.
    pub(crate) fn next_change(&self, now: Time) -> Time {
        let load_until = match self.peer_sum.holds_at(now) {
            true => self.peer_sum.until,
            false => now,
        };
        match self.is_ejected(now) {
            true => load_until.min(self.health.ejected_until),
            false => load_until,
        }
    }

    /// Replaces the load that a peer has placed on the runner.
    pub fn set_peer_load(&mut self, now: Time, peer: &Instance, load: Load) {
        self.peer_loads.insert(peer.clone(), (now, load));
        self.peer_sum = self.sum_peer_loads(now);
    }

    /// Drops the load that peers have reported.
    pub fn clear_peer_loads(&mut self) {
        self.peer_loads.clear();
        self.peer_sum = PeerSum::default();
    }

    fn sum_peer_loads(&self, now: Time) -> PeerSum {
        let mut sum = PeerSum {
            from: now,
            ..PeerSum::default()
        };
        for (received_at, load) in self.peer_loads.values() {
            if now.since(*received_at) < MAX_PEER_LOAD_AGE {
                sum.load.running += load.running;
                sum.load.prefill_tokens += load.prefill_tokens;
                sum.load.kv_tokens += load.kv_tokens;
                sum.until = sum.until.min(*received_at + MAX_PEER_LOAD_AGE);
            }
        }
        sum
    }

    /// Returns the factor by which prefill takes longer than usual; 1 is the
    /// usual speed.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Records that prefill took `ratio` times as long as usual.
    pub fn observe_slowdown(&mut self, ratio: f64) {
        let (min, max) = SLOWDOWN_RANGE;
        let average =
            self.slowdown * (1.0 - SLOWDOWN_WEIGHT) + ratio.clamp(min, max) * SLOWDOWN_WEIGHT;
        self.slowdown = average.clamp(min, max);
    }

    /// Records a successful attempt, which ends the doubling of ejections.
    pub fn record_success(&mut self) {
        self.health.failure_rate *= 1.0 - OUTCOME_WEIGHT;
        self.health.ejection = Span(0);
    }

    /// Records a failed attempt; returns whether it ejects the runner.
    pub fn record_failure(&mut self, now: Time) -> bool {
        let health = &mut self.health;
        health.failure_rate = health.failure_rate * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
        if health.failure_rate < EJECTION_FAILURE_RATE || now < health.ejected_until {
            return false;
        }
        self.eject(now);
        true
    }

    /// Ejects the runner for a time that doubles with each consecutive
    /// ejection. Has no effect on a runner that is ejected already.
    pub fn eject(&mut self, now: Time) {
        let health = &mut self.health;
        if now < health.ejected_until {
            return;
        }
        let doubled = Span(health.ejection.0 * 2);
        health.ejection = doubled.clamp(MIN_EJECTION, MAX_EJECTION);
        health.ejected_until = now + health.ejection;
    }

    /// Records a connection that broke under an attempt.
    pub fn record_disconnect(&mut self, disconnect: Disconnect) {
        let now = disconnect.broken_at;
        self.disconnects
            .retain(|earlier| now.since(earlier.broken_at) < CRASH_WINDOW);
        self.disconnects.push(disconnect);
        self.is_probed = false;
    }

    /// Returns whether the router should connect to the runner now to learn whether it
    /// crashed. Returns true once after each break.
    pub fn take_probe(&mut self, now: Time) -> bool {
        let broken_at = self.disconnects.last().map(|last| last.broken_at);
        let is_due = broken_at.is_some_and(|broken_at| now.since(broken_at) >= PROBE_DELAY);
        if self.is_probed || !is_due {
            return false;
        }
        self.is_probed = true;
        true
    }
}
