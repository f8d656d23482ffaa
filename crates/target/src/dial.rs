//! The HTTP agent, made so that a failed connect can be told from all else.

use balsamchute_base::prelude::*;
use displaydoc::Display;
use ureq::Agent;
use ureq::http::Response;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{ConnectionDetails, Connector, TcpConnector};

use crate::error::Error;
use crate::settings::Settings;

/// Header by which a target attests that a request did not run.
const NOT_RUN: &str = "x-not-run";

/// Buffer for what a connection receives, in bytes. Every open stream has a
/// connection, and the library's 128 KiB would be most of its memory.
const INPUT_BYTES: usize = 4 * 1024;

/// Buffer for what a connection sends, in bytes.
const OUTPUT_BYTES: usize = 2 * 1024;

/// Longest reason that is read from an answer, in bytes.
const MAX_REASON_BYTES: u64 = 4096;

/// no connection: {0}
#[derive(Debug, Display)]
struct Unconnected(ureq::Error);

impl std::error::Error for Unconnected {}

/// Marks errors that come before a connection exists.
#[derive(Debug, Default)]
struct Dial(TcpConnector);

impl Connector<()> for Dial {
    type Out = <TcpConnector as Connector<()>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        let connected = self.0.connect(details, chained);
        connected.map_err(|error| ureq::Error::Other(Box::new(Unconnected(error))))
    }
}

/// The connections of a client.
#[derive(Clone, Debug)]
pub struct Agents {
    /// Keeps connections for the next call.
    pub pooled: Agent,
    /// Makes a connection for each call.
    pub fresh: Agent,
}

impl Agents {
    /// Creates the agents.
    pub fn new(settings: &Settings) -> Self {
        Self {
            pooled: agent(settings, settings.kept_connections),
            fresh: agent(settings, 0),
        }
    }

    /// Returns the agent for a request.
    ///
    /// A kept connection that the target closes cannot be told from a request
    /// that it took, so a non-idempotent one has a connection of its own.
    pub fn for_request(&self, key: Option<&Key>) -> &Agent {
        match key {
            Some(_) => &self.fresh,
            None => &self.pooled,
        }
    }
}

fn agent(settings: &Settings, kept_connections: usize) -> Agent {
    let most = if kept_connections == 0 { 0 } else { usize::MAX };
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .user_agent("")
        .accept("")
        .proxy(None)
        .timeout_connect(Some(settings.connect.into()))
        .timeout_per_read(Some(settings.idle.into()))
        .max_idle_connections_per_host(kept_connections)
        .max_idle_connections(most)
        .input_buffer_size(INPUT_BYTES)
        .output_buffer_size(OUTPUT_BYTES)
        .max_response_header_size(INPUT_BYTES)
        .build();
    Agent::with_parts(config, Dial::default(), DefaultResolver::default())
}

/// Whether an error came before the first byte was sent.
pub fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Other(error) => error.is::<Unconnected>(),
        _ => false,
    }
}

/// Whether the target refused a connection, as it does when its process is gone.
pub fn is_gone(error: &ureq::Error) -> bool {
    let ureq::Error::Other(error) = error else {
        return false;
    };
    match error.downcast_ref::<Unconnected>() {
        Some(Unconnected(ureq::Error::Io(error))) => {
            error.kind() == std::io::ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

/// Returns the error of an exchange that got no answer.
pub fn failure(error: &ureq::Error) -> Error {
    let reason = error.to_string();
    match is_unsent(error) {
        true => Error::NotSent { reason },
        false => Error::MayHaveRun { reason },
    }
}

/// Returns the error that an answer other than 200 stands for.
pub fn refusal(mut answer: Response<ureq::Body>) -> Error {
    let attested = answer
        .headers()
        .get(NOT_RUN)
        .is_some_and(|value| value == "1");
    let body = answer.body_mut().with_config().limit(MAX_REASON_BYTES);
    let text = body.lossy_utf8(true).read_to_string().unwrap_or_default();
    let status = answer.status();
    let reason = format!("status {status}: {text}");
    match attested {
        true => Error::Refused { reason },
        false => Error::Answered { reason },
    }
}
