//! Callers: threads that send requests to any router and check the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::answer::body_of;
use crate::connection::Connection;
use crate::early::{UPLOAD, upload_of};
use crate::environment::header;
use crate::fleet::{current_key, some_key};
use crate::judge::{Judge, Kind, Outcome};
use crate::shape::Shape;
use crate::streams::stream_until_stopped;
use crate::trouble::SPOILT_SIGNATURE;

/// Time after which a caller gives up, in the deadline header too.
const DEADLINE: Duration = Duration::from_secs(4);

/// Running callers.
pub struct Callers {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Callers {
    /// Starts callers that use all routers at random.
    pub fn start(seed: u64, shape: &Shape, routers: Vec<SocketAddr>, judge: &Judge) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let count = shape.callers + shape.stream_callers;
        let shape = *shape;
        let threads = (0..count).map(|number| {
            let (stop, judge, routers) = (stop.clone(), judge.clone(), routers.clone());
            let random = ChaCha8Rng::seed_from_u64(seed * count + number);
            thread::spawn(move || match number < shape.callers {
                true => call_until_stopped(number, random, &routers, &judge, &stop),
                false => stream_until_stopped(number, random, &shape, &routers, &judge, &stop),
            })
        });
        Callers {
            threads: threads.collect(),
            stop,
        }
    }

    /// Stops all callers after the requests under way.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("no caller panicked");
        }
    }
}

fn call_until_stopped(
    number: u64,
    mut random: ChaCha8Rng,
    routers: &[SocketAddr],
    judge: &Judge,
    stop: &AtomicBool,
) {
    let mut connection: Option<(SocketAddr, Connection)> = None;
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(random.random_range(0..30)));
        let router = match &connection {
            Some((router, _)) if random.random_range(0..8) > 0 => *router,
            _ => routers[random.random_range(0..routers.len())],
        };
        let kept = connection.take().filter(|(address, _)| *address == router);
        let kind = match random.random_range(0..4) {
            0..=2 => Kind::Once,
            _ => Kind::Idempotent,
        };
        let id = format!("c{number}-{count}");
        let key = draw_key(&mut random);
        let kept = kept.map(|(_, kept)| kept);
        let (kept, _) = call(router, kept, &id, kind, &key, judge);
        connection = kept.map(|kept| (router, kept));
    }
}

/// Returns a key. Some callers have missed that theirs was withdrawn.
pub fn draw_key(random: &mut ChaCha8Rng) -> String {
    match random.random_range(0..10) {
        0 => some_key(random),
        _ => current_key(),
    }
}

/// Sends one upload on a connection of its own and records its outcome.
pub fn upload(router: SocketAddr, id: &str, length: usize, key: &str, judge: &Judge) {
    let sent = Instant::now();
    judge.record_sent(id, Kind::Once, 0);
    let body = upload_of(id, length);
    let exchanged = exchange(router, None, id, Kind::Once, (key, &body), judge);
    let outcome = exchanged.map_or(Outcome::Unknown, |(outcome, _)| outcome);
    judge.record_outcome(id, outcome, key, sent);
}

/// Sends one request and records its outcome. Returns the connection if it can be used
/// again.
fn call(
    router: SocketAddr,
    connection: Option<Connection>,
    id: &str,
    kind: Kind,
    key: &str,
    judge: &Judge,
) -> (Option<Connection>, Outcome) {
    let sent = Instant::now();
    judge.record_sent(id, kind, 0);
    let mut kept = None;
    let outcome = match exchange(router, connection, id, kind, (key, ""), judge) {
        Some((outcome, connection)) => {
            kept = connection;
            outcome
        }
        None => Outcome::Unknown,
    };
    judge.record_outcome(id, outcome, key, sent);
    (kept, outcome)
}

/// Sends a request with an upload, or without one if that is empty. Returns the outcome, or
/// `None` if the connection broke before the end of the answer.
fn exchange(
    router: SocketAddr,
    connection: Option<Connection>,
    id: &str,
    kind: Kind,
    (key, upload): (&str, &str),
    judge: &Judge,
) -> Option<(Outcome, Option<Connection>)> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => Connection::open(router, None)?,
    };
    connection.set_patience(DEADLINE);
    let path = match kind {
        Kind::Idempotent => "safe",
        _ => "once",
    };
    let (field, body) = match upload {
        "" => ("", id),
        _ => (UPLOAD, upload),
    };
    let request = format!(
        "POST /{path}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Token {key}\r\n{field}Content-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    // An early answer may arrive though the router reads no more of the request.
    let _ = connection.send(&request);
    let head = connection.read_head()?;
    let body = connection.read_body(&head)?;
    let outcome = outcome(&head, id, judge);
    if outcome == Outcome::Complete && body != body_of(id).into_bytes() {
        let text: String = String::from_utf8_lossy(&body).chars().take(40).collect();
        let length = body.len();
        judge.report_spoilt(id, &format!("got {length} bytes as whole, {text:?}"));
    }
    Some((outcome, is_kept(&head).then_some(connection)))
}

/// Returns whether the connection stays open after an answer.
pub fn is_kept(head: &str) -> bool {
    header(head, "connection") != Some("close")
}

/// Returns the outcome that the head of an answer promises, if its body is whole.
pub fn outcome(head: &str, id: &str, judge: &Judge) -> Outcome {
    if let Some(answered) = header(head, "x-request-id")
        && answered != id
    {
        judge.report("own answer", &format!("{id} got the answer to {answered}"));
    }
    let status = head.get(9..12).unwrap_or_default();
    let is_spoilt = header(head, "x-answer-signature") == Some(SPOILT_SIGNATURE);
    if is_spoilt {
        let line = head.lines().next().unwrap_or_default();
        judge.report_spoilt(id, &format!("got a malformed answer, {line:?}"));
    }
    match status {
        "200" if !is_spoilt => {
            let count = |name| {
                let names = head.lines().filter_map(|line| line.split_once(':'));
                names
                    .filter(|(field, _)| field.eq_ignore_ascii_case(name))
                    .count()
            };
            if count("x-request-id") != 1 || header(head, "x-answer-signature") != Some("s") {
                judge.report_spoilt(id, &format!("got a success without its receipt, {head:?}"));
            }
            Outcome::Complete
        }
        "408" | "421" | "429" | "503" => Outcome::NotRun,
        "401" => Outcome::Unauthorized,
        "502" | "504" => Outcome::Unknown,
        // Every manifest of a run allows the longest upload.
        "413" => {
            judge.report("denied", &format!("{id} got status 413"));
            Outcome::NotRun
        }
        _ if is_spoilt => Outcome::Unknown,
        other => {
            judge.report("proper answer", &format!("{id} got status {other}"));
            Outcome::Unknown
        }
    }
}

/// Returns whether a router serves a request before `deadline`.
pub fn serves_until(router: SocketAddr, judge: &Judge, deadline: Instant) -> bool {
    for count in 0.. {
        let id = format!("recovery-{router}-{count}");
        let key = current_key();
        let (_, outcome) = call(router, None, &id, Kind::Once, &key, judge);
        if outcome == Outcome::Complete {
            return true;
        }
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
