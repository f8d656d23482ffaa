//! Datagram exchange with other routers, and the shutdown of this one.

use std::net::SocketAddr;
use std::{fmt, io};

use balsamchute_model::prelude::*;
use stakker::CX;

use crate::edge::{Edge, Slot};
use crate::frame::{Descriptor, Frame, MAX_DATAGRAM_BYTES, Phase};
use crate::peers::Outgoing;

/// Interval of datagrams to each router in the exchange.
const EXCHANGE_INTERVAL: Span = Span(100);

/// Minimum time between SIGTERM and exit, unless the grace period is shorter.
/// Callers that still use the router's address get a response instead of a
/// connection reset. Callers that use a list for three times its TTL may still
/// connect after the exit.
const MIN_LEAVING_TIME: Span = Span(2500);

/// Time before SIGKILL at which the process exits, even with requests in
/// flight.
const EXIT_MARGIN: Span = Span(300);

/// Source of the latest confirmation of the list of runners.
#[derive(Clone, Copy, Debug)]
pub(super) enum Confirmer {
    None,
    Store,
    /// Datagram of the router at this address.
    Frame(SocketAddr),
    /// View of the router at this address.
    View(SocketAddr),
}

impl fmt::Display for Confirmer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Confirmer::None => f.write_str("-"),
            Confirmer::Store => f.write_str("store"),
            Confirmer::Frame(peer) => write!(f, "frame:{peer}"),
            Confirmer::View(peer) => write!(f, "view:{peer}"),
        }
    }
}

impl Edge {
    pub(super) fn add_seeds(&mut self) {
        let port = self.settings.listen.peers.port();
        for mut seed in self.settings.seeds.clone() {
            // Seeds carry the port of another service on the same machine. The
            // peer port is the same on all machines.
            seed.set_port(port);
            self.peers.add(seed);
        }
    }

    /// Sends datagrams at once if a version has appeared, so that other routers know it before
    /// a caller can take up a stream that began there.
    pub(super) fn announce_versions(&mut self, now: Time) {
        let versions = self.scheduler.origins().versions();
        if versions.appearances() != self.announced_appearances {
            self.send_frames(now);
        }
    }

    /// Sends the periodic datagrams if the interval has elapsed.
    pub(super) fn exchange(&mut self, now: Time) {
        if now.since(self.last_exchange) < EXCHANGE_INTERVAL {
            return;
        }
        self.send_frames(now);
        let recent_peers = self
            .peers
            .count_seen_within(now, self.settings.bounds.retry_window);
        self.scheduler.set_router_count(recent_peers + 1);
        if let Some(connected_at) = self.peers.connected_at() {
            self.contact.record_peer(connected_at);
        }
        let alive_peers = self.peers.alive(now).count() as u32;
        self.scheduler.set_alive_count(now, alive_peers + 1);
    }

    /// Returns the descriptor that this router publishes.
    pub(super) fn descriptor(&self, now: Time) -> Descriptor {
        Descriptor {
            instance: self.settings.instance.clone(),
            incarnation: self.clock.start().0,
            domain: self.settings.domain.clone(),
            callers: self.settings.listen.callers,
            peers: self.settings.listen.peers,
            millicores: self.settings.resource_limits.millicores,
            phase: self.phase,
            manifest: self.manifest_version(),
            revision: self.registry.revision(),
            has_store: self.contact.follows_store(now),
        }
    }

    /// Updates the tier and sends the datagrams that are due.
    pub(super) fn send_frames(&mut self, now: Time) {
        self.last_exchange = now;
        self.announced_appearances = self.scheduler.origins().versions().appearances();
        let descriptor = self.descriptor(now);
        if self.peers.update(now, &descriptor) {
            log::info!(target: "peer", "event=exchange_changed tier={:?} routers={}", self.peers.tier(), self.peers.alive(now).count() + 1);
            self.scheduler.clear_peers();
        }
        let report = self.scheduler.report(now);
        let evacuations = self.shared_evacuations(now);
        let list_age = self.list_age(now);
        for mut outgoing in self.peers.outgoing(now, &descriptor, &report) {
            outgoing.frame.evacuations = evacuations.clone();
            outgoing.frame.list_age = list_age;
            self.send_frame(&outgoing);
        }
    }

