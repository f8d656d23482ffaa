//! The other routers of the fleet, and which of them datagrams go to.
//!
//! In a small fleet every router sends to every other one. In a large one that
//! would be thousands of datagrams a second at each, so the oldest router of
//! each failure domain is its hub: members send only to their hub, hubs tell
//! each other the sums of their domains, and each member gets the sum of all
//! others with a list of who is alive. Nobody appoints a hub: when it falls
//! silent, the next oldest is it.

mod outgoing;
mod source;

use std::net::SocketAddr;

use balsamchute_model::prelude::*;
use balsamchute_schedule::report::Report;
use indexmap::IndexMap;

pub use crate::frame::{Card, Frame, Listed, Phase, Scope};
pub use outgoing::Outgoing;

/// Silence after which a router is no longer named to callers: four datagrams.
const SILENT: Span = Span(450);

/// As [`SILENT`], for routers that only a hub tells of: the silence of the hub,
/// the first datagram to the next one, and its answer come on top.
const SILENT_BY_HUB: Span = Span(1200);

/// Silence after which datagrams go to a router at the slow interval.
const GONE: Span = Span(3000);

/// Age above which a report is no longer added to sums.
const REPORT_AGE: Span = Span(600);

/// Routers from which on datagrams go by hubs: with fewer, those of all with
/// all cost each router under 200 datagrams a second.
const LARGE: usize = 20;

/// Routers below which a large fleet is small again, lower so that it does not
/// change with each router that comes and goes.
const SMALL: usize = 14;

/// Addresses of routers that are learnt at most; later ones are not taken in.
const MAX_PEERS: usize = 1000;

/// Whom a router exchanges with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tier {
    /// All others.
    Direct,
    /// The hub at this address.
    Member(SocketAddr),
    /// The members of its failure domain, and the other hubs.
    Hub,
}

/// What is known of one router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it last said of itself.
    pub card: Card,
    /// When it said so, as far as is known.
    pub heard: Time,
    /// When it last sent a datagram here.
    direct: Option<Time>,
    scope: Scope,
    report: Report,
}

impl Peer {
    fn is_alive(&self, now: Time) -> bool {
        let limit = match self.direct {
            Some(direct) if direct >= self.heard => SILENT,
            _ => SILENT_BY_HUB,
        };
        now.since(self.heard) < limit
    }

    /// Returns whether its own report came lately.
    fn reports(&self, now: Time, scope: Scope) -> bool {
        let is_new = |direct| now.since(direct) < REPORT_AGE;
        self.scope == scope && self.direct.is_some_and(is_new)
    }
}

/// The other routers by their address for datagrams.
#[derive(Clone, Debug)]
pub struct Table {
    me: SocketAddr,
    tier: Tier,
    peers: IndexMap<SocketAddr, Option<Peer>>,
    sent: IndexMap<SocketAddr, Time>,
}

impl Table {
    /// Creates a table of the router at `me` that knows nobody.
    #[must_use]
    pub fn new(me: SocketAddr) -> Self {
        Table {
            me,
            tier: Tier::Direct,
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

    /// Takes in a frame; returns under which name its report counts here, if it
    /// does.
    pub fn hear(&mut self, now: Time, frame: Frame) -> Option<Instance> {
        for &address in &frame.known {
            self.add(address);
        }
        for listed in frame.roster {
            self.hear_of(now, listed);
        }
        let address = frame.sender.peers;
        if address == self.me {
            return None;
        }
        let slot = self.peers.entry(address).or_insert(None);
        let is_stale = slot
            .as_ref()
            .is_some_and(|peer| peer.card.incarnation > frame.sender.incarnation);
        if is_stale {
            return None;
        }
        let counts = match (self.tier, frame.scope) {
            (Tier::Direct | Tier::Hub, Scope::Own) | (Tier::Hub, Scope::Domain) => true,
            (Tier::Member(hub), Scope::Fleet) => hub == address,
            _ => false,
        };
        // The sums of a domain replace each other whichever router sends them.
        let name = match frame.scope {
            Scope::Own => Some(frame.sender.instance.clone()),
            Scope::Domain => Instance::new(&format!("domain.{}", frame.sender.domain)).ok(),
            Scope::Fleet => Instance::new("fleet").ok(),
        };
        *slot = Some(Peer {
            card: frame.sender,
            heard: now,
            direct: Some(now),
            scope: frame.scope,
            report: frame.report,
        });
        name.filter(|_| counts)
    }

    /// Returns the report that a router sent last.
    #[must_use]
    pub fn report(&self, address: SocketAddr) -> Option<&Report> {
        let peer = self.peers.get(&address)?.as_ref()?;
        Some(&peer.report)
    }

    fn hear_of(&mut self, now: Time, listed: Listed) {
        let address = listed.card.peers;
        self.add(address);
        let Some(slot) = self.peers.get_mut(&address) else {
            return;
        };
        let heard = Time(now.0.saturating_sub(listed.age.0));
        match slot {
            Some(peer) => {
                let is_newer = peer.card.incarnation < listed.card.incarnation
                    || (peer.card.incarnation == listed.card.incarnation && heard > peer.heard);
                if is_newer {
                    peer.card = listed.card;
                    peer.heard = heard;
                }
            }
            None => {
                *slot = Some(Peer {
                    card: listed.card,
                    heard,
                    direct: None,
                    scope: Scope::Fleet,
                    report: Report::default(),
                });
            }
        }
    }

    /// Decides whom `me` exchanges with; returns whether that changed, so that
    /// what others reported has to be forgotten.
    pub fn update(&mut self, now: Time, me: &Card) -> bool {
        let size = self.heard_within(now, GONE) as usize + 1;
        let is_large = match self.tier {
            Tier::Direct => size >= LARGE,
            Tier::Member(_) | Tier::Hub => size >= SMALL,
        };
        let tier = match self.hub(now, me, &me.domain) {
            Some(hub) if is_large && hub == self.me => Tier::Hub,
            Some(hub) if is_large => Tier::Member(hub),
            _ => Tier::Direct,
        };
        let changed = std::mem::discriminant(&tier) != std::mem::discriminant(&self.tier);
        self.tier = tier;
        changed
    }

    /// Returns whom this router exchanges with.
    #[must_use]
    pub fn tier(&self) -> Tier {
        self.tier
    }

    /// Returns the oldest router of a domain: it was there longest, and one
    /// that comes back does not take over.
    fn hub(&self, now: Time, me: &Card, domain: &str) -> Option<SocketAddr> {
        let cards = self.alive(now).map(|peer| &peer.card).chain([me]);
        cards
            .filter(|card| card.domain == domain && card.phase != Phase::Leaving)
            .min_by_key(|card| age(card))
            .map(|card| card.peers)
    }

    /// Returns routers that were heard lately.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let known = self.peers.values().flatten();
        known.filter(move |peer| peer.is_alive(now))
    }

    /// Returns how many routers were heard within `span`.
    #[must_use]
    pub fn heard_within(&self, now: Time, span: Span) -> u32 {
        let heard = self.peers.values().flatten();
        heard.filter(|peer| now.since(peer.heard) < span).count() as u32
    }
}

/// Returns what orders routers by age, those that serve before those that start.
fn age(card: &Card) -> (bool, u64, SocketAddr) {
    (card.phase != Phase::Serving, card.incarnation, card.peers)
}
