//! The instruments and the page.

use std::sync::{PoisonError, RwLock};

use balsamchute_base::prelude::*;
use balsamchute_wire::record::Outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Registry, TextEncoder};

use crate::error::Error;
use crate::label::Labels;
use crate::scale;

/// Services that get a label of their own.
const MAX_SERVICES: usize = 16;

/// Name of the counter of requests.
const REQUESTS: &str = "balsamchute_requests";

/// Outcomes that a request can have.
const OUTCOMES: usize = 4;

/// Milliseconds in a second.
const SECOND_MS: f64 = 1000.0;

/// Whose work an observation is about.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// The workspace.
    pub workspace: &'a Workspace,
    /// The service.
    pub service: &'a Service,
}

/// The load of a service at one router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that wait.
    pub backlog: u32,
    /// Slots of the runners that it owns.
    pub slots: u32,
    /// Of these, slots in use or lent.
    pub used: u32,
}

/// Kinds of control traffic.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Control {
    /// Periodic exchanges between routers.
    Exchange,
    /// Grants and releases of slots.
    Slots,
    /// Claims sent to the writer of their shard.
    Claim,
    /// Configuration passed between routers.
    Config,
    /// Load reports of targets.
    Target,
}

impl Control {
    fn label(self) -> &'static str {
        match self {
            Control::Exchange => "exchange",
            Control::Slots => "slots",
            Control::Claim => "claim",
            Control::Config => "config",
            Control::Target => "target",
        }
    }
}

/// Which way control traffic goes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Direction {
    /// Received by this router.
    In,
    /// Sent by this router.
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

/// All metrics of a router. Methods may be called from any thread.
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // Dropping it would end the instruments.
    _provider: SdkMeterProvider,
    workspaces: RwLock<Labels>,
    services: RwLock<Labels>,
    wait: Histogram<f64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    total: Histogram<f64>,
    cost: Histogram<f64>,
    requests: Counter<u64>,
    control_messages: Counter<u64>,
    control_bytes: Counter<u64>,
    backlog: Gauge<u64>,
    slots: Gauge<u64>,
    used: Gauge<u64>,
    routers: Gauge<u64>,
    config: Gauge<u64>,
    reasons: Counter<u64>,
    runners: Gauge<u64>,
    memory: Gauge<u64>,
    processor: Gauge<f64>,
}

impl Metrics {
    /// Creates metrics in which `limit` workspaces have a label of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new(limit: usize) -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(Error::Exporter)?;
        let series = (limit + 1) * (MAX_SERVICES + 1);
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(move |instrument: &Instrument| view(instrument, series))
            .build();
        let meter = provider.meter("balsamchute");
        let histogram = |name, about, unit, scale| histogram(&meter, name, about, unit, scale);
        Ok(Self {
            registry,
            workspaces: RwLock::new(Labels::new(limit)),
            services: RwLock::new(Labels::new(MAX_SERVICES)),
            wait: histogram(
                "balsamchute_queue_wait",
                "Time from the arrival of a request to its dispatch.",
                "s",
                scale::WAIT_SECONDS,
            ),
            first_token: histogram(
                "balsamchute_first_token",
                "Time from the arrival of a request to its first token.",
                "s",
                scale::WAIT_SECONDS,
            ),
            between_tokens: histogram(
                "balsamchute_between_tokens",
                "Time between two tokens of an answer.",
                "s",
                scale::TOKEN_SECONDS,
            ),
            total: histogram(
                "balsamchute_total",
                "Time from the arrival of a request to the end of its answer.",
                "s",
                scale::WAIT_SECONDS,
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
            used: gauge(
                &meter,
                "balsamchute_slots_used",
                "Of these, in use or lent.",
            ),
            routers: gauge(
                &meter,
                "balsamchute_routers",
                "Live routers seen from here.",
            ),
            config: gauge(
                &meter,
                "balsamchute_config_version",
                "Configuration in force.",
            ),
            reasons: counter(
                &meter,
                "balsamchute_reasons",
                "Refusals, failures, repeats and lost calls, by reason.",
            ),
            runners: gauge(&meter, "balsamchute_runners", "Runners that are listed."),
            memory: gauge(&meter, "balsamchute_memory_bytes", "Resident memory."),
            processor: meter
                .f64_gauge("balsamchute_processor_seconds")
                .with_description("Processor time since the start.")
                .build(),
            meter,
            _provider: provider,
        })
    }

    /// Gives labels to the names of a configuration, in its order.
    pub fn add_names<'a, W, S>(&self, workspaces: W, services: S)
    where
        W: IntoIterator<Item = &'a Workspace>,
        S: IntoIterator<Item = &'a Service>,
    {
        let names = workspaces.into_iter().map(Workspace::as_str);
        write(&self.workspaces).add(names);
        let names = services.into_iter().map(Service::as_str);
        write(&self.services).add(names);
    }

