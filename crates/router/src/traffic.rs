//! Counts control traffic by kind, including the bytes of HTTP itself.
//!
//! The HTTP libraries do not report the bytes that they send and receive, so
//! the size of a head is computed from its parts.

use std::sync::Arc;

use balsamchute_metrics::{Direction, Traffic};
use balsamchute_platform::Client;
use ureq::Body;
use ureq::http::Response;

use crate::context::Context;
use crate::http::Request;

/// Approximate size of a request head between routers without its path, in bytes.
/// Uses the longest IPv4 address and a body length of four digits.
const REQUEST_HEAD_BYTES: usize =
    "POST  HTTP/1.1\r\nhost: 255.255.255.255:65535\r\ncontent-length: 1000\r\n\r\n".len();

/// Approximate size of a response head, in bytes.
const RESPONSE_HEAD_BYTES: usize = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n".len();

/// Size of a status line, in bytes.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200 OK\r\n".len();

/// Size of the delimiters of a header, in bytes.
const HEADER_BYTES: usize = ": \r\n".len();

/// Load report of typical length, by which load reports are counted.
const SAMPLE_LOAD_REPORT: &str =
    r#"{"age_ms":100,"incarnation":1000000000000,"models":["base"],"running":10,"slots":10}"#;

/// Returns the kind of the control traffic on a path below `/inner/`.
pub(crate) fn control_kind(path: &str) -> Traffic {
    match path {
        "exchange" => Traffic::Exchange,
        "claim" => Traffic::Claim,
        "config" | "stamp" => Traffic::Config,
        // The path `messages` carries grants, releases and needs of slots. Unknown
        // paths count here as well.
        _ => Traffic::Slots,
    }
}

/// Counts a request to another router with a body of `body_bytes`.
pub(crate) fn count_request_sent(context: &Context, path: &str, body_bytes: usize) {
    let bytes = REQUEST_HEAD_BYTES + "/inner/".len() + path.len() + body_bytes;
    count(context, control_kind(path), Direction::Out, bytes);
}

/// Counts the response of another router.
pub(crate) fn count_response_received(context: &Context, path: &str, response: &Response<Body>) {
    let headers = response.headers().iter();
    let head_bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES)
        .sum();
    let body_bytes = response.body().content_length().unwrap_or(0) as usize;
    let bytes = STATUS_LINE_BYTES + head_bytes + "\r\n".len() + body_bytes;
    count(context, control_kind(path), Direction::In, bytes);
}

/// Counts a request from another router.
pub(crate) fn count_request_received(context: &Context, request: &Request) {
    let path = request.url().trim_start_matches("/inner/");
    let head_bytes: usize = request
        .headers()
        .map(|(name, value)| name.len() + value.len() + HEADER_BYTES)
        .sum();
    let line_bytes = request.method().len() + request.url().len() + "  HTTP/1.1\r\n".len();
    let bytes = line_bytes + head_bytes + "\r\n".len() + request.body_length().unwrap_or(0);
    count(context, control_kind(path), Direction::In, bytes);
}

/// Counts the response to another router.
pub(crate) fn count_response_sent(context: &Context, url: &str, body_bytes: usize) {
    let path = url.trim_start_matches("/inner/");
    count(
        context,
        control_kind(path),
        Direction::Out,
        RESPONSE_HEAD_BYTES + body_bytes,
    );
}

/// Counts a request for a runner's load, and the report if there was one.
pub(crate) fn count_load_poll(context: &Context, succeeded: bool) {
    let request_bytes = REQUEST_HEAD_BYTES + "/load".len();
    count(context, Traffic::Target, Direction::Out, request_bytes);
    if succeeded {
        let response_bytes = RESPONSE_HEAD_BYTES + SAMPLE_LOAD_REPORT.len();
        count(context, Traffic::Target, Direction::In, response_bytes);
    }
}

/// Adds the platform calls of a client to the metrics, labelled with `part`.
pub(crate) fn register_platform_calls(context: &Context, part: &'static str, client: &Arc<Client>) {
    let client = Arc::clone(client);
    context.metrics.observe_platform_calls(part, move || {
        let calls = client.calls();
        vec![
            ("read", calls.reads),
            ("write", calls.writes),
            ("watch", calls.watches),
            ("retry", calls.retries),
            ("refused", calls.over_budget),
        ]
    });
}

fn count(context: &Context, kind: Traffic, direction: Direction, bytes: usize) {
    context
        .metrics
        .count_control(kind, direction, 1, bytes as u64);
}
