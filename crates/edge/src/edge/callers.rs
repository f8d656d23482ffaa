//! Connections of callers: reading requests, ending responses, and detecting disconnects.

use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;
use balsamchute_wire::record::Outcome;

use crate::caller::{Fault, Phase as CallerPhase, Step};
use crate::edge::requests::Rejection;
use crate::edge::{Edge, Slot};
use crate::socket::Input;
use crate::transaction::Transaction;

/// Time that a caller may take to send a body, however steadily it arrives.
const MAX_UPLOAD_TIME: Span = Span::from_secs(60);

/// Reads from one connection in one turn of the event loop. A caller that sends as fast as
/// the router reads must not hold up the other connections.
pub(super) const MAX_READS_PER_TURN: usize = 4;

/// Bytes that are read from all callers in one turn. A MiB of small chunks takes about 3 ms of
/// a core, and the smallest machines have a tenth of one.
const MAX_BYTES_PER_TURN: usize = 1024 * 1024;

/// Time that a connection waits for the caller to close it, or for more of the request that
/// it still sends, after the last response. While the router shuts down, also the idle time
/// after which a connection of a caller is closed.
const CLOSING_TIMEOUT: Span = Span(1000);

/// Time after the last response for which a caller may go on to send its request. A close
/// with unread bytes resets the connection, and the caller may lose the response.
const MAX_CLOSING_TIME: Span = Span::from_secs(10);

impl Edge {
    /// Writes what is unsent, goes on with a request that waits in the input, and reads.
    pub(super) fn handle_caller_ready(&mut self, index: usize) {
        self.flush_caller(index);
        if let Some(Slot::Caller(connection)) = self.slots.get(index)
            && connection.has_waiting_input()
        {
            self.advance_caller(index);
        }
        for _ in 0..MAX_READS_PER_TURN {
            if self.turn_bytes >= MAX_BYTES_PER_TURN {
                break;
            }
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
                    self.turn_bytes += length;
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
                    let rejection = self.rejection_of(now, &fault);
                    self.reject_unread(index, None, &rejection);
                    return;
                }
            }
        }
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

    /// Returns the limits for callers that are in force.
    pub(super) fn caller_limits(&self) -> Limits {
        let manifest = self.manifest.as_ref();
        manifest.map_or_else(Limits::default, |manifest| manifest.limits)
    }

    /// Returns the rejection of a request that was not read whole. Whether it exceeds the limits
    /// is not known without a manifest.
    fn rejection_of(&self, now: Time, fault: &Fault) -> Rejection {
        let (status, reason) = match fault {
            Fault::Malformed(error) => return Rejection::new(400, error.to_string()),
            Fault::HeadTooLong => (431, "the head is larger than the limit"),
            Fault::BodyTooLong => (413, "the body is larger than the limit"),
        };
        match self.usable_manifest(now) {
            Ok(_) => Rejection::new(status, reason),
            Err(rejection) => rejection,
        }
    }

    /// Rejects a request and continues with the next one of the connection.
    pub(super) fn reject(
        &mut self,
        now: Time,
        index: usize,
        request_id: Option<&str>,
        rejection: &Rejection,
    ) {
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
