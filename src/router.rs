//! What routers tell operators.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::error::Error;

/// Longest time to wait for a router's answer.
const ANSWER: Duration = Duration::from_secs(2);

/// Where to begin asking.
#[derive(Clone, Debug, Bpaf)]
pub struct Entrance {
    /// Callers' address of any router; the others are learnt from it
    #[bpaf(long, env("BALSAMCHUTE_ROUTER"), argument("IP:PORT"))]
    pub router: SocketAddr,
}

/// A router's state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The router.
    pub instance: String,
    /// Its current life.
    pub incarnation: u64,
    /// The version of the configuration in force.
    pub config: u64,
    /// Starting, serving or leaving.
    pub phase: String,
    /// Whether claims can be stored now.
    pub durable: bool,
    /// Requests in hand.
    pub requests: u64,
    /// Live routers as this one sees them.
    pub members: Vec<Peer>,
    /// Services with their queues and slots.
    pub services: Vec<Service>,
}

/// A live router as another one sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    /// The router.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// The version of the configuration that it reported last.
    pub config: u64,
    /// Starting, serving or leaving.
    pub phase: String,
}

/// A service at one router.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Service {
    /// The service.
    pub service: String,
    /// Requests that wait here.
    pub backlog: u64,
    /// Virtual time of the queue, in cost for each unit of weight.
    pub virtual_time: f64,
    /// Sum of the weights of workspaces with waiting requests.
    pub weight: f64,
    /// Slots of runners that this router owns.
    pub slots: u64,
    /// Of these, slots in use or lent.
    pub lent: u64,
}

/// Asks routers.
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client.
    pub fn new() -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(ANSWER))
            .build()
            .new_agent();
        Client { agent }
    }

    /// Reads a JSON answer, `None` if the router has none to give.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Router`] without a usable answer.
    pub fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Option<T>, Error> {
        let failed = |reason: String| Error::Router { address, reason };
        let call = self.agent.get(format!("http://{address}{path}")).call();
        let mut answer = call.map_err(|error| failed(error.to_string()))?;
        match answer.status().as_u16() {
            200 => {
                let body = answer.body_mut().read_to_string();
                let body = body.map_err(|error| failed(error.to_string()))?;
                let value = serde_json::from_str(&body);
                value.map(Some).map_err(|error| failed(error.to_string()))
            }
            404 => Ok(None),
            status => Err(failed(format!("status {status}"))),
        }
    }

    /// Sends a command without a body; returns whether the router knew the
    /// thing that it was about.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Router`] without a usable answer.
    pub fn post(&self, address: SocketAddr, path: &str) -> Result<bool, Error> {
        let failed = |reason: String| Error::Router { address, reason };
        let url = format!("http://{address}{path}");
        let answer = self.agent.post(url).send_empty();
        let answer = answer.map_err(|error| failed(error.to_string()))?;
        match answer.status().as_u16() {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(failed(format!("status {status}"))),
        }
    }

    /// Reads the state of one router.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Router`] without a usable answer.
    pub fn status(&self, address: SocketAddr) -> Result<Status, Error> {
        let status = self.get(address, "/v1/status")?;
        status.ok_or_else(|| Error::Router {
            address,
            reason: "it has no status".to_owned(),
        })
    }

    /// Reads the states of all routers that can be reached from `entrance`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Router`] if the entrance itself does not answer.
    pub fn fleet(&self, entrance: SocketAddr) -> Result<Fleet, Error> {
        let first = self.status(entrance)?;
        let mut fleet = Fleet {
            silent: Vec::new(),
            routers: Vec::new(),
        };
        let mut asked = BTreeSet::from([entrance]);
        let mut open = others(&first);
        fleet.routers.push((entrance, first));
        while let Some(address) = open.pop() {
            if !asked.insert(address) {
                continue;
            }
            match self.status(address) {
                Ok(status) => {
                    open.extend(others(&status));
                    fleet.routers.push((address, status));
                }
                Err(error) => fleet.silent.push((address, error.to_string())),
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

fn others(status: &Status) -> Vec<SocketAddr> {
    let others = status.members.iter();
    others
        .filter(|peer| peer.instance != status.instance)
        .map(|peer| peer.callers)
        .collect()
}

/// The routers that were asked.
pub struct Fleet {
    /// Those that answered, in order of name, with the addresses asked.
    pub routers: Vec<(SocketAddr, Status)>,
    /// Those that a router names as live but that did not answer, and why.
    pub silent: Vec<(SocketAddr, String)>,
}
