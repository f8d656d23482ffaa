//! Digests of byte strings, computed with XXH3.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// A 128-bit XXH3 digest, for comparing byte strings. It is not cryptographic: an
/// attacker can construct two strings with the same digest.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Digest(pub u128);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Digest(xxhash_rust::xxh3::xxh3_128(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Written as 32 hexadecimal digits.
        write!(f, "{:032x}", self.0)
    }
}

/// Incremental computation of a [`Digest`]. The digest does not depend on how
/// the bytes are split into updates.
#[derive(Clone, Default)]
pub struct Hasher(Xxh3Default);

impl Hasher {
    /// Creates a hasher for an empty byte string.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends `bytes` to the input.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the digest of all bytes appended so far.
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
