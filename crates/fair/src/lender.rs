//! Lending of slots by the owner of runners: each free slot goes to the router
//! whose queue is furthest behind in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balsamchute_base::prelude::*;
use indexmap::IndexMap;

use crate::estimate::Mean;
use crate::order::Tag;
use crate::queue::CREDIT_REQUESTS;
use crate::runner::{Pool, Standing};

/// How far ahead, in mean requests for each unit of weight, the owner itself may
/// be and still be served before another router: its loans need no message.
pub const LOCAL_ADVANTAGE: f64 = 0.25;

/// Loans that came back after which their own mean cost is used.
const LEARNT_LOANS: u64 = 8;

/// Settings of a lender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// How long a borrower may start a request on a loan.
    pub lease: Span,
    /// How long a grant may be under way before its borrower's summary shows it.
    pub flight: Span,
    /// Cost that a router coming back from idleness may be ahead by.
    pub credit: Cost,
    /// How long a router that came back is held to the credit by the owner; by
    /// then its own virtual time has caught up.
    pub settle: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease: Span(2_000),
            flight: Span(20),
            credit: Cost(1_500),
            settle: Span(2_000),
        }
    }
}

/// A slot lent to a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number of the loan.
    pub loan: u64,
    /// The borrower.
    pub to: Instance,
    /// The runner that the slot belongs to.
    pub runner: Runner,
    /// How long the borrower may start a request.
    pub lease: Span,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    peer: usize,
    runner: usize,
    granted: Time,
    /// Set once the borrower is gone.
    orphaned: Option<Orphaned>,
}

#[derive(Clone, Copy, Debug)]
struct Orphaned {
    at: Time,
    /// When the slot comes back if no load report shows it free before.
    due: Time,
}

#[derive(Clone, Copy, Debug)]
struct Floor {
    virtual_time: f64,
    until: Time,
}

#[derive(Debug, Default)]
struct Peer {
    domain: Option<Domain>,
    virtual_time: f64,
    weight: f64,
    backlog: u32,
    /// Grants that the last summary does not show yet, oldest first.
    unseen: VecDeque<(u64, Time)>,
    /// What the unseen grants add to the virtual time.
    advance: f64,
    floor: Option<Floor>,
    /// Key under which the peer stands in the order, if it does.
    key: Option<Tag>,
}

impl Peer {
    fn wanted(&self) -> u32 {
        let unseen = u32::try_from(self.unseen.len()).unwrap_or(u32::MAX);
        self.backlog.saturating_sub(unseen)
    }

    fn tag(&self, now: Time) -> Tag {
        let published = self.virtual_time + self.advance;
        let floor = self.floor.filter(|floor| now < floor.until);
        Tag(floor.map_or(published, |floor| published.max(floor.virtual_time)))
    }

    fn step(&self, mean_cost: f64) -> f64 {
        mean_cost / self.weight.max(1.0)
    }
}

/// Lends the slots of one service's runners that this router owns.
#[derive(Debug)]
pub struct Lender {
    settings: Settings,
    me: usize,
    pool: Pool,
    peers: IndexMap<Instance, Peer>,
    /// Routers that want slots, by virtual time.
    order: BTreeSet<(Tag, usize)>,
    loans: BTreeMap<u64, Loan>,
    orphans: BTreeSet<(Time, u64)>,
    lost: Vec<u64>,
    next: u64,
    clock: f64,
    mean_cost: f64,
    /// What loans have cost.
    spent: Option<Mean>,
    now: Time,
}

impl Lender {
    /// Creates the lender of router `me`, with no runners yet.
    #[must_use]
    pub fn new(me: &Instance, settings: Settings) -> Self {
        let mut peers = IndexMap::new();
        let (me, _) = peers.insert_full(me.clone(), Peer::default());
        Lender {
            settings,
            me,
            pool: Pool::default(),
            peers,
            order: BTreeSet::new(),
            loans: BTreeMap::new(),
            orphans: BTreeSet::new(),
            lost: Vec::new(),
            next: 0,
            clock: 0.0,
            mean_cost: 1.0,
            spent: None,
            now: Time(0),
        }
    }

