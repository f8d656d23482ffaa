//! Datagrams between routers, and the phases of this one.

use std::io;

use balsamchute_model::prelude::*;

use crate::edge::{Edge, Slot};
use crate::frame::{Card, Frame, MAX_DATAGRAM, Phase};
use crate::peers::Outgoing;

/// Interval of datagrams to each router that is exchanged with.
const EXCHANGE_INTERVAL: Span = Span(100);

/// Time after SIGTERM before which the process does not exit: callers that
/// still use its address get an answer rather than a reset.
const MIN_LEAVING: Span = Span(2500);

/// Time before SIGKILL at which the process exits, whatever it has in hand.
const EXIT_MARGIN: Span = Span(300);

impl Edge {
    pub(super) fn learn_seeds(&mut self) {
        let port = self.settings.listen.peers.port();
        for mut seed in self.settings.seeds.clone() {
            // Seeds name another port of the same machine; ports are the same
            // on all machines.
            seed.set_port(port);
            self.peers.add(seed);
        }
    }

    /// Sends the periodic datagrams.
    pub(super) fn exchange(&mut self, now: Time) {
        if now.since(self.exchanged) < EXCHANGE_INTERVAL {
            return;
        }
        self.send_frames(now);
        let heard = self
            .peers
            .heard_within(now, self.settings.bounds.retry_window);
        self.core.set_routers(heard + 1);
    }

    /// Returns what this router says of itself.
    pub(super) fn card(&self, now: Time) -> Card {
        Card {
            instance: self.settings.instance.clone(),
            incarnation: self.clock.start().0,
            domain: self.settings.domain.clone(),
            callers: self.settings.listen.callers,
            peers: self.settings.listen.peers,
            phase: self.phase,
            manifest: self.manifest_version(),
            revision: self.registry.revision(),
            has_store: self.has_store(now),
        }
    }

    /// Sends the datagrams that are due.
    pub(super) fn send_frames(&mut self, now: Time) {
        self.exchanged = now;
        let card = self.card(now);
        if self.peers.update(now, &card) {
            log::info!(target: "peer", "event=exchange_changed tier={:?} routers={}", self.peers.tier(), self.peers.alive(now).count() + 1);
            self.core.forget_peers();
        }
        for outgoing in self.peers.outgoing(now, &card, &self.core.report()) {
            self.send_frame(&outgoing);
        }
    }

    fn send_frame(&self, outgoing: &Outgoing) {
        if outgoing.to.is_empty() {
            return;
        }
        let bytes = match rmp_serde::to_vec(&outgoing.frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "peer", "event=encode_failed error={:?}", error.to_string());
                return;
            }
        };
        let Some(Slot::Datagrams(socket)) = self.slots.get(self.datagrams) else {
            return;
        };
        for &address in &outgoing.to {
            if let Err(error) = socket.send_to(&bytes, address) {
                log::debug!(target: "peer", "event=send_failed peer={address} error={:?}", error.to_string());
            }
        }
    }

    pub(super) fn receive_datagrams(&mut self, index: usize) {
        loop {
            let Some(Slot::Datagrams(socket)) = self.slots.get(index) else {
                return;
            };
            let length = match socket.recv_from(&mut self.scratch) {
                Ok((length, _)) => length.min(MAX_DATAGRAM),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // A refused datagram to a router that is down shows up here.
                Err(_) => continue,
            };
            match rmp_serde::from_slice(&self.scratch[..length]) {
                Ok(frame) => self.hear(frame),
                Err(error) => {
                    log::warn!(target: "peer", "event=datagram_ignored bytes={length} reason={:?}", error.to_string());
                }
            }
        }
    }

    fn hear(&mut self, frame: Frame) {
        let now = self.now();
        let sender = frame.sender.peers;
        if let Some(name) = self.peers.hear(now, frame)
            && let Some(report) = self.peers.report(sender)
        {
            self.core.merge(now, &name, report);
        }
    }

    pub(super) fn sweep(&mut self, now: Time) {
        self.sweep_callers(now);
        self.sweep_upstreams(now);
        self.sweep_questions(now);
    }

    /// Exits once nothing is in hand, or when the time is up.
    pub(super) fn advance_leaving(&mut self, now: Time) {
        let Some(since) = self.leaving_since else {
            return;
        };
        let age = now.since(since);
        let limit = self.settings.bounds.grace.saturating_sub(EXIT_MARGIN);
        let is_idle = self.flights.is_empty() && age >= MIN_LEAVING.min(limit);
        if is_idle || age >= limit {
            log::info!(target: "process", "event=stop requests_cut={} after_ms={}", self.flights.len(), age.0);
            self.done = true;
        }
    }

    /// Returns whether this router takes requests.
    pub(super) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }
}
