//! Errors of the metrics exporter.

use displaydoc::Display;

/// Failure to set up or to export metrics.
#[derive(Debug, Display)]
pub enum Error {
    /// metrics exporter cannot be set up: {0}
    Exporter(opentelemetry_sdk::error::OTelSdkError),
    /// metrics cannot be shown: {0}
    Page(prometheus::Error),
}

impl std::error::Error for Error {}
