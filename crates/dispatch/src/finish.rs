//! The end of an attempt: outcome, retry, release of the slot.

use balsamchute_base::prelude::*;
use balsamchute_claim::retry::Failure;
use balsamchute_wire::record::{Code, End, Outcome};

use crate::core::Core;
use crate::event::{Action, Command, Ending, Finish, Ticket};
use crate::request::{Slot, Stage};

/// When a caller may retry a request whose target was lost.
const LOST_RETRY: Span = Span(200);

impl Core {
    pub(crate) fn progress(&mut self, ticket: Ticket, cost: Cost) {
        let Some(entry) = self.requests.get(&ticket) else {
            return;
        };
        if let Some(state) = self.services.get_mut(&entry.head.service) {
            state.queue.progress(ticket, cost);
        }
    }

    pub(crate) fn finish(&mut self, now: Time, finish: Finish, actions: &mut Vec<Action>) {
        let ticket = finish.ticket;
        let Some(entry) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Stage::Running(slot) = std::mem::replace(&mut entry.stage, Stage::Waiting) else {
            return;
        };
        let service = entry.head.service.clone();
        let failed = matches!(finish.ending, Ending::NotSent(_) | Ending::Lost(_));
        let unsent = matches!(finish.ending, Ending::NotSent(_) | Ending::Refused(_));
        if let (true, Some(key), Some(attempt)) = (unsent, &entry.head.key, &entry.attempt) {
            self.ledger.refused(&entry.head.workspace, key, attempt);
        }
        if let Some(state) = self.services.get_mut(&service) {
            if unsent {
                state.queue.cancel(ticket);
            } else {
                state.queue.complete(ticket, finish.cost);
            }
        }
        if failed {
            self.silent.insert(slot.runner.clone(), now);
            self.own_runner(now, &slot.runner);
        }
        self.observe_ending(now, ticket, &finish.ending);
        let again = self.again(now, &finish, &slot);
        let end = match again {
            Some(_) => None,
            None => self.judge(now, &finish),
        };
        match end {
            Some(end) => {
                self.note(now, ticket, &format!("ended as {:?}", end.outcome));
                let end = self.settle(now, ticket, end, finish.answer, actions);
                self.remove(ticket);
                actions.push(Action::Tell(ticket, Command::End(end)));
                self.reuse(now, &service, slot, finish.cost, failed, actions);
            }
            None => {
                self.note(
                    now,
                    ticket,
                    &format!("attempt ended: {:?}; tried again", finish.ending),
                );
                self.reuse(now, &service, slot, finish.cost, failed, actions);
                match again {
                    Some(at) if at > now => self.pause(at, ticket),
                    _ => self.enqueue(now, ticket, actions),
                }
            }
        }
    }

    /// Returns when the request is tried again, `None` if it has ended.
    fn again(&mut self, now: Time, finish: &Finish, slot: &Slot) -> Option<Time> {
        let failure = match finish.ending {
            Ending::NotSent(_) | Ending::Refused(_) => Failure::NotRun,
            // What the caller has seen cannot be taken back.
            Ending::Lost(_) if finish.tokens == 0 => Failure::MayHaveRun,
            _ => return None,
        };
        let entry = self.requests.get_mut(&finish.ticket)?;
        entry.began |= failure == Failure::MayHaveRun;
        let fingerprint = entry.fingerprint;
        if self.closing || self.quarantined(now, fingerprint).is_some() {
            return None;
        }
        self.retry_at(now, finish.ticket, failure, slot)
    }

    /// Returns how the request ends.
    fn judge(&self, now: Time, finish: &Finish) -> Option<End> {
        let entry = &self.requests[&finish.ticket];
        let attempt = entry.attempt.as_ref()?;
        let end = match &finish.ending {
            Ending::Done => End::new(Outcome::Done, ""),
            Ending::Answered(reason) => End::new(Outcome::Failed, reason),
            Ending::NotSent(reason) | Ending::Refused(reason) => {
                End::new(Outcome::NotRun, reason).with_retry_after(LOST_RETRY)
            }
            Ending::Lost(reason) if entry.once() => End::new(Outcome::Unknown, reason),
            Ending::Lost(reason) => match self.quarantined(now, entry.fingerprint) {
                Some(end) => End {
                    outcome: Outcome::Failed,
                    ..end
                },
                None => End::new(Outcome::Failed, reason).with_retry_after(LOST_RETRY),
            },
            Ending::Cancelled if entry.late => {
                End::new(Outcome::Failed, "deadline passed while the request ran")
                    .with_code(Code::Deadline)
            }
            Ending::Cancelled if entry.once() => End::new(Outcome::Unknown, "the caller went away"),
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
