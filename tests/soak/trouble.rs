//! Runners in trouble: answers without a length that are reset together, and malformed ones.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::answer::Report;
use crate::environment::{header, respond};
use crate::event::digest;

/// Signature of malformed answers. No caller may see it.
pub const SPOILT_SIGNATURE: &str = "spoilt";

/// Time within which a late copy of an answer is sent, in ms.
const MAX_COPY_DELAY_MS: u64 = 150;

/// What a runner is told to do wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Instruction {
    /// Answers that begin within this time have no length, and plain ones are held in the
    /// middle.
    Hold(Duration),
    /// This share in percent of the answers without a length is reset at once.
    Reset(u64),
    /// Some answers that begin within this time are malformed.
    Malform(Duration),
}

impl Instruction {
    /// Returns the instruction as a line without its end.
    pub fn encode(self) -> String {
        match self {
            Instruction::Hold(time) => format!("hold {}", time.as_millis()),
            Instruction::Reset(share) => format!("reset {share}"),
            Instruction::Malform(time) => format!("malform {}", time.as_millis()),
        }
    }

    /// Reads a line of [`Instruction::encode`].
    pub fn decode(line: &str) -> Option<Self> {
        let (name, value) = line.split_once(' ')?;
        let value: u64 = value.parse().ok()?;
        match name {
            "hold" => Some(Instruction::Hold(Duration::from_millis(value))),
            "reset" => Some(Instruction::Reset(value)),
            "malform" => Some(Instruction::Malform(Duration::from_millis(value))),
            _ => None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    held_until: Option<Instant>,
    malformed_until: Option<Instant>,
    /// Number of resets, and the share in percent of the last one.
    resets: u64,
    share: u64,
}

/// Trouble of a runner, and the answers that wait for their reset.
#[derive(Debug, Default)]
pub struct Trouble {
    state: Mutex<State>,
    changed: Condvar,
}

impl Trouble {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }

    /// Carries out an instruction.
    pub fn apply(&self, instruction: Instruction) {
        let mut state = self.state();
        match instruction {
            Instruction::Hold(time) => state.held_until = Some(Instant::now() + time),
            Instruction::Reset(share) => {
                state.resets += 1;
                state.share = share;
                self.changed.notify_all();
            }
            Instruction::Malform(time) => state.malformed_until = Some(Instant::now() + time),
        }
    }

    /// Returns the number of resets so far.
    pub fn resets(&self) -> u64 {
        self.state().resets
    }

    /// Returns the time until which answers are held.
    pub fn held_until(&self) -> Option<Instant> {
        self.state()
            .held_until
            .filter(|until| *until > Instant::now())
    }

    /// Waits until `deadline`, or for a reset after the first `resets` that concerns the answer
    /// to request `id`; returns whether there was one.
    pub fn wait(&self, id: &str, resets: &mut u64, deadline: Instant) -> bool {
        let mut state = self.state();
        loop {
            if state.resets != *resets {
                *resets = state.resets;
                if digest(&format!("{id}/{resets}")) % 100 < state.share {
                    return true;
                }
            }
            let time = deadline.saturating_duration_since(Instant::now());
            if time.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(state, time);
            state = waited.expect("no thread panicked").0;
        }
    }

    /// Returns the way in which the answer to request `id` is malformed; `None` for a sound
    /// one.
    pub fn malformation(&self, id: &str) -> Option<Malformation> {
        let until = self.state().malformed_until?;
        let choice = digest(id) / 31;
        if until < Instant::now() || !choice.is_multiple_of(3) {
            return None;
        }
        let kinds = [
            Malformation::Status("000"),
            Malformation::Status("099"),
            Malformation::Status("600"),
            Malformation::Status("999"),
            Malformation::Field("X Blank"),
            Malformation::Field("X\u{1}Control"),
            Malformation::Trailer("X Blank"),
            Malformation::Trailer("X\u{1}Control"),
            Malformation::TwoIds,
            Malformation::Version,
            Malformation::Copy,
        ];
        Some(kinds[(choice / 3) as usize % kinds.len()])
    }
}

/// Way in which an answer is malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Malformation {
    /// This status, which is none.
    Status(&'static str),
    /// A field of this name in the head.
    Field(&'static str),
    /// A field of this name in the trailer.
    Trailer(&'static str),
    /// `X-Request-Id` twice, the second one of another request.
    TwoIds,
    /// HTTP/1.0 with chunks.
    Version,
    /// A sound answer, and a late copy of it on the same connection.
    Copy,
}

impl Malformation {
    fn as_str(self) -> &'static str {
        match self {
            Malformation::Status(_) => "malformed status",
            Malformation::Field(_) => "malformed field",
            Malformation::Trailer(_) => "malformed trailer",
            Malformation::TwoIds => "two ids",
            Malformation::Version => "malformed version",
            Malformation::Copy => "late copy",
        }
    }
}

/// Reports that the answer to request `id` may be spoilt.
pub fn report_trouble(id: &str, cause: &str, report: &dyn Fn(Report)) {
    report(Report::Trouble {
        id: id.to_owned(),
        cause: cause.replace(' ', "-"),
    });
}

/// Sends a malformed answer to request `id`. A copy is sent by [`send_copy`].
pub fn send_malformed(
    kind: Malformation,
    id: &str,
    is_stream: bool,
    stream: &mut TcpStream,
    report: &dyn Fn(Report),
) {
    report_trouble(id, kind.as_str(), report);
    let body = match is_stream {
        true => format!("id: 1\ndata: spoilt answer to {id}\n\n"),
        false => format!("spoilt answer to {id}"),
    };
    let content_type = match is_stream {
        true => "Content-Type: text/event-stream\r\n",
        false => "",
    };
    let own =
        format!("X-Request-Id: {id}\r\nX-Answer-Signature: {SPOILT_SIGNATURE}\r\n{content_type}");
    let length = format!("Content-Length: {}\r\n", body.len());
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n", body.len());
    let chunked = "Transfer-Encoding: chunked\r\n";
    let text = match kind {
        Malformation::Status(status) => {
            format!("HTTP/1.1 {status} X\r\n{own}{length}\r\n{body}")
        }
        Malformation::Field(name) => {
            format!("HTTP/1.1 200 X\r\n{own}{name}: 1\r\n{length}\r\n{body}")
        }
        Malformation::Trailer(name) => {
            format!("HTTP/1.1 200 X\r\n{own}{chunked}\r\n{chunks}{name}: 1\r\n\r\n")
        }
        Malformation::TwoIds => {
            format!("HTTP/1.1 200 X\r\n{own}X-Request-Id: another\r\n{length}\r\n{body}")
        }
        Malformation::Version => format!("HTTP/1.0 200 X\r\n{own}{chunked}\r\n{chunks}\r\n"),
        Malformation::Copy => return,
    };
    // The router may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

/// Sends the answer to request `id` a second time, after a while.
pub fn send_copy(
    head: &str,
    fields: &str,
    body: &str,
    stream: &mut TcpStream,
    report: &dyn Fn(Report),
) {
    let id = header(head, "x-request-id").unwrap_or("-");
    report_trouble(id, Malformation::Copy.as_str(), report);
    thread::sleep(Duration::from_millis(digest(id) / 17 % MAX_COPY_DELAY_MS));
    respond(stream, head, 200, fields, body);
}

/// Makes the system reset the connection when `stream` is dropped.
pub fn set_reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // The connection may have ended.
    let _ = socket.set_linger(Some(Duration::ZERO));
}

/// Sends a plain answer without a length, half of it until it is reset or `until`; the
/// connection ends with it.
pub fn send_held(
    trouble: &Trouble,
    until: Instant,
    head: &str,
    (fields, body): (&str, &str),
    stream: &mut TcpStream,
    report: &dyn Fn(Report),
) {
    let id = header(head, "x-request-id").unwrap_or("-");
    let mut resets = trouble.resets();
    report_trouble(id, "reset", report);
    let (first, rest) = body.split_at(body.len() / 2);
    respond(stream, head, 200, fields, first);
    if trouble.wait(id, &mut resets, until) {
        set_reset_on_close(stream);
        return;
    }
    // The router may have closed the connection.
    let _ = stream.write_all(rest.as_bytes());
}
