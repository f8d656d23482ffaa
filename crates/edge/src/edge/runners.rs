//! Connections to runners: opening, reusing and closing them, and sending requests.

use std::io;
use std::net::SocketAddr;

use balsamchute_adapter::request::{self, Forwarded};
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::{Action, End, Id, Rationale};
use balsamchute_schedule::stream::Basis;

use crate::caller::MAX_UNSENT_BYTES;
use crate::edge::{Edge, Slot};
use crate::identity::IDENTIFY_TIMEOUT;
use crate::pool::Pool;
use crate::socket::{Input, Socket};
use crate::upstream::{Connection, Partial, Phase};

/// Timeout for connecting to a runner: several hundred round trips of less than a
/// millisecond. A runner that has not accepted by then counts as unreachable.
pub(super) const CONNECT_TIMEOUT: Span = Span(300);

/// Bodies up to this length are copied behind the head, so that one write sends both.
const MAX_COPIED_BYTES: usize = 16 * 1024;

impl Edge {
    /// Carries out the pending actions of the scheduler.
    pub(super) fn run_actions(&mut self) {
        loop {
            let actions = self.scheduler.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send {
                        id,
                        runner,
                        address,
                        rationale,
                    } => self.send_request(id, &runner, address, &rationale),
                    Action::Abandon { id } => self.withdraw(id),
                    Action::Refuse {
                        id,
                        refusal,
                        retry_after,
                        rationale,
                    } => self.refuse(id, refusal, retry_after, &rationale),
                    Action::DeliverFailure { id } => self.deliver_fallback(id),
                    Action::Fail { id, failure } => self.fail(id, failure),
                    Action::StoreRefusals => {
                        self.announced = false;
                        self.announce_at = self.now();
                    }
                    Action::Probe { runner, address } => self.probe(&runner, address),
                    Action::Limit { runner, per_second } => {
                        let per_second =
                            per_second.map_or_else(|| "-".to_owned(), |limit| limit.to_string());
                        log::info!(target: "runner", "event=runner_limited runner={runner} per_second={per_second}");
                    }
                    Action::Evacuation { domain, began } => self.log_evacuation(&domain, began),
                    Action::Cold(change) => self.log_cold(&change),
                    Action::Blame { part, crashes } => {
                        log::warn!(target: "runner", "event=part_blamed part={part:032x} crashes={crashes}");
                    }
                }
            }
        }
    }

    /// Sends a request to a runner, over an idle connection if there is one.
    fn send_request(
        &mut self,
        id: Id,
        runner: &Runner,
        address: SocketAddr,
        rationale: &Rationale,
    ) {
        let now = self.now();
        let Some(transaction) = self.transactions.get_mut(&id) else {
            return;
        };
        // A late copy of the runner's last answer on a connection that it used would be
        // taken for the answer to this attempt, which has the same id.
        let may_reuse = !transaction.runners.contains(runner);
        transaction.runners.push(runner.clone());
        transaction.fallback = None;
        transaction.is_process_named = false;
        transaction.splitter.start_part();
        let entry = self.registry.get(runner);
        let software = entry.map(|entry| &entry.software);
        let versions = self.scheduler.origins().versions();
        let listed_for = entry
            .and_then(|entry| versions.listed_for(now, &entry.service, &entry.software))
            .unwrap_or_default()
            // Versions in records count as listed at all times.
            .min(now.since(self.started));
        let list_age = rationale
            .basis
            .and_then(Basis::list_age)
            .unwrap_or_else(|| versions.confirmation_age(now));
        log::info!(
            target: "request",
            "event=send request={} attempt={} runner={runner} workspace={} software={:?} after={} resumes={:?} version_from={} listed_ms={} list_age_ms={} confirmed_by={} revision={} manifest={} waited_ms={} owed={} cost={:.0} served={:.0} share={:.0} unread={} shared={} chain={:x} estimate_ms={} running={} waiting={}",
            transaction.request_id,
            transaction.attempts(),
            transaction.workspace.as_ref().map_or("-", Workspace::as_str),
            software.map(ToString::to_string).unwrap_or_default(),
            transaction.resume_after().unwrap_or(0),
            transaction.resumes.as_deref().unwrap_or("-"),
            rationale.basis.map_or("-", Basis::as_str),
            listed_for.0,
            list_age.0,
            self.confirmer,
            self.registry.revision(),
            transaction.manifest,
            now.since(transaction.arrival).0,
            rationale.within_share,
            rationale.cost,
            rationale.served_cost,
            rationale.fair_share,
            rationale.prefill_tokens,
            rationale.shared_prefill_tokens,
            rationale.prefix_digest,
            rationale.first_event_estimate.0,
            rationale.running,
            rationale.queued_prefill_tokens
        );
        self.stats
            .record_sent(transaction, now.since(transaction.arrival));
        if let Some(basis) = rationale.basis {
            self.stats.count_resumption(basis);
        }
        let idle = match may_reuse {
            true => self.take_idle_connection(now, id, runner),
            false => None,
        };
        if let Some(index) = idle {
            if let Some(transaction) = self.transactions.get_mut(&id) {
                transaction.upstream = Some(index);
            }
            self.use_connection(now, index, id);
            return;
        }
        self.connect_for(now, id, runner, address);
    }

    /// Connects to a runner for a request.
    pub(super) fn connect_for(&mut self, now: Time, id: Id, runner: &Runner, address: SocketAddr) {
        match self.connect(now, Phase::Connecting(id), runner, address) {
            Ok(index) => {
                if let Some(transaction) = self.transactions.get_mut(&id) {
                    transaction.upstream = Some(index);
                }
            }
            Err(error) => {
                log::warn!(target: "runner", "event=connect_failed runner={runner} error={:?}", error.to_string());
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                self.scheduler
                    .finish_attempt(now, id, End::NoConnection { refused });
            }
        }
    }

    pub(super) fn connect(
        &mut self,
        now: Time,
        phase: Phase,
        runner: &Runner,
        address: SocketAddr,
    ) -> io::Result<usize> {
        let socket = Socket::connect(address)?.with_send_buffer_limit();
        let entry = self.registry.get(runner);
        let connection = Connection::new(now, socket, runner.clone(), address, entry, phase);
        let index = self.slots.insert(Slot::Upstream(Box::new(connection)));
        if let Err(error) = self.register(index) {
            self.close(index);
            return Err(error);
        }
        Ok(index)
    }

    /// Connects to a runner to learn whether it accepts connections.
    fn probe(&mut self, runner: &Runner, address: SocketAddr) {
        let now = self.now();
        if let Err(error) = self.connect(now, Phase::Probing, runner, address)
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            self.record_refused_probe(now, runner);
        }
    }

    pub(super) fn record_refused_probe(&mut self, now: Time, runner: &Runner) {
        log::info!(target: "runner", "event=probe_refused runner={runner}");
        self.scheduler.record_refused_probe(now, runner);
    }

    /// Continues a connection that shows whether the runner lives. Once established it is
    /// kept for the next request.
    fn continue_probe(&mut self, index: usize) {
        let now = self.now();
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        let runner = connection.runner.clone();
        match connection.socket.check_connected() {
            Ok(false) => {}
            Ok(true) => {
                connection.established_at = Some(self.clock.now());
                self.keep_unused(now, index);
            }
            Err(error) => {
                self.close(index);
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    self.record_refused_probe(now, &runner);
                    self.run_actions();
                }
            }
        }
    }

    /// Keeps a connection that has carried no request, or only one for a report.
    pub(super) fn keep_unused(&mut self, now: Time, index: usize) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        connection.phase = Phase::Idle(Connection::unused_deadline(now));
        connection.since = now;
        let runner = connection.runner.clone();
        self.keep_idle(now, index, &runner);
    }

    /// Adds an idle connection to the pool; closes the oldest one beyond the limit.
    pub(super) fn keep_idle(&mut self, now: Time, index: usize, runner: &Runner) {
        let limit = self.idle_limit(now, runner);
        if let Some(oldest) = self.pool.put(runner, index, limit) {
            self.close(oldest);
        }
    }

    /// Returns an idle connection to the process of the runner that is listed. Notices on a
    /// connection count for the process that was listed when it was made. Leaves connections of
    /// unknown processes in the pool if the request needs to know it.
    fn take_idle_connection(&mut self, now: Time, id: Id, runner: &Runner) -> Option<usize> {
        let entry = self.registry.get(runner).cloned();
        let needs_process = self.scheduler.needs_process(id);
        let mut unverified = Vec::new();
        let mut found = None;
        while let Some(index) = self.pool.take(runner) {
            match self.slots.get(index) {
                Some(Slot::Upstream(connection)) => match connection.phase {
                    Phase::Idle(deadline)
                        if now < deadline
                            && entry
                                .as_ref()
                                .is_some_and(|entry| connection.belongs_to(entry)) =>
                    {
                        if !connection.socket.is_open() {
                            // Its event is not handled yet, or came with bytes that were read.
                            self.read_upstream(index, true);
                        } else if !needs_process || connection.is_verified {
                            found = Some(index);
                            break;
                        } else {
                            unverified.push(index);
                        }
                    }
                    _ => self.close(index),
                },
                _ => continue,
            }
        }
        for index in unverified.into_iter().rev() {
            self.keep_idle(now, index, runner);
        }
        found
    }

    pub(super) fn write_request(&mut self, now: Time, index: usize, id: Id) {
        let (Some(Slot::Upstream(connection)), Some(transaction)) =
            (self.slots.get_mut(index), self.transactions.get(&id))
        else {
            return;
        };
        connection.is_reused |= matches!(connection.phase, Phase::Idle(_));
        connection.phase = Phase::Busy(id);
        connection.since = now;
        connection.open_at = now;
        connection.response = None;
        connection.answered_after = None;
        connection.withheld = 0;
        let forwarded = Forwarded {
            runner: &connection.runner,
            workspace: transaction.workspace.as_ref(),
            time_left: transaction.deadline.since(now),
            last_event_id: transaction.resume_after(),
            body: &transaction.body,
            has_body: transaction.has_body,
        };
        let buffer = connection.socket.write_buffer();
        if transaction.body.len() <= MAX_COPIED_BYTES {
            request::encode(buffer, &transaction.head, &forwarded);
        } else {
            request::encode_head(buffer, &transaction.head, &forwarded);
            connection.socket.append_shared(transaction.body.clone());
        }
        // The runner may have received bytes even if the write fails.
        self.scheduler.record_write(id);
        connection.socket.flush();
        if connection.socket.is_broken() {
            self.read_upstream(index, true);
        }
    }

    pub(super) fn handle_upstream_ready(&mut self, index: usize) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        match connection.phase {
            Phase::Connecting(id) => return self.continue_connecting(index, id),
            Phase::Probing => return self.continue_probe(index),
            Phase::Witness => return self.handle_witness_ready(index),
            Phase::Confirming(_) => return,
            Phase::Asking(id) => return self.read_report(index, id),
            Phase::Identifying(_) | Phase::Busy(_) | Phase::Idle(_) => {}
        }
        if connection.ended_at.is_some() {
            return;
        }
        // A failed write does not end the connection here: an answer may wait to be read.
        connection.socket.flush();
        // Bytes that waited during a pause arrived at an unknown time.
        let has_just_arrived = !connection.is_read_paused;
        self.read_upstream(index, has_just_arrived);
    }

    fn continue_connecting(&mut self, index: usize, id: Id) {
        let now = self.now();
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        match connection.socket.check_connected() {
            Ok(true) => {
                connection.established_at = Some(self.clock.now());
                self.note_open_connections(now, index);
                self.use_new_connection(now, index, id);
            }
            Ok(false) => {}
            Err(error) => {
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                self.handle_connect_failure(now, index, id, refused);
            }
        }
    }

    /// Ends an attempt for which no connection was established. `refused` means
    /// that the runner's machine refused it, as opposed to a timeout or another
    /// error.
    pub(super) fn handle_connect_failure(
        &mut self,
        now: Time,
        index: usize,
        id: Id,
        refused: bool,
    ) {
        if let Some(Slot::Upstream(connection)) = self.slots.get(index) {
            log::info!(
                target: "runner",
                "event=no_connection runner={} refused={refused}",
                connection.runner
            );
        }
        self.detach(index, id);
        self.scheduler
            .finish_attempt(now, id, End::NoConnection { refused });
        self.run_actions();
    }

    /// Closes a connection to a runner and removes it from its transaction.
    pub(super) fn detach(&mut self, index: usize, id: Id) {
        self.close(index);
        if let Some(transaction) = self.transactions.get_mut(&id) {
            transaction.upstream = None;
        }
    }

    /// Reads from a runner until no bytes are left, or until the caller's
    /// unsent bytes exceed the limit.
    pub(super) fn read_upstream(&mut self, index: usize, has_just_arrived: bool) {
        loop {
            if self.update_read_pause(index) {
                // The answer may begin to arrive during the pause.
                if let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) {
                    connection.answered_after.get_or_insert(self.arrived_after);
                }
                self.keep_witness(index, has_just_arrived.then(|| self.now()));
                return;
            }
            // The process may be stopped between a reading and the clock.
            let read_at = self.now();
            match self.read(index) {
                Input::Bytes(length) => self.receive_upstream_bytes(index, length),
                Input::WouldBlock => {
                    self.keep_witness(index, Some(read_at));
                    return;
                }
                Input::Eof => {
                    self.handle_upstream_closed(index, false);
                    return;
                }
                Input::Broken => {
                    self.handle_upstream_closed(index, true);
                    return;
                }
            }
        }
    }

    /// Pauses or resumes reading from a runner by the caller's unsent bytes.
    /// Returns whether to stop reading: it is paused, or the connection is closed.
    fn update_read_pause(&mut self, index: usize) -> bool {
        let Some(Slot::Upstream(connection)) = self.slots.get(index) else {
            return true;
        };
        let (was_paused, id) = (connection.is_read_paused, connection.request());
        let caller = id
            .and_then(|id| self.transactions.get(&id))
            .map(|transaction| transaction.caller);
        let unsent = match caller.and_then(|caller| self.slots.get(caller)) {
            Some(Slot::Caller(caller)) => caller.socket.unsent(),
            _ => 0,
        };
        let is_read_paused = unsent > MAX_UNSENT_BYTES;
        if let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) {
            connection.is_read_paused = is_read_paused;
        }
        if let (true, Some(id)) = (is_read_paused != was_paused, id) {
            let now = self.now();
            self.scheduler.set_read_paused(now, id, is_read_paused);
        }
        is_read_paused
    }

    /// Resumes reading from the runner of a request after the unsent bytes to the
    /// caller were written.
    pub(super) fn resume_upstream(&mut self, id: Id) {
        let index = self
            .transactions
            .get(&id)
            .and_then(|transaction| transaction.upstream);
        let is_read_paused = match index.and_then(|index| self.slots.get(index)) {
            Some(Slot::Upstream(connection)) => connection.is_read_paused,
            _ => false,
        };
        if let (true, Some(index)) = (is_read_paused, index) {
            self.read_upstream(index, false);
        }
    }

    /// Takes the response off a connection, and returns the connection to the
    /// pool if it can be reused.
    pub(super) fn release_connection(&mut self, now: Time, index: usize) -> Option<Partial> {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return None;
        };
        let reuse_deadline = connection.reuse_deadline(now);
        let response = connection.response.take()?;
        match reuse_deadline {
            Some(deadline) => {
                connection.phase = Phase::Idle(deadline);
                connection.since = now;
                connection.input = Vec::new();
                let runner = connection.runner.clone();
                self.keep_idle(now, index, &runner);
            }
            None => self.close(index),
        }
        Some(response)
    }

    /// Returns the number of idle connections that this router may keep to a
    /// runner.
    fn idle_limit(&self, now: Time, runner: &Runner) -> usize {
        let service = self.registry.get(runner).map(|entry| &entry.service);
        let services = self.manifest.as_ref().map(|manifest| &manifest.services);
        let spec = service.and_then(|service| services?.get(service));
        // Counts routers over the window of the retry budget; one that restarts
        // within it still counts.
        let window = self.settings.bounds.retry_window;
        let routers = self.peers.count_seen_within(now, window) + 1;
        // A runner that is no longer listed gets no more requests.
        spec.map_or(0, |spec| Pool::idle_limit(spec.max_connections, routers))
    }

    /// Ends an attempt whose response cannot be used.
    pub(super) fn fail_invalid_response(&mut self, index: usize, id: Id, reason: &str) {
        let now = self.now();
        if let Some(transaction) = self.transactions.get(&id) {
            log::warn!(
                target: "request",
                "event=invalid_answer request={} attempt={} reason={reason:?}",
                transaction.request_id,
                transaction.attempts()
            );
        }
        self.detach(index, id);
        self.scheduler.finish_attempt(now, id, End::Invalid);
        self.run_actions();
    }

    /// Handles the end of a connection to a runner: a close by the runner, or a
    /// failure if `is_reset`.
    pub(super) fn handle_upstream_closed(&mut self, index: usize, is_reset: bool) {
        let now = self.now();
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        let id = match connection.phase {
            Phase::Idle(_) => {
                self.handle_idle_end(now, index);
                return;
            }
            Phase::Probing | Phase::Witness | Phase::Confirming(_) => {
                self.close(index);
                return;
            }
            Phase::Asking(_) => {
                let address = connection.address;
                self.endings.record_loss(now, address);
                self.close(index);
                return;
            }
            // A reset while connecting counts as a refusal.
            Phase::Connecting(id) => {
                self.handle_connect_failure(now, index, id, is_reset);
                return;
            }
            // The runner may close connections on requests that it does not know.
            Phase::Identifying(id) if !is_reset && connection.input.is_empty() => {
                self.settle_identity(now, index, id, None);
                return;
            }
            Phase::Identifying(id) => {
                self.handle_connect_failure(now, index, id, false);
                return;
            }
            Phase::Busy(id) => id,
        };
        // A runner in trouble may end an answer before it has read the request, and live on.
        let is_sent = connection.socket.unsent() == 0;
        match connection.ends_by_close() && is_sent && !is_reset {
            true => self.confirm_end(now, index, id),
            false => {
                let address = connection.address;
                self.endings.record_loss(now, address);
                self.fail_broken_response(index, id, is_reset);
            }
        }
    }

    /// Ends an attempt whose response broke off, by a reset or otherwise.
    pub(super) fn fail_broken_response(&mut self, index: usize, id: Id, is_reset: bool) {
        let now = self.now();
        let (Some(Slot::Upstream(connection)), Some(transaction)) =
            (self.slots.get(index), self.transactions.get(&id))
        else {
            return;
        };
        log::info!(
            target: "request",
            "event=runner_broke request={} attempt={} runner={} reset={is_reset} failure={} unsent={} reused={} after_ms={} events={} framing={} partial={} {}",
            transaction.request_id,
            transaction.attempts(),
            connection.runner,
            connection.socket.failure().map_or_else(|| "-".to_owned(), |failure| failure.to_string()),
            connection.socket.unsent(),
            connection.is_reused,
            now.since(connection.since).0,
            transaction.splitter.event_count(),
            connection.response.as_ref().map_or("-", |response| response.framing.as_str()),
            transaction.splitter.partial_len(),
            transaction.progress()
        );
        let runner = connection.runner.clone();
        let is_alive = self.outlives(index);
        self.detach(index, id);
        self.scheduler.finish_attempt(now, id, End::Broke);
        if is_alive {
            self.scheduler.record_alive(&runner);
        }
        self.run_actions();
    }

    /// Closes the connection to an unresponsive runner; the scheduler retries
    /// the request at another one.
    fn withdraw(&mut self, id: Id) {
        let Some(transaction) = self.transactions.get_mut(&id) else {
            return;
        };
        log::info!(
            target: "request",
            "event=withdraw request={} attempt={} events={} {}",
            transaction.request_id,
            transaction.attempts(),
            transaction.splitter.event_count(),
            transaction.progress()
        );
        if let Some(index) = transaction.upstream.take() {
            self.close(index);
        }
    }

    /// Closes connections to runners that exceed a timeout.
    pub(super) fn sweep_upstreams(&mut self, now: Time) {
        let mut expired = Vec::new();
        let mut timed_out = Vec::new();
        let mut unidentified = Vec::new();
        for (index, slot) in &self.slots {
            let Slot::Upstream(connection) = slot else {
                continue;
            };
            match connection.phase {
                Phase::Idle(deadline) if now >= deadline => expired.push(index),
                Phase::Probing if now.since(connection.since) > CONNECT_TIMEOUT => {
                    expired.push(index);
                }
                Phase::Connecting(id) if now.since(connection.since) > CONNECT_TIMEOUT => {
                    timed_out.push((index, id));
                }
                Phase::Identifying(id) if now.since(connection.since) > IDENTIFY_TIMEOUT => {
                    unidentified.push((index, id));
                }
                _ => {}
            }
        }
        for index in expired {
            self.close(index);
        }
        for (index, id) in timed_out {
            self.handle_connect_failure(now, index, id, false);
        }
        for (index, id) in unidentified {
            self.end_identification(now, index, id);
        }
        self.sweep_witnesses(now);
    }
}
