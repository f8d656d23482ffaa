//! Connections of callers: reading and admitting requests, and detecting
//! disconnects.

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
use balsamchute_wire::record::Outcome;
use smallvec::SmallVec;

use crate::caller::{Fault, Incoming, Phase as CallerPhase, Step, head_memory};
use crate::edge::{Edge, Slot};
use crate::peers::Phase;
use crate::socket::Input;
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

/// Time that a caller may take to send a body, however steadily it arrives.
const MAX_UPLOAD_TIME: Span = Span::from_secs(60);

/// Reads from one connection in one turn of the event loop. A caller that sends as fast as
/// the router reads must not hold up the other connections.
pub(super) const MAX_READS_PER_TURN: usize = 4;

/// Time that a connection waits for the caller to close it, or for more of the request that
/// it still sends, after the last response. While the router shuts down, also the idle time after which a connection of a
/// caller is closed.
const CLOSING_TIMEOUT: Span = Span(1000);

/// Time after the last response for which a caller may go on to send its request. A close
/// with unread bytes resets the connection, and the caller may lose the response.
const MAX_CLOSING_TIME: Span = Span::from_secs(10);

/// Manifest, route and workspace that are in force for a request.
struct Found {
    manifest: Arc<Manifest>,
    route: Arc<Route>,
    workspace: Option<Workspace>,
}

/// An error response for a request that is not forwarded.
pub(super) struct Rejection {
    status: u16,
    retry: Option<Span>,
    reason: String,
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

    fn response<'a>(&'a self, request_id: Option<&'a str>, close: bool) -> Generated<'a> {
        Generated {
            status: self.status,
            request_id,
            retry_after: self.retry,
            reason: &self.reason,
            close,
        }
    }
}

impl Edge {
    pub(super) fn handle_caller_ready(&mut self, index: usize) {
        self.flush_caller(index);
        if let Some(Slot::Caller(connection)) = self.slots.get(index)
            && connection.has_waiting_input()
        {
            self.advance_caller(index);
        }
        for _ in 0..MAX_READS_PER_TURN {
            let may_read = match self.slots.get_mut(index) {
                // Another request waits in the input; the event loop goes on with it.
                Some(Slot::Caller(connection)) if connection.has_waiting_input() => return,
                Some(Slot::Caller(connection)) => {
                    connection.is_read_paused = !connection.may_read();
                    !connection.is_read_paused
                }
                _ => return,
            };
            if !may_read {
                self.charge(index);
                return;
            }
            match self.read(index) {
                Input::Bytes(length) => {
                    self.receive_caller_bytes(index, length);
                    self.enforce_memory();
                }
                Input::WouldBlock => {
                    if let Some(Slot::Caller(connection)) = self.slots.get_mut(index) {
                        connection.unread_after = None;
                    }
                    return;
                }
                Input::Eof | Input::Broken => {
                    self.handle_caller_disconnect(index);
                    return;
                }
            }
        }
        if let Some(Slot::Caller(connection)) = self.slots.get_mut(index) {
            connection.unread_after.get_or_insert(self.arrived_after);
        }
        self.queue(index);
    }

    fn receive_caller_bytes(&mut self, index: usize, length: usize) {
        let now = self.now();
        let arrived_after = self.arrived_after;
        if let Some(Slot::Caller(connection)) = self.slots.get_mut(index) {
            if matches!(connection.phase, CallerPhase::Closing) {
                connection.received.record(now, length);
                return;
            }
            let arrived_after = connection.unread_after.unwrap_or(arrived_after);
            connection.receive(now, arrived_after, &self.read_buffer[..length]);
        }
        self.advance_caller(index);
    }

    /// Parses the buffered bytes of a caller and admits a complete request.
    pub(super) fn advance_caller(&mut self, index: usize) {
        let now = self.now();
        let limits = self.caller_limits();
        loop {
            let Some(Slot::Caller(connection)) = self.slots.get_mut(index) else {
                return;
            };
            match connection.advance(now, &limits) {
                Ok(Step::Complete(incoming)) => {
                    self.admit(now, index, incoming);
                    return;
                }
                Ok(Step::NeedsMemory(bytes)) => {
                    if !self.admit_body(now, index, bytes) {
                        return;
                    }
                }
                Ok(Step::Incomplete) => {
                    self.charge(index);
                    return;
                }
                Err(fault) => {
                    let (status, reason) = status_and_reason(&fault);
                    self.reject_unread(index, None, &Rejection::new(status, reason));
                    return;
                }
            }
        }
    }

