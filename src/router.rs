//! Client for the operator endpoints of routers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::error::Error;

/// Timeout of one request to a router, connection included.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Router from which a command discovers the fleet.
#[derive(Clone, Debug, Bpaf)]
pub struct Address {
    /// Address at which any router accepts callers; the other routers are discovered from it
    #[bpaf(long, env("BALSAMCHUTE_ROUTER"), argument("IP:PORT"))]
    pub router: SocketAddr,
}

/// State of one router, as `/v1/status` returns it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Instance name of the router.
    pub instance: String,
    /// Incarnation of the running process; each restart has a new one.
    pub incarnation: u64,
    /// Version of the configuration in force at the router.
    pub config: u64,
    /// Lifecycle phase: `starting`, `serving` or `leaving`.
    pub phase: String,
    /// Whether the router can store claims of durable keys.
    pub durable: bool,
    /// Requests that the router holds, waiting or running.
    pub requests: u64,
    /// Serving routers as seen by this router, itself included while it serves.
    pub members: Vec<Peer>,
    /// Queue and slots of each service at this router.
    pub services: Vec<Service>,
}

/// Serving router as another router sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    /// Instance name of the peer.
    pub instance: String,
    /// Failure domain that the peer runs in.
    pub domain: String,
    /// Address at which the peer accepts callers.
    pub callers: SocketAddr,
    /// Version of the configuration that the peer reported last.
    pub config: u64,
    /// Lifecycle phase: `starting`, `serving` or `leaving`.
    pub phase: String,
}

/// State of a service at one router.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Service {
    /// Name of the service.
    pub service: String,
    /// Requests that wait in the router's queue.
    pub backlog: u64,
    /// Virtual time of the queue, in cost per unit of weight.
    pub virtual_time: f64,
    /// Sum of the weights of the workspaces that have waiting requests.
    pub weight: f64,
    /// Total slots of the runners that this router owns.
    pub slots: u64,
    /// Owned slots that are in use or lent to other routers.
    pub lent: u64,
}

/// HTTP client for requests to routers.
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client that follows no redirects and uses no proxy.
    pub fn new() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .build();
        let agent = balsamchute_transport::agent(config);
        Client { agent }
    }

    /// Sends a GET request and parses the JSON response; `None` for status 404.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Router`] if the request fails, the status is another one or
    /// the body is malformed.
    pub fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Option<T>, Error> {
        let to_error = |reason: String| Error::Router { address, reason };
        let call = self.agent.get(format!("http://{address}{path}")).call();
        let mut response = call.map_err(|error| to_error(error.to_string()))?;
        match response.status().as_u16() {
            200 => {
                let body = response.body_mut().read_to_string();
                let body = body.map_err(|error| to_error(error.to_string()))?;
                let value = serde_json::from_str(&body);
                value.map(Some).map_err(|error| to_error(error.to_string()))
            }
            404 => Ok(None),
            status => Err(to_error(format!("status {status}"))),
        }
    }

    /// Sends a POST request without a body; returns `false` for status 404.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Router`] if the request fails or the status is another one.
    pub fn post(&self, address: SocketAddr, path: &str) -> Result<bool, Error> {
        let to_error = |reason: String| Error::Router { address, reason };
        let url = format!("http://{address}{path}");
        let response = self.agent.post(url).send_empty();
        let response = response.map_err(|error| to_error(error.to_string()))?;
        match response.status().as_u16() {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(to_error(format!("status {status}"))),
        }
    }

    /// Fetches the state of one router.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Router`] if the request fails or has no usable response.
    pub fn fetch_status(&self, address: SocketAddr) -> Result<Status, Error> {
        let status = self.get(address, "/v1/status")?;
        status.ok_or_else(|| Error::Router {
            address,
            reason: "status 404 for /v1/status".to_owned(),
        })
    }

    /// Fetches the states of all routers that can be discovered from `seed`.
    ///
    /// Routers that a discovered router lists are queried in turn. A router that
    /// is reached under several addresses is returned once.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Router`] if the request to `seed` itself fails.
    pub fn fetch_fleet(&self, seed: SocketAddr) -> Result<Fleet, Error> {
        let first = self.fetch_status(seed)?;
        let mut fleet = Fleet {
            failures: Vec::new(),
            routers: Vec::new(),
        };
        let mut queried = BTreeSet::from([seed]);
        let mut pending = peer_addresses(&first);
        fleet.routers.push((seed, first));
        while let Some(address) = pending.pop() {
            if !queried.insert(address) {
                continue;
            }
            match self.fetch_status(address) {
                Ok(status) => {
                    pending.extend(peer_addresses(&status));
                    fleet.routers.push((address, status));
                }
                Err(error) => fleet.failures.push((address, error.to_string())),
            }
        }
        let mut seen = BTreeSet::new();
        fleet
            .routers
            .retain(|(_, status)| seen.insert(status.instance.clone()));
        fleet
            .routers
            .sort_by(|a, b| a.1.instance.cmp(&b.1.instance));
        Ok(fleet)
    }
}

fn peer_addresses(status: &Status) -> Vec<SocketAddr> {
    let peers = status.members.iter();
    peers
        .filter(|peer| peer.instance != status.instance)
        .map(|peer| peer.callers)
        .collect()
}

/// Result of querying all discovered routers.
pub struct Fleet {
    /// States in order of instance name, with the addresses that were queried.
    pub routers: Vec<(SocketAddr, Status)>,
    /// Addresses that a router lists but that could not be queried, with the error.
    pub failures: Vec<(SocketAddr, String)>,
}
