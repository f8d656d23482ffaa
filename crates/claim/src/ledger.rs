//! A router's own memory of non-idempotent requests, by key.
//!
//! The ledger decides what a request with a key does on its arrival: it goes
//! on to be claimed and run, joins the execution under way, or gets the
//! recorded end. It outlives the request by the retention.

use std::collections::BTreeSet;

use balsamchute_base::prelude::*;
use balsamchute_wire::claim::Settled;
use balsamchute_wire::record::{End, Outcome};
use indexmap::IndexMap;
use smallvec::SmallVec;

use crate::bound::{self, Binding};

/// Number of a request inside the router.
pub type Ticket = u64;

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Longest answer that is kept, in bytes over all texts.
    pub answer_bytes: usize,
    /// How long an ended key is remembered.
    pub retention: Span,
    /// Age up to which a bound key may start; must be less than `retention`.
    pub key_life: Span,
    /// Keys remembered at most.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            answer_bytes: 2048,
            retention: Span::from_secs(900),
            key_life: Span::from_secs(300),
            capacity: 50_000,
        }
    }
}

/// What a request with a key does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Begin {
    /// It is the first: it goes on, and is the leader of those that join.
    New,
    /// The same request is under way.
    Join {
        /// Ticket of the request that runs.
        leader: Ticket,
    },
    /// It has ended.
    Ended(Settled),
    /// The key was used with another body or service.
    Mismatch,
    /// The bound key is older than the memory of this router: it may have run.
    Expired,
    /// The ledger is full: nothing was begun.
    Full,
}

/// How far a key's request has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Under way; no byte has left for a target.
    Waiting,
    /// A byte may have reached a target.
    Sent(Attempt),
    /// Ended.
    Ended(Settled),
}

/// What is known of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct State {
    /// Digest of service and body.
    pub digest: u128,
    /// Nonce of its claim.
    pub nonce: u64,
    /// The request that runs or ran.
    pub leader: Ticket,
    /// Requests that wait for its end.
    pub joined: SmallVec<[Ticket; 2]>,
    /// How far it has come.
    pub stage: Stage,
    /// Nonces of earlier tries that ended before anything was sent.
    unused: SmallVec<[u64; 2]>,
    /// When an ended key is forgotten.
    expires: Time,
}

impl State {
    /// Returns whether it ended before anything was sent, so that it may start
    /// anew.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        is_not_run(&self.stage)
    }
}

/// The end of a key's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ending {
    /// The end as recorded, which may be `unknown` where `not_run` was offered.
    pub settled: Settled,
    /// Requests that joined and get the same end.
    pub joined: SmallVec<[Ticket; 2]>,
}

type Name = (Workspace, Key);

/// The memory of keys.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    keys: IndexMap<Name, State>,
    expiry: BTreeSet<(Time, Workspace, Key)>,
}

impl Ledger {
    /// Creates a ledger that remembers no keys.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Ledger {
            settings,
            keys: IndexMap::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// Returns the number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Decides what request `ticket` with `key` does; `nonce` is for its claim
    /// if it goes on.
    pub fn begin(
        &mut self,
        now: Time,
        workspace: &Workspace,
        key: &Key,
        digest: u128,
        ticket: Ticket,
        nonce: u64,
    ) -> Begin {
        self.expire(now);
        let name = (workspace.clone(), key.clone());
        if let Some(state) = self.keys.get_mut(&name) {
            let begin = rejoin(state, digest, ticket, nonce);
            if begin == Begin::New {
                let entry = (state.expires, name.0, name.1);
                self.expiry.remove(&entry);
            }
            return begin;
        }
        if self.is_expired(now, key) {
            return Begin::Expired;
        }
        if self.keys.len() >= self.settings.capacity {
            return Begin::Full;
        }
        let state = State {
            digest,
            nonce,
            leader: ticket,
            joined: SmallVec::new(),
            stage: Stage::Waiting,
            unused: SmallVec::new(),
            expires: Time(0),
        };
        self.keys.insert(name, state);
        Begin::New
    }

    /// Records that a byte of `attempt` may have left for a target.
    ///
    /// From then on the end is never `not_run`, unless the target attests it.
    pub fn sent(&mut self, workspace: &Workspace, key: &Key, attempt: &Attempt) {
        if let Some(state) = self.keys.get_mut(&(workspace.clone(), key.clone()))
            && !matches!(state.stage, Stage::Ended(_))
        {
            state.stage = Stage::Sent(attempt.clone());
        }
    }

