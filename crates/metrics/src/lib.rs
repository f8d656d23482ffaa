//! Metrics of a router, for a scrape page in the Prometheus text format.
//!
//! Histograms have the labels `workspace` and `service`. Both are bounded: see
//! [`label`].

pub mod error;
pub mod label;
pub mod metrics;
mod scale;

pub use error::Error;
pub use metrics::{Control, Direction, Load, Metrics, Work};
