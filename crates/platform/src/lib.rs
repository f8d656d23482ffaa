//! Client of the platform: its object API and its list of instances.
//!
//! Calls block. Every call is counted by kind and paid for from a budget,
//! because the platform's rates are shared by the whole fleet.

pub mod budget;
pub mod client;
pub mod error;
pub mod instance;
pub mod operator;

pub use client::{Client, Settings};
pub use error::Error;
