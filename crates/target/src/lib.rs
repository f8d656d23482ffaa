//! Clients of model engines and plain services.
//!
//! Calls block. Their errors say truthfully whether a byte of a request may
//! have reached the target, because a non-idempotent request is run again only
//! if none has.

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
