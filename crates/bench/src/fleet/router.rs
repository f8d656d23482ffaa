//! A router in a process of its own.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::time::Duration;

use balsamchute_base::prelude::*;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::clock;
use crate::error::Error;

/// The hidden subcommand that runs a router in this binary.
pub const SUBCOMMAND: &str = "router";

/// The line that ends the settings on a router's standard input.
pub const SETTINGS_END: &str = "...";

/// Time between two looks at a process or its health.
const POLL: Duration = Duration::from_millis(10);

/// Time for a router to serve after its start.
const START_LIMIT: Span = Span::from_secs(15);

/// Where a router listens and what it depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other routers.
    pub inner: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Time to finish requests after SIGTERM.
    pub grace: Span,
    /// Further lines of YAML.
    pub extra: String,
}

impl Settings {
    /// Returns the settings as YAML.
    #[must_use]
    pub fn to_yaml(&self) -> String {
        format!(
            "instance: {}\ndomain: {}\ncallers: {}\ninner: {}\nplatform: {}\ngrace_ms: {}\n{}",
            self.instance,
            self.domain,
            self.callers,
            self.inner,
            self.platform,
            self.grace.as_millis(),
            self.extra,
        )
    }
}

/// A router process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    child: Child,
    control: ChildStdin,
}

impl Router {
    /// Starts a router process by running this binary again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if the process cannot be started.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let failed = |error: std::io::Error| Error::Start {
            what: format!("router {}", settings.instance),
            reason: error.to_string(),
        };
        let binary = std::env::current_exe().map_err(failed)?;
        let mut child = Command::new(binary)
            .arg(SUBCOMMAND)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .map_err(failed)?;
        let pipe = child.stdin.take();
        let mut control = pipe.ok_or_else(|| failed(std::io::ErrorKind::BrokenPipe.into()))?;
        let text = format!("{}{SETTINGS_END}\n", settings.to_yaml());
        control.write_all(text.as_bytes()).map_err(failed)?;
        Ok(Router {
            settings,
            child,
            control,
        })
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the router says that it is ready.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Late`] if it is not ready in time, [`Error::Start`] if
    /// it has ended.
    pub fn wait_ready(&mut self) -> Result<(), Error> {
        let give_up = clock::now() + START_LIMIT;
        while !self.ready() {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(Error::Start {
                    what: format!("router {}", self.settings.instance),
                    reason: status.to_string(),
                });
            }
            if clock::now() > give_up {
                return Err(self.late("ready", START_LIMIT));
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    fn ready(&self) -> bool {
        let url = format!("http://{}/health", self.settings.callers);
        let timeout = Some(Duration::from_secs(1));
        let request = ureq::get(url).config().timeout_global(timeout).build();
        request
            .call()
            .is_ok_and(|response| response.status() == 200)
    }

    fn late(&self, state: &'static str, limit: Span) -> Error {
        Error::Late {
            router: self.settings.instance.clone(),
            state,
            seconds: limit.as_millis() / 1000,
        }
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if it cannot be ended.
    pub fn kill(&mut self) -> Result<(), Error> {
        let ended = self.child.kill().and_then(|()| self.child.wait());
        ended.map(|_| ()).map_err(|error| self.signal_error(&error))
    }

    /// Stops the process from running until [`Router::resume`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the signal cannot be sent.
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a paused process run again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the signal cannot be sent.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to finish what it has and end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the signal cannot be sent.
    pub fn drain(&self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Late`] if it does not end within `limit`.
    pub fn wait_end(&mut self, limit: Span) -> Result<ExitStatus, Error> {
        let give_up = clock::now() + limit;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Ok(status),
                Err(error) => return Err(self.signal_error(&error)),
                Ok(None) if clock::now() > give_up => return Err(self.late("ended", limit)),
                Ok(None) => std::thread::sleep(POLL),
            }
        }
    }

    /// Makes the process refuse connections to `addresses`, besides those
    /// that it refuses already.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the process does not listen.
    pub fn cut(&mut self, addresses: &[SocketAddr]) -> Result<(), Error> {
        let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
        self.tell(&format!("cut {}", addresses.join(" ")))
    }

    /// Lets the process connect to all addresses again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the process does not listen.
    pub fn heal(&mut self) -> Result<(), Error> {
        self.tell("heal")
    }

    fn tell(&mut self, line: &str) -> Result<(), Error> {
        let sent = writeln!(self.control, "{line}").and_then(|()| self.control.flush());
        sent.map_err(|error| self.signal_error(&error))
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).map_err(|error| self.signal_error(&error))
    }

    fn signal_error(&self, error: &dyn std::fmt::Display) -> Error {
        Error::Signal {
            router: self.settings.instance.clone(),
            reason: error.to_string(),
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // The process may have ended already; either way nothing is left to do.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
