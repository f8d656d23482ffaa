//! Selection of the datagrams that are due, and their content.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use balsamchute_base::digest::Hasher;
use balsamchute_model::prelude::*;
use balsamchute_schedule::evacuation;
use balsamchute_schedule::report::{Report, Sum};

use crate::peers::{Descriptor, Frame, Listing, Peer, RECENT_TIMEOUT, Roster, Scope, Table, Tier};

/// Interval of datagrams to addresses without a reachable router: one seen
/// recently in a full mesh, one that is alive for a hub.
const PROBE_INTERVAL: Span = Span(1000);

/// Probes in one interval of the exchange. A router that starts in a large fleet learns
/// of all others from the first one that answers.
const MAX_PROBES: usize = 8;

/// Interval of rosters to the members of a domain while nothing in them changes.
const ROSTER_INTERVAL: Span = Span(400);

/// Reports of this router that are kept to take them off sums. A sum is at most a few
/// intervals older than the report in it.
const MAX_SENT_REPORTS: usize = 8;

/// Bound on the addresses that one datagram passes on.
const MAX_KNOWN_ADDRESSES: usize = 16;

/// A frame and the addresses that it is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Datagram addresses of the receiving routers.
    pub receivers: Vec<SocketAddr>,
    /// Content of the datagram.
    pub frame: Frame,
}

impl Table {
    /// Returns the frames that are due. `own_report` is the report of this
    /// router. The caller adds the evacuations and the age of the list of runners.
    pub fn outgoing(
        &mut self,
        now: Time,
        local: &Descriptor,
        own_report: &Report,
    ) -> Vec<Outgoing> {
        self.sequence += 1;
        self.sent_reports
            .push_back((self.sequence, own_report.clone()));
        if self.sent_reports.len() > MAX_SENT_REPORTS {
            self.sent_reports.pop_front();
        }
        let frame = Frame {
            sender: local.clone(),
            known_addresses: self.known_addresses(now),
            roster: Vec::new(),
            scope: Scope::Own,
            report: own_report.clone(),
            sequence: self.sequence,
            included: Vec::new(),
            evacuations: evacuation::Shared::default(),
            list_age: None,
        };
        match self.tier {
            Tier::Direct => vec![Outgoing {
                receivers: self.due_in_mesh(now),
                frame,
            }],
            Tier::Member(hub) => {
                // Routers report here and expect the sum if they take this one for
                // their hub, or while they receive no sums from their hub.
                let mut outgoing: Vec<Outgoing> = self
                    .frame_for_reporters(now, local, own_report)
                    .into_iter()
                    .collect();
                let mut receivers = vec![hub];
                if !self.is_hub_responsive(now, hub) {
                    receivers.extend(
                        self.domain_peers(now, &local.domain)
                            .filter(|&address| address != hub),
                    );
                }
                outgoing.push(self.frame_for_newcomers(now, local, &frame, hub));
                outgoing.push(Outgoing { receivers, frame });
                outgoing
            }
            Tier::Hub => {
                let mut outgoing: Vec<Outgoing> = self
                    .frame_for_reporters(now, local, own_report)
                    .into_iter()
                    .collect();
                outgoing.push(self.frame_for_hubs(now, local, own_report));
                // The sums already include the requests of this router.
                let frame = Frame {
                    report: Report::default(),
                    ..frame
                };
                let receivers = self.due_probes(now, |peer| peer.is_alive(now));
                outgoing.push(Outgoing { receivers, frame });
                outgoing
            }
        }
    }

    /// Returns whether the hub's sums arrive. While they do not, the routers of
    /// a domain send to each other directly, so that all of them agree on the
    /// next hub.
    fn is_hub_responsive(&self, now: Time, hub: SocketAddr) -> bool {
        let peer = self.peers.get(&hub).and_then(Option::as_ref);
        peer.is_some_and(|peer| peer.is_alive(now) && peer.has_recent_report(now, Scope::Fleet))
    }

