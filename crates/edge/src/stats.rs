//! Counters and histograms of the process.

use std::fs;

use balsamchute_http::event;
use balsamchute_metrics::Error;
use balsamchute_metrics::metrics::{Labels, Metrics};
use balsamchute_model::prelude::*;
use balsamchute_schedule::process::Process;
use balsamchute_schedule::stream::{Basis, Origin};
use balsamchute_wire::record::Outcome;
use nix::sys::resource::{UsageWho, getrusage};

use crate::transaction::Transaction;

/// Workspaces with a metric label of their own; the others share one.
const MAX_WORKSPACES: usize = 32;

/// Label of requests without a workspace.
const PUBLIC_LABEL: &str = "public";

/// Size of a memory page in bytes on the supported Linux machines.
const PAGE_BYTES: u64 = 4096;

const MICROS_PER_SECOND: f64 = 1e6;

/// Metrics of the process, labelled by workspace and service.
pub(crate) struct Stats {
    metrics: Metrics,
    public: Option<Workspace>,
}

impl Stats {
    /// Creates empty metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new() -> Result<Self, Error> {
        Ok(Stats {
            metrics: Metrics::new(MAX_WORKSPACES)?,
            public: Workspace::new(PUBLIC_LABEL).ok(),
        })
    }

    /// Registers labels for the workspaces and services of a manifest.
    pub fn set_manifest(&self, manifest: &Manifest) {
        let mut workspaces: Vec<&Workspace> = self.public.iter().collect();
        let keys = manifest.api_keys.iter().flat_map(|keys| keys.values());
        workspaces.extend(keys);
        workspaces.sort();
        workspaces.dedup();
        self.metrics
            .add_labels(workspaces, manifest.services.keys());
    }

    /// Records that an attempt of a request was sent to a runner, `wait` after the
    /// request arrived. For a retry, `wait` includes the earlier attempts.
    pub fn record_sent(&self, request: &Transaction, wait: Span) {
        self.with_labels(request, |work| self.metrics.observe_queue_wait(work, wait));
        if request.attempts() > 1 {
            self.metrics.count_reason("repeat", "attempt");
        }
    }

    /// Records the time to the first part of a response.
    pub fn record_first_part(&self, request: &Transaction, time: Span) {
        self.with_labels(request, |work| self.metrics.observe_first_token(work, time));
    }

    /// Records the time between two parts of a response.
    pub fn record_part_gap(&self, request: &Transaction, delay: Span) {
        self.with_labels(request, |work| {
            self.metrics.observe_between_tokens(work, delay);
        });
    }

    /// Records the outcome of a request and its total time.
    pub fn record_end(
        &self,
        request: &Transaction,
        outcome: Outcome,
        reason: &'static str,
        total: Span,
    ) {
        self.with_labels(request, |work| {
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

    /// Counts a request that was rejected before scheduling. `not_serving` includes
    /// requests for whose bodies there is no memory, and `malformed` those that
    /// exceed a size limit.
    pub fn count_rejected(&self, status: u16) {
        let reason = match status {
            401 => "unknown_key",
            404 => "no_route",
            408 => "too_slow",
            503 => "not_serving",
            _ => "malformed",
        };
        self.metrics.count_reason("rejected", reason);
    }

    /// Counts a malformed value that the store or a runner sent, by its kind.
    pub fn count_malformed(&self, kind: &'static str) {
        self.metrics.count_reason("malformed", kind);
    }

    /// Counts an attempt of which an event departs from the order of its stream.
    pub fn count_stream_gap(&self, kind: event::Kind) {
        self.metrics.count_stream_gap(kind.as_str());
    }

    /// Counts an attempt that continues a stream, by how its software version is known.
    pub fn count_resumption(&self, basis: Basis) {
        self.metrics.count_reason("resumed", basis.as_str());
    }

    /// Counts a resumable stream that began, by whether its version is known.
    pub fn count_beginning(&self, origin: &Origin) {
        let reason = match origin.software.is_unknown() {
            true => "unknown",
            false => "known",
        };
        self.metrics.count_reason("begun", reason);
    }

    /// Counts a runner that was asked which of its processes answers.
    pub fn count_process(&self, process: Process) {
        self.metrics.count_reason("process", process.as_str());
    }

    /// Counts a stream whose origin became unknown.
    pub fn count_correction(&self) {
        self.metrics.count_reason("resumed", "origin_corrected");
    }

    /// Counts a runner that became cold, by the source of that belief.
    pub fn count_cold(&self, source: &'static str) {
        self.metrics.count_reason("cold", source);
    }

    /// Counts a removal of a runner that takes effect later.
    pub fn count_deferred_removal(&self) {
        self.metrics.count_reason("removal", "deferred");
    }

    /// Counts a call to the store by its result.
    pub fn count_store_call(&self, succeeded: bool) {
        let reason = if succeeded { "answered" } else { "failed" };
        self.metrics.count_reason("store_call", reason);
    }

    /// Renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn render(
        &self,
        routers: usize,
        manifest: u64,
        runners: usize,
        evacuated: usize,
    ) -> Result<String, Error> {
        self.metrics.set_fleet(routers as u64, manifest);
        self.metrics.set_runners(runners as u64);
        self.metrics.set_evacuated_domains(evacuated as u64);
        match (resident_memory_bytes(), getrusage(UsageWho::RUSAGE_SELF)) {
            (Some(memory), Ok(usage)) => {
                let (user, system) = (usage.user_time(), usage.system_time());
                let seconds = (user.tv_sec() + system.tv_sec()) as f64;
                let micros = (user.tv_usec() + system.tv_usec()) as f64;
                self.metrics
                    .set_process(memory, seconds + micros / MICROS_PER_SECOND);
            }
            _ => log::debug!(target: "process", "event=usage_unknown"),
        }
        self.metrics.encode()
    }

    fn with_labels<F: FnOnce(Labels<'_>)>(&self, request: &Transaction, record: F) {
        let workspace = request.workspace.as_ref().or(self.public.as_ref());
        if let Some(workspace) = workspace {
            let service = &request.service;
            record(Labels { workspace, service });
        }
    }
}

/// Returns the resident memory of the process in bytes.
fn resident_memory_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
