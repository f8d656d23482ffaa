//! Handling of attempts that end, stall or time out.

use balsamchute_claim::suspect::Admission;
use balsamchute_model::prelude::*;

use crate::action::{Action, End, Failure, Id, Rationale, Refusal};
use crate::parts::{Keys, Verdict};
use crate::pending::{Dispatch, Pending, Stage};
use crate::place::Priority;
use crate::runner::{Disconnect, Start};
use crate::scheduler::Scheduler;

/// Divisor of the latency target that yields the wait of requests beyond their
/// workspace's share for an idle runner. A caller that is refused this early
/// can still retry in time.
const SURPLUS_WAIT_DIVISOR: u64 = 4;

/// Wait of requests within their workspace's share, in percent of the latency
/// target: an answer after the target still has some value to the caller.
const WITHIN_SHARE_WAIT_PERCENT: u64 = 120;

/// Divisor of the time left to the caller that yields the longest wait. It leaves the caller
/// as much time for a retry as the wait took. A refusal at the deadline would reach nobody.
const TIME_LEFT_WAIT_DIVISOR: u64 = 2;

/// Retry delay given to callers of a service without runners.
const RETRY_AFTER_NO_RUNNER: Span = Span(1000);

/// Retry delay given to callers if all runners are at capacity or rejected the
/// request.
const RETRY_AFTER_SATURATED: Span = Span(700);

/// Retry delay given to callers whose workspace has used its share: runners may
/// be idle by then, and the request can still be on time.
const RETRY_AFTER_OVER_SHARE: Span = Span(400);

/// Retry delay given to callers whose request crashes runners.
const RETRY_AFTER_CRASHES: Span = Span::from_secs(30);

/// Retry delay given to callers that take up a stream of which no report has told yet.
const RETRY_AFTER_UNKNOWN_VERSION: Span = Span(300);

/// Lower bound of the time between two events after which an attempt counts as
/// stalled. For the first event of a stream it is added to the limit instead;
/// for the head of a plain answer, half of it is the lower bound.
const MIN_STALL: Span = Span(600);

impl Scheduler {
    /// Updates the health and the slowdown of the runner, and records crashes of
    /// the requests that may have caused them.
    pub(super) fn record_outcome(&mut self, now: Time, id: Id, dispatch: &Dispatch, end: End) {
        let pending = &self.pending[&id];
        let fingerprint = pending.request.fingerprint;
        let part_keys = match dispatch.events {
            0 => pending.part_keys.clone(),
            _ => Keys::new(),
        };
        self.record_cold_end(now, &dispatch.runner, end);
        let Some(target) = self.targets.get_mut(&dispatch.runner) else {
            return;
        };
        match end {
            End::Done => target.record_success(),
            End::RunnerFailed | End::Invalid => {
                target.record_failure(now);
            }
            // Counts as prefill at 1.5 times the current slowdown, so that the
            // runner is chosen less often.
            End::Rejected => target.observe_slowdown(target.slowdown() * 1.5),
            End::Misdirected => target.eject(now),
            End::NotSent => {}
            End::NoConnection { refused } => {
                target.eject(now);
                if refused {
                    self.breaks += 1;
                    let disconnects = target.record_refusal(now, self.breaks);
                    self.record_crash(now, &disconnects);
                }
            }
            End::Broke => {
                target.record_failure(now);
                self.breaks += 1;
                let start = Start::AfterBreaks(dispatch.breaks);
                target.record_break(now, self.breaks, start);
                let process = target.process(dispatch.breaks);
                if let (true, Some(process)) = (dispatch.written, process) {
                    target.record_disconnect(Disconnect {
                        broken_at: now,
                        fingerprint,
                        part_keys,
                        process,
                    });
                }
            }
        }
    }

    /// Records the crash of a runner in which these attempts broke.
    pub(super) fn record_crash(&mut self, now: Time, disconnects: &[Disconnect]) {
        for disconnect in disconnects {
            self.crash_suspects
                .record_crash(now, disconnect.fingerprint, &disconnect.process);
            for &part in &disconnect.part_keys {
                if let Some(crashes) = self.parts.record_crash(now, part, &disconnect.process) {
                    self.actions.push(Action::Blame { part, crashes });
                }
            }
        }
        let refuses_any = disconnects.iter().any(|disconnect| {
            let verdict = self.verdict_on(now, disconnect.fingerprint, &disconnect.part_keys);
            verdict > Verdict::Suspected
        });
        if refuses_any {
            self.actions.push(Action::StoreRefusals);
        }
    }

