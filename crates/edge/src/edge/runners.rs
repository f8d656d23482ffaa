//! Connections to runners: sending requests, reading answers.

use std::io;
use std::net::SocketAddr;

use balsamchute_adapter::answer::Verdict;
use balsamchute_adapter::request::{self, Onward};
use balsamchute_http::framing::Framing;
use balsamchute_model::prelude::*;
use balsamchute_schedule::action::{Action, Basis, End, Id};

use crate::edge::{Edge, Slot};
use crate::flight::Stash;
use crate::pool::Pool;
use crate::socket::{Input, Socket};
use crate::upstream::{Connection, Phase};

/// Longest time to connect to a runner: some hundred round trips.
const CONNECT_TIME: Span = Span(300);

/// Unsent bytes to a caller above which its runner is not read.
const MAX_UNSENT: usize = 128 * 1024;

/// Bytes of an answer that are held back until it is whole. Longer ones are
/// forwarded as they come.
const MAX_HELD_BACK: usize = 512 * 1024;

impl Edge {
    /// Carries out what the decisions say.
    pub(super) fn act(&mut self) {
        loop {
            let actions = self.core.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Send {
                        id,
                        runner,
                        address,
                        basis,
                    } => self.send(id, &runner, address, &basis),
                    Action::Withdraw { id } => self.withdraw(id),
                    Action::Refuse {
                        id,
                        refusal,
                        retry,
                        basis,
                    } => self.refuse(id, refusal, retry, &basis),
                    Action::Deliver { id } => self.deliver_failure(id),
                    Action::Fail { id, failure } => self.fail(id, failure),
                }
            }
        }
    }

    /// Sends a request to a runner, over an idle connection if there is one.
    fn send(&mut self, id: Id, runner: &Runner, address: SocketAddr, basis: &Basis) {
        let now = self.now();
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.attempts += 1;
        flight.stash = None;
        flight.splitter.restart();
        log::info!(
            target: "request",
            "event=send request={} attempt={} runner={runner} workspace={} manifest={} waited_ms={} owed={} cost={:.0} served={:.0} share={:.0} unread={} shared={} chain={:x} estimate_ms={} running={} waiting={}",
            flight.name,
            flight.attempts,
            flight.workspace.as_ref().map_or("-", Workspace::as_str),
            flight.manifest,
            now.since(flight.arrived).0,
            basis.owed,
            basis.cost,
            basis.served,
            basis.level,
            basis.unread,
            basis.shared,
            basis.chain,
            basis.estimate.0,
            basis.running,
            basis.waiting
        );
        self.report.sent(flight, now.since(flight.arrived));
        if let Some(index) = self.take_idle(now, runner) {
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.upstream = Some(index);
            }
            self.write_request(now, index, id);
            return;
        }
        match self.connect(now, id, runner, address) {
            Ok(index) => {
                if let Some(flight) = self.flights.get_mut(&id) {
                    flight.upstream = Some(index);
                }
            }
            Err(error) => {
                log::warn!(target: "runner", "event=connect_failed runner={runner} error={:?}", error.to_string());
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                self.core.end(now, id, End::NoConnection { refused });
            }
        }
    }

    fn connect(
        &mut self,
        now: Time,
        id: Id,
        runner: &Runner,
        address: SocketAddr,
    ) -> io::Result<usize> {
        let socket = Socket::connect(address)?;
        let connection = Connection::new(now, socket, runner.clone(), id);
        let index = self.slots.insert(Slot::Upstream(Box::new(connection)));
        if let Err(error) = self.register(index) {
            self.close(index);
            return Err(error);
        }
        Ok(index)
    }

    fn take_idle(&mut self, now: Time, runner: &Runner) -> Option<usize> {
        while let Some(index) = self.pool.take(runner) {
            match self.slots.get(index) {
                Some(Slot::Upstream(connection)) => match connection.phase {
                    Phase::Idle(until) if now < until => return Some(index),
                    _ => self.close(index),
                },
                _ => continue,
            }
        }
        None
    }

    fn write_request(&mut self, now: Time, index: usize, id: Id) {
        let (Some(Slot::Upstream(connection)), Some(flight)) =
            (self.slots.get_mut(index), self.flights.get(&id))
        else {
            return;
        };
        connection.is_reused = matches!(connection.phase, Phase::Idle(_));
        connection.phase = Phase::Busy(id);
        connection.since = now;
        connection.answer = None;
        let onward = Onward {
            runner: &connection.runner,
            workspace: flight.workspace.as_ref(),
            time_left: flight.deadline.since(now),
            last_event: flight.resume_after(),
            body: &flight.body,
            has_body: flight.has_body,
        };
        request::encode(connection.socket.out(), &flight.head, &onward);
        // Even a write that fails may have left bytes with the runner.
        self.core.written(id);
        connection.socket.flush();
        if connection.socket.is_broken() {
            self.upstream_ended(index, true);
        }
    }

    pub(super) fn upstream_ready(&mut self, index: usize) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        if let Phase::Connecting(id) = connection.phase {
            self.connecting(index, id);
            return;
        }
        connection.socket.flush();
        if connection.socket.is_broken() {
            self.upstream_ended(index, true);
            return;
        }
        self.read_upstream(index);
    }

    fn connecting(&mut self, index: usize, id: Id) {
        let now = self.now();
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        match connection.socket.connected() {
            Ok(true) => self.write_request(now, index, id),
            Ok(false) => {}
            Err(error) => {
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                self.no_connection(now, index, id, refused);
            }
        }
    }

    fn no_connection(&mut self, now: Time, index: usize, id: Id, refused: bool) {
        if let Some(Slot::Upstream(connection)) = self.slots.get(index) {
            log::info!(
                target: "runner",
                "event=no_connection runner={} refused={refused}",
                connection.runner
            );
        }
        self.detach(index, id);
        self.core.end(now, id, End::NoConnection { refused });
        self.act();
    }

    /// Closes a connection to a runner and frees its request of it.
    fn detach(&mut self, index: usize, id: Id) {
        self.close(index);
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.upstream = None;
        }
    }

    /// Reads from a runner until nothing is left, or until its caller has too
    /// much to take in.
    fn read_upstream(&mut self, index: usize) {
        loop {
            if self.pauses(index) {
                return;
            }
            match self.read(index) {
                Input::Bytes(length) => self.upstream_bytes(index, length),
                Input::Nothing => return,
                Input::End => {
                    self.upstream_ended(index, false);
                    return;
                }
                Input::Broken => {
                    self.upstream_ended(index, true);
                    return;
                }
            }
        }
    }

    fn pauses(&mut self, index: usize) -> bool {
        let Some(Slot::Upstream(connection)) = self.slots.get(index) else {
            return true;
        };
        let caller = connection
            .request()
            .and_then(|id| self.flights.get(&id))
            .map(|flight| flight.caller);
        let unsent = match caller.and_then(|caller| self.slots.get(caller)) {
            Some(Slot::Caller(caller)) => caller.socket.unsent(),
            _ => 0,
        };
        let is_paused = unsent > MAX_UNSENT;
        if let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) {
            connection.is_paused = is_paused;
        }
        is_paused
    }

    /// Goes on reading from the runner of a request whose caller caught up.
    pub(super) fn resume_upstream(&mut self, id: Id) {
        let index = self.flights.get(&id).and_then(|flight| flight.upstream);
        let is_paused = match index.and_then(|index| self.slots.get(index)) {
            Some(Slot::Upstream(connection)) => connection.is_paused,
            _ => false,
        };
        if let (true, Some(index)) = (is_paused, index) {
            self.read_upstream(index);
        }
    }

    fn upstream_bytes(&mut self, index: usize, length: usize) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        let Phase::Busy(id) = connection.phase else {
            log::info!(target: "runner", "event=surplus_bytes runner={} bytes={length}", connection.runner);
            self.close(index);
            return;
        };
        connection.input.extend_from_slice(&self.scratch[..length]);
        self.advance_answer(index, id);
    }

    /// Goes on with the bytes of an answer.
    fn advance_answer(&mut self, index: usize, id: Id) {
        loop {
            let Some(flight) = self.flights.get(&id) else {
                self.close(index);
                return;
            };
            let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
                return;
            };
            if connection.answer.is_none() {
                match connection.parse_head(&flight.name, &flight.head.method) {
                    Ok(true) => {}
                    Ok(false) => return,
                    Err(error) => {
                        let reason = error.to_string();
                        self.invalid(index, id, &reason);
                        return;
                    }
                }
            }
            match self.advance_body(index, id) {
                // A late answer to another request; the own one follows.
                Advance::Next => continue,
                Advance::Wait => return,
            }
        }
    }

    fn advance_body(&mut self, index: usize, id: Id) -> Advance {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return Advance::Wait;
        };
        let Some(answer) = &mut connection.answer else {
            return Advance::Wait;
        };
        if let Verdict::Invalid(reason) = answer.verdict {
            self.invalid(index, id, reason);
            return Advance::Wait;
        }
        let used = match answer.decoder.decode(&connection.input, &mut answer.body) {
            Ok(used) => used,
            Err(error) => {
                let reason = error.to_string();
                self.invalid(index, id, &reason);
                return Advance::Wait;
            }
        };
        connection.input.drain(..used);
        let (verdict, is_done) = (answer.verdict, answer.decoder.is_done());
        let status = answer.head.status;
        let held_back = answer.body.len();
        if verdict == Verdict::OtherRequest {
            answer.body.clear();
            if !is_done {
                return Advance::Wait;
            }
            connection.answer = None;
            return Advance::Next;
        }
        let streams = self
            .flights
            .get(&id)
            .is_some_and(|flight| flight.route.stream && verdict == Verdict::Answer);
        let forwards = streams || (verdict == Verdict::Answer && held_back > MAX_HELD_BACK);
        if forwards && !self.forward(index, id, streams) {
            return Advance::Wait;
        }
        if is_done {
            self.finish(index, id, verdict, status);
        }
        Advance::Wait
    }

    /// Ends an attempt whose answer is whole.
    fn finish(&mut self, index: usize, id: Id, verdict: Verdict, status: u16) {
        let now = self.now();
        let Some((head, body)) = self.release(now, index) else {
            return;
        };
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.upstream = None;
        let end = match verdict {
            Verdict::Answer => {
                self.complete(now, id, head, body);
                End::Done
            }
            Verdict::Failure if is_promise(status) && flight.route.repeat == Repeat::Once => {
                // The runner does not say that it did not run the request, and
                // its status must not be taken for that promise.
                End::Invalid
            }
            Verdict::Failure => {
                flight.stash = Some(Stash { head, body });
                End::RunnerFailed
            }
            Verdict::OtherRunner => End::Misdirected,
            Verdict::NotRun => End::Rejected,
            Verdict::OtherRequest | Verdict::Invalid(_) => End::Invalid,
        };
        if end != End::Done
            && let Some(flight) = self.flights.get(&id)
        {
            log::info!(
                target: "request",
                "event=attempt_failed request={} attempt={} status={status} end={end:?}",
                flight.name,
                flight.attempts
            );
        }
        self.core.end(now, id, end);
        self.act();
    }

    /// Takes the answer off a connection, and keeps the connection for the next
    /// request if it can be used again.
    fn release(
        &mut self,
        now: Time,
        index: usize,
    ) -> Option<(balsamchute_http::head::Response, Vec<u8>)> {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return None;
        };
        let until = connection.reusable_until(now);
        let answer = connection.answer.take()?;
        match until {
            Some(until) => {
                connection.phase = Phase::Idle(until);
                connection.since = now;
                connection.input = Vec::new();
                let runner = connection.runner.clone();
                let limit = self.idle_limit(now, &runner);
                if let Some(oldest) = self.pool.put(&runner, index, limit) {
                    self.close(oldest);
                }
            }
            None => self.close(index),
        }
        Some((answer.head, answer.body))
    }

    /// Returns how many idle connections to a runner are kept.
    fn idle_limit(&self, now: Time, runner: &Runner) -> usize {
        let service = self.registry.get(runner).map(|entry| &entry.service);
        let offers = self.manifest.as_ref().map(|manifest| &manifest.offers);
        let offer = service.and_then(|service| offers?.get(service));
        let window = self.settings.bounds.retry_window;
        let routers = self.peers.heard_within(now, window) + 1;
        // A runner that is no longer listed gets no more requests.
        offer.map_or(0, |offer| Pool::limit(offer.connections, routers))
    }

    /// Ends an attempt whose answer cannot be used.
    pub(super) fn invalid(&mut self, index: usize, id: Id, reason: &str) {
        let now = self.now();
        if let Some(flight) = self.flights.get(&id) {
            log::warn!(
                target: "request",
                "event=invalid_answer request={} attempt={} reason={reason:?}",
                flight.name,
                flight.attempts
            );
        }
        self.detach(index, id);
        self.core.end(now, id, End::Invalid);
        self.act();
    }

    /// Takes in that a runner closed or reset a connection.
    fn upstream_ended(&mut self, index: usize, is_reset: bool) {
        let now = self.now();
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        let id = match connection.phase {
            Phase::Idle(_) => {
                self.close(index);
                return;
            }
            Phase::Connecting(id) => {
                self.no_connection(now, index, id, is_reset);
                return;
            }
            Phase::Busy(id) => id,
        };
        let ends = !is_reset
            && connection.answer.as_mut().is_some_and(|answer| {
                answer.framing == Framing::UntilClose && answer.decoder.end().is_ok()
            });
        if ends {
            self.advance_body(index, id);
            return;
        }
        if let Some(flight) = self.flights.get(&id) {
            log::info!(
                target: "request",
                "event=runner_broke request={} attempt={} runner={} reset={is_reset} reused={} after_ms={} events={}",
                flight.name,
                flight.attempts,
                connection.runner,
                connection.is_reused,
                now.since(connection.since).0,
                flight.splitter.events()
            );
        }
        self.detach(index, id);
        self.core.end(now, id, End::Broke);
        self.act();
    }

    /// Leaves a silent runner; the request goes to another one.
    fn withdraw(&mut self, id: Id) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        log::info!(
            target: "request",
            "event=withdraw request={} attempt={} events={}",
            flight.name,
            flight.attempts,
            flight.splitter.events()
        );
        if let Some(index) = flight.upstream.take() {
            self.close(index);
        }
    }

    /// Closes connections to runners whose time is up.
    pub(super) fn sweep_upstreams(&mut self, now: Time) {
        let mut idle = Vec::new();
        let mut silent = Vec::new();
        for (index, slot) in &self.slots {
            let Slot::Upstream(connection) = slot else {
                continue;
            };
            match connection.phase {
                Phase::Idle(until) if now >= until => idle.push(index),
                Phase::Connecting(id) if now.since(connection.since) > CONNECT_TIME => {
                    silent.push((index, id));
                }
                _ => {}
            }
        }
        for index in idle {
            self.close(index);
        }
        for (index, id) in silent {
            self.no_connection(now, index, id, false);
        }
    }
}

/// Whether an answer goes on on the same connection.
enum Advance {
    /// With the head of the next one.
    Next,
    /// With bytes that have not come, or not at all.
    Wait,
}

/// Returns whether a status promises that the request has not run.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