    /// Records that the target attested that it did not run `attempt`.
    pub fn refused(&mut self, workspace: &Workspace, key: &Key, attempt: &Attempt) {
        if let Some(state) = self.keys.get_mut(&(workspace.clone(), key.clone()))
            && state.stage == Stage::Sent(attempt.clone())
        {
            state.stage = Stage::Waiting;
        }
    }

    /// Records the end of `key` and returns who else waits for it.
    ///
    /// The first end stands, except that a later one replaces `unknown`.
    /// Returns `None` for a key that was not begun.
    pub fn end(
        &mut self,
        now: Time,
        workspace: &Workspace,
        key: &Key,
        settled: Settled,
    ) -> Option<Ending> {
        let state = self.keys.get_mut(&(workspace.clone(), key.clone()))?;
        if let Stage::Ended(old) = &state.stage {
            if old.end.outcome != Outcome::Unknown || settled.end.outcome == Outcome::NotRun {
                return Some(Ending {
                    settled: old.clone(),
                    joined: SmallVec::new(),
                });
            }
            self.expiry
                .remove(&(state.expires, workspace.clone(), key.clone()));
        }
        let settled = truthful(&state.stage, trim(settled, self.settings.answer_bytes));
        state.stage = Stage::Ended(settled.clone());
        state.expires = now + self.settings.retention;
        let joined = std::mem::take(&mut state.joined);
        self.expiry
            .insert((state.expires, workspace.clone(), key.clone()));
        Some(Ending { settled, joined })
    }

    /// Returns what is known of `key`.
    #[must_use]
    pub fn look(&self, workspace: &Workspace, key: &Key) -> Option<&State> {
        self.keys.get(&(workspace.clone(), key.clone()))
    }

    /// Returns whether this router made a claim of `key` with `nonce` that it
    /// gave up before anything was sent, so that the claim can be settled as
    /// not run.
    #[must_use]
    pub fn is_unused(&self, workspace: &Workspace, key: &Key, nonce: u64) -> bool {
        self.look(workspace, key).is_some_and(|state| {
            state.unused.contains(&nonce) || state.nonce == nonce && is_not_run(&state.stage)
        })
    }

    /// Forgets the keys whose retention is over.
    pub fn expire(&mut self, now: Time) {
        while let Some((time, ..)) = self.expiry.first()
            && *time <= now
        {
            if let Some((_, workspace, key)) = self.expiry.pop_first() {
                self.keys.swap_remove(&(workspace, key));
            }
        }
    }

    fn is_expired(&self, now: Time, key: &Key) -> bool {
        match bound::binding(key) {
            Binding::Bound { made, .. } => made + self.settings.key_life < now,
            Binding::Durable | Binding::Malformed => false,
        }
    }
}

/// Decides about a further request with a known key.
fn rejoin(state: &mut State, digest: u128, ticket: Ticket, nonce: u64) -> Begin {
    if state.digest != digest {
        return Begin::Mismatch;
    }
    if is_not_run(&state.stage) {
        state.unused.push(state.nonce);
        state.nonce = nonce;
        state.leader = ticket;
        state.stage = Stage::Waiting;
        return Begin::New;
    }
    match &state.stage {
        Stage::Ended(settled) => Begin::Ended(settled.clone()),
        Stage::Waiting | Stage::Sent(_) => {
            state.joined.push(ticket);
            Begin::Join {
                leader: state.leader,
            }
        }
    }
}

fn is_not_run(stage: &Stage) -> bool {
    matches!(stage, Stage::Ended(settled) if settled.end.outcome == Outcome::NotRun)
}

/// Replaces `not_run` after a send by `unknown`.
fn truthful(stage: &Stage, settled: Settled) -> Settled {
    match stage {
        Stage::Sent(attempt) if settled.end.outcome == Outcome::NotRun => Settled {
            end: End::new(Outcome::Unknown, "the request may have reached its target")
                .with_attempt(attempt),
            answer: None,
        },
        _ => settled,
    }
}

/// Drops an answer that is too long to keep.
fn trim(mut settled: Settled, limit: usize) -> Settled {
    let bytes = |texts: &Vec<String>| texts.iter().map(String::len).sum::<usize>();
    if settled.answer.as_ref().is_some_and(|t| bytes(t) > limit) {
        settled.answer = None;
    }
    settled
}
