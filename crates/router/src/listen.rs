//! Listeners that work around two defects of the HTTP server library.
//!
//! `tiny_http` stops accepting connections permanently when one accept fails,
//! for example while the process has no file descriptor left. Connections that
//! it has already accepted continue to work. A failed server is therefore kept
//! for its connections, and a new server takes over the listening socket.
//!
//! The library also hands connections to a pool of threads. If two connections
//! arrive while one thread is about to wake up, both can be queued for it.
//! The second one is then served only when some connection ends, which can take
//! minutes with persistent connections and long answers. Another connection
//! that ends immediately makes a thread check the queue.
//!
//! A router therefore connects to its own listeners at intervals. The probes
//! detect the first defect and remedy the second.

use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tiny_http::{Request, Server};

use crate::context::Context;
use crate::error::Error;
use crate::peers::spawn;
use crate::settings::Settings;
use crate::{callers, inner};

/// Threads that take requests of other routers. They also serve most control
/// messages, some of which wait for the actor. Requests of callers get a thread
/// each and need only one to take them.
const INNER_THREADS: usize = 4;

/// Interval of the probes, and thus the longest time that a queued connection
/// waits for a thread.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for the server to close the connection of a probe. After it, the
/// server is considered to have stopped accepting.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

/// Bound listening sockets of a router process.
#[derive(Debug)]
pub struct Sockets {
    callers: TcpListener,
    inner: TcpListener,
}

impl Sockets {
    /// Takes over the bound sockets for callers and for other routers.
    #[must_use]
    pub fn new(callers: TcpListener, inner: TcpListener) -> Self {
        Sockets { callers, inner }
    }

    /// Binds the addresses that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the setting if its address cannot be
    /// bound.
    pub fn bind(settings: &Settings) -> Result<Self, Error> {
        let bind = |setting: &'static str, address: SocketAddr| {
            TcpListener::bind(address).map_err(|error| Error::Listen {
                setting,
                address,
                reason: error.to_string(),
            })
        };
        Ok(Sockets {
            callers: bind("callers", settings.callers)?,
            inner: bind("inner", settings.inner)?,
        })
    }

    /// Returns the listener for callers and the one for other routers.
    pub(crate) fn into_listeners(self, settings: &Settings) -> Result<(Listener, Listener), Error> {
        let callers = Listener::new(
            "callers",
            settings.callers,
            self.callers,
            1,
            callers::accept,
        )?;
        let inner = Listener::new(
            "inner",
            settings.inner,
            self.inner,
            INNER_THREADS,
            inner::accept,
        )?;
        Ok((callers, inner))
    }
}

/// Listening socket and the handler of its requests.
#[derive(Clone)]
pub(crate) struct Listener {
    socket: Arc<TcpListener>,
    /// Number of threads that take requests from the HTTP server and pass them
    /// to `handle`.
    threads: usize,
    handle: fn(&Context, Request),
}

impl Listener {
    /// Prepares a bound socket; `address` is the value of the setting `setting`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the setting if an option of the socket
    /// cannot be set.
    fn new(
        setting: &'static str,
        address: SocketAddr,
        socket: TcpListener,
        threads: usize,
        handle: fn(&Context, Request),
    ) -> Result<Self, Error> {
        // Accepted sockets inherit this option. Without it, a token may wait
        // for the acknowledgement of the previous one.
        let no_delay = socket2::SockRef::from(&socket).set_tcp_nodelay(true);
        no_delay.map_err(|error| Error::Listen {
            setting,
            address,
            reason: error.to_string(),
        })?;
        Ok(Listener {
            socket: Arc::new(socket),
            threads,
            handle,
        })
    }

    /// Starts to serve requests and to probe the listener.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the HTTP server or a thread cannot be started.
    pub fn start(&self, context: &Context) -> Result<(), Error> {
        self.start_server(context)?;
        let listener = self.clone();
        spawn(context, move |context| listener.probe_loop(context))
    }

    fn start_server(&self, context: &Context) -> Result<(), Error> {
        let server = self.new_server().map_err(Error::Thread)?;
        for _ in 0..self.threads {
            let (listener, server) = (self.clone(), Arc::clone(&server));
            spawn(context, move |context| listener.serve(context, &server))?;
        }
        Ok(())
    }

    fn new_server(&self) -> std::io::Result<Arc<Server>> {
        let socket = self.socket.try_clone()?;
        let server = Server::from_listener(socket, None);
        server.map(Arc::new).map_err(std::io::Error::other)
    }

    fn serve(&self, context: &Context, server: &Server) {
        loop {
            match server.recv() {
                Ok(request) => (self.handle)(context, request),
                Err(error) => log::warn!("router: cannot accept a connection. {error}"),
            }
        }
    }

    /// Probes the listener at intervals and starts another server if the
    /// current one has stopped accepting connections.
    fn probe_loop(&self, context: &Context) {
        loop {
            thread::sleep(PROBE_INTERVAL);
            if !self.is_stalled() {
                continue;
            }
            match self.start_server(context) {
                Ok(()) => log::warn!(
                    "router: started a new HTTP server because the last one had stopped accepting connections."
                ),
                Err(error) => log::warn!(
                    "router: connections are not accepted, and a new HTTP server cannot be started. {error}"
                ),
            }
        }
    }

    /// Opens a connection, closes its sending side and returns whether the
    /// server does not close it within [`PROBE_TIMEOUT`].
    fn is_stalled(&self) -> bool {
        let Ok(address) = self.socket.local_addr() else {
            return false;
        };
        // A failure to connect, for example because of too many open files, may
        // be temporary.
        let Ok(mut stream) = TcpStream::connect(address) else {
            return false;
        };
        let prepared = stream
            .set_read_timeout(Some(PROBE_TIMEOUT))
            .and_then(|()| stream.shutdown(Shutdown::Write));
        let result = prepared.and_then(|()| stream.read(&mut [0]));
        result
            .is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    }
}
