//! Reads from the platform's store, with other routers as the fallback source.

use std::net::SocketAddr;
use std::sync::Arc;

use balsamchute_adapter::store::{self, Change as StoreChange, Kind, Object, Request};
use balsamchute_adapter::{manifest, runner};
use balsamchute_base::rank;
use balsamchute_model::prelude::*;

use crate::client::{Connection, Message, Purpose};
use crate::edge::fleet::Confirmer;
use crate::edge::{Edge, Slot};
use crate::frame::{VIEW_PATH, View};
use crate::registry::{Change, Source};
use crate::socket::{Input, Socket};
use crate::watcher::{Response, Update};

/// Timeout of a view request to another router.
const VIEW_TIMEOUT: Span = Span(500);

/// Interval of view requests to other routers.
const VIEW_INTERVAL: Span = Span(300);

/// Time for which a router that starts waits for a peer to tell it the manifest and the
/// runners before it reads them from the store.
const PEER_VIEW_WAIT: Span = Span(150);

/// Time after the start in which a router of a large fleet learns whether it follows a
/// hub.
const SETTLE_TIME: Span = Span(1500);

/// Time over which the routers write their objects again to a restored store, so
/// that hundreds of them stay within its write rate.
const ANNOUNCE_SPREAD: Span = Span(2000);

/// Interval at which routers are listed; datagrams propagate changes sooner.
const ROUTER_LIST_INTERVAL: Span = Span::from_secs(20);

impl Edge {
    /// Makes the calls to the store and to peers that are due.
    pub(super) fn poll_store(&mut self, now: Time) {
        self.update_reading(now);
        let kinds = [
            Kind::Routers,
            Kind::Manifest,
            Kind::Runners,
            Kind::Evacuations,
        ];
        for kind in kinds {
            if !self.reads_store(now, kind) {
                continue;
            }
            let call = self
                .watchers
                .get_mut(&kind)
                .and_then(|watcher| watcher.next_call(now));
            if let Some((call, timeout)) = call {
                self.call_store(now, kind, &call, timeout);
            }
        }
        let may_write = self.has_store(now) || (self.repeats_record && self.may_write_record(now));
        if !self.announced && now >= self.announce_at && may_write {
            self.announce(now);
        }
        self.log_corrections();
        self.write_record(now);
        self.expire_calls(now);
        self.request_view(now);
    }

    /// Takes note whether this router reads the list of runners from the store itself.
    fn update_reading(&mut self, now: Time) {
        let reads = self.reads_store(now, Kind::Runners);
        if self.contact.set_reader(reads) {
            log::info!(
                target: "store",
                "event=store_reading began={reads} tier={:?} has_store={} revision={}",
                self.peers.tier(),
                self.has_store(now),
                self.registry.revision()
            );
        }
    }

    /// Logs and counts the removals of runners that were deferred.
    fn log_deferrals(&mut self, source: Source) {
        for (runner, left) in self.registry.take_deferrals() {
            self.stats.count_deferred_removal();
            log::info!(
                target: "runner",
                "event=removal_deferred runner={runner} left_ms={} source={} revision={}",
                left.0,
                source.as_str(),
                self.registry.revision()
            );
        }
    }

    /// Returns whether this router reads a kind of object from the store itself, and not
    /// from other routers. While it starts, it first gives them the time to tell it, and
    /// does not watch before it knows whether it will follow a hub.
    fn reads_store(&self, now: Time, kind: Kind) -> bool {
        let age = now.since(self.started);
        let is_loaded = match kind {
            Kind::Manifest => self.manifest.is_some(),
            Kind::Runners => self.is_runner_list_loaded,
            Kind::Routers => self.is_router_list_loaded,
            Kind::Evacuations => self.knows_evacuations(),
        };
        if !is_loaded {
            return kind == Kind::Routers || self.peers.is_empty() || age >= PEER_VIEW_WAIT;
        }
        let is_settled = !self.peers.may_follow_hub() || age >= SETTLE_TIME;
        is_settled && self.peers.reads_store(now, &self.descriptor(now))
    }

    /// Returns whether the store responded recently and no call has failed
    /// since.
    pub(super) fn has_store(&self, now: Time) -> bool {
        self.contact.is_connected(now)
    }