    /// Admits a larger body of a request up to `bytes`, or rejects the request. What is known
    /// from its head is checked before memory is given to it.
    fn admit_body(&mut self, now: Time, index: usize, bytes: usize) -> bool {
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

    /// Rejects a request that was not read whole, and closes its connection.
    pub(super) fn reject_unread(
        &mut self,
        index: usize,
        request_id: Option<&str>,
        rejection: &Rejection,
    ) {
        log::info!(
            target: "request",
            "event=unreadable request={} status={} reason={:?}",
            request_id.unwrap_or("-"),
            rejection.status,
            rejection.reason
        );
        self.stats.count_rejected(rejection.status);
        self.send_local_response(self.now(), index, rejection.response(request_id, true));
        self.charge(index);
    }

    /// Schedules a complete request, or rejects it.
    fn admit(&mut self, now: Time, index: usize, incoming: Incoming) {
        let id = self.next_id;
        self.next_id += 1;
        match self.prepare(now, index, id, incoming) {
            Ok(scheduled) => {
                if let Some(Slot::Caller(connection)) = self.slots.get_mut(index) {
                    connection.enter(now, CallerPhase::Busy(id));
                }
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
        if let Some(resumed) = resumed {
            log::info!(
                target: "request",
                "event=taken_up request={request_id} resumes={:?} after={} time_left_ms={} timeout_ms={} max_age_ms={} unread_ms={} sole_service={}",
                caller.resumes.unwrap_or("-"),
                caller.last_event_id.unwrap_or(0),
                caller
                    .time_left
                    .map_or_else(|| "-".to_owned(), |time_left| time_left.0.to_string()),
                route.timeout.0,
                resumed.max_age.0,
                unread.0,
                resumed.is_sole_service
            );
        }
        let origin = resumed.and_then(|resumed| self.scheduler.origin(resumed.stream?));
        // A stream goes on at the service that began it, if the route still leads there.
        let origin = origin.filter(|origin| route.leads_to(&origin.service));
        // 2^64 divided by the golden ratio spreads consecutive ids evenly (Fibonacci
        // hashing).
        let pick = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let service = origin.map_or_else(|| route.select_service(pick), |origin| &origin.service);
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

    fn usable_manifest(&self, now: Time) -> Result<Arc<Manifest>, Rejection> {
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

    /// Returns the limits for callers that are in force.
    fn caller_limits(&self) -> Limits {
        let manifest = self.manifest.as_ref();
        manifest.map_or_else(Limits::default, |manifest| manifest.limits)
    }

    /// Rejects a request and continues with the next one of the connection.
    fn reject(&mut self, now: Time, index: usize, request_id: Option<&str>, rejection: &Rejection) {
        self.send_local_response(now, index, rejection.response(request_id, false));
    }

    /// Completes a response. The event loop continues with the next request of the
    /// connection if its input is there.
    pub(super) fn finish_response(&mut self, now: Time, index: usize) {
        let Some(Slot::Caller(connection)) = self.slots.get_mut(index) else {
            return;
        };
        let next_phase = match connection.close {
            true => CallerPhase::Closing,
            false => CallerPhase::Idle,
        };
        connection.enter(now, next_phase);
        let has_input = connection.is_read_paused || !connection.input.is_empty();
        self.flush_caller(index);
        if has_input {
            self.queue(index);
        }
    }

    /// Writes the unsent bytes of a caller. Resumes reading from its runner
    /// once all are written.
    pub(super) fn flush_caller(&mut self, index: usize) {
        let now = self.now();
        let Some(Slot::Caller(connection)) = self.slots.get_mut(index) else {
            return;
        };
        connection.flush(now);
        if connection.socket.is_broken() {
            self.handle_caller_disconnect(index);
            return;
        }
        let is_flushed = connection.socket.unsent() == 0;
        let id = connection.request();
        if is_flushed
            && matches!(connection.phase, CallerPhase::Closing)
            && !connection.is_write_shut
        {
            connection.is_write_shut = true;
            connection.since = now;
            connection.socket.shutdown();
        }
        self.charge(index);
        if let (true, Some(id)) = (is_flushed, id) {
            self.resume_upstream(id);
        }
    }

    /// Closes the connection of a caller that disconnected and cancels its
    /// request.
    pub(super) fn handle_caller_disconnect(&mut self, index: usize) {
        let now = self.now();
        let id = match self.slots.get(index) {
            Some(Slot::Caller(connection)) => connection.request(),
            _ => return,
        };
        self.close(index);
        if let Some(transaction) = id.and_then(|id| self.take_transaction(id)) {
            log::info!(
                target: "request",
                "event=caller_gone request={} attempts={} after_ms={} {}",
                transaction.request_id,
                transaction.attempts(),
                now.since(transaction.arrival).0,
                transaction.progress()
            );
            let total = now.since(transaction.arrival);
            self.stats
                .record_end(&transaction, Outcome::Unknown, "caller_gone", total);
            self.scheduler.cancel(now, id.unwrap_or_default());
            self.run_actions();
        }
    }

    /// Removes a transaction and closes its connection to a runner.
    pub(super) fn take_transaction(&mut self, id: Id) -> Option<Transaction> {
        let transaction = self.transactions.remove(&id)?;
        self.account.update(transaction.memory(), 0);
        if let Some(upstream) = transaction.upstream {
            self.close(upstream);
        }
        Some(transaction)
    }

    /// Returns whether a request is arriving, or a response is not written in full.
    pub(super) fn has_callers_in_progress(&self) -> bool {
        self.slots.iter().any(|(_, slot)| match slot {
            Slot::Caller(connection) => {
                connection.socket.unsent() > 0
                    || matches!(connection.phase, CallerPhase::Head | CallerPhase::Body(_))
            }
            _ => false,
        })
    }

    /// Closes callers' connections that exceed a timeout.
    pub(super) fn sweep_callers(&mut self, now: Time) {
        let limits = self.caller_limits();
        let leaving = self.leaving_since.is_some();
        let mut expired = Vec::new();
        let mut slow = Vec::new();
        for (index, slot) in &self.slots {
            let Slot::Caller(connection) = slot else {
                continue;
            };
            let age = now.since(connection.since);
            match &connection.phase {
                // A response that is read slowly is not cut.
                CallerPhase::Idle | CallerPhase::Closing if connection.socket.unsent() > 0 => {
                    let last = connection.sent.map_or(connection.since, |sent| sent.last());
                    if now.since(last.max(connection.since)) > limits.idle_timeout {
                        expired.push(index);
                    }
                }
                CallerPhase::Idle if age > limits.idle_timeout => expired.push(index),
                CallerPhase::Idle if leaving && age > CLOSING_TIMEOUT => expired.push(index),
                CallerPhase::Closing
                    if age > MAX_CLOSING_TIME
                        || now.since(connection.since.max(connection.received.last()))
                            > CLOSING_TIMEOUT =>
                {
                    expired.push(index);
                }
                CallerPhase::Head if age > limits.head_timeout => slow.push(index),
                CallerPhase::Body(_)
                    if now.since(connection.received.last()) > limits.idle_timeout
                        || age > MAX_UPLOAD_TIME =>
                {
                    slow.push(index);
                }
                _ => {}
            }
        }
        for index in expired {
            self.close(index);
        }
        for index in slow {
            let rejection = Rejection::new(408, "the request did not arrive in time");
            self.reject_unread(index, None, &rejection);
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
fn stream_digest(request_id: &str) -> u64 {
    let mut hasher = Hasher::new();
    hasher.update(request_id.as_bytes());
    hasher.digest().0 as u64
}

fn status_and_reason(fault: &Fault) -> (u16, String) {
    match fault {
        Fault::Malformed(error) => (400, error.to_string()),
        Fault::HeadTooLong => (431, "the head is larger than the limit".to_owned()),
        Fault::BodyTooLong => (413, "the body is larger than the limit".to_owned()),
    }
}
