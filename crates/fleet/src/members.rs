//! Membership of the fleet, maintained by gossip with random peers.
//!
//! A router counts as alive until an exchange with it fails and no higher
//! heartbeat arrives within the timeout. Routers gossip such a doubt; the
//! doubted router, if alive, refutes it with its next heartbeat. Heartbeats of
//! healthy routers therefore need no forwarding, and the cost of an exchange does
//! not grow with the size of the fleet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_wire::exchange::{Doubt, Member, Phase};
use rand::RngExt;
use rand::seq::IteratorRandom;
use smallvec::SmallVec;

/// Time without a confirmed contact with a peer (an echo of a heartbeat) and
/// without a read of the platform's list, after which a router counts as isolated,
/// see [`Table::is_isolated`].
pub const ISOLATION_TIMEOUT: Span = Span::from_secs(3);

/// Own heartbeats whose times are kept, more than are raised within
/// [`ISOLATION_TIMEOUT`].
const MAX_RECENT_HEARTBEATS: usize = 64;

/// Period in which a doubt is gossiped. It continues after the doubted router
/// is declared dead here, because others may learn of that router later.
const DOUBT_GOSSIP_PERIOD: Span = Span::from_secs(60);

/// On average, one round of exchanges in this many includes a router that counts
/// as dead, so that a partition heals while the platform's list is unavailable.
const RETRY_DEAD_ONE_IN: u32 = 4;

/// Timeouts of the failure detector.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Age from which an unrefuted doubt makes its router count as dead.
    pub doubt_timeout: Span,
    /// Time without a newer heartbeat after which a dead router is removed. Raised
    /// to `doubt_timeout` if it is shorter.
    pub forget_after: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            doubt_timeout: Span::from_secs(2),
            forget_after: Span::from_secs(600),
        }
    }
}

/// A router as shown in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Instance that runs the listed router.
    pub instance: Instance,
    /// Address at which the router accepts connections of other routers.
    pub inner: SocketAddr,
    /// Whether the list marks the router as leaving.
    pub leaving: bool,
}

/// Change of the table caused by an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A router was seen for the first time, or again after it counted as dead.
    Joined(Instance),
    /// A router restarted and lost the state that it held in memory.
    Restarted {
        /// Router that restarted.
        instance: Instance,
        /// Incarnation before the restart.
        previous: Incarnation,
    },
    /// A router was declared dead.
    Left(Instance),
    /// A router published new data besides its heartbeat.
    Updated(Instance),
    /// Another process uses this router's name with a later incarnation.
    Superseded(Incarnation),
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// Time at which a newer heartbeat was last received.
    refreshed_at: Time,
    /// Time at which anything besides the heartbeat last changed.
    changed_at: Time,
    /// Time at which an exchange failed at the current heartbeat.
    doubted_since: Option<Time>,
    /// Whether one of the next rounds of exchanges has to include this peer.
    probe: bool,
    alive: bool,
}

/// Membership table of one router.
#[derive(Clone, Debug)]
pub struct Table {
    local: Member,
    settings: Settings,
    peers: BTreeMap<Instance, Peer>,
    /// The platform's list as last read, without this router.
    listed: BTreeMap<Instance, Listed>,
    /// Whether the platform's list marks this router as leaving.
    listed_leaving: bool,
    /// Recent heartbeats of this router with the times they were raised, oldest
    /// first.
    recent_heartbeats: VecDeque<(u64, Time)>,
    /// Time at which this router raised the latest of its heartbeats that a peer
    /// has echoed.
    echoed_heartbeat_at: Option<Time>,
    /// Time at which the latest list received was requested.
    list_requested_at: Option<Time>,
}

impl Table {
    /// Creates a table whose only entry is `local`, the router itself.
    #[must_use]
    pub fn new(local: Member, settings: Settings) -> Self {
        Table {
            local,
            settings,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            listed_leaving: false,
            recent_heartbeats: VecDeque::new(),
            echoed_heartbeat_at: None,
            list_requested_at: None,
        }
    }

