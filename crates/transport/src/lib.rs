//! Connections of `ureq` clients on which every received byte is checked.
//!
//! `ureq` takes a reset for the end of a body that ends with its connection, decodes a
//! body of HTTP/1.0 in chunks as plain bytes, and accepts any status from 100 to 999. All
//! clients of the binary therefore use the [`Connector`] of this crate, which parses
//! responses by the same code as the edge router and fails the call of a response that is
//! malformed or broken off.

mod check;
mod connector;
mod error;

use ureq::config::Config;
use ureq::http::Response;
use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, Body};

pub use check::Check;
pub use connector::{Connection, Connector};
pub use error::Error;

/// Creates an agent whose connections check the responses. A proxy is not supported.
#[must_use]
pub fn agent(config: Config) -> Agent {
    Agent::with_parts(config, Connector::default(), DefaultResolver::default())
}

/// Returns whether the response shows where its body ends, by a length or in chunks.
///
/// A body that ends with its connection may be incomplete, as the process that sent it
/// may have ended. Only a format that shows its own end makes up for that.
#[must_use]
pub fn announces_end(response: &Response<Body>) -> bool {
    // The connection has refused other transfer codings than chunks.
    let fields = response.headers();
    fields.contains_key(CONTENT_LENGTH) || fields.contains_key(TRANSFER_ENCODING)
}
