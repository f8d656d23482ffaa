//! Recovery of a router that has run out of file descriptors.
//!
//! This test has a file of its own because the limit applies to the whole
//! process.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_router::Sockets;
use balsamchute_router::hooks::Hooks;
use balsamchute_router::settings::Settings;
use nix::sys::resource::{Resource, getrlimit, setrlimit};

/// Limit on open file descriptors of the process.
const MAX_DESCRIPTORS: u64 = 150;

/// Longest wait for a condition. The test fails when it is reached.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for a connection. The system itself waits for minutes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Address of the platform; nothing listens on this port.
const NO_PLATFORM: &str = "127.0.0.1:1";

/// Binds a free port of the loopback interface.
fn bind() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = listener.local_addr().expect("listener has a local address");
    (address, listener)
}

/// Returns whether the router answers an HTTP request within 500 ms.
fn responds(router: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&router, CONNECT_TIMEOUT) else {
        return false;
    };
    let timeout = Some(Duration::from_millis(500));
    stream
        .set_read_timeout(timeout)
        .expect("read timeout is set");
    let sent = stream.write_all(b"GET /health HTTP/1.1\r\nHost: r\r\n\r\n");
    let mut prefix = [0; 8];
    sent.is_ok() && stream.read_exact(&mut prefix).is_ok() && &prefix == b"HTTP/1.1"
}

fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "{failure}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a router that never accepts connections again. Connections
/// exhaust the file descriptors of the process, one accept fails, and the HTTP
/// server library then stops accepting permanently.
#[test]
fn router_serves_again_after_it_ran_out_of_file_descriptors() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("descriptor limit is read");
    setrlimit(Resource::RLIMIT_NOFILE, MAX_DESCRIPTORS, hard).expect("descriptor limit is lowered");
    let (callers, callers_socket) = bind();
    let (inner, inner_socket) = bind();
    let text = format!(
        "instance: r1\ndomain: d1\ncallers: {callers}\ninner: {inner}\nplatform: {NO_PLATFORM}\n"
    );
    let settings = Settings::parse(&text).expect("settings are valid");
    let sockets = Sockets::new(callers_socket, inner_socket);
    thread::spawn(move || balsamchute_router::serve_on(sockets, settings, Hooks::new()));
    wait_until("router does not respond after its start", || {
        responds(callers)
    });
    // Once the backlog is full, the router's machine drops the opening packet.
    let connect = || TcpStream::connect_timeout(&callers, CONNECT_TIMEOUT).ok();
    let connections: Vec<TcpStream> = std::iter::from_fn(connect).collect();
    assert!(!responds(callers), "router still has file descriptors");
    drop(connections);
    wait_until(
        "router does not respond after the connections were closed",
        || responds(callers),
    );
}
