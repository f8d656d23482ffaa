//! HTTP client of the platform.

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

/// ASCII characters that are percent-encoded in a path.
const PATH_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.');

/// Upper bound for the body of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Timeout of a watch beyond the wait that it requests from the platform.
pub const WATCH_MARGIN: Span = Span(2000);

/// Capacity of the retry budget, in retries. The budget of a new client is full.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Timeouts, retries and rate limits of a client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Timeout of connecting to the platform.
    pub connect_timeout: Span,
    /// Timeout of one attempt of a call other than a watch.
    pub response_timeout: Span,
    /// Maximum number of retries of one call.
    pub max_retries: u32,
    /// Delay before the first retry, doubled for each further one, at most eight
    /// times. Up to half of it is subtracted as jitter.
    pub retry_backoff: Span,
    /// Retries that each call adds to the retry budget of the client.
    pub retry_ratio: f64,
    /// Calls per second that the client may make, retries included.
    pub calls_per_second: f64,
    /// Calls that may be made at once after an idle period.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Span(300),
            response_timeout: Span::from_secs(2),
            max_retries: 2,
            retry_backoff: Span(50),
            retry_ratio: 0.1,
            calls_per_second: 50.0,
            burst: 100.0,
        }
    }
}

/// Object with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Version of the object, which rises with every change of the object.
    pub version: u64,
    /// Value of the object.
    pub bytes: Vec<u8>,
}

/// Path and version of a listed object.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Metadata {
    /// Path of the object.
    pub path: String,
    /// Current version of the object.
    pub version: u64,
}

/// Numbers of calls by kind since the client was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads of objects, object lists and the instance list, retries included.
    pub reads: u64,
    /// Writes and deletions, retries included.
    pub writes: u64,
    /// Watches of objects, retries included.
    pub watches: u64,
    /// Retries among the reads, writes and watches.
    pub retries: u64,
    /// Calls not sent because the call budget was exhausted. The other counts
    /// do not include them.
    pub over_budget: u64,
}

#[derive(Clone, Copy)]
enum Kind {
    Read,
    Write,
    Watch,
}

/// Transport error of a call.
struct Failure {
    /// Whether a byte of the call may have reached the platform.
    may_have_been_sent: bool,
    reason: String,
}

struct State {
    call_budget: Bucket,
    retry_budget: Retries,
    calls: Calls,
}

/// Client of the platform. Threads may share it by reference.
pub struct Client {
    address: SocketAddr,
    settings: Settings,
    agent: Agent,
    started: Instant,
    state: Mutex<State>,
}