    fn call_store(&mut self, now: Time, kind: Kind, call: &Request, timeout: Span) {
        let index = match self.watch_connections.get(&kind) {
            Some(&index) => index,
            None => match self.open_client(self.settings.store, Purpose::Watch(kind)) {
                Some(index) => {
                    self.watch_connections.insert(kind, index);
                    index
                }
                None => {
                    self.handle_store_response(now, kind, None);
                    return;
                }
            },
        };
        let store = self.settings.store;
        if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
            connection.send(call, store, now + timeout);
        }
    }

    pub(super) fn open_client(&mut self, address: SocketAddr, purpose: Purpose) -> Option<usize> {
        let socket = match Socket::connect(address) {
            Ok(socket) => socket,
            Err(error) => {
                log::warn!(target: purpose.log_target(), "event=connect_failed address={address} error={:?}", error.to_string());
                return None;
            }
        };
        let connection = Connection::new(socket, purpose);
        let index = self.slots.insert(Slot::Client(Box::new(connection)));
        if let Err(error) = self.register(index) {
            log::warn!(target: purpose.log_target(), "event=register_failed error={:?}", error.to_string());
            self.close(index);
            return None;
        }
        Some(index)
    }

    pub(super) fn handle_client_ready(&mut self, index: usize) {
        if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
            connection.socket.flush();
        }
        loop {
            match self.read(index) {
                Input::Bytes(length) => {
                    let Some(Slot::Client(connection)) = self.slots.get_mut(index) else {
                        return;
                    };
                    // A late response would be taken for the response to the next call.
                    if connection.deadline.is_none() {
                        let target = connection.purpose.log_target();
                        log::warn!(target: target, "event=surplus_bytes bytes={length}");
                        self.close_client(index);
                        return;
                    }
                    match connection.receive(&self.read_buffer[..length]) {
                        Ok(Some(message)) => self.handle_client_response(index, &message),
                        Ok(None) => {}
                        Err(error) => {
                            let target = connection.purpose.log_target();
                            log::warn!(target: target, "event=invalid_answer reason={:?}", error.to_string());
                            self.handle_client_failure(index);
                            return;
                        }
                    }
                }
                Input::WouldBlock => return,
                Input::Eof => {
                    let response = match self.slots.get_mut(index) {
                        Some(Slot::Client(connection)) => connection.handle_eof(),
                        _ => None,
                    };
                    match response {
                        Some(message) => {
                            let message = Message {
                                is_reusable: false,
                                ..message
                            };
                            self.handle_client_response(index, &message);
                        }
                        None => self.handle_client_failure(index),
                    }
                    return;
                }
                Input::Broken => {
                    self.handle_client_failure(index);
                    return;
                }
            }
        }
    }

    fn handle_client_response(&mut self, index: usize, message: &Message) {
        let now = self.now();
        let Some(Slot::Client(connection)) = self.slots.get(index) else {
            return;
        };
        let purpose = connection.purpose;
        if !message.is_reusable || !matches!(purpose, Purpose::Watch(_)) {
            self.close_client(index);
        }
        let status = message.head.status;
        match purpose {
            Purpose::Watch(kind) => {
                let response = Response {
                    status,
                    era: self.decode_era(message),
                    body: &message.body,
                };
                self.handle_store_response(now, kind, Some(response));
                self.poll_store(now);
            }
            Purpose::Announce => self.handle_announce_response(now, message),
            Purpose::View(peer) => self.apply_view(now, peer, status, &message.body),
        }
    }

    /// Returns the era that the store named; a malformed one is logged and ignored.
    fn decode_era(&self, message: &Message) -> Option<u64> {
        store::decode_era(&message.head).unwrap_or_else(|error| {
            log::warn!(target: "store", "event=era_ignored reason={:?}", error.to_string());
            self.stats.count_malformed("store_era");
            None
        })
    }

    /// Takes note of the era in which the store answered `kind`, or in which a peer
    /// knows it. A later era means that the store came back from an older copy: what
    /// was read has no meaning there, and what this router wrote may be lost.
    pub(super) fn observe_era(&mut self, now: Time, era: u64, kind: Option<Kind>) {
        let known = self.store_era;
        // A peer that has read nothing yet names era 0.
        if known.is_some_and(|known| era <= known) || (era == 0 && kind.is_none()) {
            return;
        }
        self.store_era = Some(era);
        let Some(known) = known else { return };
        log::warn!(target: "store", "event=store_restored era={era} before={known} manifest={} revision={}", self.manifest_version(), self.registry.revision());
        self.registry.record_store_recovery(now);
        let kinds: Vec<Kind> = self.watchers.keys().copied().collect();
        for other in kinds {
            let watcher = &self.watchers[&other];
            if Some(other) == kind || watcher.era() >= era {
                continue;
            }
            if let Some(&index) = self.watch_connections.get(&other) {
                self.close_client(index);
            }
            if let Some(watcher) = self.watchers.get_mut(&other) {
                watcher.enter_era(era);
            }
        }
        let spread = rank::score("announce", self.settings.instance.as_str()) % ANNOUNCE_SPREAD.0;
        self.announced = false;
        self.announce_at = now + Span(spread);
    }

    fn handle_client_failure(&mut self, index: usize) {
        let now = self.now();
        let Some(Slot::Client(connection)) = self.slots.get(index) else {
            return;
        };
        let (purpose, was_calling) = (connection.purpose, connection.deadline.is_some());
        self.close_client(index);
        match purpose {
            Purpose::Watch(kind) if was_calling => self.handle_store_response(now, kind, None),
            Purpose::Watch(_) => {}
            Purpose::Announce => self.handle_announce_failure(now),
            Purpose::View(peer) => {
                log::info!(target: "peer", "event=view_failed peer={peer}");
                self.peers.record_view(peer, false);
            }
        }
    }

    fn close_client(&mut self, index: usize) {
        self.watch_connections
            .retain(|_, watch_index| *watch_index != index);
        self.close(index);
    }

    fn expire_calls(&mut self, now: Time) {
        let mut timed_out = Vec::new();
        for (index, slot) in &self.slots {
            if let Slot::Client(connection) = slot
                && connection.deadline.is_some_and(|deadline| now >= deadline)
            {
                timed_out.push(index);
            }
        }
        for index in timed_out {
            self.handle_client_failure(index);
        }
    }

    /// Processes a response of the store, or `None` for a failed call.
    fn handle_store_response(&mut self, now: Time, kind: Kind, response: Option<Response<'_>>) {
        let Some(watcher) = self.watchers.get_mut(&kind) else {
            return;
        };
        let era = response.and_then(|response| response.era);
        let update = watcher.handle_response(now, response);
        self.stats
            .count_store_call(!matches!(update, Update::Failed(_)));
        if let Update::Failed(failure) = update {
            if self.contact.record_failure(now, kind == Kind::Runners) {
                log::warn!(target: "store", "event=store_lost kind={kind:?} {failure}");
            } else {
                log::info!(target: "store", "event=store_call_failed kind={kind:?} {failure}");
            }
            return;
        }
        let outage = self.contact.record_response(now);
        if kind == Kind::Runners && !matches!(update, Update::Incomplete) {
            let sent_after = self.arrived_after;
            self.confirm(sent_after, Confirmer::Store);
        }
        if let Some(era) = era {
            self.observe_era(now, era, Some(kind));
        }
        if let Some(outage) = outage {
            log::info!(target: "store", "event=store_regained kind={kind:?} away_ms={}", outage.0);
        }
        // The grace period starts before the response is applied, because the
        // response may lack the expired entries.
        if kind == Kind::Runners
            && let Some(outage) = self.contact.record_runners(now)
        {
            log::info!(
                target: "store",
                "event=entries_expired_possibly away_ms={} ended_ms={}",
                outage.length().0,
                now.since(outage.ended_at).0
            );
            self.registry.record_store_recovery(outage.ended_at);
        }
        match update {
            Update::Failed(_) | Update::Incomplete => {}
            Update::Snapshot(objects, revision) => self.apply_list(now, kind, objects, revision),
            Update::Changes(changes, revision) if kind == Kind::Evacuations => {
                self.apply_evacuation_changes(now, changes, revision);
            }
            Update::Changes(changes, revision) if kind == Kind::Runners => {
                let changes = changes.iter().filter_map(decode_change).collect();
                let applied = self.registry.apply(now, changes, revision);
                self.apply_runner_changes(now, applied, Source::Store);
            }
            Update::Changes(changes, _) => {
                for change in changes {
                    self.apply_store_change(now, kind, change);
                }
            }
        }
    }

    fn apply_list(&mut self, now: Time, kind: Kind, objects: Vec<Object>, revision: Revision) {
        match kind {
            Kind::Manifest | Kind::Routers => {
                for object in objects {
                    self.apply_store_change(now, kind, StoreChange::Set(object));
                }
            }
            Kind::Evacuations => self.apply_evacuation_list(now, objects, revision),
            Kind::Runners if revision < self.registry.revision() => {
                // The next watch begins at this list and repeats the missing
                // changes.
                log::info!(target: "store", "event=list_outdated revision={revision} known={}", self.registry.revision());
            }
            Kind::Runners => {
                let entries = objects.iter().filter_map(decode_runner).collect();
                let changes = self.registry.replace(now, entries, revision);
                self.is_runner_list_loaded = true;
                self.apply_runner_changes(now, changes, Source::Store);
                self.scheduler.end_first_list();
            }
        }
        if kind == Kind::Routers && !self.is_router_list_loaded {
            self.finish_records();
        }
        self.is_router_list_loaded |= kind == Kind::Routers;
        if kind == Kind::Routers
            && let Some(watcher) = self.watchers.get_mut(&kind)
        {
            watcher.list_again(now + ROUTER_LIST_INTERVAL);
        }
    }

    /// Applies a change of the manifest or of a router's object, from a list or a watch.
    fn apply_store_change(&mut self, now: Time, kind: Kind, change: StoreChange) {
        match (kind, change) {
            (Kind::Manifest, StoreChange::Set(object)) if object.name == store::MANIFEST_OBJECT => {
                self.apply_manifest(&object.content, None);
            }
            (Kind::Routers, StoreChange::Set(object)) => {
                match store::decode_router(&object.content) {
                    Ok(router) => {
                        self.peers.add(router.peers);
                        // Later on, other routers report their refusals themselves.
                        if !self.is_router_list_loaded {
                            self.apply_refusals(now, &router.refusals);
                            let is_own = object.name == self.settings.instance.as_str();
                            self.apply_record(now, &router, is_own);
                        }
                    }
                    Err(error) => {
                        log::warn!(target: "store", "event=router_ignored name={:?} reason={:?}", object.name, error.to_string());
                    }
                }
            }
            // A removed manifest stays in force. Routers are not removed from the
            // peer table; they time out. Manifests under other names are ignored.
            _ => {}
        }
    }

    /// Puts a manifest into force if it is newer than the current one. It comes from the
    /// router at `peer`, or from the store.
    fn apply_manifest(&mut self, bytes: &[u8], peer: Option<SocketAddr>) {
        let manifest = match manifest::decode(bytes) {
            Ok(manifest) => manifest,
            Err(error) => {
                log::error!(target: "manifest", "event=manifest_ignored reason={:?}", error.to_string());
                return;
            }
        };
        let source = peer.map_or_else(|| "store".to_owned(), |peer| peer.to_string());
        let known = self.manifest_version();
        let era = self.store_era.unwrap_or_default();
        if self.manifest.is_some() && manifest.version <= known {
            if manifest.version < known {
                log::info!(target: "manifest", "event=manifest_outdated version={} known={known} source={source} era={era}", manifest.version);
            }
            return;
        }
        log::info!(
            target: "manifest",
            "event=manifest_in_force version={} before={known} source={source} era={era} hosts={}",
            manifest.version,
            manifest.routes.len()
        );
        let now = self.clock.now();
        match &self.manifest {
            Some(known) => self.route_changes.record(now, known, &manifest),
            None => self.route_changes.start(now, &manifest),
        }
        self.scheduler.set_manifest(&manifest);
        self.stats.set_manifest(&manifest);
        self.manifest = Some(Arc::new(manifest));
        self.manifest_bytes = bytes.to_vec();
    }

    /// Applies changes of the runners in use, and logs the removals that were deferred.
    pub(super) fn apply_runner_changes(&mut self, now: Time, changes: Vec<Change>, source: Source) {
        for change in changes {
            self.apply_runner_change(now, change, source);
        }
        self.announce_versions(now);
        self.log_deferrals(source);
    }

    fn apply_runner_change(&mut self, now: Time, change: Change, source: Source) {
        match change {
            Change::Set(entry) => {
                log::info!(
                    target: "runner",
                    "event=runner_listed runner={} service={} software={:?} started_at={} state={:?} domain={} address={} revision={} source={}",
                    entry.runner,
                    entry.service,
                    entry.software.to_string(),
                    entry.started_at,
                    entry.state,
                    entry.domain,
                    entry.address,
                    self.registry.revision(),
                    source.as_str()
                );
                self.scheduler.set_runner(now, entry);
            }
            Change::Removed(runner) => {
                log::info!(
                    target: "runner",
                    "event=runner_gone runner={runner} revision={} source={}",
                    self.registry.revision(),
                    source.as_str()
                );
                self.malformed_notices.remove(&runner);
                self.scheduler.remove_runner(&runner);
            }
        }
        self.run_actions();
    }

    /// Requests a view from a peer whose manifest or runner list is newer.
    fn request_view(&mut self, now: Time) {
        let is_too_soon = self
            .last_view_request
            .is_some_and(|requested| now.since(requested) < VIEW_INTERVAL);
        if is_too_soon {
            return;
        }
        let descriptor = self.descriptor(now);
        let peer = self.peers.newer_peer(now, &descriptor);
        let Some(peer) = peer else { return };
        self.last_view_request = Some(now);
        let version = self.manifest_version();
        let Some(index) = self.open_client(peer, Purpose::View(peer)) else {
            return;
        };
        let call = Request {
            method: "GET",
            target: format!("{VIEW_PATH}?manifest={version}"),
            body: Vec::new(),
        };
        if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
            connection.send(&call, peer, now + VIEW_TIMEOUT);
        }
    }

    /// Applies the view of a peer.
    fn apply_view(&mut self, now: Time, peer: SocketAddr, status: u16, body: &[u8]) {
        let view: View = match (status, rmp_serde::from_slice(body)) {
            (200, Ok(view)) => view,
            (_, decoded) => {
                let reason = decoded.err().map(|error| error.to_string());
                log::warn!(target: "peer", "event=view_ignored peer={peer} status={status} reason={reason:?}");
                return;
            }
        };
        self.has_peer_view = true;
        self.peers.record_view(peer, true);
        self.observe_era(now, view.revision.era, None);
        if !view.manifest.is_empty() {
            self.apply_manifest(&view.manifest, Some(peer));
        }
        self.scheduler.apply_streams(now, &view.streams);
        self.apply_evacuation_view(now, &view.evacuations);
        let held = view.held.into_iter();
        let changes = held
            .filter_map(|entry| self.registry.hold(now, entry))
            .collect();
        self.apply_runner_changes(now, changes, Source::Peer);
        let accepts_runners = self.peers.accepts_peer_runners(&self.descriptor(now));
        if view.revision > self.registry.revision() && accepts_runners {
            log::info!(target: "peer", "event=runners_from_peer peer={peer} revision={} expiring={}", view.revision, view.expiring.len());
            let View {
                runners,
                expiring,
                revision,
                ..
            } = view;
            let changes = self
                .registry
                .replace_by_view(now, runners, expiring, revision);
            self.is_runner_list_loaded = true;
            self.apply_runner_changes(now, changes, Source::Peer);
            self.scheduler.end_first_list();
        }
        // While the store changes all the time, the frames of a hub are always ahead of its
        // members, and only its views confirm their list.
        if let (Some(requested_at), Some(list_age)) = (self.last_view_request, view.list_age) {
            let confirmed_at = requested_at - list_age;
            self.confirm_by_peer(confirmed_at, view.revision, Confirmer::View(peer));
        }
    }

    /// Returns the view for a peer that has manifest `version`.
    pub(super) fn view(&self, now: Time, version: u64) -> View {
        let manifest = match version < self.manifest_version() {
            true => self.manifest_bytes.clone(),
            false => Vec::new(),
        };
        View {
            manifest,
            runners: self.registry.entries().cloned().collect(),
            held: self.registry.held().cloned().collect(),
            expiring: self.registry.expiring(now).collect(),
            revision: self.registry.revision(),
            streams: self.scheduler.streams(),
            evacuations: self.shared_evacuations(now),
            list_age: self.list_age(now),
        }
    }
}

fn decode_change(change: &StoreChange) -> Option<Change> {
    match change {
        StoreChange::Set(object) => decode_runner(object).map(Change::Set),
        StoreChange::Removed(name) => Runner::new(name).ok().map(Change::Removed),
    }
}

fn decode_runner(object: &Object) -> Option<Entry> {
    match runner::decode(&object.name, &object.content) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::warn!(target: "store", "event=runner_ignored name={:?} reason={:?}", object.name, error.to_string());
            None
        }
    }
}
