//! Settings of a router, in YAML.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use displaydoc::Display;
use serde::Deserialize;

/// Settings of one router process.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: Instance,
    /// Failure domain in which the process runs.
    pub domain: Domain,
    /// Address to listen on for callers and operators.
    pub callers: SocketAddr,
    /// Address to listen on for other routers.
    pub inner: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Grace period of a planned stop, in milliseconds.
    #[serde(default = "default_grace")]
    pub grace_ms: u64,
    /// Limits that protect the process from overload.
    #[serde(default)]
    pub limits: Limits,
}

fn default_grace() -> u64 {
    30_000
}

/// Limits that protect a router from its callers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum length of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum length of the bodies of all requests together, in bytes. Bodies of
    /// at most 16 KiB are not counted.
    pub held_body_bytes: usize,
    /// Maximum length of a header value, in bytes.
    pub header_bytes: usize,
    /// Maximum number of connections of callers, and of other routers. Each one
    /// has a thread.
    pub connections: usize,
    /// Maximum number of requests served at the same time.
    pub requests: usize,
    /// Maximum number of requests that the router holds at the same time,
    /// running ones included. Has no effect unless it is lower than `requests`,
    /// because each request that the router holds has a thread.
    pub queue: usize,
    /// Maximum deadline that a caller may set, in milliseconds.
    pub deadline_ms: u64,
    /// Deadline of a request that sets none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Maximum number of workspaces with a label of their own in the metrics.
    pub labels: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 1 << 20,
            held_body_bytes: 256 << 20,
            header_bytes: 1024,
            connections: 4096,
            requests: 2048,
            queue: 20_000,
            deadline_ms: 600_000,
            default_deadline_ms: 60_000,
            labels: 64,
        }
    }
}

/// Error in the settings of a router.
#[derive(Debug, Display)]
pub enum Error {
    /// settings are malformed: {0}
    Malformed(String),
    /// setting "{name}" must be greater than zero
    Zero {
        /// Name of the setting, with its section.
        name: &'static str,
    },
    /// setting "limits.held_body_bytes" is less than "limits.body_bytes"
    BodyTooLarge,
    /// settings "callers" and "inner" have the same address {0}
    SameAddress(SocketAddr),
}

impl std::error::Error for Error {}

impl Settings {
    /// Parses settings from YAML and checks their values.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the invalid setting.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|error| Error::Malformed(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        let limits = &self.limits;
        let positive = [
            ("grace_ms", self.grace_ms),
            ("limits.body_bytes", limits.body_bytes as u64),
            ("limits.header_bytes", limits.header_bytes as u64),
            ("limits.connections", limits.connections as u64),
            ("limits.requests", limits.requests as u64),
            ("limits.queue", limits.queue as u64),
            ("limits.deadline_ms", limits.deadline_ms),
            ("limits.default_deadline_ms", limits.default_deadline_ms),
        ];
        if let Some((name, _)) = positive.into_iter().find(|(_, value)| *value == 0) {
            return Err(Error::Zero { name });
        }
        if limits.held_body_bytes < limits.body_bytes {
            return Err(Error::BodyTooLarge);
        }
        if self.callers == self.inner {
            return Err(Error::SameAddress(self.inner));
        }
        Ok(())
    }
}
