//! Callers: threads that send requests to any router and check the answers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::environment::header;
use crate::fleet::{
    STREAM_EVENTS, VERSIONS, body_of, current_key, digest, event_of, part_of, some_key,
};
use crate::judge::{Judge, Kind, Outcome};

/// Threads that send requests.
const THREADS: u64 = 12;

/// Time after which a caller gives up, in the deadline header too.
const DEADLINE: Duration = Duration::from_secs(4);

/// Requests with which a caller takes up a stream that broke off.
const MAX_TAKE_UPS: usize = 2;

/// Connection of a caller, kept while the router allows.
type Connection = BufReader<TcpStream>;

/// What a caller has of a stream, over all its requests for it.
#[derive(Default)]
struct Progress {
    /// Request that brought the first event.
    begun_by: Option<String>,
    events: u64,
    version: Option<usize>,
}

impl Progress {
    /// Adds the events of an answer; reports one that does not follow.
    fn extend(&mut self, id: &str, body: &[u8], judge: &Judge) {
        let mut rest = std::str::from_utf8(body).unwrap_or("?");
        while !rest.is_empty() {
            let next = self.events + 1;
            let mut versions = 0..VERSIONS;
            let version = versions.find(|version| rest.starts_with(&event_of(id, next, *version)));
            let Some(version) = version else {
                judge.report(
                    "whole answer",
                    &format!("{id} got {rest:?} for event {next}"),
                );
                return;
            };
            if self.version.is_some_and(|began| began != version) {
                let text = format!("{id} got event {next} of v{version}");
                judge.report("one version", &text);
            }
            self.begun_by.get_or_insert_with(|| id.to_owned());
            self.version = Some(version);
            self.events = next;
            rest = &rest[event_of(id, next, version).len()..];
        }
    }

    fn headers(&self) -> String {
        match &self.begun_by {
            Some(id) => format!("Last-Event-Id: {}\r\nResumes: {id}\r\n", self.events),
            None => String::new(),
        }
    }
}

