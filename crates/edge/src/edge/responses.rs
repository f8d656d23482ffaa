//! Reading of runners' responses: parsing, what the runner says of itself, and the end of
//! an attempt.

use balsamchute_adapter::response::{self, Classification};
use balsamchute_http::framing::Framing;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::{End, Id};
use balsamchute_schedule::cold;

use crate::edge::{Edge, Slot};
use crate::transaction::Fallback;
use crate::upstream::Phase;

/// Response bytes that are buffered until the response is complete. Longer
/// responses are forwarded as they arrive.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Bytes of an answer that may arrive in a row without a part for the caller among
/// them: interim answers, answers to other requests, and bodies of failures.
const MAX_WITHHELD_BYTES: usize = 1024 * 1024;

impl Edge {
    /// Buffers bytes of a runner and parses them. Bytes on an idle connection belong to
    /// no request.
    pub(super) fn receive_upstream_bytes(&mut self, index: usize, length: usize) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        if let Phase::Identifying(id) = connection.phase {
            connection
                .input
                .extend_from_slice(&self.read_buffer[..length]);
            self.advance_report(index, id);
            return;
        }
        let Phase::Busy(id) = connection.phase else {
            log::info!(target: "runner", "event=surplus_bytes runner={} bytes={length}", connection.runner);
            self.close(index);
            return;
        };
        connection.answered_after.get_or_insert(self.arrived_after);
        connection.withheld += length;
        if connection.withheld > MAX_WITHHELD_BYTES {
            self.fail_invalid_response(index, id, "the answer is too long");
            return;
        }
        connection
            .input
            .extend_from_slice(&self.read_buffer[..length]);
        self.advance_response(index, id);
    }

    /// Parses the buffered bytes of a response.
    fn advance_response(&mut self, index: usize, id: Id) {
        loop {
            let Some(transaction) = self.transactions.get(&id) else {
                self.close(index);
                return;
            };
            let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
                return;
            };
            if connection.response.is_none() {
                match connection.parse_head(&transaction.request_id, &transaction.head.method) {
                    Ok(true) => self.read_notices(index),
                    Ok(false) => return,
                    Err(error) => {
                        let reason = error.to_string();
                        self.fail_invalid_response(index, id, &reason);
                        return;
                    }
                }
            }
            match self.advance_body(index, id) {
                // Skips a late response to another request; the expected one
                // follows.
                Advance::Next => continue,
                Advance::Stop => return,
            }
        }
    }

    /// Passes on to the scheduler what the runner says of itself in the head of a
    /// response. Another runner at the address does not speak for it.
    fn read_notices(&mut self, index: usize) {
        let now = self.now();
        let Some(Slot::Upstream(connection)) = self.slots.get(index) else {
            return;
        };
        let Some(response) = &connection.response else {
            return;
        };
        if response.classification == Classification::Misdirected {
            return;
        }
        // A late answer says what held when its request was answered.
        let is_current = response.classification != Classification::RequestMismatch;
        let (runner, started_at) = (connection.runner.clone(), connection.started_at);
        let leaving = response::says_leaving(&response.head);
        let pause = response::pause(&response.head);
        let limit = response::rate_limit(&response.head);
        let cold_left = response::cold_left(&response.head);
        let errors = [
            leaving.as_ref().err(),
            pause.as_ref().err(),
            limit.as_ref().err(),
            cold_left.as_ref().err(),
        ];
        for error in errors.into_iter().flatten() {
            self.stats.count_malformed("runner_notice");
            if self.malformed_notices.insert(runner.clone()) {
                log::warn!(target: "runner", "event=notice_ignored runner={runner} reason={:?}", error.to_string());
            }
        }
        if leaving == Ok(true) && self.scheduler.record_leaving(&runner, started_at) {
            log::info!(target: "runner", "event=runner_leaves runner={runner} started_at={started_at} source=answer");
        }
        if let Ok(Some(pause)) = pause {
            log::info!(target: "runner", "event=runner_paused runner={runner} pause_ms={}", pause.0);
            self.scheduler.record_pause(now, &runner, started_at, pause);
        }
        if let (true, Ok(limit)) = (is_current, limit) {
            self.scheduler.record_limit(now, &runner, started_at, limit);
        }
        if let (true, Ok(Some(left))) = (is_current, cold_left) {
            self.scheduler.record_cold(now, &runner, started_at, left);
        }
    }

    /// Logs and counts that a runner became cold, or ceased to be.
    pub(super) fn log_cold(&self, change: &cold::Change) {
        let cold::Change {
            runner,
            left,
            source,
        } = change;
        let source = source.as_str();
        match left {
            Some(left) => {
                self.stats.count_cold(source);
                log::info!(target: "runner", "event=runner_cold runner={runner} left_ms={} source={source}", left.0);
            }
            None => {
                log::info!(target: "runner", "event=runner_cold_ended runner={runner} source={source}");
            }
        }
    }

    /// Decodes the buffered part of a response body and forwards or completes the
    /// response.
    pub(super) fn advance_body(&mut self, index: usize, id: Id) -> Advance {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return Advance::Stop;
        };
        let Some(response) = &mut connection.response else {
            return Advance::Stop;
        };
        if let Classification::Invalid(reason) = response.classification {
            self.fail_invalid_response(index, id, reason);
            return Advance::Stop;
        }
        let consumed = match response
            .decoder
            .decode(&connection.input, &mut response.body)
        {
            Ok(consumed) => consumed,
            Err(error) => {
                let reason = error.to_string();
                self.fail_invalid_response(index, id, &reason);
                return Advance::Stop;
            }
        };
        connection.input.drain(..consumed);
        let (classification, is_done) = (response.classification, response.decoder.is_done());
        let framing = response.framing;
        let status = response.head.status;
        let buffered = response.body.len();
        if classification == Classification::RequestMismatch {
            response.body.clear();
            if !is_done {
                return Advance::Stop;
            }
            connection.response = None;
            return Advance::Next;
        }
        let is_stream = self.transactions.get(&id).is_some_and(|transaction| {
            transaction.route.stream && classification == Classification::Success
        });
        let is_forwarded = is_stream
            || (classification == Classification::Success && buffered > MAX_BUFFERED_BYTES);
        if is_forwarded && !self.forward(index, id, is_stream) {
            return Advance::Stop;
        }
        if !is_done {
            return Advance::Stop;
        }
        let is_whole = !is_stream
            || self
                .transactions
                .get(&id)
                .is_some_and(|transaction| transaction.splitter.is_complete(framing));
        match is_whole {
            true => self.finish_attempt(index, id, classification, status),
            false => self.fail_broken_response(index, id, false),
        }
        Advance::Stop
    }

    /// Ends an attempt whose response is complete.
    fn finish_attempt(
        &mut self,
        index: usize,
        id: Id,
        classification: Classification,
        status: u16,
    ) {
        let now = self.now();
        let Some(response) = self.release_connection(now, index) else {
            return;
        };
        let (head, body, framing) = (response.head, response.body, response.framing);
        let Some(transaction) = self.transactions.get_mut(&id) else {
            return;
        };
        transaction.upstream = None;
        if framing == Framing::UntilClose {
            log::info!(
                target: "request",
                "event=ended_by_close request={} attempt={} status={status} events={} {}",
                transaction.request_id,
                transaction.attempts(),
                transaction.splitter.event_count(),
                transaction.progress()
            );
        }
        let end = match classification {
            Classification::Success => {
                self.deliver(now, id, head, body);
                End::Done
            }
            Classification::Failure
                if promises_not_run(status)
                    && transaction.route.retry_policy == RetryPolicy::AtMostOnce =>
            {
                // The status promises that the request was not executed, but
                // the runner does not confirm it. The caller must not take the
                // status for that promise.
                End::Invalid
            }
            Classification::Failure => {
                transaction.fallback = Some(Fallback { head, body });
                End::RunnerFailed
            }
            Classification::Misdirected => End::Misdirected,
            Classification::NotExecuted => End::Rejected,
            Classification::RequestMismatch | Classification::Invalid(_) => End::Invalid,
        };
        if end != End::Done
            && let Some(transaction) = self.transactions.get(&id)
        {
            log::info!(
                target: "request",
                "event=attempt_failed request={} attempt={} status={status} end={end:?}",
                transaction.request_id,
                transaction.attempts()
            );
        }
        self.scheduler.finish_attempt(now, id, end);
        self.run_actions();
    }
}

/// Next step for a connection after its body was processed.
pub(super) enum Advance {
    /// Parse the head of the next response.
    Next,
    /// Stop parsing: more bytes are needed, or the attempt has ended.
    Stop,
}

/// Returns whether a caller may take the status for a promise that the request was
/// not executed. 421 does not reach this function, because it is classified as
/// misdirected.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
