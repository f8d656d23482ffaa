//! Messages of runners and the store that break HTTP/1.1, and sound ones of every framing.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::environment::{
    Router, Runner, Store, asks_for_report, header, read_message, report, respond,
    respond_with_body, send_raw, wait_until,
};
use super::{EVENT_STREAM_FIELDS, decode_chunks, entry, events, manifest, request, start_router};

/// Fields of an answer to the requests of these tests.
const SIGNED: &str = "X-Request-Id: q1\r\nX-Answer-Signature: s\r\n";

/// Time between the parts of an answer, after which it is not brief.
const PAUSE: Duration = Duration::from_millis(100);

/// Starts a runner that answers a request for `/ROUTE/N` with message N, with a pause at each
/// `<pause>`, and closes the connection at `<close>`.
fn start_runner(messages: &[&str]) -> Runner {
    let signed = |message: &&str| message.replace("SIGNED\r\n", SIGNED);
    let messages: Vec<String> = messages.iter().map(signed).collect();
    Runner::start(move |head, stream| {
        let target = head.split(' ').nth(1).expect("a request target");
        let number = target.rsplit('/').next().expect("a path");
        let number: usize = number.parse().expect("the number of a message");
        let (message, closes) = match messages[number].strip_suffix("<close>") {
            Some(message) => (message, true),
            None => (messages[number].as_str(), false),
        };
        for (index, part) in message.split("<pause>").enumerate() {
            thread::sleep(if index > 0 { PAUSE } else { Duration::ZERO });
            // The router may have closed the connection.
            let _ = stream.write_all(part.as_bytes());
        }
        !closes
    })
}

/// A sound answer, and what the caller gets: the start of its head, and its body.
type Sound<'a> = (&'a str, &'a str, &'a str);

