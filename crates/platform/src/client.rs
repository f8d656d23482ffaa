//! The client.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use balsamchute_base::prelude::*;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use rand::RngExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body};

use crate::budget::{Bucket, Retries};
use crate::error::Error;
use crate::instance::Entry;

/// Characters of a path that are sent as they are.
const PATH: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.');

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Time that an answer to a watch may take beyond the wait asked for.
const WATCH_MARGIN: Span = Span(2000);

/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest time to connect.
    pub connect: Span,
    /// Longest time for a whole call but a watch.
    pub answer: Span,
    /// Most retries of one call.
    pub retries: u32,
    /// Pause before the first retry; it doubles each time, with jitter.
    pub pause: Span,
    /// Retries for each call, over all calls.
    pub retry_share: f64,
    /// Calls a second that this process may make.
    pub rate: f64,
    /// Calls that may be made at once after a quiet time.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect: Span(300),
            answer: Span::from_secs(2),
            retries: 2,
            pause: Span(50),
            retry_share: 0.1,
            rate: 50.0,
            burst: 100.0,
        }
    }
}

/// An object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Its version, which rises with every change of the path.
    pub version: u64,
    /// Its value.
    pub bytes: Vec<u8>,
}

/// An object in a list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Listed {
    /// Its path.
    pub path: String,
    /// Its version.
    pub version: u64,
}

/// Calls made, retries included, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads of objects and lists.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Retries among these.
    pub retries: u64,
    /// Calls that the budget refused, which are not among these.
    pub refused: u64,
}

#[derive(Clone, Copy)]
enum Kind {
    Read,
    Write,
    Watch,
}

/// A call that got no usable answer.
struct Failure {
    /// Whether a byte of it may have reached the platform.
    sent: bool,
    reason: String,
}

struct State {
    bucket: Bucket,
    retries: Retries,
    calls: Calls,
}

/// A client, which may be shared between threads.
pub struct Client {
    address: SocketAddr,
    settings: Settings,
    agent: Agent,
    started: Instant,
    state: Mutex<State>,
}