    /// Records how long a request waited before its dispatch.
    pub fn observe_wait(&self, work: Work<'_>, wait: Span) {
        self.wait.record(seconds(wait), &self.labels(work));
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn observe_first_token(&self, work: Work<'_>, time: Span) {
        self.first_token.record(seconds(time), &self.labels(work));
    }

    /// Records the time between two tokens.
    pub fn observe_between_tokens(&self, work: Work<'_>, time: Span) {
        self.between_tokens
            .record(seconds(time), &self.labels(work));
    }

    /// Records the end of a request: its outcome and the time it took.
    pub fn observe_end(&self, work: Work<'_>, outcome: Outcome, total: Span) {
        let [workspace, service] = self.labels(work);
        let outcome = KeyValue::new("outcome", outcome_label(outcome));
        self.total
            .record(seconds(total), &[workspace.clone(), service.clone()]);
        self.requests.add(1, &[workspace, service, outcome]);
    }

    /// Records the true cost of a request.
    pub fn observe_cost(&self, work: Work<'_>, cost: Cost) {
        self.cost.record(cost.0 as f64, &self.labels(work));
    }

    /// Counts control traffic, HTTP's own bytes included.
    pub fn count_control(&self, kind: Control, direction: Direction, messages: u64, bytes: u64) {
        let labels = [
            KeyValue::new("kind", kind.label()),
            KeyValue::new("direction", direction.label()),
        ];
        self.control_messages.add(messages, &labels);
        self.control_bytes.add(bytes, &labels);
    }

    /// Shows the calls to the platform that `read` returns, by their kind, for a
    /// `part` of the router. Values must never fall.
    pub fn watch_calls<F>(&self, part: &'static str, read: F)
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
                for (kind, calls) in read() {
                    let labels = [KeyValue::new("part", part), KeyValue::new("kind", kind)];
                    observer.observe(calls, &labels);
                }
            })
            .build();
    }

    /// Sets the load of a service at this router.
    pub fn set_load(&self, service: &Service, load: Load) {
        let labels = [self.service(service)];
        self.backlog.record(load.backlog.into(), &labels);
        self.slots.record(load.slots.into(), &labels);
        self.used.record(load.used.into(), &labels);
    }

    /// Sets how many routers are live and which configuration is in force.
    pub fn set_fleet(&self, routers: u64, config: u64) {
        self.routers.record(routers, &[]);
        self.config.record(config, &[]);
    }

    /// Counts an event by its kind and reason. Both come from closed sets.
    pub fn count_reason(&self, kind: &'static str, reason: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("reason", reason)];
        self.reasons.add(1, &labels);
    }

    /// Sets the number of runners that are listed.
    pub fn set_runners(&self, runners: u64) {
        self.runners.record(runners, &[]);
    }

    /// Sets what the process uses.
    pub fn set_process(&self, memory_bytes: u64, processor_seconds: f64) {
        self.memory.record(memory_bytes, &[]);
        self.processor.record(processor_seconds, &[]);
    }

    /// Returns the page in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn page(&self) -> Result<String, Error> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .map_err(Error::Page)
    }

    fn labels(&self, work: Work<'_>) -> [KeyValue; 2] {
        let workspace = read(&self.workspaces).get(work.workspace.as_str());
        [
            KeyValue::new("workspace", workspace),
            self.service(work.service),
        ]
    }

    fn service(&self, service: &Service) -> KeyValue {
        KeyValue::new("service", read(&self.services).get(service.as_str()))
    }
}

/// Lifts the SDK's own limit of series: the labels are bounded already, so none
/// may fold into another. The SDK sets memory aside for as many as it is told.
fn view(instrument: &Instrument, series: usize) -> Option<Stream> {
    let series = match instrument.name() {
        REQUESTS => series * OUTCOMES,
        _ => series,
    };
    let stream = Stream::builder().with_cardinality_limit(series);
    stream.build().ok()
}

// Label sets stay usable whatever happened to a thread that held one.
fn read(labels: &RwLock<Labels>) -> std::sync::RwLockReadGuard<'_, Labels> {
    labels.read().unwrap_or_else(PoisonError::into_inner)
}

fn write(labels: &RwLock<Labels>) -> std::sync::RwLockWriteGuard<'_, Labels> {
    labels.write().unwrap_or_else(PoisonError::into_inner)
}

fn seconds(span: Span) -> f64 {
    span.as_millis() as f64 / SECOND_MS
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
    about: &'static str,
    unit: &'static str,
    scale: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(about)
        .with_unit(unit)
        .with_boundaries(scale.to_vec())
        .build()
}

fn counter(meter: &Meter, name: &'static str, about: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(about).build()
}

fn gauge(meter: &Meter, name: &'static str, about: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(about).build()
}
