//! Process setup: settings, signals and the event loop.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use balsamchute_adapter::settings;
use balsamchute_base::clock::Clock;
use balsamchute_model::prelude::*;
use mio::{Events, Poll};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use stakker::{Stakker, actor, call, ret_nop};

use crate::edge::{Edge, index_of};
use crate::error::Error;
use crate::line::Format;
use crate::output::Output;
use crate::suspension::Suspension;

/// Events that one turn of the loop handles.
const MAX_EVENTS: usize = 256;

/// Turns in a row with [`MAX_EVENTS`] events for which timers wait.
const MAX_FULL_TURNS: usize = 8;

/// Interval at which the settings file is read again. The file may change
/// without a signal.
const SETTINGS_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Longest sleep of the loop; pending timers make it shorter.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Duration of a turn of the loop from which on it is logged. No change of the manifest or
/// of a runner is noticed during a turn.
const SLOW_TURN: Duration = Duration::from_millis(250);

/// Serves with the settings file at `path` until SIGTERM or SIGINT, and writes
/// log lines in `format`.
///
/// # Errors
///
/// Returns [`Error`] if the settings cannot be used, an address cannot be
/// listened on, or the event loop fails.
pub fn serve(path: &str, format: Format) -> Result<(), Error> {
    // Until a handler is set, SIGHUP ends the process.
    let stop = Arc::new(AtomicBool::new(false));
    let reload = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, reload.clone()).map_err(Error::Poll)?;
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(Error::Poll)?;
    }
    let settings = read_settings(path)?;
    let clock = Clock::new();
    let output = Output::start(&settings.instance, clock, format);
    let poll = Poll::new().map_err(Error::Poll)?;
    let poller = poll.registry().try_clone().map_err(Error::Poll)?;
    let edge = Edge::new(settings, clock, poller, output.clone())?;
    let result = run_loop(poll, edge, path, &stop, &reload);
    output.flush();
    result
}

fn read_settings(path: &str) -> Result<Settings, Error> {
    let error = |reason: String| Error::Settings {
        path: path.to_owned(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    settings::parse(&text).map_err(|e| error(e.to_string()))
}

/// Waits for events for this time at most. Returns whether `events` holds all events that were
/// ready; `false` after a signal, or if it is full.
fn wait(poll: &mut Poll, events: &mut Events, timeout: Duration) -> Result<bool, Error> {
    match poll.poll(events, Some(timeout)) {
        Ok(()) => Ok(events.iter().count() < MAX_EVENTS),
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {
            events.clear();
            Ok(false)
        }
        Err(error) => Err(Error::Poll(error)),
    }
}

fn run_loop(
    mut poll: Poll,
    edge: Edge,
    path: &str,
    stop: &AtomicBool,
    reload: &AtomicBool,
) -> Result<(), Error> {
    let mut stakker = Stakker::new(Instant::now());
    let edge = actor!(stakker, Edge::start(edge), ret_nop!());
    call!([edge], tick());
    let mut timers_run_to = Instant::now();
    stakker.run(timers_run_to, false);
    // Last time at which all that had arrived was asked for and is read.
    let mut read_to = timers_run_to;
    let mut full_turns = 0;
    let mut next_settings_read = Instant::now() + SETTINGS_READ_INTERVAL;
    let mut events = Events::with_capacity(MAX_EVENTS);
    let mut suspension = Suspension::new();
    loop {
        let pending = edge.query(&mut stakker, |edge, _| {
            (edge.has_pending_work(), edge.next_settlement())
        });
        let max_sleep = match pending {
            Some((true, _)) => Duration::ZERO,
            Some((_, Some(left))) => MAX_SLEEP.min(Duration::from_millis(left.0)),
            _ => MAX_SLEEP,
        };
        let sleep = stakker.next_wait_max(Instant::now(), max_sleep, false);
        // Without a first poll that does not block, all that is read after the sleep could have
        // arrived during the sleep before.
        let mut asked_at = Instant::now();
        let mut is_complete = wait(&mut poll, &mut events, Duration::ZERO)?;
        if events.is_empty() && !sleep.is_zero() {
            if is_complete {
                read_to = asked_at;
            }
            asked_at = Instant::now();
            is_complete = wait(&mut poll, &mut events, sleep)?;
        }
        let turn_began = Instant::now();
        let suspended = suspension.growth();
        if let Some(suspended) = suspended {
            log::warn!(target: "process", "event=suspended for_ms={}", suspended.0);
            call!([edge], record_suspension(suspended));
        }
        if stop.load(Ordering::Relaxed) {
            call!([edge], begin_shutdown());
        }
        let is_due = Instant::now() >= next_settings_read;
        if is_due || reload.swap(false, Ordering::Relaxed) {
            next_settings_read = Instant::now() + SETTINGS_READ_INTERVAL;
            match read_settings(path) {
                Ok(settings) => call!([edge], reload(settings)),
                Err(error) => {
                    log::warn!(target: "process", "event=reload_failed reason={:?}", error.to_string());
                }
            }
        }
        // What is read now was not there when all events were asked for the time before.
        let suspended = suspended.unwrap_or_default();
        call!([edge], begin_turn(read_to, suspended));
        // Before new events, so that these do not use up what may be read in a turn.
        call!([edge], continue_queued());
        for event in &events {
            call!([edge], handle_ready(index_of(event)));
        }
        call!([edge], accept_more());
        call!([edge], settle_endings());
        // Timers judge silence, so they run up to a time at which all that had arrived was
        // asked for and is read. The process may have been stopped since.
        full_turns = match events.iter().count() {
            MAX_EVENTS => full_turns + 1,
            _ => 0,
        };
        if !(1..=MAX_FULL_TURNS).contains(&full_turns) {
            timers_run_to = asked_at;
        }
        stakker.run(timers_run_to, false);
        if is_complete {
            read_to = asked_at;
        }
        let took = turn_began.elapsed();
        if took >= SLOW_TURN {
            log::warn!(target: "process", "event=turn_slow took_ms={} events={}", took.as_millis(), events.iter().count());
        }
        let is_done = edge.query(&mut stakker, |edge, _| edge.is_done());
        if is_done.unwrap_or(true) {
            return Ok(());
        }
    }
}
