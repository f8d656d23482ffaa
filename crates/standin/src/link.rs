//! A TCP relay in front of a server, so that its connections can be cut.
//!
//! The HTTP library hides the sockets of its connections. A stand-in that has
//! to drop a connection, or to refuse new ones and come back at the same
//! address, therefore listens on a private port and is reached through a link.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Time between two looks at whether the server has left a connection unserved.
const NUDGE_INTERVAL: Duration = Duration::from_millis(20);

/// How long after a new connection these go on.
const NUDGE_TIME: Duration = Duration::from_secs(1);

/// Stack of a relay thread in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Bytes that are passed on at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// The two sockets of a relayed connection.
#[derive(Clone)]
struct Pair {
    client: Arc<TcpStream>,
    server: Arc<TcpStream>,
}

impl Pair {
    fn cut(&self) {
        // An error means that the socket is closed already.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

struct State {
    /// Number of times that the link was opened or closed.
    epoch: u64,
    frozen: bool,
    /// When the last connection came.
    last_connection: Option<Instant>,
    /// The link is gone.
    stopped: bool,
    /// Connections by the local address of their server side.
    pairs: HashMap<SocketAddr, Pair>,
}

struct Shared {
    address: SocketAddr,
    upstream: SocketAddr,
    state: Mutex<State>,
    thawed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn wait_until_thawed(&self) {
        let state = self.state();
        let _thawed = self
            .thawed
            .wait_while(state, |state| state.frozen)
            .expect("no holder panics");
    }
}

/// A relay from a public address to a private one.
pub struct Link {
    shared: Arc<Shared>,
    /// Bound but not listening: keeps the port from others while closed.
    _reservation: Socket,
    acceptor: Mutex<Option<thread::JoinHandle<()>>>,
}

impl Link {
    /// Starts to relay connections from `address` to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if `address` cannot be listened on.
    pub fn start(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let reservation = reserve(address)?;
        let address = TcpListener::from(reservation.try_clone()?).local_addr()?;
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared {
            address,
            upstream,
            state: Mutex::new(State {
                epoch: 1,
                frozen: false,
                last_connection: None,
                stopped: false,
                pairs: HashMap::new(),
            }),
            thawed: Condvar::new(),
        });
        let acceptor = Mutex::new(Some(accept(&shared, listener, 1)?));
        let nudged = Arc::clone(&shared);
        spawn("link-nudge", move || nudge(&nudged))?;
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

    /// Cuts all connections and refuses new ones.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it opened or closed the link.
    pub fn close(&self) {
        let mut acceptor = self.acceptor.lock().expect("no holder panics");
        {
            let mut state = self.shared.state();
            state.frozen = false;
            state.epoch += 1;
        }
        self.shared.thawed.notify_all();
        if let Some(acceptor) = acceptor.take() {
            // Wakes the acceptor, which sees the new epoch and ends.
            let _ = TcpStream::connect(self.shared.address);
            let _ = acceptor.join();
        }
        // Connections go last: whoever loses one is refused another.
        let pairs = std::mem::take(&mut self.shared.state().pairs);
        pairs.values().for_each(Pair::cut);
    }

    /// Accepts connections again after [`Link::close`].
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it opened or closed the link.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the address cannot be listened on.
    pub fn open(&self) -> io::Result<()> {
        let mut acceptor = self.acceptor.lock().expect("no holder panics");
        if acceptor.is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.shared.address)?;
        let epoch = {
            let mut state = self.shared.state();
            state.epoch += 1;
            state.epoch
        };
        *acceptor = Some(accept(&self.shared, listener, epoch)?);
        Ok(())
    }

    /// Holds back all bytes while `frozen`, as a cut network does.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.state().frozen = frozen;
        self.shared.thawed.notify_all();
    }

    /// Cuts the connection whose server side has the local address `peer`.
    pub fn cut(&self, peer: SocketAddr) {
        let pair = self.shared.state().pairs.remove(&peer);
        if let Some(pair) = pair {
            pair.cut();
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.close();
        self.shared.state().stopped = true;
    }
}

fn reserve(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // The listener sets it too; without it only one of both may be bound.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn accept(
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
            // A connection that cannot be relayed is dropped.
            let _ = relay(&shared, client, epoch);
        }
    })
}

/// Connects to the server for a while after each new connection. `tiny_http` may
/// queue a connection for a thread that is busy with another one; a connection
/// that ends at once makes a thread look at the queue.
fn nudge(shared: &Shared) {
    loop {
        thread::sleep(NUDGE_INTERVAL);
        let (stopped, last) = {
            let state = shared.state();
            (state.stopped, state.last_connection)
        };
        if stopped {
            return;
        }
        if last.is_some_and(|last| last.elapsed() < NUDGE_TIME) {
            // A failure means that nothing is served at all.
            let _ = TcpStream::connect(shared.upstream);
        }
    }
}

fn relay(shared: &Arc<Shared>, client: TcpStream, epoch: u64) -> io::Result<()> {
    let server = TcpStream::connect(shared.upstream)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let key = server.local_addr()?;
    let pair = Pair {
        client: Arc::new(client),
        server: Arc::new(server),
    };
    {
        let mut state = shared.state();
        if state.epoch != epoch {
            pair.cut();
            return Ok(());
        }
        state.pairs.insert(key, pair.clone());
        state.last_connection = Some(Instant::now());
    }
    let up = (Arc::clone(shared), pair.clone());
    spawn("link-up", move || {
        pump(&up.0, &up.1.client, &up.1.server);
        up.1.cut();
    })?;
    let down = (Arc::clone(shared), pair);
    spawn("link-down", move || {
        pump(&down.0, &down.1.server, &down.1.client);
        down.1.cut();
        down.0.state().pairs.remove(&key);
    })?;
    Ok(())
}

fn pump(shared: &Shared, mut from: &TcpStream, mut to: &TcpStream) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        shared.wait_until_thawed();
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
