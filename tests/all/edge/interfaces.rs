//! The same requests through both interfaces, the native one of `balsamchute serve` and
//! the platform's one of `balsamchute edge`: each must end in the same class at both.

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use balsamchute_base::time::Span;
use balsamchute_standin::plain::{Plain, Settings};

use super::environment::{Router, Runner, Store, respond_with_body, send_raw};
use super::{entry, manifest, request};
use crate::command::{TempDir, run, start_platform};
use crate::serve::{Router as NativeRouter, wait_until};

/// Class of the response to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Class {
    Done,
    /// The response says that the request was not executed.
    NotRun,
    /// The response leaves open whether the request was executed.
    Unknown,
    /// The request is invalid or unauthorized.
    Rejected,
}

/// Condition of the request and of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Case {
    Valid,
    UnknownCaller,
    UnknownService,
    TargetDown,
    TargetDisconnects,
    DeadlineExceeded,
}

/// Each case with the expected class and number of executions at the target.
const CASES: [(Case, Class, usize); 6] = [
    (Case::Valid, Class::Done, 1),
    (Case::UnknownCaller, Class::Rejected, 0),
    (Case::UnknownService, Class::Rejected, 0),
    (Case::TargetDown, Class::NotRun, 0),
    (Case::TargetDisconnects, Class::Unknown, 1),
    (Case::DeadlineExceeded, Class::Unknown, 1),
];

/// Service time of a call in the cases in which it does not complete.
const LONG_CALL: Duration = Duration::from_secs(3);

const INVENTORY: &str = "
domains: [{name: mids-brum, region: mids}]
services: [{name: dispatch-board, kind: plain}]
runners: [{name: db-1, service: dispatch-board, domain: mids-brum, address: 'ADDRESS', slots: 2}]
workspaces: [{name: care-home, weight: 1}]
";

/// Returns whether the call must still run when the case ends it.
fn is_cut_short(case: Case) -> bool {
    matches!(case, Case::TargetDisconnects | Case::DeadlineExceeded)
}

/// Sends a non-idempotent request to a router with the native interface; returns the
/// class of the response and the number of executions.
fn run_native(case: Case) -> (Class, usize) {
    let dir = TempDir::new(&format!("interfaces-{case:?}"));
    let store = start_platform();
    let service_time_ms = if is_cut_short(case) {
        LONG_CALL.as_millis() as u64
    } else {
        10
    };
    let target = Plain::start(Settings::new("db-1", 2).with_service_time(Span(service_time_ms)));
    let target = target.expect("the target starts");
    let text = INVENTORY.replace("ADDRESS", &target.address().to_string());
    let file = dir.write("all.yaml", &text);
    let store_address = store.address().to_string();
    assert_eq!(
        run(&["apply", "--platform", &store_address, &file]).exit_code,
        0
    );
    let router = NativeRouter::start(&dir, "router-1", store.address());
    wait_until("the router serves", || router.health() == Some(200));
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
    let deadline_ms = if case == Case::DeadlineExceeded {
        1000
    } else {
        8000
    };
    let text = format!(
        "POST /v1/run/{service} HTTP/1.1\r\nHost: h\r\nx-workspace: {workspace}\r\nx-request: q1\r\n\
         x-key: k1\r\nx-deadline-ms: {deadline_ms}\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let callers = router.callers;
    let caller = thread::spawn(move || send_raw(callers, &text));
    if case == Case::TargetDisconnects {
        wait_until("the call is running", || target.running() > 0);
        target
            .drop_connections()
            .expect("the target has connections");
    }
    let response = caller.join().expect("the caller ends");
    // The status follows "HTTP/1.1 ".
    let class = match response[9..12].parse() {
        Ok(400 | 404) => Class::Rejected,
        _ if response.contains("\"outcome\":\"done\"") => Class::Done,
        _ if response.contains("\"outcome\":\"not_run\"") => Class::NotRun,
        _ if response.contains("\"outcome\":\"unknown\"") => Class::Unknown,
        _ => panic!("{case:?}: {response}"),
    };
    (class, target.records().len())
}

/// Blocks like a running call until the router closes the connection, for at most
/// [`LONG_CALL`].
fn wait_for_disconnect(stream: &mut TcpStream) {
    stream
        .set_read_timeout(Some(LONG_CALL))
        .expect("the time is not zero");
    // Either the timeout or the end of the connection ends the call.
    let _ = stream.read(&mut [0]);
}

/// Sends the same request to an edge router; returns the class of the response and the
/// number of requests that reached the runner.
fn run_edge(case: Case) -> (Class, usize) {
    let runner = Runner::start(move |head, stream| match case {
        Case::TargetDisconnects => false,
        Case::DeadlineExceeded => {
            wait_for_disconnect(stream);
            false
        }
        _ => respond_with_body(stream, head, "done"),
    });
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    let address = match case {
        // Nothing listens on the discard port.
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
        Case::DeadlineExceeded => text = text.replace("Ms: 8000", "Ms: 1000"),
        _ => {}
    }
    let response = send_raw(router.callers, &text);
    // The status follows "HTTP/1.1 ".
    let class = match response[9..12].parse() {
        Ok(200) => Class::Done,
        Ok(400 | 401 | 404) => Class::Rejected,
        Ok(429 | 503) => Class::NotRun,
        Ok(502 | 504) => Class::Unknown,
        _ => panic!("{case:?}: {response}"),
    };
    (class, runner.requests().len())
}

#[test]
fn requests_end_in_the_same_class_through_both_interfaces() {
    for (case, class, executions) in CASES {
        assert_eq!(
            run_native(case),
            (class, executions),
            "native interface, {case:?}"
        );
        assert_eq!(run_edge(case), (class, executions), "edge router, {case:?}");
    }
}

/// The exit code that the help of the command names for faulty settings.
#[test]
fn an_edge_router_with_invalid_settings_exits_with_code_3() {
    let dir = TempDir::new("edge-invalid-settings");
    let file = dir.write("settings.toml", "node_name = 3\n");
    let result = run(&["edge", "--settings", &file]);
    assert_eq!(result.exit_code, 3, "{result:?}");
}
