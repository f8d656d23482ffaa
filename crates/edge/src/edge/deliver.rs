//! Delivery of responses to callers.

use balsamchute_adapter::response::{self, Framing, Generated};
use balsamchute_http::event::{Gap, Progress};
use balsamchute_http::head::Response;
use balsamchute_http::write;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::{Failure, Id, Rationale, Refusal};
use balsamchute_wire::record::Outcome;

use crate::edge::requests::stream_digest;
use crate::edge::{Edge, Slot};
use crate::transaction::{Delivery, Transaction};

impl Edge {
    /// Forwards the buffered part of a response; with `by_event`, only complete
    /// events, up to one that is refused. Returns whether the attempt is still in progress.
    pub(super) fn forward(&mut self, index: usize, id: Id, by_event: bool) -> bool {
        let (Some(Slot::Upstream(connection)), Some(transaction)) =
            (self.slots.get_mut(index), self.transactions.get_mut(&id))
        else {
            return false;
        };
        let Some(response) = &mut connection.response else {
            return false;
        };
        let body = std::mem::take(&mut response.body);
        let mut bytes = Vec::new();
        let mut progress = Progress::default();
        if by_event {
            match transaction.splitter.push(&body, &mut bytes) {
                Ok(pushed) => progress = pushed,
                Err(error) => {
                    let reason = error.to_string();
                    self.fail_invalid_response(index, id, &reason);
                    return false;
                }
            }
            if let Some(gap) = progress.gap {
                log_gap(transaction, &connection.runner, gap);
                self.stats.count_stream_gap(gap.kind);
            }
        } else {
            bytes = body;
            progress.events = 1;
        }
        let is_in_progress =
            bytes.is_empty() || self.forward_part(index, id, &bytes, progress.events);
        if is_in_progress && progress.is_refused() {
            self.fail_invalid_response(index, id, "stream does not go on after its last event");
            return false;
        }
        is_in_progress
    }

    /// Forwards bytes of a body with this number of events. Returns whether the transaction
    /// is still in progress.
    fn forward_part(&mut self, index: usize, id: Id, bytes: &[u8], events: u64) -> bool {
        let now = self.now();
        let leaving = self.leaving_since.is_some();
        let (Some(Slot::Upstream(connection)), Some(transaction)) =
            (self.slots.get_mut(index), self.transactions.get_mut(&id))
        else {
            return false;
        };
        let Some(response) = &connection.response else {
            return false;
        };
        connection.withheld = 0;
        // The response head precedes the first part of the body.
        let head = (!transaction.has_started()).then(|| response.head.clone());
        let Some(Slot::Caller(caller)) = self.slots.get_mut(transaction.caller) else {
            return false;
        };
        if let Some(head) = head {
            caller.close |= leaving;
            response::encode(
                caller.socket.write_buffer(),
                &head,
                Framing::Chunked,
                caller.close,
            );
            transaction.delivery = Delivery::Started;
            transaction.first_sent = Some(now);
            self.stats
                .record_first_part(transaction, now.since(transaction.arrival));
        }
        if let Some(previous) = transaction.last_sent.replace(now) {
            self.stats.record_part_gap(transaction, now.since(previous));
        }
        write::chunk(caller.socket.write_buffer(), bytes);
        let caller = transaction.caller;
        let is_resumable = transaction.route.stream && transaction.splitter.is_resumable();
        // Comments of a stream are no progress.
        if events > 0 {
            let is_first = transaction.splitter.event_count() == events;
            self.scheduler.record_events(now, id, events);
            self.scheduler.set_resumable(id, is_resumable);
            if is_first {
                self.log_origin(index, id);
            }
        }
        self.flush_caller(caller);
        self.transactions.contains_key(&id)
    }

    /// Logs and counts what is recorded of a resumable stream with its first event.
    fn log_origin(&self, index: usize, id: Id) {
        let (Some(Slot::Upstream(connection)), Some(transaction)) =
            (self.slots.get(index), self.transactions.get(&id))
        else {
            return;
        };
        let stream = stream_digest(&transaction.request_id);
        let Some(origin) = self.scheduler.origin(stream) else {
            return;
        };
        log::info!(
            target: "request",
            "event=stream_origin request={} after={} runner={} software={:?} verified={} started_at={}",
            transaction.request_id,
            transaction.last_event.unwrap_or(0),
            connection.runner,
            origin.software.to_string(),
            connection.is_verified,
            connection.started_at
        );
        if transaction.last_event.is_none() {
            self.stats.count_beginning(origin);
        }
    }

    /// Delivers the end of a response, or all of one that was buffered.
    pub(super) fn deliver(&mut self, now: Time, id: Id, head: Response, body: Vec<u8>) {
        let leaving = self.leaving_since.is_some();
        let Some(transaction) = self.take_transaction(id) else {
            return;
        };
        if let Some(Slot::Caller(caller)) = self.slots.get_mut(transaction.caller) {
            let buffer = caller.socket.write_buffer();
            if transaction.has_started() {
                write::chunk(buffer, &body);
                write::last_chunk(buffer);
            } else {
                caller.close |= leaving;
                let length = Framing::Length(body.len() as u64);
                response::encode(buffer, &head, length, caller.close);
                caller.socket.write_buffer().extend_from_slice(&body);
            }
        }
        let first_sent = transaction.first_sent.unwrap_or(now);
        log::info!(
            target: "request",
            "event=answered request={} status={} attempts={} first_ms={} total_ms={} events={} {}",
            transaction.request_id,
            head.status,
            transaction.attempts(),
            first_sent.since(transaction.arrival).0,
            now.since(transaction.arrival).0,
            transaction.splitter.event_count(),
            transaction.progress()
        );
        let outcome = match head.status {
            200..=299 => Outcome::Done,
            _ => Outcome::Failed,
        };
        let total = now.since(transaction.arrival);
        self.stats
            .record_end(&transaction, outcome, "runner_failed", total);
        self.finish_response(now, transaction.caller);
    }

