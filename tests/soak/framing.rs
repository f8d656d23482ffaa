//! Framings of sound answers to plain requests.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::environment::{header, respond};
use crate::event::digest;

/// Ways in which sound plain answers are framed besides a length.
const CHUNKED: &str = "chunked";
const CLOSE: &str = "close";
/// Same, if the runner's report does not name its start.
pub const UNNAMED_CLOSE: &str = "close-unnamed";
const INTERIM: &str = "interim";
const NO_REASON: &str = "no-reason";

/// Returns the framing of the sound answer to a plain request, by a number up to 99 that
/// follows from its id; `None` for those that are not followed to their callers.
pub fn framing_of(choice: u64) -> Option<&'static str> {
    match choice {
        7 | 16 => Some(CLOSE),
        8..=9 => Some(CHUNKED),
        10..=11 => Some(INTERIM),
        12..=13 => Some(NO_REASON),
        14..=15 => Some("length"),
        _ => None,
    }
}

/// Sends a sound answer in a framing of [`framing_of`]; returns whether the connection stays
/// open.
pub fn send_framed(
    framing: &str,
    head: &str,
    (fields, body): (&str, &str),
    stream: &mut TcpStream,
) -> bool {
    let id = header(head, "x-request-id").unwrap_or("-");
    let length = format!("Content-Length: {}\r\n", body.len());
    match framing {
        CLOSE => {
            respond(stream, head, 200, fields, body);
            return false;
        }
        CHUNKED => {
            let (first, rest) = body.split_at(body.len() / 2);
            let chunks = format!(
                "{:x};part=1\r\n{first}\r\n{:X};last;note=\"a b\"\r\n{rest}\r\n0;end\r\nX-Checksum: 1\r\nX-Note: a b\r\n\r\n",
                first.len(),
                rest.len()
            );
            let fields = format!("{fields}Transfer-Encoding: chunked\r\nTrailer: X-Checksum\r\n");
            respond(stream, head, 200, &fields, &chunks);
        }
        INTERIM => {
            // The router may have closed the connection.
            let _ = stream.write_all(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
            thread::sleep(Duration::from_millis(digest(id) % 5));
            let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            respond(stream, head, 200, &(fields.to_owned() + &length), body);
        }
        NO_REASON => {
            let text = format!(
                "HTTP/1.1 200 \r\nX-Request-Id: {id}\r\nX-Answer-Signature: s\r\n{fields}{length}\r\n{body}"
            );
            let _ = stream.write_all(text.as_bytes());
        }
        _ => respond(stream, head, 200, &(fields.to_owned() + &length), body),
    }
    true
}
