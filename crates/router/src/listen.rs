//! Listening for connections, in spite of two faults of the HTTP server library.
//!
//! `tiny_http` stops accepting for good when one accept fails, as it does while
//! the process has no file descriptor left. Connections that it has accepted go
//! on. So a failed server is kept for those, and another one takes over its
//! listening socket.
//!
//! It gives connections to a pool of threads. If two come while one thread is
//! about to wake up, it can queue both for that thread, and the second one is
//! served only when some connection ends, which with kept connections and long
//! answers may take minutes. A further connection that ends at once makes a
//! thread look at the queue.
//!
//! A router therefore connects to its own listeners at intervals, which shows
//! the first fault and mends the second.

use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tiny_http::{Request, Server};

use crate::error::Error;
use crate::peers::spawn;
use crate::work::Work;

/// Longest time that a connection stays unserved while others are open.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time without an answer after which nobody accepts connections.
const PATIENCE: Duration = Duration::from_secs(3);

/// A listening socket and what serves its requests.
#[derive(Clone)]
pub(crate) struct Listener {
    socket: Arc<TcpListener>,
    threads: usize,
    handle: fn(&Work, Request),
}

impl Listener {
    /// Binds `address`, which the setting `setting` names.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the setting if the address is in use.
    pub fn bind(
        setting: &'static str,
        address: SocketAddr,
        threads: usize,
        handle: fn(&Work, Request),
    ) -> Result<Self, Error> {
        let failure = |error: std::io::Error| Error::Listen {
            setting,
            address,
            reason: error.to_string(),
        };
        let socket = TcpListener::bind(address).map_err(failure)?;
        // Accepted sockets inherit this; without it a token may wait for the
        // acknowledgement of the one before.
        let no_delay = socket2::SockRef::from(&socket).set_tcp_nodelay(true);
        no_delay.map_err(failure)?;
        Ok(Listener {
            socket: Arc::new(socket),
            threads,
            handle,
        })
    }

    /// Starts to serve requests.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if a thread cannot be started.
    pub fn start(&self, work: &Work) -> Result<(), Error> {
        self.start_server(work)?;
        let listener = self.clone();
        spawn(work, move |work| listener.watch(work))
    }

    fn start_server(&self, work: &Work) -> Result<(), Error> {
        let server = self.server().map_err(Error::Thread)?;
        for _ in 0..self.threads {
            let (listener, server) = (self.clone(), Arc::clone(&server));
            spawn(work, move |work| listener.serve(work, &server))?;
        }
        Ok(())
    }

    fn server(&self) -> std::io::Result<Arc<Server>> {
        let socket = self.socket.try_clone()?;
        let server = Server::from_listener(socket, None);
        server.map(Arc::new).map_err(std::io::Error::other)
    }

    fn serve(&self, work: &Work, server: &Server) {
        loop {
            match server.recv() {
                Ok(request) => (self.handle)(work, request),
                Err(error) => log::warn!("router: a connection was not accepted. {error}"),
            }
        }
    }

    /// Connects to the listener at intervals, and starts another server if
    /// nobody takes the connection.
    fn watch(&self, work: &Work) {
        loop {
            thread::sleep(INTERVAL);
            if !self.is_deaf() {
                continue;
            }
            match self.start_server(work) {
                Ok(()) => log::warn!("router: connections were not accepted. They are again."),
                Err(error) => log::warn!("router: connections are not accepted. {error}"),
            }
        }
    }

    /// Returns whether a connection is neither taken nor refused.
    fn is_deaf(&self) -> bool {
        let Ok(address) = self.socket.local_addr() else {
            return false;
        };
        // Any failure to connect, such as too many open files, may pass.
        let Ok(mut stream) = TcpStream::connect(address) else {
            return false;
        };
        let asked = stream
            .set_read_timeout(Some(PATIENCE))
            .and_then(|()| stream.shutdown(Shutdown::Write));
        let answer = asked.and_then(|()| stream.read(&mut [0]));
        answer
            .is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    }
}
