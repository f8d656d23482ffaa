//! Waiting until every live router has a version of the configuration in force.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_platform::instance::{Entry, Kind};
use balsamchute_wire::codec;
use balsamchute_wire::config::Stamp;
use ureq::Agent;

use crate::error::Error;
use crate::store;

/// Pause between two rounds of queries.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of one query, connection included.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest response body that is read.
const MAX_RESPONSE_BYTES: u64 = 4096;

/// Result of querying one router.
enum Response {
    /// Version in force at the router.
    Version(u64),
    /// Connection refused: no process listens at the address. A router that starts
    /// later takes the highest version, so there is nothing to wait for.
    NotListening,
    /// Reason why the version could not be read.
    Failed(String),
}

/// Polls all routers in the platform's list until each has `version` or a later one
/// in force. Routers that refuse the connection are left out.
///
/// # Errors
///
/// Returns [`Error::NotInForce`] with the lagging routers after `timeout`.
pub fn until_in_force(platform: SocketAddr, version: u64, timeout: Duration) -> Result<(), Error> {
    let client = store::client(platform);
    let agent = agent();
    let started = Instant::now();
    loop {
        let lagging = match client.instances() {
            Ok(entries) => lagging_routers(&agent, &entries, version),
            Err(error) => vec![format!("platform: {error}")],
        };
        if lagging.is_empty() {
            return Ok(());
        }
        if started.elapsed() >= timeout {
            let lagging = lagging.join("; ");
            return Err(Error::NotInForce { version, lagging });
        }
        thread::sleep(POLL_PAUSE);
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(RESPONSE_TIMEOUT))
        .build();
    balsamchute_transport::agent(config)
}

/// Returns the routers that do not have `version` in force, each with the reason.
fn lagging_routers(agent: &Agent, entries: &[Entry], version: u64) -> Vec<String> {
    let routers = entries.iter().filter(|entry| entry.kind == Kind::Router);
    let lag_reason = |entry: &Entry| match query_version(agent, entry.address) {
        Response::Version(current) if current >= version => None,
        Response::Version(current) => Some(format!("router {} has version {current}", entry.name)),
        Response::NotListening => None,
        Response::Failed(reason) => Some(format!("router {}: {reason}", entry.name)),
    };
    thread::scope(|scope| {
        let threads: Vec<_> = routers
            .map(|entry| scope.spawn(move || lag_reason(entry)))
            .collect();
        let responses = threads.into_iter().map(|thread| thread.join());
        responses
            .filter_map(|response| response.expect("query threads do not panic"))
            .collect()
    })
}

fn query_version(agent: &Agent, address: SocketAddr) -> Response {
    let call = agent.get(format!("http://{address}/inner/stamp")).call();
    let mut response = match call {
        Ok(response) => response,
        Err(ureq::Error::Io(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Response::NotListening;
        }
        Err(error) => return Response::Failed(error.to_string()),
    };
    let status = response.status().as_u16();
    if status != 200 {
        return Response::Failed(format!("status {status}"));
    }
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    let bytes = match body.read_to_vec() {
        Ok(bytes) => bytes,
        Err(error) => return Response::Failed(error.to_string()),
    };
    match codec::decode::<Stamp>(&bytes) {
        Ok(stamp) => Response::Version(stamp.version),
        Err(error) => Response::Failed(error.to_string()),
    }
}
