//! Answers that go on at another runner: each piece once, none missing.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use super::answers::{read_response_slowly, send_slowly_read};
use super::environment::{Runner, Store, header, respond, send_raw};
use super::{
    EVENT_STREAM_FIELDS, Router, decode_chunks, entry, events, manifest, request, start_router,
};

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Body that a run sends when it is asked to go on after this event, in chunks. Without
/// [`LAST_CHUNK`] its connection breaks off at the end.
type Run = fn(u64) -> String;

/// Run that goes on as it was asked to, up to event 6.
const GOOD: Run = |after| events(after + 1, 6) + LAST_CHUNK;

/// Response of a router whose runners run a stream one after the other.
struct Played {
    /// Decoded body.
    body: String,
    is_complete: bool,
    attempts: usize,
    log: String,
}

impl Played {
    /// Sends a request for a stream that allows three attempts. The attempts get these runs
    /// in turn.
    fn new<const N: usize>(fields: &str, runs: [Run; N]) -> Self {
        Played::with_route(json!({"max_attempts": 3}), fields, runs)
    }

    /// The same on a route with these settings.
    fn with_route<const N: usize>(settings: Value, fields: &str, runs: [Run; N]) -> Self {
        let arrivals = Arc::new(AtomicUsize::new(0));
        let runners: Vec<Runner> = (0..N)
            .map(|_| {
                let arrivals = arrivals.clone();
                Runner::start(move |head, stream| {
                    let run = runs[arrivals.fetch_add(1, Ordering::SeqCst).min(N - 1)];
                    let after = header(head, "last-event-id").unwrap_or("0");
                    let body = run(after.parse().expect("a number"));
                    respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
                    body.ends_with(LAST_CHUNK)
                })
            })
            .collect();
        let store = Store::start();
        let mut config = manifest(1, &["k1"]).expect("a manifest");
        for (name, value) in settings.as_object().expect("settings by name") {
            config["routes"][0][name] = value.clone();
        }
        store.put("config", "main", Some(config));
        for (index, runner) in runners.iter().enumerate() {
            store.put("servers", &format!("i-{index}"), entry(runner.address, "s"));
        }
        let router = Router::start("r1", store.address);
        router.wait_ready();
        let response = send_raw(router.callers, &request("GET", "/stream/x", fields, ""));
        let (body, is_complete) = match header(&response, "transfer-encoding") {
            Some(_) => decode_chunks(&response),
            None => (String::new(), false),
        };
        Played {
            body,
            is_complete,
            attempts: arrivals.load(Ordering::SeqCst),
            log: router.log(),
        }
    }

