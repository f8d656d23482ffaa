//! HTTP agents whose connect errors are distinguishable from all other errors.

use balsamchute_transport::{Connection, Connector};
use displaydoc::Display;
use ureq::Agent;
use ureq::http::Response;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{self, ConnectionDetails};

use crate::error::Error;
use crate::settings::Settings;

/// Header with which a target attests that it did not run a request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Receive buffer of a connection and maximum length of a response head, in bytes.
/// Every open stream holds a
/// connection, so ureq's default of 128 KiB would dominate its memory.
const INPUT_BYTES: usize = 4 * 1024;

/// Send buffer of a connection, in bytes.
const OUTPUT_BYTES: usize = 2 * 1024;

/// Upper bound for the part of an error response's body that is read, in bytes.
const MAX_REASON_BYTES: u64 = 4096;

/// no connection: {0}
#[derive(Debug, Display)]
struct ConnectError(ureq::Error);

impl std::error::Error for ConnectError {}

/// Connector that wraps its errors in [`ConnectError`].
#[derive(Debug, Default)]
struct Dialer(Connector);

impl transport::Connector for Dialer {
    type Out = Connection;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        let connected = self.0.connect(details, chained);
        connected.map_err(|error| ureq::Error::Other(Box::new(ConnectError(error))))
    }
}

/// HTTP agents of a client.
#[derive(Clone, Debug)]
pub struct Agents {
    /// Agent of load reports, event lists and cancellations, which keeps idle connections for
    /// later ones.
    pub control: Agent,
    /// Agent of callers' requests, orders and cache states, which opens a new connection for
    /// each.
    ///
    /// A target may send a second copy of an answer, which on a pooled connection would
    /// answer the next request. If it closes a pooled connection, the error is the same as
    /// for a request that it has received.
    pub requests: Agent,
}

impl Agents {
    /// Creates both agents with the timeouts and the pool size of `settings`.
    pub fn new(settings: &Settings) -> Self {
        Self {
            control: agent(settings, settings.max_idle_connections),
            requests: agent(settings, 0),
        }
    }
}

/// Creates an agent that keeps up to `max_idle_per_target` idle connections for
/// each target and any number in total, or none if that is 0.
fn agent(settings: &Settings, max_idle_per_target: usize) -> Agent {
    let max_idle = if max_idle_per_target == 0 {
        0
    } else {
        usize::MAX
    };
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .user_agent("")
        .accept("")
        .proxy(None)
        .timeout_connect(Some(settings.connect_timeout.into()))
        .timeout_per_read(Some(settings.idle_timeout.into()))
        .max_idle_connections_per_host(max_idle_per_target)
        .max_idle_connections(max_idle)
        .input_buffer_size(INPUT_BYTES)
        .output_buffer_size(OUTPUT_BYTES)
        .max_response_header_size(INPUT_BYTES)
        .build();
    Agent::with_parts(config, Dialer::default(), DefaultResolver::default())
}

/// Returns whether the error shows that no byte of the request was sent.
pub fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Other(error) => error.is::<ConnectError>(),
        _ => false,
    }
}

/// Returns whether the target refused the connection, which it does once its
/// process has ended.
pub fn is_connection_refused(error: &ureq::Error) -> bool {
    let ureq::Error::Other(error) = error else {
        return false;
    };
    match error.downcast_ref::<ConnectError>() {
        Some(ConnectError(ureq::Error::Io(error))) => {
            error.kind() == std::io::ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

/// Returns the error of a call that got no response: [`Error::NotSent`] if the
/// connection failed, otherwise [`Error::MayHaveRun`].
pub fn transport_error(error: &ureq::Error) -> Error {
    let reason = error.to_string();
    match is_unsent(error) {
        true => Error::NotSent { reason },
        false => Error::MayHaveRun { reason },
    }
}

/// Returns the error for a response with an unexpected status:
/// [`Error::Refused`] if the target attests that the request did not run,
/// otherwise [`Error::ErrorResponse`].
pub fn status_error(mut response: Response<ureq::Body>) -> Error {
    let mut values = response.headers().get_all(NOT_RUN_HEADER).iter();
    // Repeated fields may contradict each other.
    let attested = values.next().is_some_and(|value| value == "1") && values.next().is_none();
    let body = response.body_mut().with_config().limit(MAX_REASON_BYTES);
    let text = body.lossy_utf8(true).read_to_string().unwrap_or_default();
    let status = response.status();
    let reason = format!("status {status}: {text}");
    match attested {
        true => Error::Refused { reason },
        false => Error::ErrorResponse { reason },
    }
}
