//! Counts control traffic by kind, HTTP's own bytes included.
//!
//! The HTTP libraries do not tell how many bytes they move, so the size of a
//! head is worked out from its parts.

use std::sync::Arc;

use balsamchute_metrics::{Control, Direction};
use balsamchute_platform::Client;
use tiny_http::Request;
use ureq::Body;
use ureq::http::Response;

use crate::work::Work;

/// Bytes of a request's head between routers without its path.
const REQUEST_HEAD_BYTES: usize =
    "POST  HTTP/1.1\r\nhost: 255.255.255.255:65535\r\ncontent-length: 1000\r\n\r\n".len();

/// Bytes of the head of an answer by the server library.
const ANSWER_HEAD_BYTES: usize = "HTTP/1.1 200 OK\r\nServer: tiny-http (Rust)\r\n\
    Date: Thu, 01 Jan 1970 00:00:00 GMT\r\nContent-Length: 1000\r\n\r\n"
    .len();

/// Bytes of a status line.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200 OK\r\n".len();

/// Bytes around the name and the value of a header.
const HEADER_BYTES: usize = ": \r\n".len();

/// A load report.
const LOAD_REPORT: &str =
    r#"{"age_ms":100,"incarnation":1000000000000,"models":["base"],"running":10,"slots":10}"#;

/// Returns the kind of the control traffic on a path below `/inner/`.
pub(crate) fn kind(path: &str) -> Control {
    match path {
        "exchange" => Control::Exchange,
        "claim" => Control::Claim,
        "config" | "stamp" => Control::Config,
        _ => Control::Slots,
    }
}

/// Counts a request to another router.
pub(crate) fn sent(work: &Work, path: &str, body: usize) {
    let bytes = REQUEST_HEAD_BYTES + "/inner/".len() + path.len() + body;
    count(work, kind(path), Direction::Out, bytes);
}

/// Counts the answer of another router.
pub(crate) fn answered(work: &Work, path: &str, answer: &Response<Body>) {
    let headers = answer.headers().iter();
    let head: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES)
        .sum();
    let body = answer.body().content_length().unwrap_or(0) as usize;
    let bytes = STATUS_LINE_BYTES + head + "\r\n".len() + body;
    count(work, kind(path), Direction::In, bytes);
}

/// Counts a request of another router.
pub(crate) fn received(work: &Work, request: &Request) {
    let path = request.url().trim_start_matches("/inner/");
    let headers = request.headers().iter();
    let head: usize = headers
        .map(|header| header.field.as_str().as_str().len() + header.value.as_str().len())
        .map(|bytes| bytes + HEADER_BYTES)
        .sum();
    let line = request.method().as_str().len() + request.url().len() + "  HTTP/1.1\r\n".len();
    let bytes = line + head + "\r\n".len() + request.body_length().unwrap_or(0);
    count(work, kind(path), Direction::In, bytes);
}

/// Counts the answer to another router.
pub(crate) fn answer(work: &Work, url: &str, body: usize) {
    let path = url.trim_start_matches("/inner/");
    count(work, kind(path), Direction::Out, ANSWER_HEAD_BYTES + body);
}

/// Counts a load report of a runner, or a request for one that got none.
pub(crate) fn polled(work: &Work, answered: bool) {
    let asked = REQUEST_HEAD_BYTES + "/load".len();
    count(work, Control::Target, Direction::Out, asked);
    if answered {
        let report = ANSWER_HEAD_BYTES + LOAD_REPORT.len();
        count(work, Control::Target, Direction::In, report);
    }
}

/// Shows the calls of a client of the platform.
pub(crate) fn watch_platform(work: &Work, part: &'static str, client: &Arc<Client>) {
    let client = Arc::clone(client);
    work.metrics.watch_calls(part, move || {
        let calls = client.calls();
        vec![
            ("read", calls.reads),
            ("write", calls.writes),
            ("watch", calls.watches),
            ("retry", calls.retries),
            ("refused", calls.refused),
        ]
    });
}

fn count(work: &Work, kind: Control, direction: Direction, bytes: usize) {
    work.metrics.count_control(kind, direction, 1, bytes as u64);
}
