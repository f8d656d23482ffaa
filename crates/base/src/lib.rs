//! Types that every part of balsamchute shares: names, time, cost and digests.
//!
//! Nothing here does I/O but [`clock::Clock`], which process edges read to get a
//! [`time::Time`].

pub mod clock;
pub mod cost;
pub mod digest;
pub mod id;
pub mod prelude;
pub mod rank;
pub mod time;
