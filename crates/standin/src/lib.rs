//! Stand-ins for the platform, model engines and plain services, for tests and
//! benchmarks.
//!
//! Each stand-in is a real HTTP server on a loopback port, started in-process.
//! Its handle injects faults and returns execution records. The shipped binary
//! does not link this package.

mod cache;
pub mod clock;
pub mod engine;
mod http;
mod ledger;
pub mod link;
pub mod plain;
pub mod platform;
pub mod prompt;
pub mod raw;
pub mod record;
mod stream;
