//! Requests of callers: what is decided from the head, and the transaction of a complete one.

use std::rc::Rc;
use std::sync::Arc;

use balsamchute_adapter::request;
use balsamchute_adapter::response::Generated;
use balsamchute_base::digest::Hasher;
use balsamchute_http::event::Splitter;
use balsamchute_http::head::Request;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;
use balsamchute_schedule::request::{Request as Scheduled, Resumed};
use smallvec::SmallVec;

use crate::caller::{Incoming, Phase as CallerPhase, head_memory};
use crate::edge::{Edge, Slot};
use crate::peers::Phase;
use crate::transaction::{Delivery, Transaction};

/// Delay in `Retry-After` of a router that is starting.
const RETRY_AFTER_UNAVAILABLE: Span = Span(300);

/// Delay in `Retry-After` of a router whose memory for requests is used up: by then a
/// request that has stalled gives way.
const RETRY_AFTER_MEMORY: Span = Span::from_secs(1);

/// Delay in `Retry-After` of a router that is shutting down; callers go to
/// another one.
const RETRY_AFTER_LEAVING: Span = Span(50);

/// Time after SIGTERM during which new requests are accepted. Longer than the time
/// for which callers cache the list of routers (`ADDRESS_TTL`). Later requests are
/// refused until the process exits.
const LEAVING_ACCEPT_TIME: Span = Span(1500);

/// An error response for a request that is not forwarded.
pub(super) struct Rejection {
    pub status: u16,
    retry: Option<Span>,
    pub reason: String,
}

impl Rejection {
    pub fn new(status: u16, reason: impl Into<String>) -> Self {
        Rejection {
            status,
            retry: None,
            reason: reason.into(),
        }
    }

    pub fn with_retry(mut self, retry: Span) -> Self {
        self.retry = Some(retry);
        self
    }

    pub fn response<'a>(&'a self, request_id: Option<&'a str>, close: bool) -> Generated<'a> {
        Generated {
            status: self.status,
            request_id,
            retry_after: self.retry,
            reason: &self.reason,
            close,
            is_head: false,
        }
    }
}

/// Manifest, route and workspace that are in force for a request.
struct Found {
    manifest: Arc<Manifest>,
    route: Arc<Route>,
    workspace: Option<Workspace>,
}

impl Edge {
    /// Admits a larger body of a request up to `bytes`, or rejects the request. What is known
    /// from its head is checked before memory is given to it.
    pub(super) fn admit_body(&mut self, now: Time, index: usize, bytes: usize) -> bool {
        let Some(Slot::Caller(connection)) = self.slots.get(index) else {
            return false;
        };
        let CallerPhase::Body(partial) = &connection.phase else {
            return false;
        };
        let request_id = partial.head.fields.get(request::REQUEST_ID);
        let request_id = request_id.map(str::to_owned);
        let admitted = request::decode(&partial.head)
            .map_err(|error| Rejection::new(400, error.to_string()))
            .and_then(|caller| self.find_route(now, &partial.head, caller.api_key))
            .and_then(|found| {
                let workspace = found.workspace;
                self.reserve(now, index, workspace.as_ref(), bytes)
                    .map(|displaced| (workspace, displaced))
                    .ok_or_else(no_memory)
            });
        let (workspace, displaced) = match admitted {
            Ok(admitted) => admitted,
            Err(rejection) => {
                self.reject_unread(index, request_id.as_deref(), &rejection);
                return false;
            }
        };
        for index in displaced {
            self.displace(index);
        }
        if let Some(Slot::Caller(connection)) = self.slots.get_mut(index) {
            connection.admit(bytes, workspace);
        }
        self.charge(index);
        true
    }