/// Checks that a router passes on each of these answers to a request, whole.
fn check_sound(method: &str, fields: &str, request_body: &str, cases: &[Sound<'_>]) {
    let messages: Vec<&str> = cases.iter().map(|&(message, ..)| message).collect();
    let runner = start_runner(&messages);
    let (_store, router) = start_router(&[&runner]);
    for (number, (message, line, body)) in cases.iter().enumerate() {
        let text = request(method, &format!("/once/{number}"), fields, request_body);
        let response = send_raw(router.callers, &text);
        let (head, received) = response.split_once("\r\n\r\n").expect("a message head");
        assert!(head.starts_with(line), "{message:?}: {response:?}");
        assert_eq!(received, *body, "{message:?}: {response:?}");
        assert_eq!(header(head, "x-answer-signature"), Some("s"), "{message:?}");
        if method != "HEAD" {
            let length = body.len().to_string();
            assert_eq!(header(head, "content-length"), Some(length.as_str()));
        }
    }
}

const SOUND: [Sound<'_>; 14] = [
    (
        "HTTP/1.1 200 OK\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndo<pause>ne",
        "HTTP/1.1 200 OK\r\n",
        "done",
    ),
    (
        "HTTP/1.1 200 OK\r\nSIGNED\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n<pause>2\r\nne\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n",
        "done",
    ),
    (
        "HTTP/1.1 200 OK\r\nSIGNED\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b;c=\"d\te;f\"\r\ndone\r\n0;g\r\nA<pause>: b\tc\r\nD:\r\n<pause>E: \u{e4}\r\n\r<pause>\n",
        "HTTP/1.1 200 OK\r\n",
        "done",
    ),
    (
        "HTTP/1.1 200 OK\r\nSIGNED\r\n\r\ndone<close>",
        "HTTP/1.1 200 OK\r\n",
        "done",
    ),
    (
        "HTTP/1.1 200 OK\r\nSIGNED\r\n\r\ndo<pause>ne<close>",
        "HTTP/1.1 200 OK\r\n",
        "done",
    ),
    (
        "HTTP/1.0 200 OK\r\nSIGNED\r\n\r\ndo<pause>ne<close>",
        "HTTP/1.1 200 OK\r\n",
        "done",
    ),
    (
        "HTTP/1.1 100 Continue\r\n\r\n<pause>HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\n",
        "done",
    ),
    (
        "HTTP/1.1 200\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone",
        "HTTP/1.1 200 \r\n",
        "done",
    ),
    (
        "HTTP/1.1 200 \r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone",
        "HTTP/1.1 200 \r\n",
        "done",
    ),
    (
        "HTTP/1.1 204 No Content\r\nSIGNED\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n",
        "",
    ),
    (
        "HTTP/1.1 250 Fine\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone",
        "HTTP/1.1 250 Fine\r\n",
        "done",
    ),
    (
        "HTTP/1.1 599 Bad\r\nSIGNED\r\nContent-Length: 4\r\n\r\nfail",
        "HTTP/1.1 599 Bad\r\n",
        "fail",
    ),
    (
        "HTTP/1.1 500 Bad\r\nSIGNED\r\n\r\nfa<pause>il<close>",
        "HTTP/1.1 500 Bad\r\n",
        "fail",
    ),
    (
        "HTTP/1.1 200 OK\r\nSIGNED\r\nA: b\tc\r\nD:\r\n!#$%&'*+-.^_`|~1: \u{e4}\r\nContent-Length:4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\n",
        "done",
    ),
];

#[test]
fn sound_answers_of_every_framing_arrive_whole() {
    check_sound("GET", "", "", &SOUND);
}

#[test]
fn sound_answers_to_an_upload_arrive_whole() {
    let body = "b".repeat(60_000);
    let fields = format!("Content-Length: {}\r\n", body.len());
    check_sound("POST", &fields, &body, &SOUND);
}

#[test]
fn sound_answers_to_head_arrive_whole() {
    let cases: [Sound<'_>; 3] = [
        (
            "HTTP/1.1 200 OK\r\nSIGNED\r\nContent-Length: 4\r\n\r\n",
            "HTTP/1.1 200 OK\r\n",
            "",
        ),
        (
            "HTTP/1.1 200 OK\r\nSIGNED\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\n",
            "",
        ),
        (
            "HTTP/1.1 200 OK\r\nSIGNED\r\n\r\n",
            "HTTP/1.1 200 OK\r\n",
            "",
        ),
    ];
    check_sound("HEAD", "", "", &cases);
}

#[test]
fn sound_streams_of_every_framing_arrive_whole() {
    let plain = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";
    let chunks = events(1, 2).replacen("\r\n", ";a=\"b\tc\";d\r\n", 1);
    let head = "HTTP/1.1 200 OK\r\nSIGNED\r\nContent-Type: text/event-stream\r\n";
    let length = format!("{head}Content-Length: {}\r\n\r\n{plain}", plain.len());
    let until_close = format!("{head}\r\n{plain}<close>");
    let (first, rest) = until_close.split_at(until_close.len() - 14);
    let paused = format!("{first}<pause>{rest}");
    let coded = format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}");
    let chunked = format!("{coded}0;e\r\nF: g\r\n<pause>H: i\r\n\r\n");
    let interim = format!("HTTP/1.1 100 Continue\r\n\r\n{length}");
    let messages = [&*length, &until_close, &paused, &chunked, &interim];
    let runner = start_runner(&messages);
    let (_store, router) = start_router(&[&runner]);
    for (number, message) in messages.iter().enumerate() {
        let text = request("GET", &format!("/stream/{number}"), "", "");
        let response = send_raw(router.callers, &text);
        let expected = (plain.to_owned(), true);
        assert_eq!(decode_chunks(&response), expected, "{message:?}");
    }
}

/// Checks that a router passes on none of these messages of a runner as an answer.
fn check_refused(messages: &[&str]) {
    let runner = start_runner(messages);
    let (_store, router) = start_router(&[&runner]);
    for (number, message) in messages.iter().enumerate() {
        let text = request("POST", &format!("/once/{number}"), "", "");
        let response = send_raw(router.callers, &text);
        assert!(
            response.starts_with("HTTP/1.1 502 "),
            "{message:?}: {response:?}"
        );
        assert_eq!(runner.requests().len(), number + 1, "{message:?}");
    }
}

