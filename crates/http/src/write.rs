//! Writing of heads and bodies.

use std::io::Write;

/// Appends the first line and nothing else of a request's head.
pub fn request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
}

/// Appends the first line of a response's head.
pub fn status_line(out: &mut Vec<u8>, status: u16, reason: &str) {
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
}

/// Appends a header field.
pub fn field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends a header field with a number.
pub fn number(out: &mut Vec<u8>, name: &str, value: u64) {
    let _ = write!(out, "{name}: {value}\r\n");
}

/// Ends the head.
pub fn end(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

/// Appends a chunk; nothing if `bytes` is empty, which would end the body.
pub fn chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let _ = write!(out, "{:x}\r\n", bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends the empty chunk that ends a body.
pub fn last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

/// Returns the usual reason phrase of a status code.
#[must_use]
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
