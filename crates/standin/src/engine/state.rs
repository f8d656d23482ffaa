//! In-memory state of an engine and its token generation.

use std::time::Duration;

use balsamchute_base::prelude::*;
use indexmap::IndexMap;
use serde_json::json;

use crate::cache::Cache;
use crate::clock;
use crate::ledger::Ledger;
use crate::record::Outcome;
use crate::stream::Stream;

use super::body::Order;
use super::settings::Settings;

/// Time after the end of a generation during which its stream can be resumed.
const RESUME_WINDOW: Span = Span::from_secs(10);

/// Minimum interval between two ticks of the token thread.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum interval between two ticks of the token thread while streams are
/// active.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// In-memory state of an engine.
pub(super) struct State {
    pub ledger: Ledger,
    /// Streams that are running or have a client, by attempt.
    pub streams: IndexMap<String, Stream>,
    /// Ended streams that can still be resumed, by attempt, in the order in which
    /// they were set aside.
    pub ended: IndexMap<String, Stream>,
    pub cache: Cache,
    /// Models with the time at which each is ready.
    pub models: IndexMap<String, Time>,
    pub orders: Vec<(u64, Order)>,
    pub order_fence: u64,
    pub incarnation: u64,
    /// Number of crashes and kills. A scheduled restart is skipped if this has changed.
    pub epoch: u64,
    pub tokens_per_second: f64,
    pub report_lag: Span,
    pub response_delay: Span,
    pub leaving_since: Option<Time>,
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
            models: initial_models(settings),
            orders: Vec::new(),
            order_fence: 0,
            incarnation: clock::now().0,
            epoch: 0,
            tokens_per_second: settings.tokens_per_second,
            report_lag: Span(0),
            response_delay: Span(0),
            leaving_since: None,
            stopped: false,
        }
    }

    /// Clears the state that does not survive a crash.
    pub fn crash(&mut self, settings: &Settings) {
        self.ledger.crash();
        self.streams.clear();
        self.ended.clear();
        self.cache.clear();
        self.models = initial_models(settings);
        self.order_fence = 0;
        // Start time in milliseconds, increased even by a second crash within a millisecond.
        self.incarnation = clock::now().0.max(self.incarnation + 1);
        self.epoch += 1;
    }

    pub fn cancel(&mut self, attempt: &str) -> bool {
        let Some(stream) = self.activate_stream(attempt) else {
            return false;
        };
        let (record_index, is_running) = (stream.record_index, stream.last_line.is_none());
        if is_running {
            stream.end(json!({"error": "cancelled"}).to_string(), clock::now());
        }
        stream.flush(clock::now());
        if is_running {
            self.ledger.finish(record_index, Outcome::Cancelled);
        }
        true
    }

    /// Returns the tokens per second of one request at the current load.
    pub fn effective_rate(&self) -> f64 {
        self.tokens_per_second / self.ledger.slowdown()
    }

    /// Generates the tokens due after `elapsed` and sends them, cancels streams that had
    /// no client for longer than the idle timeout, and sets ended ones aside. Returns true
    /// at once if a prompt crashes the engine.
    pub fn advance(&mut self, elapsed: Duration, settings: &Settings) -> bool {
        let new_tokens = elapsed.as_secs_f64() * self.effective_rate();
        let now = clock::now();
        for stream in self.streams.values_mut() {
            if stream.last_line.is_none() {
                stream.progress += new_tokens;
                self.ledger
                    .set_cost(stream.record_index, Cost(stream.generated_tokens()));
                if stream.prompt.crash
                    && stream.generated_tokens() >= stream.prompt.tokens.div_ceil(2)
                {
                    return true;
                }
                // The progress is negative during the prefill. Without this condition, a
                // prompt without tokens would end before.
                if stream.generated_tokens() == stream.prompt.tokens && stream.progress >= 0.0 {
                    finish(stream, &mut self.ledger, now);
                }
            }
            stream.flush(now);
            let idle_time = stream.idle_since.map(|since| now.since(since));
            if stream.last_line.is_none()
                && idle_time.is_some_and(|idle_time| idle_time > settings.idle_timeout)
            {
                stream.end(json!({"error": "cancelled"}).to_string(), now);
                self.ledger.finish(stream.record_index, Outcome::Cancelled);
            }
        }
        self.retire_streams(now);
        false
    }

    /// Moves ended streams without a client to `ended` and drops those past
    /// [`RESUME_WINDOW`].
    fn retire_streams(&mut self, now: Time) {
        let is_finished =
            |_: &String, stream: &mut Stream| stream.last_line.is_some() && !stream.has_client();
        self.ended.extend(self.streams.extract_if(.., is_finished));
        let is_expired = |stream: &Stream| {
            stream
                .idle_since
                .is_none_or(|since| now.since(since) > RESUME_WINDOW)
        };
        let expired_count = self
            .ended
            .values()
            .take_while(|stream| is_expired(stream))
            .count();
        self.ended.drain(..expired_count);
    }

    /// Returns a running or resumable stream. A resumable one becomes active
    /// again.
    pub fn activate_stream(&mut self, attempt: &str) -> Option<&mut Stream> {
        if let Some((attempt, stream)) = self.ended.shift_remove_entry(attempt) {
            self.streams.insert(attempt, stream);
        }
        self.streams.get_mut(attempt)
    }

    /// Returns the time until the next token of any stream is due, within the
    /// tick limits.
    pub fn tick_interval(&self) -> Duration {
        // Avoids a division by zero at speed 0.
        let rate = self.effective_rate().max(0.001);
        let running = self
            .streams
            .values()
            .filter(|stream| stream.last_line.is_none());
        let seconds = running
            .map(|stream| (1.0 - stream.progress.rem_euclid(1.0)) / rate)
            .fold(MAX_TICK_INTERVAL.as_secs_f64(), f64::min);
        Duration::from_secs_f64(seconds).max(MIN_TICK_INTERVAL)
    }

    pub fn is_idle(&self) -> bool {
        let is_finished = |stream: &Stream| stream.last_line.is_some() && !stream.has_client();
        self.streams.values().all(is_finished)
    }
}

fn finish(stream: &mut Stream, ledger: &mut Ledger, now: Time) {
    let (line, end) = if stream.prompt.fail {
        (json!({"error": "prompt failed"}), Outcome::Failed)
    } else {
        (
            json!({"done": true, "tokens": stream.prompt.tokens}),
            Outcome::Done,
        )
    };
    stream.end(line.to_string(), now);
    ledger.finish(stream.record_index, end);
}

fn initial_models(settings: &Settings) -> IndexMap<String, Time> {
    let models = settings.models.iter().cloned();
    models.map(|model| (model, Time(0))).collect()
}
