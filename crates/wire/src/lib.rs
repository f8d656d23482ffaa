//! The inner protocol, between routers, and the records that callers get.
//!
//! Types here are what goes over a connection. Bodies between routers are
//! MessagePack, made and read by [`codec`]; every one starts with a version.

pub mod claim;
pub mod codec;
pub mod config;
pub mod exchange;
pub mod forward;
pub mod message;
pub mod record;