    /// Schedules a complete request, or rejects it.
    pub(super) fn admit(&mut self, now: Time, index: usize, incoming: Incoming) {
        let id = self.next_id;
        self.next_id += 1;
        match self.prepare(now, index, id, incoming) {
            Ok(scheduled) => {
                if let Some(Slot::Caller(connection)) = self.slots.get_mut(index) {
                    connection.enter(now, CallerPhase::Busy(id));
                }
                // The transaction counts for the body now.
                self.charge(index);
                let workspace = scheduled.workspace.as_ref();
                self.admission.record_request(now, workspace);
                self.scheduler.submit(now, id, scheduled);
                self.run_actions();
            }
            Err((request_id, rejection)) => {
                log::info!(
                    target: "request",
                    "event=rejected request={} status={} manifest={} reason={:?}",
                    request_id.as_deref().unwrap_or("-"),
                    rejection.status,
                    self.manifest_version(),
                    rejection.reason
                );
                self.stats.count_rejected(rejection.status);
                self.reject(now, index, request_id.as_deref(), &rejection);
            }
        }
    }

    /// Validates a request and stores it as a transaction. Returns the properties
    /// for the scheduler, or the rejection with the request id if the head could be
    /// decoded.
    fn prepare(
        &mut self,
        now: Time,
        index: usize,
        id: Id,
        incoming: Incoming,
    ) -> Result<Scheduled, (Option<String>, Rejection)> {
        let Incoming {
            head,
            head_length,
            body,
            has_body,
            arrived_after,
        } = incoming;
        let caller = request::decode(&head)
            .map_err(|error| (None, Rejection::new(400, error.to_string())))?;
        let request_id = caller.request_id.to_owned();
        let with_id = |rejection| (Some(request_id.clone()), rejection);
        let Found {
            manifest,
            route,
            workspace,
        } = self
            .find_route(now, &head, caller.api_key)
            .map_err(with_id)?;
        let memory = head_memory(head_length) + body.capacity();
        if !self.make_room(now, index, memory) {
            return Err(with_id(no_memory()));
        }
        let time_left = caller.time_left.unwrap_or(route.timeout).min(route.timeout);
        let is_resumed = caller.last_event_id.is_some() || caller.resumes.is_some();
        if let (RetryPolicy::Resumable, Some(limit)) = (route.retry_policy, caller.time_left) {
            self.route_changes.record_limit(limit);
        }
        let unread = now.since(arrived_after);
        let resumed = is_resumed.then(|| Resumed {
            stream: caller.resumes.map(stream_digest),
            max_age: self.route_changes.max_stream_age() + unread,
            is_sole_service: self.route_changes.is_sole(arrived_after, &route),
        });
        let origin = resumed.and_then(|resumed| self.scheduler.origin(resumed.stream?));
        // A stream goes on at the service that began it, if the route still leads there.
        let origin = origin.filter(|origin| route.leads_to(&origin.service));
        // 2^64 divided by the golden ratio spreads consecutive ids evenly (Fibonacci
        // hashing).
        let pick = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let service = origin.map_or_else(|| route.select_service(pick), |origin| &origin.service);
        if let Some(resumed) = resumed {
            let versions = self.scheduler.origins().versions();
            let served: Vec<String> = versions
                .within(now, service, resumed.max_age)
                .map(ToString::to_string)
                .collect();
            log::info!(
                target: "request",
                "event=taken_up request={request_id} resumes={:?} after={} time_left_ms={} timeout_ms={} max_age_ms={} unread_ms={} sole_service={} versions={:?}",
                caller.resumes.unwrap_or("-"),
                caller.last_event_id.unwrap_or(0),
                caller
                    .time_left
                    .map_or_else(|| "-".to_owned(), |time_left| time_left.0.to_string()),
                route.timeout.0,
                resumed.max_age.0,
                unread.0,
                resumed.is_sole_service,
                served.join(" ")
            );
        }
        let scheduled = Scheduled {
            service: service.clone(),
            route: route.name.clone(),
            workspace: workspace.clone(),
            retry_policy: route.retry_policy,
            stream: route.stream,
            prompt: caller.prompt.clone(),
            age: self.estimate_age(&route.name, time_left),
            latency_target: route.latency_target,
            event_gap_target: route.event_gap_target,
            deadline: now + time_left,
            max_attempts: route.max_attempts,
            stream_digest: stream_digest(&request_id),
            resumed: resumed.filter(|_| route.stream),
            fingerprint: fingerprint(&head, workspace.as_ref(), &body),
        };
        let last_event = caller.last_event_id;
        let resumed_after = last_event.filter(|_| route.retry_policy == RetryPolicy::Resumable);
        let resumes = caller.resumes.map(str::to_owned);
        let transaction = Transaction {
            caller: index,
            request_id: request_id.clone(),
            route,
            manifest: manifest.version,
            workspace,
            arrival: now,
            deadline: now + time_left,
            last_event,
            resumes,
            splitter: Splitter::with_last_event_id(resumed_after),
            delivery: Delivery::NotStarted,
            upstream: None,
            is_process_named: false,
            runners: SmallVec::new(),
            first_sent: None,
            last_sent: None,
            service: scheduled.service.clone(),
            fallback: None,
            head,
            head_length,
            body: Rc::new(body),
            has_body,
        };
        self.account.update(0, transaction.memory());
        self.transactions.insert(id, transaction);
        Ok(scheduled)
    }

