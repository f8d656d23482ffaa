//! Requests that crash the runners that run them.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;

use super::environment::{Store, header, read_message, respond, send_raw};
use super::{EVENT_STREAM_FIELDS, Router, entry, events, manifest, start_routers};

/// Id of the prompt part that crashes runners.
const BAD_PART: &str = "bad0";

/// Time that a router takes to recognise a crash and to tell its peers.
const SPREAD_TIME: Duration = Duration::from_millis(1000);

/// Runner that may end, with its listener and all its connections.
pub struct Crashing {
    pub address: SocketAddr,
}

impl Crashing {
    /// Starts a runner that counts its end in `crashes`. `serve` answers the requests of
    /// a connection and returns false when the runner crashes.
    pub fn start(serve: fn(TcpStream) -> bool, crashes: Arc<AtomicUsize>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let has_crashed = Arc::new(AtomicBool::new(false));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if has_crashed.load(Ordering::SeqCst) {
                    return;
                }
                let copy = stream.try_clone().expect("a descriptor");
                open.lock().expect("no thread panicked").push(copy);
                let (open, has_crashed, crashes) =
                    (open.clone(), has_crashed.clone(), crashes.clone());
                thread::spawn(move || {
                    if !serve(stream) && !has_crashed.swap(true, Ordering::SeqCst) {
                        crashes.fetch_add(1, Ordering::SeqCst);
                        // Wakes the listener until it has closed.
                        while TcpStream::connect(address).is_ok() {}
                        for stream in open.lock().expect("no thread panicked").iter() {
                            let _ = stream.shutdown(Shutdown::Both);
                        }
                    }
                });
            }
        });
        Crashing { address }
    }
}

/// Answers the requests of a connection; returns false once one with [`BAD_PART`] comes.
fn serve(mut stream: TcpStream) -> bool {
    while let Some((head, _)) = read_message(&mut stream) {
        let prefix = header(&head, "x-prompt-prefix").unwrap_or_default();
        if prefix.contains(BAD_PART) {
            respond(&mut stream, &head, 200, EVENT_STREAM_FIELDS, "");
            return false;
        }
        let body = format!("{}0\r\n\r\n", events(1, 3));
        respond(&mut stream, &head, 200, EVENT_STREAM_FIELDS, &body);
    }
    true
}

/// Returns a request for a stream with this prompt; no two have the same body.
fn prompt_request(number: usize, parts: &str) -> String {
    let body = format!("question {number}");
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{number}\r\n\
         X-Deadline-Ms: 8000\r\nAuthorization: Token k1\r\nConnection: close\r\n\
         X-Token-Usage: 700,80\r\nX-Prompt-Prefix: {parts}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

struct Fleet {
    _store: Store,
    routers: Vec<Router>,
    crashes: Arc<AtomicUsize>,
    sent: usize,
}

impl Fleet {
    /// Starts runners that may crash, and routers that know each other by seeds.
    fn start(routers: usize, runners: usize) -> Self {
        let store = Store::start();
        store.put("config", "main", manifest(1, &["k1"]));
        let crashes = Arc::new(AtomicUsize::new(0));
        for index in 0..runners {
            let runner = Crashing::start(serve, crashes.clone());
            store.put("servers", &format!("i-{index}"), entry(runner.address, "s"));
        }
        let routers = start_routers(&store, routers);
        Fleet {
            _store: store,
            routers,
            crashes,
            sent: 0,
        }
    }

    /// Sends a prompt to the next router and returns the response.
    fn send(&mut self, parts: &str) -> String {
        self.sent += 1;
        let router = &self.routers[self.sent % self.routers.len()];
        send_raw(router.callers, &prompt_request(self.sent, parts))
    }

    fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

/// The store keeps what no router remembers.
#[test]
fn a_part_that_crashes_runners_stays_refused_after_all_routers_were_killed() {
    let mut fleet = Fleet::start(2, 8);
    for number in 0..4 {
        fleet.send(&format!("a1:200,{BAD_PART}:300,e{number}:200"));
        thread::sleep(SPREAD_TIME);
    }
    let before = fleet.crashes();
    assert!(before <= 5, "{before} runners ended");
    for router in &fleet.routers {
        router.signal(Signal::SIGKILL);
    }
    for router in &mut fleet.routers {
        router.restart(Signal::SIGKILL);
    }
    for router in &fleet.routers {
        router.wait_ready();
    }
    for _ in 0..4 {
        let number = fleet.sent;
        let response = fleet.send(&format!("a1:200,{BAD_PART}:300,e{number}:200"));
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    }
    assert_eq!(fleet.crashes(), before);
}

#[test]
fn prompts_that_share_a_part_that_crashes_runners_are_refused_and_sound_ones_are_not() {
    let mut fleet = Fleet::start(3, 10);
    for _ in 0..6 {
        let number = fleet.sent;
        fleet.send(&format!("a1:200,{BAD_PART}:300,e{number}:200"));
        fleet.send(&format!("a1:200,c{}:300,f{number}:200", number % 3));
        thread::sleep(SPREAD_TIME);
    }
    // The limit of the rules: more than five runners may not end.
    assert!(fleet.crashes() <= 5, "{} runners ended", fleet.crashes());
    let before = fleet.crashes();
    for _ in 0..6 {
        let number = fleet.sent;
        let response = fleet.send(&format!("a1:200,{BAD_PART}:300,e{number}:200"));
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(header(&response, "retry-after").is_some(), "{response}");
        let response = fleet.send(&format!("a1:200,c2:300,f{number}:200"));
        let logs: Vec<String> = fleet.routers.iter().map(Router::log).collect();
        assert!(
            response.starts_with("HTTP/1.1 200 "),
            "{response}\n{}",
            logs.concat()
        );
    }
    assert_eq!(fleet.crashes(), before);
}
