//! Exchange of what routers know: reports to each other, and the state that one that starts
//! needs.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;
use balsamchute_wire::exchange::Suspect;

use crate::action::Action;
use crate::report::{self, Begun, Refusals, Report};
use crate::runner::Load;
use crate::scheduler::Scheduler;
use crate::share::Usage;
use crate::stream::{Digest, Origin, Streams};

/// Maximum number of suspected requests in one report.
const MAX_REPORT_SUSPECTS: usize = 8;

impl Scheduler {
    /// Returns the usage, load, suspects and limits that this router reports to its
    /// peers.
    #[must_use]
    pub fn report(&self, now: Time) -> Report {
        let usage = self.shares.iter().flat_map(|(service, shares)| {
            shares
                .local_usage()
                .map(|(workspace, usage)| report::Usage {
                    service: service.clone(),
                    workspace: workspace.clone(),
                    demand: usage.demand as f32,
                    served: usage.served as f32,
                })
        });
        let loads = self.targets.values().map(|target| report::Load {
            runner: target.entry.runner.clone(),
            running: target.local_load.running,
            prefill_tokens: saturating_u32(target.local_load.prefill_tokens),
            kv_tokens: saturating_u32(target.local_load.kv_tokens),
        });
        Report {
            usage: usage.collect(),
            loads: loads.filter(|load| load.running > 0).collect(),
            suspects: self.crash_suspects.suspects(MAX_REPORT_SUSPECTS),
            leaving: self.notices.leaving(report::MAX_LEAVING).collect(),
            part_suspects: self.parts.suspects(MAX_REPORT_SUSPECTS),
            limits: self.rates.limits(now).collect(),
            demand: self.rates.demand().collect(),
            streams: self
                .streams
                .recent(now, self.targets.values().map(|target| &target.entry)),
            cold: self.cold_report(now),
        }
    }

    /// Applies a peer's report. It replaces the peer's load at every known
    /// runner and the peer's usage of the services in the report.
    pub fn apply_report(&mut self, now: Time, peer: &Instance, report: &Report) {
        let mut usage: BTreeMap<&Service, Vec<(Workspace, Usage)>> = BTreeMap::new();
        for item in &report.usage {
            let counts = Usage {
                requests: 0.0,
                demand: f64::from(item.demand),
                served: f64::from(item.served),
            };
            let workspace_usage = usage.entry(&item.service).or_default();
            workspace_usage.push((item.workspace.clone(), counts));
        }
        for (service, workspace_usage) in usage {
            self.shares_mut(service)
                .set_peer_usage(now, peer, workspace_usage);
        }
        let loads: BTreeMap<&Runner, &report::Load> = report
            .loads
            .iter()
            .map(|load| (&load.runner, load))
            .collect();
        for (runner, target) in &mut self.targets {
            let load = loads.get(runner).map_or(Load::default(), |load| Load {
                running: load.running,
                prefill_tokens: u64::from(load.prefill_tokens),
                kv_tokens: u64::from(load.kv_tokens),
            });
            target.set_peer_load(now, peer, load);
        }
        for suspect in &report.suspects {
            self.crash_suspects.merge(now, suspect);
        }
        for suspect in &report.part_suspects {
            self.merge_part(now, suspect);
        }
        for leaving in &report.leaving {
            self.notices
                .record_leaving(&leaving.runner, leaving.started_at);
        }
        self.streams.merge_report(now, &report.streams);
        self.apply_cold_report(now, peer, &report.cold);
        for (runner, per_second) in
            self.rates
                .apply_report(now, peer, &report.limits, &report.demand)
        {
            self.actions.push(Action::Limit { runner, per_second });
        }
        self.dispatch_all(now);
    }

    /// Returns where a stream began, if this router knows.
    #[must_use]
    pub fn origin(&self, stream: Digest) -> Option<&Origin> {
        self.streams.origin(stream)
    }

    /// Returns the streams that a router that starts must know.
    #[must_use]
    pub fn streams(&self) -> Vec<Begun> {
        self.streams.all()
    }

    /// Adds the streams that another router knows.
    pub fn apply_streams(&mut self, now: Time, streams: &[Begun]) {
        self.streams.merge(now, streams);
    }

    /// Returns the origins of streams and the versions that serve.
    #[must_use]
    pub fn origins(&self) -> &Streams {
        &self.streams
    }

    /// Returns the origins of streams and the versions that serve, to be updated.
    pub fn origins_mut(&mut self) -> &mut Streams {
        &mut self.streams
    }

    /// Returns the refusals that a router that starts must know.
    #[must_use]
    pub fn refusals(&self, now: Time) -> Refusals {
        Refusals {
            requests: self.crash_suspects.refusals(now),
            parts: self.parts.refusals(now),
        }
    }

    /// Applies refusals of an earlier life of this router or another one.
    pub fn apply_refusals(&mut self, now: Time, refusals: &Refusals) {
        for suspect in &refusals.requests {
            self.crash_suspects.merge(now, suspect);
        }
        for suspect in &refusals.parts {
            self.merge_part(now, suspect);
        }
    }

    fn merge_part(&mut self, now: Time, suspect: &Suspect) {
        if let Some(crashes) = self.parts.merge(now, suspect) {
            let part = suspect.fingerprint;
            self.actions.push(Action::Blame { part, crashes });
        }
    }

    /// Drops the usage and load that peers reported. The caller does so when
    /// the exchange topology changes: the same counts then arrive as parts of
    /// other sums, and would be counted twice.
    pub fn clear_peers(&mut self) {
        for shares in self.shares.values_mut() {
            shares.clear_peers();
        }
        for target in self.targets.values_mut() {
            target.clear_peer_loads();
        }
        self.rates.clear_peers();
        self.settled.clear();
    }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