/// Running callers.
pub struct Callers {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Callers {
    /// Starts callers that use all routers at random.
    pub fn start(seed: u64, routers: Vec<SocketAddr>, judge: &Judge) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..THREADS).map(|number| {
            let (stop, judge, routers) = (stop.clone(), judge.clone(), routers.clone());
            let random = ChaCha8Rng::seed_from_u64(seed * THREADS + number);
            thread::spawn(move || call_until_stopped(number, random, &routers, &judge, &stop))
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
        let kind = match random.random_range(0..5) {
            0..=2 => Kind::Once,
            3 => Kind::Idempotent,
            _ => Kind::Stream,
        };
        let id = format!("c{number}-{count}");
        // Some callers have missed that their key was withdrawn.
        let key = match random.random_range(0..10) {
            0 => some_key(&mut random),
            _ => current_key(),
        };
        let mut progress = Progress::default();
        let kept = kept.map(|(_, kept)| kept);
        let (kept, outcome) = call(router, kept, &id, kind, &key, &mut progress, judge);
        connection = kept.map(|kept| (router, kept));
        let is_broken = outcome == Outcome::Unknown && progress.events > 0;
        for number in 0..if is_broken { MAX_TAKE_UPS } else { 0 } {
            let router = routers[random.random_range(0..routers.len())];
            let id = format!("{id}-{number}");
            let (_, outcome) = call(router, None, &id, kind, &key, &mut progress, judge);
            if outcome == Outcome::Complete {
                judge.record_taken_up();
                break;
            }
        }
    }
}

/// Sends one request and records its outcome. Returns the connection if it can be used
/// again.
fn call(
    router: SocketAddr,
    connection: Option<Connection>,
    id: &str,
    kind: Kind,
    key: &str,
    progress: &mut Progress,
    judge: &Judge,
) -> (Option<Connection>, Outcome) {
    let sent = Instant::now();
    judge.record_sent(id, kind);
    let mut kept = None;
    let outcome = match exchange(router, connection, id, kind, key, progress, judge) {
        Some((outcome, connection)) => {
            kept = connection;
            outcome
        }
        None => Outcome::Unknown,
    };
    judge.record_outcome(id, outcome, key, sent);
    (kept, outcome)
}

/// Returns the outcome, or `None` if the connection broke before the end of the answer.
fn exchange(
    router: SocketAddr,
    connection: Option<Connection>,
    id: &str,
    kind: Kind,
    key: &str,
    progress: &mut Progress,
    judge: &Judge,
) -> Option<(Outcome, Option<Connection>)> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => {
            let stream = TcpStream::connect_timeout(&router, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(DEADLINE)).ok()?;
            BufReader::new(stream)
        }
    };
    let path = match kind {
        Kind::Once => "once",
        Kind::Idempotent => "safe",
        Kind::Stream => "stream",
    };
    let prompt = match kind {
        Kind::Stream => format!(
            "X-Token-Usage: 600,40\r\nX-Prompt-Prefix: a1:200,{:x}:300,{:x}:100\r\n{}",
            part_of(id),
            digest(id),
            progress.headers()
        ),
        Kind::Once | Kind::Idempotent => String::new(),
    };
    let request = format!(
        "POST /{path}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Token {key}\r\n{prompt}Content-Length: {}\r\n\r\n{id}",
        DEADLINE.as_millis(),
        id.len()
    );
    connection.get_mut().write_all(request.as_bytes()).ok()?;
    let (head, body, is_whole) = read_answer(&mut connection)?;
    if let Some(answered) = header(&head, "x-request-id")
        && answered != id
    {
        judge.report("own answer", &format!("{id} got the answer to {answered}"));
    }
    let is_kept = header(&head, "connection") != Some("close");
    let status = head.get(9..12).unwrap_or_default();
    let outcome = match status {
        "200" if kind == Kind::Stream => {
            progress.extend(id, &body, judge);
            if !is_whole {
                return None;
            }
            if progress.events != STREAM_EVENTS {
                let text = format!("{id} ended after event {}", progress.events);
                judge.report("whole answer", &text);
            }
            Outcome::Complete
        }
        _ if !is_whole => return None,
        "200" => {
            if body != body_of(id).into_bytes() {
                let text = String::from_utf8_lossy(&body).into_owned();
                judge.report("whole answer", &format!("{id} got {text:?}"));
            }
            Outcome::Complete
        }
        "408" | "421" | "429" | "503" => Outcome::NotRun,
        "401" => Outcome::Unauthorized,
        "502" | "504" => Outcome::Unknown,
        other => {
            judge.report("proper answer", &format!("{id} got status {other}"));
            Outcome::Unknown
        }
    };
    Some((outcome, is_kept.then_some(connection)))
}

/// Reads an answer with a length or in chunks; returns head, body and whether it is whole,
/// or `None` if its head or a body with a length breaks off.
fn read_answer(connection: &mut Connection) -> Option<(String, Vec<u8>, bool)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if connection.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    if header(&head, "transfer-encoding") != Some("chunked") {
        let length = header(&head, "content-length")?.parse().ok()?;
        let mut body = vec![0; length];
        connection.read_exact(&mut body).ok()?;
        return Some((head, body, true));
    }
    let mut body = Vec::new();
    let is_whole = read_chunks(connection, &mut body).is_some();
    Some((head, body, is_whole))
}

/// Reads the chunks of a body; `None` if it breaks off.
fn read_chunks(connection: &mut Connection, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        connection.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        connection.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Returns whether a router serves a request before `deadline`.
pub fn serves_until(router: SocketAddr, judge: &Judge, deadline: Instant) -> bool {
    for count in 0.. {
        let id = format!("recovery-{router}-{count}");
        let key = current_key();
        let mut progress = Progress::default();
        let (_, outcome) = call(router, None, &id, Kind::Once, &key, &mut progress, judge);
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
