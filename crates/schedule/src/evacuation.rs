//! Evacuated failure domains, as this router knows them.
//!
//! Responds to the loss of a failure domain that the operator expects or sees: no new
//! attempt may go to its runners, also from routers that cannot reach the store. Routers
//! that read the store list and watch the evacuations, and every datagram between routers
//! contains the set with its store revision, so that the latest one wins everywhere.
//!
//! A store that comes back from an older copy may lack an evacuation that is in force. It
//! stays in force for [`HOLD_TIME`], in which the operator can create it again.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_model::prelude::*;
use serde::{Deserialize, Serialize};

/// Time for which an evacuation stays in force that a restored store lacks.
pub const HOLD_TIME: Span = Span::from_secs(60);

/// Upper bound of the evacuated domains; the set is part of every datagram.
const MAX_DOMAINS: usize = 64;

/// Upper bound of the length of a domain's name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Set of evacuated domains that routers send to each other.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Shared {
    /// Store revision of the set; the default if the sender does not know the set.
    pub revision: Revision,
    /// Domains that the store lists as evacuated.
    pub listed: BTreeSet<String>,
    /// Domains that the restored store lacks, with the time for which they stay
    /// evacuated; 0 for those that were created again since, whether or not they are still
    /// listed.
    pub held: Vec<(String, Span)>,
}

/// Change of one evacuation in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The domain's evacuation was created or written again.
    Begun(String),
    /// The domain's evacuation was deleted.
    Ended(String),
}

/// Evacuated domains and the store revision up to which they are current.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    revision: Revision,
    is_known: bool,
    listed: BTreeSet<String>,
    // Times until which domains stay evacuated that the current era lacks. Kept after
    // that time until the next era, so that a report of a peer does not begin it again.
    held: BTreeMap<String, Time>,
    // Domains in `held` that the current era has listed since.
    released: BTreeSet<String>,
}

/// Returns whether a text can be the name of a failure domain: 1 to 64 printable ASCII
/// characters without spaces, quotes and backslashes.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\\');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}

impl Evacuations {
    /// Creates a set that is not known yet, without domains.
    #[must_use]
    pub fn new() -> Self {
        Evacuations::default()
    }

    /// Returns whether a list of the store or a set of a peer was applied.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the store revision up to which the set is current.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the domains that are evacuated at `now`.
    #[must_use]
    pub fn in_force(&self, now: Time) -> BTreeSet<String> {
        let held = self.held.iter().filter(|(_, until)| now < **until);
        let held = held.map(|(domain, _)| domain.clone());
        self.listed.iter().cloned().chain(held).collect()
    }

    /// Returns the domains that stay evacuated at `now` although the store lacks them.
    pub fn held(&self, now: Time) -> impl Iterator<Item = (&str, Span)> {
        let held = self.held.iter().filter(move |(_, until)| now < **until);
        held.map(move |(domain, until)| (domain.as_str(), until.since(now)))
    }

    /// Returns the set for other routers.
    #[must_use]
    pub fn shared(&self, now: Time) -> Shared {
        let held = self.held(now).take(MAX_DOMAINS);
        let released = self.released.iter().take(MAX_DOMAINS);
        let released = released.map(|domain| (domain.clone(), Span(0)));
        let held = held.map(|(domain, left)| (domain.to_owned(), left));
        Shared {
            revision: self.revision,
            listed: self.listed.clone(),
            held: held.chain(released).collect(),
        }
    }

    /// Replaces the set by a list of the store as of `revision`. Returns false, and
    /// changes nothing, if the list is older than what is known. Names that are not valid
    /// have no effect.
    pub fn replace<I>(&mut self, now: Time, names: I, revision: Revision) -> bool
    where
        I: IntoIterator<Item = String>,
    {
        if self.is_known && revision < self.revision {
            return false;
        }
        let names = names.into_iter().filter(|name| is_valid_name(name));
        let listed: BTreeSet<String> = names.take(MAX_DOMAINS).collect();
        if revision.era > self.revision.era && self.is_known {
            let missing = self.in_force(now).into_iter();
            let missing = missing.filter(|domain| !listed.contains(domain));
            self.released.clear();
            self.held = missing.map(|domain| (domain, now + HOLD_TIME)).collect();
        }
        for domain in &listed {
            self.end_hold(now, domain);
        }
        self.listed = listed;
        self.revision = revision;
        self.is_known = true;
        true
    }

    /// Applies changes of the store up to `revision`. Returns false, and changes nothing,
    /// if they are known already or belong to another era than the set.
    pub fn apply(&mut self, now: Time, changes: Vec<Change>, revision: Revision) -> bool {
        if revision <= self.revision || revision.era != self.revision.era {
            return false;
        }
        for change in changes {
            match change {
                Change::Begun(domain) => {
                    self.end_hold(now, &domain);
                    if is_valid_name(&domain) && self.listed.len() < MAX_DOMAINS {
                        self.listed.insert(domain);
                    }
                }
                Change::Ended(domain) => {
                    self.end_hold(now, &domain);
                    self.listed.remove(&domain);
                }
            }
        }
        self.revision = revision;
        true
    }

    /// Merges the set of another router: a later one replaces this one, and what it holds
    /// in the same era is held here too. An earlier one changes nothing.
    pub fn merge(&mut self, now: Time, peer: &Shared) {
        let is_known = peer.revision > Revision::default();
        if !is_known || (self.is_known && peer.revision.era < self.revision.era) {
            return;
        }
        if !self.is_known || peer.revision > self.revision {
            self.replace(now, peer.listed.iter().cloned(), peer.revision);
        }
        for (domain, left) in &peer.held {
            self.hold(now, domain, *left);
        }
    }

    /// Merges the set of the router whose view a starting router applies. One of an
    /// earlier era than the list that this router has read itself is what was known before
    /// the store was restored.
    pub fn merge_at_start(&mut self, now: Time, peer: &Shared) {
        let is_earlier = self.is_known && peer.revision.era < self.revision.era;
        if is_earlier && peer.revision > Revision::default() {
            for domain in &peer.listed {
                self.hold(now, domain, HOLD_TIME);
            }
        }
        self.merge(now, peer);
    }

    /// Keeps a domain evacuated that the store lacks, unless that was decided before in
    /// this era. With `left` 0, releases it.
    fn hold(&mut self, now: Time, domain: &str, left: Span) {
        if left == Span(0) {
            if is_valid_name(domain) && self.held.len() < 2 * MAX_DOMAINS {
                self.held.entry(domain.to_owned()).or_insert(now);
            }
            return self.end_hold(now, domain);
        }
        let is_new = !self.listed.contains(domain) && !self.held.contains_key(domain);
        if is_new && is_valid_name(domain) && self.held.len() < 2 * MAX_DOMAINS {
            let until = now + left.min(HOLD_TIME);
            self.held.insert(domain.to_owned(), until);
        }
    }

    fn end_hold(&mut self, now: Time, domain: &str) {
        if let Some(until) = self.held.get_mut(domain) {
            *until = now.min(*until);
            self.released.insert(domain.to_owned());
        }
    }
}