    /// Adds a runner or changes its number of slots.
    pub fn set_runner(&mut self, runner: &Runner, slots: u32) {
        self.pool.set(runner, slots);
    }

    /// Sets the failure domain of a runner. Routers there are given its slots
    /// rather than others.
    pub fn place_runner(&mut self, runner: &Runner, domain: &Domain) {
        self.pool.place(runner, domain);
    }

    /// Sets the failure domain of a router.
    pub fn place_peer(&mut self, peer: &Instance, domain: &Domain) {
        let index = self.peer(peer);
        self.peers[index].domain = Some(domain.clone());
    }

    /// Grants no more slots of a runner. Loans that are out end as usual.
    pub fn remove_runner(&mut self, runner: &Runner) {
        self.pool.remove(runner);
    }

    /// Takes in a load report, which describes the runner `age` ago.
    ///
    /// More requests than the owner's loans explain are another owner's work
    /// and take free slots away for a while. Fewer, again and again, mean that
    /// the releases of some loans are lost; [`Lender::expire`] returns those.
    pub fn report_load(&mut self, now: Time, runner: &Runner, running: u32, age: Span) {
        self.advance(now);
        let loans = &self.loans;
        let standing = |loan: u64| {
            loans.get(&loan).map(|loan| Standing {
                granted: loan.granted,
                orphaned: loan.orphaned.map(|orphaned| orphaned.at),
            })
        };
        let lost = self.pool.report(runner, running, age, standing);
        self.lost.extend(lost);
    }

    /// Takes in what a router, this one included, publishes about its queue.
    pub fn summary(
        &mut self,
        now: Time,
        peer: &Instance,
        virtual_time: f64,
        weight: f64,
        backlog: u32,
    ) {
        self.advance(now);
        if !virtual_time.is_finite() || !weight.is_finite() {
            return;
        }
        let index = self.peer(peer);
        let seen = if index == self.me {
            self.now
        } else {
            self.now - self.settings.flight
        };
        let credit = (self.settings.credit.0 as f64).min(CREDIT_REQUESTS * self.mean_cost);
        let floor = Floor {
            virtual_time: self.clock - credit,
            until: self.now + self.settings.settle,
        };
        let peer = &mut self.peers[index];
        if peer.backlog == 0 && backlog > 0 {
            peer.floor = Some(floor);
        }
        peer.virtual_time = virtual_time;
        peer.weight = weight;
        peer.backlog = backlog;
        while peer.unseen.front().is_some_and(|&(_, at)| at <= seen) {
            peer.unseen.pop_front();
        }
        peer.advance = peer.unseen.len() as f64 * peer.step(self.mean_cost);
        self.reorder(index);
    }

    /// Takes note that a router is gone. Its loans come back after the
    /// lease, or once a load report shows that their requests have ended.
    pub fn forget(&mut self, now: Time, peer: &Instance) {
        self.advance(now);
        let Some(index) = self.peers.get_index_of(peer) else {
            return;
        };
        let at = self.now;
        let due = at + self.settings.lease;
        for (&number, loan) in &mut self.loans {
            if loan.peer == index && loan.orphaned.is_none() {
                loan.orphaned = Some(Orphaned { at, due });
                self.orphans.insert((due, number));
            }
        }
        let peer = &mut self.peers[index];
        peer.backlog = 0;
        peer.unseen.clear();
        peer.advance = 0.0;
        self.reorder(index);
    }

    /// Lends every free slot for which a request waits somewhere.
    ///
    /// `mean_cost` is what a loan is expected to cost until enough have come
    /// back: an owner may have few requests of its own.
    pub fn grant(&mut self, now: Time, mean_cost: f64) -> Vec<Grant> {
        self.advance(now);
        let learnt = self.spent.filter(|spent| spent.count() >= LEARNT_LOANS);
        if let Some(spent) = learnt {
            self.mean_cost = spent.value();
        } else if mean_cost.is_finite() {
            self.mean_cost = mean_cost.max(1.0);
        }
        let mut grants = Vec::new();
        while let Some(index) = self.neediest() {
            let domain = self.peers[index].domain.as_ref();
            let Some(runner) = self.pool.pick(domain) else {
                break;
            };
            grants.push(self.lend(index, runner));
        }
        grants
    }

