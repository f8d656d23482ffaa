//! The configuration on the platform.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_platform::client::{Client, Settings};
use balsamchute_platform::error::Error as Platform;
use balsamchute_wire::config::Document;
use bpaf::Bpaf;

use crate::error::Error;

/// Where the configuration is stored.
pub const PATH: &str = "config/current";

/// Largest document that the platform takes, in bytes.
const MAX_BYTES: usize = 1024 * 1024;

/// Longest time that an operator's command waits for one answer.
const ANSWER: Span = Span::from_secs(5);

/// The platform's address.
#[derive(Clone, Copy, Debug, Bpaf)]
pub struct Address {
    /// Address of the platform's object API
    #[bpaf(long, env("BALSAMCHUTE_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
}

/// Creates a client for an operator's command.
pub fn client(address: SocketAddr) -> Client {
    let settings = Settings {
        answer: ANSWER,
        ..Settings::default()
    };
    Client::new(address, settings)
}

/// Reads the current document, which is of version 0 if there is none.
///
/// # Errors
///
/// Returns [`Error::Platform`] without an answer and [`Error::Stored`] if what
/// is stored is no document.
pub fn read(client: &Client) -> Result<Document, Error> {
    let object = match client.get(PATH) {
        Ok(object) => object,
        Err(Platform::NotFound { .. }) => return Ok(Document::default()),
        Err(error) => return Err(error.into()),
    };
    let parsed: Result<Document, _> = serde_json::from_slice(&object.bytes);
    let mut document = parsed.map_err(|error| Error::Stored {
        path: PATH,
        reason: error.to_string(),
    })?;
    document.version = object.version;
    Ok(document)
}

/// Encodes a document for the platform.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the platform would not take it.
pub fn encode(document: &Document) -> Result<Vec<u8>, Error> {
    let bytes = serde_json::to_vec(document).expect("documents always encode");
    if bytes.len() > MAX_BYTES {
        return Err(Error::TooLarge {
            bytes: bytes.len(),
            limit: MAX_BYTES,
        });
    }
    Ok(bytes)
}
