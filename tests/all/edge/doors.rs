//! The same requests through the own interface and through the front door of the
//! platform: each must end in the same class at both.

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use balsamchute_base::time::Span;
use balsamchute_standin::plain::{Plain, Settings};

use super::world::{Router, Runner, Store, ask, respond_whole};
use super::{entry, manifest, request};
use crate::command::{Directory, platform, run};
use crate::serve::{Router as OwnRouter, until};

/// How a request ended, and how often it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Done,
    /// Answered that it was not run.
    NotRun,
    /// Answered with nothing promised.
    Unknown,
    /// Refused as wrong.
    Wrong,
}

/// What the target does, and what the caller gets wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Case {
    Sound,
    UnknownCaller,
    UnknownService,
    TargetDown,
    TargetCuts,
    TooLate,
}

const CASES: [(Case, End, usize); 6] = [
    (Case::Sound, End::Done, 1),
    (Case::UnknownCaller, End::Wrong, 0),
    (Case::UnknownService, End::Wrong, 0),
    (Case::TargetDown, End::NotRun, 0),
    (Case::TargetCuts, End::Unknown, 1),
    (Case::TooLate, End::Unknown, 1),
];

/// Time that a call takes in the cases in which it does not come to its end.
const LONG: Duration = Duration::from_secs(3);

const INVENTORY: &str = "
domains: [{name: mids-brum, region: mids}]
services: [{name: dispatch-board, kind: plain}]
runners: [{name: db-1, service: dispatch-board, domain: mids-brum, address: 'ADDRESS', slots: 2}]
workspaces: [{name: care-home, weight: 1}]
";

fn is_long(case: Case) -> bool {
    matches!(case, Case::TargetCuts | Case::TooLate)
}

/// Sends a non-idempotent request through the own interface.
fn own(case: Case) -> (End, usize) {
    let directory = Directory::new(&format!("doors-{case:?}"));
    let store = platform();
    let time = if is_long(case) {
        LONG.as_millis() as u64
    } else {
        10
    };
    let target = Plain::start(Settings::new("db-1", 2).with_service_time(Span(time)));
    let target = target.expect("the target starts");
    let text = INVENTORY.replace("ADDRESS", &target.address().to_string());
    let file = directory.file("all.yaml", &text);
    let at = store.address().to_string();
    assert_eq!(run(&["apply", "--platform", &at, &file]).code, 0);
    let router = OwnRouter::start(&directory, "router-1", store.address());
    until("the router serves", || router.health() == Some(200));
    if case == Case::TargetDown {
        target.kill();
    }
    let service = match case {
        Case::UnknownService => "no-such-service",
        _ => "dispatch-board",
    };
    let workspace = match case {
        Case::UnknownCaller => "nobody",
        _ => "care-home",
    };
    let limit = if case == Case::TooLate { 1000 } else { 8000 };
    let text = format!(
        "POST /v1/run/{service} HTTP/1.1\r\nHost: h\r\nx-workspace: {workspace}\r\nx-request: q1\r\n\
         x-key: k1\r\nx-deadline-ms: {limit}\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let callers = router.callers;
    let caller = thread::spawn(move || ask(callers, &text));
    if case == Case::TargetCuts {
        until("the call runs", || target.running() > 0);
        target
            .cut_connections()
            .expect("the target has connections");
    }
    let answer = caller.join().expect("the caller ends");
    let end = match answer[9..12].parse() {
        Ok(400 | 404) => End::Wrong,
        _ if answer.contains("\"outcome\":\"done\"") => End::Done,
        _ if answer.contains("\"outcome\":\"not_run\"") => End::NotRun,
        _ if answer.contains("\"outcome\":\"unknown\"") => End::Unknown,
        _ => panic!("{case:?}: {answer}"),
    };
    (end, target.records().len())
}

/// Waits like a call that is under way until the router closes the connection.
fn work_long(stream: &mut TcpStream) {
    stream
        .set_read_timeout(Some(LONG))
        .expect("the time is not zero");
    // It ends by time or with the connection; both are meant.
    let _ = stream.read(&mut [0]);
}

/// Sends the same request through the front door.
fn front(case: Case) -> (End, usize) {
    let runner = Runner::start(move |head, stream| match case {
        Case::TargetCuts => false,
        Case::TooLate => {
            work_long(stream);
            false
        }
        _ => respond_whole(stream, head, "done"),
    });
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    let address = match case {
        // Nobody listens on the discard port.
        Case::TargetDown => "127.0.0.1:9".parse().expect("an address"),
        _ => runner.address,
    };
    store.put("servers", "i-1", entry(address, "s"));
    let router = Router::start(&format!("{case:?}"), store.address);
    router.wait_ready();
    let path = match case {
        Case::UnknownService => "/none/x",
        _ => "/once/x",
    };
    let mut text = request("POST", path, "Content-Length: 2\r\n", "{}");
    match case {
        Case::UnknownCaller => text = text.replace("Token k1", "Token k2"),
        Case::TooLate => text = text.replace("Ms: 8000", "Ms: 1000"),
        _ => {}
    }
    let answer = ask(router.callers, &text);
    let end = match answer[9..12].parse() {
        Ok(200) => End::Done,
        Ok(400 | 401 | 404) => End::Wrong,
        Ok(429 | 503) => End::NotRun,
        Ok(502 | 504) => End::Unknown,
        _ => panic!("{case:?}: {answer}"),
    };
    (end, runner.requests().len())
}

#[test]
fn requests_end_alike_through_both_doors() {
    for (case, end, runs) in CASES {
        assert_eq!(own(case), (end, runs), "own interface, {case:?}");
        assert_eq!(front(case), (end, runs), "front door, {case:?}");
    }
}