impl Client {
    /// Creates a client of the platform at `address` without connecting to it.
    #[must_use]
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(settings.connect_timeout.into()))
            .build();
        let state = State {
            call_budget: Bucket::new(settings.calls_per_second, settings.burst, Time(0)),
            retry_budget: Retries::new(settings.retry_ratio, MAX_SAVED_RETRIES),
            calls: Calls::default(),
        };
        Self {
            address,
            settings,
            agent: balsamchute_transport::agent(config),
            started: Instant::now(),
            state: Mutex::new(state),
        }
    }

    /// Returns the counts of calls since the client was created.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.state().calls
    }

    /// Reads an object and its version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if the object does not exist, otherwise
    /// [`Error::Unavailable`], [`Error::Malformed`] or [`Error::BudgetExhausted`].
    pub fn get(&self, path: &str) -> Result<Object, Error> {
        let call = format!("GET /objects/{}", encode_path(path));
        let response = self.read(Kind::Read, &call, self.settings.response_timeout)?;
        match response.status() {
            StatusCode::OK => read_object(&call, response),
            StatusCode::NOT_FOUND => Err(not_found(path)),
            status => Err(unexpected_status(call, status)),
        }
    }

    /// Writes an object on the condition that its version is `expected`, 0 for a
    /// new object, and returns the new version.
    ///
    /// A write whose response is lost is not retried, as it may have taken effect.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the version differs and
    /// [`Error::ResponseLost`] if the write may have taken effect. With any other
    /// error it had no effect.
    pub fn put_if(&self, path: &str, expected: u64, bytes: &[u8]) -> Result<u64, Error> {
        let call = format!("PUT /objects/{}", encode_path(path));
        let url = self.url(&call);
        let response = self.write(&call, || {
            let request = self
                .agent
                .put(&url)
                .header("x-if-version", expected.to_string());
            let request = request
                .config()
                .timeout_global(Some(self.settings.response_timeout.into()));
            request.build().send(bytes)
        })?;
        match response.status() {
            StatusCode::OK => {
                version_header(&response).ok_or_else(|| response_lost(call, "no version"))
            }
            StatusCode::CONFLICT => Err(Error::Conflict {
                path: path.to_owned(),
                current: version_header(&response).unwrap_or(0),
            }),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge {
                path: path.to_owned(),
                bytes: bytes.len(),
            }),
            status => Err(response_lost(call, status)),
        }
    }

    /// Deletes an object, whatever its version is.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if the object does not exist and
    /// [`Error::ResponseLost`] if it may have been deleted. With any other error it
    /// was not deleted.
    pub fn delete(&self, path: &str) -> Result<(), Error> {
        let call = format!("DELETE /objects/{}", encode_path(path));
        let url = self.url(&call);
        let response = self.write(&call, || {
            let request = self.agent.delete(&url).config();
            let request = request.timeout_global(Some(self.settings.response_timeout.into()));
            request.build().call()
        })?;
        match response.status() {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => Err(not_found(path)),
            status => Err(response_lost(call, status)),
        }
    }

    /// Lists the objects whose paths start with `prefix`, sorted by path.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`], [`Error::Malformed`] or
    /// [`Error::BudgetExhausted`].
    pub fn list(&self, prefix: &str) -> Result<Vec<Metadata>, Error> {
        let call = format!("GET /list/{}", encode_path(prefix));
        let response = self.read(Kind::Read, &call, self.settings.response_timeout)?;
        parse_json(&call, response)
    }

    /// Waits up to `wait` until the version of an object exceeds `after`.
    /// Returns `None` after that time without a change.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`], [`Error::Malformed`] or
    /// [`Error::BudgetExhausted`].
    pub fn watch(&self, path: &str, after: u64, wait: Span) -> Result<Option<Object>, Error> {
        let wait_ms = wait.as_millis();
        let path = encode_path(path);
        let call = format!("GET /watch/{path}?after={after}&wait_ms={wait_ms}");
        let timeout = Span(wait_ms.saturating_add(WATCH_MARGIN.as_millis()));
        let response = self.read(Kind::Watch, &call, timeout)?;
        match response.status() {
            StatusCode::OK => read_object(&call, response).map(Some),
            StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(unexpected_status(call, status)),
        }
    }

    /// Reads the instance list, which may be outdated. A malformed entry is logged
    /// and skipped, so that it does not hide the others.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`], [`Error::Malformed`] or
    /// [`Error::BudgetExhausted`].
    pub fn instances(&self) -> Result<Vec<Entry>, Error> {
        let call = "GET /instances";
        let response = self.read(Kind::Read, call, self.settings.response_timeout)?;
        let values: Vec<serde_json::Value> = parse_json(call, response)?;
        let parse_entry = |value: serde_json::Value| {
            let parsed = serde_json::from_value(value);
            parsed
                .inspect_err(|error| log::warn!("platform: skipped a malformed instance. {error}"))
                .ok()
        };
        Ok(values.into_iter().filter_map(parse_entry).collect())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Returns the URL of a call, which is given as its method and path, such as
    /// `GET /instances`.
    fn url(&self, call: &str) -> String {
        let path = call.split_once(' ').map_or("", |(_, path)| path);
        format!("http://{}{path}", self.address)
    }

    /// Charges the call budget with one attempt and counts it.
    fn charge(&self, kind: Kind, call: &str, is_retry: bool) -> Result<(), Error> {
        let now = Time(self.started.elapsed().as_millis() as u64);
        let mut state = self.state();
        if let Err(retry_after) = state.call_budget.take(now) {
            state.calls.over_budget += 1;
            let call = call.to_owned();
            return Err(Error::BudgetExhausted { call, retry_after });
        }
        if is_retry {
            state.calls.retries += 1;
        } else {
            state.retry_budget.record_call();
        }
        match kind {
            Kind::Read => state.calls.reads += 1,
            Kind::Write => state.calls.writes += 1,
            Kind::Watch => state.calls.watches += 1,
        }
        Ok(())
    }

    /// Sends a read, which is retried after any transport error. A lost response is
    /// reported as [`Error::Unavailable`].
    fn read(&self, kind: Kind, call: &str, timeout: Span) -> Result<Response<Body>, Error> {
        let url = self.url(call);
        let send = || {
            let request = self.agent.get(&url).config();
            let response = request
                .timeout_global(Some(timeout.into()))
                .build()
                .call()?;
            Ok(response)
        };
        self.send_with_retries(kind, call, |_| true, send)
            .map_err(|error| match error {
                Error::ResponseLost { call, reason } => Error::Unavailable { call, reason },
                error => error,
            })
    }

    fn write<F>(&self, call: &str, send: F) -> Result<Response<Body>, Error>
    where
        F: Fn() -> Result<Response<Body>, ureq::Error>,
    {
        self.send_with_retries(
            Kind::Write,
            call,
            |failure| !failure.may_have_been_sent,
            send,
        )
    }

    /// Sends a call and retries it while `is_retryable` and the budgets allow it.
    fn send_with_retries<F>(
        &self,
        kind: Kind,
        call: &str,
        is_retryable: fn(&Failure) -> bool,
        send: F,
    ) -> Result<Response<Body>, Error>
    where
        F: Fn() -> Result<Response<Body>, ureq::Error>,
    {
        let mut retries = 0;
        loop {
            self.charge(kind, call, retries > 0)?;
            let failure = match send() {
                Ok(response) => return Ok(response),
                Err(error) => Failure::new(&error),
            };
            let may_retry = retries < self.settings.max_retries && is_retryable(&failure);
            if !may_retry || !self.state().retry_budget.take() {
                return Err(failure.into_error(call));
            }
            thread::sleep(self.backoff(retries).into());
            retries += 1;
        }
    }

    /// Returns the delay before the next retry, at random between half of the
    /// exponential backoff and all of it.
    fn backoff(&self, retries: u32) -> Span {
        // The limit on the doublings keeps the shift from overflowing.
        let max_ms = self.settings.retry_backoff.as_millis() << retries.min(8);
        let jitter_ms = rand::rng().random_range(0..=max_ms / 2);
        Span(max_ms / 2 + jitter_ms)
    }
}

