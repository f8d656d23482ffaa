//! Callers of streams, and how they take up those that broke off.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::callers::{draw_key, is_kept, outcome};
use crate::connection::{Connection, is_chunked};
use crate::early::{UPLOAD, upload_of};
use crate::environment::header;
use crate::event::digest;
use crate::fleet::{STREAM_TIMEOUT_MS, part_of};
use crate::judge::{Judge, Kind, Outcome};
use crate::order::Progress;
use crate::shape::Shape;

/// Requests for one stream, after the first one.
const MAX_TAKE_UPS: usize = 4;

/// Time that a caller waits for a whole stream, over all its requests.
const DEADLINE: Duration = Duration::from_millis(STREAM_TIMEOUT_MS);

/// Same for some callers of a large fleet: more than the timeout of the route, and less.
const LONG_DEADLINE: Duration = Duration::from_millis(12_000);
const SHORT_DEADLINE: Duration = Duration::from_millis(3000);

/// Number of streams of which one has an upload, and the length of that in bytes.
const UPLOAD_DIVISOR: u64 = 24;
const UPLOAD_BYTES: usize = 1_500_000;

/// Remaining time below which a caller sends no further request.
const MIN_TIME: Duration = Duration::from_millis(500);

/// Longest wait of a caller for the router that began its stream to be back.
const RETURN_TIME: Duration = Duration::from_millis(1500);

/// Manner in which a caller reads one answer.
#[derive(Clone, Debug)]
struct Manner {
    /// Time without a byte after which it abandons the stream.
    patience: Duration,
    /// Number of chunks after which it closes the connection.
    leaves_after: Option<usize>,
}

impl Manner {
    fn draw(random: &mut ChaCha8Rng) -> Self {
        let patience = match random.random_range(0..3) {
            0 => random.random_range(150..1200),
            _ => STREAM_TIMEOUT_MS,
        };
        let leaves = random.random_range(0..5) == 0;
        Manner {
            patience: Duration::from_millis(patience),
            leaves_after: leaves.then(|| random.random_range(1..30)),
        }
    }
}

/// Caller of one stream.
struct Caller<'a> {
    stream: String,
    kind: Kind,
    /// Time by which its consumer wants the whole stream.
    deadline: Instant,
    /// Pause between two reads of a caller that reads slowly.
    pause: Option<Duration>,
    names_origin: bool,
    /// Whether its requests name prompt parts.
    names_parts: bool,
    key: String,
    progress: Progress,
    /// Time from the first request to the first event.
    first_event: Option<Duration>,
    judge: &'a Judge,
    /// Wait that the last refusal named, and its reason.
    retry_after: Duration,
    reason: String,
}

/// Sends requests for streams, one stream after another.
pub fn stream_until_stopped(
    number: u64,
    mut random: ChaCha8Rng,
    shape: &Shape,
    routers: &[SocketAddr],
    judge: &Judge,
    stop: &AtomicBool,
) {
    let mut kept: Option<(SocketAddr, Connection)> = None;
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(random.random_range(0..100)));
        let pause = match random.random_range(0..5) {
            0 => Some(Duration::from_millis(random.random_range(2..12))),
            _ => None,
        };
        let kind = match random.random_range(0..5) {
            0 => Kind::SingleStream,
            _ => Kind::Stream,
        };
        let stream = format!("s{number}-{count}");
        let mut caller = Caller {
            progress: Progress::new(&stream),
            stream,
            kind,
            deadline: Instant::now() + DEADLINE,
            pause,
            names_origin: (random.random_range(0..5) > 0) != shape.has_callers_without_origin(),
            // Parts of prompts whose runners are killed again and again are refused.
            names_parts: !shape.is_steady,
            key: draw_key(&mut random),
            first_event: None,
            judge,
            retry_after: Duration::ZERO,
            reason: String::new(),
        };
        if shape.is_large {
            let time = match random.random_range(0..3) {
                0 => LONG_DEADLINE,
                1 => SHORT_DEADLINE,
                _ => DEADLINE,
            };
            caller.deadline = Instant::now() + time;
        }
        let (router, connection) = match kept.take() {
            Some((router, connection)) if pause.is_none() && random.random_range(0..4) > 0 => {
                (router, Some(connection))
            }
            _ => (routers[random.random_range(0..routers.len())], None),
        };
        let id = caller.stream.clone();
        let manner = Manner::draw(&mut random);
        let (outcome, connection) = caller.call(router, connection, &id, &manner);
        kept = connection.map(|connection| (router, connection));
        if outcome == Outcome::NotRun {
            let reason = caller.reason.clone();
            judge.count_streams(|streams| *streams.refused.entry(reason).or_default() += 1);
        }
        let Some(version) = caller.progress.begun_at() else {
            continue;
        };
        judge.count_streams(|streams| {
            streams.begun += 1;
            *streams.begun_at.entry(version).or_default() += 1;
            streams.first_events.extend(caller.first_event);
        });
        if kind == Kind::Stream && outcome == Outcome::Unknown {
            take_up(&mut caller, router, routers, &mut random);
        }
    }
}

