//! Types that every part of balsamchute shares: names, time, cost and digests.
//!
//! Nothing here does I/O. The clock type is [`time::Time`]; only process edges
//! read a real clock and turn it into one.

pub mod cost;
pub mod digest;
pub mod id;
pub mod prelude;
pub mod rank;
pub mod time;
