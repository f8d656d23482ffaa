//! HTTP client of model engines.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body};

use crate::dial::{self, Agents};
use crate::error::Error;
use crate::load::Report;
use crate::settings::Settings;
use crate::stream::Stream;

/// Upper bound for the body of a load report, an event list or a fencing
/// conflict, in bytes.
const MAX_CONTROL_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// Upper bound for the exported cache state of a prefix, in bytes.
const MAX_CACHE_STATE_BYTES: u64 = 1024 * 1024 * 1024;

/// Body of a request to generate tokens.
#[derive(Clone, Debug, Serialize)]
pub struct Generation<'a> {
    /// Id of the attempt, unique across all requests.
    pub attempt: &'a Attempt,
    /// Workspace that the request belongs to.
    pub workspace: &'a Workspace,
    /// Id of the request.
    pub request: &'a Request,
    /// Idempotency key, present for a non-idempotent request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<&'a Key>,
    /// Name of the prompt prefix, under which the engine caches its state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefix: Option<&'a str>,
    /// Fencing number. An engine that checks it refuses an attempt unless its number
    /// is higher than the last one that it has seen with the key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fence: Option<u64>,
    /// Request body as received from the caller.
    pub prompt: &'a str,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub seq: u64,
    /// Name of the prompt prefix.
    pub prefix: String,
    /// Whether the prefix was added to the cache; false if it was evicted.
    pub cached: bool,
}

/// Control command sent to an engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Loads the model, adapter or version with this name.
    Load(String),
    /// Unloads the model, adapter or version with this name.
    Unload(String),
    /// Changes the role of the engine to the one with this name, such as `decode`.
    Role(String),
}

#[derive(Serialize)]
struct FencedOrder<'a> {
    fence: u64,
    order: &'a Order,
}

/// Body of a 409 response to an order.
#[derive(Deserialize)]
struct Conflict {
    fence: u64,
}

#[derive(Deserialize)]
struct EventList {
    events: Vec<CacheEvent>,
}

/// Client for any number of engines. Clones share its connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    agents: Agents,
    settings: Settings,
}

impl Client {
    /// Creates a client with a connection pool of its own.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            agents: Agents::new(&settings),
            settings,
        }
    }

    /// Starts a generation and returns its token stream.
    ///
    /// If the response to the request is lost, the stream resumes the attempt
    /// at the engine from the first token.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] or [`Error::Refused`] if the request did not
    /// run, and [`Error::ErrorResponse`] if the engine returned an error.
    ///
    /// # Panics
    ///
    /// Panics if the request cannot be encoded as JSON, which cannot occur.
    pub fn generate(
        &self,
        target: SocketAddr,
        generation: &Generation<'_>,
    ) -> Result<Stream, Error> {
        let body = serde_json::to_vec(generation).expect("a generation encodes as JSON");
        let request = self
            .agents
            .requests
            .post(format!("http://{target}/generate"));
        let result = request.content_type("application/json").send(&body[..]);
        let (response, loss_reason) = match result {
            Ok(response) if response.status() == StatusCode::OK => (Some(response), String::new()),
            Ok(response) => return Err(dial::status_error(response)),
            Err(error) if dial::is_unsent(&error) => return Err(dial::transport_error(&error)),
            Err(error) => (None, error.to_string()),
        };
        let (agents, settings) = (&self.agents, &self.settings);
        let attempt = generation.attempt;
        Ok(Stream::new(
            agents,
            settings,
            target,
            attempt,
            response,
            loss_reason,
        ))
    }

    /// Fetches the engine's load report, which may be outdated.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer or the report is malformed.
    pub fn load_report(&self, target: SocketAddr) -> Result<Report, Error> {
        let response = self.get(&self.agents.control, &format!("http://{target}/load"))?;
        parse_json(response)
    }

    /// Fetches the cache events with sequence numbers above `after`. They are
    /// delivered with a delay and may have gaps.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer or the list is malformed.
    pub fn cache_events(&self, target: SocketAddr, after: u64) -> Result<Vec<CacheEvent>, Error> {
        let response = self.get(
            &self.agents.control,
            &format!("http://{target}/events?after={after}"),
        )?;
        parse_json::<EventList>(response).map(|list| list.events)
    }

    /// Sends an order with the fencing number `fence`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fenced`] if the engine has seen a higher number and
    /// [`Error::MayHaveRun`] if it may have executed the order.
    ///
    /// # Panics
    ///
    /// Panics if the order cannot be encoded as JSON, which cannot occur.
    pub fn order(&self, target: SocketAddr, fence: u64, order: &Order) -> Result<(), Error> {
        let body =
            serde_json::to_vec(&FencedOrder { fence, order }).expect("an order encodes as JSON");
        let request = self
            .agents
            .requests
            .post(format!("http://{target}/order"))
            .config();
        let request = request.timeout_global(Some(self.settings.control_timeout.into()));
        let result = request
            .build()
            .content_type("application/json")
            .send(&body[..]);
        let response = result.map_err(|error| dial::transport_error(&error))?;
        match response.status() {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => {
                let Conflict { fence } = decode_json(response)?;
                Err(Error::Fenced { fence })
            }
            _ => Err(dial::status_error(response)),
        }
    }

    /// Exports the engine's cached state of a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`Error::ErrorResponse`] if the engine has no state of the prefix, and
    /// [`Error::Malformed`] if the state may be incomplete.
    pub fn export(&self, target: SocketAddr, prefix: &str) -> Result<Vec<u8>, Error> {
        let response = self.get(&self.agents.requests, &cache_url(target, prefix))?;
        match response.status() {
            StatusCode::OK if balsamchute_transport::announces_end(&response) => {
                read_body(response, MAX_CACHE_STATE_BYTES)
            }
            StatusCode::OK => Err(Error::Malformed {
                reason: "the state has neither a length nor chunks".to_owned(),
            }),
            _ => Err(dial::status_error(response)),
        }
    }

    /// Imports the cached state of a prefix into the engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not confirm the import.
    pub fn import(&self, target: SocketAddr, prefix: &str, state: &[u8]) -> Result<(), Error> {
        let request = self.agents.requests.put(cache_url(target, prefix));
        let response = request
            .send(state)
            .map_err(|error| dial::transport_error(&error))?;
        match response.status() {
            StatusCode::OK => Ok(()),
            _ => Err(dial::status_error(response)),
        }
    }

    fn get(&self, agent: &Agent, url: &str) -> Result<Response<Body>, Error> {
        let request = agent.get(url).config();
        let request = request.timeout_global(Some(self.settings.control_timeout.into()));
        let response = request.build().call();
        response.map_err(|error| dial::transport_error(&error))
    }
}

fn cache_url(target: SocketAddr, prefix: &str) -> String {
    let prefix = utf8_percent_encode(prefix, NON_ALPHANUMERIC);
    format!("http://{target}/kv/{prefix}")
}

fn read_body(response: Response<Body>, max_bytes: u64) -> Result<Vec<u8>, Error> {
    let body = response.into_body().into_with_config().limit(max_bytes);
    body.read_to_vec().map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}

fn decode_json<T: DeserializeOwned>(response: Response<Body>) -> Result<T, Error> {
    let bytes = read_body(response, MAX_CONTROL_RESPONSE_BYTES)?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}

/// Decodes the JSON body of a response with status 200; other statuses are errors.
pub(crate) fn parse_json<T: DeserializeOwned>(response: Response<Body>) -> Result<T, Error> {
    match response.status() {
        StatusCode::OK => decode_json(response),
        _ => Err(dial::status_error(response)),
    }
}
