//! HTTP/1.1 messages without I/O: heads, framing of bodies, event streams.
//!
//! Parsers take bytes as they arrive and say how many they used. They reject
//! whatever another parser might frame differently, because a message that two
//! processes frame differently smuggles a request past one of them.

pub mod body;
pub mod error;
pub mod event;
pub mod framing;
pub mod head;
pub mod write;

pub use error::Error;
