//! Client of model engines.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::Body;
use ureq::http::{Response, StatusCode};

use crate::dial::{self, Agents};
use crate::error::Error;
use crate::load::Load;
use crate::settings::Settings;
use crate::stream::Stream;

/// Largest answer to a control call in bytes.
const MAX_CONTROL_BYTES: u64 = 4 * 1024 * 1024;

/// Largest exported cache state in bytes.
const MAX_STATE_BYTES: u64 = 1024 * 1024 * 1024;

/// A request to an engine.
#[derive(Clone, Debug, Serialize)]
pub struct Generation<'a> {
    /// The attempt, unique over all requests.
    pub attempt: &'a Attempt,
    /// The workspace.
    pub workspace: &'a Workspace,
    /// The request.
    pub request: &'a Request,
    /// Key of a non-idempotent request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<&'a Key>,
    /// Name of the prompt prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefix: Option<&'a str>,
    /// Fencing number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fence: Option<u64>,
    /// The caller's body.
    pub prompt: &'a str,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct Event {
    /// Number of the event; a gap means that some were lost.
    pub seq: u64,
    /// The prefix.
    pub prefix: String,
    /// Whether it is cached from now on.
    pub cached: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Loads a model, an adapter or a version, by its name.
    Load(String),
    /// Unloads one.
    Unload(String),
    /// Changes the role.
    Role(String),
}

#[derive(Serialize)]
struct Numbered<'a> {
    fence: u64,
    order: &'a Order,
}

#[derive(Deserialize)]
struct Fenced {
    fence: u64,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Event>,
}

/// A client, which may be shared between threads and used for any engine.
#[derive(Clone, Debug)]
pub struct Client {
    agents: Agents,
    settings: Settings,
}

impl Client {
    /// Creates a client with its own pool of connections.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            agents: Agents::new(&settings),
            settings,
        }
    }

    /// Starts a generation.
    ///
    /// If the answer to the request is lost, the stream asks the engine for it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] or [`Error::Refused`] if the request did not
    /// run, and [`Error::Answered`] if the engine answered with an error.
    ///
    /// # Panics
    ///
    /// Panics if the request cannot be encoded, which none does.
    pub fn generate(
        &self,
        target: SocketAddr,
        generation: &Generation<'_>,
    ) -> Result<Stream, Error> {
        let body = serde_json::to_vec(generation).expect("generations always encode");
        let agent = self.agents.for_request(generation.key);
        let request = agent.post(format!("http://{target}/generate"));
        let sent = request.content_type("application/json").send(&body[..]);
        let (answer, reason) = match sent {
            Ok(answer) if answer.status() == StatusCode::OK => (Some(answer), String::new()),
            Ok(answer) => return Err(dial::refusal(answer)),
            Err(error) if dial::is_unsent(&error) => return Err(dial::failure(&error)),
            Err(error) => (None, error.to_string()),
        };
        let (agent, settings) = (&self.agents.pooled, &self.settings);
        let attempt = generation.attempt;
        Ok(Stream::new(
            agent, settings, target, attempt, answer, reason,
        ))
    }

    /// Reads the load, which is late.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer or makes no sense.
    pub fn load(&self, target: SocketAddr) -> Result<Load, Error> {
        let answer = self.get(&format!("http://{target}/load"))?;
        json(answer)
    }

    /// Reads the cache events after number `after`. They are late and have gaps.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer or makes no sense.
    pub fn events(&self, target: SocketAddr, after: u64) -> Result<Vec<Event>, Error> {
        let answer = self.get(&format!("http://{target}/events?after={after}"))?;
        json::<Events>(answer).map(|events| events.events)
    }

    /// Gives an order with a fencing number.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fenced`] if the engine has seen a higher number.
    /// [`Error::MayHaveRun`] says that it may have taken the order.
    ///
    /// # Panics
    ///
    /// Panics if the order cannot be encoded, which none does.
    pub fn order(&self, target: SocketAddr, fence: u64, order: &Order) -> Result<(), Error> {
        let body = serde_json::to_vec(&Numbered { fence, order }).expect("orders always encode");
        let request = self
            .agents
            .pooled
            .post(format!("http://{target}/order"))
            .config();
        let request = request.timeout_global(Some(self.settings.control.into()));
        let sent = request
            .build()
            .content_type("application/json")
            .send(&body[..]);
        let answer = sent.map_err(|error| dial::failure(&error))?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => {
                let Fenced { fence } = decode(answer)?;
                Err(Error::Fenced { fence })
            }
            _ => Err(dial::refusal(answer)),
        }
    }

    /// Exports the cached state of a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Answered`] if the engine has none.
    pub fn export(&self, target: SocketAddr, prefix: &str) -> Result<Vec<u8>, Error> {
        let answer = self.get(&state_url(target, prefix))?;
        match answer.status() {
            StatusCode::OK => bytes(answer, MAX_STATE_BYTES),
            _ => Err(dial::refusal(answer)),
        }
    }

    /// Imports the cached state of a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not take it.
    pub fn import(&self, target: SocketAddr, prefix: &str, state: &[u8]) -> Result<(), Error> {
        let request = self.agents.pooled.put(state_url(target, prefix));
        let answer = request.send(state).map_err(|error| dial::failure(&error))?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            _ => Err(dial::refusal(answer)),
        }
    }

    fn get(&self, url: &str) -> Result<Response<Body>, Error> {
        let request = self.agents.pooled.get(url).config();
        let request = request.timeout_global(Some(self.settings.control.into()));
        let answer = request.build().call();
        answer.map_err(|error| dial::failure(&error))
    }
}

fn state_url(target: SocketAddr, prefix: &str) -> String {
    let prefix = utf8_percent_encode(prefix, NON_ALPHANUMERIC);
    format!("http://{target}/kv/{prefix}")
}

fn bytes(answer: Response<Body>, limit: u64) -> Result<Vec<u8>, Error> {
    let body = answer.into_body().into_with_config().limit(limit);
    body.read_to_vec().map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}

fn decode<T: DeserializeOwned>(answer: Response<Body>) -> Result<T, Error> {
    let bytes = bytes(answer, MAX_CONTROL_BYTES)?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}

pub(crate) fn json<T: DeserializeOwned>(answer: Response<Body>) -> Result<T, Error> {
    match answer.status() {
        StatusCode::OK => decode(answer),
        _ => Err(dial::refusal(answer)),
    }
}
