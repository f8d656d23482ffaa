//! Connections of callers: reading requests, admitting them, noticing that a
//! caller has gone.

use std::sync::Arc;

use balsamchute_adapter::answer::Own;
use balsamchute_adapter::request;
use balsamchute_base::digest::Hasher;
use balsamchute_http::event::Splitter;
use balsamchute_http::head::Request;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;
use balsamchute_schedule::request::Request as Work;
use balsamchute_wire::record::Outcome;

use crate::caller::{Fault, Incoming, Phase as CallerPhase};
use crate::edge::{Edge, Slot};
use crate::flight::{Answered, Flight};
use crate::peers::Phase;
use crate::socket::Input;

/// Time after which a caller should come back to a router that is starting.
const RETRY_STARTING: Span = Span(300);

/// Time after which a caller should turn from a leaving router to another one.
const RETRY_LEAVING: Span = Span(50);

/// Time after SIGTERM in which requests are still taken: callers keep the list
/// of routers for its time to live.
const LEAVING_TAKES: Span = Span(1500);

/// Share of the machine's memory that waiting bodies may use.
const BODY_MEMORY: f64 = 0.3;

/// Idle connections that are closed at once when there are too many, so that the
/// search for them is rare.
const EVICTED: usize = 64;

/// Longest time that a closing connection waits for its peer.
const CLOSING_TIME: Span = Span(1000);

/// An answer of the router's own to a request that goes no further.
struct Rejection {
    status: u16,
    retry: Option<Span>,
    reason: String,
}

impl Rejection {
    fn new(status: u16, reason: impl Into<String>) -> Self {
        Rejection {
            status,
            retry: None,
            reason: reason.into(),
        }
    }

    fn with_retry(mut self, retry: Span) -> Self {
        self.retry = Some(retry);
        self
    }

    fn own<'a>(&'a self, id: Option<&'a str>, close: bool) -> Own<'a> {
        Own {
            status: self.status,
            id,
            retry: self.retry,
            reason: &self.reason,
            close,
        }
    }
}

impl Edge {
    pub(super) fn caller_ready(&mut self, index: usize) {
        self.flush_caller(index);
        loop {
            let may_read = match self.slots.get_mut(index) {
                Some(Slot::Caller(connection)) => {
                    connection.is_full = !connection.may_read();
                    !connection.is_full
                }
                _ => return,
            };
            if !may_read {
                return;
            }
            match self.read(index) {
                Input::Bytes(length) => self.caller_bytes(index, length),
                Input::Nothing => return,
                Input::End | Input::Broken => {
                    self.caller_gone(index);
                    return;
                }
            }
        }
    }

    fn caller_bytes(&mut self, index: usize, length: usize) {
        if let Some(Slot::Caller(connection)) = self.slots.get_mut(index) {
            if matches!(connection.phase, CallerPhase::Closing) {
                return;
            }
            connection.input.extend_from_slice(&self.scratch[..length]);
        }
        self.advance_caller(index);
    }

    /// Goes on with the bytes that a caller has sent.
    pub(super) fn advance_caller(&mut self, index: usize) {
        let now = self.now();
        let limits = self.limits();
        let Some(Slot::Caller(connection)) = self.slots.get_mut(index) else {
            return;
        };
        match connection.advance(now, &limits) {
            Ok(Some(incoming)) => self.admit(now, index, incoming),
            Ok(None) => {}
            Err(fault) => {
                let (status, reason) = describe(&fault);
                log::info!(target: "request", "event=unreadable status={status} reason={reason:?}");
                self.report.rejected(status);
                self.answer_and_close(index, None, &Rejection::new(status, reason));
            }
        }
    }

    /// Takes a whole request in hand, or answers it at once.
    fn admit(&mut self, now: Time, index: usize, incoming: Incoming) {
        let id = self.next_id;
        self.next_id += 1;
        match self.examine(now, index, id, incoming) {
            Ok(work) => {
                if let Some(Slot::Caller(connection)) = self.slots.get_mut(index) {
                    connection.enter(now, CallerPhase::Busy(id));
                }
                self.core.arrive(now, id, work);
                self.act();
            }
            Err((name, rejection)) => {
                log::info!(
                    target: "request",
                    "event=rejected request={} status={} manifest={} reason={:?}",
                    name.as_deref().unwrap_or("-"),
                    rejection.status,
                    self.manifest_version(),
                    rejection.reason
                );
                self.report.rejected(rejection.status);
                self.reject(now, index, name.as_deref(), &rejection);
            }
        }
    }

