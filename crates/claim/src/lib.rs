//! At most one execution of non-idempotent work, and what protects targets
//! from repeated failure: pure decision logic.
//!
//! - [`shard`] maps a key to its shard of the claim log.
//! - [`log`] is what a shard's log says, [`writer`] reads and extends it.
//! - [`bound`] makes and reads keys that one router incarnation alone may run.
//! - [`ledger`] is a router's own memory of keys.
//! - [`suspect`] finds requests that crash their targets.
//! - [`retry`] limits what is sent again.
//!
//! Nothing here does I/O or reads a clock.

pub mod bound;
pub mod ledger;
pub mod log;
pub mod retry;
pub mod shard;
pub mod suspect;
pub mod writer;
