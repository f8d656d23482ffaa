//! A router that has run out of file descriptors serves again afterwards.
//!
//! In a file of its own, as the limit holds for the whole process.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_router::hooks::Hooks;
use balsamchute_router::settings::Settings;
use nix::sys::resource::{Resource, getrlimit, setrlimit};

/// File descriptors that the process may have open.
const DESCRIPTORS: u64 = 150;

/// Longest wait for a condition. Reaching it fails the test.
const PATIENCE: Duration = Duration::from_secs(30);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// Returns whether the router answers an HTTP request.
fn answers(router: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(router) else {
        return false;
    };
    let limit = Some(Duration::from_millis(500));
    stream.set_read_timeout(limit).expect("a timeout");
    let asked = stream.write_all(b"GET /health HTTP/1.1\r\nHost: r\r\n\r\n");
    let mut start = [0; 8];
    asked.is_ok() && stream.read_exact(&mut start).is_ok() && &start == b"HTTP/1.1"
}

fn wait(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn router_serves_again_after_a_flood_of_connections() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTORS, hard).expect("a lower limit");
    let callers = free_address();
    let text = format!(
        "instance: r1\ndomain: d1\ncallers: {callers}\ninner: {}\nplatform: {}\n",
        free_address(),
        free_address()
    );
    let settings = Settings::parse(&text).expect("sound settings");
    thread::spawn(move || balsamchute_router::serve(settings, Hooks::new()));
    wait("router does not start", || answers(callers));
    let connect = || TcpStream::connect(callers).ok();
    let flood: Vec<TcpStream> = std::iter::from_fn(connect).collect();
    assert!(!answers(callers), "there are descriptors left");
    drop(flood);
    wait("router is deaf after the flood", || answers(callers));
}
