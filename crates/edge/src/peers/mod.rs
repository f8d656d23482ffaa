//! Peer table: the other routers of the fleet, and the selection of datagram
//! receivers.
//!
//! In a small fleet every router sends to every other one. In a large fleet
//! that would cost each router thousands of datagrams a second, so the oldest
//! router of each failure domain acts as its hub. Members send only to their
//! hub, hubs exchange the sums of their domains, and all members of a domain receive
//! the same frame: the sum of all routers, from which each takes its own part off, at
//! intervals with a list of live routers. When a hub times out, the next oldest router
//! takes over.

mod outgoing;
mod source;

use std::collections::VecDeque;
use std::net::SocketAddr;

use balsamchute_model::prelude::*;
use balsamchute_schedule::report::Report;
use indexmap::IndexMap;

pub use crate::frame::{Descriptor, Frame, Listing, Phase, Scope};
pub use outgoing::Outgoing;

/// Time without a datagram after which a router is no longer considered alive nor
/// listed to callers: four missed datagrams.
const ALIVE_TIMEOUT: Span = Span(450);

/// Same as [`ALIVE_TIMEOUT`] for routers known only through a hub. Includes the
/// timeout of the hub, the first datagram to the next hub, its reply, and the interval
/// of rosters.
const RELAYED_ALIVE_TIMEOUT: Span = Span(1500);

/// Time since a router was last seen after which it receives datagrams only at
/// the probe interval.
const RECENT_TIMEOUT: Span = Span(3000);

/// Age above which a report is excluded from sums.
const MAX_REPORT_AGE: Span = Span(600);

/// Fleet size from which on datagrams go through hubs. In smaller fleets the
/// full mesh costs each router fewer than 200 datagrams a second.
const HUB_ENTER_ROUTERS: usize = 20;

/// Fleet size below which the full mesh is used again. Lower than
/// [`HUB_ENTER_ROUTERS`], so that the topology does not flap when single
/// routers join or leave.
const HUB_EXIT_ROUTERS: usize = 14;

/// Time between two updates of the table above which the process was paused. Datagrams that
/// waited meanwhile do not show that their senders are alive: with later ones, the directory
/// named a router that was killed during a pause of 7 s.
const PAUSE: Span = Span(3000);

/// Time after a pause in which datagrams are ignored: time to read those that waited, and
/// less than the interval of the exchange.
const PAUSE_IGNORED: Span = Span(60);

/// Upper bound of the peer table; further addresses are ignored.
const MAX_PEERS: usize = 1000;

/// Position of a router in the exchange, which selects its peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tier {
    /// Full mesh: exchanges with all other routers.
    Direct,
    /// Member of a domain: exchanges with the hub at this address.
    Member(SocketAddr),
    /// Hub of a domain: exchanges with the domain's members and the other hubs.
    Hub,
}

/// Latest state of another router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Descriptor that the router last published.
    pub descriptor: Descriptor,
    /// Time at which the descriptor was published, estimated if it was relayed.
    pub last_seen: Time,
    /// Time of the last datagram received from the router itself.
    last_datagram: Option<Time>,
    scope: Scope,
    report: Report,
    // Sequence number of the frame with the report.
    sequence: u64,
    // Highest number known of the router's frames, also from listings.
    latest_sequence: u64,
}

impl Peer {
    fn is_alive(&self, now: Time) -> bool {
        let limit = match self.last_datagram {
            Some(last_datagram) if last_datagram >= self.last_seen => ALIVE_TIMEOUT,
            _ => RELAYED_ALIVE_TIMEOUT,
        };
        now.since(self.last_seen) < limit
    }

    /// Returns whether a recent datagram of the router carried a report of
    /// `scope`.
    fn has_recent_report(&self, now: Time, scope: Scope) -> bool {
        let is_recent = |last_datagram| now.since(last_datagram) < MAX_REPORT_AGE;
        self.scope == scope && self.last_datagram.is_some_and(is_recent)
    }
}

