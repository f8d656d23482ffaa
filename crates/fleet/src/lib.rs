//! Membership and the spread of configuration: pure decision logic.
//!
//! Everything here takes the time and an event and returns what changed. It
//! opens no connection, starts no thread and reads no clock.

pub mod change;
pub mod config;
pub mod home;
pub mod leaving;
pub mod members;
pub mod placement;
