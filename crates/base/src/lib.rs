//! Types shared by all balsamchute crates: names, time and the clock, cost,
//! digests and rendezvous hashing.
//!
//! Only [`clock::Clock`] accesses the system: it reads the operating system's
//! clocks, and decision logic gets the resulting [`time::Time`] as an argument.

pub mod clock;
pub mod cost;
pub mod digest;
pub mod id;
pub mod prelude;
pub mod rank;
pub mod time;
