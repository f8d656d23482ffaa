//! Log lines on standard output that never block the event loop.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balsamchute_base::clock::Clock;
use balsamchute_model::prelude::*;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Bytes that wait for standard output at most; lines beyond are dropped.
const MAX_WAITING: usize = 64 * 1024;

/// Bytes that a pipe takes without blocking once it is ready (POSIX `PIPE_BUF`).
const PIPE_BUF: usize = 4096;

/// Lines that one part may write in a second below the level of a warning. A
/// machine of a quarter of a core ends about 300 requests a second at its most,
/// with three lines each.
const MAX_LINES: u32 = 1000;

/// Length of the window in which lines are counted.
const WINDOW: Span = Span(1000);

#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    window: u64,
    lines: u32,
    omitted: u64,
}

/// Lines of the current window, by part.
#[derive(Debug, Default)]
struct Budgets(Mutex<BTreeMap<String, Budget>>);

impl Budgets {
    /// Takes a line from the budget of its part. Returns how many lines were
    /// left out in the windows before, `None` if this one is left out too.
    fn take(&self, now: Time, record: &log::Record<'_>) -> Option<u64> {
        let mut budgets = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(record.target().to_owned()).or_default();
        let window = now.0 / WINDOW.0;
        let mut omitted = 0;
        if budget.window != window {
            omitted = budget.omitted;
            *budget = Budget {
                window,
                ..Budget::default()
            };
        }
        if record.level() <= log::Level::Warn || budget.lines < MAX_LINES {
            budget.lines += 1;
            return Some(omitted);
        }
        budget.omitted += 1;
        None
    }
}

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    dropped: u64,
}

/// Lines that wait for standard output.
#[derive(Clone, Debug, Default)]
pub(crate) struct Output(Arc<Mutex<State>>);

impl Output {
    /// Starts the logger, with `info` as the level unless `RUST_LOG` is set.
    pub fn start(instance: &Instance, clock: Clock) -> Self {
        let output = Output::default();
        let sink = output.clone();
        let instance = instance.clone();
        let budgets = Budgets::default();
        let env = env_logger::Env::default().default_filter_or("info");
        let started = env_logger::Builder::from_env(env)
            .target(env_logger::Target::Pipe(Box::new(sink)))
            .format(move |buffer, record| {
                let now = clock.now();
                let Some(omitted) = budgets.take(now, record) else {
                    return Ok(());
                };
                let (at, part) = (now.0, record.target());
                if omitted > 0 {
                    writeln!(
                        buffer,
                        "at={at} instance={instance} level=warn part={part} event=lines_omitted count={omitted}"
                    )?;
                }
                let level = record.level().as_str().to_ascii_lowercase();
                let text = record.args();
                writeln!(buffer, "at={at} instance={instance} level={level} part={part} {text}")
            })
            .try_init();
        if let Err(error) = started {
            log::debug!(target: "process", "event=logger_kept reason={:?}", error.to_string());
        }
        output
    }

    /// Writes what standard output takes without blocking.
    pub fn flush(&self) {
        let stdout = io::stdout();
        let mut state = self.state();
        while !state.waiting.is_empty() {
            let mut fds = [PollFd::new(stdout.as_fd(), PollFlags::POLLOUT)];
            let ready = poll(&mut fds, PollTimeout::ZERO).is_ok_and(|ready| ready > 0);
            if !ready {
                return;
            }
            let length = state.waiting.len().min(PIPE_BUF);
            let mut lock = stdout.lock();
            let written = lock
                .write_all(&state.waiting[..length])
                .and_then(|()| lock.flush());
            if written.is_err() {
                // Nobody reads the lines any more.
                state.waiting.clear();
                return;
            }
            state.waiting.drain(..length);
        }
        if state.dropped > 0 {
            let dropped = std::mem::take(&mut state.dropped);
            drop(state);
            log::warn!(target: "process", "event=log_lines_dropped count={dropped}");
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.state();
        if state.waiting.len() + bytes.len() > MAX_WAITING {
            state.dropped += 1;
        } else {
            state.waiting.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
