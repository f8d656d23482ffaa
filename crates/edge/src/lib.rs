//! The router process at the edge of a platform: one event loop that forwards
//! HTTP/1.1 between callers and runners.
//!
//! It uses `mio` under `stakker` in place of `tiny_http` and `ureq`: those need
//! two threads and 74 KiB for each open stream, and a machine here has a quarter
//! of a core and 110 MB. Decisions are in `balsamchute-schedule`, the platform's
//! names and formats in `balsamchute-adapter`.

pub mod allowance;
pub mod error;
pub mod line;
pub mod peers;
pub mod pool;
pub mod process;
pub mod registry;
pub mod sync;

mod caller;
mod client;
mod edge;
mod flight;
mod frame;
mod output;
mod report;
mod server;
mod socket;
mod upstream;

pub use error::Error;
