//! TCP relay in front of a server, for injecting connection faults.
//!
//! `tiny_http` does not expose the sockets of its connections. A stand-in that
//! must drop a connection, or refuse connections and later reopen at the same
//! address, therefore listens on a private port behind a link.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

/// Interval between two wake-up connections to the server.
const WAKE_INTERVAL: Duration = Duration::from_millis(20);

/// Time after a new connection during which wake-up connections are made.
const WAKE_DURATION: Duration = Duration::from_secs(1);

/// Stack size of a relay thread in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Size of a relay thread's copy buffer in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Client and server sockets of a relayed connection.
#[derive(Clone)]
struct Connection {
    client: Arc<TcpStream>,
    server: Arc<TcpStream>,
    /// Whether the client's connection ends with a reset.
    is_reset: Arc<AtomicBool>,
}

impl Connection {
    fn shutdown(&self) {
        // Without a shutdown of the write side, the close of the socket resets the
        // connection.
        let of_client = match self.is_reset.load(Ordering::SeqCst) {
            true => Shutdown::Read,
            false => Shutdown::Both,
        };
        // An error means that the socket is closed already.
        let _ = self.client.shutdown(of_client);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    fn reset(&self) -> io::Result<()> {
        SockRef::from(&*self.client).set_linger(Some(Duration::ZERO))?;
        self.is_reset.store(true, Ordering::SeqCst);
        self.shutdown();
        Ok(())
    }
}

struct State {
    /// Number of times that the link was opened or closed.
    epoch: u64,
    stalled: bool,
    /// Time of the most recent client connection.
    last_connection_at: Option<Instant>,
    /// Whether the link was dropped, which ends the wake-up thread.
    stopped: bool,
    /// Connections by the local address of their server-side socket.
    connections: HashMap<SocketAddr, Connection>,
}

struct Shared {
    address: SocketAddr,
    upstream: SocketAddr,
    state: Mutex<State>,
    resumed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while holding the lock")
    }

    fn wait_while_stalled(&self) {
        let state = self.state();
        let _resumed = self
            .resumed
            .wait_while(state, |state| state.stalled)
            .expect("no thread panics while holding the lock");
    }
}

/// Relay from a public address to a private one.
pub struct Link {
    shared: Arc<Shared>,
    /// Bound but not listening: keeps the port reserved while the link is closed.
    _reservation: Socket,
    acceptor: Mutex<Option<thread::JoinHandle<()>>>,
}

impl Link {
    /// Starts to relay connections from `address` to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the link cannot listen on `address`.
    pub fn start(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let reservation = reserve_port(address)?;
        // Only to read the address, with the port that the system chose.
        let address = TcpListener::from(reservation.try_clone()?).local_addr()?;
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared {
            address,
            upstream,
            state: Mutex::new(State {
                epoch: 1,
                stalled: false,
                last_connection_at: None,
                stopped: false,
                connections: HashMap::new(),
            }),
            resumed: Condvar::new(),
        });
        let acceptor = Mutex::new(Some(spawn_acceptor(&shared, listener, 1)?));
        let waker_shared = Arc::clone(&shared);
        spawn("link-nudge", move || wake_workers(&waker_shared))?;
        Ok(Self {
            shared,
            _reservation: reservation,
            acceptor,
        })
    }

    /// Returns the public address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Drops all connections and refuses new ones. Also ends a stall.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it opened or closed the link.
    pub fn close(&self) {
        let mut acceptor = self
            .acceptor
            .lock()
            .expect("no thread panics while holding the lock");
        {
            let mut state = self.shared.state();
            state.stalled = false;
            state.epoch += 1;
        }
        self.shared.resumed.notify_all();
        if let Some(acceptor) = acceptor.take() {
            // Wakes the acceptor, which returns because the epoch has changed.
            let _ = TcpStream::connect(self.shared.address);
            // The listener is closed when the thread ends, whatever its result.
            let _ = acceptor.join();
        }
        // Drop connections only after the listener is closed, so that a client
        // that loses its connection cannot reconnect.
        let connections = std::mem::take(&mut self.shared.state().connections);
        connections.values().for_each(Connection::shutdown);
    }

    /// Accepts connections again after [`Link::close`]. Does nothing if the link
    /// is open.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it opened or closed the link.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the link cannot listen on its address.
    pub fn open(&self) -> io::Result<()> {
        let mut acceptor = self
            .acceptor
            .lock()
            .expect("no thread panics while holding the lock");
        if acceptor.is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.shared.address)?;
        let epoch = {
            let mut state = self.shared.state();
            state.epoch += 1;
            state.epoch
        };
        *acceptor = Some(spawn_acceptor(&self.shared, listener, epoch)?);
        Ok(())
    }

    /// Holds back all bytes in both directions while `stalled` is set, as a
    /// network partition does.
    pub fn set_stalled(&self, stalled: bool) {
        self.shared.state().stalled = stalled;
        self.shared.resumed.notify_all();
    }

    /// Resets all connections of clients. The link stays open.
    ///
    /// # Errors
    ///
    /// Returns the socket error of a connection that cannot be reset.
    pub fn reset(&self) -> io::Result<()> {
        let connections = std::mem::take(&mut self.shared.state().connections);
        connections.values().try_for_each(Connection::reset)
    }

    /// Drops the connection whose server-side socket has the local address
    /// `peer`.
    pub fn drop_connection(&self, peer: SocketAddr) {
        let connection = self.shared.state().connections.remove(&peer);
        if let Some(connection) = connection {
            connection.shutdown();
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.close();
        self.shared.state().stopped = true;
    }
}

