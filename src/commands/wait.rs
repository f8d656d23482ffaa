//! Waits until every live router has a version of the configuration in force.

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

/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest time to wait for one router's answer.
const ANSWER: Duration = Duration::from_secs(1);

/// Longest answer of a router in bytes.
const MAX_ANSWER_BYTES: u64 = 4096;

/// What one router says.
enum Answer {
    /// The version that it has in force.
    Version(u64),
    /// No process listens there; one that starts takes the highest version.
    Gone,
    /// Why it said nothing.
    Silent(String),
}

/// Asks all routers on the platform's list until they have `version` in force.
///
/// # Errors
///
/// Returns [`Error::Wait`] with the routers that have not, after `timeout`.
pub fn until(platform: SocketAddr, version: u64, timeout: Duration) -> Result<(), Error> {
    let client = store::client(platform);
    let agent = agent();
    let started = Instant::now();
    loop {
        let behind = match client.instances() {
            Ok(entries) => behind(&agent, &entries, version),
            Err(error) => vec![format!("platform: {error}")],
        };
        if behind.is_empty() {
            return Ok(());
        }
        if started.elapsed() >= timeout {
            let behind = behind.join("; ");
            return Err(Error::Wait { version, behind });
        }
        thread::sleep(PAUSE);
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(ANSWER))
        .build()
        .new_agent()
}

/// Returns the routers that have not `version` in force, each with its reason.
fn behind(agent: &Agent, entries: &[Entry], version: u64) -> Vec<String> {
    let routers = entries.iter().filter(|entry| entry.kind == Kind::Router);
    let late = |entry: &Entry| match ask(agent, entry.address) {
        Answer::Version(has) if has >= version => None,
        Answer::Version(has) => Some(format!("router {} has version {has}", entry.name)),
        Answer::Gone => None,
        Answer::Silent(reason) => Some(format!("router {}: {reason}", entry.name)),
    };
    thread::scope(|scope| {
        let asked: Vec<_> = routers
            .map(|entry| scope.spawn(move || late(entry)))
            .collect();
        let answers = asked.into_iter().map(|thread| thread.join());
        answers
            .filter_map(|answer| answer.expect("no question panics"))
            .collect()
    })
}

fn ask(agent: &Agent, address: SocketAddr) -> Answer {
    let call = agent.get(format!("http://{address}/inner/stamp")).call();
    let mut answer = match call {
        Ok(answer) => answer,
        Err(ureq::Error::Io(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Answer::Gone;
        }
        Err(error) => return Answer::Silent(error.to_string()),
    };
    let status = answer.status().as_u16();
    if status != 200 {
        return Answer::Silent(format!("status {status}"));
    }
    let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    let bytes = match body.read_to_vec() {
        Ok(bytes) => bytes,
        Err(error) => return Answer::Silent(error.to_string()),
    };
    match codec::decode::<Stamp>(&bytes) {
        Ok(stamp) => Answer::Version(stamp.version),
        Err(error) => Answer::Silent(error.to_string()),
    }
}