#[test]
fn an_answer_with_a_malformed_head_is_not_passed_on() {
    let lines = [
        "A B: c",
        "A\tB: c",
        "A\u{1}: c",
        "A\u{7f}: c",
        "A\0: c",
        "A",
        ": c",
        "A : c",
        "Content-Length : 4",
        " A: c",
        "\tfolded",
        "A: b\0",
        "A: b\rc",
        "A: b\u{1}",
        "A: b\u{7f}",
        "A(: c",
        "\u{e4}: c",
        "A\r: c",
    ];
    let mut messages = Vec::new();
    for line in lines {
        messages.push(format!(
            "HTTP/1.1 200 OK\r\n{line}\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone"
        ));
        messages.push(format!(
            "HTTP/1.1 200 OK\r\nSIGNED\r\nContent-Length: 4\r\n{line}\r\n\r\ndone"
        ));
    }
    for line in [
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 O\u{7f}K",
        "HTTP/1.1 20",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2 0",
        "HTTP/1.1  200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\tOK",
    ] {
        messages.push(format!("{line}\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone"));
    }
    let messages: Vec<&str> = messages.iter().map(String::as_str).collect();
    check_refused(&messages);
}

#[test]
fn an_answer_whose_status_is_not_in_100_to_599_is_not_passed_on() {
    let message =
        |status: &str| format!("HTTP/1.1 {status} X\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone");
    let messages = ["000", "001", "099", "600", "999"].map(message);
    check_refused(&messages.each_ref().map(String::as_str));
}

/// Chunked bodies of four bytes that are malformed after the first chunk.
fn malformed_chunks() -> Vec<String> {
    let trailers = [
        "A B: c",
        "A\tB: c",
        "A\u{1}: c",
        "A\0: c",
        "A",
        ": c",
        "A : c",
        " A: c",
        "D: e\r\n folded",
        "A: b\u{1}",
        "A: b\0",
        "A: b\rc",
        "A: b\u{7f}",
    ];
    let extensions = ["a=\u{1}", "a=\"\0\"", "\u{7f}", "a\rb"];
    let trailers = trailers.map(|field| format!("4\r\ndone\r\n0\r\n{field}\r\n\r\n"));
    let first = extensions.map(|extension| format!("4;{extension}\r\ndone\r\n0\r\n\r\n"));
    let last = extensions.map(|extension| format!("4\r\ndone\r\n0;{extension}\r\n\r\n"));
    [&trailers[..], &first, &last].concat()
}

#[test]
fn an_answer_with_a_malformed_trailer_or_extension_is_not_passed_on() {
    let message =
        |body| format!("HTTP/1.1 200 OK\r\nSIGNED\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
    let messages: Vec<String> = malformed_chunks().iter().map(message).collect();
    let messages: Vec<&str> = messages.iter().map(String::as_str).collect();
    check_refused(&messages);
}

#[test]
fn a_stream_with_a_malformed_trailer_is_not_complete() {
    let runner = Runner::start(|head, stream| {
        let body = format!("{}0\r\nA B: c\r\n\r\n", events(1, 2));
        respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
        false
    });
    let (_store, router) = start_router(&[&runner]);
    let response = send_raw(router.callers, &request("GET", "/stream/x", "", ""));
    assert!(!decode_chunks(&response).1, "{response}");
}

#[test]
fn a_request_with_a_malformed_trailer_or_extension_gets_400() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let (_store, router) = start_router(&[&runner]);
    for body in malformed_chunks() {
        let text = request("POST", "/once/x", "Transfer-Encoding: chunked\r\n", &body);
        let response = send_raw(router.callers, &text);
        assert!(
            response.starts_with("HTTP/1.1 400 "),
            "{body:?}: {response:?}"
        );
    }
    assert_eq!(runner.requests().len(), 0);
}

#[test]
fn an_answer_of_http_1_0_in_chunks_is_not_passed_on() {
    let fields = "SIGNED\r\nTransfer-Encoding: chunked";
    check_refused(&[&format!(
        "HTTP/1.0 200 OK\r\n{fields}\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
    )]);
}

