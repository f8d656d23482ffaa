//! Evacuation of failure domains: their runners get no new attempts, see
//! [`evacuation`](crate::evacuation).

use std::collections::BTreeSet;

use balsamchute_model::prelude::*;

use crate::action::{Action, Id};
use crate::pending::Stage;
use crate::place;
use crate::runner::Target;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Replaces the set of evacuated domains. Waiting requests of services whose runners
    /// are all evacuated are refused at once; attempts in progress continue.
    pub fn set_evacuations(&mut self, now: Time, domains: BTreeSet<String>) {
        if domains == self.evacuated {
            return;
        }
        let previous = std::mem::replace(&mut self.evacuated, domains);
        self.settled.clear();
        let begun: Vec<String> = self.evacuated.difference(&previous).cloned().collect();
        let ended: Vec<String> = previous.difference(&self.evacuated).cloned().collect();
        for domain in begun {
            self.actions.push(Action::Evacuation {
                domain,
                began: true,
            });
        }
        for domain in ended {
            self.on_evacuation_ended(now, domain);
        }
        let waiting = self.pending.iter();
        let waiting = waiting.filter(|(_, pending)| matches!(pending.stage, Stage::Waiting));
        let waiting: Vec<Id> = waiting.map(|(&id, _)| id).collect();
        for id in waiting {
            self.check_timeouts(now, id);
        }
        self.dispatch_all(now);
    }

    /// Returns the domains that are evacuated.
    #[must_use]
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Records that the runners of a domain may get attempts again. They may be cold.
    fn on_evacuation_ended(&mut self, now: Time, domain: String) {
        self.record_domain_cold(now, &domain);
        self.actions.push(Action::Evacuation {
            domain,
            began: false,
        });
    }

    /// Returns whether a runner may get new attempts, apart from a pause that it asked for.
    pub(super) fn is_available(&self, target: &Target) -> bool {
        place::is_available(target, &self.notices, &self.evacuated)
    }

    /// Returns whether a service has runners that would get attempts, all of them in
    /// evacuated domains.
    pub(super) fn is_evacuated(&self, service: &Service) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let targets = self.targets.values();
        let mut has_evacuated = false;
        for target in targets.filter(|target| target.entry.service == *service) {
            if self.is_available(target) {
                return false;
            }
            let is_evacuated = self.evacuated.contains(&target.entry.domain);
            has_evacuated |=
                is_evacuated && target.is_ready() && !self.notices.is_leaving(&target.entry);
        }
        has_evacuated
    }
}
