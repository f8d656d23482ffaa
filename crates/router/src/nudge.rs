//! Keeps the HTTP server library from leaving a connection unserved.
//!
//! `tiny_http` gives connections to a pool of threads. If two come while one
//! thread is about to wake up, it can queue both for that thread, and the
//! second one is served only when some connection ends, which with kept
//! connections and long answers may take minutes. A further connection that
//! ends at once makes a thread look at the queue, so a router connects to its
//! own listeners at intervals.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Longest time that a connection stays unserved.
const INTERVAL: Duration = Duration::from_millis(50);

/// Connects to `address` at intervals until nothing listens there any more.
pub(crate) fn run(address: SocketAddr) {
    loop {
        match TcpStream::connect(address) {
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return,
            // Any other failure, such as too many open files, may pass.
            Ok(_) | Err(_) => thread::sleep(INTERVAL),
        }
    }
}
