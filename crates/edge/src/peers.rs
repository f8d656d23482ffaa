//! The other routers of the fleet, and which of them datagrams go to.
//!
//! In a small fleet every router sends to every other one. In a large one that
//! would be thousands of datagrams a second at each, so the oldest router of
//! each failure domain is its hub: members send only to their hub, hubs tell
//! each other the sums of their domains, and each member gets the sum of all
//! others with a list of who is alive. Nobody appoints a hub: when it falls
//! silent, the next oldest is it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use balsamchute_model::prelude::*;
use balsamchute_schedule::report::{Report, Sum};
use indexmap::IndexMap;

pub use crate::frame::{Card, Frame, Listed, Phase, Scope};

/// Silence after which a router is no longer named to callers: four datagrams.
const SILENT: Span = Span(450);

/// As [`SILENT`], for routers that only a hub tells of: the silence of the hub,
/// the first datagram to the next one, and its answer come on top.
const SILENT_BY_HUB: Span = Span(1200);

/// Silence after which datagrams go to a router at the slow interval.
const GONE: Span = Span(3000);

/// Interval of datagrams to routers that are not heard.
const SLOW_INTERVAL: Span = Span(1000);

/// Age above which a report is no longer added to sums.
const REPORT_AGE: Span = Span(600);

/// Routers from which on datagrams go by hubs: with fewer, those of all with
/// all cost each router under 200 datagrams a second.
const LARGE: usize = 20;

/// Routers below which a large fleet is small again, lower so that it does not
/// change with each router that comes and goes.
const SMALL: usize = 14;

/// Routers of a failure domain that ask the store while it answers no hub: with
/// a third of the machines turned away, one in 80 domains has none that gets
/// through.
const FOLLOWERS: usize = 4;

/// Addresses of routers that are learnt at most; later ones are not taken in.
const MAX_PEERS: usize = 1000;

/// Addresses that one datagram names at most.
const MAX_NAMED: usize = 16;

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

