//! Streams of runners that restart in place: the entry of the new process arrives after it
//! has begun to answer.

use balsamchute_model::prelude::*;

use crate::action::{Action, Failure, Id};
use crate::pending::{Pending, Stage};
use crate::scheduler::Scheduler;
use crate::stream::Basis;

impl Scheduler {
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
