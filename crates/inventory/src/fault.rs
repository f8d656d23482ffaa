//! Validation errors in an inventory or in rules.

use std::fmt;

/// Position in a file, by line.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Location {
    /// File name as passed by the caller of the parser.
    pub file: String,
    /// Line number, starting at 1.
    pub line: u64,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// Validation error with the file and line that it was found at.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// File name as passed by the caller of the parser.
    pub file: String,
    /// Line number, starting at 1.
    pub line: u64,
    /// Description of the error, which quotes the invalid name or value.
    pub message: String,
}

impl Fault {
    /// Creates a fault at a location.
    #[must_use]
    pub fn new(location: &Location, message: impl Into<String>) -> Self {
        Fault {
            file: location.file.clone(),
            line: location.line,
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
