//! Logger on standard output that never blocks the event loop.

use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balsamchute_base::clock::Clock;
use balsamchute_model::prelude::*;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

use crate::limiter::{self, Limiter};
use crate::line::Format;

/// Bytes buffered for standard output; lines beyond are dropped.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Bytes that a pipe accepts without blocking once it is ready (POSIX
/// `PIPE_BUF`).
const PIPE_BUF_BYTES: usize = 4096;

#[derive(Debug, Default)]
struct State {
    pending: Vec<u8>,
    dropped: u64,
}

/// Buffer of log lines, shared between the logger and the event loop.
#[derive(Clone, Debug, Default)]
pub(crate) struct Output(Arc<Mutex<State>>);

impl Output {
    /// Installs the logger. The level is `info` unless `RUST_LOG` is set.
    pub fn start(instance: &Instance, clock: Clock, format: Format) -> Self {
        let output = Output::default();
        let sink = output.clone();
        let instance = instance.clone();
        let limiter = Mutex::new(Limiter::new());
        let env = env_logger::Env::default().default_filter_or("info");
        let installed = env_logger::Builder::from_env(env)
            .target(env_logger::Target::Pipe(Box::new(sink)))
            .format(move |buffer, record| {
                let now = clock.now();
                let text = record.args().to_string();
                let is_warning = record.level() <= log::Level::Warn;
                let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
                let Some(omitted) = limiter.admit(now, is_warning, &text) else {
                    return Ok(());
                };
                let (time, target) = (now.0, record.target());
                let prefix = format!("at={time} instance={instance}");
                if omitted > 0 {
                    let omitted_event = limiter::event(&text);
                    let line = format!(
                        "{prefix} level=warn part={target} event=lines_omitted of={omitted_event} count={omitted}"
                    );
                    writeln!(buffer, "{}", format.render(&line))?;
                }
                let level = record.level().as_str().to_ascii_lowercase();
                let line = format!("{prefix} level={level} part={target} {text}");
                writeln!(buffer, "{}", format.render(&line))
            })
            .try_init();
        if let Err(error) = installed {
            log::debug!(target: "process", "event=logger_kept reason={:?}", error.to_string());
        }
        output
    }

    /// Writes buffered lines as far as standard output accepts them without
    /// blocking.
    pub fn flush(&self) {
        let stdout = io::stdout();
        let mut state = self.state();
        while !state.pending.is_empty() {
            let mut fds = [PollFd::new(stdout.as_fd(), PollFlags::POLLOUT)];
            let ready = poll(&mut fds, PollTimeout::ZERO).is_ok_and(|ready| ready > 0);
            if !ready {
                return;
            }
            let length = state.pending.len().min(PIPE_BUF_BYTES);
            let mut lock = stdout.lock();
            let written = lock
                .write_all(&state.pending[..length])
                .and_then(|()| lock.flush());
            if written.is_err() {
                // The reader of the pipe has closed it.
                state.pending.clear();
                return;
            }
            state.pending.drain(..length);
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
        if state.pending.len() + bytes.len() > MAX_BUFFERED_BYTES {
            state.dropped += 1;
        } else {
            state.pending.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