    /// Decides whether a request may go on, and stores it as a flight.
    fn examine(
        &mut self,
        now: Time,
        index: usize,
        id: Id,
        incoming: Incoming,
    ) -> Result<Work, (Option<String>, Rejection)> {
        let Incoming {
            head,
            body,
            has_body,
        } = incoming;
        let caller = request::caller(&head)
            .map_err(|error| (None, Rejection::new(400, error.to_string())))?;
        let name = caller.id.to_owned();
        let fail = |rejection| (Some(name.clone()), rejection);
        let manifest = self.usable_manifest(now).map_err(fail)?;
        let host = head.fields.get("host").unwrap_or_default();
        let route = manifest
            .route(host, head.path())
            .cloned()
            .ok_or_else(|| fail(Rejection::new(404, "no route matches host and path")))?;
        let workspace = workspace(&manifest, &route, caller.key)
            .ok_or_else(|| fail(Rejection::new(401, "the API key is not known")))?;
        let memory = self.settings.machine.memory_bytes as f64 * BODY_MEMORY;
        if (self.body_bytes + body.len()) as f64 > memory {
            let busy = Rejection::new(503, "too many bodies wait").with_retry(RETRY_STARTING);
            return Err(fail(busy));
        }
        let left = caller.time_left.unwrap_or(route.timeout).min(route.timeout);
        let work = Work {
            service: route
                .service(id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32)
                .clone(),
            kind: route.name.clone(),
            workspace: workspace.clone(),
            repeat: route.repeat,
            stream: route.stream,
            prompt: caller.prompt.clone(),
            age: self.age(&route.name, left),
            aim: route.aim,
            pause: route.pause,
            deadline: now + left,
            attempts: route.attempts,
            fingerprint: fingerprint(&head, workspace.as_ref(), &body),
        };
        let last_event = caller.last_event;
        self.body_bytes += body.len();
        let flight = Flight {
            caller: index,
            name: name.clone(),
            route,
            manifest: manifest.version,
            workspace,
            arrived: now,
            deadline: now + left,
            last_event,
            splitter: Splitter::new(),
            answered: Answered::Nothing,
            upstream: None,
            attempts: 0,
            first: None,
            last: None,
            service: work.service.clone(),
            stash: None,
            head,
            body,
            has_body,
        };
        self.flights.insert(id, flight);
        Ok(work)
    }

    /// Returns how long ago a caller that waits `left` longer asked first: callers
    /// of a route are equally patient, so the most patient one has just begun.
    fn age(&mut self, route: &str, left: Span) -> Span {
        match self.patience.get_mut(route) {
            Some(longest) => {
                *longest = left.max(*longest);
                longest.saturating_sub(left)
            }
            None => {
                self.patience.insert(route.to_owned(), left);
                Span(0)
            }
        }
    }

    fn usable_manifest(&self, now: Time) -> Result<Arc<Manifest>, Rejection> {
        let leaving = self
            .leaving_since
            .is_some_and(|since| now.since(since) >= LEAVING_TAKES);
        if leaving {
            let rejection = Rejection::new(503, "this router is leaving");
            return Err(rejection.with_retry(RETRY_LEAVING));
        }
        match &self.manifest {
            Some(manifest) if self.phase != Phase::Starting => Ok(manifest.clone()),
            _ => {
                let rejection = Rejection::new(503, "this router is starting");
                Err(rejection.with_retry(RETRY_STARTING))
            }
        }
    }

    /// Returns the limits in force towards callers.
    fn limits(&self) -> Limits {
        let manifest = self.manifest.as_ref();
        manifest.map_or_else(Limits::default, |manifest| manifest.limits)
    }

    /// Answers a request that goes no further and reads the next one.
    fn reject(&mut self, now: Time, index: usize, name: Option<&str>, rejection: &Rejection) {
        self.send_own(now, index, rejection.own(name, false));
    }

    /// Sends what is left of an answer and goes on to the next request.
    pub(super) fn answered(&mut self, now: Time, index: usize) {
        let Some(Slot::Caller(connection)) = self.slots.get_mut(index) else {
            return;
        };
        let next = match connection.close {
            true => CallerPhase::Closing,
            false => CallerPhase::Idle,
        };
        connection.enter(now, next);
        let was_full = connection.is_full;
        self.flush_caller(index);
        if was_full {
            self.caller_ready(index);
        }
        self.advance_caller(index);
    }

    fn answer_and_close(&mut self, index: usize, name: Option<&str>, rejection: &Rejection) {
        self.send_own(self.now(), index, rejection.own(name, true));
    }

