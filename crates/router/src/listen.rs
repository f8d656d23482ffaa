//! Listeners, and the connections that they have accepted.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::context::{Context, STACK_BYTES};
use crate::error::Error;
use crate::http::{Connection, Request};
use crate::peers::spawn;
use crate::settings::Settings;
use crate::{callers, inner};

/// Wait after a failed accept, for example while the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

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
    pub(crate) fn into_listeners(self, settings: &Settings) -> (Listener, Listener) {
        let max_connections = settings.limits.connections;
        (
            Listener::new(self.callers, max_connections, callers::serve),
            Listener::new(self.inner, max_connections, inner::serve),
        )
    }
}

/// Listening socket and the handler of its requests.
#[derive(Clone)]
pub(crate) struct Listener {
    socket: Arc<TcpListener>,
    max_connections: usize,
    handle: fn(&Context, Request),
    connections: Connections,
}

impl Listener {
    fn new(socket: TcpListener, max_connections: usize, handle: fn(&Context, Request)) -> Self {
        Listener {
            socket: Arc::new(socket),
            max_connections,
            handle,
            connections: Connections::default(),
        }
    }

    /// Starts to accept connections. Each one has a thread, which also serves its
    /// requests.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the thread that accepts cannot be started.
    pub fn start(&self, context: &Context) -> Result<(), Error> {
        let listener = self.clone();
        spawn(context, move |context| listener.accept_loop(context))
    }

    fn accept_loop(&self, context: &Context) {
        let mut is_failing = false;
        loop {
            match self.socket.accept() {
                Ok((stream, _)) => {
                    is_failing = false;
                    self.accept(context, stream);
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        log::warn!("router: cannot accept a connection. {error}");
                    }
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    fn accept(&self, context: &Context, stream: TcpStream) {
        // Without this option, a token may wait for the acknowledgement of the
        // previous one.
        let connection = stream
            .set_nodelay(true)
            .and_then(|()| Connection::new(stream, context.clock));
        let connection = match connection {
            Ok(connection) => Arc::new(connection),
            // The client has closed the connection.
            Err(_) => return,
        };
        let place = self.connections.add(&connection, self.max_connections);
        let (context, handle) = (context.clone(), self.handle);
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || {
                serve(&context, &connection, handle);
                drop(place);
            });
        if let Err(error) = spawned {
            log::warn!("router: cannot start a thread to serve a connection. {error}");
        }
    }
}

/// Serves the requests of a connection until it ends.
fn serve(context: &Context, connection: &Arc<Connection>, handle: fn(&Context, Request)) {
    while let Some(request) = connection.next_request() {
        let is_keep_alive = request.is_keep_alive();
        handle(context, request);
        if !connection.finish_request(is_keep_alive) {
            return;
        }
    }
}

/// Open connections of a listener, by the order in which they were accepted. Clones refer
/// to the same connections.
#[derive(Clone, Default)]
struct Connections(Arc<Mutex<BTreeMap<u64, Arc<Connection>>>>);

impl Connections {
    /// Adds a connection until the returned place is dropped. If there are `limit` others,
    /// the one that has waited longest for its client is ended, or the new one if all serve
    /// requests.
    fn add(&self, connection: &Arc<Connection>, limit: usize) -> Place {
        let mut open = self.open();
        if open.len() >= limit {
            let waiting = open.values().filter(|open| open.waits_since().is_some());
            let longest = waiting.min_by_key(|open| open.waits_since());
            longest.unwrap_or(connection).end();
        }
        let number = open.last_key_value().map_or(0, |(number, _)| number + 1);
        open.insert(number, Arc::clone(connection));
        Place {
            connections: self.clone(),
            number,
        }
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of a connection among the open ones.
struct Place {
    connections: Connections,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.open().remove(&self.number);
    }
}