/// A frame and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receivers.
    pub to: Vec<SocketAddr>,
    /// What they get.
    pub frame: Frame,
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

    /// Returns whether this router follows the store itself. In a large fleet
    /// hubs do it for all; while none of them is answered by it, a few more try,
    /// because the store may turn away single machines.
    #[must_use]
    pub fn follows_store(&self, now: Time, me: &Card) -> bool {
        if !matches!(self.tier, Tier::Member(_)) {
            return true;
        }
        let of_domain = self.alive(now).filter(|peer| peer.card.domain == me.domain);
        let older = of_domain.filter(|peer| age(&peer.card) < age(me)).count();
        let any = self.alive(now).any(|peer| peer.card.has_store);
        !any && older < FOLLOWERS
    }

    /// Returns whether this router takes runners from others. In a large fleet
    /// all do: members from their hub, and hubs from each other, because one
    /// whose watch went silent would keep its whole domain behind. In a small
    /// one only those that the store does not answer.
    #[must_use]
    pub fn relies_on_others(&self, me: &Card) -> bool {
        self.tier != Tier::Direct || !me.has_store
    }

    /// Returns the router to ask for a newer manifest or newer runners, if one
    /// has them.
    #[must_use]
    pub fn newer(&self, now: Time, me: &Card) -> Option<SocketAddr> {
        let relies = self.relies_on_others(me);
        let is_newer =
            |card: &&Card| card.manifest > me.manifest || (relies && card.revision > me.revision);
        let is_asked = |card: &&Card| match self.tier {
            Tier::Member(hub) => card.peers == hub,
            Tier::Direct | Tier::Hub => true,
        };
        self.alive(now)
            .map(|peer| &peer.card)
            .filter(|card| is_asked(card) && is_newer(card))
            .max_by_key(|card| (card.manifest, card.revision))
            .map(|card| card.peers)
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

    /// Returns the frames that are due, `own` being the report of this router.
    pub fn outgoing(&mut self, now: Time, me: &Card, own: &Report) -> Vec<Outgoing> {
        let frame = Frame {
            sender: me.clone(),
            known: self.named(now),
            roster: Vec::new(),
            scope: Scope::Own,
            report: own.clone(),
        };
        match self.tier {
            Tier::Direct => vec![Outgoing {
                to: self.due(now),
                frame,
            }],
            Tier::Member(hub) => {
                let mut outgoing = self.to_listeners(now, me, own);
                let mut to = vec![hub];
                if !self.is_served(now, hub) {
                    to.extend(
                        self.domain(now, &me.domain)
                            .filter(|&address| address != hub),
                    );
                }
                outgoing.push(Outgoing { to, frame });
                outgoing
            }
            Tier::Hub => {
                let mut outgoing = self.to_listeners(now, me, own);
                outgoing.push(self.to_hubs(now, me, own));
                // What this router has under way is in the sums.
                let frame = Frame {
                    report: Report::default(),
                    ..frame
                };
                let to = self.due_slowly(now, |peer| peer.is_alive(now));
                outgoing.push(Outgoing { to, frame });
                outgoing
            }
        }
    }

    /// Returns whether the hub answers. While it does not, the routers of a
    /// domain tell each other that they live, so that the next one is found.
    fn is_served(&self, now: Time, hub: SocketAddr) -> bool {
        let peer = self.peers.get(&hub).and_then(Option::as_ref);
        peer.is_some_and(|peer| peer.is_alive(now) && peer.reports(now, Scope::Fleet))
    }

    /// Returns the routers of a domain that were heard before long.
    fn domain(&self, now: Time, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let heard = self
            .peers
            .iter()
            .filter(move |(_, peer)| is_heard(peer, now));
        let of =
            heard.filter(move |(_, peer)| peer.as_ref().is_some_and(|p| p.card.domain == domain));
        of.map(|(&address, _)| address)
    }

    /// Returns the sum of all others for each router that sends its report here.
    fn to_listeners(&self, now: Time, me: &Card, own: &Report) -> Vec<Outgoing> {
        let listeners: Vec<(&SocketAddr, &Peer)> = self.listeners(now).collect();
        if listeners.is_empty() {
            return Vec::new();
        }
        let mut sum = Sum::new();
        sum.add(own);
        for peer in self.peers.values().flatten() {
            let counts = match self.tier {
                Tier::Hub => peer.reports(now, Scope::Own) || peer.reports(now, Scope::Domain),
                // The hub counts them already.
                Tier::Member(hub) => peer.card.peers == hub && peer.reports(now, Scope::Fleet),
                Tier::Direct => false,
            };
            if counts {
                sum.add(&peer.report);
            }
        }
        let roster = self.roster(now, None);
        let to_each = listeners.into_iter().map(|(&address, peer)| Outgoing {
            to: vec![address],
            frame: Frame {
                sender: me.clone(),
                known: Vec::new(),
                roster: roster.clone(),
                scope: Scope::Fleet,
                report: sum.without(&peer.report),
            },
        });
        to_each.collect()
    }

    /// Returns the sum of this domain for the hubs of the others.
    fn to_hubs(&self, now: Time, me: &Card, own: &Report) -> Outgoing {
        let mut sum = Sum::new();
        sum.add(own);
        for (_, peer) in self.listeners(now) {
            sum.add(&peer.report);
        }
        let domains: BTreeSet<&String> = self.alive(now).map(|peer| &peer.card.domain).collect();
        let others = domains.into_iter().filter(|domain| **domain != me.domain);
        Outgoing {
            to: others
                .filter_map(|domain| self.hub(now, me, domain))
                .collect(),
            frame: Frame {
                sender: me.clone(),
                known: Vec::new(),
                roster: self.roster(now, Some(&me.domain)),
                scope: Scope::Domain,
                report: sum.into_report(),
            },
        }
    }

    /// Returns routers that send their own reports here.
    fn listeners(&self, now: Time) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let known = self.peers.iter();
        known
            .filter_map(|(address, peer)| Some((address, peer.as_ref()?)))
            .filter(move |(_, peer)| peer.reports(now, Scope::Own))
    }

    fn roster(&self, now: Time, domain: Option<&str>) -> Vec<Listed> {
        let alive = self.alive(now);
        let listed = alive.filter(|peer| domain.is_none_or(|domain| peer.card.domain == domain));
        listed
            .map(|peer| Listed {
                card: peer.card.clone(),
                age: now.since(peer.heard),
            })
            .collect()
    }

    /// Returns the addresses that a datagram should go to now in a small fleet.
    fn due(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut due: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_heard(peer, now))
            .map(|(&address, _)| address)
            .collect();
        due.extend(self.due_slowly(now, |peer| now.since(peer.heard) < GONE));
        due
    }

    /// Returns addresses that are tried at the slow interval, those of routers
    /// that are not `heard`.
    fn due_slowly(&mut self, now: Time, heard: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let unheard = peers.filter(|(_, peer)| !peer.as_ref().is_some_and(&heard));
        let due: Vec<SocketAddr> = unheard
            .map(|(&address, _)| address)
            .filter(|address| {
                let last = self.sent.get(address);
                last.is_none_or(|&last| now.since(last) >= SLOW_INTERVAL)
            })
            .collect();
        for &address in &due {
            self.sent.insert(address, now);
        }
        due
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

    /// Returns addresses to name in datagrams.
    fn named(&self, now: Time) -> Vec<SocketAddr> {
        let alive = self.alive(now).map(|peer| peer.card.peers);
        alive.take(MAX_NAMED).collect()
    }
}

/// Returns what orders routers by age, those that serve before those that start.
fn age(card: &Card) -> (bool, u64, SocketAddr) {
    (card.phase != Phase::Serving, card.incarnation, card.peers)
}

fn is_heard(peer: &Option<Peer>, now: Time) -> bool {
    let heard = peer.as_ref().map(|peer| peer.heard);
    heard.is_some_and(|heard| now.since(heard) < GONE)
}