/// The other routers of the fleet, keyed by their datagram address.
#[derive(Clone, Debug)]
pub struct Table {
    local_address: SocketAddr,
    tier: Tier,
    peers: IndexMap<SocketAddr, Option<Peer>>,
    last_probes: IndexMap<SocketAddr, Time>,
    // Reports of this router in its last frames, with their sequence numbers. Sums
    // include one of them.
    sent_reports: VecDeque<(u64, Report)>,
    sequence: u64,
    roster: Roster,
    last_update: Option<Time>,
    // Time up to which datagrams are ignored.
    ignored_until: Time,
    // Time since which another router is known to have newer state.
    behind_since: Option<Time>,
    // Router that did not answer the last request for its view.
    failed_source: Option<SocketAddr>,
}

/// Roster that was last sent to the members of the domain.
#[derive(Clone, Copy, Debug, Default)]
struct Roster {
    sent_at: Time,
    // Digest of the routers and their phases.
    digest: u64,
}

impl Table {
    /// Creates an empty table for the router with datagram address
    /// `local_address`.
    #[must_use]
    pub fn new(local_address: SocketAddr) -> Self {
        Table {
            local_address,
            tier: Tier::Direct,
            peers: IndexMap::new(),
            last_probes: IndexMap::new(),
            sent_reports: VecDeque::new(),
            sequence: 0,
            roster: Roster::default(),
            last_update: None,
            ignored_until: Time(0),
            behind_since: None,
            failed_source: None,
        }
    }

    /// Adds an address to send datagrams to, unless the table is full.
    pub fn add(&mut self, address: SocketAddr) {
        if address != self.local_address && self.peers.len() < MAX_PEERS {
            self.peers.entry(address).or_insert(None);
        }
    }

    /// Returns whether no other router is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Records a frame. Returns the source name under which its report is to be
    /// merged, or `None` if the report does not count at this tier.
    pub fn receive(&mut self, now: Time, frame: Frame) -> Option<Instance> {
        if self.was_paused(now) || now < self.ignored_until {
            return None;
        }
        for &address in &frame.known_addresses {
            self.add(address);
        }
        for listing in frame.roster {
            self.merge_listing(now, listing);
        }
        let address = frame.sender.peers;
        if address == self.local_address {
            return None;
        }
        let slot = self.peers.entry(address).or_insert(None);
        // The wall clock may have stepped back between two processes of a router.
        let is_stale = slot.as_ref().is_some_and(|peer| {
            peer.descriptor.incarnation > frame.sender.incarnation && peer.is_alive(now)
        });
        if is_stale {
            return None;
        }
        let is_merged = match (self.tier, frame.scope) {
            (Tier::Direct | Tier::Hub, Scope::Own) | (Tier::Hub, Scope::Domain) => true,
            (Tier::Member(hub), Scope::Fleet) => hub == address,
            _ => false,
        };
        // All sums of a domain share one source name, so that a new hub's sum
        // replaces that of the previous hub.
        let source = match frame.scope {
            Scope::Own => Some(frame.sender.instance.clone()),
            Scope::Domain => Instance::new(&format!("domain.{}", frame.sender.domain)).ok(),
            Scope::Fleet => Instance::new("fleet").ok(),
        };
        let local = self.local_address;
        let included = frame.included.iter().find(|(router, _)| *router == local);
        let own_report = included.and_then(|(_, sequence)| {
            let mut sent = self.sent_reports.iter();
            sent.find(|(sent_sequence, _)| sent_sequence == sequence)
        });
        let report = match own_report {
            Some((_, own_report)) => frame.report.excluding(own_report),
            None => frame.report,
        };
        let known = slot
            .as_ref()
            .filter(|peer| peer.descriptor.incarnation == frame.sender.incarnation);
        let known_sequence = known.map_or(0, |peer| peer.latest_sequence);
        *slot = Some(Peer {
            descriptor: frame.sender,
            last_seen: now,
            last_datagram: Some(now),
            scope: frame.scope,
            report,
            sequence: frame.sequence,
            latest_sequence: frame.sequence.max(known_sequence),
        });
        source.filter(|_| is_merged)
    }

    /// Returns the last report received from the router at `address`.
    #[must_use]
    pub fn report(&self, address: SocketAddr) -> Option<&Report> {
        let peer = self.peers.get(&address)?.as_ref()?;
        Some(&peer.report)
    }

