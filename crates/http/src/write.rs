//! Encoding of message heads and chunked bodies.
//!
//! Results of `write!` are discarded, because writing to a `Vec` cannot fail.

use std::io::Write;

/// Appends the request line, without any header fields.
pub fn request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
}

/// Appends the status line of a response.
pub fn status_line(out: &mut Vec<u8>, status: u16, reason: &str) {
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
}

/// Appends a header field with its CR LF.
pub fn field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends a header field with a decimal value.
pub fn numeric_field(out: &mut Vec<u8>, name: &str, value: u64) {
    let _ = write!(out, "{name}: {value}\r\n");
}

/// Appends the empty line that ends a head.
pub fn end_head(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

/// Appends `bytes` as one chunk. Appends nothing if `bytes` is empty, because a
/// chunk of size zero would end the body.
pub fn chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let _ = write!(out, "{:x}\r\n", bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends the chunk of size zero that ends a body, without trailer fields.
pub fn last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

/// Returns the standard reason phrase of a status code that routers send to
/// callers, or `Error` for any other code.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
