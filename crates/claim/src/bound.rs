//! Keys that are bound to one incarnation of a router.
//!
//! A bound key has the form `m.INSTANCE.INCARNATION.NONCE`. Only that
//! incarnation may run a request with the key, so its in-memory ledger replaces a
//! stored claim.
//! The nonce holds the creation time of the key, so that the router can refuse
//! a key that the ledger may already have forgotten.

use balsamchute_base::prelude::*;

/// Mechanism that guarantees at most one execution of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Binding {
    /// A claim in the claim log.
    Durable,
    /// The in-memory ledger of one router incarnation.
    Bound {
        /// Router that may run a request with the key.
        instance: Instance,
        /// Incarnation of that router.
        incarnation: Incarnation,
        /// Creation time of the key, by the clock of that router.
        created: Time,
    },
    /// None: the key has the prefix of a bound key but not its form.
    Malformed,
}

const PREFIX: &str = "m.";

/// Low bits of a nonce that hold the serial number. The bits above hold the
/// creation time in milliseconds.
const SERIAL_BITS: u32 = 20;

/// Returns the nonce of a key created at `now`. `serial` counts the keys that
/// the router has created.
#[must_use]
pub fn new_nonce(now: Time, serial: u64) -> u64 {
    now.0 << SERIAL_BITS | serial & ((1 << SERIAL_BITS) - 1)
}

/// Returns a key bound to one incarnation, with a nonce from [`new_nonce`].
///
/// # Panics
///
/// Never: the prefix, the instance name and the numbers consist of characters
/// that a key allows, and their total length is below the limit of a key.
#[must_use]
pub fn new_key(instance: &Instance, incarnation: Incarnation, nonce: u64) -> Key {
    Key::new(&format!("{PREFIX}{instance}.{incarnation}.{nonce}"))
        .expect("a prefix, an instance name and two numbers form a valid key")
}

/// Returns the mechanism that guarantees at most one execution of `key`.
#[must_use]
pub fn binding_of(key: &Key) -> Binding {
    match key.as_str().strip_prefix(PREFIX) {
        None => Binding::Durable,
        Some(suffix) => parse(suffix).unwrap_or(Binding::Malformed),
    }
}

/// Parses the part of a bound key after the prefix. The numbers are split off
/// from the right, since the name of an instance may contain dots.
fn parse(suffix: &str) -> Option<Binding> {
    let mut parts = suffix.rsplitn(3, '.');
    let nonce = parse_number(parts.next()?)?;
    let incarnation = Incarnation(parse_number(parts.next()?)?);
    let instance = Instance::new(parts.next()?).ok()?;
    Some(Binding::Bound {
        instance,
        incarnation,
        created: Time(nonce >> SERIAL_BITS),
    })
}

/// Parses a number in its canonical decimal form only, so that no two texts
/// denote the same bound key.
fn parse_number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}
