//! The links that a router process refuses, set over its standard input.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use displaydoc::Display;

/// Why a control line cannot be followed.
#[derive(Clone, Debug, Eq, PartialEq, Display)]
pub enum Error {
    /// control word "{0}" is unknown
    Word(String),
    /// "{0}" is not an address
    Address(String),
}

impl std::error::Error for Error {}

/// Addresses to which connections are refused.
#[derive(Clone, Debug, Default)]
pub struct Links(Arc<RwLock<BTreeSet<SocketAddr>>>);

impl Links {
    /// Creates links that are all whole.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether connections to `address` are refused.
    #[must_use]
    pub fn is_cut(&self, address: SocketAddr) -> bool {
        let cut = self.0.read().unwrap_or_else(PoisonError::into_inner);
        cut.contains(&address)
    }

    /// Follows one control line: `cut ADDRESS…` or `heal`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that quotes the word or address at fault; then
    /// nothing is changed.
    pub fn follow(&self, line: &str) -> Result<(), Error> {
        let mut words = line.split_whitespace();
        let word = words.next().unwrap_or_default();
        let addresses = words
            .map(|word| word.parse().map_err(|_| Error::Address(word.to_owned())))
            .collect::<Result<Vec<SocketAddr>, Error>>()?;
        let mut cut = self.0.write().unwrap_or_else(PoisonError::into_inner);
        match word {
            "cut" => cut.extend(addresses),
            "heal" => cut.clear(),
            other => return Err(Error::Word(other.to_owned())),
        }
        Ok(())
    }
}
