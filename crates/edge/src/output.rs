//! Log lines on standard output that never block the event loop.

use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balsamchute_base::clock::Clock;
use balsamchute_model::prelude::*;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

use crate::allowance::{self, Allowance};
use crate::line::Format;

/// Bytes that wait for standard output at most; lines beyond are dropped.
const MAX_WAITING: usize = 64 * 1024;

/// Bytes that a pipe takes without blocking once it is ready (POSIX `PIPE_BUF`).
const PIPE_BUF: usize = 4096;

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
    pub fn start(instance: &Instance, clock: Clock, format: Format) -> Self {
        let output = Output::default();
        let sink = output.clone();
        let instance = instance.clone();
        let allowance = Mutex::new(Allowance::new());
        let env = env_logger::Env::default().default_filter_or("info");
        let started = env_logger::Builder::from_env(env)
            .target(env_logger::Target::Pipe(Box::new(sink)))
            .format(move |buffer, record| {
                let now = clock.now();
                let text = record.args().to_string();
                let is_warning = record.level() <= log::Level::Warn;
                let mut allowance = allowance.lock().unwrap_or_else(PoisonError::into_inner);
                let Some(omitted) = allowance.take(now, is_warning, &text) else {
                    return Ok(());
                };
                let (at, part) = (now.0, record.target());
                let begin = format!("at={at} instance={instance}");
                if omitted > 0 {
                    let of = allowance::event(&text);
                    let line = format!(
                        "{begin} level=warn part={part} event=lines_omitted of={of} count={omitted}"
                    );
                    writeln!(buffer, "{}", format.render(&line))?;
                }
                let level = record.level().as_str().to_ascii_lowercase();
                let line = format!("{begin} level={level} part={part} {text}");
                writeln!(buffer, "{}", format.render(&line))
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
