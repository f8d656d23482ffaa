//! State of one shard of the claim log, up to the last entry that was read.
//!
//! The log is a sequence of entries, numbered from 1. The state after an entry
//! depends on that entry and its predecessors only. Time is taken from the
//! entries as well, so all readers agree on which claims have expired.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_base::prelude::*;
use balsamchute_wire::claim::{Claim, Operation, Reply, Settled};
use balsamchute_wire::record::Outcome;
use serde::{Deserialize, Serialize};

/// One change of the state of a key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Record {
    /// Claims a key. Ignored if the key is claimed already, unless that claim
    /// was settled as not run.
    Claim(Claim),
    /// Records the end of a claimed request.
    Settle {
        /// Workspace of the key.
        workspace: Workspace,
        /// Idempotency key of the request.
        key: Key,
        /// Nonce of the claim; a claim with another nonce is left as it is.
        nonce: u64,
        /// End of the request.
        outcome: Settled,
    },
}

/// Records that are written by one update of the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// Sequence number, from 1 without gaps.
    pub seq: u64,
    /// Router that wrote the entry.
    pub writer: Instance,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Write time by the writer's clock, never less than in the entry before.
    pub at: Time,
    /// Records in the order in which they apply.
    pub records: Vec<Record>,
}

/// Latest claim of a key and the end of its request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimState {
    /// Latest claim of the key.
    pub claim: Claim,
    /// End of the claimed request, `None` while it is not known.
    pub settled: Option<Settled>,
}

/// The state of the log after an entry, as stored.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// Sequence number of the last entry that the snapshot covers.
    pub seq: u64,
    /// Time of that entry.
    pub at: Time,
    /// Claims that have not expired at that time, by workspace and key.
    pub kept: Vec<ClaimState>,
}

/// Result of evaluating an [`Operation`] against the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Evaluation {
    /// The reply is valid regardless of later entries.
    Final(Reply),
    /// The reply is valid only if there are no later entries.
    Current(Reply),
    /// This record has to be appended to the log first.
    Append(Record),
}

/// State of a shard's log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Log {
    seq: u64,
    time: Time,
    claims: BTreeMap<(Workspace, Key), ClaimState>,
    expiry: BTreeSet<(Time, Workspace, Key)>,
    bytes: usize,
}

/// Stored size in bytes of a claim and its end record, without the names, the
/// reason and the answer. Counted in full before the claim is settled, so that
/// there is room for the end.
const CLAIM_BASE_BYTES: usize = 220;

impl Log {
    /// Creates the state of an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the sequence number of the last entry applied, 0 if there is none.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the time of the last entry applied.
    #[must_use]
    pub fn time(&self) -> Time {
        self.time
    }

