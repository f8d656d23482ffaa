//! Instruments of a router and their export.

use std::sync::{PoisonError, RwLock};

use balsamchute_base::prelude::*;
use balsamchute_wire::record::Outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Registry, TextEncoder};

use crate::error::Error;
use crate::label::Allowlist;
use crate::scale;

/// Maximum number of services with a label of their own. Further services share
/// the label `other`.
const MAX_SERVICES: usize = 16;

/// Name of the request counter, which has the label `outcome` in addition.
const REQUESTS: &str = "balsamchute_requests";

/// Number of values of the label `outcome`, one for each variant of [`Outcome`].
const OUTCOMES: usize = 4;

const MS_PER_SECOND: f64 = 1000.0;

/// Workspace and service that an observation is attributed to.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// Workspace of the request.
    pub workspace: &'a Workspace,
    /// Service that the request calls.
    pub service: &'a Service,
}

/// Load of a service at one router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests waiting for a slot.
    pub backlog: u32,
    /// Slots of the runners that the router owns.
    pub slots: u32,
    /// Owned slots that are in use or lent.
    pub slots_used: u32,
}

/// Kind of control traffic.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Traffic {
    /// Periodic state exchange between routers.
    Exchange,
    /// Grants and releases of slots, and needs for them.
    Slots,
    /// Claims sent to the writer of their claim shard.
    Claim,
    /// Configurations and their stamps fetched from other routers.
    Config,
    /// Load reports fetched from targets.
    Target,
}

impl Traffic {
    fn label(self) -> &'static str {
        match self {
            Traffic::Exchange => "exchange",
            Traffic::Slots => "slots",
            Traffic::Claim => "claim",
            Traffic::Config => "config",
            Traffic::Target => "target",
        }
    }
}

/// Direction of control traffic as seen from this router.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Direction {
    /// Traffic received by this router.
    In,
    /// Traffic sent by this router.
    Out,
}

impl Direction {
    fn label(self) -> &'static str {
        match self {
            Direction::In => "in",
            Direction::Out => "out",
        }
    }
}

/// Metrics of a router. Methods may be called from any thread.
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // Kept because dropping the provider shuts the instruments down.
    _provider: SdkMeterProvider,
    workspaces: RwLock<Allowlist>,
    services: RwLock<Allowlist>,
    queue_wait: Histogram<f64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    request_duration: Histogram<f64>,
    cost: Histogram<f64>,
    requests: Counter<u64>,
    control_messages: Counter<u64>,
    control_bytes: Counter<u64>,
    backlog: Gauge<u64>,
    slots: Gauge<u64>,
    slots_used: Gauge<u64>,
    routers: Gauge<u64>,
    config_version: Gauge<u64>,
    reasons: Counter<u64>,
    stream_gaps: Counter<u64>,
    runners: Gauge<u64>,
    evacuated_domains: Gauge<u64>,
    memory_bytes: Gauge<u64>,
    processor_seconds: Gauge<f64>,
}

