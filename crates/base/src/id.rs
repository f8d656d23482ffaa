//! Names of the things that balsamchute deals with, each a type of its own.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// Why a text cannot be a name.
#[derive(Clone, Debug, Eq, PartialEq, Display)]
pub enum Error {
    /// {kind} name is empty
    Empty {
        /// What the name was meant for.
        kind: &'static str,
    },
    /// {kind} name "{name}" is longer than {limit} bytes
    Long {
        /// What the name was meant for.
        kind: &'static str,
        /// The start of the name.
        name: String,
        /// The limit in bytes.
        limit: usize,
    },
    /// {kind} name "{name}" contains {character:?}; letters, digits, "-", "_" and "." are allowed
    Character {
        /// What the name was meant for.
        kind: &'static str,
        /// The name.
        name: String,
        /// The first character that is not allowed.
        character: char,
    },
}

impl std::error::Error for Error {}

fn check(kind: &'static str, name: &str, limit: usize) -> Result<(), Error> {
    if name.is_empty() {
        return Err(Error::Empty { kind });
    }
    if name.len() > limit {
        let name = name.chars().take(MAX_NAME_BYTES).collect();
        return Err(Error::Long { kind, name, limit });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match name.chars().find(|&c| !allowed(c)) {
        Some(character) => Err(Error::Character {
            kind,
            name: name.to_owned(),
            character,
        }),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal, $limit:expr) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Creates the name from text.
            ///
            /// # Errors
            ///
            /// Returns an [`Error`] that quotes the text if it is empty, too
            /// long or holds a character that names may not have.
            pub fn new(name: &str) -> Result<Self, Error> {
                check($kind, name, $limit)?;
                Ok(Self(Arc::from(name)))
            }

            /// Returns the name as text.
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

name!(
    /// A workspace: a tenant that has a share of the capacity.
    Workspace, "workspace", MAX_NAME_BYTES
);
name!(
    /// A service that callers name in a request, such as `drafting-desk`.
    Service, "service", MAX_NAME_BYTES
);
name!(
    /// A runner: one target that serves a service.
    Runner, "runner", MAX_NAME_BYTES
);
name!(
    /// A failure domain.
    Domain, "failure domain", MAX_NAME_BYTES
);
name!(
    /// An instance that runs a router.
    Instance, "instance", MAX_NAME_BYTES
);
name!(
    /// The caller's key of a non-idempotent request, unique in its workspace.
    Key, "key", MAX_KEY_BYTES
);
name!(
    /// The id of a request, in every log line about it.
    Request, "request", MAX_NAME_BYTES
);
name!(
    /// One attempt to run a request at a target.
    Attempt, "attempt", MAX_NAME_BYTES
);

/// One life of a process. A process that restarts gets a higher one.
///
/// It is the time of the start in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
