//! Answers to callers.

use balsamchute_adapter::answer::{self, Body, Own};
use balsamchute_http::head::Response;
use balsamchute_http::write;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::{Basis, Failure, Id, Refusal};
use balsamchute_wire::record::Outcome;

use crate::edge::{Edge, Slot};
use crate::flight::{Answered, Flight};

impl Edge {
    /// Forwards what has come of an answer; a stream by whole events. Returns
    /// whether the request is still in hand.
    pub(super) fn forward(&mut self, index: usize, id: Id, by_event: bool) -> bool {
        let now = self.now();
        let leaving = self.leaving_since.is_some();
        let (Some(Slot::Upstream(connection)), Some(flight)) =
            (self.slots.get_mut(index), self.flights.get_mut(&id))
        else {
            return false;
        };
        let Some(answer) = &mut connection.answer else {
            return false;
        };
        let body = std::mem::take(&mut answer.body);
        let mut bytes = Vec::new();
        let mut events = 0;
        if by_event {
            match flight.splitter.push(&body, &mut bytes) {
                Ok(count) => events = count,
                Err(error) => {
                    let reason = error.to_string();
                    self.invalid(index, id, &reason);
                    return false;
                }
            }
        } else {
            bytes = body;
        }
        if bytes.is_empty() {
            return true;
        }
        // Only the first part of an answer brings its head along.
        let head = (!flight.is_answered()).then(|| answer.head.clone());
        let Some(Slot::Caller(caller)) = self.slots.get_mut(flight.caller) else {
            return false;
        };
        if let Some(head) = head {
            caller.close |= leaving;
            answer::encode(caller.socket.out(), &head, Body::Chunked, caller.close);
            flight.answered = Answered::Partly;
            flight.first = Some(now);
            self.report.first(flight, now.since(flight.arrived));
        }
        if let Some(last) = flight.last.replace(now) {
            self.report.pause(flight, now.since(last));
        }
        write::chunk(caller.socket.out(), &bytes);
        let caller = flight.caller;
        self.core.progress(now, id, events.max(1));
        self.flush_caller(caller);
        self.flights.contains_key(&id)
    }

    /// Delivers the end of an answer, or the whole of one that was held back.
    pub(super) fn complete(&mut self, now: Time, id: Id, head: Response, body: Vec<u8>) {
        let leaving = self.leaving_since.is_some();
        let Some(mut flight) = self.take_flight(id) else {
            return;
        };
        let rest = flight.splitter.take_partial();
        if let Some(Slot::Caller(caller)) = self.slots.get_mut(flight.caller) {
            let out = caller.socket.out();
            if flight.is_answered() {
                write::chunk(out, &rest);
                write::chunk(out, &body);
                write::last_chunk(out);
            } else {
                let whole = if rest.is_empty() { body } else { rest };
                caller.close |= leaving;
                let length = Body::Length(whole.len() as u64);
                answer::encode(out, &head, length, caller.close);
                caller.socket.out().extend_from_slice(&whole);
            }
        }
        let first = flight.first.unwrap_or(now);
        log::info!(
            target: "request",
            "event=answered request={} status={} attempts={} first_ms={} total_ms={} events={}",
            flight.name,
            head.status,
            flight.attempts,
            first.since(flight.arrived).0,
            now.since(flight.arrived).0,
            flight.splitter.events()
        );
        let outcome = match head.status {
            200..=299 => Outcome::Done,
            _ => Outcome::Failed,
        };
        let total = now.since(flight.arrived);
        self.report.ended(&flight, outcome, "runner_failed", total);
        self.answered(now, flight.caller);
    }

    /// Delivers the failure that a runner answered.
    pub(super) fn deliver_failure(&mut self, id: Id) {
        let now = self.now();
        let stash = self.flights.get_mut(&id).and_then(|f| f.stash.take());
        match stash {
            Some(stash) if !self.is_answered(id) => self.complete(now, id, stash.head, stash.body),
            _ => self.fail(id, Failure::Invalid),
        }
    }

    /// Answers that a request has not run.
    pub(super) fn refuse(&mut self, id: Id, refusal: Refusal, retry: Span, basis: &Basis) {
        let now = self.now();
        let Some(flight) = self.take_flight(id) else {
            return;
        };
        log::info!(
            target: "request",
            "event=refused request={} reason={} workspace={} cost={:.0} served={:.0} share={:.0} attempts={} waited_ms={} retry_ms={}",
            flight.name,
            refusal.as_str(),
            flight.workspace.as_ref().map_or("-", Workspace::as_str),
            basis.cost,
            basis.served,
            basis.level,
            flight.attempts,
            now.since(flight.arrived).0,
            retry.0
        );
        let total = now.since(flight.arrived);
        self.report
            .ended(&flight, Outcome::NotRun, refusal.as_str(), total);
        self.answer_own(now, &flight, 503, Some(retry), refusal.as_str());
    }

    /// Answers that a request failed, with the runner's own failure if there is
    /// one, or cuts an answer that has begun.
    pub(super) fn fail(&mut self, id: Id, failure: Failure) {
        let now = self.now();
        let has_answer = self.flights.get(&id).is_some_and(|f| f.stash.is_some());
        if has_answer && !self.is_answered(id) {
            self.deliver_failure(id);
            return;
        }
        let Some(flight) = self.take_flight(id) else {
            return;
        };
        log::warn!(
            target: "request",
            "event=failed request={} reason={} attempts={} answered={} after_ms={}",
            flight.name,
            failure.as_str(),
            flight.attempts,
            flight.is_answered(),
            now.since(flight.arrived).0
        );
        let total = now.since(flight.arrived);
        self.report
            .ended(&flight, Outcome::Unknown, failure.as_str(), total);
        if flight.is_answered() {
            if let Some(Slot::Caller(caller)) = self.slots.get_mut(flight.caller) {
                caller.socket.flush();
                caller.socket.reset_on_close();
            }
            self.close(flight.caller);
            return;
        }
        let status = match failure {
            Failure::Broken | Failure::Invalid => 502,
            Failure::Timeout => 504,
        };
        self.answer_own(now, &flight, status, None, failure.as_str());
    }

    fn answer_own(
        &mut self,
        now: Time,
        flight: &Flight,
        status: u16,
        retry: Option<Span>,
        reason: &str,
    ) {
        let own = Own {
            status,
            id: Some(&flight.name),
            retry,
            reason,
            close: false,
        };
        self.send_own(now, flight.caller, own);
    }

    /// Sends an answer of the router's own and goes on to the next request. The
    /// connection ends with it if the caller or the router wants so.
    pub(super) fn send_own(&mut self, now: Time, index: usize, own: Own<'_>) {
        let leaving = self.leaving_since.is_some();
        if let Some(Slot::Caller(caller)) = self.slots.get_mut(index) {
            caller.close |= leaving | own.close;
            let close = caller.close;
            answer::encode_own(caller.socket.out(), &Own { close, ..own });
        }
        self.answered(now, index);
    }

    fn is_answered(&self, id: Id) -> bool {
        self.flights.get(&id).is_some_and(Flight::is_answered)
    }
}
