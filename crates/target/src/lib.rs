//! HTTP clients of model engines and plain services.
//!
//! Calls block. Errors distinguish requests of which a byte may have reached
//! the target from those of which none has, because a non-idempotent request
//! is retried only in the second case.

mod dial;
pub mod engine;
pub mod error;
pub mod line;
pub mod load;
pub mod plain;
pub mod settings;
pub mod stream;

pub use error::Error;
pub use settings::Settings;
