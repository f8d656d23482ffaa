//! Common types, for glob imports.

pub use crate::manifest::{Limits, Manifest, RetryPolicy, Route};
pub use crate::prompt::{Part, Prompt};
pub use crate::revision::Revision;
pub use crate::runner::{Entry, Software, State};
pub use crate::settings::Settings;
pub use balsamchute_base::prelude::*;
