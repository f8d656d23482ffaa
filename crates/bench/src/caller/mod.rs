//! A caller that keeps to the callers' part of the protocol.
//!
//! It asks for addresses and keeps the answer, checks every record, sends
//! again elsewhere after a refusal or a cut, and never sends a non-idempotent
//! call under a second key.

pub mod call;
pub mod stream;

use std::collections::HashMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_wire::record::{Code, End, Outcome};
use serde::Deserialize;
use ureq::Agent;

use self::call::{Call, History, Repeat, Reply, Submission};
use self::stream::Reader;
use crate::clock;

/// A stream without any byte for so long is taken as cut.
pub const SILENCE: Span = Span::from_secs(5);

/// How long after its deadline a caller still reads.
const PATIENCE: Span = Span::from_secs(2);

/// Time for a router to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Submissions after which an unknown outcome is taken as final.
const MAX_ASKS: usize = 8;

/// Pause before asking again when no router gave a time.
const PAUSE: Span = Span(100);

/// Length of an answer to `GET /v1/address` or `GET /v1/outcome` in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// The answer to `GET /v1/address`.
#[derive(Clone, Debug, Deserialize)]
struct Address {
    routers: Vec<SocketAddr>,
    keep_ms: u64,
    durable: bool,
    key: Option<Key>,
}

/// The callers of one deployment: what they know of its routers.
#[derive(Clone, Debug)]
pub struct Caller {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    seeds: Vec<SocketAddr>,
    agent: Agent,
    kept: Mutex<HashMap<Workspace, (Time, Address)>>,
}

