//! Hash function of maps whose keys are ids or digests. The keyed default of the standard
//! library took a third of a decision's time at a router that one workspace floods.

use std::hash::{BuildHasherDefault, Hasher};

/// 2^64 divided by the golden ratio, which spreads consecutive numbers evenly.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Multiplicative (Fibonacci) hash of a 64-bit number. The keys are numbers of this process
/// or digests, so that callers cannot choose ones that collide.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NumberHasher(u64);

impl Hasher for NumberHasher {
    fn finish(&self) -> u64 {
        // The table takes its index from the low bits, which depend on few bits of the key.
        self.0.rotate_left(26)
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.write_u64(u64::from(byte));
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = (self.0 ^ number).wrapping_mul(MULTIPLIER);
    }
}

/// State of maps with this hash function.
pub(crate) type NumberState = BuildHasherDefault<NumberHasher>;
