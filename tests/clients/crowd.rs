//! A router with small limits, crowds of connections to it, and the checks of what holds
//! while they are open and afterwards.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::environment::{
    self, Route, Router, Runner, Store, connect, header, read_message, respond_with_body, send_raw,
    wait_until,
};
use crate::{exclusive, usage};

/// Largest body that the manifest allows.
pub const MAX_BODY: usize = 1 << 20;

/// Memory limit of the router, half of the smallest in the sheets.
const MEMORY_MB: usize = 44;

/// Time after which a caller gives up sending to a router that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A router with small limits, a store and a runner. Requests to `/once/` wait at the runner
/// until [`Fixture::release`].
pub struct Fixture {
    pub router: Router,
    pub runner: Runner,
    memory_mb: usize,
    descriptors: usize,
    is_released: Arc<AtomicBool>,
    _store: Store,
    _exclusive: exclusive::Guard,
}

impl Fixture {
    /// Starts a router that may use this number of descriptors.
    pub fn start(descriptors: usize) -> Self {
        Fixture::start_with_memory(descriptors, MEMORY_MB)
    }

    /// Starts a router that may use this number of descriptors and this memory in MB.
    pub fn start_with_memory(descriptors: usize, memory_mb: usize) -> Self {
        let exclusive = exclusive::lock();
        let is_released = Arc::new(AtomicBool::new(false));
        let may_answer = is_released.clone();
        let runner = Runner::start(move |head, stream| {
            if head.starts_with("POST /once/") {
                wait_until("the test releases the requests", || {
                    may_answer.load(Ordering::SeqCst)
                });
            }
            match header(head, "x-length") {
                Some(length) => {
                    let length = length.parse().expect("a number");
                    respond_with_body(stream, head, &"x".repeat(length))
                }
                None => respond_with_body(stream, head, "ok"),
            }
        });
        let routes = [
            Route::new("safe", "idempotent", 8000),
            Route::new("once", "non_idempotent", 8000),
        ];
        let mut manifest = environment::manifest(1, &routes, &["k1"]);
        manifest["limits"]["max_body_bytes"] = json!(MAX_BODY);
        manifest["limits"]["max_header_bytes"] = json!(16 * 1024);
        let tenants =
            json!([{"name": "w1", "api_keys": ["k1"]}, {"name": "w2", "api_keys": ["k2"]}]);
        manifest["tenants"] = tenants;
        let store = Store::start();
        store.put("config", "main", Some(manifest));
        let entry = environment::entry(runner.address, "s", 200);
        store.put("servers", "i-0", Some(entry));
        let router = Router::start_with_limits("r1", store.address, memory_mb, descriptors);
        router.wait_ready();
        Fixture {
            router,
            runner,
            memory_mb,
            descriptors,
            is_released,
            _store: store,
            _exclusive: exclusive,
        }
    }

    /// Lets the runner answer the requests to `/once/`.
    pub fn release(&self) {
        self.is_released.store(true, Ordering::SeqCst);
    }

    /// Checks that the process lives within its limits and answers an ordinary request.
    pub fn check(&self, moment: &str) {
        self.check_usage(moment);
        let text = request("k2", "POST", "/safe/x", "Content-Length: 5\r\n");
        let response = send_raw(self.router.callers, &format!("{text}hello"));
        assert!(
            response.starts_with("HTTP/1.1 200 "),
            "{moment}: {response:?}"
        );
        self.check_usage(moment);
    }

    fn check_usage(&self, moment: &str) {
        let pid = self.router.pid();
        let Some(peak) = usage::peak_memory(pid) else {
            panic!(
                "{moment}: the process has ended; log: {}",
                self.router.log()
            );
        };
        let unread = usage::unread_bytes(self.router.callers.ip());
        let descriptors = usage::open_descriptors(pid);
        println!("{moment}: peak {peak} bytes, unread {unread} bytes, {descriptors} descriptors");
        assert!(
            peak + unread <= self.memory_mb << 20,
            "{moment}: {peak} bytes of memory and {unread} unread, limit {} MiB",
            self.memory_mb
        );
        assert!(
            descriptors <= self.descriptors,
            "{moment}: {descriptors} descriptors, limit {}",
            self.descriptors
        );
    }

    /// Checks the router while a crowd is open, and again after it has left.
    pub fn check_beside(&self, crowd: Vec<TcpStream>) {
        self.check("beside the crowd");
        drop(crowd);
        self.release();
        self.check("after the crowd");
    }
}

/// Returns the head of a request with the API key `key`.
pub fn request(key: &str, method: &str, path: &str, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Deadline-Ms: 8000\r\n\
         Authorization: Token {key}\r\nConnection: close\r\n{fields}\r\n"
    )
}

/// Opens connections at the same time; `send` writes to each until it is done or fails.
/// Returns the connections, which are still open at this end.
pub fn open<F>(address: SocketAddr, count: usize, send: F) -> Vec<TcpStream>
where
    F: Fn(&mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
{
    let send = Arc::new(send);
    let callers: Vec<_> = (0..count)
        .map(|_| {
            let send = send.clone();
            thread::spawn(move || {
                let mut stream = connect(address);
                stream
                    .set_write_timeout(Some(WRITE_TIMEOUT))
                    .expect("the time is not zero");
                // The router may refuse the rest, or cease to read.
                let _ = send(&mut stream);
                stream
            })
        })
        .collect();
    let streams = callers.into_iter().map(|caller| caller.join());
    streams
        .map(|stream| stream.expect("the thread did not panic"))
        .collect()
}

/// Writes `text` again and again, `bytes` in all, until the router ceases to read.
pub fn write_repeated(stream: &mut TcpStream, text: &str, bytes: usize) -> std::io::Result<()> {
    let block = text.repeat((64 * 1024 / text.len()).max(1));
    for _ in 0..bytes / block.len() {
        stream.write_all(block.as_bytes())?;
    }
    Ok(())
}

/// Returns the status of the response that waits on a connection, or `None` if the router
/// has closed it without one.
pub fn status(stream: &mut TcpStream) -> Option<u16> {
    let (head, _) = read_message(stream)?;
    head.split(' ').nth(1)?.parse().ok()
}
