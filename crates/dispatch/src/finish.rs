//! End of an attempt: outcome, retry and release of the slot.

use balsamchute_base::prelude::*;
use balsamchute_claim::retry::Failure;
use balsamchute_wire::record::{Code, End, Outcome};

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Command, Ending, Finish, RequestNumber};
use crate::request::{Slot, Stage};

/// Retry-after delay of a request that did not run or whose target was lost.
const LOST_RETRY_AFTER: Span = Span(200);

impl Dispatcher {
    pub(crate) fn handle_progress(&mut self, request_number: RequestNumber, cost: Cost) {
        let Some(entry) = self.requests.get(&request_number) else {
            return;
        };
        if let Some(state) = self.services.get_mut(&entry.head.service) {
            state.queue.raise_charge(request_number, cost);
        }
    }

    pub(crate) fn handle_finish(&mut self, now: Time, finish: Finish, actions: &mut Vec<Action>) {
        let request_number = finish.request_number;
        let Some(entry) = self.requests.get_mut(&request_number) else {
            return;
        };
        let Stage::Running(slot) = std::mem::replace(&mut entry.stage, Stage::Waiting) else {
            return;
        };
        let service = entry.head.service.clone();
        let runner_failed = matches!(finish.ending, Ending::NotSent(_) | Ending::Lost(_));
        let not_run = matches!(finish.ending, Ending::NotSent(_) | Ending::Refused(_));
        if let (true, Some(key), Some(attempt)) = (not_run, &entry.head.key, &entry.last_attempt) {
            self.ledger
                .record_refusal(&entry.head.workspace, key, attempt);
        }
        if let Some(state) = self.services.get_mut(&service) {
            if not_run {
                state.queue.cancel(request_number);
            } else {
                state.queue.complete(request_number, finish.cost);
            }
        }
        if runner_failed {
            self.unresponsive_runners.insert(slot.runner.clone(), now);
            self.update_owned_runner(now, &slot.runner);
        }
        self.observe_ending(now, request_number, &finish.ending);
        let retry_at = self.retry_time(now, &finish, &slot);
        let end = match retry_at {
            Some(_) => None,
            None => self.final_end(now, &finish),
        };
        match end {
            Some(end) => {
                self.record_decision(now, request_number, &format!("ended as {:?}", end.outcome));
                let end = self.settle(now, request_number, end, finish.answer, actions);
                self.remove(request_number);
                actions.push(Action::Command(request_number, Command::End(end)));
                self.reuse_or_release(now, &service, slot, finish.cost, runner_failed, actions);
            }
            None => {
                self.record_decision(
                    now,
                    request_number,
                    &format!("attempt ended: {:?}; retrying", finish.ending),
                );
                self.reuse_or_release(now, &service, slot, finish.cost, runner_failed, actions);
                match retry_at {
                    Some(retry_at) if retry_at > now => self.pause(retry_at, request_number),
                    _ => self.enqueue(now, request_number, actions),
                }
            }
        }
    }

    /// Returns the time of the next attempt, `None` if the request has ended.
    fn retry_time(&mut self, now: Time, finish: &Finish, slot: &Slot) -> Option<Time> {
        let failure = match finish.ending {
            Ending::NotSent(_) | Ending::Refused(_) => Failure::NotRun,
            // Tokens that were sent to the caller cannot be retracted.
            Ending::Lost(_) if finish.tokens == 0 => Failure::MayHaveRun,
            _ => return None,
        };
        let entry = self.requests.get_mut(&finish.request_number)?;
        entry.may_have_run |= failure == Failure::MayHaveRun;
        let fingerprint = entry.fingerprint;
        if self.grace_expired || self.quarantined(now, fingerprint).is_some() {
            return None;
        }
        self.decide_retry(now, finish.request_number, failure, slot)
    }

    /// Returns the end of the request after its last attempt, `None` if no attempt
    /// was recorded.
    fn final_end(&self, now: Time, finish: &Finish) -> Option<End> {
        let entry = &self.requests[&finish.request_number];
        let attempt = entry.last_attempt.as_ref()?;
        let end = match &finish.ending {
            Ending::Done => End::new(Outcome::Done, ""),
            Ending::Answered(reason) => End::new(Outcome::Failed, reason),
            Ending::NotSent(reason) | Ending::Refused(reason) => {
                End::new(Outcome::NotRun, reason).with_retry_after(LOST_RETRY_AFTER)
            }
            Ending::Lost(reason) if entry.is_non_idempotent() => End::new(Outcome::Unknown, reason),
            Ending::Lost(reason) => match self.quarantined(now, entry.fingerprint) {
                Some(end) => End {
                    outcome: Outcome::Failed,
                    ..end
                },
                None => End::new(Outcome::Failed, reason).with_retry_after(LOST_RETRY_AFTER),
            },
            Ending::Cancelled if entry.deadline_cancelled => {
                End::new(Outcome::Failed, "deadline passed while the request ran")
                    .with_code(Code::Deadline)
            }
            Ending::Cancelled if entry.is_non_idempotent() => {
                End::new(Outcome::Unknown, "the caller went away")
            }
            Ending::Cancelled => End::new(Outcome::Failed, "the caller went away"),
        };
        let mut end = end.with_attempt(attempt);
        end.tokens = finish.tokens;
        end.digest.clone_from(&finish.digest);
        if end.outcome == Outcome::Done {
            end.reason = None;
        }
        Some(end)
    }
}