    /// Checks that the caller got the events `from` to `to`, each once, and whether the
    /// response was complete.
    fn check(&self, from: u64, to: u64, is_complete: bool) {
        let expected: String = (from..=to)
            .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
            .collect();
        let Played { body, log, .. } = self;
        assert_eq!(*body, expected, "{log}");
        assert_eq!(self.is_complete, is_complete, "{log}");
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[test]
fn a_plain_answer_that_broke_off_after_a_part_was_forwarded_is_not_appended_to() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let script = Arc::new(move |head: &str, stream: &mut TcpStream| {
        let fields = "Content-Length: 900000\r\n";
        match arrivals.fetch_add(1, Ordering::SeqCst) {
            0 => respond(stream, head, 200, fields, &"x".repeat(700_000)),
            _ => respond(stream, head, 200, fields, &"y".repeat(900_000)),
        }
        false
    });
    let runners = [(); 2].map(|()| {
        let script = script.clone();
        Runner::start(move |head, stream| script(head, stream))
    });
    let (_store, router) = start_router(&[&runners[0], &runners[1]]);
    let response = send_raw(router.callers, &request("GET", "/safe/x", "", ""));
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    assert!(!body.contains('y') && body.ends_with("<reset>"));
}

#[test]
fn a_stream_whose_last_event_has_no_id_is_not_resumed() {
    let begins: [Run; 2] = [
        |_| chunk("data: a\n\n") + &chunk("data: b\n\n"),
        |_| events(1, 2) + &chunk("data: b\n\n"),
    ];
    for begin in begins {
        let played = Played::new("", [begin, GOOD]);
        assert!(played.body.ends_with("data: b\n\n"), "{}", played.body);
        assert!(
            !played.is_complete && played.attempts == 1,
            "{}",
            played.log
        );
    }
}

/// An event without an id is passed by once a later one has an id.
#[test]
fn a_stream_with_an_event_without_an_id_resumes_after_a_later_id() {
    let played = Played::new("", [|_| chunk("data: a\n\n") + &events(1, 2), GOOD]);
    assert!(played.is_complete, "{}", played.log);
    assert_eq!(played.body.matches("data: ").count(), 7, "{}", played.body);
}

#[test]
fn a_run_that_ignores_where_to_go_on_is_left_for_another_runner() {
    let played = Played::new("", [|_| events(1, 3), |_| events(1, 6) + LAST_CHUNK, GOOD]);
    played.check(1, 6, true);
}

#[test]
fn a_run_that_repeats_the_last_event_is_left_for_another_runner() {
    let again: Run = |after| events(after, 6) + LAST_CHUNK;
    let played = Played::new("", [|_| events(1, 3), again, GOOD]);
    played.check(1, 6, true);
}

#[test]
fn a_run_that_skips_the_next_event_is_left_for_another_runner() {
    let skip: Run = |after| events(after + 2, 6) + LAST_CHUNK;
    let played = Played::new("", [|_| events(1, 3), skip, GOOD]);
    played.check(1, 6, true);
}

#[test]
fn a_run_that_a_caller_takes_up_and_that_ignores_where_to_go_on_is_left_for_another_runner() {
    let runs: [Run; 2] = [
        |_| events(1, 6) + LAST_CHUNK,
        |after| events(after, 6) + LAST_CHUNK,
    ];
    for run in runs {
        let played = Played::new("Last-Event-Id: 3\r\n", [run, GOOD]);
        played.check(4, 6, true);
    }
}

/// Nothing shows that its events follow the last one.
#[test]
fn a_run_that_goes_on_without_ids_is_left_for_another_runner() {
    let without_ids: Run = |_| chunk("retry: 9\n\n") + &chunk("data: event 1\n\n") + LAST_CHUNK;
    let played = Played::new("", [|_| events(1, 3), without_ids, GOOD]);
    let body = played.body.replace("retry: 9\n\n", "");
    Played { body, ..played }.check(1, 6, true);
}

#[test]
fn a_stream_that_may_not_be_resumed_may_begin_at_any_event() {
    let run: Run = |_| events(1, 6) + LAST_CHUNK;
    let route = json!({"can_resume": false});
    let played = Played::with_route(route, "Last-Event-Id: 3\r\n", [run]);
    played.check(1, 6, true);
}

/// The events after the step back may belong to another run.
#[test]
fn a_run_whose_ids_step_back_or_repeat_is_left_for_another_runner() {
    let runs: [Run; 2] = [
        |_| events(1, 3) + &events(1, 6) + LAST_CHUNK,
        |_| events(1, 3) + &events(3, 6) + LAST_CHUNK,
    ];
    for run in runs {
        let played = Played::new("", [run, GOOD]);
        played.check(1, 6, true);
        assert_eq!(played.attempts, 2);
    }
}

#[test]
fn a_stream_that_no_runner_goes_on_with_in_order_is_cut_off() {
    let from_start: Run = |_| events(1, 6) + LAST_CHUNK;
    let played = Played::new("", [|_| events(1, 3), from_start, from_start]);
    played.check(1, 3, false);
    assert_eq!(played.attempts, 3);
}

/// The first run began an event that the second one does not send.
#[test]
fn a_stream_that_broke_off_inside_an_event_is_not_complete_without_that_event() {
    let first: Run = |_| events(1, 3) + &chunk("id: 4\ndata: ev");
    let played = Played::new("", [first, |_| LAST_CHUNK.to_owned(), GOOD]);
    played.check(1, 6, true);
}

#[test]
fn a_run_that_skips_the_event_in_which_the_last_one_broke_off_is_left_for_another_runner() {
    let first: Run = |_| chunk("id: 1\ndata: event 1\n\nid: 2\nda");
    let played = Played::new("", [first, |_| events(3, 6) + LAST_CHUNK, GOOD]);
    played.check(1, 6, true);
}

/// Encodes events of 50,000 bytes as HTTP chunks.
fn large_events(from: u64, to: u64) -> String {
    let events = (from..=to).map(|id| chunk(&large_event(id)));
    events.collect()
}

fn large_event(id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", format!("{id:05}").repeat(10_000))
}

/// Starts runners of which each but the last one ends inside an event, after six more.
/// With `resets` the connection is reset.
fn start_large(resets: bool) -> Vec<Runner> {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let script = Arc::new(move |head: &str, stream: &mut TcpStream| {
        let after = header(head, "last-event-id").unwrap_or("0");
        let after: u64 = after.parse().expect("a number");
        let is_last = arrivals.fetch_add(1, Ordering::SeqCst) == 1;
        let body = match is_last {
            true => large_events(after + 1, 24) + LAST_CHUNK,
            false => {
                let next = chunk(&large_event(after + 13));
                large_events(after + 1, after + 12) + &next[..20_000]
            }
        };
        respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
        if resets && !is_last {
            let socket = socket2::SockRef::from(&*stream);
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        is_last
    });
    let runners = [(); 2].map(|()| {
        let script = script.clone();
        Runner::start(move |head, stream| script(head, stream))
    });
    runners.into()
}

/// The first runner ends while most of its events wait in the router and in the buffers of
/// the system.
#[test]
fn a_caller_that_reads_slowly_gets_each_event_once_across_two_runs() {
    for resets in [false, true] {
        let runners = start_large(resets);
        let (_store, router) = start_router(&[&runners[0], &runners[1]]);
        let stream = send_slowly_read(&router, &request("GET", "/stream/x", "", ""));
        let response = read_response_slowly(stream, Duration::from_millis(5));
        let (body, is_complete) = decode_chunks(&response);
        let expected: String = (1..=24).map(large_event).collect();
        assert!(body == expected && is_complete, "{}", router.log());
    }
}

#[test]
fn a_request_that_arrives_during_a_resumed_stream_is_answered_after_it() {
    let runners = start_large(false);
    let (_store, router) = start_router(&[&runners[0], &runners[1]]);
    let first = request("GET", "/stream/x", "", "").replace("Connection: close\r\n", "");
    let second = request("GET", "/none/x", "", "").replace("q1", "q2");
    let mut stream = send_slowly_read(&router, &first);
    std::thread::sleep(Duration::from_millis(50));
    std::io::Write::write_all(&mut stream, second.as_bytes()).expect("the router reads");
    let responses = read_response_slowly(stream, Duration::from_millis(5));
    let (first, second) = responses
        .split_once("0\r\n\r\n")
        .expect("the end of the stream");
    let (body, _) = decode_chunks(first);
    assert!(body == (1..=24).map(large_event).collect::<String>());
    assert!(second.starts_with("HTTP/1.1 404 "), "{second}");
}

/// Reading from a runner pauses with the caller. Its silence is no stall then.
#[test]
fn a_caller_that_pauses_does_not_move_its_stream_to_another_runner() {
    let runners = [(); 2].map(|()| {
        Runner::start(|head, stream| {
            let after = header(head, "last-event-id").unwrap_or("0");
            let after: u64 = after.parse().expect("a number");
            let body = large_events(after + 1, 160) + LAST_CHUNK;
            respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
            true
        })
    });
    let store = Store::start();
    let mut config = manifest(1, &["k1"]).expect("a manifest");
    config["routes"][0]["gap_aim_ms"] = json!(100);
    store.put("config", "main", Some(config));
    for (index, runner) in runners.iter().enumerate() {
        store.put("servers", &format!("i-{index}"), entry(runner.address, "s"));
    }
    let router = Router::start("r1", store.address);
    router.wait_ready();
    let stream = send_slowly_read(&router, &request("GET", "/stream/x", "", ""));
    std::thread::sleep(Duration::from_millis(1500));
    let response = read_response_slowly(stream, Duration::ZERO);
    let (body, is_complete) = decode_chunks(&response);
    let expected: String = (1..=160).map(large_event).collect();
    assert!(body == expected && is_complete, "{}", router.log());
    let attempts: usize = runners.iter().map(|runner| runner.requests().len()).sum();
    assert_eq!(attempts, 1, "{}", router.log());
}