    /// Returns how the request may be dispatched, by its fingerprint and its prompt
    /// parts.
    pub(super) fn verdict(&self, now: Time, pending: &Pending) -> Verdict {
        self.verdict_on(now, pending.request.fingerprint, &pending.part_keys)
    }

    fn verdict_on(&self, now: Time, fingerprint: u128, part_keys: &[u128]) -> Verdict {
        let by_fingerprint = match self.crash_suspects.admit(now, fingerprint) {
            Admission::Unrestricted => Verdict::Sound,
            Admission::Isolated => Verdict::Suspected,
            Admission::Refused { .. } => Verdict::Refused,
        };
        by_fingerprint.max(self.parts.verdict(now, part_keys))
    }

    /// Returns whether the request must not be dispatched, now or later: it crashes
    /// runners, or another request tries its parts already.
    pub(super) fn is_refused(&self, now: Time, pending: &Pending) -> bool {
        match self.verdict(now, pending) {
            Verdict::Refused => true,
            Verdict::OnTrial => self.pending.values().any(|other| {
                other.unanswered().is_some()
                    && pending.part_keys.iter().any(|&key| {
                        other.part_keys.contains(&key)
                            && self.parts.verdict(now, &[key]) == Verdict::OnTrial
                    })
            }),
            Verdict::Suspected | Verdict::Sound => false,
        }
    }

    /// Refuses a waiting request that crashes runners, or fails it if it may have run.
    pub(super) fn reject_suspect(&mut self, id: Id) {
        match self.pending[&id].possible_runs {
            0 => self.refuse(id, Refusal::CrashesRunners),
            _ => self.actions.push(Action::Fail {
                id,
                failure: Failure::RunnerBroke,
            }),
        }
        self.remove_request(id);
    }

    pub(super) fn complete(&mut self, now: Time, id: Id, dispatch: &Dispatch) {
        let pending = &self.pending[&id];
        self.crash_suspects
            .record_completion(now, pending.request.fingerprint);
        if let (Some(prompt), Some(workspace)) =
            (&pending.request.prompt, &pending.request.workspace)
        {
            let service = pending.request.service.clone();
            let tokens_per_event = self
                .engines
                .get(&service)
                .map_or(1, |engine| engine.tokens_per_event);
            let generated_tokens = dispatch.events as f64 * f64::from(tokens_per_event);
            // As in `Request::cost`, a generated token costs two.
            let cost_correction =
                2.0 * (generated_tokens - f64::from(prompt.expected_output_tokens()));
            let workspace = workspace.clone();
            self.shares_mut(&service)
                .record_served(&workspace, cost_correction);
        }
        self.remove_request(id);
    }

    /// Queues the request again if that is permitted; refuses or fails it
    /// otherwise.
    pub(super) fn retry_or_fail(&mut self, now: Time, id: Id, failure: Failure) {
        if self.try_requeue(now, id) {
            return;
        }
        match self.pending[&id].possible_runs {
            0 => self.refuse(id, Refusal::Rejected),
            _ => self.actions.push(Action::Fail { id, failure }),
        }
        self.remove_request(id);
    }

    /// Queues a request again that was not sent; refuses or fails it if it may go to no other
    /// runner.
    pub(super) fn requeue_unsent(&mut self, now: Time, id: Id) {
        if self.may_requeue(now, id) {
            self.requeue(now, id);
            return;
        }
        let pending = &self.pending[&id];
        let refusal = match pending.software {
            Some(_) => Refusal::NoRunnerOfVersion,
            None => Refusal::UnknownProcess,
        };
        match pending.possible_runs {
            0 => self.refuse(id, refusal),
            _ => self.actions.push(Action::Fail {
                id,
                failure: Failure::RunnerBroke,
            }),
        }
        self.remove_request(id);
    }

    /// Queues the request again, in front of its flow, if its limits and the
    /// retry budget permit; returns whether it did.
    pub(super) fn try_requeue(&mut self, now: Time, id: Id) -> bool {
        if !self.may_requeue(now, id) {
            return false;
        }
        let pending = &self.pending[&id];
        let service = &pending.request.service;
        if pending.uses_retry_budget() && !self.budget.try_retry(now, service, self.router_count) {
            return false;
        }
        self.requeue(now, id);
        true
    }

