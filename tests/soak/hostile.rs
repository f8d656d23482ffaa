//! Clients that stall, exceed limits or do not read, beside the callers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::current_key;
use crate::shape::Shape;

/// Routers for which there is one client more.
const ROUTERS_PER_CLIENT: usize = 8;

/// Connections that a client opens at a time.
const CONNECTIONS: usize = 8;

/// Time after which a client gives up sending.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Running hostile clients.
pub struct Clients {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Clients {
    /// Starts clients that use all routers at random.
    pub fn start(seed: u64, shape: &Shape, routers: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let count = 1 + shape.routers / ROUTERS_PER_CLIENT;
        let threads = (0..count).map(|number| {
            // The plan and the callers of a seed stay as they are.
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            random.set_stream(1 + number as u64);
            let (stop, routers) = (stop.clone(), routers.to_vec());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    crowd(&mut random, &routers);
                }
            })
        });
        Clients {
            threads: threads.collect(),
            stop,
        }
    }

    /// Stops all of them.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("no client panicked");
        }
    }
}

/// Opens connections to a router, sends the same to each, and keeps them open for a while.
fn crowd(random: &mut ChaCha8Rng, routers: &[SocketAddr]) {
    let router = routers[random.random_range(0..routers.len())];
    let text = text(random);
    let connections: Vec<TcpStream> = (0..CONNECTIONS)
        .filter_map(|_| {
            let mut stream = TcpStream::connect_timeout(&router, WRITE_TIMEOUT).ok()?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
            // The router may be down, or cease to read.
            let _ = stream.write_all(text.as_bytes());
            Some(stream)
        })
        .collect();
    thread::sleep(Duration::from_millis(random.random_range(20..1000)));
    drop(connections);
}

/// Returns what a client sends.
fn text(random: &mut ChaCha8Rng) -> String {
    let key = current_key();
    let head = |fields: &str| {
        format!(
            "POST /none/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\nX-Deadline-Ms: 4000\r\n\
             Authorization: Token {key}\r\n{fields}\r\n"
        )
    };
    match random.random_range(0..6) {
        0 => "POST /once/x HTTP/1.1\r\nHost: h\r\n".to_owned(),
        1 => head("Content-Length: 90000\r\n") + &"x".repeat(89_999),
        2 => head("Transfer-Encoding: chunked\r\n") + &"1\r\nx\r\n".repeat(50_000),
        3 => head("Content-Length: 10\r\n") + &"x".repeat(200_000),
        4 => head("Content-Length: 1000000000000\r\n") + &"x".repeat(200_000),
        _ => head("Content-Length: 0\r\n").repeat(2000),
    }
}