    /// Finds the route and the workspace of a request, which its head names.
    fn find_route(
        &self,
        now: Time,
        head: &Request,
        api_key: Option<&str>,
    ) -> Result<Found, Rejection> {
        let manifest = self.usable_manifest(now)?;
        let host = head.fields.get("host").unwrap_or_default();
        let route = manifest
            .route(host, head.path())
            .cloned()
            .ok_or_else(|| Rejection::new(404, "no route matches host and path"))?;
        let workspace = authorize_workspace(&manifest, &route, api_key)
            .ok_or_else(|| Rejection::new(401, "the API key is not known"))?;
        Ok(Found {
            manifest,
            route,
            workspace,
        })
    }

    /// Returns the estimated time since a caller first sent its request.
    /// Callers of a route use the same timeout, so the longest remaining time
    /// seen on the route is that of a new request.
    fn estimate_age(&mut self, route: &str, time_left: Span) -> Span {
        match self.longest_times_left.get_mut(route) {
            Some(longest) => {
                *longest = time_left.max(*longest);
                longest.saturating_sub(time_left)
            }
            None => {
                self.longest_times_left.insert(route.to_owned(), time_left);
                Span(0)
            }
        }
    }

    pub(super) fn usable_manifest(&self, now: Time) -> Result<Arc<Manifest>, Rejection> {
        let leaving = self
            .leaving_since
            .is_some_and(|since| now.since(since) >= LEAVING_ACCEPT_TIME);
        if leaving {
            let rejection = Rejection::new(503, "this router is leaving");
            return Err(rejection.with_retry(RETRY_AFTER_LEAVING));
        }
        match &self.manifest {
            Some(manifest) if self.phase != Phase::Starting => Ok(manifest.clone()),
            _ => {
                let rejection = Rejection::new(503, "this router is starting");
                Err(rejection.with_retry(RETRY_AFTER_UNAVAILABLE))
            }
        }
    }
}

/// Returns the response to a request that finds no memory.
pub(super) fn no_memory() -> Rejection {
    Rejection::new(503, "the memory for requests is used up").with_retry(RETRY_AFTER_MEMORY)
}

/// Returns the workspace of a request, or `None` if its API key is missing or
/// unknown and the route requires one.
fn authorize_workspace(
    manifest: &Manifest,
    route: &Route,
    key: Option<&str>,
) -> Option<Option<Workspace>> {
    let workspace = key.and_then(|key| manifest.workspace(key)).cloned();
    let needs_key = manifest.api_keys.is_some() && !route.public;
    match workspace {
        None if needs_key => None,
        workspace => Some(workspace),
    }
}

/// Returns the digest of target, workspace and body. It is equal for repeated
/// sends of one request.
fn fingerprint(head: &Request, workspace: Option<&Workspace>, body: &[u8]) -> u128 {
    let mut hasher = Hasher::new();
    hasher.update(head.target.as_bytes());
    hasher.update(&[0]);
    hasher.update(workspace.map_or("", Workspace::as_str).as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest().0
}

/// Returns the digest under which routers know the stream that a request begins.
pub(super) fn stream_digest(request_id: &str) -> u64 {
    let mut hasher = Hasher::new();
    hasher.update(request_id.as_bytes());
    hasher.digest().0 as u64
}
