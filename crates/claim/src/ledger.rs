//! In-memory table of a router's non-idempotent requests, by idempotency key.
//!
//! The ledger decides whether an arriving request with a key is claimed and run,
//! joins the execution in flight, or gets the recorded end. An entry is kept for
//! the retention period after the request has ended.

use std::collections::BTreeSet;

use balsamchute_base::prelude::*;
use balsamchute_wire::claim::Settled;
use balsamchute_wire::record::{End, Outcome};
use indexmap::IndexMap;
use smallvec::SmallVec;

use crate::bound::{self, Binding};

/// Number of a request, unique within the router.
pub type RequestNumber = u64;

/// Size and time limits of a [`Ledger`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum size of a kept answer, in bytes over all of its texts. The end
    /// of a longer answer is kept without the answer.
    pub max_answer_bytes: usize,
    /// Time for which a key is kept after its request has ended.
    pub retention: Span,
    /// Maximum age at which a bound key may start a request. Must be less than
    /// `retention`: a key must not be forgotten while it may still start.
    pub max_key_age: Span,
    /// Maximum number of keys. Beyond it, requests with new keys are refused.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_answer_bytes: 2048,
            retention: Span::from_secs(900),
            max_key_age: Span::from_secs(300),
            capacity: 50_000,
        }
    }
}

/// Decision on an arriving request with a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request proceeds and becomes the leader of requests that join it.
    Proceed,
    /// A request with the same key is in flight; wait for its end.
    Join {
        /// Number of the request in flight.
        leader: RequestNumber,
    },
    /// A request with the same key has ended with this recorded end.
    Ended(Settled),
    /// The key was used with another body or service.
    Mismatch,
    /// The bound key is older than the maximum age: it may have run and been
    /// forgotten.
    Expired,
    /// The ledger is full and the key was not added.
    Full,
}

/// Progress of a key's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stage {
    /// In flight; no byte has been sent to a target, or the target attested
    /// that it refused the attempt.
    Unsent,
    /// In flight; a byte of this attempt may have reached a target.
    Sent(Attempt),
    /// Ended with this recorded end.
    Ended(Settled),
}

/// State of one key in the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Digest of service and body.
    pub digest: u128,
    /// Nonce of the leader's claim in the claim log.
    pub nonce: u64,
    /// Number of the request that runs or ran.
    pub leader: RequestNumber,
    /// Numbers of the requests that wait for the leader's end.
    pub joined: SmallVec<[RequestNumber; 2]>,
    /// Progress of the leader.
    pub stage: Stage,
    /// Nonces of earlier claims whose requests ended as not run.
    unused_nonces: SmallVec<[u64; 2]>,
    /// Time at which an ended key is forgotten, 0 before the first end.
    expires: Time,
}

impl Entry {
    /// Returns whether the request ended as not run, so that another request
    /// may start with the key.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        is_not_run(&self.stage)
    }
}

/// Result of [`Ledger::record_end`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recorded {
    /// Recorded end. It may be `unknown` where the caller passed `not_run`.
    pub settled: Settled,
    /// Numbers of the requests that joined and get the same end.
    pub joined: SmallVec<[RequestNumber; 2]>,
}

type Id = (Workspace, Key);

/// Keys of the requests in flight and of recently ended requests.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    keys: IndexMap<Id, Entry>,
    /// Ended keys by the time at which they are forgotten.
    expiry: BTreeSet<(Time, Workspace, Key)>,
}

impl Ledger {
    /// Creates a ledger without keys.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Ledger {
            settings,
            keys: IndexMap::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// Returns the number of keys in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the ledger holds no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Decides on the arriving request `request_number` with `key`. If it proceeds,
    /// `nonce` identifies its claim.
    pub fn begin(
        &mut self,
        now: Time,
        workspace: &Workspace,
        key: &Key,
        digest: u128,
        request_number: RequestNumber,
        nonce: u64,
    ) -> Decision {
        self.expire(now);
        let id = (workspace.clone(), key.clone());
        if let Some(entry) = self.keys.get_mut(&id) {
            let decision = decide_repeated(entry, digest, request_number, nonce);
            if decision == Decision::Proceed {
                let expiry_key = (entry.expires, id.0, id.1);
                self.expiry.remove(&expiry_key);
            }
            return decision;
        }
        if self.is_expired(now, key) {
            return Decision::Expired;
        }
        if self.keys.len() >= self.settings.capacity {
            return Decision::Full;
        }
        let entry = Entry {
            digest,
            nonce,
            leader: request_number,
            joined: SmallVec::new(),
            stage: Stage::Unsent,
            unused_nonces: SmallVec::new(),
            expires: Time(0),
        };
        self.keys.insert(id, entry);
        Decision::Proceed
    }

    /// Records that a byte of `attempt` may have been sent to a target.
    ///
    /// From then on the recorded end is never `not_run`, unless
    /// [`Ledger::record_refusal`] records that the attempt did not run.
    pub fn record_send(&mut self, workspace: &Workspace, key: &Key, attempt: &Attempt) {
        if let Some(entry) = self.keys.get_mut(&(workspace.clone(), key.clone()))
            && !matches!(entry.stage, Stage::Ended(_))
        {
            entry.stage = Stage::Sent(attempt.clone());
        }
    }