impl Client {
    /// Creates a client of the platform at `address`. It does not connect yet.
    #[must_use]
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(settings.connect.into()))
            .build()
            .new_agent();
        let state = State {
            bucket: Bucket::new(settings.rate, settings.burst, Time(0)),
            retries: Retries::new(settings.retry_share, MAX_SAVED_RETRIES),
            calls: Calls::default(),
        };
        Self {
            address,
            settings,
            agent,
            started: Instant::now(),
            state: Mutex::new(state),
        }
    }

    /// Returns how many calls were made.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.state().calls
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] without the object, else [`Error::Unavailable`],
    /// [`Error::Malformed`] or [`Error::Budget`].
    pub fn get(&self, path: &str) -> Result<Object, Error> {
        let call = format!("GET /objects/{}", encode(path));
        let answer = self.read(Kind::Read, &call, self.settings.answer)?;
        match answer.status() {
            StatusCode::OK => object(&call, answer),
            StatusCode::NOT_FOUND => Err(not_found(path)),
            status => Err(unexpected(call, status)),
        }
    }

    /// Writes an object if its version is `expected`, 0 for a new object.
    /// Returns the new version.
    ///
    /// A write whose answer is lost is not sent again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the version differs and
    /// [`Error::AnswerLost`] if the write may have taken effect. With any other
    /// error it did not.
    pub fn put_if(&self, path: &str, expected: u64, bytes: &[u8]) -> Result<u64, Error> {
        let call = format!("PUT /objects/{}", encode(path));
        let url = self.url(&call);
        let answer = self.write(&call, || {
            let request = self
                .agent
                .put(&url)
                .header("x-if-version", expected.to_string());
            let request = request
                .config()
                .timeout_global(Some(self.settings.answer.into()));
            request.build().send(bytes)
        })?;
        match answer.status() {
            StatusCode::OK => version(&answer).ok_or_else(|| lost(call, "no version")),
            StatusCode::CONFLICT => Err(Error::Conflict {
                path: path.to_owned(),
                current: version(&answer).unwrap_or(0),
            }),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge {
                path: path.to_owned(),
                bytes: bytes.len(),
            }),
            status => Err(lost(call, status)),
        }
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] without the object and [`Error::AnswerLost`]
    /// if it may have been deleted. With any other error it was not.
    pub fn delete(&self, path: &str) -> Result<(), Error> {
        let call = format!("DELETE /objects/{}", encode(path));
        let url = self.url(&call);
        let answer = self.write(&call, || {
            let request = self.agent.delete(&url).config();
            let request = request.timeout_global(Some(self.settings.answer.into()));
            request.build().call()
        })?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => Err(not_found(path)),
            status => Err(lost(call, status)),
        }
    }

    /// Lists the objects whose path starts with `prefix`, sorted by path.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`], [`Error::Malformed`] or [`Error::Budget`].
    pub fn list(&self, prefix: &str) -> Result<Vec<Listed>, Error> {
        let call = format!("GET /list/{}", encode(prefix));
        let answer = self.read(Kind::Read, &call, self.settings.answer)?;
        json(&call, answer)
    }

    /// Waits up to `wait` until the version of an object exceeds `after`.
    /// Returns `None` if it does not.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`], [`Error::Malformed`] or [`Error::Budget`].
    pub fn watch(&self, path: &str, after: u64, wait: Span) -> Result<Option<Object>, Error> {
        let wait_ms = wait.as_millis();
        let path = encode(path);
        let call = format!("GET /watch/{path}?after={after}&wait_ms={wait_ms}");
        let limit = Span(wait_ms.saturating_add(WATCH_MARGIN.as_millis()));
        let answer = self.read(Kind::Watch, &call, limit)?;
        match answer.status() {
            StatusCode::OK => object(&call, answer).map(Some),
            StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(unexpected(call, status)),
        }
    }

    /// Reads the list of instances, which lags. An entry that makes no sense
    /// is left out and logged, so that it does not hide the others.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`], [`Error::Malformed`] or [`Error::Budget`].
    pub fn instances(&self) -> Result<Vec<Entry>, Error> {
        let call = "GET /instances";
        let answer = self.read(Kind::Read, call, self.settings.answer)?;
        let values: Vec<serde_json::Value> = json(call, answer)?;
        let entry = |value: serde_json::Value| {
            let parsed = serde_json::from_value(value);
            parsed
                .inspect_err(|error| log::warn!("platform: instance left out: {error}"))
                .ok()
        };
        Ok(values.into_iter().filter_map(entry).collect())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn url(&self, call: &str) -> String {
        let path = call.split_once(' ').map_or("", |(_, path)| path);
        format!("http://{}{path}", self.address)
    }

    /// Pays for one call, the first or a retry.
    fn pay(&self, kind: Kind, call: &str, retry: bool) -> Result<(), Error> {
        let now = Time(self.started.elapsed().as_millis() as u64);
        let mut state = self.state();
        if let Err(wait) = state.bucket.take(now) {
            state.calls.refused += 1;
            let call = call.to_owned();
            return Err(Error::Budget { call, wait });
        }
        if retry {
            state.calls.retries += 1;
        } else {
            state.retries.record_call();
        }
        match kind {
            Kind::Read => state.calls.reads += 1,
            Kind::Write => state.calls.writes += 1,
            Kind::Watch => state.calls.watches += 1,
        }
        Ok(())
    }

    fn read(&self, kind: Kind, call: &str, limit: Span) -> Result<Response<Body>, Error> {
        let url = self.url(call);
        let send = || {
            let request = self.agent.get(&url).config();
            let answer = request.timeout_global(Some(limit.into())).build().call()?;
            Ok(answer)
        };
        self.try_often(kind, call, |_| true, send)
            .map_err(|error| match error {
                Error::AnswerLost { call, reason } => Error::Unavailable { call, reason },
                error => error,
            })
    }

    fn write<F>(&self, call: &str, send: F) -> Result<Response<Body>, Error>
    where
        F: Fn() -> Result<Response<Body>, ureq::Error>,
    {
        self.try_often(Kind::Write, call, |failure| !failure.sent, send)
    }

    /// Sends a call, and again while `repeatable` allows it and budgets last.
    fn try_often<F>(
        &self,
        kind: Kind,
        call: &str,
        repeatable: fn(&Failure) -> bool,
        send: F,
    ) -> Result<Response<Body>, Error>
    where
        F: Fn() -> Result<Response<Body>, ureq::Error>,
    {
        let mut retries = 0;
        loop {
            self.pay(kind, call, retries > 0)?;
            let failure = match send() {
                Ok(answer) => return Ok(answer),
                Err(error) => Failure::new(&error),
            };
            let more = retries < self.settings.retries && repeatable(&failure);
            if !more || !self.state().retries.take() {
                return Err(failure.into_error(call));
            }
            thread::sleep(self.pause(retries).into());
            retries += 1;
        }
    }

    /// Returns the pause before a retry: half of it fixed, half of it random.
    fn pause(&self, retries: u32) -> Span {
        let full = self.settings.pause.as_millis() << retries.min(8);
        let jitter = rand::rng().random_range(0..=full / 2);
        Span(full / 2 + jitter)
    }
}

