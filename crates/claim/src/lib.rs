//! At-most-once execution of non-idempotent requests, and protection of
//! targets from requests that crash them: pure decision logic.
//!
//! - [`shard`] maps a key to its shard of the claim log.
//! - [`log`] holds the state of one shard's log, [`writer`] reads and extends
//!   the log.
//! - [`bound`] creates and parses keys whose requests only one router incarnation
//!   may run.
//! - [`ledger`] is the in-memory table of keys of one router.
//! - [`suspect`] detects requests that crash their targets.
//! - [`retry`] decides on retries of failed attempts.
//!
//! This package does no I/O and reads no clock.

pub mod bound;
pub mod ledger;
pub mod log;
pub mod retry;
pub mod shard;
pub mod suspect;
pub mod writer;
