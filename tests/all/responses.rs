//! Operators' commands at routers whose responses are malformed or broken off.

use balsamchute_standin::raw::{self, End};

use crate::command::run;

const STATUS: &str = r#"{"instance":"r1","incarnation":1,"config":1,"phase":"serving","durable":true,"requests":0,"members":[],"services":[]}"#;

/// Runs `balsamchute status` at a router that sends this response, and returns whether it
/// succeeds.
fn status_succeeds(response: &str, end: End) -> bool {
    let router = raw::start(response, end).expect("a free port");
    let run = run(&["status", "--router", &router.to_string()]);
    assert_eq!(run.exit_code == 0, run.stdout.contains("r1"), "{run:?}");
    run.exit_code == 0
}

#[test]
fn a_malformed_or_cut_status_of_a_router_is_not_shown() {
    let (cut, length) = (&STATUS[..STATUS.len() - 1], STATUS.len());
    for response in [
        format!("HTTP/1.1 200 OK\r\n\r\n{cut}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{cut}"),
        format!("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{STATUS}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{STATUS}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{STATUS}\r\n"),
        format!("HTTP/1.1 200 OK\r\na b: c\r\ncontent-length: {length}\r\n\r\n{STATUS}"),
        format!("HTTP/1.1 999 X\r\ncontent-length: {length}\r\n\r\n{STATUS}"),
    ] {
        for end in [End::Close, End::Reset] {
            assert!(!status_succeeds(&response, end), "{response:?}, {end:?}");
        }
    }
}

#[test]
fn a_sound_status_of_a_router_is_shown_in_each_framing() {
    let length = STATUS.len();
    for response in [
        format!("HTTP/1.1 200 OK\r\n\r\n{STATUS}"),
        format!("HTTP/1.1 200\r\ncontent-length: {length}\r\n\r\n{STATUS}"),
        format!(
            "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n\
             HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
             {length:x};a=b\r\n{STATUS}\r\n0\r\nc: d\r\n\r\n"
        ),
    ] {
        assert!(status_succeeds(&response, End::Close), "{response:?}");
    }
}