    /// Takes a loan back from its borrower. A cost of zero means that it was not
    /// used. Returns whether the loan was out.
    pub fn release(&mut self, now: Time, loan: u64, cost: Cost, failed: bool) -> bool {
        self.advance(now);
        let used = cost > Cost(0) || failed;
        if cost > Cost(0) && self.loans.contains_key(&loan) {
            self.spent.get_or_insert_with(|| Mean::new(cost)).add(cost);
        }
        self.close(loan, failed, used)
    }

    /// Returns the loans that ended without a release, because the borrower is
    /// gone or the runner does not run their requests. Their slots are free.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        self.advance(now);
        let mut expired = std::mem::take(&mut self.lost);
        while let Some(&(due, loan)) = self.orphans.first() {
            if due > self.now {
                break;
            }
            self.orphans.pop_first();
            expired.push(loan);
        }
        expired.retain(|&loan| self.close(loan, false, false));
        expired
    }

    /// Returns the number of slots that can be lent now.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.pool.free()
    }

    /// Returns the number of loans that are out.
    #[must_use]
    pub fn lent(&self) -> u32 {
        u32::try_from(self.loans.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots of all runners that are not being drained.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.pool.slots()
    }

    fn advance(&mut self, now: Time) {
        // A clock that jumps back stands still until it has caught up.
        self.now = self.now.max(now);
        self.pool.advance(self.now);
    }

    fn peer(&mut self, peer: &Instance) -> usize {
        if let Some(index) = self.peers.get_index_of(peer) {
            return index;
        }
        self.peers.insert_full(peer.clone(), Peer::default()).0
    }

    fn neediest(&self) -> Option<usize> {
        let &(lowest, index) = self.order.first()?;
        let near = lowest.0 + LOCAL_ADVANTAGE * self.mean_cost;
        match self.peers[self.me].key {
            Some(mine) if mine.0 <= near => Some(self.me),
            _ => Some(index),
        }
    }

    fn lend(&mut self, index: usize, runner: usize) -> Grant {
        self.next += 1;
        let loan = self.next;
        let granted = self.now;
        let tag = self.peers[index].tag(granted);
        self.clock = self.clock.max(tag.0);
        self.pool.lend(runner, loan);
        let state = Loan {
            peer: index,
            runner,
            granted,
            orphaned: None,
        };
        self.loans.insert(loan, state);
        let step = self.peers[index].step(self.mean_cost);
        let peer = &mut self.peers[index];
        peer.unseen.push_back((loan, granted));
        peer.advance += step;
        if let Some(floor) = &mut peer.floor {
            floor.virtual_time += step;
        }
        self.reorder(index);
        Grant {
            loan,
            to: self
                .peers
                .get_index(index)
                .expect("peers are never dropped")
                .0
                .clone(),
            runner: self.pool.name(runner).clone(),
            lease: self.settings.lease,
        }
    }

    fn close(&mut self, number: u64, failed: bool, used: bool) -> bool {
        let Some(loan) = self.loans.remove(&number) else {
            return false;
        };
        if let Some(Orphaned { due, .. }) = loan.orphaned {
            self.orphans.remove(&(due, number));
        }
        self.pool.take_back(loan.runner, number, failed, used);
        true
    }

    fn reorder(&mut self, index: usize) {
        let now = self.now;
        let peer = &mut self.peers[index];
        if let Some(key) = peer.key.take() {
            self.order.remove(&(key, index));
        }
        if peer.wanted() > 0 {
            let key = peer.tag(now);
            peer.key = Some(key);
            self.order.insert((key, index));
        }
    }
}
