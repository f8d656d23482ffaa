//! HTTP client of plain services.

use std::net::SocketAddr;
use std::thread;

use balsamchute_base::prelude::*;
use ureq::Body;
use ureq::http::{Response, StatusCode};

use crate::dial::{self, Agents};
use crate::engine;
use crate::error::Error;
use crate::load::Report;
use crate::settings::Settings;

/// Upper bound for the body of a response, in bytes. A call with a longer response
/// ends in [`Error::MayHaveRun`].
pub const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Call of a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Id of the attempt, unique across all requests.
    pub attempt: &'a Attempt,
    /// Workspace that the request belongs to.
    pub workspace: &'a Workspace,
    /// Id of the request.
    pub request: &'a Request,
    /// Idempotency key, present for a non-idempotent request.
    pub key: Option<&'a Key>,
    /// Fencing number. A service that checks it refuses a call unless its number is
    /// higher than the last one that it has seen with the key.
    pub fence: Option<u64>,
    /// Request body as received from the caller.
    pub body: &'a [u8],
    /// Timeout of the whole call.
    pub timeout: Span,
}

/// Client for any number of plain services. Clones share its connection pool.
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

    /// Makes a call and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] or [`Error::Refused`] if the call did not run,
    /// [`Error::ErrorResponse`] if the service returned an error, and
    /// [`Error::Crashed`] or [`Error::MayHaveRun`] without a complete response. A
    /// response with neither a length nor chunks does not count as complete.
    pub fn call(&self, target: SocketAddr, call: &Call<'_>) -> Result<Vec<u8>, Error> {
        let mut request = self
            .agents
            .requests
            .post(format!("http://{target}/call"))
            .header("x-attempt", call.attempt.as_str())
            .header("x-workspace", call.workspace.as_str())
            .header("x-request", call.request.as_str());
        if let Some(key) = call.key {
            request = request.header("x-key", key.as_str());
        }
        if let Some(fence) = call.fence {
            request = request.header("x-fence", fence.to_string());
        }
        // A plain service sends nothing until the call ends, so the timeout
        // between reads does not apply.
        let request = request.config().timeout_per_read(None);
        let request = request.timeout_global(Some(call.timeout.into()));
        let response = match request.build().send(call.body) {
            Ok(response) => response,
            Err(error) => return Err(self.classify_error(target, &error)),
        };
        if response.status() != StatusCode::OK {
            return Err(dial::status_error(response));
        }
        if !balsamchute_transport::announces_end(&response) {
            return Err(Error::MayHaveRun {
                reason: "the answer has neither a length nor chunks".to_owned(),
            });
        }
        let body = response
            .into_body()
            .into_with_config()
            .limit(MAX_RESPONSE_BYTES);
        body.read_to_vec().map_err(|error| Error::MayHaveRun {
            reason: error.to_string(),
        })
    }

    /// Fetches the service's load report, which may be outdated.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer or the report is malformed.
    pub fn load_report(&self, target: SocketAddr) -> Result<Report, Error> {
        let response = self
            .probe(target)
            .map_err(|error| dial::transport_error(&error))?;
        engine::parse_json(response)
    }

    /// Requests the load report. Any response shows that the service accepts
    /// connections.
    fn probe(&self, target: SocketAddr) -> Result<Response<Body>, ureq::Error> {
        let request = self
            .agents
            .control
            .get(format!("http://{target}/load"))
            .config();
        let request = request.timeout_global(Some(self.settings.control_timeout.into()));
        request.build().call()
    }

    /// Returns the error of a call without a response: [`Error::Crashed`] if the
    /// service closed the connection and then refuses new ones. After a timeout the
    /// service is not probed.
    fn classify_error(&self, target: SocketAddr, error: &ureq::Error) -> Error {
        let call_error = dial::transport_error(error);
        let response_lost = matches!(call_error, Error::MayHaveRun { .. });
        if response_lost
            && !matches!(error, ureq::Error::Timeout(_))
            && self.refuses_connections(target)
        {
            return Error::Crashed { tokens: 0 };
        }
        call_error
    }

    /// Probes the service until it answers or refuses the connection. Other
    /// errors are inconclusive and the probe is repeated, because a terminating
    /// process may close its connections before its listener.
    fn refuses_connections(&self, target: SocketAddr) -> bool {
        for _ in 0..self.settings.max_recovery_attempts {
            match self.probe(target) {
                Ok(_) => return false,
                Err(error) if dial::is_connection_refused(&error) => return true,
                Err(_) => thread::sleep(self.settings.recovery_backoff.into()),
            }
        }
        false
    }
}
