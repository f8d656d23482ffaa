//! Keys that are bound to one incarnation of a router.
//!
//! A bound key reads `m.INSTANCE.INCARNATION.NONCE`. Only that incarnation may
//! run it, so its memory takes the place of a stored claim. The nonce holds
//! the time at which the key was made, which lets the router refuse a key that
//! is older than its memory.

use balsamchute_base::prelude::*;

/// How a key's single execution is guarded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Binding {
    /// By a claim in the log.
    Durable,
    /// By the memory of one router incarnation.
    Bound {
        /// The router.
        instance: Instance,
        /// Its life.
        incarnation: Incarnation,
        /// When the key was made, by the clock of that router.
        made: Time,
    },
    /// The key has a bound key's prefix and is none.
    Malformed,
}

const PREFIX: &str = "m.";

/// Bits of a nonce below its time in milliseconds.
const SERIAL_BITS: u32 = 20;

/// Returns the nonce of a key made at `now`; `serial` counts a router's keys.
#[must_use]
pub fn nonce(now: Time, serial: u64) -> u64 {
    now.0 << SERIAL_BITS | serial & ((1 << SERIAL_BITS) - 1)
}

/// Returns a key bound to one incarnation, with a nonce made by [`nonce`].
///
/// # Panics
///
/// Never: the parts of a key are always allowed in one, and shorter together.
#[must_use]
pub fn mint(instance: &Instance, incarnation: Incarnation, nonce: u64) -> Key {
    Key::new(&format!("{PREFIX}{instance}.{incarnation}.{nonce}"))
        .expect("an instance and two numbers make a key")
}

/// Returns how the single execution of `key` is guarded.
#[must_use]
pub fn binding(key: &Key) -> Binding {
    match key.as_str().strip_prefix(PREFIX) {
        None => Binding::Durable,
        Some(rest) => parse(rest).unwrap_or(Binding::Malformed),
    }
}

/// Reads from the right, since the name of an instance may hold dots.
fn parse(rest: &str) -> Option<Binding> {
    let mut parts = rest.rsplitn(3, '.');
    let nonce = number(parts.next()?)?;
    let incarnation = Incarnation(number(parts.next()?)?);
    let instance = Instance::new(parts.next()?).ok()?;
    Some(Binding::Bound {
        instance,
        incarnation,
        made: Time(nonce >> SERIAL_BITS),
    })
}

/// Reads a number in its one canonical form, so that no two texts mean the
/// same key.
fn number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}
