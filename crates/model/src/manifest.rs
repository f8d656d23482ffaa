//! The operator's manifest: routes, services, keys and limits.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use balsamchute_base::prelude::*;
use smallvec::SmallVec;

/// What may be done with a request that a runner may have run already.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It may run again.
    Idempotent,
    /// It runs at most once for each request id.
    Once,
    /// A stream that another runner may continue after its last event.
    Resumable,
}

impl Repeat {
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        self != Repeat::Once
    }
}

/// A service behind a route, with its share of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: Service,
    /// Its weight among the route's backends.
    pub weight: u32,
}

/// Which requests go to which services, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that requests name, in lower case without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services, at least one.
    pub backends: SmallVec<[Backend; 2]>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub stream: bool,
    /// Longest time that a request may stay without its final answer.
    pub timeout: Span,
    /// Time within which an answer is on time; for streams, its first event.
    pub aim: Span,
    /// Longest pause between events of a stream that is on time.
    pub pause: Span,
    /// Runners that one request may run on at most.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Rank, 0 being the most urgent.
    pub priority: u32,
}

impl Route {
    /// Returns the service for a request, by its hash `pick`.
    ///
    /// # Panics
    ///
    /// Panics if the route has no backends, which decoders reject.
    #[must_use]
    pub fn service(&self, pick: u64) -> &Service {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
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
}

/// A model engine's figures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens that one event of a stream holds.
    pub event_tokens: u32,
}

/// A service as the manifest describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// The service.
    pub service: Service,
    /// Connections that one runner accepts from all callers.
    pub connections: u32,
    /// Figures of its engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Span,
    /// Longest time that a connection may be idle.
    pub idle_time: Span,
    /// Tokens a second that the model runners produce together, if known: one
    /// for each token read and two for each token made.
    pub tokens_per_second: Option<u64>,
}

impl Default for Limits {
    fn default() -> Self {
        // In force until the first manifest: the usual limits of HTTP servers.
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Span::from_secs(3),
            idle_time: Span::from_secs(15),
            tokens_per_second: None,
        }
    }
}

/// One version of the manifest.
#[derive(Clone, Debug, Default)]
pub struct Manifest {
    /// Its version; a router never goes back to a lower one.
    pub version: u64,
    /// Routes by host, those with the longest prefix first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub offers: BTreeMap<Service, Offer>,
    /// Workspaces by API key; `None` if requests need no keys.
    pub keys: Option<HashMap<String, Workspace>>,
    /// Limits towards callers.
    pub limits: Limits,
}

impl Manifest {
    /// Creates a manifest, sorting the routes for lookup.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Manifest {
            version,
            routes: by_host,
            ..Manifest::default()
        }
    }

    /// Adds the services.
    #[must_use]
    pub fn with_offers(mut self, offers: Vec<Offer>) -> Self {
        self.offers = offers
            .into_iter()
            .map(|offer| (offer.service.clone(), offer))
            .collect();
        self
    }

    /// Adds the keys of workspaces.
    #[must_use]
    pub fn with_keys(mut self, keys: Option<HashMap<String, Workspace>>) -> Self {
        self.keys = keys;
        self
    }

    /// Sets the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    ///
    /// `host` may carry a port; `path` is without its query.
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

    /// Returns the workspace that holds `key`.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.keys.as_ref()?.get(key)
    }
}
