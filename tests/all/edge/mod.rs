//! `balsamchute edge` with a store, runners and callers on loopback.

mod doors;
mod oncall;
mod store;
mod world;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use world::{
    Offered, Router, Runner, Store, ask, connect, eventually, field, read_message, respond,
    respond_whole,
};

fn entry(address: SocketAddr, service: &str) -> Option<Value> {
    Some(world::entry(address, service, 6))
}

fn manifest(version: u64, keys: &[&str]) -> Option<Value> {
    let routes = [
        Offered::new("stream", "stream", 8000).resumed(),
        Offered::new("once", "non_idempotent", 8000),
        Offered::new("safe", "idempotent", 8000),
        Offered::new("open", "idempotent", 8000).public(),
    ];
    Some(world::manifest(version, &routes, keys))
}

/// Starts a router before these runners.
fn world(runners: &[&Runner]) -> (Store, Router) {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    for (number, runner) in runners.iter().enumerate() {
        store.put(
            "servers",
            &format!("i-{number}"),
            entry(runner.address, "s"),
        );
    }
    let router = Router::start("r1", store.address);
    router.wait_ready();
    (store, router)
}

fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Deadline-Ms: 8000\r\n\
         Authorization: Token k1\r\nConnection: close\r\n{fields}\r\n{body}"
    )
}

fn events(from: u64, to: u64) -> String {
    let events = (from..=to).map(|id| format!("id: {id}\ndata: event {id}\n\n"));
    events
        .map(|event| format!("{:x}\r\n{event}\r\n", event.len()))
        .collect()
}

const CHUNKED: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// Returns the body of an answer in chunks, and whether its end has come.
fn dechunk(answer: &str) -> (String, bool) {
    let (_, mut rest) = answer.split_once("\r\n\r\n").expect("a head");
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        if after.len() < size + 2 {
            return (body, false);
        }
        body.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    (body, false)
}

#[test]
fn a_request_passes_unchanged_and_so_does_its_answer() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "the answer"));
    let (_store, router) = world(&[&runner]);
    let chunked = request(
        "POST",
        "/once/a%2fb?x=1",
        "Transfer-Encoding: chunked\r\n",
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    );
    let answer = ask(router.callers, &chunked);
    assert!(answer.starts_with("HTTP/1.1 200 X\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nthe answer"), "{answer}");
    assert_eq!(field(&answer, "x-answer-signature"), Some("s"));
    let seen = &runner.requests()[0];
    assert!(
        seen.starts_with("POST /once/a%2fb?x=1 HTTP/1.1\r\n") && seen.ends_with("\r\n\r\nabcde"),
        "{seen}"
    );
    assert_eq!(field(seen, "x-tenant"), Some("w1"));
    assert_eq!(field(seen, "x-expect-instance"), Some("i-0"));
    assert!(!seen.contains("k1"), "{seen}");
}

#[test]
fn requests_that_may_not_pass_are_answered_without_a_runner() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, ""));
    let (_store, router) = world(&[&runner]);
    let sound = request("GET", "/safe/x", "", "");
    let cases = [
        (sound.replace("/safe/", "/none/"), 404),
        (sound.replace("Host: h", "Host: other"), 404),
        (sound.replace("Token k1", "Token k2"), 401),
        (sound.replace("Authorization: Token k1\r\n", ""), 401),
        (sound.replace("X-Request-Id: q1\r\n", ""), 400),
        (
            sound.replace(
                "Connection",
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\nConnection",
            ),
            400,
        ),
        (
            sound.replace("Connection", "Content-Length: 100001\r\nConnection"),
            413,
        ),
        (
            sound.replace(
                "Connection",
                &format!("A: {}\r\nConnection", "x".repeat(5000)),
            ),
            431,
        ),
        ("no request at all\r\n\r\n".to_owned(), 400),
    ];
    for (text, status) in cases {
        let answer = ask(router.callers, &text);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{status}: {answer}"
        );
    }
    assert_eq!(runner.requests().len(), 0);
    let open = sound
        .replace("/safe/", "/open/")
        .replace("Authorization: Token k1\r\n", "");
    assert!(ask(router.callers, &open).starts_with("HTTP/1.1 200 "));
}

