//! Errors in received messages.

use displaydoc::Display;

/// A reason to reject a message.
#[derive(Clone, Debug, Eq, PartialEq, Display)]
pub enum Error {
    /// malformed head: {0}
    Malformed(String),
    /// head is longer than {0} bytes
    HeadTooLong(usize),
    /// status {0:03} is not in the range from 100 to 599
    Status(u16),
    /// status 101 without a request for an upgrade
    Upgrade,
    /// more than one header {0}
    DuplicateHeader(&'static str),
    /// both Content-Length and Transfer-Encoding are given
    ConflictingFraming,
    /// transfer coding {0:?} is not supported
    TransferCoding(String),
    /// Transfer-Encoding is given in a message of HTTP/1.0
    CodingVersion,
    /// content length {0:?} is not a number
    ContentLength(String),
    /// malformed chunk: {0}
    Chunk(&'static str),
    /// connection closed before the end of the message
    Truncated,
}

impl std::error::Error for Error {}
