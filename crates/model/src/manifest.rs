//! Manifest of the operator: routes, services, API keys and limits.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use balsamchute_base::prelude::*;
use smallvec::SmallVec;

/// Rule for sending a request again that a runner may have executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request is executed at most once per request id.
    AtMostOnce,
    /// The response is a stream that another runner can resume after its last
    /// event.
    Resumable,
}

impl RetryPolicy {
    /// Returns whether a request that may have been executed may be sent again.
    #[must_use]
    pub fn allows_retry(self) -> bool {
        self != RetryPolicy::AtMostOnce
    }
}

/// Service behind a route, with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Service that receives the requests.
    pub service: Service,
    /// Weight among the backends of the route; the share of requests is the weight
    /// divided by the sum of weights.
    pub weight: u32,
}

/// Rule that maps requests by host and path to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name in logs, and kind of the requests in the scheduler.
    pub name: String,
    /// Value of the `Host` header to match, in lower case. It must not contain a
    /// port, which is not checked.
    pub host: String,
    /// Prefix of the path to match. Manifests write it with a slash at both ends,
    /// which is not checked.
    pub prefix: String,
    /// Services that the requests are spread over by weight, at least one.
    pub backends: SmallVec<[Backend; 2]>,
    /// Rule for sending a request again that a runner may have executed.
    pub retry_policy: RetryPolicy,
    /// Whether responses are event streams.
    pub stream: bool,
    /// Longest time from the arrival of a request to the end of its response.
    pub timeout: Span,
    /// Latency objective for a response, measured from the caller's first try; for
    /// streams, until the first event.
    pub latency_target: Span,
    /// Objective for the longest time between events of a stream.
    pub event_gap_target: Span,
    /// Maximum number of attempts of one request, over all runners, not counting
    /// those known not to have executed it; at least one.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

impl Route {
    /// Returns the backend service that the hash `pick` of a request selects, in
    /// proportion to the weights, or the first one if all weights are zero.
    ///
    /// # Panics
    ///
    /// Panics if the route has no backends; the decoder rejects such routes.
    #[must_use]
    pub fn select_service(&self, pick: u64) -> &Service {
        let total: u64 = self
            .backends
            .iter()
            .map(|backend| u64::from(backend.weight))
            .sum();
        let mut rest = if total == 0 { 0 } else { pick % total };
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if rest < weight {
                return &backend.service;
            }
            rest -= weight;
        }
        &self.backends[0].service
    }

    /// Returns whether requests of the route may go to the service.
    #[must_use]
    pub fn leads_to(&self, service: &Service) -> bool {
        let mut backends = self.backends.iter();
        backends.any(|backend| backend.weight > 0 && backend.service == *service)
    }
}

/// Capacity of a model engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Capacity of the KV cache in tokens.
    pub kv_cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Behaviour of a service's runners after their start, while their caches are empty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time after its start for which a runner is cold.
    pub duration: Span,
    /// Requests per second that a cold runner sustains, above 0.
    pub per_second: f64,
}

/// Properties of a service, shared by all of its runners.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Service that the properties apply to.
    pub service: Service,
    /// Limit on connections to one runner, from all of its clients together.
    pub max_connections: u32,
    /// Capacity of the model engine of each runner; `None` for a service without
    /// engines.
    pub engine: Option<Engine>,
    /// Behaviour of runners after their start; `None` if it does not limit requests.
    pub cold_start: Option<ColdStart>,
}

/// Limits on callers, and the capacity of the model runners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request head to its end.
    pub head_timeout: Span,
    /// Longest idle time between requests, and longest time from the end of a
    /// request head to the end of the body.
    pub idle_timeout: Span,
    /// Combined capacity of the model runners in cost units per second, if known:
    /// a prompt token costs one unit and an output token two. This unit differs from
    /// [`Cost`].
    pub cost_per_second: Option<u64>,
}

impl Default for Limits {
    fn default() -> Self {
        // Common limits of HTTP servers, used until the first manifest arrives.
        Limits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
            cost_per_second: None,
        }
    }
}

/// Routes, services, API keys and limits of one manifest version.
#[derive(Clone, Debug, Default)]
pub struct Manifest {
    /// Version number; a router never replaces a manifest by a lower version.
    pub version: u64,
    /// Routes by host, in descending order of prefix length.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Properties of the services, by service name.
    pub services: BTreeMap<Service, ServiceSpec>,
    /// Workspaces by API key; `None` if no request needs a key.
    pub api_keys: Option<HashMap<String, Workspace>>,
    /// Limits on callers, and the capacity of the model runners.
    pub limits: Limits,
}

impl Manifest {
    /// Creates a manifest with these routes, no services, no API keys and default
    /// limits.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Manifest {
            version,
            routes: by_host,
            ..Manifest::default()
        }
    }

    /// Sets the properties of all services, keyed by service name.
    #[must_use]
    pub fn with_services(mut self, services: Vec<ServiceSpec>) -> Self {
        self.services = services
            .into_iter()
            .map(|spec| (spec.service.clone(), spec))
            .collect();
        self
    }

    /// Sets the workspaces by API key; `None` if no request needs a key.
    #[must_use]
    pub fn with_api_keys(mut self, keys: Option<HashMap<String, Workspace>>) -> Self {
        self.api_keys = keys;
        self
    }

    /// Sets the limits on callers and the capacity of the model runners.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// The case of `host` is ignored, and so is a port at its end. `path` does not
    /// include the query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            let is_port = port.bytes().all(|b| b.is_ascii_digit());
            if is_port { name } else { host }
        });
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace that the API key `key` belongs to.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.api_keys.as_ref()?.get(key)
    }
}