#[test]
fn a_stream_that_breaks_inside_an_event_goes_on_at_another_runner() {
    let broken = AtomicUsize::new(0);
    let script = move |head: &str, stream: &mut std::net::TcpStream| {
        if broken.fetch_add(1, Ordering::SeqCst) == 0 {
            let body = format!("{}6\r\nid: 3\n\r\n", events(1, 2));
            respond(stream, head, 200, CHUNKED, &body);
            return false;
        }
        let from: u64 = field(head, "last-event-id").map_or(0, |id| id.parse().expect("a number"));
        let body = format!("{}0\r\n\r\n", events(from + 1, 5));
        respond(stream, head, 200, CHUNKED, &body);
        true
    };
    let script = Arc::new(script);
    let (one, other) = (script.clone(), script);
    let first = Runner::start(move |head, stream| one(head, stream));
    let second = Runner::start(move |head, stream| other(head, stream));
    let (_store, router) = world(&[&first, &second]);
    let answer = ask(router.callers, &request("GET", "/stream/x", "", ""));
    let (body, whole) = dechunk(&answer);
    let expected: String = (1..=5)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect();
    assert_eq!(
        (body.as_str(), whole),
        (expected.as_str(), true),
        "{answer}"
    );
}

#[test]
fn a_stream_that_cannot_go_on_does_not_look_whole() {
    let runner = Runner::start(|head, stream| {
        respond(stream, head, 200, CHUNKED, &events(1, 2));
        false
    });
    let (_store, router) = world(&[&runner]);
    let answer = ask(router.callers, &request("GET", "/stream/x", "", ""));
    let (_, whole) = dechunk(&answer);
    assert!(!whole, "{answer}");
}

#[test]
fn a_request_that_may_have_run_runs_once_and_promises_nothing() {
    let scripts: [fn(&str, &mut std::net::TcpStream) -> bool; 4] = [
        |_, _| false,
        |head, stream| {
            respond(stream, head, 200, "Content-Length: 10\r\n", "short");
            false
        },
        |_, stream| {
            // The router may have closed the connection.
            let _ = stream.write_all(b"no answer in any protocol\r\n\r\n");
            false
        },
        |head, stream| {
            respond(stream, head, 503, "Content-Length: 0\r\n", "");
            true
        },
    ];
    for script in scripts {
        let (first, second) = (Runner::start(script), Runner::start(script));
        let (_store, router) = world(&[&first, &second]);
        let answer = ask(router.callers, &request("POST", "/once/x", "", ""));
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert_eq!(first.requests().len() + second.requests().len(), 1);
    }
}

#[test]
fn a_runner_that_did_not_run_it_lets_another_one_do_so() {
    let rejecting = |head: &str, stream: &mut std::net::TcpStream| {
        respond(
            stream,
            head,
            503,
            "X-Not-Executed: 1\r\nContent-Length: 0\r\n",
            "",
        );
        true
    };
    let first = Runner::start(rejecting);
    let second = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (_store, router) = world(&[&first, &second]);
    for _ in 0..4 {
        let answer = ask(router.callers, &request("POST", "/once/x", "", ""));
        assert!(answer.ends_with("done"), "{answer}");
    }
    assert_eq!(second.requests().len(), 4);
}

#[test]
fn late_answers_to_other_requests_are_skipped() {
    let runner = Runner::start(|head, stream| {
        let late = head.replace("q1", "q0");
        respond_whole(stream, &late, "for somebody else");
        respond_whole(stream, head, "mine")
    });
    let (_store, router) = world(&[&runner]);
    let answer = ask(router.callers, &request("POST", "/once/x", "", ""));
    assert!(answer.ends_with("\r\n\r\nmine"), "{answer}");
    assert!(!answer.contains("somebody"), "{answer}");
}

#[test]
fn surplus_bytes_end_a_connection_before_it_is_used_again() {
    let runner = Runner::start(|head, stream| {
        respond_whole(stream, head, "mine");
        respond_whole(stream, &head.replace("q1", "q9"), "surplus")
    });
    let (_store, router) = world(&[&runner]);
    for _ in 0..5 {
        let answer = ask(router.callers, &request("POST", "/once/x", "", ""));
        assert!(answer.ends_with("\r\n\r\nmine"), "{answer}");
    }
}

#[test]
fn a_body_that_ends_with_the_connection_is_whole_unless_it_is_reset() {
    let runner = Runner::start(|head, stream| {
        respond(stream, head, 200, "", "until the end");
        false
    });
    let (_store, router) = world(&[&runner]);
    let answer = ask(router.callers, &request("POST", "/once/x", "", ""));
    assert!(answer.ends_with("\r\n\r\nuntil the end"), "{answer}");
    assert_eq!(field(&answer, "content-length"), Some("13"));
}