    /// Returns the addresses of recently seen routers of a domain.
    fn domain_peers(&self, now: Time, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let recent = self
            .peers
            .iter()
            .filter(move |(_, peer)| is_recent(peer, now));
        let in_domain = recent.filter(move |(_, peer)| {
            peer.as_ref()
                .is_some_and(|peer| peer.descriptor.domain == domain)
        });
        in_domain.map(|(&address, _)| address)
    }

    /// Returns the frame for the routers that report here: the sum of all reports,
    /// theirs included, and the roster if it is due.
    fn frame_for_reporters(
        &mut self,
        now: Time,
        local: &Descriptor,
        own_report: &Report,
    ) -> Option<Outgoing> {
        // A router that has just started reports to all that it knows. Its own domain and
        // the hubs answer; from every member, the answers would be megabytes.
        let is_answered =
            |peer: &Peer| self.tier == Tier::Hub || peer.descriptor.domain == local.domain;
        let reporters = self.reporters(now).filter(|(_, peer)| is_answered(peer));
        let included: Vec<(SocketAddr, u64)> = reporters
            .map(|(&address, peer)| (address, peer.sequence))
            .collect();
        let receivers: Vec<SocketAddr> = included.iter().map(|(address, _)| *address).collect();
        if receivers.is_empty() {
            return None;
        }
        let mut sum = Sum::new();
        sum.add(own_report);
        for peer in self.peers.values().flatten() {
            let is_merged = match self.tier {
                Tier::Hub => {
                    peer.has_recent_report(now, Scope::Own)
                        || peer.has_recent_report(now, Scope::Domain)
                }
                // The report of the hub already includes the other members.
                Tier::Member(hub) => {
                    peer.descriptor.peers == hub && peer.has_recent_report(now, Scope::Fleet)
                }
                Tier::Direct => false,
            };
            if is_merged {
                sum.add(&peer.report);
            }
        }
        Some(Outgoing {
            receivers,
            frame: Frame {
                sender: local.clone(),
                known_addresses: Vec::new(),
                roster: self.due_roster(now),
                scope: Scope::Fleet,
                report: sum.into_report(),
                sequence: self.sequence,
                included,
                evacuations: evacuation::Shared::default(),
                list_age: None,
            },
        })
    }

    /// Returns the frame for routers of other domains that report here, with the addresses of
    /// the hubs. A router that starts may know no hub and no router of its own domain.
    fn frame_for_newcomers(
        &mut self,
        now: Time,
        local: &Descriptor,
        own_frame: &Frame,
        hub: SocketAddr,
    ) -> Outgoing {
        let newcomers = self
            .reporters(now)
            .filter(|(_, peer)| peer.descriptor.domain != local.domain);
        let newcomers: Vec<SocketAddr> = newcomers.map(|(&address, _)| address).collect();
        let mut hubs = self.other_hubs(now, local);
        hubs.push(hub);
        Outgoing {
            receivers: self.take_due(now, newcomers),
            frame: Frame {
                report: Report::default(),
                known_addresses: hubs,
                ..own_frame.clone()
            },
        }
    }

    /// Returns the roster of all routers if its interval has elapsed or a router has
    /// joined, restarted or changed its phase; empty otherwise.
    fn due_roster(&mut self, now: Time) -> Vec<Listing> {
        let mut hasher = Hasher::new();
        for Peer { descriptor, .. } in self.alive(now) {
            hasher.update(descriptor.instance.as_str().as_bytes());
            hasher.update(&descriptor.incarnation.to_le_bytes());
            hasher.update(&[descriptor.phase as u8]);
        }
        let digest = hasher.digest().0 as u64;
        let is_unchanged = digest == self.roster.digest;
        if is_unchanged && now.since(self.roster.sent_at) < ROSTER_INTERVAL {
            return Vec::new();
        }
        self.roster = Roster {
            sent_at: now,
            digest,
        };
        self.roster(now, None)
    }

