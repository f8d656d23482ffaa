//! Cold runners: what the scheduler observes of them, and the rate at which it sends.
//! Services without cold starts are left out everywhere.

use balsamchute_model::manifest::ColdStart;
use balsamchute_model::prelude::*;

use crate::action::{Action, End};
use crate::cold::Bound;
use crate::report;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Sets the bound on requests to cold runners in any one second.
    #[must_use]
    pub fn with_cold_bound(mut self, bound: Bound) -> Self {
        self.colds.set_bound(bound);
        self
    }

    /// Records that the first list of runners was received in full: a runner that appears
    /// afterwards has just started.
    pub fn end_first_list(&mut self) {
        self.colds.end_first_list();
    }

    /// Sets the number of routers that are alive, this one included. Unlike the count for
    /// the retry budget, one that is no longer heard does not count.
    pub fn set_alive_count(&mut self, now: Time, alive: u32) {
        self.rates.set_alive_count(now, alive);
    }

    /// Records that all runners of a failure domain are cold from now, because its
    /// evacuation ended.
    pub fn record_domain_cold(&mut self, now: Time, domain: &str) {
        self.colds.record_domain(now, domain);
        self.advance_cold(now);
    }

    /// Records the remaining time for which a process of a runner, identified by its start
    /// time, says in a response that it is cold.
    pub fn record_cold(&mut self, now: Time, runner: &Runner, started_at: u64, left: Span) {
        if let Some(cold_start) = self.cold_start(runner) {
            self.colds
                .record_response(now, runner, started_at, left, &cold_start);
            self.update_cold(now, runner);
        }
    }

    pub(super) fn set_cold_starts(&mut self, manifest: &Manifest) {
        let services = manifest.services.values();
        self.cold_starts = services
            .filter_map(|spec| Some((spec.service.clone(), spec.cold_start?)))
            .collect();
        if self.cold_starts.is_empty() {
            self.rates.clear_all_cold();
        }
    }

    pub(super) fn record_cold_refusal(&mut self, now: Time, runner: &Runner) {
        self.colds.record_refusal(now, runner);
        self.update_cold(now, runner);
    }

    /// Records what the end of an attempt shows of the runner's process.
    pub(super) fn record_cold_end(&mut self, now: Time, runner: &Runner, end: End) {
        let Some(cold_start) = self.cold_start(runner) else {
            return;
        };
        match end {
            End::Done | End::RunnerFailed | End::Rejected | End::Invalid => {
                self.colds.record_contact(now, runner);
            }
            End::NoConnection { refused: true } => self.colds.record_refusal(now, runner),
            End::Broke => self.colds.record_break(now, runner, &cold_start),
            End::NoConnection { refused: false } | End::Misdirected | End::NotSent => {}
        }
        self.update_cold(now, runner);
    }

    pub(super) fn cold_report(&self, now: Time) -> Vec<report::Cold> {
        let cold = self.targets.values().filter_map(|target| {
            let runner = &target.entry.runner;
            let cold_start = self.cold_starts.get(&target.entry.service)?;
            let (started_at, told) = self.colds.told(now, runner, cold_start)?;
            let sent = self.rates.sent_to_cold(now, runner);
            (told.is_some() || sent > 0).then(|| report::Cold {
                runner: runner.clone(),
                started_at,
                told,
                sent,
            })
        });
        cold.take(report::MAX_SUM_LIMITS).collect()
    }

    pub(super) fn apply_cold_report(
        &mut self,
        now: Time,
        peer: &Instance,
        reported: &[report::Cold],
    ) {
        for cold in reported {
            let Some(cold_start) = self.cold_start(&cold.runner) else {
                continue;
            };
            if let Some(told) = cold.told {
                self.colds
                    .apply_told(now, &cold.runner, cold.started_at, told, &cold_start);
                self.update_cold(now, &cold.runner);
            }
            self.rates
                .apply_cold_sent(now, peer, &cold.runner, cold.sent);
        }
    }

    /// Applies the passage of time to all runners that may be cold.
    pub(super) fn advance_cold(&mut self, now: Time) {
        if self.cold_starts.is_empty() {
            return;
        }
        let runners: Vec<Runner> = self.targets.keys().cloned().collect();
        for runner in runners {
            self.update_cold(now, &runner);
        }
    }

    /// Sets the rate to a runner by what is believed of it, and logs a change.
    pub(super) fn update_cold(&mut self, now: Time, runner: &Runner) {
        let Some(cold_start) = self.cold_start(runner) else {
            self.rates.clear_cold(runner);
            return;
        };
        let terms = self.colds.terms(now, runner, &cold_start);
        self.rates.set_cold(now, runner, terms);
        if let Some(change) = self.colds.take_change(now, runner, &cold_start) {
            self.actions.push(Action::Cold(change));
        }
    }

    fn cold_start(&self, runner: &Runner) -> Option<ColdStart> {
        let service = &self.targets.get(runner)?.entry.service;
        self.cold_starts.get(service).copied()
    }
}
