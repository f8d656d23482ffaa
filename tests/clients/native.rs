//! Crowds at the native interface of `balsamchute serve`.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Stdio};

use balsamchute_standin::plain::{Plain, Settings};
use balsamchute_standin::platform::Platform;

use crate::command::{TempDir, command, run, start_platform, unused_loopback_ip};
use crate::crowd::{open, write_repeated};
use crate::environment::{send_raw, wait_until};
use crate::{exclusive, usage};

/// Memory that the process may use in these tests.
const MEMORY_BYTES: usize = 64 << 20;

/// Largest body, which is the default.
const MAX_BODY: usize = 1 << 20;

const INVENTORY: &str = "
domains: [{name: mids-brum, region: mids}]
services: [{name: dispatch-board, kind: plain}]
runners: [{name: db-1, service: dispatch-board, domain: mids-brum, address: 'ADDRESS', slots: 2}]
workspaces: [{name: care-home, weight: 1}]
";

/// A router with the native interface, which is killed when dropped.
struct Fixture {
    child: Child,
    callers: SocketAddr,
    _platform: Platform,
    _target: Plain,
    _dir: TempDir,
    _exclusive: exclusive::Guard,
}

impl Fixture {
    fn start(limits: &str) -> Self {
        let exclusive = exclusive::lock();
        let dir = TempDir::new("clients-native");
        let platform = start_platform();
        let target = Plain::start(Settings::new("db-1", 2)).expect("the target starts");
        let text = INVENTORY.replace("ADDRESS", &target.address().to_string());
        let file = dir.write("all.yaml", &text);
        let address = platform.address();
        let applied = run(&["apply", "--platform", &address.to_string(), &file]);
        assert_eq!(applied.exit_code, 0);
        let callers = SocketAddr::new(unused_loopback_ip(), 7305);
        let inner = SocketAddr::new(callers.ip(), 7306);
        let text = format!(
            "instance: router-1\ndomain: mids-brum\ncallers: {callers}\ninner: {inner}\n\
             platform: {address}\nlimits: {{{limits}}}\n"
        );
        let file = dir.write("settings.yaml", &text);
        let mut command = command(&["serve", "--settings", &file]);
        command.stdout(Stdio::null()).stderr(Stdio::null());
        let child = command.spawn().expect("the router starts");
        let fixture = Fixture {
            child,
            callers,
            _platform: platform,
            _target: target,
            _dir: dir,
            _exclusive: exclusive,
        };
        wait_until("the router serves", || {
            fixture.ask("q0").starts_with("HTTP/1.1 200")
        });
        fixture
    }

    /// Sends an ordinary request and returns the response.
    fn ask(&self, id: &str) -> String {
        let head = run_head(id, "Content-Length: 2\r\n");
        send_raw(self.callers, &format!("{head}{{}}"))
    }

    /// Checks that the process lives within its memory and answers, while the crowd is open
    /// and after it has left.
    fn check_beside(&self, crowd: Vec<TcpStream>) {
        self.check("beside the crowd", "q1");
        drop(crowd);
        self.check("after the crowd", "q2");
    }

    fn check(&self, moment: &str, id: &str) {
        let response = self.ask(id);
        let Some(peak) = usage::peak_memory(self.child.id()) else {
            panic!("{moment}: the process has ended");
        };
        println!("{moment}: peak {peak} bytes");
        assert!(
            peak <= MEMORY_BYTES,
            "{moment}: {peak} bytes of {MEMORY_BYTES}"
        );
        assert!(
            response.contains("\"outcome\":\"done\""),
            "{moment}: {response}"
        );
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn run_head(id: &str, fields: &str) -> String {
    format!(
        "POST /v1/run/dispatch-board HTTP/1.1\r\nHost: h\r\nx-workspace: care-home\r\n\
         x-request: {id}\r\nx-deadline-ms: 8000\r\nConnection: close\r\n{fields}\r\n"
    )
}

/// Limit on the bodies of all requests that the tests set.
const HELD_BODIES: &str = "held_body_bytes: 16777216";

#[test]
fn stalled_bodies_with_a_length_do_not_exhaust_memory() {
    let fixture = Fixture::start(HELD_BODIES);
    let crowd = open(fixture.callers, 96, |stream| {
        let length = format!("Content-Length: {MAX_BODY}\r\n");
        stream.write_all(run_head("c1", &length).as_bytes())?;
        stream.write_all(&vec![b'x'; MAX_BODY - 1])
    });
    fixture.check_beside(crowd);
}

#[test]
fn stalled_bodies_in_chunks_do_not_exhaust_memory() {
    let fixture = Fixture::start(HELD_BODIES);
    let crowd = open(fixture.callers, 96, |stream| {
        let fields = "Transfer-Encoding: chunked\r\n";
        stream.write_all(run_head("c1", fields).as_bytes())?;
        let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
        write_repeated(stream, &chunk, chunk.len() * (MAX_BODY / 0x8000))
    });
    fixture.check_beside(crowd);
}

/// Requests that are stalled must not take the places of all others.
#[test]
fn stalled_bodies_leave_places_to_others() {
    let fixture = Fixture::start("requests: 16");
    let crowd = open(fixture.callers, 32, |stream| {
        stream.write_all(run_head("c1", "Content-Length: 4000\r\n").as_bytes())?;
        stream.write_all(&[b'x'; 2000])
    });
    fixture.check_beside(crowd);
}

#[test]
fn a_head_without_an_end_does_not_exhaust_memory() {
    let fixture = Fixture::start("");
    let crowd = open(fixture.callers, 1, |stream| {
        stream.write_all(b"POST /v1/run/dispatch-board HTTP/1.1\r\nx-long: ")?;
        write_repeated(stream, "x", 96 << 20)
    });
    fixture.check_beside(crowd);
}

/// What a client announces must not be allocated, even to skip it.
#[test]
fn an_announced_body_of_any_length_does_not_end_the_process() {
    let fixture = Fixture::start("");
    let crowd = open(fixture.callers, 1, |stream| {
        stream.write_all(run_head("c1", "Content-Length: 1000000000000000\r\n").as_bytes())
    });
    fixture.check_beside(crowd);
}