    /// Returns the entry of this router.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Returns the entry of this router for modification. Peers accept the
    /// changes only after [`Table::raise_heartbeat`].
    pub fn local_mut(&mut self) -> &mut Member {
        &mut self.local
    }

    /// Raises the heartbeat of this router.
    pub fn raise_heartbeat(&mut self, now: Time) {
        self.local.heartbeat += 1;
        self.recent_heartbeats
            .push_back((self.local.heartbeat, now));
        if self.recent_heartbeats.len() > MAX_RECENT_HEARTBEATS {
            self.recent_heartbeats.pop_front();
        }
    }

    /// Merges the entries of a peer's frame. The higher `(incarnation, heartbeat)`
    /// wins, so reordered, duplicated and lost frames do no harm.
    pub fn merge(&mut self, now: Time, members: &[Member]) -> SmallVec<[Change; 4]> {
        members
            .iter()
            .filter_map(|member| self.merge_member(now, member))
            .collect()
    }

    fn merge_member(&mut self, now: Time, member: &Member) -> Option<Change> {
        if member.instance == self.local.instance {
            self.record_echo(member);
            let is_later = member.incarnation > self.local.incarnation;
            return is_later.then_some(Change::Superseded(member.incarnation));
        }
        let Some(peer) = self.peers.get_mut(&member.instance) else {
            self.peers
                .insert(member.instance.clone(), Peer::new(now, member));
            return Some(Change::Joined(member.instance.clone()));
        };
        if recency(member) <= recency(&peer.member) {
            return None;
        }
        let before = std::mem::replace(peer, Peer::new(now, member));
        let change = change_between(&before, member);
        if change.is_none() {
            peer.changed_at = before.changed_at;
        }
        change
    }

    /// Records that an exchange with the router at `inner` failed.
    pub fn exchange_failed(&mut self, now: Time, inner: SocketAddr) {
        let peers = self.peers.values_mut();
        for peer in peers.filter(|peer| peer.alive && peer.member.inner == inner) {
            peer.doubted_since.get_or_insert(now);
        }
    }

    /// Merges the doubts of a peer's frame. Returns whether one of them is
    /// about this router; its heartbeat is then raised above the doubted one.
    pub fn merge_doubts(&mut self, now: Time, doubts: &[Doubt]) -> bool {
        let mut refuted = false;
        for doubt in doubts {
            let doubted = (doubt.incarnation, doubt.heartbeat);
            if doubt.instance == self.local.instance {
                if doubted >= recency(&self.local) && doubt.incarnation == self.local.incarnation {
                    self.local.heartbeat = doubt.heartbeat + 1;
                    refuted = true;
                }
            } else if let Some(peer) = self.peers.get_mut(&doubt.instance)
                && peer.alive
                && peer.doubted_since.is_none()
            {
                if recency(&peer.member) <= doubted {
                    peer.doubted_since = Some(now);
                } else {
                    // The known heartbeat is newer than the doubted one. Probe
                    // the peer, since it may have failed after that heartbeat.
                    peer.probe = peer.member.incarnation == doubt.incarnation;
                }
            }
        }
        refuted
    }

    /// Returns the doubts to gossip, newest first, at most `limit`.
    #[must_use]
    pub fn doubts_to_gossip(&self, now: Time, limit: usize) -> Vec<Doubt> {
        let mut doubted: Vec<(Time, &Member)> = self
            .peers
            .values()
            .filter_map(|peer| Some((peer.doubted_since?, &peer.member)))
            .filter(|(since, _)| now.since(*since) <= DOUBT_GOSSIP_PERIOD)
            .collect();
        doubted.sort_by_key(|(since, _)| std::cmp::Reverse(*since));
        let doubt = |(_, member): (Time, &Member)| Doubt {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            heartbeat: member.heartbeat,
        };
        doubted.into_iter().take(limit).map(doubt).collect()
    }