#[test]
fn a_request_of_http_1_0_in_chunks_gets_400() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let (_store, router) = start_router(&[&runner]);
    let body = "4\r\nbody\r\n0\r\n\r\n";
    let text = request("POST", "/once/x", "Transfer-Encoding: chunked\r\n", body);
    let response = send_raw(router.callers, &text.replace("HTTP/1.1", "HTTP/1.0"));
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    assert_eq!(runner.requests().len(), 0);
}

#[test]
fn an_answer_that_also_carries_the_id_of_another_request_is_not_passed_on() {
    let message =
        |fields: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\nContent-Length: 4\r\n\r\ndone");
    let messages = [
        "SIGNED\r\nX-Request-Id: q0",
        "X-Request-Id: q0\r\nSIGNED",
        "SIGNED\r\nX-Request-Id:",
        "SIGNED\r\nX-Request-Id: \u{e4}",
        "SIGNED\r\nX-Answer-Signature: t",
    ]
    .map(message);
    check_refused(&messages.each_ref().map(String::as_str));
}

/// The id of a late answer to another request may be any bytes.
#[test]
fn an_answer_whose_id_is_not_text_is_skipped() {
    let late = b"HTTP/1.1 500 X\r\nX-Request-Id: \xff\r\nContent-Length: 3\r\n\r\nold";
    let runner = Runner::start(move |head, stream| {
        let _ = stream.write_all(late);
        respond_with_body(stream, head, "mine")
    });
    let (_store, router) = start_router(&[&runner]);
    let response = send_raw(router.callers, &request("POST", "/once/x", "", ""));
    assert!(response.ends_with("\r\n\r\nmine"), "{response}");
}

/// 101 ends HTTP on the connection, so what follows is no answer.
#[test]
fn an_upgrade_that_was_not_requested_is_not_passed_on() {
    check_refused(&[
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone",
        "HTTP/1.1 101 X\r\nSIGNED\r\nContent-Length: 4\r\n\r\ndone",
    ]);
}

/// Starts a relay to the store that writes `interim` before each response. 50 ms after one
/// without events, another response with the body `late` follows on the connection.
fn start_relay(store: SocketAddr, interim: &'static str, late: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut near in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut far = TcpStream::connect(store).expect("the store accepts");
                while let Some((head, body)) = read_message(&mut near) {
                    let written = far.write_all(&[head.as_bytes(), &body].concat());
                    written.expect("the store reads");
                    let Some((head, body)) = read_message(&mut far) else {
                        return;
                    };
                    // The router may have closed the connection.
                    let _ = near.write_all(&[interim.as_bytes(), head.as_bytes(), &body].concat());
                    if let Some(late) = late.filter(|_| body.ends_with(b"\"events\":[]}")) {
                        thread::sleep(Duration::from_millis(50));
                        let head = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n", late.len());
                        let _ = near.write_all(format!("{head}\r\n{late}").as_bytes());
                    }
                }
            });
        }
    });
    address
}

/// An interim response without a length would end with the connection.
#[test]
fn interim_responses_of_the_store_are_skipped() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    store.put("servers", "i-0", entry(runner.address, "s"));
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
    let router = Router::start("r1", start_relay(store.address, interim, None));
    router.wait_ready();
    let response = send_raw(router.callers, &request("POST", "/once/x", "", ""));
    assert!(response.ends_with("done"), "{response}");
    wait_until("the router has written its object", || store.writes() > 0);
}

/// The router calls for runners each 200 ms, so the response arrives between two calls.
#[test]
fn a_response_of_the_store_to_no_call_is_not_applied() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    store.put("servers", "i-0", entry(runner.address, "s"));
    let late = r#"{"at":99,"events":[{"object":{"metadata":{"name":"i-0"}},"deleted":true}]}"#;
    let router = Router::start("r1", start_relay(store.address, "", Some(late)));
    router.wait_ready();
    wait_until("two late responses were read", || {
        router.log().matches("event=surplus_bytes").count() > 1
            || router.log().contains("event=runner_gone")
    });
    let log = router.log();
    assert!(!log.contains("event=runner_gone"), "{log}");
}