#[test]
fn a_caller_that_leaves_ends_its_work() {
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let runner = Runner::start(move |head, stream| {
        respond(stream, head, 200, CHUNKED, &events(1, 1));
        // Returns once the router closes the connection.
        let _ = stream.read(&mut [0]);
        count.fetch_add(1, Ordering::SeqCst);
        false
    });
    let (_store, router) = world(&[&runner]);
    let mut caller = connect(router.callers);
    caller
        .write_all(request("GET", "/stream/x", "", "").as_bytes())
        .expect("the router reads");
    caller.read_exact(&mut [0]).expect("the answer begins");
    assert_eq!(ended.load(Ordering::SeqCst), 0);
    drop(caller);
    eventually("the runner is free again", || {
        ended.load(Ordering::SeqCst) == 1
    });
}

#[test]
fn a_planned_stop_finishes_what_is_in_hand() {
    let runner = Runner::start(|head, stream| {
        thread::sleep(Duration::from_millis(1500));
        respond_whole(stream, head, "finished")
    });
    let (_store, mut router) = world(&[&runner]);
    let callers = router.callers;
    let request = request("POST", "/once/x", "", "");
    let caller = thread::spawn(move || ask(callers, &request));
    eventually("the request is under way", || !runner.requests().is_empty());
    router.signal(Signal::SIGTERM);
    eventually("it is not ready any more", || {
        let text = ask(
            router.ready,
            "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        );
        !text.starts_with("HTTP/1.1 200")
    });
    let answer = caller.join().expect("the caller ends");
    assert!(answer.ends_with("finished"), "{answer}");
    assert_eq!(router.wait(), Some(0));
}

#[test]
fn a_reload_keeps_the_router_going() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (_store, router) = world(&[&runner]);
    router.signal(Signal::SIGHUP);
    thread::sleep(Duration::from_millis(200));
    let answer = ask(router.callers, &request("POST", "/once/x", "", ""));
    assert!(answer.ends_with("done"), "{answer}");
}

#[test]
fn the_directory_names_routers_that_serve() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (_store, router) = world(&[&runner]);
    let question =
        "GET /-/resolve?name=h&region=r&zone=a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let answer = ask(router.directory, question);
    let body = answer.split_once("\r\n\r\n").expect("a head").1;
    let body: Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(body["addresses"], json!([router.callers.to_string()]));
    assert!(
        body["ttl_s"].as_f64().is_some_and(|ttl| ttl > 0.0),
        "{body}"
    );
}

#[test]
fn kept_connections_carry_request_after_request() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (_store, router) = world(&[&runner]);
    let text = request("POST", "/once/x", "", "").replace("Connection: close\r\n", "");
    let mut caller = connect(router.callers);
    // Two at once, and a third after their answers.
    caller
        .write_all(text.repeat(2).as_bytes())
        .expect("the router reads");
    for turn in 0..3 {
        let (head, body) = read_message(&mut caller).expect("an answer");
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        assert_eq!(body, b"done");
        if turn == 1 {
            caller.write_all(text.as_bytes()).expect("the router reads");
        }
    }
}

#[test]
fn idle_connections_make_room_for_new_callers() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    store.put("servers", "i-0", entry(runner.address, "s"));
    let router = Router::start_small("small", store.address, 100);
    router.wait_ready();
    let text = request("POST", "/once/x", "", "").replace("Connection: close\r\n", "");
    let mut kept = Vec::new();
    for turn in 0..200 {
        let mut caller = connect(router.callers);
        caller.write_all(text.as_bytes()).expect("the router reads");
        let answer = read_message(&mut caller);
        assert!(answer.is_some(), "connection {turn} is not served");
        kept.push(caller);
    }
}

#[test]
fn callers_that_come_at_once_are_accepted_in_turns() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (_store, router) = world(&[&runner]);
    router.signal(Signal::SIGSTOP);
    let text = request("POST", "/once/x", "", "");
    let mut callers: Vec<TcpStream> = (0..40).map(|_| connect(router.callers)).collect();
    for caller in &mut callers {
        caller
            .write_all(text.as_bytes())
            .expect("the socket is open");
    }
    router.signal(Signal::SIGCONT);
    for caller in &mut callers {
        let (head, _) = read_message(caller).expect("an answer");
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    }
    eventually("the log says so", || {
        router.log().contains("event=accepts_wait")
    });
}

#[test]
fn bytes_that_make_no_sense_at_any_port_harm_no_request() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (_store, router) = world(&[&runner]);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    for bytes in [&b""[..], b"\xff\x00\xc1", &[0x91; 2000]] {
        socket
            .send_to(bytes, router.peers)
            .expect("the datagram leaves");
    }
    for address in [router.ready, router.directory, router.peers, router.callers] {
        let answer = ask(address, "\x01\x02 no request\r\n\r\n");
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400 "),
            "{answer}"
        );
        // A connection that sends nothing is left alone.
        drop(connect(address));
    }
    let answer = ask(router.callers, &request("POST", "/once/x", "", ""));
    assert!(answer.ends_with("done"), "{answer}");
}
