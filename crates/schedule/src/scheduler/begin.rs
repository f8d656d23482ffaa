//! Runners at which streams begin that other runners may continue.
//!
//! The router that a caller asks to take a stream up may infer the version that began it. So a
//! stream begins at a version that all routers know to serve, if it can.

use balsamchute_model::prelude::*;

use crate::action::{Id, Refusal};
use crate::home::Homes;
use crate::pending::{Dispatch, Pending};
use crate::place::{Choice, Priority, needed_tokens};
use crate::process::Naming;
use crate::round::Round;
use crate::runner::Target;
use crate::scheduler::Scheduler;

/// Longest retry delay given to callers while only processes of unknown version accept
/// requests: their entries may arrive at any time.
const MAX_RETRY_AFTER: Span = Span(700);

/// Questions of one request to a runner that does not name its start in time.
const MAX_QUESTIONS: usize = 2;

impl Scheduler {
    /// Chooses the runner at which a stream begins. Returns `None` if every runner is as good as
    /// for other requests.
    ///
    /// Runners of unknown version take part if no other one accepts requests, or none has had room
    /// for long, and other routers can have heard of that. Those of new versions take part if no
    /// other one has room, once other routers can have heard of them.
    pub(super) fn choose_beginning<F>(
        &self,
        now: Time,
        pending: &Pending,
        priority: Priority,
        round: &Round,
        homes: &mut Homes,
        is_usable: F,
    ) -> Option<Choice>
    where
        F: Fn(&Target) -> bool,
    {
        let service = &pending.request.service;
        let versions = self.streams.versions();
        let unsettled = versions.unsettled(now, service);
        if unsettled.is_empty() && !round.has_unknown_process() {
            return None;
        }
        let size = pending.request.prompt.as_ref().map(needed_tokens);
        if pending.is_unbound() && !round.may_have_room(priority, size) {
            return None;
        }
        let selector = self.selector(now, service);
        let has_known = round.has_known_process();
        let may_begin = |target: &Target| {
            is_usable(target) && self.may_begin_at(now, pending, target, has_known)
        };
        let is_settled = |target: &Target| !unsettled.contains(&&target.entry.software);
        let choice = selector.choose(
            pending,
            priority,
            (!self.recomputes).then_some(&mut *homes),
            |target| {
                may_begin(target)
                    && is_settled(target)
                    && !target.is_ejected(now)
                    && (!has_known || !target.has_unknown_version())
            },
        );
        if matches!(choice, Choice::Runner { .. }) {
            return Some(choice);
        }
        let has_settled = self.has_known_version(now, service, is_settled);
        let is_left_out = |target: &Target| {
            has_settled
                && !is_settled(target)
                && versions.is_unheard(now, service, &target.entry.software)
        };
        let homes = (!self.recomputes).then_some(homes);
        let choice = selector.choose(pending, priority, homes, |target| {
            may_begin(target) && !is_left_out(target)
        });
        // Requests that may go to more runners can find room although this one did not.
        let leaves_out = || round.has_unknown_process() || self.targets.values().any(is_left_out);
        Some(match choice {
            Choice::Full if leaves_out() => Choice::NoRunner,
            choice => choice,
        })
    }

    /// Returns whether a stream may begin at a runner, `has_known` being whether one of known
    /// version accepts requests. One that did not answer may be asked again.
    fn may_begin_at(&self, now: Time, pending: &Pending, target: &Target, has_known: bool) -> bool {
        if !target.has_unknown_version() {
            return true;
        }
        let is_asked = match target.naming() {
            Naming::Silent => pending.tries_at(&target.entry.runner) < MAX_QUESTIONS,
            Naming::Unknown | Naming::Named => false,
            Naming::Unnamed => true,
        };
        (!has_known && is_asked) || self.doubts.may_begin(now, &target.entry.service)
    }

    /// Returns whether a stream that begins may be sent over the connection of its request.
    pub(super) fn may_begin_over(&self, now: Time, pending: &Pending, dispatch: &Dispatch) -> bool {
        let service = &pending.request.service;
        if dispatch.is_verified {
            return !self.is_too_new(now, service, &dispatch.software);
        }
        let Some(target) = self.targets.get(&dispatch.runner) else {
            return false;
        };
        if !target.has_unknown_version() {
            return target.entry.software == dispatch.software
                && !self.is_too_new(now, service, &dispatch.software);
        }
        if target.naming() == Naming::Silent || target.is_replaced() {
            return dispatch.may_be_unknown;
        }
        // Runners that name no start in their entries may be silent at all times.
        let is_likely = !target.is_in_doubt() && pending.failed_connects > 0;
        is_likely || dispatch.may_be_unknown || !self.has_known_version(now, service, |_| true)
    }

    /// Returns whether other routers may not have heard of a version yet, and a runner of another
    /// one accepts requests. A runner may be listed anew while it is asked for its start.
    fn is_too_new(&self, now: Time, service: &Service, software: &Software) -> bool {
        let versions = self.streams.versions();
        let unsettled = versions.unsettled(now, service);
        unsettled.contains(&software)
            && versions.is_unheard(now, service, software)
            && self.has_known_version(now, service, |target| {
                !unsettled.contains(&&target.entry.software)
            })
    }

    /// Returns whether a runner of the service that fits accepts requests and runs a process of
    /// known version, as far as this router can tell.
    fn has_known_version(
        &self,
        now: Time,
        service: &Service,
        fits: impl Fn(&Target) -> bool,
    ) -> bool {
        let selector = self.selector(now, service);
        let mut targets = self.targets.values();
        targets.any(|target| {
            target.entry.service == *service && fits(target) && selector.has_known_version(target)
        })
    }

    /// Records whether a stream that is to begin found a process of known version.
    pub(super) fn record_doubt(&mut self, now: Time, id: Id, round: &Round, choice: &Choice) {
        let pending = &self.pending[&id];
        if !pending.begins_resumable() {
            return;
        }
        let service = &pending.request.service;
        let chosen = match choice {
            Choice::Runner { runner, .. } => self.targets.get(runner),
            Choice::Full | Choice::NoRunner => None,
        };
        let has_known = round.has_known_process();
        let is_found = has_known && chosen.is_some_and(|target| !target.has_unknown_version());
        if round.has_unknown_process() && !is_found && self.doubts.record(now, service, has_known) {
            self.streams.record_unknown(now, service);
        }
    }

    /// Refuses a stream that waits to begin if only processes of unknown version accept
    /// requests and it can't begin there within its wait. Returns whether it did.
    pub(super) fn refuse_doubtful(&mut self, now: Time, id: Id, wait_end: Time) -> bool {
        let pending = &self.pending[&id];
        let service = &pending.request.service;
        if !pending.begins_resumable()
            || pending.possible_runs > 0
            || self.has_known_version(now, service, |_| true)
        {
            return false;
        }
        let begins_at = self.doubts.begins_at(service);
        let Some(begins_at) = begins_at.filter(|begins_at| *begins_at >= wait_end) else {
            return false;
        };
        let retry_after = begins_at.since(now).min(MAX_RETRY_AFTER);
        self.refuse_for(id, Refusal::UnknownProcess, retry_after);
        self.cancel(now, id);
        true
    }
}
