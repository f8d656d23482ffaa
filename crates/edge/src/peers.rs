//! The other routers of the fleet.

use std::net::SocketAddr;

use balsamchute_model::prelude::*;
use balsamchute_schedule::report::Report;
use indexmap::IndexMap;

pub use crate::frame::{Frame, Phase};

/// Silence after which a router is no longer named to callers: four datagrams.
const SILENT: Span = Span(450);

/// Silence after which datagrams go to a router at the slow interval.
const GONE: Span = Span(3000);

/// Interval of datagrams to routers that are not heard.
const SLOW_INTERVAL: Span = Span(1000);

/// Addresses of routers that are learnt at most; later ones are not taken in.
const MAX_PEERS: usize = 1000;

/// Addresses that one datagram names at most.
const MAX_NAMED: usize = 16;

/// What is known of one router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The newest frame, without its report.
    pub frame: Frame,
    /// When it came.
    pub heard: Time,
}

/// The other routers by their address for datagrams.
#[derive(Clone, Debug)]
pub struct Table {
    me: SocketAddr,
    peers: IndexMap<SocketAddr, Option<Peer>>,
    sent: IndexMap<SocketAddr, Time>,
}

impl Table {
    /// Creates a table of the router at `me` that knows nobody.
    #[must_use]
    pub fn new(me: SocketAddr) -> Self {
        Table {
            me,
            peers: IndexMap::new(),
            sent: IndexMap::new(),
        }
    }

    /// Adds an address to send datagrams to.
    pub fn add(&mut self, address: SocketAddr) {
        if address != self.me && self.peers.len() < MAX_PEERS {
            self.peers.entry(address).or_insert(None);
        }
    }

    /// Takes in a frame; returns whether it is newer than what is known.
    pub fn hear(&mut self, now: Time, frame: &Frame) -> bool {
        if frame.peers == self.me {
            return false;
        }
        for &address in &frame.known {
            self.add(address);
        }
        let slot = self.peers.entry(frame.peers).or_insert(None);
        let stale = slot
            .as_ref()
            .is_some_and(|peer| peer.frame.incarnation > frame.incarnation);
        if stale {
            return false;
        }
        let frame = Frame {
            report: Report::default(),
            known: Vec::new(),
            ..frame.clone()
        };
        *slot = Some(Peer { frame, heard: now });
        true
    }

    /// Returns the addresses that a datagram should go to now.
    pub fn due(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (&address, peer) in &self.peers {
            let heard = peer
                .as_ref()
                .is_some_and(|peer| now.since(peer.heard) < GONE);
            let last = self.sent.get(&address).copied();
            let is_due = heard || last.is_none_or(|last| now.since(last) >= SLOW_INTERVAL);
            if is_due {
                due.push(address);
            }
        }
        for &address in &due {
            self.sent.insert(address, now);
        }
        due
    }

    /// Returns routers that were heard lately.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .flatten()
            .filter(move |peer| now.since(peer.heard) < SILENT)
    }

    /// Returns how many routers were heard within `span`.
    #[must_use]
    pub fn heard_within(&self, now: Time, span: Span) -> u32 {
        let heard = self.peers.values().flatten();
        heard.filter(|peer| now.since(peer.heard) < span).count() as u32
    }

    /// Returns addresses to name in datagrams.
    #[must_use]
    pub fn named(&self, now: Time) -> Vec<SocketAddr> {
        let alive = self.alive(now).map(|peer| peer.frame.peers);
        alive.take(MAX_NAMED).collect()
    }
}