impl Failure {
    fn new(error: &ureq::Error) -> Self {
        Self {
            may_have_been_sent: !is_unsent(error),
            reason: error.to_string(),
        }
    }

    fn into_error(self, call: &str) -> Error {
        let call = call.to_owned();
        let reason = self.reason;
        match self.may_have_been_sent {
            true => Error::ResponseLost { call, reason },
            false => Error::Unavailable { call, reason },
        }
    }
}

/// Returns whether the error shows that no byte of the call was sent.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn encode_path(path: &str) -> String {
    utf8_percent_encode(path, PATH_ESCAPES).to_string()
}

fn version_header(response: &Response<Body>) -> Option<u64> {
    let mut values = response.headers().get_all("x-version").iter();
    let value = values.next()?;
    // Repeated fields may contradict each other.
    match values.next() {
        Some(_) => None,
        None => value.to_str().ok()?.parse().ok(),
    }
}

fn not_found(path: &str) -> Error {
    let path = path.to_owned();
    Error::NotFound { path }
}

fn response_lost(call: String, reason: impl ToString) -> Error {
    let reason = reason.to_string();
    Error::ResponseLost { call, reason }
}

fn unexpected_status(call: String, status: StatusCode) -> Error {
    let reason = format!("status {status}");
    Error::Unavailable { call, reason }
}

fn malformed(call: &str, reason: impl ToString) -> Error {
    Error::Malformed {
        call: call.to_owned(),
        reason: reason.to_string(),
    }
}

fn read_object(call: &str, response: Response<Body>) -> Result<Object, Error> {
    let version =
        version_header(&response).ok_or_else(|| malformed(call, "no x-version header"))?;
    if !balsamchute_transport::announces_end(&response) {
        return Err(malformed(call, "neither a length nor chunks"));
    }
    let bytes = read_body(call, response)?;
    Ok(Object { version, bytes })
}

fn read_body(call: &str, response: Response<Body>) -> Result<Vec<u8>, Error> {
    let body = response
        .into_body()
        .into_with_config()
        .limit(MAX_RESPONSE_BYTES);
    body.read_to_vec().map_err(|error| match error {
        ureq::Error::BodyExceedsLimit(_) => malformed(call, error),
        error => Error::Unavailable {
            call: call.to_owned(),
            reason: error.to_string(),
        },
    })
}

fn parse_json<T: DeserializeOwned>(call: &str, response: Response<Body>) -> Result<T, Error> {
    match response.status() {
        StatusCode::OK => {
            let bytes = read_body(call, response)?;
            serde_json::from_slice(&bytes).map_err(|error| malformed(call, error))
        }
        status => Err(unexpected_status(call.to_owned(), status)),
    }
}