    /// Records which heartbeat of this router a peer has echoed. The peer created
    /// its frame after that heartbeat, however long the frame was in transit.
    fn record_echo(&mut self, member: &Member) {
        if member.incarnation != self.local.incarnation {
            return;
        }
        let heartbeat = self
            .recent_heartbeats
            .iter()
            .find(|(heartbeat, _)| *heartbeat == member.heartbeat);
        self.echoed_heartbeat_at = self
            .echoed_heartbeat_at
            .max(heartbeat.map(|(_, raised_at)| *raised_at));
    }

    /// Records that `instance` refused a connection. It counts as dead until a
    /// higher heartbeat of it arrives.
    pub fn connection_refused(&mut self, now: Time, instance: &Instance) -> Option<Change> {
        let peer = self.peers.get_mut(instance)?;
        peer.doubted_since.get_or_insert(now);
        let was_alive = std::mem::replace(&mut peer.alive, false);
        was_alive.then(|| Change::Left(instance.clone()))
    }

    /// Declares routers dead whose doubt is older than the timeout, and removes
    /// those that are dead and have sent no newer heartbeat for
    /// `forget_after`.
    pub fn expire(&mut self, now: Time) -> SmallVec<[Change; 4]> {
        let settings = self.settings;
        let mut changes = SmallVec::new();
        self.peers.retain(|instance, peer| {
            let doubt_age = peer.doubted_since.map(|since| now.since(since));
            if peer.alive && doubt_age.is_some_and(|age| age > settings.doubt_timeout) {
                peer.alive = false;
                changes.push(Change::Left(instance.clone()));
            }
            peer.alive
                || now.since(peer.refreshed_at) <= settings.forget_after.max(settings.doubt_timeout)
        });
        changes
    }

    /// Stores the platform's list that was requested at `requested_at`. The
    /// list supplies addresses to contact and leaving marks. It lags behind, so
    /// it does not make a router count as alive.
    pub fn set_list(&mut self, requested_at: Time, listed: &[Listed]) {
        self.list_requested_at = self.list_requested_at.max(Some(requested_at));
        self.listed_leaving = listed
            .iter()
            .any(|entry| entry.leaving && entry.instance == self.local.instance);
        self.listed = listed
            .iter()
            .filter(|entry| entry.instance != self.local.instance)
            .map(|entry| (entry.instance.clone(), entry.clone()))
            .collect();
    }

    /// Returns whether the platform's list marks this router as leaving.
    #[must_use]
    pub fn is_listed_leaving(&self) -> bool {
        self.listed_leaving
    }

    /// Returns the routers that accept requests, ordered by name, including
    /// this one if it does.
    pub fn serving(&self) -> impl Iterator<Item = &Member> {
        let before = self.peers.range(..self.local.instance.clone());
        let after = self.peers.range(self.local.instance.clone()..);
        before
            .filter_map(|(_, peer)| self.serving_member(peer))
            .chain(self.local_if_serving())
            .chain(after.filter_map(|(_, peer)| self.serving_member(peer)))
    }

    fn local_if_serving(&self) -> Option<&Member> {
        (self.local.phase == Phase::Serving).then_some(&self.local)
    }

