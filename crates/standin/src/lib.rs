//! Stand-ins for the platform, model engines and plain services.
//!
//! Each is a real HTTP server on a loopback port that is started in-process and
//! controlled by a handle: faults are switched on and off there, and execution
//! records are read there. The shipped binary does not link this package.

mod cache;
pub mod clock;
pub mod engine;
mod http;
mod ledger;
pub mod link;
pub mod plain;
pub mod platform;
pub mod prompt;
pub mod record;
mod stream;
