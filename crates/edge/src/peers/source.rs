//! Sources of the manifest and the runner list: the store, or other routers.

use std::net::SocketAddr;

use balsamchute_model::prelude::*;

use crate::peers::{Descriptor, Phase, Table, Tier, election_rank};

/// Routers of a failure domain that read from the store while no other live
/// router has a store connection. If the store rejects a third of the machines,
/// one in 80 domains is left without a router that gets through.
const FALLBACK_READERS: usize = 4;

impl Table {
    /// Returns whether this router reads from the store itself. In a large
    /// fleet only hubs do. While no other live router has a store connection, the
    /// first `FALLBACK_READERS` routers of each domain by election rank read as
    /// well, because the store may reject single machines.
    #[must_use]
    pub fn reads_store(&self, now: Time, local: &Descriptor) -> bool {
        if !matches!(self.tier, Tier::Member(_)) {
            return true;
        }
        let in_domain = self
            .alive(now)
            .filter(|peer| peer.descriptor.domain == local.domain);
        let ranked_before = in_domain
            .filter(|peer| election_rank(&peer.descriptor) < election_rank(local))
            .count();
        let any_connected = self.alive(now).any(|peer| peer.descriptor.has_store);
        !any_connected && ranked_before < FALLBACK_READERS
    }

    /// Returns whether this router accepts runner lists from other routers. In
    /// a small fleet only routers without a store connection do. In a large
    /// fleet all do: members get them from their hub, and hubs from each other,
    /// because a hub whose watch stalled would keep its whole domain outdated.
    #[must_use]
    pub fn accepts_peer_runners(&self, local: &Descriptor) -> bool {
        self.tier != Tier::Direct || !local.has_store
    }

    /// Returns the router to request a newer manifest or runner list from, if
    /// any has one. A router that starts requests the view of any router that serves.
    #[must_use]
    pub fn newer_peer(&self, now: Time, local: &Descriptor) -> Option<SocketAddr> {
        if local.phase == Phase::Starting {
            return self
                .alive(now)
                .map(|peer| &peer.descriptor)
                .filter(|descriptor| descriptor.phase == Phase::Serving)
                .max_by_key(|descriptor| (descriptor.manifest, descriptor.revision))
                .map(|descriptor| descriptor.peers);
        }
        let accepts_runners = self.accepts_peer_runners(local);
        let is_newer = |descriptor: &&Descriptor| {
            descriptor.manifest > local.manifest
                || (accepts_runners && descriptor.revision > local.revision)
        };
        let is_candidate = |descriptor: &&Descriptor| match self.tier {
            Tier::Member(hub) => descriptor.peers == hub,
            Tier::Direct | Tier::Hub => true,
        };
        self.alive(now)
            .map(|peer| &peer.descriptor)
            .filter(|descriptor| is_candidate(descriptor) && is_newer(descriptor))
            .max_by_key(|descriptor| (descriptor.manifest, descriptor.revision))
            .map(|descriptor| descriptor.peers)
    }
}
