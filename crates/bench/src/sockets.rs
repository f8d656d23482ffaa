//! Bytes that passed over TCP connections, as the kernel counts them. They
//! include everything that HTTP adds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::Command;

use crate::error::Error;

/// Counts of one connection, or of many together, seen from the server's side.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Bytes that the server received.
    pub received: u64,
    /// Bytes that the server sent.
    pub sent: u64,
    /// Segments with data that the server received; a small request is one.
    pub requests: u64,
}

impl Count {
    fn minus(self, other: Count) -> Count {
        Count {
            received: self.received.saturating_sub(other.received),
            sent: self.sent.saturating_sub(other.sent),
            requests: self.requests.saturating_sub(other.requests),
        }
    }

    fn plus(self, other: Count) -> Count {
        Count {
            received: self.received + other.received,
            sent: self.sent + other.sent,
            requests: self.requests + other.requests,
        }
    }
}

/// The connections of some servers, looked at again and again so that those
/// that come and go are counted too.
#[derive(Debug)]
pub struct Meter {
    servers: BTreeSet<SocketAddr>,
    first: BTreeMap<(SocketAddr, SocketAddr), Count>,
    last: BTreeMap<(SocketAddr, SocketAddr), Count>,
}

impl Meter {
    /// Starts to count the connections to `servers`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if `ss` cannot be run.
    pub fn new(servers: impl IntoIterator<Item = SocketAddr>) -> Result<Self, Error> {
        let servers: BTreeSet<_> = servers.into_iter().collect();
        let first = look(&servers)?;
        Ok(Meter {
            servers,
            last: first.clone(),
            first,
        })
    }

    /// Looks at the connections again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if `ss` cannot be run.
    pub fn update(&mut self) -> Result<(), Error> {
        self.last.extend(look(&self.servers)?);
        Ok(())
    }

    /// Returns what passed since the start.
    #[must_use]
    pub fn count(&self) -> Count {
        let grown = self.last.iter().map(|(connection, &count)| {
            let first = self.first.get(connection).copied().unwrap_or_default();
            count.minus(first)
        });
        grown.fold(Count::default(), Count::plus)
    }
}

fn look(
    servers: &BTreeSet<SocketAddr>,
) -> Result<BTreeMap<(SocketAddr, SocketAddr), Count>, Error> {
    let output = Command::new("ss").args(["-tinOH"]).output();
    let output = output.map_err(|error| Error::Start {
        what: "ss, which counts bytes of connections".to_owned(),
        reason: error.to_string(),
    })?;
    let text = String::from_utf8_lossy(&output.stdout);
    let all = text.lines().filter_map(parse);
    Ok(all
        .filter(|((local, _), _)| servers.contains(local))
        .collect())
}

/// Reads one line of `ss -tinOH`: local and peer address, and the counts.
#[must_use]
pub fn parse(line: &str) -> Option<((SocketAddr, SocketAddr), Count)> {
    let mut addresses = line.split_whitespace().filter_map(|word| word.parse().ok());
    let connection = (addresses.next()?, addresses.next()?);
    let field = |name: &str| {
        let mut words = line.split_whitespace();
        words.find_map(|word| word.strip_prefix(name)?.parse::<u64>().ok())
    };
    let count = Count {
        received: field("bytes_received:").unwrap_or(0),
        sent: field("bytes_sent:").unwrap_or(0),
        requests: field("data_segs_in:").unwrap_or(0),
    };
    Some((connection, count))
}
