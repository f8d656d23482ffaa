//! MessagePack coding of bodies, with a version in front.

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the inner protocol.
pub const VERSION: u8 = 1;

/// Why a body cannot be read.
#[derive(Debug, Display)]
pub enum Error {
    /// body is empty
    Empty,
    /// protocol version {0} is not supported
    Version(u8),
    /// body is malformed: {0}
    Malformed(rmp_serde::decode::Error),
}

impl std::error::Error for Error {}

/// Encodes `value` as a versioned body.
///
/// # Panics
///
/// Panics if the type cannot be encoded, which no type of this package does.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    rmp_serde::encode::write(&mut bytes, value).expect("wire types always encode");
    bytes
}

/// Decodes a versioned body.
///
/// # Errors
///
/// Returns an [`Error`] if the body is empty, of another version or malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    match bytes.split_first() {
        None => Err(Error::Empty),
        Some((&VERSION, body)) => rmp_serde::from_slice(body).map_err(Error::Malformed),
        Some((&version, _)) => Err(Error::Version(version)),
    }
}
