//! Processes of runners that connections lead to.
//!
//! A runner may start again under its id and address, at another software version, and answer
//! before its entry is listed. A connection leads to one process for its whole life.

/// What is known of a runner's reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Naming {
    /// Nothing yet.
    Unknown,
    /// They name the start of the process.
    Named,
    /// They do not name it, or none came a short time ago.
    Unnamed,
    /// They name it, or the entry does, but the last one did not, or did not arrive within the
    /// timeout.
    Silent,
}

/// Process that a connection leads to, by what it says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Process {
    /// The process whose entry is listed.
    Listed,
    /// Another one: the listed process is gone, or is not the one that answers.
    Other,
    /// It does not name its start.
    Unnamed,
}

impl Process {
    /// Compares the start that a process names with that of the listed one, in milliseconds
    /// since the Unix epoch; 0 if the entry names none. A process that names its start writes it
    /// to its entry too.
    #[must_use]
    pub fn new(listed: u64, named: Option<u64>) -> Self {
        match named {
            None => Process::Unnamed,
            Some(0) if listed == 0 => Process::Unnamed,
            Some(named) if named == listed => Process::Listed,
            Some(_) => Process::Other,
        }
    }

    /// Returns the outcome in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Process::Listed => "listed",
            Process::Other => "other",
            Process::Unnamed => "unnamed",
        }
    }
}
