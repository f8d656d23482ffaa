//! Answers of runners, which are threads of the soak or processes.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::early::{Early, send_early};
use crate::environment::{header, respond};
use crate::event::{self, Run, digest, event_of};
use crate::framing::{UNNAMED_CLOSE, framing_of, send_framed};
use crate::trouble::{self, Malformation, Trouble, set_reset_on_close};

/// Requests that wait at a runner without a free slot; further ones are turned away.
const QUEUE: usize = 4;

/// Time after which a runner with limited slots closes a connection without a request, and
/// the seconds that it names for that.
pub const IDLE_TIME: Duration = Duration::from_millis(5500);
const KEEP_ALIVE_S: u64 = 5;

#[derive(Debug, Default)]
struct Load {
    present: usize,
    running: usize,
}

/// Slots of a runner, and the requests that use them or wait for one.
#[derive(Debug)]
pub struct Slots {
    /// Requests that run at once; `None` for any number.
    limit: Option<usize>,
    load: Mutex<Load>,
    freed: Condvar,
}

impl Slots {
    pub fn new(limit: Option<usize>) -> Self {
        Slots {
            limit,
            load: Mutex::default(),
            freed: Condvar::new(),
        }
    }

    /// Returns whether their number is limited.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    fn load(&self) -> MutexGuard<'_, Load> {
        self.load.lock().expect("no thread panicked")
    }

    /// Adds a request; `None` if the runner is full.
    fn enter(&self) -> Option<Permit<'_>> {
        let mut load = self.load();
        if self
            .limit
            .is_some_and(|limit| load.present >= limit + QUEUE)
        {
            return None;
        }
        load.present += 1;
        Some(Permit {
            slots: self,
            runs: false,
        })
    }

    /// Returns the fields that answers name the load in.
    fn fields(&self) -> String {
        let Some(limit) = self.limit else {
            return String::new();
        };
        let load = self.load();
        let waiting = load.present - load.running;
        format!(
            "X-Runner-Load: {},{waiting},{limit}\r\nKeep-Alive: timeout={KEEP_ALIVE_S}\r\n",
            load.running
        )
    }
}

/// Request at a runner.
struct Permit<'a> {
    slots: &'a Slots,
    runs: bool,
}

impl Permit<'_> {
    /// Waits for a free slot until `deadline`; returns whether the request has one.
    fn wait(&mut self, deadline: Instant) -> bool {
        let is_full = |load: &mut Load| self.slots.limit.is_some_and(|limit| load.running >= limit);
        let time = deadline.saturating_duration_since(Instant::now());
        let waited = self
            .slots
            .freed
            .wait_timeout_while(self.slots.load(), time, is_full);
        let (mut load, result) = waited.expect("no thread panicked");
        self.runs = !result.timed_out();
        load.running += usize::from(self.runs);
        self.runs
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut load = self.slots.load();
        load.present -= 1;
        load.running -= usize::from(self.runs);
        self.slots.freed.notify_one();
    }
}

/// Notices that a runner puts into its answers, and the number of times that its connections
/// were reset.
#[derive(Debug, Default)]
pub struct Notices {
    pub is_leaving: AtomicBool,
    /// Requests per second that the runner names; 0 for none.
    pub limit: AtomicU64,
    pub resets: AtomicU64,
    /// What the runner does wrong beside that.
    pub trouble: Trouble,
}

impl Notices {
    fn fields(&self) -> String {
        let mut fields = String::new();
        if self.is_leaving.load(Ordering::SeqCst) {
            fields.push_str("Server-Leaving: 1\r\n");
        }
        match self.limit.load(Ordering::SeqCst) {
            0 => {}
            limit => fields.push_str(&format!("Server-Limit: {limit}.0\r\n")),
        }
        fields
    }
}

/// Report of a runner to the judge.
#[derive(Clone, Debug)]
pub enum Report {
    /// A request arrived, with `Last-Event-Id` or 0.
    Arrival {
        id: String,
        runner: usize,
        runs: bool,
        after: u64,
    },
    /// A request for another runner arrived.
    Astray {
        id: String,
        runner: usize,
        expected: String,
    },
    /// The time limit of a request has passed, and the runner stops before this event.
    Stop {
        id: String,
        runner: usize,
        event: u64,
    },
    /// A request whose prompt part ends the runner arrived.
    Crash { part: u64, runner: usize },
    /// The answer to a request may be spoilt, for this cause.
    Trouble { id: String, cause: String },
    /// A sound answer was sent in this framing.
    Sound {
        id: String,
        runner: usize,
        framing: String,
    },
    /// A request brought other bytes than its caller sent.
    Foreign { id: String },
    /// A runner is about to break off an answer.
    Break { runner: usize },
}

