//! Streams of runners that restart in place: the entry of the new process arrives after it
//! has begun to answer.

use balsamchute_model::prelude::*;

use crate::action::{Action, Failure, Id};
use crate::pending::{Pending, Stage};
use crate::process::{Naming, Process};
use crate::runner::{Start, Target};
use crate::scheduler::Scheduler;
use crate::stream::Basis;

impl Scheduler {
    /// Returns whether the list of runners is confirmed as far as this router has one.
    pub(super) fn has_current_list(&self, now: Time) -> bool {
        !self.streams.versions().is_outdated(now)
    }

    /// Returns whether the process should name its start on a new connection before the request
    /// is sent: the request is for a stream that another runner may continue.
    #[must_use]
    pub fn needs_process(&self, id: Id) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        let Stage::Dispatched(dispatch) = &pending.stage else {
            return false;
        };
        let naming = self.targets.get(&dispatch.runner).map(Target::naming);
        let is_asked = match naming.unwrap_or(Naming::Unknown) {
            Naming::Unknown | Naming::Named => true,
            Naming::Unnamed => false,
            Naming::Silent => pending.begins_resumable() && !dispatch.may_be_unknown,
        };
        pending.request.is_resumable() && is_asked
    }

    /// Records that the connection for a request is known to lead to the listed process.
    pub fn set_verified(&mut self, id: Id) {
        if let Some(pending) = self.pending.get_mut(&id)
            && let Stage::Dispatched(dispatch) = &mut pending.stage
        {
            dispatch.is_verified = true;
            self.doubts.end(&pending.request.service);
        }
    }

    /// Records which process a new connection for a request leads to.
    pub fn record_process(&mut self, now: Time, id: Id, process: Process) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let Stage::Dispatched(dispatch) = &mut pending.stage else {
            return;
        };
        self.settled.clear();
        let target = self.targets.get_mut(&dispatch.runner);
        let is_listed = target.is_some();
        if let Some(target) = target {
            target.record_process(now, process);
            if process == Process::Listed {
                dispatch.software = target.entry.software.clone();
            }
        }
        match process {
            Process::Listed => {
                dispatch.is_verified = true;
                self.doubts.end(&pending.request.service);
            }
            // The process that was listed may have ended.
            Process::Unnamed if is_listed => {}
            Process::Other | Process::Unnamed => dispatch.software = Software::unknown(),
        }
    }

    /// Records that the process of a runner has named the listed start on a connection that no
    /// request goes over.
    pub fn record_listed(&mut self, now: Time, runner: &Runner) {
        self.settled.clear();
        if let Some(target) = self.targets.get_mut(runner) {
            target.record_process(now, Process::Listed);
            self.doubts.end(&target.entry.service);
        }
    }

    /// Records that a runner sent no report in time over a new connection.
    pub fn record_silence(&mut self, now: Time, runner: &Runner) {
        self.settled.clear();
        if let Some(target) = self.targets.get_mut(runner) {
            target.record_silence(now);
        }
    }

    /// Returns whether a request may be sent over its connection: a stream goes on only at the
    /// version that began it, and begins at a process of unknown version only if there is no
    /// other. A runner that is no longer listed must have named its start.
    #[must_use]
    pub fn may_send(&self, now: Time, id: Id) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        let Stage::Dispatched(dispatch) = &pending.stage else {
            return false;
        };
        if pending.begins_resumable() {
            return self.may_begin_over(now, pending, dispatch);
        }
        let listed = self.targets.get(&dispatch.runner);
        let is_silent = listed.is_some_and(|target| target.naming() == Naming::Silent);
        let is_current = self.has_current_list(now) && !is_silent;
        let is_known = dispatch.is_verified || listed.is_some();
        pending.software.is_none()
            || (is_known && pending.fits(&dispatch.software_that_answers(listed, is_current)))
    }

    /// Records that bytes of the request may have reached its runner. The version of a process
    /// that should have named its start, and did not, is unknown.
    pub fn record_write(&mut self, id: Id) {
        if let Some(Pending {
            stage: Stage::Dispatched(dispatch),
            ..
        }) = self.pending.get_mut(&id)
        {
            dispatch.written = true;
            let target = self.targets.get(&dispatch.runner);
            let is_unknown = target.is_some_and(|target| match target.naming() {
                Naming::Silent => true,
                Naming::Unknown | Naming::Named => dispatch.may_be_unknown,
                Naming::Unnamed => false,
            });
            if is_unknown && !dispatch.is_verified {
                dispatch.software = Software::unknown();
            }
        }
    }

    /// Records that a connection to a runner without a request, established at `opened_at`,
    /// ended although the runner had announced to keep it longer.
    pub fn record_early_end(&mut self, now: Time, runner: &Runner, opened_at: Time) {
        self.settled.clear();
        if let Some(target) = self.targets.get_mut(runner) {
            self.breaks += 1;
            target.record_break(now, self.breaks, Start::At(opened_at));
        }
    }

    /// Records that a connection that was made before the last one broke is open: the process
    /// lives.
    pub fn record_alive(&mut self, runner: &Runner) {
        self.settled.clear();
        if let Some(target) = self.targets.get_mut(runner) {
            target.record_alive();
        }
    }

    /// Makes the origin of streams unknown that a new process of a runner may have begun before
    /// its entry arrived. Returns whether the entry is of such a process.
    pub(super) fn replace_process(&mut self, now: Time, entry: &Entry) -> bool {
        let known = self.targets.get(&entry.runner).map(|target| &target.entry);
        let is_known = known.is_some_and(|known| {
            known.started_at == entry.started_at && known.software == entry.software
        });
        if is_known {
            return false;
        }
        self.doubts.end(&entry.service);
        let doubtful = self.streams.replace_process(now, entry);
        for pending in self.pending.values_mut() {
            if pending.basis == Some(Basis::Answer)
                && doubtful.contains(&pending.request.stream_digest)
            {
                pending.software = Some(Software::unknown());
            }
        }
        true
    }

    /// Moves streams that were sent to a runner which is now listed at another version than the
    /// one that began them, and fails those that no other runner may continue. An answer that
    /// has begun goes on.
    pub(super) fn withdraw_streams(&mut self, now: Time) {
        let is_misplaced = |pending: &Pending| {
            let runner = pending.unanswered().map(|dispatch| &dispatch.runner);
            let target = runner.and_then(|runner| self.targets.get(runner));
            target.is_some_and(|target| !pending.fits(&target.entry.software))
        };
        let pending = self.pending.iter();
        let misplaced: Vec<Id> = pending
            .filter(|(_, pending)| is_misplaced(pending))
            .map(|(id, _)| *id)
            .collect();
        for id in misplaced {
            let Stage::Dispatched(dispatch) = self.pending[&id].stage.clone() else {
                continue;
            };
            self.pending[&id].possible_runs += 1;
            match self.try_requeue(now, id) {
                true => {
                    self.release_load(&dispatch);
                    self.actions.push(Action::Abandon { id });
                }
                false => {
                    let failure = Failure::RunnerBroke;
                    self.actions.push(Action::Fail { id, failure });
                    self.cancel(now, id);
                }
            }
        }
    }
}
