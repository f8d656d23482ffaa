//! Messages of the inner protocol between routers and records of the answers to
//! callers.
//!
//! Bodies between routers are MessagePack with a leading version byte, see
//! [`codec`]. Records for callers are lines of JSON, see [`record`].

pub mod claim;
pub mod codec;
pub mod config;
pub mod exchange;
pub mod forward;
pub mod message;
pub mod record;
