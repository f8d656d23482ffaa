//! Which process of a runner a connection leads to, before streams begin or go on there.

use balsamchute_adapter::request;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::{End, Id};
use balsamchute_schedule::process::Process;

use crate::edge::{Edge, Slot};
use crate::identity::Identity;
use crate::upstream::Phase;

impl Edge {
    /// Sends a request over a connection that is new, or asks first which process it leads to.
    pub(super) fn use_new_connection(&mut self, now: Time, index: usize, id: Id) {
        let Some(transaction) = self.transactions.get_mut(&id) else {
            return;
        };
        if transaction.is_process_named || !self.scheduler.needs_process(id) {
            self.use_connection(now, index, id);
            return;
        }
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        connection.phase = Phase::Identifying(id);
        connection.since = now;
        request::encode_report(connection.socket.write_buffer(), connection.address);
        connection.socket.flush();
        if connection.socket.is_broken() {
            self.handle_connect_failure(now, index, id, false);
        }
    }

    /// Sends a request, unless it continues a stream that another process may answer.
    pub(super) fn use_connection(&mut self, now: Time, index: usize, id: Id) {
        let Some(Slot::Upstream(connection)) = self.slots.get(index) else {
            return;
        };
        if connection.is_verified {
            self.scheduler.set_verified(id);
        }
        match self.scheduler.may_send(now, id) {
            true => self.write_request(now, index, id),
            false => self.leave_unsent(now, index, id),
        }
    }

    /// Reads the response to the question which process answers.
    pub(super) fn advance_report(&mut self, index: usize, id: Id) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        if let Some(identity) = Identity::parse(&connection.input) {
            connection.input.clear();
            let now = self.now();
            self.settle_identity(now, index, id, Some(identity));
        }
    }

    /// Decides what becomes of a request whose connection has not answered in time. A response
    /// may have arrived that is not read yet.
    pub(super) fn end_identification(&mut self, now: Time, index: usize, id: Id) {
        self.read_upstream(index, false);
        if let Some(Slot::Upstream(connection)) = self.slots.get(index)
            && matches!(connection.phase, Phase::Identifying(waiting) if waiting == id)
        {
            self.settle_identity(now, index, id, None);
        }
    }

    /// Records which process a connection leads to, and sends its request or not. `identity` is
    /// `None` if the runner did not answer in time.
    pub(super) fn settle_identity(
        &mut self,
        now: Time,
        index: usize,
        id: Id,
        identity: Option<Identity>,
    ) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        let (runner, address) = (connection.runner.clone(), connection.address);
        let entry = self.registry.get(&runner);
        let is_listed = entry.is_some();
        // The entry of another process has arrived since, of which this connection shows nothing.
        let is_relisted = entry.is_some_and(|entry| !connection.belongs_to(entry));
        let listed = entry.map_or(connection.started_at, |entry| entry.started_at);
        let is_reusable = identity.is_some_and(|identity| identity.is_reusable);
        let started_at = identity.and_then(|identity| identity.started_at);
        let process = match Process::new(listed, started_at) {
            // The request goes over another connection, which may lead to another process.
            Process::Listed if !is_reusable && !is_listed => Process::Unnamed,
            process => process,
        };
        connection.is_verified = process == Process::Listed;
        if let (true, Some(entry)) = (connection.is_verified, entry) {
            connection.started_at = entry.started_at;
            connection.software = entry.software.clone();
        }
        // The runner may send its response twice.
        connection.is_reused = process == Process::Unnamed;
        let is_named = process != Process::Unnamed;
        let mut transaction = self.transactions.get_mut(&id);
        if let Some(transaction) = &mut transaction {
            transaction.is_process_named = is_named;
        }
        log::info!(
            target: "runner",
            "event=process_{} runner={runner} request={} listed={listed} started_at={} answered={} reusable={is_reusable} after_ms={}",
            process.as_str(),
            transaction.map_or("-", |transaction| transaction.request_id.as_str()),
            started_at.unwrap_or(0),
            identity.is_some(),
            now.since(connection.since).0
        );
        self.stats.count_process(process);
        if is_relisted && (process != Process::Listed || !is_reusable) {
            self.leave_unsent(now, index, id);
            return;
        }
        match (identity, process) {
            (None, _) => self.scheduler.record_silence(now, &runner),
            (Some(_), Process::Listed) if !is_reusable => {
                self.scheduler.record_listed(now, &runner);
            }
            (Some(identity), _) if identity.is_failed && is_listed => {
                self.scheduler.record_silence(now, &runner);
            }
            (Some(_), _) => self.scheduler.record_process(now, id, process),
        }
        let may_send = self.scheduler.may_send(now, id);
        if may_send && is_reusable {
            self.write_request(now, index, id);
        } else if may_send && (is_named || !self.scheduler.needs_process(id)) {
            self.detach(index, id);
            self.connect_for(now, id, &runner, address);
        } else {
            self.leave_unsent(now, index, id);
        }
    }

    /// Closes a connection whose request was not sent.
    fn leave_unsent(&mut self, now: Time, index: usize, id: Id) {
        self.detach(index, id);
        self.scheduler.finish_attempt(now, id, End::NotSent);
        self.run_actions();
    }

    /// Notes which connections to a runner are open when another one is established: that one
    /// leads to the same process. Answers that end with their connection have their own witness.
    pub(super) fn note_open_connections(&mut self, now: Time, index: usize) {
        let runner = match self.slots.get(index) {
            Some(Slot::Upstream(connection)) => connection.runner.clone(),
            _ => return,
        };
        for (other, slot) in &mut self.slots {
            if let Slot::Upstream(connection) = slot
                && other != index
                && connection.runner == runner
                && connection.established_at.is_some()
                && !connection.ends_by_close()
                && connection.socket.is_open()
            {
                connection.open_at = now;
            }
        }
    }

    /// Returns whether a connection is open that leads to the same process as this one, which
    /// has ended.
    pub(super) fn outlives(&self, index: usize) -> bool {
        let Some(Slot::Upstream(ended)) = self.slots.get(index) else {
            return false;
        };
        self.slots.iter().any(|(other, slot)| match slot {
            Slot::Upstream(connection) => {
                other != index
                    && connection.runner == ended.runner
                    && connection
                        .established_at
                        .is_some_and(|at| at <= ended.open_at)
                    && connection.socket.is_open()
            }
            _ => false,
        })
    }

    /// Handles the end of an idle connection. A runner that has announced how long it keeps it
    /// may have ended.
    pub(super) fn handle_idle_end(&mut self, now: Time, index: usize) {
        let Some(Slot::Upstream(connection)) = self.slots.get(index) else {
            return;
        };
        let runner = connection.runner.clone();
        let is_early = connection.is_idle_time_known;
        let opened_at = connection.established_at.unwrap_or(now);
        let is_alive = self.outlives(index);
        self.close(index);
        if is_early {
            log::info!(target: "runner", "event=idle_connection_ended runner={runner} alive={is_alive}");
            self.scheduler.record_early_end(now, &runner, opened_at);
            if is_alive {
                self.scheduler.record_alive(&runner);
            }
        }
    }
}
