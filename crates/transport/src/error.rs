//! Errors of received responses.

use displaydoc::Display;

/// Failure to receive a whole response.
#[derive(Debug, Display)]
pub enum Error {
    /// response is invalid: {0}
    Invalid(balsamchute_http::Error),
    /// connection broke off: {0}
    Broken(std::io::Error),
}

impl std::error::Error for Error {}

impl From<balsamchute_http::Error> for Error {
    fn from(error: balsamchute_http::Error) -> Self {
        Error::Invalid(error)
    }
}
