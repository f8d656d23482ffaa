//! Requests that crash their targets, and retries of failed attempts.

use balsamchute_base::digest::Hasher;
use balsamchute_base::prelude::*;
use balsamchute_claim::retry::{Candidate, Decision, Failure};
use balsamchute_claim::suspect::Admission;
use balsamchute_wire::exchange::Suspect;
use balsamchute_wire::record::{Code, End, Outcome};
use rand::RngExt;

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Ending, RequestNumber};
use crate::limits::CountedAs;
use crate::request::{Slot, Stage};

/// Delay before a request that does not fit a slot is queued again.
const UNFIT_SLOT_RETRY: Span = Span(20);

/// Time for which a failed request avoids the failure domain of the attempt.
const DOMAIN_AVOIDANCE: Span = Span(300);

/// Whether a request may run on a slot.
pub(crate) enum Fit {
    /// The request may run on the slot.
    Runs,
    /// The request does not fit this slot; try again after the given delay.
    Later(Span),
    /// The request may not run at all.
    Never(End),
}

/// Returns the fingerprint of a request: a digest of its workspace and of
/// `digest`, which covers service and body. The request's key and id are not
/// part of it.
pub(crate) fn fingerprint(workspace: &Workspace, digest: u128) -> u128 {
    let mut hasher = Hasher::new();
    hasher.update(workspace.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(&digest.to_le_bytes());
    hasher.digest().0
}

impl Dispatcher {
    /// Returns the refusal of a request that is quarantined because it crashed
    /// its targets, `None` if it is not.
    pub(crate) fn quarantined(&self, now: Time, fingerprint: u128) -> Option<End> {
        let Admission::Refused { retry_after } = self.suspects.admit(now, fingerprint) else {
            return None;
        };
        let text = format!(
            "requests with fingerprint {fingerprint:032x} crashed their targets; \
             an operator can release it"
        );
        let end = End::new(Outcome::NotRun, &text);
        Some(
            end.with_code(Code::Quarantine)
                .with_retry_after(retry_after),
        )
    }

    /// Decides whether a request that was taken from its queue runs on `slot`.
    pub(crate) fn check_fit(&self, now: Time, request_number: RequestNumber, slot: &Slot) -> Fit {
        let entry = &self.requests[&request_number];
        match self.suspects.admit(now, entry.fingerprint) {
            Admission::Unrestricted => {}
            Admission::Isolated if self.would_share_runner(now, entry.fingerprint, slot) => {
                return Fit::Later(UNFIT_SLOT_RETRY);
            }
            Admission::Isolated => {}
            Admission::Refused { .. } => {
                if let Some(end) = self.quarantined(now, entry.fingerprint) {
                    return Fit::Never(end);
                }
            }
        }
        let domain = self
            .config
            .runners
            .get(&slot.runner)
            .map(|runner| &runner.domain);
        let avoids_domain = entry
            .avoided_domain
            .as_ref()
            .is_some_and(|(avoided, until)| {
                now < *until
                    && domain == Some(avoided)
                    && self.has_runner_outside_domain(&slot.runner, avoided)
            });
        if avoids_domain {
            return Fit::Later(UNFIT_SLOT_RETRY);
        }
        Fit::Runs
    }

    /// Returns whether another suspected request runs on the slot's runner, or
    /// a request of this fingerprint runs on any slot.
    fn would_share_runner(&self, now: Time, fingerprint: u128, slot: &Slot) -> bool {
        self.requests.values().any(|other| {
            let Stage::Running(other_slot) = &other.stage else {
                return false;
            };
            other.fingerprint == fingerprint
                || other_slot.runner == slot.runner
                    && self.suspects.admit(now, other.fingerprint) != Admission::Unrestricted
        })
    }

    /// Returns whether the service of `runner` has a runner outside the failure
    /// domain `avoided`.
    fn has_runner_outside_domain(&self, runner: &Runner, avoided: &Domain) -> bool {
        let Some(service) = self
            .config
            .runners
            .get(runner)
            .map(|runner| &runner.service)
        else {
            return false;
        };
        let mut runners = self.config.runners.values();
        runners.any(|other| other.service == *service && other.domain != *avoided)
    }

    /// Records a lost attempt as a crash of its fingerprint, and an answered one
    /// as a completion.
    pub(crate) fn observe_ending(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        ending: &Ending,
    ) {
        let Some(entry) = self.requests.get(&request_number) else {
            return;
        };
        match (ending, &entry.last_attempt) {
            (Ending::Lost(_), Some(attempt)) => {
                self.suspects.record_crash(now, entry.fingerprint, attempt);
                // Sent to other routers at once.
                self.next_heartbeat = now;
            }
            (Ending::Done | Ending::Answered(_), _) => {
                self.suspects.record_completion(now, entry.fingerprint);
            }
            _ => {}
        }
    }

    /// Decides whether a failed attempt is retried, which spends retry budget.
    /// Returns the time of the retry, `None` for none. Also makes the request
    /// avoid the failure domain of the attempt for [`DOMAIN_AVOIDANCE`].
    pub(crate) fn decide_retry(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        failure: Failure,
        slot: &Slot,
    ) -> Option<Time> {
        let jitter = self.rng.random();
        let entry = self.requests.get_mut(&request_number)?;
        let domain = self
            .config
            .runners
            .get(&slot.runner)
            .map(|runner| &runner.domain);
        entry.avoided_domain = domain.map(|domain| (domain.clone(), now + DOMAIN_AVOIDANCE));
        let candidate = Candidate {
            idempotent: !entry.is_non_idempotent(),
            attempts: entry.attempts,
            deadline: entry.deadline,
            failure,
        };
        match self.retry_budget.decide(now, &candidate, jitter) {
            Decision::Retry(retry_at) => Some(retry_at),
            Decision::Unsafe | Decision::LimitReached | Decision::BudgetExhausted => None,
        }
    }

    /// Keeps a request out of its queue until the given time.
    pub(crate) fn pause(&mut self, until: Time, request_number: RequestNumber) {
        self.set_counted_as(request_number, CountedAs::Waiting);
        if let Some(entry) = self.requests.get_mut(&request_number) {
            entry.stage = Stage::Paused;
            self.paused.insert((until, request_number));
        }
    }

    /// Queues the requests whose pause is over.
    pub(crate) fn resume_paused(&mut self, now: Time, actions: &mut Vec<Action>) {
        // Everything due at `now` or before, whatever its request number.
        let later = self.paused.split_off(&(now + Span(1), 0));
        let due = std::mem::replace(&mut self.paused, later);
        for (_, request_number) in due {
            let entry = self.requests.get(&request_number);
            if entry.is_some_and(|entry| entry.stage == Stage::Paused) {
                self.enqueue(now, request_number, actions);
            }
        }
    }

    /// Merges the suspected fingerprints of another router.
    pub(crate) fn merge_suspects(&mut self, now: Time, suspects: &[Suspect]) {
        for suspect in suspects {
            if self.suspects.merge(now, suspect) {
                self.next_heartbeat = now;
            }
        }
    }

    /// Returns the fingerprints that have crashed targets.
    #[must_use]
    pub fn crash_suspects(&self, now: Time) -> Vec<crate::view::Suspect> {
        let suspects = self.suspects.suspects(usize::MAX);
        let suspected = suspects
            .into_iter()
            .filter(|suspect| !suspect.crashes.is_empty());
        suspected
            .map(|suspect| crate::view::Suspect {
                fingerprint: format!("{:032x}", suspect.fingerprint),
                refused: self.quarantined(now, suspect.fingerprint).is_some(),
                crashes: suspect.crashes,
                releases: suspect.releases,
            })
            .collect()
    }

    /// Releases a fingerprint, so that its requests run again. Returns whether
    /// it had any recorded crashes.
    pub fn release_fingerprint(&mut self, now: Time, fingerprint: u128) -> bool {
        self.next_heartbeat = now;
        self.suspects.release(now, fingerprint)
    }
}