    fn may_requeue(&self, now: Time, id: Id) -> bool {
        let pending = &self.pending[&id];
        !self.is_refused(now, pending)
            && pending.may_retry(now)
            && self.has_runner_of_version(now, pending)
    }

    fn requeue(&mut self, now: Time, id: Id) {
        let pending = &mut self.pending[&id];
        pending.stage = Stage::Waiting;
        pending.waiting_since = now;
        let queue = self
            .queues
            .entry(pending.request.service.clone())
            .or_default();
        queue.push_front(&pending.request, id);
    }

    /// Ends a wait or an attempt that has timed out, or moves a stalled
    /// attempt.
    pub(super) fn check_timeouts(&mut self, now: Time, id: Id) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        match &pending.stage {
            Stage::Waiting => self.check_queue_wait(now, id),
            Stage::Dispatched(_) if now >= pending.request.deadline => {
                self.actions.push(Action::Fail {
                    id,
                    failure: Failure::Timeout,
                });
                self.cancel(now, id);
            }
            Stage::Dispatched(dispatch) if is_stalled(now, pending, dispatch) => {
                let dispatch = dispatch.clone();
                self.abandon_attempt(now, id, &dispatch);
            }
            Stage::Dispatched(_) => {}
        }
    }

    fn check_queue_wait(&mut self, now: Time, id: Id) {
        let pending = &self.pending[&id];
        let request = &pending.request;
        let priority = self.priority(pending);
        let wait_end = pending.waiting_since + max_wait(pending, priority);
        // An answer that has begun can only be continued or cut off, so such a
        // request waits until its deadline.
        let is_wait_over = now >= wait_end && !pending.answer_begun;
        if !self.has_runner_of_version(now, pending) {
            self.end_wait(id, Refusal::NoRunnerOfVersion);
            self.cancel(now, id);
            return;
        }
        if self.is_evacuated(&request.service) {
            self.end_wait(id, Refusal::NoRunner);
            self.cancel(now, id);
            return;
        }
        if self.refuse_doubtful(now, id, wait_end) {
            return;
        }
        let pending = &self.pending[&id];
        let request = &pending.request;
        let opening = self.next_opening(now, &request.service);
        if let (Opening::At(opens_at), 0) = (opening, pending.possible_runs)
            && opens_at >= wait_end
        {
            self.refuse_for(id, Refusal::Paused, opens_at.since(now));
            self.cancel(now, id);
            return;
        }
        if !is_wait_over && now < request.deadline {
            return;
        }
        let refusal = match (opening, priority) {
            (Opening::Unknown, _) => Refusal::NoRunner,
            (_, Priority::WithinShare) => Refusal::Saturated,
            (_, Priority::Behind | Priority::Surplus | Priority::Ahead) => Refusal::OverShare,
        };
        self.end_wait(id, refusal);
        self.cancel(now, id);
    }

    /// Refuses a waiting request, or fails it if it may have run.
    fn end_wait(&mut self, id: Id, refusal: Refusal) {
        match self.pending[&id].possible_runs {
            0 => self.refuse(id, refusal),
            _ => self.actions.push(Action::Fail {
                id,
                failure: Failure::Timeout,
            }),
        }
    }

    /// Returns whether a runner may take the request: one that accepts requests and has the
    /// software version that began the stream. Always `true` for a request that is not
    /// bound to a version.
    pub(super) fn has_runner_of_version(&self, now: Time, pending: &Pending) -> bool {
        let is_current = self.has_current_list(now);
        pending.software.is_none()
            || self.targets.values().any(|target| {
                target.entry.service == pending.request.service
                    && pending.may_continue_at(target, is_current)
                    && self.is_available(target)
                    && (pending.possible_runs == 0 || !pending.tried.contains(&target.entry.runner))
            })
    }

    /// Returns whether the service has runners that accept requests, and all of them name a
    /// limit on their rate or are cold and have no token of this router.
    pub(super) fn is_limited(&self, now: Time, service: &Service) -> bool {
        let open = self
            .targets
            .values()
            .filter(|target| target.entry.service == *service && self.is_available(target));
        let mut limited = open.map(|target| {
            self.rates.is_limited(&target.entry)
                || self.rates.is_cold_without_token(now, &target.entry.runner)
        });
        limited.next() == Some(true) && limited.all(|is_limited| is_limited)
    }

    /// Returns when a runner of the service next accepts requests of this router, by
    /// the runners' entries and by what they said in answers.
    fn next_opening(&self, now: Time, service: &Service) -> Opening {
        let mut opening = Opening::Unknown;
        for target in self.targets.values() {
            if target.entry.service != *service || !self.is_available(target) {
                continue;
            }
            opening = match (self.notices.paused_until(now, &target.entry), opening) {
                (None, _) => return Opening::Now,
                (Some(until), Opening::At(earliest)) => Opening::At(earliest.min(until)),
                (Some(until), _) => Opening::At(until),
            };
        }
        opening
    }

    /// Moves a request from a stalled runner to another one, if a retry is
    /// permitted.
    fn abandon_attempt(&mut self, now: Time, id: Id, dispatch: &Dispatch) {
        self.pending[&id].possible_runs += 1;
        if !self.try_requeue(now, id) {
            // The attempt continues, as the runner may still answer.
            self.pending[&id].possible_runs -= 1;
            return;
        }
        self.release_load(dispatch);
        if let Some(target) = self.targets.get_mut(&dispatch.runner) {
            target.record_failure(now);
        }
        self.actions.push(Action::Abandon { id });
        let service = self.pending[&id].request.service.clone();
        self.dispatch_service(now, &service);
    }

    pub(super) fn refuse(&mut self, id: Id, refusal: Refusal) {
        let retry_after = match refusal {
            Refusal::NoRunner => RETRY_AFTER_NO_RUNNER,
            Refusal::Saturated | Refusal::Rejected | Refusal::UnknownProcess => {
                RETRY_AFTER_SATURATED
            }
            Refusal::OverShare => RETRY_AFTER_OVER_SHARE,
            Refusal::CrashesRunners => RETRY_AFTER_CRASHES,
            Refusal::NoRunnerOfVersion => RETRY_AFTER_NO_RUNNER,
            Refusal::UnknownVersion => RETRY_AFTER_UNKNOWN_VERSION,
            Refusal::Paused => RETRY_AFTER_SATURATED,
        };
        self.refuse_for(id, refusal, retry_after);
    }

    pub(super) fn refuse_for(&mut self, id: Id, refusal: Refusal, retry_after: Span) {
        let rationale = self
            .pending
            .get(&id)
            .map_or_else(Rationale::default, |pending| {
                self.rationale(&pending.request.service, pending)
            });
        self.actions.push(Action::Refuse {
            id,
            refusal,
            retry_after,
            rationale,
        });
    }
}

