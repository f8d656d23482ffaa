//! Where a router learns manifest and runners: from the store, or from others.

use std::net::SocketAddr;

use balsamchute_model::prelude::*;

use crate::peers::{Card, Table, Tier, age};

/// Routers of a failure domain that ask the store while it answers no hub: with
/// a third of the machines turned away, one in 80 domains has none that gets
/// through.
const FOLLOWERS: usize = 4;

impl Table {
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
}
