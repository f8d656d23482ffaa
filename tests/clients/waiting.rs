//! Crowds that stay open, send further requests or do not read answers.

use std::io::{Read, Write};
use std::net::SocketAddr;

use crate::crowd::{Fixture, open, request, write_repeated};
use crate::environment::wait_until;

/// Descriptors of the example settings.
const DESCRIPTORS: usize = 4100;

/// Descriptors that a small crowd exhausts.
const FEW_DESCRIPTORS: usize = 300;

/// Connections that exceed [`FEW_DESCRIPTORS`].
const LARGE_CROWD: usize = 400;

/// Port of the metrics, as in `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;

/// A short request to a route that does not exist.
const UNKNOWN_ROUTE: &str = "GET /none/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q2\r\n\r\n";

#[test]
fn requests_that_are_refused_behind_one_in_progress_do_not_end_the_process() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, 4, |stream| {
        let text = request("k1", "POST", "/once/x", "Content-Length: 0\r\n");
        let text = text.replace("Connection: close\r\n", "");
        stream.write_all(text.as_bytes())?;
        stream.write_all(UNKNOWN_ROUTE.repeat(4000).as_bytes())
    });
    wait_until("the runner has the requests", || {
        fixture.runner.requests().len() == 4
    });
    fixture.release();
    fixture.check_beside(crowd);
}

#[test]
fn answers_that_are_not_read_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, 4, |stream| {
        write_repeated(stream, UNKNOWN_ROUTE, 24 << 20)
    });
    fixture.check_beside(crowd);
}

#[test]
fn large_answers_that_are_not_read_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, 190, |stream| {
        let text = request("k1", "GET", "/safe/x", "X-Length: 4000000\r\n");
        // Bytes that are not read remain in the router, not in the caller's socket.
        socket2::SockRef::from(&*stream).set_recv_buffer_size(4096)?;
        stream.write_all(text.as_bytes())?;
        stream.read(&mut [0]).map(drop)
    });
    fixture.check_beside(crowd);
}

#[test]
fn heads_that_do_not_end_leave_descriptors_to_others() {
    let fixture = Fixture::start(FEW_DESCRIPTORS);
    let crowd = open(fixture.router.callers, LARGE_CROWD, |stream| {
        stream.write_all(b"POST /once/x HTTP/1.1\r\nHost: h\r\n")
    });
    fixture.check_beside(crowd);
}

#[test]
fn bodies_that_do_not_end_leave_descriptors_to_others() {
    let fixture = Fixture::start(FEW_DESCRIPTORS);
    let crowd = open(fixture.router.callers, LARGE_CROWD, |stream| {
        let text = request("k1", "POST", "/once/x", "Content-Length: 100\r\n");
        stream.write_all(text.as_bytes())?;
        stream.write_all(b"half")
    });
    fixture.check_beside(crowd);
}

#[test]
fn large_heads_that_do_not_end_do_not_exhaust_memory() {
    let fixture = Fixture::start_with_memory(DESCRIPTORS, 28);
    let crowd = open(fixture.router.callers, 900, |stream| {
        let mut head = "POST /once/x HTTP/1.1\r\nHost: h\r\n".to_owned();
        for number in 0..120 {
            head += &format!("X-{number}: {}\r\n", "x".repeat(120));
        }
        stream.write_all(head.as_bytes())
    });
    fixture.check_beside(crowd);
}

#[test]
fn requests_that_wait_behind_others_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, 180, |stream| {
        let text = request("k1", "POST", "/once/x", "Content-Length: 0\r\n");
        let text = text.replace("Connection: close\r\n", "");
        stream.write_all(text.as_bytes())?;
        write_repeated(stream, UNKNOWN_ROUTE, 1 << 20)
    });
    fixture.check_beside(crowd);
}

/// Opens connections to another listener that send requests and read no answer.
fn check_listener(fixture: &Fixture, address: SocketAddr, text: &'static str) {
    let crowd = open(address, 8, move |stream| {
        write_repeated(stream, text, 8 << 20)
    });
    fixture.check_beside(crowd);
}

#[test]
fn addresses_that_are_not_read_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let text = "GET /-/resolve?name=h&region=r&zone=a HTTP/1.1\r\nHost: h\r\n\r\n";
    check_listener(&fixture, fixture.router.directory, text);
}

#[test]
fn metrics_that_are_not_read_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let address = SocketAddr::new(fixture.router.callers.ip(), METRICS_PORT);
    let text = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    check_listener(&fixture, address, text);
}

#[test]
fn connections_to_the_directory_leave_descriptors_to_others() {
    let fixture = Fixture::start(FEW_DESCRIPTORS);
    let crowd = open(fixture.router.directory, LARGE_CROWD, |stream| {
        stream.write_all(b"GET /-/resolve HTTP/1.1\r\n")
    });
    fixture.check_beside(crowd);
    fixture.router.wait_ready();
}