impl Caller {
    /// Creates a caller that knows the addresses of some routers.
    #[must_use]
    pub fn new(seeds: &[SocketAddr]) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_per_read(Some(SILENCE.into()))
            .max_idle_connections_per_host(16)
            .max_idle_connections(256)
            .build();
        let shared = Shared {
            seeds: seeds.to_vec(),
            agent: config.into(),
            kept: Mutex::default(),
        };
        Caller {
            shared: Arc::new(shared),
        }
    }

    /// Runs `call` to its end, sending it again as often as that helps before
    /// its deadline.
    #[must_use]
    pub fn run(&self, call: Call) -> History {
        let wanted = clock::now();
        let mut attempt = Progress {
            caller: self,
            give_up: wanted + call.deadline,
            key: None,
            failed: Vec::new(),
            history: History {
                call,
                wanted,
                over: wanted,
                submissions: Vec::new(),
            },
        };
        while attempt.step() {}
        attempt.history.over = clock::now();
        attempt.history
    }

    /// Sends `call` to one router once, whatever comes back.
    #[must_use]
    pub fn send_once(&self, router: SocketAddr, call: Call) -> History {
        let wanted = clock::now();
        let request = format!("{}.0", call.id);
        let submission = self.submit(&call, request, None, false, router, call.deadline);
        History {
            call,
            wanted,
            over: clock::now(),
            submissions: vec![submission],
        }
    }

    /// Asks a router what became of a key.
    #[must_use]
    pub fn outcome(&self, router: SocketAddr, workspace: &Workspace, key: &Key) -> Option<End> {
        let url = format!("http://{router}/v1/outcome?workspace={workspace}&key={key}");
        let mut response = self.shared.agent.get(url).call().ok()?;
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        serde_json::from_slice(&body.read_to_vec().ok()?).ok()
    }

    fn address(&self, workspace: &Workspace, avoid: &[SocketAddr]) -> Option<Address> {
        let now = clock::now();
        let kept = self.kept().get(workspace).cloned();
        if let Some((until, address)) = kept
            && now < until
            && address.routers.iter().any(|router| !avoid.contains(router))
        {
            return Some(address);
        }
        let mut seeds = self.shared.seeds.clone();
        let turn = now.0 as usize % seeds.len().max(1);
        seeds.rotate_left(turn);
        let fresh = seeds
            .iter()
            .filter(|seed| !avoid.contains(seed))
            .chain(avoid)
            .find_map(|&router| self.ask(router, workspace))?;
        let until = now + Span(fresh.keep_ms);
        self.kept()
            .insert(workspace.clone(), (until, fresh.clone()));
        Some(fresh)
    }

    fn ask(&self, router: SocketAddr, workspace: &Workspace) -> Option<Address> {
        let url = format!("http://{router}/v1/address?workspace={workspace}");
        let mut response = self.shared.agent.get(url).call().ok()?;
        if response.status() != 200 {
            return None;
        }
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        serde_json::from_slice(&body.read_to_vec().ok()?).ok()
    }

    /// Asks for a fresh bound key, which a kept answer cannot give twice.
    fn bound_key(&self, workspace: &Workspace, avoid: &[SocketAddr]) -> Option<(SocketAddr, Key)> {
        let address = self.address(workspace, avoid)?;
        let router = address.routers.iter().find(|r| !avoid.contains(r))?;
        let fresh = self.ask(*router, workspace)?;
        Some((*router, fresh.key?))
    }

    fn kept(&self) -> std::sync::MutexGuard<'_, HashMap<Workspace, (Time, Address)>> {
        self.shared
            .kept
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn submit(
        &self,
        call: &Call,
        request: String,
        key: Option<Key>,
        resend: bool,
        router: SocketAddr,
        left: Span,
    ) -> Submission {
        let sent = clock::now();
        let mut reader = Reader::new();
        let reply = match self.post(call, &request, key.as_ref(), resend, router, left) {
            Ok(response) => read(&mut reader, response, sent + left + PATIENCE),
            Err(error) => Reply::Unreachable(error.to_string()),
        };
        Submission {
            request,
            key,
            router,
            sent,
            first_token: reader.first_token(),
            finished: clock::now(),
            longest_gap: reader.longest_gap(),
            reply,
        }
    }

    fn post(
        &self,
        call: &Call,
        request: &str,
        key: Option<&Key>,
        resend: bool,
        router: SocketAddr,
        left: Span,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let url = format!("http://{router}/v1/run/{}", call.service);
        let mut post = self
            .shared
            .agent
            .post(url)
            .header("x-workspace", call.workspace.as_str())
            .header("x-request", request)
            .header("x-deadline-ms", left.as_millis().to_string());
        if let Some(key) = key {
            post = post.header("x-key", key.as_str());
            if resend {
                post = post.header("x-resend", "1");
            }
        }
        if let Some(hint) = call.hint {
            post = post.header("x-cost-hint", hint.0.to_string());
        }
        if let Some(prefix) = &call.prefix {
            post = post.header("x-prefix", prefix);
        }
        post.send(&call.body[..])
    }
}

fn read(reader: &mut Reader, response: ureq::http::Response<ureq::Body>, give_up: Time) -> Reply {
    let status = response.status().as_u16();
    let stream = BufReader::new(response.into_body().into_reader());
    if status == 200 {
        return reader.read(stream, give_up, clock::now);
    }
    let mut body = String::new();
    let limited = std::io::Read::take(stream, MAX_ANSWER_BYTES);
    if std::io::Read::read_to_string(&mut { limited }, &mut body).is_err() {
        return Reply::Cut { tokens: 0 };
    }
    match end_of(&body) {
        Some(end) => Reply::End {
            end,
            answer: String::new(),
        },
        None => Reply::Broken(format!("status {status} without an end record: {body}")),
    }
}

fn end_of(body: &str) -> Option<End> {
    match balsamchute_wire::record::Record::from_line(body) {
        Ok(balsamchute_wire::record::Record::End(end)) => Some(end),
        _ => serde_json::from_str(body).ok(),
    }
}

/// A call on its way.
struct Progress<'a> {
    caller: &'a Caller,
    give_up: Time,
    /// The key of a non-idempotent call, once one was sent.
    key: Option<Key>,
    /// Routers that refused or failed since the last pause.
    failed: Vec<SocketAddr>,
    history: History,
}

