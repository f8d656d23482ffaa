//! This router's object in the store: its address, and what must outlast it: refusals,
//! and during releases the versions that serve and the origins of streams.

use balsamchute_adapter::store::{self, Request};
use balsamchute_model::prelude::*;
use balsamchute_schedule::record::has_all;
use balsamchute_schedule::report::Refusals;
use balsamchute_schedule::stream::Correction;
use balsamchute_schedule::version::Set;

use crate::client::{Message, Purpose};
use crate::edge::{Edge, Slot};
use crate::record;

/// Timeout of a write to the store.
const WRITE_TIMEOUT: Span = Span(1000);

/// Delay after a failed write of this router's object.
const ANNOUNCE_RETRY_DELAY: Span = Span(500);

/// Time for which the first write waits for what it names, and the start of service for the
/// records of all routers.
const RECORD_WAIT: Span = Span(1000);

impl Edge {
    /// Returns whether the records of all routers are merged, need not be, or were waited for.
    pub(super) fn has_records(&self, now: Time) -> bool {
        let waited = now.since(self.started);
        self.settings.bootstrap || self.is_router_list_loaded || waited >= RECORD_WAIT
    }

    /// Merges the record of versions and streams in a router's object.
    pub(super) fn apply_record(&mut self, now: Time, router: &store::Router, is_own: bool) {
        let versions = match router.versions.is_empty() {
            true => Ok(Set::new()),
            false => record::decode_versions(&router.versions),
        };
        let streams = record::decode_streams(now, &router.streams);
        let routes = record::decode_routes(&router.routes);
        let (versions, streams, routes) = match (versions, streams, routes) {
            (Ok(versions), Ok(streams), Ok(routes)) => (versions, streams, routes),
            (versions, streams, routes) => {
                let reason = versions.err().or(streams.err()).or(routes.err());
                let reason = reason.map(|error| error.to_string());
                log::warn!(target: "store", "event=record_ignored peer={} reason={reason:?}", router.peers);
                self.stats.count_malformed("router_record");
                self.has_malformed_record = true;
                return;
            }
        };
        // Without versions, the router has served nothing yet.
        if !versions.is_empty() {
            self.route_changes.merge(routes);
        }
        let origins = self.scheduler.origins_mut();
        origins.versions_mut().merge(now, &versions);
        match is_own {
            true => origins.merge_own(now, &streams),
            false => origins.merge_record(now, &streams),
        }
    }

    /// Continues after the first list of routers, all of whose records are merged.
    pub(super) fn finish_records(&mut self) {
        if !self.settings.bootstrap {
            log::info!(
                target: "store",
                "event=records_read streams={} is_complete={}",
                self.scheduler.origins().len(),
                !self.has_malformed_record
            );
        }
        // A malformed record may have named further versions.
        if !self.settings.bootstrap && !self.has_malformed_record {
            self.scheduler.origins_mut().versions_mut().set_recorded();
            self.route_changes.set_complete();
        }
    }

    /// Returns whether the store probably accepts writes. A router that follows a hub does not
    /// read it, and knows from peers that it answers.
    pub(super) fn may_write_record(&self, now: Time) -> bool {
        self.has_store(now) || self.scheduler.origins().versions().is_confirmed(now)
    }

    /// Repeats the write of this router's object after a delay.
    pub(super) fn handle_announce_failure(&mut self, now: Time) {
        self.is_writing = false;
        self.announced = false;
        self.announce_at = now + ANNOUNCE_RETRY_DELAY;
        self.record_writer.record_failure();
    }

    /// Logs the streams whose origin became unknown.
    pub(super) fn log_corrections(&mut self) {
        for Correction { stream, cause } in self.scheduler.origins_mut().take_corrections() {
            self.stats.count_correction();
            log::warn!(target: "request", "event=origin_corrected stream={stream:016x} cause={cause:?}");
        }
    }

    /// Writes this router's object again if its record of versions or streams changed.
    pub(super) fn write_record(&mut self, now: Time) {
        if self.is_writing || !self.announced || !self.may_write_record(now) {
            return;
        }
        let versions = self.scheduler.origins().record_versions(now);
        let streams = self.scheduler.origins().unrecorded(now);
        let routers = self.router_count(now);
        if self.written_routes != self.route_changes.to_record(now) {
            self.record_writer.record_change();
        }
        if self.record_writer.is_due(now, routers, &versions, streams) {
            self.repeats_record = true;
            self.replace_object(now);
        }
    }

