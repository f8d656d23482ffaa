//! Which datagrams are due, and what they tell.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use balsamchute_model::prelude::*;
use balsamchute_schedule::report::{Report, Sum};

use crate::peers::{Card, Frame, GONE, Listed, Peer, Scope, Table, Tier};

/// Interval of datagrams to routers that are not heard.
const SLOW_INTERVAL: Span = Span(1000);

/// Addresses that one datagram names at most.
const MAX_NAMED: usize = 16;

/// A frame and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receivers.
    pub to: Vec<SocketAddr>,
    /// What they get.
    pub frame: Frame,
}

impl Table {
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

    /// Returns addresses to name in datagrams.
    fn named(&self, now: Time) -> Vec<SocketAddr> {
        let alive = self.alive(now).map(|peer| peer.card.peers);
        alive.take(MAX_NAMED).collect()
    }
}

fn is_heard(peer: &Option<Peer>, now: Time) -> bool {
    let heard = peer.as_ref().map(|peer| peer.heard);
    heard.is_some_and(|heard| now.since(heard) < GONE)
}
