//! Digests of byte strings, by xxh3.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// A 128-bit digest. It finds accidental damage; it is no proof against forgery.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Digest(pub u128);

impl Digest {
    /// Returns the digest of `bytes`.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Digest(xxhash_rust::xxh3::xxh3_128(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Computes a digest of bytes that arrive in pieces.
#[derive(Clone, Default)]
pub struct Hasher(Xxh3Default);

impl Hasher {
    /// Creates a hasher that has seen no bytes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `bytes` to what is hashed.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the digest of all bytes seen so far.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest(self.0.digest128())
    }
}

impl fmt::Debug for Hasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Hasher({})", self.digest())
    }
}