    /// Returns the approximate size of a snapshot in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of claims that have not expired.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the log holds no unexpired claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the state as a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            seq: self.seq,
            at: self.time,
            kept: self.claims.values().cloned().collect(),
        }
    }

    /// Restores the state from a snapshot.
    #[must_use]
    pub fn with_snapshot(snapshot: Snapshot) -> Self {
        let mut log = Log {
            seq: snapshot.seq,
            time: snapshot.at,
            ..Log::default()
        };
        for state in snapshot.kept {
            log.insert(state);
        }
        log
    }

    /// Applies the entry that follows the last one applied.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not the next one in sequence.
    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.seq,
            self.seq + 1,
            "entries of the claim log must be applied in sequence"
        );
        self.seq = entry.seq;
        self.time = self.time.max(entry.at);
        self.expire();
        for record in &entry.records {
            match record {
                Record::Claim(claim) => self.apply_claim(claim),
                Record::Settle {
                    workspace,
                    key,
                    nonce,
                    outcome,
                } => self.apply_settle(workspace, key, *nonce, outcome),
            }
        }
    }

    /// Evaluates `operation` at `now` against the entries applied so far.
    #[must_use]
    pub fn evaluate(&self, now: Time, operation: &Operation) -> Evaluation {
        match operation {
            Operation::Claim(claim) => self.evaluate_claim(now, claim),
            Operation::Settle {
                workspace,
                key,
                nonce,
                outcome,
            } => match self.find_unexpired(now, workspace, key) {
                Some(state) if state.claim.nonce != *nonce => Evaluation::Current(reply_for(state)),
                Some(state) if !replaces(state.settled.as_ref(), outcome) => {
                    Evaluation::Final(reply_for(state))
                }
                Some(_) => Evaluation::Append(Record::Settle {
                    workspace: workspace.clone(),
                    key: key.clone(),
                    nonce: *nonce,
                    outcome: outcome.clone(),
                }),
                None => Evaluation::Current(Reply::Free),
            },
            Operation::Look { workspace, key } => {
                let state = self.find_unexpired(now, workspace, key);
                Evaluation::Current(state.map_or(Reply::Free, reply_for))
            }
        }
    }

    /// Evaluates a claim: granted if the log holds this same claim unsettled, to
    /// be appended if the key is free or its other claim was settled as not run.
    fn evaluate_claim(&self, now: Time, claim: &Claim) -> Evaluation {
        let Some(state) = self.find_unexpired(now, &claim.workspace, &claim.key) else {
            if claim.expires < self.time.max(now) {
                // The claim would expire with the entry that holds it.
                return Evaluation::Final(Reply::Unavailable);
            }
            return Evaluation::Append(Record::Claim(claim.clone()));
        };
        if state.claim.digest != claim.digest {
            return Evaluation::Current(Reply::Mismatch);
        }
        let same = is_same(&state.claim, claim);
        match &state.settled {
            None if same => Evaluation::Final(Reply::Granted),
            Some(settled) if settled.end.outcome == Outcome::NotRun && !same => {
                Evaluation::Append(Record::Claim(claim.clone()))
            }
            _ => Evaluation::Current(reply_for(state)),
        }
    }

    /// Returns the claim of `key` unless an entry written at `now` would expire
    /// it.
    fn find_unexpired(&self, now: Time, workspace: &Workspace, key: &Key) -> Option<&ClaimState> {
        let state = self.claims.get(&(workspace.clone(), key.clone()))?;
        (state.claim.expires >= self.time.max(now)).then_some(state)
    }

    /// Inserts a claim unless the key is claimed already. A key whose claim was
    /// settled as not run can be claimed again, but not by that same claim.
    fn apply_claim(&mut self, claim: &Claim) {
        let id = (claim.workspace.clone(), claim.key.clone());
        if let Some(old) = self.claims.get(&id) {
            let released =
                old.settled.as_ref().map(|settled| settled.end.outcome) == Some(Outcome::NotRun);
            if !released || is_same(&old.claim, claim) {
                return;
            }
        }
        self.insert(ClaimState {
            claim: claim.clone(),
            settled: None,
        });
    }

    fn apply_settle(&mut self, workspace: &Workspace, key: &Key, nonce: u64, outcome: &Settled) {
        let Some(state) = self.claims.get(&(workspace.clone(), key.clone())) else {
            return;
        };
        if state.claim.nonce == nonce && replaces(state.settled.as_ref(), outcome) {
            let claim = state.claim.clone();
            self.insert(ClaimState {
                claim,
                settled: Some(outcome.clone()),
            });
        }
    }

    fn insert(&mut self, state: ClaimState) {
        let claim = &state.claim;
        let (workspace, key) = (claim.workspace.clone(), claim.key.clone());
        self.expiry
            .insert((claim.expires, workspace.clone(), key.clone()));
        self.bytes += stored_bytes(&state);
        if let Some(old) = self.claims.insert((workspace.clone(), key.clone()), state) {
            self.bytes -= stored_bytes(&old);
            let expires = self.claims[&(workspace.clone(), key.clone())].claim.expires;
            if old.claim.expires != expires {
                self.expiry.remove(&(old.claim.expires, workspace, key));
            }
        }
    }

    fn expire(&mut self) {
        while let Some((expires, ..)) = self.expiry.first()
            && *expires < self.time
        {
            let id = self
                .expiry
                .pop_first()
                .map(|(_, workspace, key)| (workspace, key));
            if let Some(expired) = id.and_then(|id| self.claims.remove(&id)) {
                self.bytes -= stored_bytes(&expired);
            }
        }
    }
}

/// Returns whether both are the same claim, sent twice.
fn is_same(a: &Claim, b: &Claim) -> bool {
    (&a.holder, a.incarnation, a.nonce) == (&b.holder, b.incarnation, b.nonce)
}

/// Returns whether the end `new` replaces `old`. The first end stands, except
/// that the holder may later find out how a request ended that it reported as
/// `unknown`.
fn replaces(old: Option<&Settled>, new: &Settled) -> bool {
    match old.map(|settled| settled.end.outcome) {
        None => true,
        Some(Outcome::Unknown) => matches!(new.end.outcome, Outcome::Done | Outcome::Failed),
        Some(_) => false,
    }
}

fn reply_for(state: &ClaimState) -> Reply {
    match &state.settled {
        Some(settled) => Reply::Settled(settled.clone()),
        None => Reply::Held(state.claim.clone()),
    }
}

/// Returns the approximate stored size in bytes.
fn stored_bytes(state: &ClaimState) -> usize {
    let claim = &state.claim;
    let names = [
        claim.workspace.as_str(),
        claim.key.as_str(),
        claim.holder.as_str(),
    ];
    let names: usize = names.iter().map(|name| name.len()).sum();
    CLAIM_BASE_BYTES + names + state.settled.as_ref().map_or(0, variable_bytes)
}

/// Returns the size in bytes of the variable-length parts of an end.
fn variable_bytes(settled: &Settled) -> usize {
    let reason = settled.end.reason.as_ref().map_or(0, String::len);
    let answer = settled.answer.iter().flatten();
    // The header of a text takes at most 5 bytes in MessagePack.
    reason + answer.map(|text| text.len() + 5).sum::<usize>()
}
