//! Evacuated failure domains: from the store, from peers, and to the scheduler.
//!
//! Responds to a failure domain that the operator takes out of use: its runners must get
//! no new request from any router, also from one that does not reach the store.

use std::collections::BTreeSet;

use balsamchute_adapter::store::{Change as StoreChange, Object};
use balsamchute_model::prelude::*;
use balsamchute_schedule::evacuation::{Change, Evacuations, Shared, is_valid_name};

use crate::edge::{Edge, VIEW_WAIT};

/// Upper bound of the names that were logged as not valid or unknown.
const MAX_REPORTED_NAMES: usize = 256;

/// Evacuated domains, and what was logged about them.
#[derive(Debug, Default)]
pub(super) struct Domains {
    evacuations: Evacuations,
    // Evacuated domains that were not looked up in the list of runners yet.
    unchecked: BTreeSet<String>,
    // Names that were logged as not valid or unknown.
    reported: BTreeSet<String>,
    // Domains that were logged as held, with the era.
    held: BTreeSet<(u64, String)>,
}

impl Domains {
    /// Returns whether a name is to be reported, which it is once.
    fn report_once(&mut self, name: &str) -> bool {
        self.reported.len() < MAX_REPORTED_NAMES && self.reported.insert(name.to_owned())
    }
}

impl Edge {
    /// Returns whether the set of evacuated domains is known, or there is none.
    pub(super) fn knows_evacuations(&self) -> bool {
        let domains = self.evacuations.as_ref();
        domains.is_none_or(|domains| domains.evacuations.is_known())
    }

    /// Returns whether a starting router may serve with what it knows of evacuations. It
    /// waits for the set as long as for the view of a peer.
    pub(super) fn may_serve_evacuations(&self, now: Time) -> bool {
        self.knows_evacuations() || now.since(self.started) >= VIEW_WAIT
    }

    /// Returns the set for other routers.
    pub(super) fn shared_evacuations(&self, now: Time) -> Shared {
        let domains = self.evacuations.as_ref();
        domains.map_or_else(Shared::default, |domains| domains.evacuations.shared(now))
    }

    /// Applies a list of the store.
    pub(super) fn apply_evacuation_list(
        &mut self,
        now: Time,
        objects: Vec<Object>,
        revision: Revision,
    ) {
        let names: Vec<String> = objects.into_iter().map(|object| object.name).collect();
        for name in &names {
            self.check_evacuation_name(name);
        }
        let Some(domains) = &mut self.evacuations else {
            return;
        };
        if !domains.evacuations.replace(now, names, revision) {
            let known = domains.evacuations.revision();
            log::info!(target: "store", "event=evacuations_outdated revision={revision} known={known}");
        }
        self.advance_evacuations(now);
    }

    /// Applies changes of the store.
    pub(super) fn apply_evacuation_changes(
        &mut self,
        now: Time,
        changes: Vec<StoreChange>,
        revision: Revision,
    ) {
        let changes = changes.into_iter().map(|change| match change {
            StoreChange::Set(object) => Change::Begun(object.name),
            StoreChange::Removed(name) => Change::Ended(name),
        });
        let changes: Vec<Change> = changes.collect();
        for change in &changes {
            if let Change::Begun(name) = change {
                self.check_evacuation_name(name);
            }
        }
        if let Some(domains) = &mut self.evacuations {
            // Changes that a peer has told already need nothing.
            domains.evacuations.apply(now, changes, revision);
        }
        self.advance_evacuations(now);
    }

    /// Merges the set of a peer's datagram.
    pub(super) fn merge_evacuations(&mut self, now: Time, peer: &Shared) {
        if let Some(domains) = &mut self.evacuations {
            domains.evacuations.merge(now, peer);
            self.observe_era(now, peer.revision.era, None);
            self.advance_evacuations(now);
        }
    }

    /// Merges the set of a peer's view.
    pub(super) fn apply_evacuation_view(&mut self, now: Time, peer: &Shared) {
        let is_serving = self.is_serving();
        if let Some(domains) = &mut self.evacuations {
            match is_serving {
                true => domains.evacuations.merge(now, peer),
                false => domains.evacuations.merge_at_start(now, peer),
            }
            self.advance_evacuations(now);
        }
    }

    /// Puts the domains into force that are evacuated now. Evacuations that a restored
    /// store lacks end here.
    pub(super) fn advance_evacuations(&mut self, now: Time) {
        let Some(domains) = &mut self.evacuations else {
            return;
        };
        let in_force = domains.evacuations.in_force(now);
        let era = domains.evacuations.revision().era;
        for (domain, left) in domains.evacuations.held(now) {
            if domains.held.insert((era, domain.to_owned())) {
                log::warn!(target: "store", "event=evacuation_held domain={domain} era={era} left_ms={}", left.0);
            }
        }
        if in_force != *self.scheduler.evacuated() {
            let new = in_force.difference(self.scheduler.evacuated()).cloned();
            domains.unchecked.extend(new);
            self.scheduler.set_evacuations(now, in_force);
            self.run_actions();
        }
        self.check_evacuated_domains();
    }

    pub(super) fn log_evacuation(&self, domain: &str, began: bool) {
        let revision = self.shared_evacuations(self.now()).revision;
        match began {
            true => {
                let entries = self.registry.entries();
                let runners = entries.filter(|entry| entry.domain == domain).count();
                log::warn!(target: "store", "event=domain_evacuated domain={domain} revision={revision} runners={runners}");
            }
            false => {
                log::warn!(target: "store", "event=evacuation_ended domain={domain} revision={revision}");
            }
        }
    }

    /// Reports a name in the store that cannot be that of a domain.
    fn check_evacuation_name(&mut self, name: &str) {
        if !is_valid_name(name) {
            self.report_evacuation(name, "invalid name");
        }
    }

    /// Reports new evacuated domains in which there is nothing, probably by mistake. They
    /// stay in the set: runners there may be listed later.
    fn check_evacuated_domains(&mut self) {
        let Some(domains) = &mut self.evacuations else {
            return;
        };
        if !self.is_runner_list_loaded || domains.unchecked.is_empty() {
            return;
        }
        for domain in std::mem::take(&mut domains.unchecked) {
            let is_listed = self.registry.entries().any(|entry| entry.domain == domain);
            if !is_listed && !self.settings.domains.contains(&domain) {
                self.report_evacuation(&domain, "unknown domain");
            }
        }
    }

    fn report_evacuation(&mut self, name: &str, reason: &str) {
        let domains = self.evacuations.as_mut();
        if domains.is_some_and(|domains| domains.report_once(name)) {
            log::warn!(target: "store", "event=evacuation_ignored name={name:?} reason={reason:?}");
            self.stats.count_malformed("evacuation");
        }
    }
}
