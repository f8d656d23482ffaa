//! Counters and histograms of the process.

use std::fs;

use balsamchute_metrics::Error;
use balsamchute_metrics::metrics::{Metrics, Work};
use balsamchute_model::prelude::*;
use balsamchute_wire::record::Outcome;
use nix::sys::resource::{UsageWho, getrusage};

use crate::flight::Flight;

/// Workspaces that have a label of their own; the rest share one.
const MAX_WORKSPACES: usize = 32;

/// Name under which requests without a workspace are counted.
const PUBLIC: &str = "public";

/// Size of a page of memory in bytes, on the machines that Linux runs here.
const PAGE_BYTES: u64 = 4096;

/// Microseconds in a second.
const MICROS: f64 = 1e6;

/// The metrics of the process.
pub(crate) struct Report {
    metrics: Metrics,
    public: Option<Workspace>,
}

impl Report {
    /// Creates empty metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new() -> Result<Self, Error> {
        Ok(Report {
            metrics: Metrics::new(MAX_WORKSPACES)?,
            public: Workspace::new(PUBLIC).ok(),
        })
    }

    /// Gives labels to the names of a manifest.
    pub fn set_manifest(&self, manifest: &Manifest) {
        let mut workspaces: Vec<&Workspace> = self.public.iter().collect();
        let keys = manifest.keys.iter().flat_map(|keys| keys.values());
        workspaces.extend(keys);
        workspaces.sort();
        workspaces.dedup();
        self.metrics.add_names(workspaces, manifest.offers.keys());
    }

    /// Records that a request was sent to a runner after `wait`.
    pub fn sent(&self, flight: &Flight, wait: Span) {
        self.with(flight, |work| self.metrics.observe_wait(work, wait));
        if flight.attempts > 1 {
            self.metrics.count_reason("repeat", "attempt");
        }
    }

    /// Records the first part of an answer.
    pub fn first(&self, flight: &Flight, time: Span) {
        self.with(flight, |work| self.metrics.observe_first_token(work, time));
    }

    /// Records the time between two parts of an answer.
    pub fn pause(&self, flight: &Flight, time: Span) {
        self.with(flight, |work| {
            self.metrics.observe_between_tokens(work, time);
        });
    }

    /// Records the end of a request.
    pub fn ended(&self, flight: &Flight, outcome: Outcome, reason: &'static str, total: Span) {
        self.with(flight, |work| {
            self.metrics.observe_end(work, outcome, total);
        });
        let kind = match outcome {
            Outcome::Done => return,
            Outcome::Failed => "failed",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        };
        self.metrics.count_reason(kind, reason);
    }

    /// Counts an answer of the router's own that needed no decision.
    pub fn rejected(&self, status: u16) {
        let reason = match status {
            401 => "unknown_key",
            404 => "no_route",
            503 => "not_serving",
            _ => "malformed",
        };
        self.metrics.count_reason("rejected", reason);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, answered: bool) {
        let reason = if answered { "answered" } else { "failed" };
        self.metrics.count_reason("store_call", reason);
    }

    /// Returns the page with all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn page(&self, routers: usize, manifest: u64, runners: usize) -> Result<String, Error> {
        self.metrics.set_fleet(routers as u64, manifest);
        self.metrics.set_runners(runners as u64);
        match (resident(), getrusage(UsageWho::RUSAGE_SELF)) {
            (Some(memory), Ok(usage)) => {
                let (user, system) = (usage.user_time(), usage.system_time());
                let seconds = (user.tv_sec() + system.tv_sec()) as f64;
                let micros = (user.tv_usec() + system.tv_usec()) as f64;
                self.metrics.set_process(memory, seconds + micros / MICROS);
            }
            _ => log::debug!(target: "process", "event=usage_unknown"),
        }
        self.metrics.page()
    }

    fn with<F: FnOnce(Work<'_>)>(&self, flight: &Flight, record: F) {
        let workspace = flight.workspace.as_ref().or(self.public.as_ref());
        if let Some(workspace) = workspace {
            let service = &flight.service;
            record(Work { workspace, service });
        }
    }
}

/// Returns the resident memory in bytes.
fn resident() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
