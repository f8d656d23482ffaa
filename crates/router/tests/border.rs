//! What callers may send that is wrong, and what they get for it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_router::hooks::Hooks;
use balsamchute_router::settings::Settings;

/// Longest wait for a condition. Reaching it fails the test.
const PATIENCE: Duration = Duration::from_secs(30);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// Starts a router whose platform does not exist.
fn start() -> SocketAddr {
    let callers = free_address();
    let text = format!(
        "instance: r1\ndomain: d1\ncallers: {callers}\ninner: {}\nplatform: {}\n\
         limits: {{body_bytes: 1000, header_bytes: 100}}\n",
        free_address(),
        free_address()
    );
    let settings = Settings::parse(&text).expect("sound settings");
    thread::spawn(move || balsamchute_router::serve(settings, Hooks::new()));
    let start = Instant::now();
    while TcpStream::connect(callers).is_err() {
        assert!(start.elapsed() < PATIENCE, "router does not listen");
        thread::sleep(Duration::from_millis(10));
    }
    callers
}

/// Sends bytes and returns all that comes back.
fn talk(router: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(router).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    stream.write_all(bytes).expect("the router reads");
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    // A router may close the connection on bytes that are no HTTP.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(router: SocketAddr, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: r\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    talk(router, request.as_bytes())
}

#[test]
fn every_fault_of_a_request_is_named() {
    let router = start();
    let long = "x".repeat(101);
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
            &format!("x-workspace: w\r\nx-prefix: {long}\r\n"),
            "{}",
            "header \\\"x-prefix\\\" is longer than 100 bytes",
        ),
        (
            "x-workspace: w\r\n",
            &"x".repeat(1001),
            "body is longer than 1000 bytes",
        ),
    ];
    for (headers, body, part) in cases {
        let answer = post(router, "/v1/run/draft", headers, body);
        assert!(answer.starts_with("HTTP/1.1 400"), "{headers:?}: {answer}");
        assert!(
            answer.contains("\"outcome\":\"not_run\""),
            "{headers:?}: {answer}"
        );
        assert!(answer.contains(part), "{headers:?}: {answer}");
    }
}

#[test]
fn router_without_a_configuration_says_when_to_come_back() {
    let router = start();
    let answer = post(router, "/v1/run/draft", "x-workspace: w\r\n", "{}");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("Retry-After: 1"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    let health = talk(
        router,
        b"GET /health HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
    );
    assert!(health.starts_with("HTTP/1.1 503"), "{health}");
}

#[test]
fn unknown_paths_and_methods_are_refused() {
    let router = start();
    let answer = post(router, "/v2/run", "", "");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert!(
        answer.contains("path \\\"/v2/run\\\" does not exist"),
        "{answer}"
    );
    let answer = talk(
        router,
        b"DELETE /v1/run/draft HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 405"), "{answer}");
}

#[test]
fn router_survives_arbitrary_bytes() {
    let router = start();
    bolero::check!()
        .with_iterations(200)
        .for_each(|bytes: &[u8]| {
            talk(router, bytes);
            let head = [
                b"POST /v1/run/draft HTTP/1.1\r\nConnection: close\r\n",
                bytes,
                b"\r\n\r\n",
            ]
            .concat();
            talk(router, &head);
        });
    let health = talk(
        router,
        b"GET /health HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
    );
    assert!(health.starts_with("HTTP/1.1 503"), "{health}");
}
