//! Fleet membership, placement and configuration state, as pure decision logic.
//!
//! Every module takes the current time and an event and returns what changed.
//! None of them opens a connection, starts a thread or reads a clock.

pub mod change;
pub mod config;
pub mod home;
pub mod leaving;
pub mod members;
pub mod placement;