impl Report {
    /// Returns the report as a line without its end.
    pub fn encode(&self) -> String {
        match self {
            Report::Arrival {
                id,
                runner,
                runs,
                after,
            } => format!("arrival {id} {runner} {runs} {after}"),
            Report::Astray {
                id,
                runner,
                expected,
            } => format!("astray {id} {runner} {expected}"),
            Report::Stop { id, runner, event } => format!("stop {id} {runner} {event}"),
            Report::Crash { part, runner } => format!("crash {part} {runner}"),
            Report::Trouble { id, cause } => format!("trouble {id} {cause}"),
            Report::Sound {
                id,
                runner,
                framing,
            } => format!("sound {id} {runner} {framing}"),
            Report::Foreign { id } => format!("foreign {id}"),
            Report::Break { runner } => format!("break {runner}"),
        }
    }

    /// Reads a line of [`Report::encode`].
    pub fn decode(line: &str) -> Option<Self> {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["arrival", id, runner, runs, after] => Some(Report::Arrival {
                id: id.to_owned(),
                runner: runner.parse().ok()?,
                runs: runs.parse().ok()?,
                after: after.parse().ok()?,
            }),
            ["astray", id, runner, expected] => Some(Report::Astray {
                id: id.to_owned(),
                runner: runner.parse().ok()?,
                expected: expected.to_owned(),
            }),
            ["stop", id, runner, event] => Some(Report::Stop {
                id: id.to_owned(),
                runner: runner.parse().ok()?,
                event: event.parse().ok()?,
            }),
            ["crash", part, runner] => Some(Report::Crash {
                part: part.parse().ok()?,
                runner: runner.parse().ok()?,
            }),
            ["trouble", id, cause] => Some(Report::Trouble {
                id: id.to_owned(),
                cause: cause.to_owned(),
            }),
            ["sound", id, runner, framing] => Some(Report::Sound {
                id: id.to_owned(),
                runner: runner.parse().ok()?,
                framing: framing.to_owned(),
            }),
            ["break", runner] => Some(Report::Break {
                runner: runner.parse().ok()?,
            }),
            ["foreign", id] => Some(Report::Foreign { id: id.to_owned() }),
            _ => None,
        }
    }
}

/// One lifetime of a runner.
#[derive(Debug)]
pub struct Life {
    pub number: usize,
    pub born: u64,
    pub version: usize,
    /// Whether the runner's report names the start.
    pub is_named: bool,
    /// Runners that had the address before.
    pub former: Vec<usize>,
    /// Number of runs so far.
    pub runs: AtomicU64,
    pub slots: Arc<Slots>,
}

/// Returns the whole answer to a plain request; its length varies with the id.
pub fn body_of(id: &str) -> String {
    let padding = digest(id) % 3000;
    format!("answer to {id} {}", "x".repeat(padding as usize))
}

/// Returns the part of a prompt that crashes runners.
pub fn bad_part(head: &str) -> Option<u64> {
    let prefix = header(head, "x-prompt-prefix")?;
    let part = prefix.split(',').nth(1)?.split(':').next()?;
    u64::from_str_radix(part, 16)
        .ok()
        .filter(|part| *part > 1000)
}

/// Returns the time at which a runner stops work on a request that arrives now.
fn deadline_of(head: &str) -> Instant {
    let ms = header(head, "x-deadline-ms").and_then(|text| text.parse().ok());
    Instant::now() + Duration::from_millis(ms.unwrap_or(60_000))
}

