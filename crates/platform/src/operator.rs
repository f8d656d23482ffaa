//! Reading and changing the configuration, as operators do.

use std::thread;
use std::time::Instant;

use balsamchute_base::prelude::*;
use balsamchute_fleet::change::{self, Verdict};
use balsamchute_wire::config::Document;
use displaydoc::Display;

use crate::client::Client;
use crate::error::Error as Call;

/// Where the configuration is stored.
pub const PATH: &str = "config/current";

/// Largest document that the platform takes, in bytes.
pub const MAX_BYTES: usize = 1024 * 1024;

/// Pause before the platform is asked again.
const PAUSE: Span = Span(200);

/// Why the configuration was not read or changed.
#[derive(Debug, Display)]
pub enum Error {
    /// platform: {0}
    Platform(Call),
    /// platform holds no document at "config/current": {0}
    Malformed(serde_json::Error),
    /// the configuration has {bytes} bytes as stored, {limit} are allowed
    TooLarge {
        /// Size in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// another change came first
    Lost(Box<Document>),
    /// change {0} was sent but the platform does not say whether it was accepted
    Unsettled(String),
}

impl std::error::Error for Error {}

impl From<Call> for Error {
    fn from(error: Call) -> Self {
        Error::Platform(error)
    }
}

/// Reads the current document, which is of version 0 if there is none.
///
/// # Errors
///
/// Returns [`Error::Platform`] without an answer and [`Error::Malformed`] if
/// what is stored is no document.
pub fn read(client: &Client) -> Result<Document, Error> {
    let object = match client.get(PATH) {
        Ok(object) => object,
        Err(Call::NotFound { .. }) => return Ok(Document::default()),
        Err(error) => return Err(error.into()),
    };
    let parsed: Result<Document, _> = serde_json::from_slice(&object.bytes);
    let mut document = parsed.map_err(Error::Malformed)?;
    document.version = object.version;
    Ok(document)
}

/// Writes a change made by [`change::next`] and settles what became of it.
/// Returns its version, also if another change has replaced it since.
///
/// # Errors
///
/// Returns [`Error::Lost`] if another change came first and
/// [`Error::Unsettled`] if after `timeout` it is not known whether the change
/// was accepted. With any other error it was not.
///
/// # Panics
///
/// Panics if the document cannot be encoded as JSON, which none does.
pub fn apply(client: &Client, change: &Document, timeout: Span) -> Result<u64, Error> {
    let bytes = serde_json::to_vec(change).expect("documents always encode");
    if bytes.len() > MAX_BYTES {
        return Err(Error::TooLarge {
            bytes: bytes.len(),
            limit: MAX_BYTES,
        });
    }
    let started = Instant::now();
    let mut sent = false;
    loop {
        let over = started.elapsed() > timeout.into();
        match client.put_if(PATH, change.version - 1, &bytes) {
            Ok(version) => return Ok(version),
            Err(error @ Call::TooLarge { .. }) => return Err(error.into()),
            Err(Call::Conflict { .. } | Call::AnswerLost { .. }) => sent = true,
            Err(error) if over && !sent => return Err(error.into()),
            Err(error) => log::warn!("operator: {error}"),
        }
        if sent && let Some(version) = settle(client, change)? {
            return Ok(version);
        }
        if over && sent {
            return Err(Error::Unsettled(change.change.clone()));
        }
        thread::sleep(PAUSE.into());
    }
}

/// Asks the platform what became of a change that was sent. Returns its
/// version, `None` if that is not known yet.
fn settle(client: &Client, change: &Document) -> Result<Option<u64>, Error> {
    let current = match read(client) {
        Ok(current) => current,
        Err(Error::Platform(error)) => {
            log::warn!("operator: {error}");
            return Ok(None);
        }
        Err(error) => return Err(error),
    };
    match change::settle(change, &current) {
        Verdict::Applied(version) => Ok(Some(version)),
        Verdict::Replaced => {
            log::warn!(
                "operator: accepted, and replaced since by {}",
                current.author
            );
            Ok(Some(change.version))
        }
        Verdict::Open => Ok(None),
        Verdict::Lost => Err(Error::Lost(Box::new(current))),
    }
}