    /// Sends what waits for a caller; lets its runner go on if that was paused.
    pub(super) fn flush_caller(&mut self, index: usize) {
        let Some(Slot::Caller(connection)) = self.slots.get_mut(index) else {
            return;
        };
        connection.socket.flush();
        if connection.socket.is_broken() {
            self.caller_gone(index);
            return;
        }
        let is_sent = connection.socket.unsent() == 0;
        let id = connection.request();
        if is_sent && matches!(connection.phase, CallerPhase::Closing) && !connection.is_shut {
            connection.is_shut = true;
            connection.socket.shutdown();
        }
        if let (true, Some(id)) = (is_sent, id) {
            self.resume_upstream(id);
        }
    }

    /// Ends the work for a caller that has gone.
    pub(super) fn caller_gone(&mut self, index: usize) {
        let now = self.now();
        let id = match self.slots.get(index) {
            Some(Slot::Caller(connection)) => connection.request(),
            _ => return,
        };
        self.close(index);
        if let Some(flight) = id.and_then(|id| self.take_flight(id)) {
            log::info!(
                target: "request",
                "event=caller_gone request={} attempts={} after_ms={}",
                flight.name,
                flight.attempts,
                now.since(flight.arrived).0
            );
            let total = now.since(flight.arrived);
            self.report
                .ended(&flight, Outcome::Unknown, "caller_gone", total);
            self.core.leave(now, id.unwrap_or_default());
            self.act();
        }
    }

    /// Removes a request that is in hand, with its connection to a runner.
    pub(super) fn take_flight(&mut self, id: Id) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        self.body_bytes -= flight.body.len();
        if let Some(upstream) = flight.upstream {
            self.close(upstream);
        }
        Some(flight)
    }

    /// Closes the connections that have been idle longest, to make room for new
    /// ones; returns whether there were any.
    pub(super) fn evict_callers(&mut self) -> bool {
        let idle = self.slots.iter().filter_map(|(index, slot)| match slot {
            Slot::Caller(connection) if matches!(connection.phase, CallerPhase::Idle) => {
                Some((connection.since, index))
            }
            _ => None,
        });
        let mut idle: Vec<(Time, usize)> = idle.collect();
        idle.sort_unstable();
        idle.truncate(EVICTED);
        for &(_, index) in &idle {
            self.close(index);
        }
        log::info!(target: "caller", "event=idle_closed count={} open={}", idle.len(), self.callers);
        !idle.is_empty()
    }

    /// Closes callers' connections whose time is up.
    pub(super) fn sweep_callers(&mut self, now: Time) {
        let limits = self.limits();
        let leaving = self.leaving_since.is_some();
        let mut gone = Vec::new();
        let mut slow = Vec::new();
        for (index, slot) in &self.slots {
            let Slot::Caller(connection) = slot else {
                continue;
            };
            let age = now.since(connection.since);
            match &connection.phase {
                CallerPhase::Idle if age > limits.idle_time => gone.push(index),
                CallerPhase::Idle if leaving && age > CLOSING_TIME => gone.push(index),
                CallerPhase::Closing if age > CLOSING_TIME => gone.push(index),
                CallerPhase::Head if age > limits.head_time => slow.push(index),
                CallerPhase::Body(_) if age > limits.idle_time => slow.push(index),
                _ => {}
            }
        }
        for index in gone {
            self.close(index);
        }
        for index in slow {
            let rejection = Rejection::new(408, "the request did not arrive in time");
            self.answer_and_close(index, None, &rejection);
        }
    }
}

/// Returns the workspace that a request is for, `None` if it may not pass.
fn workspace(manifest: &Manifest, route: &Route, key: Option<&str>) -> Option<Option<Workspace>> {
    let found = key.and_then(|key| manifest.workspace(key)).cloned();
    let needs_key = manifest.keys.is_some() && !route.public;
    match found {
        None if needs_key => None,
        found => Some(found),
    }
}

/// Returns a digest that is the same when the request is sent again.
fn fingerprint(head: &Request, workspace: Option<&Workspace>, body: &[u8]) -> u128 {
    let mut hasher = Hasher::new();
    hasher.update(head.target.as_bytes());
    hasher.update(&[0]);
    hasher.update(workspace.map_or("", Workspace::as_str).as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest().0
}

fn describe(fault: &Fault) -> (u16, String) {
    match fault {
        Fault::Malformed(error) => (400, error.to_string()),
        Fault::HeadTooLong => (431, "the head is larger than the limit".to_owned()),
        Fault::BodyTooLong => (413, "the body is larger than the limit".to_owned()),
    }
}
