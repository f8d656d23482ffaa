//! What one shard of the claim log says, as far as it was read.
//!
//! The log is a sequence of entries, numbered from 1. Its state after an entry
//! is a function of the entries up to it alone: time, too, comes from the
//! entries, so every reader agrees on which claims have expired.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_base::prelude::*;
use balsamchute_wire::claim::{Ask, Claim, Settled, Verdict};
use balsamchute_wire::record::Outcome;
use serde::{Deserialize, Serialize};

/// One change of the log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Record {
    /// A key was claimed.
    Claim(Claim),
    /// A claimed request ended.
    Settle {
        /// The workspace.
        workspace: Workspace,
        /// The key.
        key: Key,
        /// Nonce of the claim.
        nonce: u64,
        /// How it ended.
        outcome: Settled,
    },
}

/// Records that were stored together.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// Its number.
    pub seq: u64,
    /// The router that wrote it.
    pub writer: Instance,
    /// The life of that router.
    pub incarnation: Incarnation,
    /// When it was written, by the writer's clock, never before its predecessor.
    pub at: Time,
    /// The records, oldest first.
    pub records: Vec<Record>,
}

/// A claim and its end.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Kept {
    /// The claim.
    pub claim: Claim,
    /// How it ended, `None` while that is not known.
    pub settled: Option<Settled>,
}

/// The state after an entry, as stored in a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// Number of the last entry in it.
    pub seq: u64,
    /// Time of that entry.
    pub at: Time,
    /// Claims that have not expired.
    pub kept: Vec<Kept>,
}

/// What follows from the log for an [`Ask`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reading {
    /// The verdict holds whatever later entries say.
    Final(Verdict),
    /// The verdict holds if there are no later entries.
    Current(Verdict),
    /// The log has to be extended by this record.
    Append(Record),
}

/// State of a shard's log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Log {
    seq: u64,
    at: Time,
    kept: BTreeMap<(Workspace, Key), Kept>,
    expiry: BTreeSet<(Time, Workspace, Key)>,
    bytes: usize,
}

/// Stored size of a claim beside its names, and room for its end record.
const CLAIM_BYTES: usize = 220;

impl Log {
    /// Creates the state of an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the last entry read.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the time of the last entry read.
    #[must_use]
    pub fn at(&self) -> Time {
        self.at
    }