/// Returns the time from the start of its wait that a request may wait for a runner.
pub(super) fn max_wait(pending: &Pending, priority: Priority) -> Span {
    let request = &pending.request;
    let by_target = match priority {
        Priority::WithinShare => request.latency_target.0 * WITHIN_SHARE_WAIT_PERCENT / 100,
        Priority::Behind | Priority::Surplus | Priority::Ahead => {
            request.latency_target.0 / SURPLUS_WAIT_DIVISOR
        }
    };
    let time_left = request.deadline.since(pending.waiting_since);
    Span(by_target.min(time_left.0 / TIME_LEFT_WAIT_DIVISOR))
}

/// Time at which a service accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Opening {
    /// A runner accepts requests.
    Now,
    /// All runners want no request before this time.
    At(Time),
    /// There is no runner that will accept requests.
    Unknown,
}

/// Returns whether an attempt has made no progress for so long that another
/// runner would probably answer sooner. Before the first event of a stream, the
/// limit is the latency target or three estimates, whichever is longer, plus
/// [`MIN_STALL`]. Before the head of a plain answer it is two latency targets, and
/// after the first event three event gap targets, each with a lower bound. An
/// attempt of a request that must not run twice never counts as stalled, nor does one
/// whose answer is not read.
fn is_stalled(now: Time, pending: &Pending, dispatch: &Dispatch) -> bool {
    let request = &pending.request;
    if !request.retry_policy.allows_retry() || dispatch.is_read_paused {
        return false;
    }
    let silence = now.since(dispatch.last_event_at);
    let limit = match (dispatch.events, request.stream) {
        (0, true) => Span(request.latency_target.0.max(dispatch.estimate.0 * 3)) + MIN_STALL,
        (0, false) => Span((request.latency_target.0 * 2).max(MIN_STALL.0 / 2)),
        _ => Span((request.event_gap_target.0 * 3).max(MIN_STALL.0)),
    };
    silence > limit
}
