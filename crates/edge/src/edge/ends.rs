//! Ends of answers that have neither a length nor chunks and end with their connection.

use std::collections::HashMap;
use std::net::SocketAddr;

use balsamchute_adapter::request;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;
use balsamchute_schedule::process::Process;
use stakker::CX;

use crate::edge::responses::Advance;
use crate::edge::runners::CONNECT_TIMEOUT;
use crate::edge::{Edge, Slot};
use crate::ending::{Contact, Ending, Evidence, MAX_SHORT_BYTES, SETTLE_TIME};
use crate::identity::Identity;
use crate::socket::Input;
use crate::upstream::Phase;

impl Edge {
    /// Keeps a connection to the runner of an answer that will end with its own: a witness
    /// that the process lives. `open_at` is a time at which the runner is known to have had
    /// the answer's connection open, if it is later than the last one.
    pub(super) fn keep_witness(&mut self, index: usize, open_at: Option<Time>) {
        let connection = match self.slots.get_mut(index) {
            Some(Slot::Upstream(connection)) if connection.ends_by_close() => connection,
            _ => return,
        };
        connection.open_at = open_at.unwrap_or(connection.open_at);
        let (address, runner) = (connection.address, connection.runner.clone());
        if !self.endings.witnesses.contains_key(&address) {
            self.open_witness(&runner, address);
        }
    }

    fn open_witness(&mut self, runner: &Runner, address: SocketAddr) {
        let now = self.now();
        let witness = self.connect(now, Phase::Witness, runner, address).ok();
        self.endings.witnesses.insert(address, witness);
    }