fn reserve_port(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // Both this socket and the listener, which sets the option itself, need it to
    // bind the same address.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn spawn_acceptor(
    shared: &Arc<Shared>,
    listener: TcpListener,
    epoch: u64,
) -> io::Result<thread::JoinHandle<()>> {
    let shared = Arc::clone(shared);
    spawn("link-accept", move || {
        for client in listener.incoming() {
            if shared.state().epoch != epoch {
                return;
            }
            let Ok(client) = client else { continue };
            // If relaying fails, the client connection is dropped.
            let _ = relay(&shared, client, epoch);
        }
    })
}

/// Connects to the server repeatedly for a while after each new connection.
/// `tiny_http` may queue a connection behind a thread that is busy with another
/// connection. A connection that closes at once makes a thread check the queue.
fn wake_workers(shared: &Shared) {
    loop {
        thread::sleep(WAKE_INTERVAL);
        let (stopped, last_connection_at) = {
            let state = shared.state();
            (state.stopped, state.last_connection_at)
        };
        if stopped {
            return;
        }
        if last_connection_at
            .is_some_and(|last_connection_at| last_connection_at.elapsed() < WAKE_DURATION)
        {
            // A failure means that the server accepts no connections at all.
            let _ = TcpStream::connect(shared.upstream);
        }
    }
}

fn relay(shared: &Arc<Shared>, client: TcpStream, epoch: u64) -> io::Result<()> {
    let server = TcpStream::connect(shared.upstream)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let peer = server.local_addr()?;
    let connection = Connection {
        client: Arc::new(client),
        server: Arc::new(server),
        is_reset: Arc::default(),
    };
    {
        let mut state = shared.state();
        if state.epoch != epoch {
            connection.shutdown();
            return Ok(());
        }
        state.connections.insert(peer, connection.clone());
        state.last_connection_at = Some(Instant::now());
    }
    let to_server = (Arc::clone(shared), connection.clone());
    spawn("link-up", move || {
        copy_bytes(&to_server.0, &to_server.1.client, &to_server.1.server);
        to_server.1.shutdown();
    })?;
    let to_client = (Arc::clone(shared), connection);
    spawn("link-down", move || {
        copy_bytes(&to_client.0, &to_client.1.server, &to_client.1.client);
        to_client.1.shutdown();
        to_client.0.state().connections.remove(&peer);
    })?;
    Ok(())
}

fn copy_bytes(shared: &Shared, mut from: &TcpStream, mut to: &TcpStream) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        shared.wait_while_stalled();
        if to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
}

fn spawn<F>(name: &str, run: F) -> io::Result<thread::JoinHandle<()>>
where
    F: FnOnce() + Send + 'static,
{
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(run)
}
