//! HTTP/1.1 messages without I/O: heads, body framing and event streams.
//!
//! Parsers are incremental: they accept bytes as they arrive and return the
//! number of bytes consumed. They reject messages with ambiguous framing: if two
//! processes disagree on where a message ends, requests can be smuggled past one
//! of them.

pub mod body;
pub mod error;
pub mod event;
pub mod framing;
pub mod head;
pub mod write;

pub use error::Error;
