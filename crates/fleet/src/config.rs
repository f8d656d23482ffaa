//! Selection of the configuration in force and readiness of a starting router.

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;
use balsamchute_wire::config::{Document, Stamp};

/// Time after the start for which a router waits for the second of its two
/// sources, the platform and a peer.
pub const SECOND_SOURCE_TIMEOUT: Span = Span::from_secs(1);

/// Result of offering a document to a [`Store`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The document has a higher version and is now in force.
    Newer,
    /// The document is the one in force.
    Same,
    /// The document has a lower version and was dropped.
    Older,
    /// The document has the version in force but a different text and was
    /// dropped.
    Conflict,
}

/// In-memory store of the configuration in force: the document with the highest
/// version offered so far.
#[derive(Clone, Debug)]
pub struct Store {
    document: Document,
    stamp: Stamp,
    /// Highest version announced by any source.
    highest_announced: u64,
    started: Time,
    platform_answered: bool,
    peer_answered: bool,
    /// Version that could not be applied.
    rejected: Option<u64>,
}

impl Store {
    /// Creates an empty store for a process that starts at `now`.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Store {
            document: Document::default(),
            stamp: Stamp::default(),
            highest_announced: 0,
            started: now,
            platform_answered: false,
            peer_answered: false,
            rejected: None,
        }
    }

    /// Puts a document in force if its version is higher. The version in force
    /// never decreases.
    pub fn offer(&mut self, document: Document) -> Offer {
        let stamp = stamp(&document);
        self.highest_announced = self.highest_announced.max(stamp.version);
        if stamp.version < self.stamp.version {
            return Offer::Older;
        }
        if stamp.version == self.stamp.version {
            let is_same = stamp.digest == self.stamp.digest;
            return if is_same {
                Offer::Same
            } else {
                Offer::Conflict
            };
        }
        self.document = document;
        self.stamp = stamp;
        Offer::Newer
    }

    /// Returns the document in force, or an empty one of version 0.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the document to apply over version `applied`: a newer one that was not
    /// rejected.
    #[must_use]
    pub fn unapplied(&self, applied: u64) -> Option<&Document> {
        let version = self.document.version;
        (version > applied && self.rejected != Some(version)).then_some(&self.document)
    }

    /// Records that the document in force cannot be applied. Only a newer one replaces
    /// it.
    pub fn reject(&mut self) {
        self.rejected = Some(self.document.version);
    }

    /// Returns the stamp of the document in force.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Records the stamp published by a peer and returns whether to fetch the
    /// peer's document.
    pub fn observe_peer(&mut self, peer: Stamp) -> bool {
        self.peer_answered = true;
        self.highest_announced = self.highest_announced.max(peer.version);
        peer.version > self.stamp.version
    }

    /// Records that the platform answered with `version`, 0 if it holds no
    /// configuration.
    pub fn observe_platform(&mut self, version: u64) {
        self.platform_answered = true;
        self.highest_announced = self.highest_announced.max(version);
    }

    /// Returns whether the router may accept requests.
    ///
    /// The router has to hold the highest version announced, and both sources must
    /// have answered. After [`SECOND_SOURCE_TIMEOUT`] one source is enough: the
    /// platform, or a peer if there is a configuration in force.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        let is_current = self.stamp.version >= self.highest_announced;
        let timed_out = now.since(self.started) >= SECOND_SOURCE_TIMEOUT;
        let sources_answered = match (self.platform_answered, self.peer_answered) {
            (true, true) => true,
            (true, false) => timed_out,
            (false, true) => timed_out && self.stamp.version > 0,
            (false, false) => false,
        };
        is_current && sources_answered
    }
}

/// Computes the stamp of `document`. Version 0 means that there is no
/// configuration; its digest is zero, as in `Stamp::default()`.
#[must_use]
pub fn stamp(document: &Document) -> Stamp {
    let digest = if document.version == 0 {
        Digest::default()
    } else {
        Digest::new(document.text.as_bytes())
    };
    Stamp {
        version: document.version,
        digest,
    }
}
