//! What an engine has in memory, and how it makes tokens.

use std::time::Duration;

use balsamchute_base::prelude::*;
use indexmap::IndexMap;
use serde_json::json;

use crate::cache::Cache;
use crate::clock;
use crate::ledger::Ledger;
use crate::record::End;
use crate::stream::Stream;

use super::body::Order;
use super::settings::Settings;

/// How long an ended stream can still be resumed.
const KEEP: Span = Span::from_secs(10);

/// Shortest time between two rounds of the token thread.
const MIN_ROUND: Duration = Duration::from_millis(2);

/// Longest time between two rounds of the token thread.
const MAX_ROUND: Duration = Duration::from_millis(50);

/// What an engine has in memory.
pub(super) struct State {
    pub ledger: Ledger,
    /// Streams that run or are being read.
    pub streams: IndexMap<String, Stream>,
    /// Streams that can still be resumed, the first to go first.
    pub ended: IndexMap<String, Stream>,
    pub cache: Cache,
    /// Models with the time from which they are loaded.
    pub models: IndexMap<String, Time>,
    pub orders: Vec<(u64, Order)>,
    pub fence: u64,
    pub incarnation: u64,
    /// Number of the present life; a restart belongs to the life it follows.
    pub life: u64,
    pub speed: f64,
    pub report_lag: Span,
    pub answer_delay: Span,
    pub leaving: Option<Time>,
    pub stopped: bool,
}

impl State {
    /// Creates the state of a new engine.
    pub fn new(settings: &Settings) -> Self {
        Self {
            ledger: Ledger::new(settings.slots, settings.checks_fence),
            streams: IndexMap::new(),
            ended: IndexMap::new(),
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
    pub fn crash(&mut self, settings: &Settings) {
        self.ledger.crash();
        self.streams.clear();
        self.ended.clear();
        self.cache.clear();
        self.models = first_models(settings);
        self.fence = 0;
        self.incarnation = clock::now().0.max(self.incarnation + 1);
        self.life += 1;
    }

    pub fn cancel(&mut self, attempt: &str) -> bool {
        let Some(stream) = self.recall(attempt) else {
            return false;
        };
        let (place, running) = (stream.place, stream.last_line.is_none());
        if running {
            stream.end(json!({"error": "cancelled"}).to_string(), clock::now());
        }
        stream.flush(clock::now());
        if running {
            self.ledger.finish(place, End::Cancelled);
        }
        true
    }

    /// Tokens a second of one request at the present load.
    pub fn rate(&self) -> f64 {
        self.speed / self.ledger.slowdown()
    }

    /// Makes tokens for the time passed. Returns whether a request crashed
    /// the engine.
    pub fn advance(&mut self, passed: Duration, settings: &Settings) -> bool {
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
        self.retire(now);
        false
    }

    /// Sets aside the streams that have ended, and drops the oldest of them.
    fn retire(&mut self, now: Time) {
        let over =
            |_: &String, stream: &mut Stream| stream.last_line.is_some() && !stream.has_reader();
        self.ended.extend(self.streams.extract_if(.., over));
        let expired = |stream: &Stream| {
            stream
                .idle_since
                .is_none_or(|since| now.since(since) > KEEP)
        };
        let count = self
            .ended
            .values()
            .take_while(|stream| expired(stream))
            .count();
        self.ended.drain(..count);
    }

    /// Finds a stream that runs or has ended, and puts it among those that are
    /// looked after.
    pub fn recall(&mut self, attempt: &str) -> Option<&mut Stream> {
        if let Some((attempt, stream)) = self.ended.shift_remove_entry(attempt) {
            self.streams.insert(attempt, stream);
        }
        self.streams.get_mut(attempt)
    }

    /// Time until the next token of any stream.
    pub fn round(&self) -> Duration {
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

    pub fn is_idle(&self) -> bool {
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
