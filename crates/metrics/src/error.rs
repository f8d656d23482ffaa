//! Errors of the metrics.

use displaydoc::Display;

/// Why metrics cannot be set up or shown.
#[derive(Debug, Display)]
pub enum Error {
    /// metrics exporter cannot be set up: {0}
    Exporter(opentelemetry_sdk::error::OTelSdkError),
    /// metrics cannot be shown: {0}
    Page(prometheus::Error),
}

impl std::error::Error for Error {}