    fn merge_listing(&mut self, now: Time, listing: Listing) {
        let address = listing.descriptor.peers;
        self.add(address);
        let Some(slot) = self.peers.get_mut(&address) else {
            return;
        };
        let last_seen = Time(now.0.saturating_sub(listing.age.0));
        match slot {
            Some(peer) => {
                let is_same = peer.descriptor.incarnation == listing.descriptor.incarnation;
                // The time that a listing takes does not show in its age. Passed on and
                // back, it would keep a router alive that is gone; its frames show that it
                // lives only by a number that is not known yet.
                let shows_life = match (is_same, listing.sequence) {
                    (true, 0) => true,
                    (true, sequence) => sequence > peer.latest_sequence,
                    (false, _) => !peer.is_alive(now),
                };
                let is_newer = peer.descriptor.incarnation < listing.descriptor.incarnation
                    || (last_seen > peer.last_seen && shows_life);
                if is_newer {
                    peer.descriptor = listing.descriptor;
                    peer.last_seen = last_seen;
                    peer.latest_sequence = listing.sequence;
                }
            }
            None => {
                *slot = Some(Peer {
                    descriptor: listing.descriptor,
                    last_seen,
                    last_datagram: None,
                    // Not evaluated until the first datagram replaces it.
                    scope: Scope::Fleet,
                    report: Report::default(),
                    sequence: 0,
                    latest_sequence: listing.sequence,
                });
            }
        }
    }

    /// Recomputes the tier of the `local` router. Returns `true` if its kind
    /// changed; merged reports of peers must then be dropped.
    pub fn update(&mut self, now: Time, local: &Descriptor) -> bool {
        if self.was_paused(now) {
            self.ignored_until = now + PAUSE_IGNORED;
        }
        self.last_update = Some(now);
        let fleet_size = self.count_seen_within(now, RECENT_TIMEOUT) as usize + 1;
        let is_large = match self.tier {
            Tier::Direct => fleet_size >= HUB_ENTER_ROUTERS,
            Tier::Member(_) | Tier::Hub => fleet_size >= HUB_EXIT_ROUTERS,
        };
        let tier = match self.elect_hub(now, local, &local.domain) {
            Some(hub) if is_large && hub == self.local_address => Tier::Hub,
            Some(hub) if is_large => Tier::Member(hub),
            _ => Tier::Direct,
        };
        let changed = std::mem::discriminant(&tier) != std::mem::discriminant(&self.tier);
        self.tier = tier;
        changed
    }

    /// Returns whether the process was paused until now, so that the table was not updated.
    fn was_paused(&self, now: Time) -> bool {
        self.last_update
            .is_some_and(|last_update| now.since(last_update) >= PAUSE)
    }

    /// Returns the position of this router in the exchange.
    #[must_use]
    pub fn tier(&self) -> Tier {
        self.tier
    }

    /// Returns the oldest router of a domain. Electing the oldest keeps a
    /// restarted router from taking the role back.
    fn elect_hub(&self, now: Time, local: &Descriptor, domain: &str) -> Option<SocketAddr> {
        let candidates = self.alive(now).map(|peer| &peer.descriptor).chain([local]);
        candidates
            .filter(|descriptor| descriptor.domain == domain && descriptor.phase != Phase::Leaving)
            .min_by_key(|descriptor| election_rank(descriptor))
            .map(|descriptor| descriptor.peers)
    }

    /// Returns the routers that were seen within their timeout.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values().flatten();
        peers.filter(move |peer| peer.is_alive(now))
    }

    /// Returns the number of routers seen within the last `span`.
    #[must_use]
    pub fn count_seen_within(&self, now: Time, span: Span) -> u32 {
        let peers = self.peers.values().flatten();
        peers
            .filter(|peer| now.since(peer.last_seen) < span)
            .count() as u32
    }
}

/// Returns the sort key for hub elections: serving routers first, then by age.
fn election_rank(descriptor: &Descriptor) -> (bool, u64, SocketAddr) {
    (
        descriptor.phase != Phase::Serving,
        descriptor.incarnation,
        descriptor.peers,
    )
}