    /// Returns the peer's entry if it accepts requests: alive, in phase serving and
    /// not listed as leaving. A leaving mark for another address does not count.
    fn serving_member<'a>(&self, peer: &'a Peer) -> Option<&'a Member> {
        let listed = self.listed.get(&peer.member.instance);
        let leaving = listed.is_some_and(|entry| entry.leaving && entry.inner == peer.member.inner);
        let serving = peer.alive && !leaving && peer.member.phase == Phase::Serving;
        serving.then_some(&peer.member)
    }

    /// Returns the other routers that are alive, in any phase, ordered by name.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(|peer| peer.alive)
            .map(|peer| &peer.member)
    }

    /// Returns the entry of this router or of another one that is alive.
    #[must_use]
    pub fn get(&self, instance: &Instance) -> Option<&Member> {
        if *instance == self.local.instance {
            return Some(&self.local);
        }
        let peer = self.peers.get(instance)?;
        peer.alive.then_some(&peer.member)
    }

    /// Chooses the addresses for a round of exchanges.
    ///
    /// Up to `count` are chosen at random from live routers and listed routers
    /// not contacted yet, with a router that is due for a probe in front. In some
    /// rounds, and if there is no other partner, one router that counts as dead is
    /// added.
    pub fn choose_partners(
        &mut self,
        random: &mut impl rand::Rng,
        count: usize,
    ) -> SmallVec<[SocketAddr; 4]> {
        let alive = self.alive().map(|member| member.inner);
        let uncontacted = self.uncontacted();
        let mut partners: SmallVec<[SocketAddr; 4]> =
            alive.chain(uncontacted).sample(random, count).into();
        let probed = self.peers.values_mut().find(|peer| peer.probe);
        if let Some(peer) = probed {
            peer.probe = false;
            partners.insert(0, peer.member.inner);
            partners.truncate(count);
        }
        if random.random_ratio(1, RETRY_DEAD_ONE_IN) || partners.is_empty() {
            let dead = self.peers.values().filter(|peer| !peer.alive);
            partners.extend(dead.map(|peer| peer.member.inner).choose(random));
        }
        partners
    }

    /// Returns the listed addresses of routers that are unknown, or dead at a
    /// different address.
    fn uncontacted(&self) -> impl Iterator<Item = SocketAddr> {
        self.listed
            .values()
            .filter(|entry| match self.peers.get(&entry.instance) {
                Some(peer) => !peer.alive && peer.member.inner != entry.inner,
                None => true,
            })
            .map(|entry| entry.inner)
    }

    /// Returns the entries for a frame, at most `limit` and this router first.
    ///
    /// If not all live routers fit, half of the rest are those that changed
    /// most recently. The other half are chosen at random, which repairs the
    /// loss of earlier frames.
    #[must_use]
    pub fn frame_entries(&self, random: &mut impl rand::Rng, limit: usize) -> Vec<Member> {
        let mut peers: Vec<&Peer> = self.peers.values().filter(|peer| peer.alive).collect();
        let max_peers = limit.saturating_sub(1);
        if peers.len() > max_peers {
            peers.sort_by_key(|peer| std::cmp::Reverse((peer.changed_at, peer.refreshed_at)));
            let newest = max_peers.div_ceil(2);
            let older = peers.split_off(newest);
            peers.extend(older.into_iter().sample(random, max_peers - newest));
        }
        let others = peers.into_iter().map(|peer| peer.member.clone());
        std::iter::once(self.local.clone()).chain(others).collect()
    }

    /// Returns whether this router is cut off from the others it knows: for
    /// longer than [`ISOLATION_TIMEOUT`], no peer has echoed one of its heartbeats and
    /// no platform's list was read.
    ///
    /// An isolated router must start no new work, because a target may be
    /// leaving without this router learning of it. Messages without a recent
    /// echo do not count: after a pause of the process they may be old.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        let alone = self.peers.is_empty() && self.listed.is_empty();
        let is_recent =
            |time: Option<Time>| time.is_some_and(|time| now.since(time) <= ISOLATION_TIMEOUT);
        !alone && !is_recent(self.echoed_heartbeat_at) && !is_recent(self.list_requested_at)
    }
}

impl Peer {
    fn new(now: Time, member: &Member) -> Self {
        Peer {
            member: member.clone(),
            refreshed_at: now,
            changed_at: now,
            doubted_since: None,
            probe: false,
            alive: true,
        }
    }
}

/// Returns the order of two entries for the same instance; the higher is newer.
fn recency(member: &Member) -> (Incarnation, u64) {
    (member.incarnation, member.heartbeat)
}

/// Returns what the newer entry `member` changes, `None` if only the heartbeat.
fn change_between(before: &Peer, member: &Member) -> Option<Change> {
    let instance = member.instance.clone();
    let previous = before.member.incarnation;
    if member.incarnation > previous {
        return Some(Change::Restarted { instance, previous });
    }
    if !before.alive {
        return Some(Change::Joined(instance));
    }
    let expected = Member {
        heartbeat: member.heartbeat,
        ..before.member.clone()
    };
    (expected != *member).then_some(Change::Updated(instance))
}
