//! Following the platform's store, and what other routers know in its place.

use std::net::SocketAddr;
use std::sync::Arc;

use balsamchute_adapter::store::{self, Call, Change as StoreChange, Kind, Object};
use balsamchute_adapter::{manifest, runner};
use balsamchute_model::prelude::*;

use crate::client::{Connection, Purpose};
use crate::edge::{Edge, Slot};
use crate::frame::{VIEW_PATH, View};
use crate::registry::Change;
use crate::socket::{Input, Socket};
use crate::sync::News;

/// Longest time for the answer to a write.
const WRITE_TIME: Span = Span(1000);

/// Longest time for a call to another router.
const VIEW_TIME: Span = Span(500);

/// Interval of calls to another router while the store does not answer.
const VIEW_INTERVAL: Span = Span(300);

/// Age of the last answer above which the store counts as away.
const STORE_AWAY: Span = Span(3500);

/// Interval at which routers are listed; datagrams tell of them sooner.
const ROUTERS_INTERVAL: Span = Span::from_secs(20);

impl Edge {
    /// Makes the calls to the store that are due.
    pub(super) fn follow_store(&mut self, now: Time) {
        let follows = !self.is_complete() || self.peers.follows_store(now, &self.card(now));
        for kind in [Kind::Manifest, Kind::Runners, Kind::Routers] {
            if !follows {
                break;
            }
            let call = self.syncs.get_mut(&kind).and_then(|sync| sync.call(now));
            if let Some((call, time)) = call {
                self.call_store(now, kind, &call, time);
            }
        }
        if !self.announced && self.has_store(now) {
            self.announced = true;
            let listen = self.settings.listen;
            let call = Call::replace_router(&self.settings.instance, listen.peers);
            self.announce(now, &call);
        }
        self.expire_calls(now);
        self.ask_peer(now);
    }

    /// Returns whether the store answered lately.
    pub(super) fn has_store(&self, now: Time) -> bool {
        let heard = self
            .store_heard
            .is_some_and(|heard| now.since(heard) < STORE_AWAY);
        heard && self.store_failed.is_none()
    }