/// Answers a request at a runner; returns whether the connection stays open. Some requests,
/// by their id, are turned away, broken off, spoilt or answered twice.
pub fn answer(
    life: &Life,
    notices: &Notices,
    head: &str,
    stream: &mut TcpStream,
    report: &dyn Fn(Report),
) -> bool {
    let deadline = deadline_of(head);
    if life.slots.is_limited() {
        // The connection may have ended.
        let _ = stream.set_read_timeout(Some(IDLE_TIME));
    }
    let id = header(head, "x-request-id").unwrap_or("-").to_owned();
    let after = header(head, "last-event-id").map_or(0, |text| text.parse().unwrap_or(0));
    let arrival = |runs| Report::Arrival {
        id: id.clone(),
        runner: life.number,
        runs,
        after,
    };
    let expected = header(head, "x-expect-instance").unwrap_or("-");
    let is_former = |number: &usize| expected == format!("i-{number}");
    let fields = notices.fields() + &life.slots.fields();
    if life.former.iter().any(is_former) {
        report(arrival(false));
        let fields = format!("X-Not-Executed: 1\r\n{fields}Content-Length: 0\r\n");
        respond(stream, head, 421, &fields, "");
        return true;
    }
    if expected != format!("i-{}", life.number) {
        report(Report::Astray {
            id: id.clone(),
            runner: life.number,
            expected: expected.to_owned(),
        });
    }
    let choice = digest(&id) / 7 % 100;
    if choice < 3 {
        report(arrival(false));
        let retry = if choice == 0 {
            "Retry-After: 0.5\r\n"
        } else {
            ""
        };
        let fields = format!("X-Not-Executed: 1\r\n{retry}{fields}Content-Length: 0\r\n");
        respond(stream, head, 503, &fields, "");
        return true;
    }
    let Some(mut permit) = life.slots.enter() else {
        report(arrival(false));
        let fields = format!("X-Not-Executed: 1\r\n{fields}Content-Length: 0\r\n");
        respond(stream, head, 503, &fields, "");
        return true;
    };
    report(arrival(true));
    if !permit.wait(deadline) {
        let fields = format!("{fields}Content-Length: 0\r\n");
        respond(stream, head, 504, &fields, "");
        return true;
    }
    thread::sleep(Duration::from_millis(digest(&id) % 40));
    let malformation = notices.trouble.malformation(&id);
    if let Some(kind) = malformation.filter(|kind| *kind != Malformation::Copy) {
        let is_stream = header(head, "x-stream").is_some();
        // The events of a stream arrive before its trailer, so only its end would be spoilt.
        if !is_stream || !matches!(kind, Malformation::Trailer(_)) {
            trouble::send_malformed(kind, &id, is_stream, stream, report);
            return true;
        }
    }
    if let Some(name) = header(head, "x-stream") {
        let run = Run {
            request: id.clone(),
            runner: life.number,
            born: life.born,
            count: life.runs.fetch_add(1, Ordering::SeqCst),
            version: life.version,
            after,
        };
        let stopped = |event| {
            report(Report::Stop {
                id: id.clone(),
                runner: life.number,
                event,
            });
        };
        let limits = (deadline, &stopped as &dyn Fn(u64));
        let sent = send_stream(name, &run, notices, limits, head, stream, report);
        if sent.is_none() {
            report(Report::Break {
                runner: life.number,
            });
        }
        return sent == Some(true);
    }
    let body = body_of(&id);
    if let Some(until) = notices.trouble.held_until() {
        let parts = (fields.as_str(), body.as_str());
        trouble::send_held(&notices.trouble, until, head, parts, stream, report);
        return false;
    }
    if let Some(framing) = framing_of(choice) {
        let is_kept = send_framed(framing, head, (&fields, &body), stream);
        let framing = match is_kept || life.is_named {
            true => framing.to_owned(),
            false => UNNAMED_CLOSE.to_owned(),
        };
        report(Report::Sound {
            id,
            runner: life.number,
            framing,
        });
        return is_kept;
    }
    let fields = format!("{fields}Content-Length: {}\r\n", body.len());
    match choice {
        // The answer is lost.
        3 => {
            report(Report::Break {
                runner: life.number,
            });
            return false;
        }
        // It breaks off.
        4 => {
            report(Report::Break {
                runner: life.number,
            });
            respond(stream, head, 200, &fields, &body[..body.len() / 2]);
            return false;
        }
        // It comes twice.
        5..=6 => respond(stream, head, 200, &fields, &body),
        _ => {}
    }
    respond(stream, head, 200, &fields, &body);
    if malformation == Some(Malformation::Copy) {
        trouble::send_copy(head, &fields, &body, stream, report);
    }
    true
}

/// Returns whether a request is for the runner that the life is of.
pub fn is_for(life: &Life, head: &str) -> bool {
    header(head, "x-expect-instance") == Some(&format!("i-{}", life.number))
}