/// Starts a runner whose connections `handle` serves.
fn start_connections<F>(handle: F) -> SocketAddr
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// Starts a router with one runner that names its start, 1, in its entry.
fn start_with_born(address: SocketAddr) -> (Store, Router) {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    let mut listed = entry(address, "s").expect("an entry");
    listed["born"] = json!(1);
    store.put("servers", "i-0", Some(listed));
    let router = Router::start("r1", store.address);
    router.wait_ready();
    (store, router)
}

#[test]
fn interim_answers_before_a_report_are_skipped() {
    let address = start_connections(|mut stream| {
        while let Some((head, _)) = read_message(&mut stream) {
            if asks_for_report(&head) {
                // The router may have closed the connection.
                let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\n\r\n");
                report(&mut stream, 1);
                continue;
            }
            respond(&mut stream, &head, 200, "", "until ");
            thread::sleep(PAUSE);
            let _ = stream.write_all(b"the end");
            return;
        }
    });
    let (_store, router) = start_with_born(address);
    let response = send_raw(router.callers, &request("POST", "/once/x", "", ""));
    assert!(response.ends_with("\r\n\r\nuntil the end"), "{response}");
    wait_until("the log names the process that reported", || {
        router.log().contains("report=listed")
    });
}

/// Fields of an answer whose connection is kept for longer than the test takes.
const KEPT_FIELDS: &str = "Keep-Alive: timeout=8\r\nContent-Length: 4\r\n";

/// Returns the response to request q2, whose answer ends with its connection while that of
/// q1 is kept. Asked for a report there, the runner sends its answer to q1 again, and its
/// report if `reports`. All other connections end with the answer, and later ones get no
/// response.
fn response_before_late_copy(reports: bool) -> (String, String) {
    let others: Mutex<BTreeMap<SocketAddr, TcpStream>> = Mutex::default();
    let begun = Barrier::new(2);
    let (arrive, arrived) = channel();
    let address = start_connections(move |mut stream| {
        let peer = stream.peer_addr().expect("an open connection");
        let others = || others.lock().expect("no thread panicked");
        others().insert(peer, stream.try_clone().expect("a descriptor"));
        let mut kept: Option<String> = None;
        while let Some((head, _)) = read_message(&mut stream) {
            match &kept {
                Some(answered) if asks_for_report(&head) => {
                    respond(&mut stream, answered, 200, KEPT_FIELDS, "kept");
                    if reports {
                        report(&mut stream, 0);
                        continue;
                    }
                    return;
                }
                _ if asks_for_report(&head) => {}
                _ if header(&head, "x-request-id") == Some("q1") => {
                    arrive.send(()).expect("the test goes on");
                    begun.wait();
                    others().remove(&peer);
                    respond(&mut stream, &head, 200, KEPT_FIELDS, "kept");
                    kept = Some(head);
                }
                _ => {
                    respond(&mut stream, &head, 200, "", "first half");
                    begun.wait();
                    thread::sleep(2 * PAUSE);
                    others().remove(&peer);
                    for other in std::mem::take(&mut *others()).into_values() {
                        // The router may have closed it.
                        let _ = other.shutdown(Shutdown::Both);
                    }
                    return;
                }
            }
        }
    });
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    store.put("servers", "i-0", entry(address, "s"));
    let router = Router::start("r1", store.address);
    router.wait_ready();
    let (callers, first) = (router.callers, request("POST", "/once/x", "", ""));
    let second = first.replace("q1", "q2");
    let kept = thread::spawn(move || send_raw(callers, &first));
    arrived.recv().expect("the runner gets the request");
    let response = send_raw(callers, &second);
    let kept = kept.join().expect("the caller ends");
    assert!(kept.ends_with("\r\n\r\nkept"), "{kept}");
    wait_until("the log has the verdict on the end", || {
        router.log().contains("event=end_judged")
    });
    (response, router.log())
}

/// Its process may have ended after it sent the copy.
#[test]
fn a_late_copy_of_another_answer_does_not_show_that_the_process_lives() {
    let (response, log) = response_before_late_copy(false);
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}\n{log}");
}

#[test]
fn a_report_after_a_late_copy_of_another_answer_shows_that_the_process_lives() {
    let (response, log) = response_before_late_copy(true);
    assert!(
        response.ends_with("\r\n\r\nfirst half"),
        "{response}\n{log}"
    );
}