impl Progress<'_> {
    /// Sends once; returns whether to go on.
    fn step(&mut self) -> bool {
        let left = self.give_up.since(clock::now());
        if left == Span(0) {
            return false;
        }
        let Some(router) = self.route() else {
            self.failed.clear();
            return self.pause(PAUSE);
        };
        let call = &self.history.call;
        let request = format!("{}.{}", call.id, self.history.submissions.len());
        let submission = self.caller.submit(
            call,
            request,
            self.key.clone(),
            self.may_have_run(),
            router,
            left,
        );
        let next = self.next(&submission.reply);
        self.history.submissions.push(submission);
        match next {
            Next::Over => false,
            Next::Elsewhere => {
                self.failed.push(router);
                true
            }
            Next::Later(span) => {
                self.failed.push(router);
                self.pause(span)
            }
        }
    }

    /// Returns whether an earlier submission may have run. One that was refused
    /// with `not_run` did not, and its key need not be kept.
    fn may_have_run(&self) -> bool {
        let mut submissions = self.history.submissions.iter();
        matches!(self.history.call.repeat, Repeat::Durable(_))
            || submissions.any(|one| outcome(&one.reply) != Some(Outcome::NotRun))
    }

    /// Returns whether the last submission was refused since claims cannot be
    /// stored.
    fn lacks_claims(&self) -> bool {
        let last = self.history.last();
        matches!(last, Some(Reply::End { end, .. }) if end.code == Some(Code::NoClaims))
    }

    fn route(&mut self) -> Option<SocketAddr> {
        if !self.may_have_run() {
            self.key = None;
        }
        let workspace = &self.history.call.workspace;
        if let Repeat::Durable(key) = &self.history.call.repeat {
            self.key = Some(key.clone());
            return self.any_router();
        }
        if let (Repeat::Once(key), None) = (&self.history.call.repeat, &self.key) {
            let address = self.caller.address(workspace, &self.failed)?;
            if address.durable && !self.lacks_claims() {
                self.key = Some(key.clone());
            } else {
                let (router, key) = self.caller.bound_key(workspace, &self.failed)?;
                self.key = Some(key);
                return Some(router);
            }
        }
        let address = self.caller.address(workspace, &self.failed)?;
        let mut routers = address.routers.iter();
        routers
            .find(|router| !self.failed.contains(router))
            .copied()
    }

    /// Returns a router that depends on the call's id alone, so that several
    /// senders of one key use different ones.
    fn any_router(&self) -> Option<SocketAddr> {
        let id = &self.history.call.id;
        let seeds = self.caller.shared.seeds.iter();
        let open = seeds.filter(|router| !self.failed.contains(router));
        open.max_by_key(|router| rank::score(id, &router.to_string()))
            .copied()
    }

    fn next(&self, reply: &Reply) -> Next {
        match reply {
            Reply::Broken(_) | Reply::Overdue { .. } => Next::Over,
            Reply::Cut { .. } | Reply::Unreachable(_) => Next::Elsewhere,
            Reply::End { end, .. } => match (end.outcome, end.retry_after_ms) {
                (Outcome::NotRun, Some(after)) => Next::Later(Span(after)),
                (Outcome::Failed, Some(after)) if self.key.is_none() => Next::Later(Span(after)),
                // The same key never runs again; its outcome may be known later.
                (Outcome::Unknown, Some(after)) if self.may_ask_again() => Next::Later(Span(after)),
                (Outcome::Unknown, _) if self.key.is_none() => Next::Elsewhere,
                // The same key is safe to send, and its end may be known by then.
                (Outcome::Unknown, Some(after)) => Next::Later(Span(after)),
                _ => Next::Over,
            },
        }
    }

    fn may_ask_again(&self) -> bool {
        self.history.submissions.len() < MAX_ASKS
    }

    /// Waits before the next submission; returns whether there is time for one.
    fn pause(&self, span: Span) -> bool {
        let resume = clock::now() + span;
        if resume >= self.give_up {
            return false;
        }
        clock::sleep_until(resume);
        true
    }
}

/// Returns the outcome that a reply tells, `None` if it tells none.
fn outcome(reply: &Reply) -> Option<Outcome> {
    match reply {
        Reply::End { end, .. } => Some(end.outcome),
        _ => None,
    }
}

enum Next {
    Over,
    Elsewhere,
    Later(Span),
}
