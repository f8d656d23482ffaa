//! Which configuration is in force, and when a router knows enough to serve.

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;
use balsamchute_wire::config::{Document, Stamp};

/// How long a router that has just started waits for the second of its two
/// sources, the platform and a peer, once it has heard the first.
pub const PATIENCE: Span = Span::from_secs(1);

/// What became of an offered document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It is newer and is now in force.
    Newer,
    /// It is the one in force.
    Same,
    /// It is older and was dropped.
    Older,
    /// It has the version in force but another text; it was dropped.
    Conflict,
}

/// The highest configuration seen.
#[derive(Clone, Debug)]
pub struct Store {
    document: Document,
    stamp: Stamp,
    /// Highest version that any source has named.
    highest: u64,
    started: Time,
    platform: bool,
    peer: bool,
}

impl Store {
    /// Creates a store without a configuration, at the start of the process.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Store {
            document: Document::default(),
            stamp: Stamp::default(),
            highest: 0,
            started: now,
            platform: false,
            peer: false,
        }
    }

    /// Takes in a document. The version in force never goes down.
    pub fn offer(&mut self, document: Document) -> Offer {
        let stamp = stamp(&document);
        self.highest = self.highest.max(stamp.version);
        if stamp.version < self.stamp.version {
            return Offer::Older;
        }
        if stamp.version == self.stamp.version {
            let same = stamp.digest == self.stamp.digest;
            return if same { Offer::Same } else { Offer::Conflict };
        }
        self.document = document;
        self.stamp = stamp;
        Offer::Newer
    }

    /// Returns the document in force, of version 0 and empty if there is none.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the stamp of the document in force.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Notes the stamp that a peer has published and returns whether its
    /// document should be fetched.
    pub fn fetch_from(&mut self, peer: Stamp) -> bool {
        self.peer = true;
        self.highest = self.highest.max(peer.version);
        peer.version > self.stamp.version
    }

    /// Notes that the platform has answered with `version`, 0 if it holds no
    /// configuration.
    pub fn platform_answered(&mut self, version: u64) {
        self.platform = true;
        self.highest = self.highest.max(version);
    }

    /// Returns whether a router may take requests: it has the highest version
    /// that any source has named, and has heard both the platform and a peer,
    /// or one of them while the other stayed silent for [`PATIENCE`].
    #[must_use]
    pub fn ready(&self, now: Time) -> bool {
        let current = self.stamp.version >= self.highest;
        let waited = now.since(self.started) >= PATIENCE;
        let heard = match (self.platform, self.peer) {
            (true, true) => true,
            (true, false) => waited,
            (false, true) => waited && self.stamp.version > 0,
            (false, false) => false,
        };
        current && heard
    }
}

/// Returns the stamp of `document`.
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