impl Failure {
    fn new(error: &ureq::Error) -> Self {
        Self {
            sent: !is_unsent(error),
            reason: error.to_string(),
        }
    }

    fn into_error(self, call: &str) -> Error {
        let call = call.to_owned();
        let reason = self.reason;
        match self.sent {
            true => Error::AnswerLost { call, reason },
            false => Error::Unavailable { call, reason },
        }
    }
}

/// Whether an error can only come before the first byte is sent.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn encode(path: &str) -> String {
    utf8_percent_encode(path, PATH).to_string()
}

fn version(answer: &Response<Body>) -> Option<u64> {
    let value = answer.headers().get("x-version")?;
    value.to_str().ok()?.parse().ok()
}

fn not_found(path: &str) -> Error {
    let path = path.to_owned();
    Error::NotFound { path }
}

fn lost(call: String, reason: impl ToString) -> Error {
    let reason = reason.to_string();
    Error::AnswerLost { call, reason }
}

fn unexpected(call: String, status: StatusCode) -> Error {
    let reason = format!("status {status}");
    Error::Unavailable { call, reason }
}

fn malformed(call: &str, reason: impl ToString) -> Error {
    Error::Malformed {
        call: call.to_owned(),
        reason: reason.to_string(),
    }
}

fn object(call: &str, answer: Response<Body>) -> Result<Object, Error> {
    let version = version(&answer).ok_or_else(|| malformed(call, "no x-version header"))?;
    let bytes = bytes(call, answer)?;
    Ok(Object { version, bytes })
}

fn bytes(call: &str, answer: Response<Body>) -> Result<Vec<u8>, Error> {
    let body = answer
        .into_body()
        .into_with_config()
        .limit(MAX_ANSWER_BYTES);
    body.read_to_vec().map_err(|error| match error {
        ureq::Error::BodyExceedsLimit(_) => malformed(call, error),
        error => Error::Unavailable {
            call: call.to_owned(),
            reason: error.to_string(),
        },
    })
}

fn json<T: DeserializeOwned>(call: &str, answer: Response<Body>) -> Result<T, Error> {
    match answer.status() {
        StatusCode::OK => {
            let bytes = bytes(call, answer)?;
            serde_json::from_slice(&bytes).map_err(|error| malformed(call, error))
        }
        status => Err(unexpected(call.to_owned(), status)),
    }
}