    /// Notes that a witness is established, or that it has ended.
    pub(super) fn handle_witness_ready(&mut self, index: usize) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        let address = connection.address;
        let connected = connection.socket.check_connected();
        // The process may be stopped between a reading and the clock: a connection was
        // established before this time, and one that is found open afterwards was open at it.
        let now = self.clock.now();
        let is_lost = match connected {
            Ok(false) => return,
            Ok(true) if connection.socket.is_open() => {
                if connection.established_at.is_none() {
                    connection.established_at = Some(now);
                    self.note_open_answers(now, address);
                }
                return;
            }
            Ok(true) => true,
            // A runner at its limit of connections resets new ones.
            Err(_) => {
                let established_at = connection.established_at;
                established_at.is_some_and(|at| now.since(at) >= SETTLE_TIME)
            }
        };
        if is_lost {
            self.endings.record_loss(now, address);
        }
        self.close(index);
    }

    /// Notes which answers from this address were open when a witness was established.
    fn note_open_answers(&mut self, now: Time, address: SocketAddr) {
        for (_, slot) in &mut self.slots {
            if let Slot::Upstream(connection) = slot
                && connection.address == address
                && connection.ends_by_close()
                && connection.socket.is_open()
            {
                connection.open_at = now;
            }
        }
    }

    /// Replaces witnesses that runners have closed, and closes those that no answer needs.
    pub(super) fn sweep_witnesses(&mut self, now: Time) {
        self.endings.expire(now);
        if self.endings.witnesses.is_empty() {
            return;
        }
        let needed: HashMap<SocketAddr, Runner> = self
            .slots
            .iter()
            .filter_map(|(_, slot)| match slot {
                Slot::Upstream(connection) if connection.ends_by_close() => {
                    Some((connection.address, connection.runner.clone()))
                }
                _ => None,
            })
            .collect();
        for (address, witness) in self.endings.witnesses.clone() {
            match (needed.get(&address), witness) {
                (Some(runner), None) => self.open_witness(runner, address),
                (Some(_), Some(_)) => {}
                (None, witness) => {
                    self.endings.witnesses.remove(&address);
                    if let Some(index) = witness {
                        self.close(index);
                    }
                }
            }
        }
    }

    /// Connects to the runner of an answer that has ended with its connection, and leaves
    /// the answer to [`settle_endings`](Self::settle_endings).
    pub(super) fn confirm_end(&mut self, now: Time, index: usize, id: Id) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        connection.ended_at = Some(now);
        let answered_after = connection.answered_after.unwrap_or(connection.since);
        let (runner, address) = (connection.runner.clone(), connection.address);
        let (open_at, started_at) = (connection.open_at, connection.started_at);
        let arrived_after = self.arrived_after;
        let request = self.transactions.get(&id);
        let is_upload = request.is_some_and(|request| request.body.len() > MAX_SHORT_BYTES);
        let deadline = request.map_or(now, |request| request.deadline);
        match self.connect(now, Phase::Confirming(id), &runner, address) {
            Ok(contact_index) => self.endings.waiting.push(Ending {
                id,
                index,
                ended_at: now,
                arrived_after,
                open_at,
                is_brief: now.since(answered_after) < SETTLE_TIME,
                is_upload,
                deadline,
                runner,
                address,
                contact_index,
                asked_index: None,
                started_at,
                reported: None,
                contact: Contact::Pending,
            }),
            Err(error) => {
                let contact = Contact::of_error(&error);
                let request = self.transactions.get(&id);
                log::info!(
                    target: "request",
                    "event=end_judged request={} runner={runner} complete=false contact={}",
                    request.map_or("-", |transaction| &transaction.request_id),
                    contact.as_str()
                );
                self.fail_broken_response(index, id, false);
                self.record_contact(now, &runner, contact);
            }
        }
    }

    fn record_contact(&mut self, now: Time, runner: &Runner, contact: Contact) {
        if contact == Contact::Refused {
            self.record_refused_probe(now, runner);
            self.run_actions();
        }
    }

    /// Returns the time after which [`settle_endings`](Self::settle_endings) should run again,
    /// if that is earlier than the next tick.
    pub fn next_settlement(&self) -> Option<Span> {
        self.endings.next_due(self.now())
    }

    /// Ends the answers whose evidence is complete.
    pub fn settle_endings(&mut self, _cx: CX![]) {
        let now = self.now();
        for mut ending in std::mem::take(&mut self.endings.waiting) {
            if ending.contact.is_open() && ending.asked_index != Some(ending.contact_index) {
                ending.contact = self.contact(now, &ending);
            }
            self.ask(&mut ending);
            let is_settled = now >= ending.due_at();
            match ending.contact {
                _ if ending.has_report() && is_settled => self.settle(now, &ending),
                Contact::Refused => self.settle(now, &ending),
                Contact::Pending => self.endings.waiting.push(ending),
                _ if is_settled => self.settle(now, &ending),
                _ => self.endings.waiting.push(ending),
            }
        }
    }

    fn settle(&mut self, now: Time, ending: &Ending) {
        let evidence = self.evidence(ending);
        if let Some(Slot::Upstream(connection)) = self.slots.get_mut(ending.contact_index)
            && matches!(connection.phase, Phase::Confirming(id) if id == ending.id)
        {
            if ending.contact == Contact::Accepted {
                connection.established_at = Some(self.clock.now());
                self.keep_unused(now, ending.contact_index);
            } else {
                self.close(ending.contact_index);
            }
        }
        if let Some(index) = ending.asked_index
            && ending.reported.is_none()
            && self.is_asked(index, ending.id)
        {
            self.close(index);
        }
        self.finish_ended_response(ending, &evidence);
        self.record_contact(now, &ending.runner, ending.contact);
    }

    /// Asks the runner for its report over a connection that was made before the end of the
    /// answer, or over the one made afterwards.
    fn ask(&mut self, ending: &mut Ending) {
        if ending.reported.is_some() {
            return;
        }
        if let Some(index) = ending.asked_index {
            if self.is_asked(index, ending.id) {
                return;
            }
            ending.asked_index = None;
            if index == ending.contact_index {
                ending.contact = Contact::Closed;
            }
        }
        let is_contact_usable = ending.contact == Contact::Accepted;
        let contact_index = is_contact_usable.then_some(ending.contact_index);
        let Some(index) = self.find_witness(ending).or(contact_index) else {
            return;
        };
        let witness = self.endings.witnesses.get_mut(&ending.address);
        if let Some(witness) = witness.filter(|witness| **witness == Some(index)) {
            *witness = None;
        }
        self.pool.remove(&ending.runner, index);
        let now = self.now();
        if let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) {
            connection.phase = Phase::Asking(ending.id);
            connection.since = now;
            connection.established_at.get_or_insert(now);
            connection.response = None;
            request::encode_report(connection.socket.write_buffer(), connection.address);
            connection.socket.flush();
            ending.asked_index = Some(index);
        }
    }

    /// Returns whether a connection carries the request for a report after this answer.
    fn is_asked(&self, index: usize, id: Id) -> bool {
        matches!(
            self.slots.get(index),
            Some(Slot::Upstream(connection))
                if matches!(connection.phase, Phase::Asking(asked) if asked == id)
        )
    }

    /// Returns an open connection without a request that was made before the end.
    fn find_witness(&self, ending: &Ending) -> Option<usize> {
        let mut slots = self.slots.iter();
        let found = slots.find(|(_, slot)| match slot {
            Slot::Upstream(connection) => {
                let established_at = connection.established_at;
                matches!(connection.phase, Phase::Witness | Phase::Idle(_))
                    && connection.address == ending.address
                    && established_at.is_some_and(|at| ending.is_witnessed_by(at))
                    && connection.socket.is_open()
            }
            _ => false,
        });
        found.map(|(index, _)| index)
    }

    /// Reads a report that was asked for after the end of an answer.
    pub(super) fn read_report(&mut self, index: usize, id: Id) {
        loop {
            let input = self.read(index);
            let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
                return;
            };
            match input {
                Input::Bytes(length) => {
                    let bytes = &self.read_buffer[..length];
                    connection.input.extend_from_slice(bytes);
                }
                Input::WouldBlock => {
                    connection.socket.flush();
                    return;
                }
                Input::Eof | Input::Broken => {
                    self.handle_upstream_closed(index, input == Input::Broken);
                    return;
                }
            }
            if let Some(identity) = Identity::parse(&connection.input) {
                self.settle_report(index, id, identity);
                return;
            }
        }
    }

    /// Records which process has sent a report, and keeps its connection for the next request.
    fn settle_report(&mut self, index: usize, id: Id, identity: Identity) {
        let now = self.now();
        let mut endings = self.endings.waiting.iter_mut();
        let asked = endings.find(|ending| ending.asked_index == Some(index) && ending.id == id);
        if let (Some(ending), true) = (asked, identity.is_report) {
            ending.reported = Some(Process::new(ending.started_at, identity.started_at));
        }
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        if !identity.is_reusable {
            self.close(index);
            return;
        }
        connection.input.clear();
        connection.is_verified =
            Process::new(connection.started_at, identity.started_at) == Process::Listed;
        self.keep_unused(now, index);
    }

    /// Returns what became of the connection made after the end of an answer.
    fn contact(&self, now: Time, ending: &Ending) -> Contact {
        let connection = match self.slots.get(ending.contact_index) {
            Some(Slot::Upstream(connection)) if matches!(connection.phase, Phase::Confirming(id) if id == ending.id) => {
                connection
            }
            _ => return Contact::Failed,
        };
        match connection.socket.check_connected() {
            Ok(true) if connection.socket.is_open() => Contact::Accepted,
            Ok(true) => Contact::Closed,
            Ok(false) if now.since(ending.ended_at) > CONNECT_TIMEOUT => Contact::Silent,
            Ok(false) => Contact::Pending,
            Err(error) => Contact::of_error(&error),
        }
    }

    /// Returns what speaks for and against the end of an answer. Reads the state of the
    /// sockets, whose events may still wait.
    fn evidence(&self, ending: &Ending) -> Evidence {
        let request = self.transactions.get(&ending.id);
        let was_reset = match self.slots.get(ending.index) {
            Some(Slot::Upstream(connection)) => connection.socket.failure().is_some(),
            _ => false,
        };
        let mut evidence = Evidence {
            contact: ending.contact,
            has_report: ending.has_report(),
            is_replaced: ending.is_replaced(),
            has_witness: false,
            lost_witness: self.endings.has_loss(ending),
            is_brief: ending.is_brief,
            was_reset,
            is_past_deadline: request.is_none_or(|request| ending.is_past(request.deadline)),
        };
        for (_, slot) in &self.slots {
            let Slot::Upstream(connection) = slot else {
                continue;
            };
            let established_at = connection.established_at;
            if connection.address != ending.address
                || connection.ended_at.is_some()
                || !established_at.is_some_and(|at| ending.is_witnessed_by(at))
            {
                continue;
            }
            match (connection.socket.is_open(), &connection.phase) {
                (true, _) => {
                    evidence.has_witness = true;
                    break;
                }
                (false, Phase::Witness) => evidence.lost_witness = true,
                (false, _) => {}
            }
        }
        evidence
    }

    /// Ends the response of a connection that the runner has closed in good order, unless
    /// the request has left the connection meanwhile.
    fn finish_ended_response(&mut self, ending: &Ending, evidence: &Evidence) {
        let (index, id) = (ending.index, ending.id);
        let (Some(Slot::Upstream(connection)), Some(transaction)) =
            (self.slots.get_mut(index), self.transactions.get(&id))
        else {
            return;
        };
        if connection.request() != Some(id) || connection.ended_at != Some(ending.ended_at) {
            return;
        }
        let shows_complete = evidence.shows_complete();
        let ended_at = ending.ended_at;
        log::info!(
            target: "request",
            "event=end_judged request={} attempt={} runner={} complete={shows_complete} contact={} report={} witness={} lost={} brief={} sent_ms={} open_ms={} arrival_ms={} left_ms={} unsent={} failure={}",
            transaction.request_id,
            transaction.attempts(),
            ending.runner,
            evidence.contact.as_str(),
            ending.reported.map_or("none", Process::as_str),
            evidence.has_witness,
            evidence.lost_witness,
            evidence.is_brief,
            ended_at.since(connection.since).0,
            ended_at.since(ending.open_at).0,
            ended_at.since(ending.arrived_after).0,
            transaction.deadline.since(ended_at).0,
            connection.socket.unsent(),
            connection.socket.failure().map_or_else(|| "-".to_owned(), |failure| failure.to_string())
        );
        let is_finished = connection
            .response
            .as_mut()
            .is_some_and(|response| shows_complete && response.decoder.finish().is_ok());
        // The answer may belong to another request; none can follow.
        if !is_finished || matches!(self.advance_body(index, id), Advance::Next) {
            self.fail_broken_response(index, id, false);
        }
    }
}
