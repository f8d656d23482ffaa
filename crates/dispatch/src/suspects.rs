//! Requests that crash their targets, and attempts that are made again.

use balsamchute_base::digest::Hasher;
use balsamchute_base::prelude::*;
use balsamchute_claim::retry::{Case, Decision, Failure};
use balsamchute_claim::suspect::Admission;
use balsamchute_wire::exchange::Suspect;
use balsamchute_wire::record::{Code, End, Outcome};
use rand::RngExt;

use crate::core::Core;
use crate::event::{Action, Ending, Ticket};
use crate::limits::Count;
use crate::request::{Slot, Stage};

/// How long a suspected request waits for a target without another one.
const ALONE_WAIT: Span = Span(20);

/// How long a request that failed waits for a target in another failure domain.
const ELSEWHERE_WAIT: Span = Span(300);

/// Whether a request may run on a slot.
pub(crate) enum Fit {
    /// It may.
    Runs,
    /// Not on this slot, perhaps on another one after a while.
    Later(Span),
    /// It may not run at all.
    Never(End),
}

/// Returns what tells a request from others whatever its key and id are.
pub(crate) fn fingerprint(workspace: &Workspace, digest: u128) -> u128 {
    let mut hasher = Hasher::new();
    hasher.update(workspace.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(&digest.to_le_bytes());
    hasher.digest().0
}

impl Core {
    /// Returns the refusal of a request that crashed targets before.
    pub(crate) fn quarantined(&self, now: Time, fingerprint: u128) -> Option<End> {
        let Admission::Refused { retry } = self.suspects.admit(now, fingerprint) else {
            return None;
        };
        let text = format!(
            "requests with fingerprint {fingerprint:032x} crashed their targets; \
             an operator can release it"
        );
        let end = End::new(Outcome::NotRun, &text);
        Some(end.with_code(Code::Quarantine).with_retry_after(retry))
    }

    /// Decides whether a request that was taken from its queue runs on `slot`.
    pub(crate) fn fit(&self, now: Time, ticket: Ticket, slot: &Slot) -> Fit {
        let entry = &self.requests[&ticket];
        match self.suspects.admit(now, entry.fingerprint) {
            Admission::Free => {}
            Admission::Alone if self.has_company(now, entry.fingerprint, slot) => {
                return Fit::Later(ALONE_WAIT);
            }
            Admission::Alone => {}
            Admission::Refused { .. } => {
                if let Some(end) = self.quarantined(now, entry.fingerprint) {
                    return Fit::Never(end);
                }
            }
        }
        let domain = self.config.runners.get(&slot.runner).map(|r| &r.domain);
        let avoided = entry.avoid.as_ref().is_some_and(|(avoid, until)| {
            now < *until && domain == Some(avoid) && self.has_other_domain(&slot.runner, avoid)
        });
        if avoided {
            return Fit::Later(ALONE_WAIT);
        }
        Fit::Runs
    }

    /// Returns whether a suspected request runs on the slot's runner, or one
    /// of this fingerprint anywhere.
    fn has_company(&self, now: Time, fingerprint: u128, slot: &Slot) -> bool {
        self.requests.values().any(|other| {
            let Stage::Running(used) = &other.stage else {
                return false;
            };
            other.fingerprint == fingerprint
                || used.runner == slot.runner
                    && self.suspects.admit(now, other.fingerprint) != Admission::Free
        })
    }

    fn has_other_domain(&self, runner: &Runner, avoid: &Domain) -> bool {
        let Some(service) = self.config.runners.get(runner).map(|r| &r.service) else {
            return false;
        };
        let mut runners = self.config.runners.values();
        runners.any(|other| other.service == *service && other.domain != *avoid)
    }

    /// Takes note of what an attempt's end says about its request.
    pub(crate) fn observe_ending(&mut self, now: Time, ticket: Ticket, ending: &Ending) {
        let Some(entry) = self.requests.get(&ticket) else {
            return;
        };
        match (ending, &entry.attempt) {
            (Ending::Lost(_), Some(attempt)) => {
                self.suspects.crash(now, entry.fingerprint, attempt);
                // Other routers learn of it at once.
                self.next_beat = now;
            }
            (Ending::Done | Ending::Answered(_), _) => {
                self.suspects.complete(now, entry.fingerprint);
            }
            _ => {}
        }
    }

    /// Returns when a failed attempt is made again, `None` if it is not.
    pub(crate) fn retry_at(
        &mut self,
        now: Time,
        ticket: Ticket,
        failure: Failure,
        slot: &Slot,
    ) -> Option<Time> {
        let random = self.random.random();
        let entry = self.requests.get_mut(&ticket)?;
        let domain = self.config.runners.get(&slot.runner).map(|r| &r.domain);
        entry.avoid = domain.map(|domain| (domain.clone(), now + ELSEWHERE_WAIT));
        let case = Case {
            idempotent: !entry.once(),
            attempts: entry.attempts,
            deadline: entry.deadline,
            failure,
        };
        match self.retries.decide(now, &case, random) {
            Decision::Retry(at) => Some(at),
            Decision::Unsafe | Decision::Spent | Decision::Budget => None,
        }
    }

    /// Keeps a request out of its queue until `until`.
    pub(crate) fn pause(&mut self, until: Time, ticket: Ticket) {
        self.recount(ticket, Count::Waiting);
        if let Some(entry) = self.requests.get_mut(&ticket) {
            entry.stage = Stage::Paused;
            self.paused.insert((until, ticket));
        }
    }

    /// Queues the requests whose pause is over.
    pub(crate) fn resume(&mut self, now: Time, actions: &mut Vec<Action>) {
        let later = self.paused.split_off(&(now + Span(1), 0));
        let due = std::mem::replace(&mut self.paused, later);
        for (_, ticket) in due {
            let entry = self.requests.get(&ticket);
            if entry.is_some_and(|entry| entry.stage == Stage::Paused) {
                self.enqueue(now, ticket, actions);
            }
        }
    }

    /// Takes in what another router knows of crashes.
    pub(crate) fn merge_suspects(&mut self, now: Time, suspects: &[Suspect]) {
        for suspect in suspects {
            if self.suspects.merge(now, suspect) {
                self.next_beat = now;
            }
        }
    }

    /// Returns what is known of requests that crashed their targets.
    #[must_use]
    pub fn quarantine(&self, now: Time) -> Vec<crate::view::Suspect> {
        let all = self.suspects.suspects(usize::MAX);
        let suspected = all.into_iter().filter(|one| !one.crashes.is_empty());
        suspected
            .map(|one| crate::view::Suspect {
                fingerprint: format!("{:032x}", one.fingerprint),
                refused: self.quarantined(now, one.fingerprint).is_some(),
                crashes: one.crashes,
                releases: one.releases,
            })
            .collect()
    }

    /// Lets requests of a fingerprint run again; returns whether it was known.
    pub fn release_suspect(&mut self, now: Time, fingerprint: u128) -> bool {
        self.next_beat = now;
        self.suspects.release(now, fingerprint)
    }
}
