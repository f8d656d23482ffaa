//! Client of plain services.

use std::net::SocketAddr;
use std::thread;

use balsamchute_base::prelude::*;
use ureq::http::StatusCode;

use crate::dial::{self, Agents};
use crate::engine;
use crate::error::Error;
use crate::load::Load;
use crate::settings::Settings;

/// Largest answer in bytes.
pub const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The attempt, unique over all requests.
    pub attempt: &'a Attempt,
    /// The workspace.
    pub workspace: &'a Workspace,
    /// The request.
    pub request: &'a Request,
    /// Key of a non-idempotent request.
    pub key: Option<&'a Key>,
    /// Fencing number.
    pub fence: Option<u64>,
    /// The caller's body.
    pub body: &'a [u8],
    /// Longest time for the whole call.
    pub limit: Span,
}

/// A client, which may be shared between threads and used for any service.
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

    /// Makes a call and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] or [`Error::Refused`] if the call did not run,
    /// [`Error::Answered`] if the service answered with an error, and
    /// [`Error::Crashed`] or [`Error::MayHaveRun`] if there is no whole answer.
    pub fn call(&self, target: SocketAddr, call: &Call<'_>) -> Result<Vec<u8>, Error> {
        let mut request = self
            .agents
            .for_request(call.key)
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
        // A call is silent until it ends, so the idle time does not apply.
        let request = request.config().timeout_per_read(None);
        let request = request.timeout_global(Some(call.limit.into()));
        let answer = match request.build().send(call.body) {
            Ok(answer) => answer,
            Err(error) => return Err(self.failure(target, &error)),
        };
        if answer.status() != StatusCode::OK {
            return Err(dial::refusal(answer));
        }
        let body = answer
            .into_body()
            .into_with_config()
            .limit(MAX_ANSWER_BYTES);
        body.read_to_vec().map_err(|error| Error::MayHaveRun {
            reason: error.to_string(),
        })
    }

    /// Reads the load, which is late.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer or makes no sense.
    pub fn load(&self, target: SocketAddr) -> Result<Load, Error> {
        let answer = self.probe(target).map_err(|error| dial::failure(&error))?;
        engine::json(answer)
    }

    fn probe(&self, target: SocketAddr) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let request = self
            .agents
            .pooled
            .get(format!("http://{target}/load"))
            .config();
        let request = request.timeout_global(Some(self.settings.control.into()));
        request.build().call()
    }

    /// Returns the error of a call without an answer. A service that is gone
    /// right after it lost a connection has crashed.
    fn failure(&self, target: SocketAddr, error: &ureq::Error) -> Error {
        let failure = dial::failure(error);
        let lost = matches!(failure, Error::MayHaveRun { .. });
        if lost && !matches!(error, ureq::Error::Timeout(_)) && self.is_gone(target) {
            return Error::Crashed { tokens: 0 };
        }
        failure
    }

    /// A process that ends may close its connections before its listener, so
    /// one lost probe decides nothing.
    fn is_gone(&self, target: SocketAddr) -> bool {
        for _ in 0..self.settings.resumes {
            match self.probe(target) {
                Ok(_) => return false,
                Err(error) if dial::is_gone(&error) => return true,
                Err(_) => thread::sleep(self.settings.pause.into()),
            }
        }
        false
    }
}
