//! Sources of the manifest and the runner list: the store, or other routers.

use std::net::SocketAddr;

use balsamchute_base::rank;
use balsamchute_model::prelude::*;

use crate::peers::{Descriptor, HUB_ENTER_ROUTERS, Phase, Table, Tier, election_rank};

/// Routers of a failure domain, its hub included, of which one reads from the store. If the
/// store rejects a third of the machines, one in 80 domains is left without a router that
/// gets through.
const MAX_READERS: usize = 4;

/// Time for which a member waits for its hub to have the newer state that other routers
/// have. A hub that follows the store has it within a few intervals of the exchange; one
/// that is cut off or slow must not keep its domain outdated.
const HUB_PATIENCE: Span = Span(500);

impl Table {
    /// Returns whether this router reads from the store itself. In a large fleet only hubs
    /// do, and in place of a hub that has no store connection the next of the first
    /// `MAX_READERS` routers of its domain by election rank, because the store may reject
    /// single machines.
    ///
    /// A router makes way only for one that ranks before it. If any connected router ended
    /// the reading of all others, they would stop for each other, and none would read until
    /// their connections no longer count as recent.
    #[must_use]
    pub fn reads_store(&self, now: Time, local: &Descriptor) -> bool {
        if !matches!(self.tier, Tier::Member(_)) {
            return true;
        }
        let mut rank = 0;
        for peer in self.alive(now) {
            let descriptor = &peer.descriptor;
            if descriptor.domain != local.domain
                || election_rank(descriptor) >= election_rank(local)
            {
                continue;
            }
            rank += 1;
            if descriptor.has_store {
                return false;
            }
        }
        rank < MAX_READERS
    }

    /// Returns the latest time at which another router reported a store connection.
    #[must_use]
    pub fn connected_at(&self) -> Option<Time> {
        let peers = self.peers.values().flatten();
        let connected = peers.filter(|peer| peer.descriptor.has_store);
        connected.map(|peer| peer.last_seen).max()
    }

    /// Returns whether this router accepts runner lists from other routers. In
    /// a small fleet only routers that start or have no store connection do. In a large
    /// fleet all do: members get them from their hub, and hubs from each other,
    /// because a hub whose watch stalled would keep its whole domain outdated.
    #[must_use]
    pub fn accepts_peer_runners(&self, local: &Descriptor) -> bool {
        self.tier != Tier::Direct || !local.has_store || local.phase == Phase::Starting
    }

    /// Returns whether this router exchanges with all others but knows so many that it
    /// may soon follow a hub.
    #[must_use]
    pub fn may_follow_hub(&self) -> bool {
        self.tier == Tier::Direct && self.peers.len() + 1 >= HUB_ENTER_ROUTERS
    }

    /// Returns the router to request a newer manifest or runner list from, if
    /// any has one. A router that starts requests the view of any router that serves.
    ///
    /// A member asks its hub. It asks another router if it has known of newer state for
    /// `HUB_PATIENCE` and the hub has none, or the hub did not answer.
    pub fn newer_peer(&mut self, now: Time, local: &Descriptor) -> Option<SocketAddr> {
        let accepts_runners = self.accepts_peer_runners(local);
        let is_candidate = |descriptor: &&Descriptor| match local.phase {
            Phase::Starting => descriptor.phase == Phase::Serving,
            Phase::Serving | Phase::Leaving => {
                descriptor.manifest > local.manifest
                    || (accepts_runners && descriptor.revision > local.revision)
            }
        };
        let alive = self.alive(now).map(|peer| &peer.descriptor);
        let candidates: Vec<&Descriptor> = alive.filter(is_candidate).collect();
        let answering = |descriptor: &&&Descriptor| Some(descriptor.peers) != self.failed_source;
        let newest = candidates
            .iter()
            .filter(answering)
            .max_by_key(|descriptor| {
                let spread = rank::score(local.instance.as_str(), descriptor.instance.as_str());
                (descriptor.manifest, descriptor.revision, spread)
            })
            .or(candidates.first())
            .map(|descriptor| descriptor.peers);
        let hub = match self.tier {
            Tier::Member(hub) if local.phase != Phase::Starting => Some(hub),
            _ => None,
        };
        let has_hub_newer = candidates
            .iter()
            .filter(answering)
            .any(|descriptor| Some(descriptor.peers) == hub);
        let behind_since = newest.map(|_| self.behind_since.unwrap_or(now));
        self.behind_since = behind_since;
        match (hub, behind_since) {
            (Some(hub), _) if has_hub_newer => Some(hub),
            (Some(_), Some(since)) if now.since(since) < HUB_PATIENCE => None,
            _ => newest,
        }
    }

    /// Records whether the router at `address` answered a request for its view. One that
    /// did not is asked again only if no other has newer state.
    pub fn record_view(&mut self, address: SocketAddr, answered: bool) {
        self.failed_source = (!answered).then_some(address);
    }
}
