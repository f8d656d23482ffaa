//! Responses to invalid requests of callers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_router::Sockets;
use balsamchute_router::hooks::Hooks;
use balsamchute_router::settings::Settings;

/// Longest wait for a condition. The test fails when it is reached.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Address of the platform; nothing listens on this port.
const NO_PLATFORM: &str = "127.0.0.1:1";

/// Binds a free port of the loopback interface.
fn bind() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = listener.local_addr().expect("listener has a local address");
    (address, listener)
}

/// Starts a router whose platform is unreachable and returns its address.
fn start_router() -> SocketAddr {
    let (callers, callers_socket) = bind();
    let (inner, inner_socket) = bind();
    let text = format!(
        "instance: r1\ndomain: d1\ncallers: {callers}\ninner: {inner}\nplatform: {NO_PLATFORM}\n\
         limits: {{body_bytes: 1000, header_bytes: 100}}\n"
    );
    let settings = Settings::parse(&text).expect("settings are valid");
    let sockets = Sockets::new(callers_socket, inner_socket);
    thread::spawn(move || balsamchute_router::serve_on(sockets, settings, Hooks::new()));
    let start = Instant::now();
    while TcpStream::connect(callers).is_err() {
        assert!(start.elapsed() < TIMEOUT, "router does not listen");
        thread::sleep(Duration::from_millis(10));
    }
    callers
}

/// Sends raw bytes on a new connection and returns all bytes of the response.
fn send_raw(router: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(router).expect("router accepts the connection");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("read timeout is set");
    stream.write_all(bytes).expect("router reads the request");
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    // A router may close the connection if the bytes are not valid HTTP.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(router: SocketAddr, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: r\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    send_raw(router, request.as_bytes())
}

/// Guards against invalid requests that run, or are refused without a reason
/// that names the faulty part.
#[test]
fn invalid_requests_are_refused_as_not_run_with_the_reason() {
    let router = start_router();
    let long_value = "x".repeat(101);
    let cases = [
        ("", "{}", "header \\\"x-workspace\\\" is missing"),
        (
            "x-workspace: a b\r\n",
            "{}",
            "workspace name \\\"a b\\\" contains ' '",
        ),
        (
            "x-workspace: w\r\nx-deadline-ms: soon\r\n",
            "{}",
            "header \\\"x-deadline-ms\\\" is no whole number",
        ),
        (
            "x-workspace: w\r\nx-deadline-ms: 0\r\n",
            "{}",
            "header \\\"x-deadline-ms\\\" is not between 1 and",
        ),
        (
            "x-workspace: w\r\nx-cost-hint: -5\r\n",
            "{}",
            "header \\\"x-cost-hint\\\" is no whole number",
        ),
        (
            "x-workspace: w\r\nx-key: a/b\r\n",
            "{}",
            "key name \\\"a/b\\\" contains '/'",
        ),
        (
            &format!("x-workspace: w\r\nx-prefix: {long_value}\r\n"),
            "{}",
            "header \\\"x-prefix\\\" is longer than 100 bytes",
        ),
        (
            "x-workspace: w\r\n",
            &"x".repeat(1001),
            "body is longer than 1000 bytes",
        ),
    ];
    for (headers, body, expected) in cases {
        let answer = post(router, "/v1/run/draft", headers, body);
        assert!(answer.starts_with("HTTP/1.1 400"), "{headers:?}: {answer}");
        assert!(
            answer.contains("\"outcome\":\"not_run\""),
            "{headers:?}: {answer}"
        );
        assert!(answer.contains(expected), "{headers:?}: {answer}");
    }
}

/// Guards against a router that takes requests, or reports itself healthy,
/// before it has a configuration, for example while the platform is unreachable
/// at its start.
#[test]
fn router_without_a_configuration_refuses_requests_with_a_retry_delay() {
    let router = start_router();
    let answer = post(router, "/v1/run/draft", "x-workspace: w\r\n", "{}");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("Retry-After: 1"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    let health = send_raw(
        router,
        b"GET /health HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
    );
    assert!(health.starts_with("HTTP/1.1 503"), "{health}");
}

/// Guards against requests with an unknown path or method that are served
/// instead of refused.
#[test]
fn unknown_paths_and_methods_are_refused() {
    let router = start_router();
    let answer = post(router, "/v2/run", "", "");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert!(
        answer.contains("path \\\"/v2/run\\\" does not exist"),
        "{answer}"
    );
    let answer = send_raw(
        router,
        b"DELETE /v1/run/draft HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 405"), "{answer}");
}

/// Guards against a router that crashes or hangs on bytes that are not valid
/// HTTP, sent as a whole request or as headers.
#[test]
fn router_survives_arbitrary_bytes() {
    let router = start_router();
    bolero::check!()
        .with_iterations(200)
        .for_each(|bytes: &[u8]| {
            send_raw(router, bytes);
            let head = [
                b"POST /v1/run/draft HTTP/1.1\r\nConnection: close\r\n",
                bytes,
                b"\r\n\r\n",
            ]
            .concat();
            send_raw(router, &head);
        });
    let health = send_raw(
        router,
        b"GET /health HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
    );
    assert!(health.starts_with("HTTP/1.1 503"), "{health}");
}

/// Guards against a request that is malformed, or breaks off before its end, and counts as
/// whole.
#[test]
fn requests_that_are_malformed_or_break_off_are_not_accepted() {
    let router = start_router();
    for (version, rest) in [
        ("1.1", "Content-Length: 3\r\n\r\n{}"),
        ("1.1", "Transfer-Encoding: chunked\r\n\r\n"),
        ("1.1", "Transfer-Encoding: chunked\r\n\r\n2\r\n{"),
        ("1.1", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"),
        ("1.1", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"),
        (
            "1.1",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\na: b\r\n",
        ),
        (
            "1.1",
            "Transfer-Encoding: chunked\r\n\r\n+2\r\n{}\r\n0\r\n\r\n",
        ),
        (
            "1.1",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}}\r\n0\r\n\r\n",
        ),
        ("1.1", "Transfer-Encoding: gzip\r\n\r\n{}"),
        (
            "1.1",
            "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        ),
        ("1.1", "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}"),
        ("1.1", "a b: c\r\nContent-Length: 2\r\n\r\n{}"),
        ("1.1", "a\u{1}b: c\r\nContent-Length: 2\r\n\r\n{}"),
        ("1.1", "a\r\nContent-Length: 2\r\n\r\n{}"),
        ("1.1", "a : b\r\nContent-Length: 2\r\n\r\n{}"),
        (
            "1.0",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        ),
        (
            "1.1",
            "Transfer-Encoding: chunked\r\n\r\n2;a\u{1}\r\n{}\r\n0\r\n\r\n",
        ),
        (
            "1.1",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\na b: c\r\n\r\n",
        ),
        (
            "1.1",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\na\r\n\r\n",
        ),
        ("2.0", "Content-Length: 2\r\n\r\n{}"),
    ] {
        let request = format!("POST /v1/run/draft HTTP/{version}\r\nx-workspace: w\r\n{rest}");
        let answer = send_raw(router, request.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 400"), "{request:?}: {answer}");
    }
    for rest in [
        "Content-Length: 2\r\n\r\n{}",
        "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0;c\r\nd: e\r\n\r\n",
    ] {
        let request = format!("POST /v1/run/draft HTTP/1.1\r\nx-workspace: w\r\n{rest}");
        let answer = send_raw(router, request.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 503"), "{request:?}: {answer}");
    }
}
