//! Prompt parts that crash runners.
//!
//! A part may crash each runner that begins to answer a prompt with it, whatever else
//! the prompt contains. When a runner crashes, all parts of the requests that it had not
//! begun to answer become suspected, except for the last ones, which no other request
//! shares. An answer that begins clears the parts of its prompt. A part that stays
//! suspected in several crashes is refused.

use balsamchute_base::digest::Hasher;
use balsamchute_base::rank;
use balsamchute_claim::suspect::{Registry, Settings};
use balsamchute_model::prelude::*;
use balsamchute_wire::exchange::Suspect;
use smallvec::SmallVec;

/// Number of crashes from which a part is refused.
const REFUSAL_CRASHES: usize = 3;

/// Number of crashes from which a refused part is not tried again.
const FINAL_CRASHES: usize = 4;

/// Shortest time after the last crash from which a refused part is tried again: a part
/// of sound prompts may have been under way in several crashes by chance.
const TRIAL_INTERVAL: Span = Span::from_secs(5);

/// Time between the first trials of two routers, so that the second one learns how the
/// first one ended.
const TRIAL_STAGGER: Span = Span::from_secs(1);

/// Digests of the parts of one prompt that other prompts may share.
pub(crate) type Keys = SmallVec<[u128; 4]>;

/// Restriction on the dispatch of a request that may crash its runner, the mildest
/// first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Verdict {
    /// The request may be dispatched to any runner.
    Sound,
    /// The request may be dispatched only to a runner that runs no other suspect.
    Suspected,
    /// The same, and only while no other request with its parts waits for the first
    /// event of an answer.
    OnTrial,
    /// The request must not be dispatched.
    Refused,
}

/// Suspected and refused parts that one router knows.
#[derive(Clone, Debug)]
pub(crate) struct Parts {
    registry: Registry,
    /// Digest of the router's name, which decides when it tries a part.
    router_digest: u64,
    router_count: u32,
}

impl Parts {
    /// Creates an empty set for the router with this unique name.
    pub fn new(router: &str) -> Self {
        let settings = Settings {
            refusal_crashes: REFUSAL_CRASHES,
            ..Settings::default()
        };
        Parts {
            registry: Registry::new(settings),
            router_digest: rank::score("trial", router),
            router_count: 1,
        }
    }

    /// Sets the number of routers among which trials are spread.
    pub fn set_router_count(&mut self, router_count: u32) {
        self.router_count = router_count.max(1);
    }

    /// Returns the time after the last crash from which this router may try a part.
    fn trial_delay(&self, key: u128) -> Span {
        let turn = (self.router_digest ^ key as u64) % u64::from(self.router_count);
        TRIAL_INTERVAL + Span(TRIAL_STAGGER.0 * turn)
    }

    /// Returns whether no part was suspected within the time for which records are kept.
    pub fn is_empty(&self) -> bool {
        self.registry.is_empty()
    }

    /// Returns the strictest verdict on parts of a prompt.
    pub fn verdict(&self, now: Time, keys: &[u128]) -> Verdict {
        let verdicts = keys.iter().map(|&key| self.verdict_on(now, key));
        verdicts.max().unwrap_or(Verdict::Sound)
    }

    fn verdict_on(&self, now: Time, key: u128) -> Verdict {
        match self.registry.crashes(now, key) {
            (0, _) => Verdict::Sound,
            (1..REFUSAL_CRASHES, _) => Verdict::Suspected,
            (REFUSAL_CRASHES..FINAL_CRASHES, age) if age >= self.trial_delay(key) => {
                Verdict::OnTrial
            }
            _ => Verdict::Refused,
        }
    }

    /// Records that the runner process `crash` ended before it began to answer a prompt
    /// with this part. Returns the number of such processes if it changed.
    pub fn record_crash(&mut self, now: Time, key: u128, crash: &Attempt) -> Option<usize> {
        let before = self.registry.crashes(now, key).0;
        self.registry.record_crash(now, key, crash);
        let crashes = self.registry.crashes(now, key).0;
        (crashes != before).then_some(crashes)
    }

    /// Clears a part, as an answer to a prompt with it has begun. Returns whether it was
    /// suspected.
    pub fn clear(&mut self, now: Time, key: u128) -> bool {
        self.registry.release(now, key)
    }

    /// Merges the record of another router. Returns the number of crashes of the part if
    /// it changed.
    pub fn merge(&mut self, now: Time, remote: &Suspect) -> Option<usize> {
        let before = self.registry.crashes(now, remote.fingerprint).0;
        self.registry.merge(now, remote);
        let crashes = self.registry.crashes(now, remote.fingerprint).0;
        (crashes != before).then_some(crashes)
    }

    /// Returns the records of the refused parts.
    pub fn refusals(&self, now: Time) -> Vec<Suspect> {
        self.registry.refusals(now)
    }

    /// Drops records that are out of date.
    pub fn expire(&mut self, now: Time) {
        self.registry.expire(now);
    }

    /// Returns at most `limit` records for other routers, refused parts first.
    pub fn suspects(&self, limit: usize) -> Vec<Suspect> {
        self.registry.suspects(limit)
    }
}

/// Returns the digests of the shareable parts of a prompt. The digest of a part does not
/// depend on the parts before it.
pub(crate) fn keys(service: &Service, prompt: Option<&Prompt>) -> Keys {
    let parts = prompt.map_or(&[][..], Prompt::shareable_parts);
    let keys = parts.iter().map(|part| {
        let mut hasher = Hasher::new();
        hasher.update(service.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(&part.id.to_le_bytes());
        hasher.digest().0
    });
    keys.collect()
}