    /// Returns the approximate size of a snapshot in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of claims kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Returns the state as a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            seq: self.seq,
            at: self.at,
            kept: self.kept.values().cloned().collect(),
        }
    }

    /// Restores the state from a snapshot.
    #[must_use]
    pub fn with_snapshot(snapshot: Snapshot) -> Self {
        let mut log = Log {
            seq: snapshot.seq,
            at: snapshot.at,
            ..Log::default()
        };
        for kept in snapshot.kept {
            log.keep(kept);
        }
        log
    }

    /// Takes in the entry that follows the last one read.
    ///
    /// # Panics
    ///
    /// Panics if the entry has another number.
    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.seq, self.seq + 1, "claim log entries apply in order");
        self.seq = entry.seq;
        self.at = self.at.max(entry.at);
        self.expire();
        for record in &entry.records {
            match record {
                Record::Claim(claim) => self.claim(claim),
                Record::Settle {
                    workspace,
                    key,
                    nonce,
                    outcome,
                } => self.settle(workspace, key, *nonce, outcome),
            }
        }
    }

    /// Returns what the log says to `ask` at `now`.
    #[must_use]
    pub fn read(&self, now: Time, ask: &Ask) -> Reading {
        match ask {
            Ask::Claim(claim) => self.read_claim(now, claim),
            Ask::Settle {
                workspace,
                key,
                nonce,
                outcome,
            } => match self.find(now, workspace, key) {
                Some(kept) if kept.claim.nonce != *nonce => Reading::Current(verdict(kept)),
                Some(kept) if !replaces(kept.settled.as_ref(), outcome) => {
                    Reading::Final(verdict(kept))
                }
                Some(_) => Reading::Append(Record::Settle {
                    workspace: workspace.clone(),
                    key: key.clone(),
                    nonce: *nonce,
                    outcome: outcome.clone(),
                }),
                None => Reading::Current(Verdict::Free),
            },
            Ask::Look { workspace, key } => {
                let kept = self.find(now, workspace, key);
                Reading::Current(kept.map_or(Verdict::Free, verdict))
            }
        }
    }

    fn read_claim(&self, now: Time, claim: &Claim) -> Reading {
        let Some(kept) = self.find(now, &claim.workspace, &claim.key) else {
            if claim.expires < self.at.max(now) {
                // It would be forgotten with the entry that holds it.
                return Reading::Final(Verdict::Unavailable);
            }
            return Reading::Append(Record::Claim(claim.clone()));
        };
        if kept.claim.digest != claim.digest {
            return Reading::Current(Verdict::Mismatch);
        }
        let same = is_same(&kept.claim, claim);
        match &kept.settled {
            None if same => Reading::Final(Verdict::Granted),
            Some(settled) if settled.end.outcome == Outcome::NotRun && !same => {
                Reading::Append(Record::Claim(claim.clone()))
            }
            _ => Reading::Current(verdict(kept)),
        }
    }

    /// Finds a claim that an entry written at `now` would not expire.
    fn find(&self, now: Time, workspace: &Workspace, key: &Key) -> Option<&Kept> {
        let kept = self.kept.get(&(workspace.clone(), key.clone()))?;
        (kept.claim.expires >= self.at.max(now)).then_some(kept)
    }

    /// Enters a claim unless the key is taken. A key whose claim was settled
    /// as not run is free.
    fn claim(&mut self, claim: &Claim) {
        let name = (claim.workspace.clone(), claim.key.clone());
        if let Some(old) = self.kept.get(&name) {
            let released = old.settled.as_ref().map(|s| s.end.outcome) == Some(Outcome::NotRun);
            if !released || is_same(&old.claim, claim) {
                return;
            }
        }
        self.keep(Kept {
            claim: claim.clone(),
            settled: None,
        });
    }

    fn settle(&mut self, workspace: &Workspace, key: &Key, nonce: u64, outcome: &Settled) {
        let Some(kept) = self.kept.get(&(workspace.clone(), key.clone())) else {
            return;
        };
        if kept.claim.nonce == nonce && replaces(kept.settled.as_ref(), outcome) {
            let claim = kept.claim.clone();
            self.keep(Kept {
                claim,
                settled: Some(outcome.clone()),
            });
        }
    }

    fn keep(&mut self, kept: Kept) {
        let claim = &kept.claim;
        let (workspace, key) = (claim.workspace.clone(), claim.key.clone());
        self.expiry
            .insert((claim.expires, workspace.clone(), key.clone()));
        self.bytes += size(&kept);
        if let Some(old) = self.kept.insert((workspace.clone(), key.clone()), kept) {
            self.bytes -= size(&old);
            let expires = self.kept[&(workspace.clone(), key.clone())].claim.expires;
            if old.claim.expires != expires {
                self.expiry.remove(&(old.claim.expires, workspace, key));
            }
        }
    }

    fn expire(&mut self) {
        while let Some((expires, ..)) = self.expiry.first()
            && *expires < self.at
        {
            let name = self.expiry.pop_first().map(|(_, w, k)| (w, k));
            if let Some(old) = name.and_then(|name| self.kept.remove(&name)) {
                self.bytes -= size(&old);
            }
        }
    }
}

/// Returns whether two claims are one, sent twice.
fn is_same(a: &Claim, b: &Claim) -> bool {
    (&a.holder, a.incarnation, a.nonce) == (&b.holder, b.incarnation, b.nonce)
}

/// Returns whether `new` takes the place of `old`. The first end stands, but
/// a holder that said `unknown` may have learnt more.
fn replaces(old: Option<&Settled>, new: &Settled) -> bool {
    match old.map(|settled| settled.end.outcome) {
        None => true,
        Some(Outcome::Unknown) => matches!(new.end.outcome, Outcome::Done | Outcome::Failed),
        Some(_) => false,
    }
}

fn verdict(kept: &Kept) -> Verdict {
    match &kept.settled {
        Some(settled) => Verdict::Settled(settled.clone()),
        None => Verdict::Held(kept.claim.clone()),
    }
}

/// Returns the approximate stored size in bytes.
fn size(kept: &Kept) -> usize {
    let claim = &kept.claim;
    let names = [
        claim.workspace.as_str(),
        claim.key.as_str(),
        claim.holder.as_str(),
    ];
    let names: usize = names.iter().map(|name| name.len()).sum();
    CLAIM_BYTES + names + kept.settled.as_ref().map_or(0, extra)
}

/// Returns the size of the parts of an end that vary.
fn extra(settled: &Settled) -> usize {
    let reason = settled.end.reason.as_ref().map_or(0, String::len);
    let answer = settled.answer.iter().flatten();
    reason + answer.map(|text| text.len() + 5).sum::<usize>()
}