    /// Delivers the failure response of the last runner.
    pub(super) fn deliver_fallback(&mut self, id: Id) {
        let now = self.now();
        let fallback = self
            .transactions
            .get_mut(&id)
            .and_then(|transaction| transaction.fallback.take());
        match fallback {
            Some(saved) if !self.has_started(id) => self.deliver(now, id, saved.head, saved.body),
            _ => self.fail(id, Failure::InvalidAnswer),
        }
    }

    /// Responds that a request was not executed.
    pub(super) fn refuse(&mut self, id: Id, refusal: Refusal, retry: Span, rationale: &Rationale) {
        let now = self.now();
        let Some(transaction) = self.take_transaction(id) else {
            return;
        };
        let versions = self.scheduler.origins().versions();
        log::info!(
            target: "request",
            "event=refused request={} reason={} workspace={} cost={:.0} served={:.0} share={:.0} attempts={} waited_ms={} retry_ms={} list_age_ms={} confirmed_by={}",
            transaction.request_id,
            refusal.as_str(),
            transaction.workspace.as_ref().map_or("-", Workspace::as_str),
            rationale.cost,
            rationale.served_cost,
            rationale.fair_share,
            transaction.attempts(),
            now.since(transaction.arrival).0,
            retry.0,
            versions.confirmation_age(now).0,
            self.confirmer
        );
        let total = now.since(transaction.arrival);
        self.stats
            .record_end(&transaction, Outcome::NotRun, refusal.as_str(), total);
        let closes = self
            .admission
            .is_closed(now, transaction.workspace.as_ref());
        if let (true, Some(Slot::Caller(caller))) = (closes, self.slots.get_mut(transaction.caller))
        {
            caller.close = true;
        }
        self.respond_with_error(now, &transaction, 503, Some(retry), refusal.as_str());
    }

    /// Responds that a request failed, with the runner's own failure response
    /// if there is one. Resets the connection if the response has started.
    pub(super) fn fail(&mut self, id: Id, failure: Failure) {
        let now = self.now();
        let has_fallback = self
            .transactions
            .get(&id)
            .is_some_and(|transaction| transaction.fallback.is_some());
        if has_fallback && !self.has_started(id) {
            self.deliver_fallback(id);
            return;
        }
        let Some(transaction) = self.take_transaction(id) else {
            return;
        };
        log::warn!(
            target: "request",
            "event=failed request={} reason={} attempts={} answered={} after_ms={} {}",
            transaction.request_id,
            failure.as_str(),
            transaction.attempts(),
            transaction.has_started(),
            now.since(transaction.arrival).0,
            transaction.progress()
        );
        let total = now.since(transaction.arrival);
        self.stats
            .record_end(&transaction, Outcome::Unknown, failure.as_str(), total);
        if transaction.has_started() {
            if let Some(Slot::Caller(caller)) = self.slots.get_mut(transaction.caller) {
                caller.socket.flush();
                caller.socket.reset_on_close();
            }
            self.close(transaction.caller);
            return;
        }
        let status = match failure {
            Failure::RunnerBroke | Failure::InvalidAnswer => 502,
            Failure::Timeout => 504,
        };
        self.respond_with_error(now, &transaction, status, None, failure.as_str());
    }

    fn respond_with_error(
        &mut self,
        now: Time,
        transaction: &Transaction,
        status: u16,
        retry_after: Option<Span>,
        reason: &str,
    ) {
        let response = Generated {
            status,
            request_id: Some(&transaction.request_id),
            retry_after,
            reason,
            close: false,
            is_head: false,
        };
        self.send_local_response(now, transaction.caller, response);
    }

    /// Sends a response that the router generates and continues with the next
    /// request. Closes the connection afterwards if the caller or the router
    /// requires it.
    pub(super) fn send_local_response(&mut self, now: Time, index: usize, response: Generated<'_>) {
        let leaving = self.leaving_since.is_some();
        if let Some(Slot::Caller(caller)) = self.slots.get_mut(index) {
            caller.close |= leaving | response.close;
            let response = Generated {
                close: caller.close,
                is_head: caller.is_head,
                ..response
            };
            response::encode_generated(caller.socket.write_buffer(), &response);
        }
        self.finish_response(now, index);
    }

    fn has_started(&self, id: Id) -> bool {
        self.transactions
            .get(&id)
            .is_some_and(Transaction::has_started)
    }
}

fn log_gap(transaction: &Transaction, runner: &Runner, gap: Gap) {
    log::warn!(
        target: "request",
        "event=stream_gap request={} attempt={} runner={runner} kind={} expected={} got={} refused={} {}",
        transaction.request_id,
        transaction.attempts(),
        gap.kind.as_str(),
        gap.expected,
        gap.got.map_or_else(|| "-".to_owned(), |id| id.to_string()),
        gap.is_refused,
        transaction.progress()
    );
}