    fn router_count(&self, now: Time) -> u32 {
        u32::try_from(self.peers.alive(now).count() + 1).unwrap_or(u32::MAX)
    }

    fn replace_object(&mut self, now: Time) {
        let router = self.router_object(now);
        let call = Request::replace_router(&self.settings.instance, &router);
        self.write_object(now, &call);
    }

    /// Writes this router's object.
    pub(super) fn announce(&mut self, now: Time) {
        let is_complete = self.manifest.is_some() && self.is_runner_list_loaded;
        let is_waiting = now.since(self.started) < RECORD_WAIT;
        if is_waiting && !(is_complete && self.has_records(now)) {
            return;
        }
        self.announced = true;
        let call = Request::create_router(&self.settings.instance, &self.router_object(now));
        self.write_object(now, &call);
    }

    fn write_object(&mut self, now: Time, call: &Request) {
        self.is_writing = true;
        let origins = self.scheduler.origins();
        let (versions, begun) = (origins.record_versions(now), origins.begun());
        self.record_writer.record_write(now, versions, begun);
        self.written_routes = self.route_changes.to_record(now);
        let store = self.settings.store;
        match self.open_client(store, Purpose::Announce) {
            Some(index) => {
                if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
                    connection.send(call, store, now + WRITE_TIMEOUT);
                }
            }
            None => self.handle_announce_failure(now),
        }
    }

    /// Continues with the response to a write of this router's object.
    pub(super) fn handle_announce_response(&mut self, now: Time, message: &Message) {
        self.is_writing = false;
        match message.head.status {
            200 | 201 => self.repeats_record = false,
            // The object exists, unless this is the first start of the instance.
            409 => {
                let existing = store::decode_existing_router(&message.body).ok();
                let stored = existing
                    .as_ref()
                    .and_then(|router| self.apply_refusals(now, &router.refusals));
                let is_current = existing.is_some_and(|router| {
                    self.apply_record(now, &router, true);
                    router.peers == self.settings.listen.peers && self.is_recorded(now, &router)
                }) && stored.unwrap_or_default() == self.scheduler.refusals(now);
                match is_current {
                    true => self.repeats_record = false,
                    false => self.replace_object(now),
                }
            }
            status => {
                log::warn!(target: "store", "event=announce_failed status={status}");
                self.handle_announce_failure(now);
            }
        }
    }

    /// Returns the content of this router's object.
    fn router_object(&self, now: Time) -> store::Router {
        let refusals = self.scheduler.refusals(now);
        let refusals = match refusals == Refusals::default() {
            true => String::new(),
            false => record::encode(now, &refusals),
        };
        let origins = self.scheduler.origins();
        let versions = origins.record_versions(now);
        store::Router {
            peers: self.settings.listen.peers,
            refusals,
            versions: match versions.is_empty() {
                true => String::new(),
                false => record::encode_versions(&versions),
            },
            streams: record::encode_streams(
                now,
                &origins.record_streams(&versions, self.router_count(now)),
            ),
            routes: self
                .route_changes
                .to_record(now)
                .map_or_else(String::new, |routes| record::encode_routes(&routes)),
        }
    }

    /// Returns whether an object in the store has the versions of this router, and the streams
    /// that must outlast it.
    fn is_recorded(&self, now: Time, router: &store::Router) -> bool {
        let origins = self.scheduler.origins();
        let versions = origins.record_versions(now);
        let stored = record::decode_versions(&router.versions).unwrap_or_default();
        let needs_streams = origins.unrecorded(now).is_some_and(|streams| streams > 0);
        let routes = record::decode_routes(&router.routes).ok();
        has_all(&stored, &versions) && !needs_streams && routes == self.route_changes.to_record(now)
    }

    /// Applies the refusals of a router's object, unless they are out of date. Returns
    /// them.
    pub(super) fn apply_refusals(&mut self, now: Time, text: &str) -> Option<Refusals> {
        if text.is_empty() {
            return None;
        }
        match record::decode(now, text) {
            Ok(refusals) => {
                self.scheduler.apply_refusals(now, &refusals);
                self.run_actions();
                Some(refusals)
            }
            Err(error) => {
                log::warn!(target: "store", "event=refusals_ignored reason={:?}", error.to_string());
                None
            }
        }
    }
}
