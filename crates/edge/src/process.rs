//! The process: settings, signals and the event loop.

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

use crate::edge::{Edge, slot_of};
use crate::error::Error;
use crate::line::Format;
use crate::output::Output;

/// Events that one turn of the loop takes at most.
const MAX_EVENTS: usize = 256;

/// Interval at which the settings file is read again: it may change without a
/// signal.
const READ_AGAIN: Duration = Duration::from_secs(5);

/// Longest sleep of the loop; the periodic work sets a shorter one.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Serves with the settings file at `path` until SIGTERM or SIGINT, with log
/// lines in `format`.
///
/// # Errors
///
/// Returns [`Error`] if the settings cannot be used, an address is taken, or
/// the event loop fails.
pub fn serve(path: &str, format: Format) -> Result<(), Error> {
    let settings = read_settings(path)?;
    let clock = Clock::new();
    let output = Output::start(&settings.instance, clock, format);
    let poll = Poll::new().map_err(Error::Poll)?;
    let poller = poll.registry().try_clone().map_err(Error::Poll)?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(Error::Poll)?;
    }
    let reload = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, reload.clone()).map_err(Error::Poll)?;
    let edge = Edge::new(settings, clock, poller, output.clone())?;
    let ended = turn(poll, edge, path, &stop, &reload);
    output.flush();
    ended
}

fn read_settings(path: &str) -> Result<Settings, Error> {
    let error = |reason: String| Error::Settings {
        path: path.to_owned(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    settings::parse(&text).map_err(|e| error(e.to_string()))
}

fn turn(
    mut poll: Poll,
    edge: Edge,
    path: &str,
    stop: &AtomicBool,
    reload: &AtomicBool,
) -> Result<(), Error> {
    let mut stakker = Stakker::new(Instant::now());
    let edge = actor!(stakker, Edge::start(edge), ret_nop!());
    call!([edge], tick());
    stakker.run(Instant::now(), false);
    let mut read_again = Instant::now() + READ_AGAIN;
    let mut events = Events::with_capacity(MAX_EVENTS);
    loop {
        let waits = edge.query(&mut stakker, |edge, _| edge.accepts_more());
        let sleep = match waits {
            Some(true) => Duration::ZERO,
            _ => stakker.next_wait_max(Instant::now(), MAX_SLEEP, false),
        };
        match poll.poll(&mut events, Some(sleep)) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(Error::Poll(error)),
        }
        if stop.load(Ordering::Relaxed) {
            call!([edge], leave());
        }
        let due = Instant::now() >= read_again;
        if due || reload.swap(false, Ordering::Relaxed) {
            read_again = Instant::now() + READ_AGAIN;
            match read_settings(path) {
                Ok(settings) => call!([edge], reload(settings)),
                Err(error) => {
                    log::warn!(target: "process", "event=reload_failed reason={:?}", error.to_string());
                }
            }
        }
        for event in &events {
            call!([edge], ready(slot_of(event)));
        }
        call!([edge], accept_more());
        stakker.run(Instant::now(), false);
        let done = edge.query(&mut stakker, |edge, _| edge.is_done());
        if done.unwrap_or(true) {
            return Ok(());
        }
    }
}