    fn call_store(&mut self, now: Time, kind: Kind, call: &Call, time: Span) {
        let index = match self.followers.get(&kind) {
            Some(&index) => index,
            None => match self.open(self.settings.store, Purpose::Follow(kind)) {
                Some(index) => {
                    self.followers.insert(kind, index);
                    index
                }
                None => {
                    self.take_answer(now, kind, None);
                    return;
                }
            },
        };
        let store = self.settings.store;
        if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
            connection.send(call, store, now + time);
        }
    }

    fn announce(&mut self, now: Time, call: &Call) {
        let store = self.settings.store;
        match self.open(store, Purpose::Announce) {
            Some(index) => {
                if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
                    connection.send(call, store, now + WRITE_TIME);
                }
            }
            None => self.announced = false,
        }
    }

    fn open(&mut self, address: SocketAddr, purpose: Purpose) -> Option<usize> {
        let socket = match Socket::connect(address) {
            Ok(socket) => socket,
            Err(error) => {
                log::warn!(target: "store", "event=connect_failed address={address} error={:?}", error.to_string());
                return None;
            }
        };
        let connection = Connection::new(socket, purpose);
        let index = self.slots.insert(Slot::Client(Box::new(connection)));
        if let Err(error) = self.register(index) {
            log::warn!(target: "store", "event=register_failed error={:?}", error.to_string());
            self.close(index);
            return None;
        }
        Some(index)
    }

    pub(super) fn client_ready(&mut self, index: usize) {
        if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
            connection.socket.flush();
        }
        loop {
            match self.read(index) {
                Input::Bytes(length) => {
                    let Some(Slot::Client(connection)) = self.slots.get_mut(index) else {
                        return;
                    };
                    match connection.receive(&self.scratch[..length]) {
                        Ok(Some((status, body, keep))) => {
                            self.client_answered(index, status, &body, keep);
                        }
                        Ok(None) => {}
                        Err(error) => {
                            log::warn!(target: "store", "event=invalid_answer reason={:?}", error.to_string());
                            self.client_failed(index);
                            return;
                        }
                    }
                }
                Input::Nothing => return,
                Input::End => {
                    let answer = match self.slots.get_mut(index) {
                        Some(Slot::Client(connection)) => connection.ended(),
                        _ => None,
                    };
                    match answer {
                        Some((status, body, _)) => {
                            self.client_answered(index, status, &body, false);
                        }
                        None => self.client_failed(index),
                    }
                    return;
                }
                Input::Broken => {
                    self.client_failed(index);
                    return;
                }
            }
        }
    }

    fn client_answered(&mut self, index: usize, status: u16, body: &[u8], keep: bool) {
        let now = self.now();
        let Some(Slot::Client(connection)) = self.slots.get(index) else {
            return;
        };
        let purpose = connection.purpose;
        if !keep || !matches!(purpose, Purpose::Follow(_)) {
            self.drop_client(index);
        }
        match purpose {
            Purpose::Follow(kind) => {
                self.take_answer(now, kind, Some((status, body)));
                self.follow_store(now);
            }
            Purpose::Announce => self.take_announced(now, status),
            Purpose::View(peer) => self.take_view(now, peer, status, body),
        }
    }

    fn client_failed(&mut self, index: usize) {
        let now = self.now();
        let Some(Slot::Client(connection)) = self.slots.get(index) else {
            return;
        };
        let (purpose, was_calling) = (connection.purpose, connection.until.is_some());
        self.drop_client(index);
        match purpose {
            Purpose::Follow(kind) if was_calling => self.take_answer(now, kind, None),
            Purpose::Follow(_) => {}
            Purpose::Announce => self.announced = false,
            Purpose::View(peer) => {
                log::info!(target: "peer", "event=view_failed peer={peer}");
            }
        }
    }

    fn drop_client(&mut self, index: usize) {
        self.followers.retain(|_, follower| *follower != index);
        self.close(index);
    }

    fn expire_calls(&mut self, now: Time) {
        let mut late = Vec::new();
        for (index, slot) in &self.slots {
            if let Slot::Client(connection) = slot
                && connection.until.is_some_and(|until| now >= until)
            {
                late.push(index);
            }
        }
        for index in late {
            self.client_failed(index);
        }
    }

    fn take_announced(&mut self, now: Time, status: u16) {
        match status {
            200 | 201 => {}
            // Not there yet: this is the first life of the instance.
            404 => {
                let peers = self.settings.listen.peers;
                let call = Call::create_router(&self.settings.instance, peers);
                self.announce(now, &call);
            }
            _ => {
                log::warn!(target: "store", "event=announce_failed status={status}");
                self.announced = false;
            }
        }
    }

    /// Takes in an answer of the store, or that there was none.
    fn take_answer(&mut self, now: Time, kind: Kind, answer: Option<(u16, &[u8])>) {
        let Some(sync) = self.syncs.get_mut(&kind) else {
            return;
        };
        let was_failing = sync.is_failing();
        let news = sync.answer(now, answer);
        self.report.store_call(!matches!(news, News::Failed(_)));
        if let News::Failed(reason) = news {
            if self.store_failed.is_none() {
                log::warn!(target: "store", "event=store_lost kind={kind:?} reason={reason:?}");
                self.store_failed = Some(now);
            }
            return;
        }
        self.store_heard = Some(now);
        let failed = self.store_failed.take();
        if let Some(since) = failed {
            let away = now.since(since);
            log::info!(target: "store", "event=store_regained kind={kind:?} away_ms={}", away.0);
        }
        // The wait for lapsed entries begins before the answer that may lack
        // them is used.
        if failed.is_some() || (was_failing && kind == Kind::Runners) {
            self.registry.store_returned(now);
        }
        match news {
            News::Failed(_) | News::Nothing => {}
            News::All(objects, revision) => self.take_list(now, kind, objects, revision),
            News::Changes(changes, revision) => {
                if kind == Kind::Runners {
                    if revision <= self.registry.revision() {
                        // Another router told of them already.
                        return;
                    }
                    self.registry.advance_to(revision);
                }
                for change in changes {
                    self.take_change(now, kind, change);
                }
            }
        }
    }

    fn take_list(&mut self, now: Time, kind: Kind, objects: Vec<Object>, revision: u64) {
        match kind {
            Kind::Manifest | Kind::Routers => {
                for object in objects {
                    self.take_change(now, kind, StoreChange::Set(object));
                }
            }
            Kind::Runners if revision < self.registry.revision() => {
                // The watch from there on brings the rest again.
                log::info!(target: "store", "event=list_outdated revision={revision} known={}", self.registry.revision());
            }
            Kind::Runners => {
                let entries = objects.iter().filter_map(decode_runner).collect();
                let changes = self.registry.replace(now, entries, revision);
                self.has_runners = true;
                for change in changes {
                    self.apply_runner(now, change);
                }
            }
        }
        if kind == Kind::Routers
            && let Some(sync) = self.syncs.get_mut(&kind)
        {
            sync.list_again(now + ROUTERS_INTERVAL);
        }
    }

    fn take_change(&mut self, now: Time, kind: Kind, change: StoreChange) {
        match (kind, change) {
            (Kind::Manifest, StoreChange::Set(object)) if object.name == store::MANIFEST_NAME => {
                self.take_manifest(&object.content);
            }
            (Kind::Runners, StoreChange::Set(object)) => {
                if let Some(entry) = decode_runner(&object)
                    && let Some(change) = self.registry.set(entry)
                {
                    self.apply_runner(now, change);
                }
            }
            (Kind::Runners, StoreChange::Removed(name)) => {
                let runner = Runner::new(&name).ok();
                let change = runner.and_then(|runner| self.registry.remove(now, &runner));
                if let Some(change) = change {
                    self.apply_runner(now, change);
                }
            }
            (Kind::Routers, StoreChange::Set(object)) => match store::router(&object.content) {
                Ok(address) => self.peers.add(address),
                Err(error) => {
                    log::warn!(target: "store", "event=router_ignored name={:?} reason={:?}", object.name, error.to_string());
                }
            },
            _ => {}
        }
    }

    /// Takes a manifest into force if it is newer than the one in force.
    fn take_manifest(&mut self, bytes: &[u8]) {
        let manifest = match manifest::decode(bytes) {
            Ok(manifest) => manifest,
            Err(error) => {
                log::error!(target: "manifest", "event=manifest_ignored reason={:?}", error.to_string());
                return;
            }
        };
        if self.manifest.is_some() && manifest.version <= self.manifest_version() {
            return;
        }
        log::info!(
            target: "manifest",
            "event=manifest_in_force version={} before={} hosts={}",
            manifest.version,
            self.manifest_version(),
            manifest.routes.len()
        );
        self.core.set_manifest(&manifest);
        self.report.set_manifest(&manifest);
        self.manifest = Some(Arc::new(manifest));
        self.manifest_bytes = bytes.to_vec();
    }

    pub(super) fn apply_runner(&mut self, now: Time, change: Change) {
        match change {
            Change::Set(entry) => {
                log::info!(
                    target: "runner",
                    "event=runner_listed runner={} service={} state={:?} domain={} address={} revision={}",
                    entry.runner,
                    entry.service,
                    entry.state,
                    entry.domain,
                    entry.address,
                    self.registry.revision()
                );
                self.core.set_runner(now, entry);
            }
            Change::Gone(runner) => {
                log::info!(
                    target: "runner",
                    "event=runner_gone runner={runner} revision={}",
                    self.registry.revision()
                );
                self.core.remove_runner(&runner);
            }
        }
        self.act();
    }

    /// Asks another router for what the store does not tell.
    fn ask_peer(&mut self, now: Time) {
        let recently = self
            .view_asked
            .is_some_and(|asked| now.since(asked) < VIEW_INTERVAL);
        if recently {
            return;
        }
        let peer = self.peers.newer(now, &self.card(now));
        let Some(peer) = peer else { return };
        self.view_asked = Some(now);
        let version = self.manifest_version();
        let Some(index) = self.open(peer, Purpose::View(peer)) else {
            return;
        };
        let call = Call {
            method: "GET",
            target: format!("{VIEW_PATH}?manifest={version}"),
            body: Vec::new(),
        };
        if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
            connection.send(&call, peer, now + VIEW_TIME);
        }
    }

    /// Takes in what another router knows.
    fn take_view(&mut self, now: Time, peer: SocketAddr, status: u16, body: &[u8]) {
        let view: View = match (status, rmp_serde::from_slice(body)) {
            (200, Ok(view)) => view,
            (_, decoded) => {
                let reason = decoded.err().map(|error| error.to_string());
                log::warn!(target: "peer", "event=view_ignored peer={peer} status={status} reason={reason:?}");
                return;
            }
        };
        if !view.manifest.is_empty() {
            self.take_manifest(&view.manifest);
        }
        let relies = self.peers.relies_on_others(&self.card(now));
        if view.revision > self.registry.revision() && relies {
            log::info!(target: "peer", "event=runners_from_peer peer={peer} revision={}", view.revision);
            let changes = self.registry.replace(now, view.runners, view.revision);
            self.has_runners = true;
            for change in changes {
                self.apply_runner(now, change);
            }
        }
    }

    /// Returns what this router tells one that has manifest `version`.
    pub(super) fn view(&self, version: u64) -> View {
        let manifest = match version < self.manifest_version() {
            true => self.manifest_bytes.clone(),
            false => Vec::new(),
        };
        View {
            manifest,
            runners: self.registry.entries().cloned().collect(),
            revision: self.registry.revision(),
        }
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