/// Answers an upload that was not read yet; returns whether the connection stays open.
pub fn answer_early(
    early: Early,
    (life, notices): (&Life, &Notices),
    head: &str,
    stream: &mut TcpStream,
    report: &dyn Fn(Report),
) -> bool {
    let id = header(head, "x-request-id").unwrap_or("-");
    report(Report::Arrival {
        id: id.to_owned(),
        runner: life.number,
        runs: true,
        after: 0,
    });
    let sender = (life.number, report);
    let fields = notices.fields() + &life.slots.fields();
    let Some(name) = header(head, "x-stream") else {
        let body = body_of(id);
        let parts = (fields.as_str(), &body[..body.len() / 2], body.as_str());
        return send_early(early, head, parts, stream, sender);
    };
    let run = Run {
        request: id.to_owned(),
        runner: life.number,
        born: life.born,
        count: life.runs.fetch_add(1, Ordering::SeqCst),
        version: life.version,
        after: 0,
    };
    let total = event::total_of(name);
    let text =
        |events: u64| -> String { (1..=events).map(|at| event_of(name, at, &run)).collect() };
    let (part, body) = (text(total / 2), text(total));
    let fields = fields + "Content-Type: text/event-stream\r\n";
    send_early(early, head, (&fields, &part, &body), stream, sender)
}

/// Event at which a run breaks off, and whether inside it.
fn cut_of(name: &str, run: &Run, is_chunked: bool) -> Option<(u64, bool)> {
    let choice = digest(&format!("{}/{}", run.request, run.after));
    let total = event::total_of(name);
    if choice % 100 >= 10 || run.after >= total {
        return None;
    }
    let event = run.after + 1 + choice / 101 % (total - run.after);
    // An end between two events is only known to be early if chunks show it.
    let is_inside = !is_chunked || !(choice / 103).is_multiple_of(3);
    Some((event, is_inside))
}

/// Sends a stream; returns whether the connection stays open, or `None` if the stream is broken
/// off.
fn send_stream(
    name: &str,
    run: &Run,
    notices: &Notices,
    (deadline, stopped): (Instant, &dyn Fn(u64)),
    head: &str,
    stream: &mut TcpStream,
    report: &dyn Fn(Report),
) -> Option<bool> {
    let resets = notices.resets.load(Ordering::SeqCst);
    let mut common_resets = notices.trouble.resets();
    let choice = digest(&run.request) / 7 % 100;
    // Some answers have no length and end with the connection.
    let is_held = notices.trouble.held_until().is_some();
    let is_chunked = !choice.is_multiple_of(4) && !is_held;
    if is_held {
        trouble::report_trouble(&run.request, "reset", report);
    }
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked\r\n",
        false => "",
    };
    let fields = notices.fields();
    let fields = format!("{fields}Content-Type: text/event-stream\r\n{framing}");
    respond(stream, head, 200, &fields, "");
    // The first run of some breaks off before its first event.
    if run.after == 0 && choice == 12 {
        return None;
    }
    let cut = cut_of(name, run, is_chunked);
    let gap = Duration::from_millis(event::gap_of(name));
    for event in run.after + 1..=event::total_of(name) {
        if Instant::now() >= deadline {
            stopped(event);
            return None;
        }
        let text = event_of(name, event, run);
        let is_cut = cut.is_some_and(|(at, _)| at == event);
        let part = match cut {
            Some((at, is_inside)) if at == event => {
                &text[..text.len() / 2 * usize::from(is_inside)]
            }
            _ => &text,
        };
        let chunk = match is_chunked {
            true if part.is_empty() => String::new(),
            true => format!("{:x}\r\n{part}\r\n", part.len()),
            false => part.to_owned(),
        };
        // Some events arrive in two pieces.
        let is_split = digest(part).is_multiple_of(4);
        let middle = chunk.len() / 2 * usize::from(is_split);
        if stream.write_all(&chunk.as_bytes()[..middle]).is_err() {
            return None;
        }
        if is_split {
            thread::sleep(Duration::from_millis(3));
        }
        if stream.write_all(&chunk.as_bytes()[middle..]).is_err() || is_cut {
            return None;
        }
        let due = Instant::now() + gap;
        if is_chunked {
            thread::sleep(gap);
        } else if notices.trouble.wait(&run.request, &mut common_resets, due) {
            if !is_held {
                trouble::report_trouble(&run.request, "reset", report);
            }
            set_reset_on_close(stream);
            return None;
        }
        if notices.resets.load(Ordering::SeqCst) != resets {
            // Without it, the connection ends in order.
            set_reset_on_close(stream);
            return None;
        }
    }
    Some(is_chunked && stream.write_all(b"0\r\n\r\n").is_ok())
}
