//! Answers of runners to uploads that they have not read.

use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use crate::answer::Report;
use crate::environment::{header, respond};
use crate::event::digest;
use crate::trouble::{report_trouble, set_reset_on_close};

/// Field of requests whose body is that of [`upload_of`].
pub const UPLOAD: &str = "X-Upload: 1\r\n";

/// Bytes of an upload that a runner reads before it answers early.
const FIRST_BYTES: usize = 1024;

/// Longest time in ms for which a connection stays open after an early answer that is cut off.
const MAX_RESET_DELAY_MS: u64 = 50;

/// Returns the body of a request whose caller uploads this number of bytes.
pub fn upload_of(id: &str, length: usize) -> String {
    let line = format!("{id} uploads\n");
    let mut text = line.repeat(length.div_ceil(line.len()));
    text.truncate(length);
    text
}

/// Returns whether the body of a request is that of [`upload_of`].
pub fn is_upload(head: &str) -> bool {
    header(head, "x-upload").is_some()
}

/// Way in which a runner answers an upload before it has read that.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Early {
    /// Part of the answer, without a length, and a reset after this time. The write side is
    /// closed before it, or not.
    Cut { after: Duration, has_end: bool },
    /// The whole answer with a length, or in chunks. The upload is read afterwards.
    Whole { is_chunked: bool },
}

impl Early {
    /// Returns the way for a request, by its id; `None` for an answer after the upload.
    pub fn of(head: &str) -> Option<Self> {
        let choice = digest(header(head, "x-request-id")?) / 13;
        let after = Duration::from_millis(choice / 10 % (MAX_RESET_DELAY_MS + 1));
        match choice % 10 {
            _ if !is_upload(head) || header(head, "last-event-id").is_some() => None,
            0..=2 => Some(Early::Cut {
                after,
                has_end: true,
            }),
            3 => Some(Early::Cut {
                after,
                has_end: false,
            }),
            4..=5 => Some(Early::Whole { is_chunked: false }),
            6 => Some(Early::Whole { is_chunked: true }),
            _ => None,
        }
    }
}

/// Answers an upload before it is read, with the first part or all of a body; returns whether
/// the connection stays open.
pub fn send_early(
    early: Early,
    head: &str,
    (fields, part, body): (&str, &str, &str),
    stream: &mut TcpStream,
    (runner, report): (usize, &dyn Fn(Report)),
) -> bool {
    let id = header(head, "x-request-id").unwrap_or("-");
    let mut first = [0; FIRST_BYTES];
    let length = length_of(head).min(FIRST_BYTES);
    if stream.read_exact(&mut first[..length]).is_err() {
        return false;
    }
    match early {
        Early::Cut { after, has_end } => {
            report_trouble(id, "early", report);
            respond(stream, head, 200, fields, part);
            set_reset_on_close(stream);
            if has_end {
                // The router may have closed the connection.
                let _ = stream.shutdown(Shutdown::Write);
            }
            thread::sleep(after);
            false
        }
        Early::Whole { is_chunked } => {
            let (framing, text) = match is_chunked {
                true => (
                    "Transfer-Encoding: chunked\r\n".to_owned(),
                    format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
                ),
                false => (
                    format!("Content-Length: {}\r\n", body.len()),
                    body.to_owned(),
                ),
            };
            respond(stream, head, 200, &(fields.to_owned() + &framing), &text);
            // Callers of streams may leave.
            if header(head, "x-stream").is_none() {
                report(Report::Sound {
                    id: id.to_owned(),
                    runner,
                    framing: "early".to_owned(),
                });
            }
            read_upload(head, &first[..length], stream, report)
        }
    }
}

/// Reads an upload whose first bytes were read, and checks it; returns whether it is whole.
pub fn read_upload(
    head: &str,
    first: &[u8],
    stream: &mut TcpStream,
    report: &dyn Fn(Report),
) -> bool {
    let id = header(head, "x-request-id").unwrap_or("-");
    let mut body = first.to_vec();
    body.resize(length_of(head), 0);
    if stream.read_exact(&mut body[first.len()..]).is_err() {
        return false;
    }
    if is_upload(head) && body != upload_of(id, body.len()).into_bytes() {
        report(Report::Foreign { id: id.to_owned() });
    }
    true
}

fn length_of(head: &str) -> usize {
    header(head, "content-length").map_or(0, |text| text.parse().expect("a number"))
}