    fn send_frame(&self, outgoing: &Outgoing) {
        if outgoing.receivers.is_empty() {
            return;
        }
        let bytes = match rmp_serde::to_vec(&outgoing.frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "peer", "event=encode_failed error={:?}", error.to_string());
                return;
            }
        };
        let Some(Slot::PeerSocket(socket)) = self.slots.get(self.peer_socket) else {
            return;
        };
        for &address in &outgoing.receivers {
            if let Err(error) = socket.send_to(&bytes, address) {
                log::debug!(target: "peer", "event=send_failed peer={address} error={:?}", error.to_string());
            }
        }
    }

    pub(super) fn receive_datagrams(&mut self, index: usize) {
        self.read_datagrams(index);
        // A hub passes versions on that members or other hubs tell.
        let now = self.now();
        self.announce_versions(now);
    }

    fn read_datagrams(&mut self, index: usize) {
        // A datagram may have waited since the last one was read: the process may have been
        // stopped meanwhile.
        let now = self.now();
        let sent_after = std::mem::replace(&mut self.datagrams_read_at, now);
        loop {
            let Some(Slot::PeerSocket(socket)) = self.slots.get(index) else {
                return;
            };
            let length = match socket.recv_from(&mut self.read_buffer) {
                // A longer datagram is cut off and fails to decode.
                Ok((length, _)) => length.min(MAX_DATAGRAM_BYTES),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // Such as an ICMP error for an earlier datagram to a router that
                // is down. The next call continues with the next datagram.
                Err(_) => continue,
            };
            match rmp_serde::from_slice(&self.read_buffer[..length]) {
                Ok(frame) => self.receive_frame(frame, sent_after),
                Err(error) => {
                    log::warn!(target: "peer", "event=datagram_ignored bytes={length} reason={:?}", error.to_string());
                }
            }
        }
    }

    fn receive_frame(&mut self, mut frame: Frame, sent_after: Time) {
        let now = self.now();
        let evacuations = std::mem::take(&mut frame.evacuations);
        self.merge_evacuations(now, &evacuations);
        let sender = frame.sender.peers;
        self.observe_era(now, frame.sender.revision.era, None);
        if let Some(list_age) = frame.list_age {
            let confirmed_at = sent_after - list_age;
            let confirmer = Confirmer::Frame(sender);
            self.confirm_by_peer(confirmed_at, frame.sender.revision, confirmer);
        }
        if let Some(source) = self.peers.receive(now, frame)
            && let Some(report) = self.peers.report(sender)
        {
            self.scheduler.apply_report(now, &source, report);
            self.scheduler
                .origins_mut()
                .versions_mut()
                .record_peer_report(sent_after);
        }
    }

    /// Confirms the list of runners by that of a peer, which was as the store had it at
    /// `confirmed_at`, up to `revision`, unless this router knows less.
    pub(super) fn confirm_by_peer(
        &mut self,
        confirmed_at: Time,
        revision: Revision,
        confirmer: Confirmer,
    ) {
        if self.is_runner_list_loaded && revision <= self.registry.revision() {
            self.confirm(confirmed_at, confirmer);
        }
    }

    /// Returns the time since the list of runners was confirmed, if it was.
    pub(super) fn list_age(&self, now: Time) -> Option<Span> {
        let versions = self.scheduler.origins().versions();
        versions
            .was_confirmed()
            .then(|| versions.confirmation_age(now))
    }

    /// Records that the list of runners was as the store had it at `confirmed_at`.
    pub(super) fn confirm(&mut self, confirmed_at: Time, confirmer: Confirmer) {
        let versions = self.scheduler.origins_mut().versions_mut();
        if versions.confirm(confirmed_at) {
            self.confirmer = confirmer;
        }
    }

    /// Records that the machine was suspended: the list of runners, and requests that are being
    /// read, are older than the clock shows.
    pub fn record_suspension(&mut self, _cx: CX![], suspended: Span) {
        let origins = self.scheduler.origins_mut();
        origins.versions_mut().record_suspension(suspended);
        if let Some(since) = &mut self.accepts_wait_since {
            *since = *since - suspended;
        }
        for (_, slot) in &mut self.slots {
            if let Slot::Caller(connection) = slot {
                connection.record_suspension(suspended);
            }
        }
    }

    pub(super) fn sweep(&mut self, now: Time) {
        self.sweep_callers(now);
        self.sweep_upstreams(now);
        self.sweep_servers(now);
    }

    /// Exits once no request is in flight or arriving and all responses are written, or
    /// at the end of the grace period.
    pub(super) fn advance_leaving(&mut self, now: Time) {
        let Some(since) = self.leaving_since else {
            return;
        };
        let age = now.since(since);
        let limit = self
            .settings
            .bounds
            .termination_grace
            .saturating_sub(EXIT_MARGIN);
        let is_idle = self.transactions.is_empty()
            && age >= MIN_LEAVING_TIME.min(limit)
            && !self.has_callers_in_progress();
        if is_idle || age >= limit {
            log::info!(target: "process", "event=stop requests_cut={} after_ms={}", self.transactions.len(), age.0);
            self.done = true;
        }
    }

    /// Returns whether this router accepts requests.
    pub(super) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }
}
