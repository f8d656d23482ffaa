//! Router process at the edge of a platform: one event loop that forwards
//! HTTP/1.1 between callers and runners.
//!
//! The loop uses `mio` under `stakker` instead of `tiny_http` and `ureq`. Those
//! need two threads and 74 KiB for each open stream, and a machine here has a
//! quarter of a core and 110 MB. Scheduling decisions are in
//! `balsamchute-schedule`; the names and formats of the platform are in
//! `balsamchute-adapter`.

pub mod contact;
pub mod error;
pub mod limiter;
pub mod line;
pub mod peers;
pub mod pool;
pub mod process;
pub mod record;
pub mod registry;
pub mod slots;
pub mod watcher;

mod caller;
mod client;
mod edge;
mod ending;
mod frame;
mod identity;
mod output;
mod server;
mod socket;
mod stats;
mod suspension;
mod transaction;
mod upstream;

pub use error::Error;