    /// Records that `attempt` certainly did not run: no byte of it reached the
    /// target, or the target attested that it refused it.
    pub fn record_refusal(&mut self, workspace: &Workspace, key: &Key, attempt: &Attempt) {
        if let Some(entry) = self.keys.get_mut(&(workspace.clone(), key.clone()))
            && entry.stage == Stage::Sent(attempt.clone())
        {
            entry.stage = Stage::Unsent;
        }
    }

    /// Records the end of `key`. Returns the recorded end and the requests that
    /// wait for it, or `None` if the ledger does not hold the key.
    ///
    /// The first end stands, except that `unknown` is replaced by any later end
    /// other than `not_run`.
    pub fn record_end(
        &mut self,
        now: Time,
        workspace: &Workspace,
        key: &Key,
        settled: Settled,
    ) -> Option<Recorded> {
        let entry = self.keys.get_mut(&(workspace.clone(), key.clone()))?;
        if let Stage::Ended(recorded) = &entry.stage {
            if recorded.end.outcome != Outcome::Unknown || settled.end.outcome == Outcome::NotRun {
                return Some(Recorded {
                    settled: recorded.clone(),
                    joined: SmallVec::new(),
                });
            }
            self.expiry
                .remove(&(entry.expires, workspace.clone(), key.clone()));
        }
        let settled = downgrade_not_run(
            &entry.stage,
            drop_long_answer(settled, self.settings.max_answer_bytes),
        );
        entry.stage = Stage::Ended(settled.clone());
        entry.expires = now + self.settings.retention;
        let joined = std::mem::take(&mut entry.joined);
        self.expiry
            .insert((entry.expires, workspace.clone(), key.clone()));
        Some(Recorded { settled, joined })
    }

    /// Returns the entry of `key`, `None` if the ledger does not hold it.
    #[must_use]
    pub fn get(&self, workspace: &Workspace, key: &Key) -> Option<&Entry> {
        self.keys.get(&(workspace.clone(), key.clone()))
    }

    /// Returns whether this router claimed `key` with `nonce` and the request
    /// ended as not run, so that the claim can be settled as not run.
    #[must_use]
    pub fn is_claim_unused(&self, workspace: &Workspace, key: &Key, nonce: u64) -> bool {
        self.get(workspace, key).is_some_and(|entry| {
            entry.unused_nonces.contains(&nonce) || entry.nonce == nonce && is_not_run(&entry.stage)
        })
    }

    /// Removes the keys whose retention period is over.
    pub fn expire(&mut self, now: Time) {
        while let Some((time, ..)) = self.expiry.first()
            && *time <= now
        {
            if let Some((_, workspace, key)) = self.expiry.pop_first() {
                self.keys.swap_remove(&(workspace, key));
            }
        }
    }

    /// Returns whether `key` is a bound key that is older than `max_key_age`.
    fn is_expired(&self, now: Time, key: &Key) -> bool {
        match bound::binding_of(key) {
            Binding::Bound { created, .. } => created + self.settings.max_key_age < now,
            Binding::Durable | Binding::Malformed => false,
        }
    }
}

/// Decides on a request whose key is in the ledger.
fn decide_repeated(
    entry: &mut Entry,
    digest: u128,
    request_number: RequestNumber,
    nonce: u64,
) -> Decision {
    if entry.digest != digest {
        return Decision::Mismatch;
    }
    if is_not_run(&entry.stage) {
        entry.unused_nonces.push(entry.nonce);
        entry.nonce = nonce;
        entry.leader = request_number;
        entry.stage = Stage::Unsent;
        return Decision::Proceed;
    }
    match &entry.stage {
        Stage::Ended(settled) => Decision::Ended(settled.clone()),
        Stage::Unsent | Stage::Sent(_) => {
            entry.joined.push(request_number);
            Decision::Join {
                leader: entry.leader,
            }
        }
    }
}

fn is_not_run(stage: &Stage) -> bool {
    matches!(stage, Stage::Ended(settled) if settled.end.outcome == Outcome::NotRun)
}

/// Replaces `not_run` with `unknown` if a byte of the request may have reached
/// a target.
fn downgrade_not_run(stage: &Stage, settled: Settled) -> Settled {
    match stage {
        Stage::Sent(attempt) if settled.end.outcome == Outcome::NotRun => Settled {
            end: End::new(Outcome::Unknown, "the request may have reached its target")
                .with_attempt(attempt),
            answer: None,
        },
        _ => settled,
    }
}

/// Drops an answer that is longer than `max_bytes`.
fn drop_long_answer(mut settled: Settled, max_bytes: usize) -> Settled {
    let bytes = |texts: &Vec<String>| texts.iter().map(String::len).sum::<usize>();
    if settled
        .answer
        .as_ref()
        .is_some_and(|texts| bytes(texts) > max_bytes)
    {
        settled.answer = None;
    }
    settled
}