/// Takes up a stream that broke off or was abandoned.
fn take_up(
    caller: &mut Caller<'_>,
    mut router: SocketAddr,
    routers: &[SocketAddr],
    random: &mut ChaCha8Rng,
) {
    let judge = caller.judge;
    let mut outcome = Outcome::Unknown;
    for number in 0..MAX_TAKE_UPS {
        if outcome == Outcome::Complete {
            break;
        }
        let wait = match random.random_range(0..3) {
            0 => random.random_range(50..1500),
            _ => 0,
        };
        // One that may return only later gives up at its deadline.
        let wait = Duration::from_millis(wait).max(caller.retry_after);
        thread::sleep(wait.min(caller.left()));
        if random.random_range(0..3) > 0 {
            router = routers[random.random_range(0..routers.len())];
        }
        let connection = reconnect(router, caller.pause);
        if caller.deadline.saturating_duration_since(Instant::now()) < MIN_TIME {
            break;
        }
        let id = format!("{}-{number}", caller.stream);
        judge.count_streams(|streams| {
            streams.taken_up += usize::from(number == 0);
            if let Some(version) = caller.progress.begun_at().filter(|_| number == 0) {
                *streams.taken_up_of.entry(version).or_default() += 1;
            }
            streams.take_ups += 1;
        });
        let manner = Manner::draw(random);
        (outcome, _) = caller.call(router, connection, &id, &manner);
        if outcome == Outcome::NotRun {
            let reason = caller.reason.clone();
            judge.count_streams(|streams| {
                *streams.refused_take_ups.entry(reason).or_default() += 1;
            });
        }
    }
    if let Some(version) = caller.progress.begun_at()
        && outcome == Outcome::Complete
    {
        judge.count_streams(|streams| {
            streams.taken_up_to_end += 1;
            *streams.to_end_of.entry(version).or_default() += 1;
        });
    }
}

/// Connects to a router, which may be about to start again.
fn reconnect(router: SocketAddr, pause: Option<Duration>) -> Option<Connection> {
    let deadline = Instant::now() + RETURN_TIME;
    loop {
        let connection = Connection::open(router, pause);
        if connection.is_some() || Instant::now() > deadline {
            return connection;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

impl Caller<'_> {
    /// Sends one request and records its outcome. Returns the connection if it can be used
    /// again.
    fn call(
        &mut self,
        router: SocketAddr,
        connection: Option<Connection>,
        id: &str,
        manner: &Manner,
    ) -> (Outcome, Option<Connection>) {
        let sent = Instant::now();
        let after = self.progress.last_event();
        self.judge.record_sent(id, self.kind, after);
        self.judge
            .note(&format!("{id} goes to {router} after={after} {manner:?}"));
        self.retry_after = Duration::ZERO;
        let exchanged = self.exchange(router, connection, id, manner);
        let (outcome, connection) = exchanged.unwrap_or((Outcome::Unknown, None));
        self.judge.record_outcome(id, outcome, &self.key, sent);
        let events = self.progress.last_event();
        let text = format!("{id} is {outcome:?} after event {events} {}", self.reason);
        self.judge.note(&text);
        (outcome, connection)
    }

    /// Returns the outcome, or `None` if the answer broke off or was abandoned.
    fn exchange(
        &mut self,
        router: SocketAddr,
        connection: Option<Connection>,
        id: &str,
        manner: &Manner,
    ) -> Option<(Outcome, Option<Connection>)> {
        let mut connection = match connection {
            Some(connection) => connection,
            None => Connection::open(router, self.pause)?,
        };
        let sent = Instant::now();
        self.reason.clear();
        let request = self.request(id);
        connection.set_patience(self.left());
        // An early answer may arrive though the router reads no more of the request.
        let _ = connection.send(&request);
        self.wait(&connection, manner.patience)?;
        let head = connection.read_head()?;
        let outcome = outcome(&head, id, self.judge);
        if outcome != Outcome::Complete {
            let body = connection.read_body(&head)?;
            if outcome == Outcome::NotRun {
                self.reason = String::from_utf8_lossy(&body).trim().to_owned();
                let seconds = header(&head, "retry-after").and_then(|text| text.parse().ok());
                self.retry_after = Duration::from_secs_f64(seconds.unwrap_or(0.0));
            }
            return Some((outcome, is_kept(&head).then_some(connection)));
        }
        if is_chunked(&head) {
            for chunk in 1.. {
                self.wait(&connection, manner.patience)?;
                let bytes = connection.read_chunk()?;
                if bytes.is_empty() {
                    break;
                }
                self.progress.extend(id, &bytes, self.judge);
                self.first_event.get_or_insert_with(|| sent.elapsed());
                if manner.leaves_after == Some(chunk) {
                    return None;
                }
            }
        } else {
            let body = connection.read_body(&head)?;
            self.progress.extend(id, &body, self.judge);
            self.first_event.get_or_insert_with(|| sent.elapsed());
        }
        self.progress.finish(id, self.judge);
        Some((outcome, is_kept(&head).then_some(connection)))
    }

    /// Returns the time until the deadline.
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Limits the wait for the next bytes; `None` if no time is left.
    fn wait(&self, connection: &Connection, patience: Duration) -> Option<()> {
        let left = self.deadline.checked_duration_since(Instant::now())?;
        connection.set_patience(left.min(patience));
        Some(())
    }

    fn request(&self, id: &str) -> String {
        let path = match self.kind {
            Kind::SingleStream => "single",
            _ => "stream",
        };
        let stream = &self.stream;
        let (field, body) = match digest(stream).is_multiple_of(UPLOAD_DIVISOR) {
            true => (UPLOAD, upload_of(id, UPLOAD_BYTES)),
            false => ("", stream.clone()),
        };
        let prefix = match self.names_parts {
            true => format!(
                "X-Prompt-Prefix: a1:200,{:x}:300,{:x}:100\r\n",
                part_of(stream),
                digest(stream)
            ),
            false => String::new(),
        };
        let left = self.left();
        format!(
            "POST /{path}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Token {}\r\nX-Stream: {stream}\r\nX-Token-Usage: 600,40\r\n\
             {prefix}{}{field}Content-Length: {}\r\n\r\n{body}",
            left.as_millis(),
            self.key,
            self.progress.headers(self.names_origin),
            body.len()
        )
    }
}
