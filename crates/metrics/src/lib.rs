//! Metrics of a router, exported in the Prometheus text format.
//!
//! Histograms have the labels `workspace` and `service`. The values of both are
//! bounded, see [`label`].

pub mod error;
pub mod label;
pub mod metrics;
mod scale;

pub use error::Error;
pub use metrics::{Direction, Labels, Load, Metrics, Traffic};
