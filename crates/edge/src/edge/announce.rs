//! This router's object in the store: its address, and the refusals that must outlast it.

use balsamchute_adapter::store::{self, Request};
use balsamchute_model::prelude::*;
use balsamchute_schedule::report::Refusals;

use crate::client::{Message, Purpose};
use crate::edge::{Edge, Slot};
use crate::record;

/// Timeout of a write to the store.
const WRITE_TIMEOUT: Span = Span(1000);

/// Delay after a failed write of this router's object.
const ANNOUNCE_RETRY_DELAY: Span = Span(500);

impl Edge {
    /// Writes this router's object.
    pub(super) fn announce(&mut self, now: Time) {
        self.announced = true;
        let call = Request::create_router(&self.settings.instance, &self.router_object(now));
        self.write_object(now, &call);
    }

    fn write_object(&mut self, now: Time, call: &Request) {
        let store = self.settings.store;
        match self.open_client(store, Purpose::Announce) {
            Some(index) => {
                if let Some(Slot::Client(connection)) = self.slots.get_mut(index) {
                    connection.send(call, store, now + WRITE_TIMEOUT);
                }
            }
            None => self.announced = false,
        }
    }

    /// Continues with the response to a write of this router's object.
    pub(super) fn handle_announce_response(&mut self, now: Time, message: &Message) {
        match message.head.status {
            200 | 201 => {}
            // The object exists, unless this is the first start of the instance.
            409 => {
                let existing = store::decode_existing_router(&message.body).ok();
                let stored = existing
                    .as_ref()
                    .and_then(|router| self.apply_refusals(now, &router.refusals));
                let is_current = existing
                    .is_some_and(|router| router.peers == self.settings.listen.peers)
                    && stored.unwrap_or_default() == self.scheduler.refusals(now);
                if !is_current {
                    let router = self.router_object(now);
                    let call = Request::replace_router(&self.settings.instance, &router);
                    self.write_object(now, &call);
                }
            }
            status => {
                log::warn!(target: "store", "event=announce_failed status={status}");
                self.announced = false;
                self.announce_at = now + ANNOUNCE_RETRY_DELAY;
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
        store::Router {
            peers: self.settings.listen.peers,
            refusals,
        }
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