    /// Returns the frame with the sum of this domain, addressed to the hubs of
    /// the other domains.
    fn frame_for_hubs(&self, now: Time, local: &Descriptor, own_report: &Report) -> Outgoing {
        let mut sum = Sum::new();
        sum.add(own_report);
        for (_, peer) in self.reporters(now) {
            sum.add(&peer.report);
        }
        Outgoing {
            receivers: self.other_hubs(now, local),
            frame: Frame {
                sender: local.clone(),
                known_addresses: Vec::new(),
                roster: self.roster(now, Some(&local.domain)),
                scope: Scope::Domain,
                report: sum.into_report(),
                sequence: self.sequence,
                included: Vec::new(),
                evacuations: evacuation::Shared::default(),
                list_age: None,
            },
        }
    }

    /// Returns the hubs of the other domains.
    fn other_hubs(&self, now: Time, local: &Descriptor) -> Vec<SocketAddr> {
        let domains: BTreeSet<&String> = self
            .alive(now)
            .map(|peer| &peer.descriptor.domain)
            .collect();
        let others = domains
            .into_iter()
            .filter(|domain| **domain != local.domain);
        others
            .filter_map(|domain| self.elect_hub(now, local, domain))
            .collect()
    }

    /// Returns the routers that send their own reports to this one.
    fn reporters(&self, now: Time) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let peers = self.peers.iter();
        peers
            .filter_map(|(address, peer)| Some((address, peer.as_ref()?)))
            .filter(move |(_, peer)| peer.has_recent_report(now, Scope::Own))
    }

    fn roster(&self, now: Time, domain: Option<&str>) -> Vec<Listing> {
        let alive = self.alive(now);
        let listed =
            alive.filter(|peer| domain.is_none_or(|domain| peer.descriptor.domain == domain));
        listed
            .map(|peer| Listing {
                descriptor: peer.descriptor.clone(),
                age: now.since(peer.last_seen),
                sequence: peer.latest_sequence,
            })
            .collect()
    }

    /// Returns the receivers in a full mesh: all recently seen routers, and the
    /// other addresses whose probe is due.
    fn due_in_mesh(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut due: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_recent(peer, now))
            .map(|(&address, _)| address)
            .collect();
        due.extend(self.due_probes(now, |peer| now.since(peer.last_seen) < RECENT_TIMEOUT));
        due
    }

    /// Returns the addresses that are due for a probe, among those with no known
    /// router or with one that `is_reachable` rejects.
    fn due_probes(&mut self, now: Time, is_reachable: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let unreachable = peers.filter(|(_, peer)| !peer.as_ref().is_some_and(&is_reachable));
        let addresses = unreachable.map(|(&address, _)| address).collect();
        self.take_due(now, addresses)
    }

    /// Returns those of the addresses whose last probe is old enough, and records a probe.
    fn take_due(&mut self, now: Time, addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let due: Vec<SocketAddr> = addresses
            .into_iter()
            .filter(|address| {
                let last_probe = self.last_probes.get(address);
                last_probe.is_none_or(|&last_probe| now.since(last_probe) >= PROBE_INTERVAL)
            })
            .take(MAX_PROBES)
            .collect();
        for &address in &due {
            self.last_probes.insert(address, now);
        }
        due
    }

    /// Returns the addresses of live routers to pass on in datagrams.
    fn known_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let alive = self.alive(now).map(|peer| peer.descriptor.peers);
        alive.take(MAX_KNOWN_ADDRESSES).collect()
    }
}

fn is_recent(peer: &Option<Peer>, now: Time) -> bool {
    let last_seen = peer.as_ref().map(|peer| peer.last_seen);
    last_seen.is_some_and(|last_seen| now.since(last_seen) < RECENT_TIMEOUT)
}
