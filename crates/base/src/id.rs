//! Validated names and ids, with a separate type for each kind.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// Reason why a text is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, Display)]
pub enum Error {
    /// {kind} name is empty
    Empty {
        /// Kind of the name, such as `workspace`.
        kind: &'static str,
    },
    /// {kind} name "{name}" is longer than {limit} bytes
    TooLong {
        /// Kind of the name, such as `workspace`.
        kind: &'static str,
        /// Beginning of the name, at most [`MAX_NAME_BYTES`] characters.
        name: String,
        /// Maximum length for the kind, in bytes.
        limit: usize,
    },
    /// {kind} name "{name}" contains {character:?}; letters, digits, "-", "_" and "." are allowed
    InvalidCharacter {
        /// Kind of the name, such as `workspace`.
        kind: &'static str,
        /// Name that was rejected.
        name: String,
        /// First character of the name that is not allowed.
        character: char,
    },
}

impl std::error::Error for Error {}

fn validate(kind: &'static str, name: &str, limit: usize) -> Result<(), Error> {
    if name.is_empty() {
        return Err(Error::Empty { kind });
    }
    if name.len() > limit {
        let name = name.chars().take(MAX_NAME_BYTES).collect();
        return Err(Error::TooLong { kind, name, limit });
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match name.chars().find(|&c| !is_allowed(c)) {
        Some(character) => Err(Error::InvalidCharacter {
            kind,
            name: name.to_owned(),
            character,
        }),
        None => Ok(()),
    }
}

/// Defines a type for a validated name: `$kind` names it in errors, and `$limit` is
/// its maximum length in bytes.
macro_rules! define_name {
    ($(#[$doc:meta])* $type:ident, $kind:literal, $limit:expr) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Validates a text and creates a name or id from it.
            ///
            /// # Errors
            ///
            /// Returns an [`Error`] that quotes the text if it is empty, too
            /// long or contains a character that is not allowed in names.
            pub fn new(name: &str) -> Result<Self, Error> {
                validate($kind, name, $limit)?;
                Ok(Self(Arc::from(name)))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(name: String) -> Result<Self, Error> {
                Self::new(&name)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl AsRef<str> for $type {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

define_name!(
    /// Name of a workspace, a tenant that has a share of the capacity.
    Workspace, "workspace", MAX_NAME_BYTES
);
define_name!(
    /// Name of a service that callers request, such as `drafting-desk`.
    Service, "service", MAX_NAME_BYTES
);
define_name!(
    /// Name of a runner, one process that executes requests of a service.
    Runner, "runner", MAX_NAME_BYTES
);
define_name!(
    /// Name of a failure domain, machines that may fail together.
    Domain, "failure domain", MAX_NAME_BYTES
);
define_name!(
    /// Name of an instance that runs a router.
    Instance, "instance", MAX_NAME_BYTES
);
define_name!(
    /// Idempotency key that a caller assigns to a non-idempotent request, unique
    /// in the workspace.
    Key, "key", MAX_KEY_BYTES
);
define_name!(
    /// Id of a request, included in every log line about it.
    Request, "request", MAX_NAME_BYTES
);
define_name!(
    /// Id of one attempt to execute a request at a runner.
    Attempt, "attempt", MAX_NAME_BYTES
);

/// Incarnation number of a process, higher after a restart unless the wall clock
/// was set back.
///
/// The value is the start time in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
