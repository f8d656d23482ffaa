//! Client of the platform's object store and instance list.
//!
//! Calls block. Every call is counted by kind and charged to a rate budget,
//! because the whole fleet shares the platform's capacity.

pub mod budget;
pub mod client;
pub mod error;
pub mod instance;
pub mod operator;

pub use client::{Client, Settings};
pub use error::Error;
