//! MessagePack encoding of bodies, with a leading version byte.

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the inner protocol, the first byte of every body. A body of another
/// version is rejected, so routers of different versions cannot exchange messages.
pub const PROTOCOL_VERSION: u8 = 1;

/// Reason why a body cannot be decoded.
#[derive(Debug, Display)]
pub enum Error {
    /// body is empty
    Empty,
    /// protocol version {0} is not supported
    UnsupportedVersion(u8),
    /// body is malformed: {0}
    Malformed(rmp_serde::decode::Error),
}

impl std::error::Error for Error {}

/// Encodes `value` as a versioned body.
///
/// # Panics
///
/// Panics if the type cannot be encoded. All types of this crate can.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![PROTOCOL_VERSION];
    rmp_serde::encode::write(&mut bytes, value).expect("wire types are encodable");
    bytes
}

/// Decodes a versioned body.
///
/// # Errors
///
/// Returns an [`Error`] if the body is empty, has another version or is
/// malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    match bytes.split_first() {
        None => Err(Error::Empty),
        Some((&PROTOCOL_VERSION, body)) => rmp_serde::from_slice(body).map_err(Error::Malformed),
        Some((&version, _)) => Err(Error::UnsupportedVersion(version)),
    }
}
