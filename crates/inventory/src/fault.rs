//! Faults in an inventory or in rules.

use std::fmt;

/// A place in a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The file as the operator named it.
    pub file: String,
    /// The line, from 1.
    pub line: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// One fault.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// The file as the operator named it.
    pub file: String,
    /// The line, from 1.
    pub line: u64,
    /// What is wrong, with the name at fault.
    pub message: String,
}

impl Fault {
    /// Creates a fault at a place.
    #[must_use]
    pub fn new(place: &Place, message: impl Into<String>) -> Self {
        Fault {
            file: place.file.clone(),
            line: place.line,
            message: message.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for Fault {}