impl Metrics {
    /// Creates metrics in which up to `max_workspaces` workspaces have a label of
    /// their own.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new(max_workspaces: usize) -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(Error::Exporter)?;
        let max_series = (max_workspaces + 1) * (MAX_SERVICES + 1);
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(move |instrument: &Instrument| cardinality_view(instrument, max_series))
            .build();
        let meter = provider.meter("balsamchute");
        let histogram = |name, description, unit, boundaries| {
            histogram(&meter, name, description, unit, boundaries)
        };
        Ok(Self {
            registry,
            workspaces: RwLock::new(Allowlist::new(max_workspaces)),
            services: RwLock::new(Allowlist::new(MAX_SERVICES)),
            queue_wait: histogram(
                "balsamchute_queue_wait",
                "Time from the arrival of a request to its dispatch.",
                "s",
                scale::LATENCY_SECONDS,
            ),
            first_token: histogram(
                "balsamchute_first_token",
                "Time from the arrival of a request to its first token.",
                "s",
                scale::LATENCY_SECONDS,
            ),
            between_tokens: histogram(
                "balsamchute_between_tokens",
                "Time between two tokens of an answer.",
                "s",
                scale::TOKEN_INTERVAL_SECONDS,
            ),
            request_duration: histogram(
                "balsamchute_total",
                "Time from the arrival of a request to the end of its answer.",
                "s",
                scale::LATENCY_SECONDS,
            ),
            cost: histogram(
                "balsamchute_cost",
                "True cost of a request: tokens, or milliseconds at a plain service.",
                "",
                scale::COST,
            ),
            requests: counter(&meter, REQUESTS, "Requests by outcome."),
            control_messages: counter(
                &meter,
                "balsamchute_control_messages",
                "Messages of control traffic.",
            ),
            control_bytes: counter(
                &meter,
                "balsamchute_control_bytes",
                "Bytes of control traffic.",
            ),
            backlog: gauge(&meter, "balsamchute_backlog", "Requests that wait here."),
            slots: gauge(&meter, "balsamchute_slots", "Slots that this router owns."),
            slots_used: gauge(
                &meter,
                "balsamchute_slots_used",
                "Of these, in use or lent.",
            ),
            routers: gauge(
                &meter,
                "balsamchute_routers",
                "Live routers seen from here.",
            ),
            config_version: gauge(
                &meter,
                "balsamchute_config_version",
                "Configuration in force.",
            ),
            reasons: counter(
                &meter,
                "balsamchute_reasons",
                "Refusals, failures, repeats and lost calls, by reason.",
            ),
            stream_gaps: counter(
                &meter,
                "balsamchute_stream_gaps",
                "Attempts of which an event departs from the order of its stream.",
            ),
            runners: gauge(&meter, "balsamchute_runners", "Runners that are listed."),
            evacuated_domains: gauge(
                &meter,
                "balsamchute_evacuated_domains",
                "Failure domains whose runners get no new requests.",
            ),
            memory_bytes: gauge(&meter, "balsamchute_memory_bytes", "Resident memory."),
            processor_seconds: meter
                .f64_gauge("balsamchute_processor_seconds")
                .with_description("Processor time since the start.")
                .build(),
            meter,
            _provider: provider,
        })
    }

    /// Gives labels to the workspaces and services of a configuration, in their
    /// order and up to the limits.
    pub fn add_labels<'a, W, S>(&self, workspaces: W, services: S)
    where
        W: IntoIterator<Item = &'a Workspace>,
        S: IntoIterator<Item = &'a Service>,
    {
        let names = workspaces.into_iter().map(Workspace::as_str);
        write_lock(&self.workspaces).add(names);
        let names = services.into_iter().map(Service::as_str);
        write_lock(&self.services).add(names);
    }

    /// Records the time from the arrival of a request to the start of one of its
    /// attempts. Called once for each attempt.
    pub fn observe_queue_wait(&self, labels: Labels<'_>, wait: Span) {
        self.queue_wait
            .record(to_seconds(wait), &self.labels(labels));
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn observe_first_token(&self, labels: Labels<'_>, time: Span) {
        self.first_token
            .record(to_seconds(time), &self.labels(labels));
    }

    /// Records the time between two tokens of an answer.
    pub fn observe_between_tokens(&self, labels: Labels<'_>, time: Span) {
        self.between_tokens
            .record(to_seconds(time), &self.labels(labels));
    }

    /// Records the outcome of a request and the time from its arrival to the end
    /// of its answer.
    pub fn observe_end(&self, labels: Labels<'_>, outcome: Outcome, request_duration: Span) {
        let [workspace, service] = self.labels(labels);
        let outcome = KeyValue::new("outcome", outcome_label(outcome));
        self.request_duration.record(
            to_seconds(request_duration),
            &[workspace.clone(), service.clone()],
        );
        self.requests.add(1, &[workspace, service, outcome]);
    }

    /// Records the actual cost of one attempt, as opposed to the estimate for the
    /// request.
    pub fn observe_cost(&self, labels: Labels<'_>, cost: Cost) {
        self.cost.record(cost.0 as f64, &self.labels(labels));
    }

    /// Counts messages of control traffic and their bytes, which include the HTTP
    /// heads.
    pub fn count_control(&self, kind: Traffic, direction: Direction, messages: u64, bytes: u64) {
        let labels = [
            KeyValue::new("kind", kind.label()),
            KeyValue::new("direction", direction.label()),
        ];
        self.control_messages.add(messages, &labels);
        self.control_bytes.add(bytes, &labels);
    }

    /// Exports the numbers of calls to the platform by one `part` of the router.
    /// `read_calls` is called at each export and returns the number of each kind
    /// of call, which must never decrease.
    pub fn observe_platform_calls<F>(&self, part: &'static str, read_calls: F)
    where
        F: Fn() -> Vec<(&'static str, u64)> + Send + Sync + 'static,
    {
        let counter = self
            .meter
            .u64_observable_counter("balsamchute_platform_calls");
        // The meter keeps the callback.
        let _ = counter
            .with_description("Calls to the platform.")
            .with_callback(move |observer| {
                for (kind, calls) in read_calls() {
                    let labels = [KeyValue::new("part", part), KeyValue::new("kind", kind)];
                    observer.observe(calls, &labels);
                }
            })
            .build();
    }

    /// Sets the gauges of the load of a service. They keep their values until the
    /// next call.
    pub fn set_load(&self, service: &Service, load: Load) {
        let labels = [self.service_label(service)];
        self.backlog.record(load.backlog.into(), &labels);
        self.slots.record(load.slots.into(), &labels);
        self.slots_used.record(load.slots_used.into(), &labels);
    }

    /// Sets the number of live routers and the version of the configuration in
    /// force.
    pub fn set_fleet(&self, routers: u64, config_version: u64) {
        self.routers.record(routers, &[]);
        self.config_version.record(config_version, &[]);
    }

    /// Counts an event, such as a refusal or failure, by its kind and reason. Both
    /// must come from closed sets, because each pair adds a series.
    pub fn count_reason(&self, kind: &'static str, reason: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("reason", reason)];
        self.reasons.add(1, &labels);
    }

    /// Counts an attempt of which an event departs from the order of its stream. `kind`
    /// must come from a closed set, because each one adds a series.
    pub fn count_stream_gap(&self, kind: &'static str) {
        self.stream_gaps.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Sets the number of runners that the process knows.
    pub fn set_runners(&self, runners: u64) {
        self.runners.record(runners, &[]);
    }

    /// Sets the number of failure domains that are evacuated.
    pub fn set_evacuated_domains(&self, domains: u64) {
        self.evacuated_domains.record(domains, &[]);
    }

    /// Sets the resident memory and the processor time used by the process.
    pub fn set_process(&self, memory_bytes: u64, processor_seconds: f64) {
        self.memory_bytes.record(memory_bytes, &[]);
        self.processor_seconds.record(processor_seconds, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn encode(&self) -> Result<String, Error> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .map_err(Error::Page)
    }

    fn labels(&self, labels: Labels<'_>) -> [KeyValue; 2] {
        let workspace = read_lock(&self.workspaces).label(labels.workspace.as_str());
        [
            KeyValue::new("workspace", workspace),
            self.service_label(labels.service),
        ]
    }

    fn service_label(&self, service: &Service) -> KeyValue {
        KeyValue::new("service", read_lock(&self.services).label(service.as_str()))
    }
}

/// Sets the SDK's cardinality limit to the number of series that the bounded
/// labels allow, so that the SDK folds none into its overflow series. The limit
/// is no higher because the SDK reserves memory for that many series.
fn cardinality_view(instrument: &Instrument, max_series: usize) -> Option<Stream> {
    let limit = match instrument.name() {
        REQUESTS => max_series * OUTCOMES,
        _ => max_series,
    };
    let stream = Stream::builder().with_cardinality_limit(limit);
    stream.build().ok()
}

/// Locks an allowlist for reading. Poisoning is ignored: the list stays usable
/// after a panic of a thread that held its lock.
fn read_lock(allowlist: &RwLock<Allowlist>) -> std::sync::RwLockReadGuard<'_, Allowlist> {
    allowlist.read().unwrap_or_else(PoisonError::into_inner)
}

/// Locks an allowlist for writing. Poisoning is ignored as in [`read_lock`].
fn write_lock(allowlist: &RwLock<Allowlist>) -> std::sync::RwLockWriteGuard<'_, Allowlist> {
    allowlist.write().unwrap_or_else(PoisonError::into_inner)
}

fn to_seconds(span: Span) -> f64 {
    span.as_millis() as f64 / MS_PER_SECOND
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    }
}

fn histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    unit: &'static str,
    boundaries: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit(unit)
        .with_boundaries(boundaries.to_vec())
        .build()
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}
