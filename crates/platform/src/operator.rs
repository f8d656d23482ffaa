//! Reading and changing the fleet's configuration, for operators' commands.

use std::thread;
use std::time::Instant;

use balsamchute_base::prelude::*;
use balsamchute_fleet::change::{self, Resolution};
use balsamchute_wire::config::Document;
use displaydoc::Display;

use crate::client::Client;
use crate::error::Error as CallError;

/// Path of the configuration's object on the platform.
pub const CONFIG_PATH: &str = "config/current";

/// Upper bound for a stored configuration document, in bytes; the platform
/// refuses larger objects.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// Delay between two attempts to write a change or to read its outcome.
const RETRY_DELAY: Span = Span(200);

/// Failure to read or change the configuration.
#[derive(Debug, Display)]
pub enum Error {
    /// platform: {0}
    Platform(CallError),
    /// object at "config/current" is not a configuration document: {0}
    Malformed(serde_json::Error),
    /// stored configuration has {bytes} bytes, which exceeds the limit of {limit}
    TooLarge {
        /// Size of the encoded document in bytes.
        bytes: usize,
        /// Largest size that the platform accepts, in bytes.
        limit: usize,
    },
    /// another change was accepted first
    Conflict(Box<Document>),
    /// change {0} was sent, but it is unknown whether the platform accepted it
    Unconfirmed(String),
}

impl std::error::Error for Error {}

impl From<CallError> for Error {
    fn from(error: CallError) -> Self {
        Error::Platform(error)
    }
}

/// Reads the current document. Without one, returns an empty document of
/// version 0.
///
/// # Errors
///
/// Returns [`Error::Platform`] if the call fails and [`Error::Malformed`] if the
/// stored object is not a document.
pub fn read(client: &Client) -> Result<Document, Error> {
    let object = match client.get(CONFIG_PATH) {
        Ok(object) => object,
        Err(CallError::NotFound { .. }) => return Ok(Document::default()),
        Err(error) => return Err(error.into()),
    };
    let parsed: Result<Document, _> = serde_json::from_slice(&object.bytes);
    let mut document = parsed.map_err(Error::Malformed)?;
    document.version = object.version;
    Ok(document)
}

/// Writes a change made by [`change::successor`] and determines whether it was
/// accepted. Returns its version, also if a later change has replaced it.
///
/// # Errors
///
/// Returns [`Error::Conflict`] if another change was accepted first and
/// [`Error::Unconfirmed`] if it is still unknown after `timeout` whether the change
/// was accepted. With any other error it was not accepted.
///
/// # Panics
///
/// Panics if the document cannot be encoded as JSON, which cannot occur.
pub fn apply(client: &Client, change: &Document, timeout: Span) -> Result<u64, Error> {
    let bytes = serde_json::to_vec(change).expect("a document encodes as JSON");
    if bytes.len() > MAX_DOCUMENT_BYTES {
        return Err(Error::TooLarge {
            bytes: bytes.len(),
            limit: MAX_DOCUMENT_BYTES,
        });
    }
    let started = Instant::now();
    // Whether the platform may have accepted the change, which is then read back.
    let mut unresolved = false;
    loop {
        let timed_out = started.elapsed() > timeout.into();
        // The change replaces the version before its own.
        match client.put_if(CONFIG_PATH, change.version - 1, &bytes) {
            Ok(version) => return Ok(version),
            Err(error @ CallError::TooLarge { .. }) => return Err(error.into()),
            Err(CallError::Conflict { .. } | CallError::ResponseLost { .. }) => unresolved = true,
            Err(error) if timed_out && !unresolved => return Err(error.into()),
            Err(error) => log::warn!("operator: cannot write the change. {error}"),
        }
        if unresolved && let Some(version) = read_outcome(client, change)? {
            return Ok(version);
        }
        if timed_out && unresolved {
            return Err(Error::Unconfirmed(change.change_id.clone()));
        }
        thread::sleep(RETRY_DELAY.into());
    }
}

/// Reads whether a change that was sent has been accepted. Returns its version,
/// or `None` as long as that is unknown.
fn read_outcome(client: &Client, change: &Document) -> Result<Option<u64>, Error> {
    let current = match read(client) {
        Ok(current) => current,
        Err(Error::Platform(error)) => {
            log::warn!("operator: cannot read whether the change was accepted. {error}");
            return Ok(None);
        }
        Err(error) => return Err(error),
    };
    match change::resolve(change, &current) {
        Resolution::Applied(version) => Ok(Some(version)),
        Resolution::Superseded => {
            log::warn!(
                "operator: the change was accepted and then replaced by a change of {}",
                current.author
            );
            Ok(Some(change.version))
        }
        Resolution::Pending => Ok(None),
        Resolution::Conflict => Err(Error::Conflict(Box::new(current))),
    }
}
