//! Lending of slots by the owner of runners: each free slot goes to the router
//! whose queue is furthest behind in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balsamchute_base::prelude::*;
use indexmap::IndexMap;

use crate::estimate::Mean;
use crate::pool::{Lifecycle, Pool};
use crate::queue::MAX_CREDIT_REQUESTS;
use crate::virtual_time::Tag;

/// Lead in virtual time, in requests of mean cost per unit of weight, up to which
/// the owner's own queue is served before another router. Loans to the owner
/// itself need no message.
pub const LOCAL_ADVANTAGE_REQUESTS: f64 = 0.25;

/// Released loans after which their mean cost replaces the one passed to
/// [`Lender::grant`].
const MIN_COST_SAMPLES: u64 = 8;

/// Time limits and credit of a [`Lender`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time after the loss of a borrower at which its loans end, unless load
    /// reports end them earlier. Each grant carries it.
    pub lease: Span,
    /// Age up to which a grant may be missing from its borrower's summaries. Younger
    /// grants are deducted from the backlog and added to the virtual time that the
    /// summaries state.
    pub grant_delay: Span,
    /// Largest lag behind the virtual clock at which a router returns from
    /// idleness, in cost per unit of weight, limited to [`MAX_CREDIT_REQUESTS`]
    /// requests of mean cost.
    pub credit: Cost,
    /// Time for which the owner applies the limit of `credit` to a returning
    /// router. By the end of it, the router's queue has observed the fleet's
    /// virtual time and publishes one that has caught up.
    pub credit_hold: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease: Span(2_000),
            grant_delay: Span(20),
            credit: Cost(1_500),
            credit_hold: Span(2_000),
        }
    }
}

/// Loan of one slot to a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number of the loan, unique for the lender.
    pub loan: u64,
    /// Router that borrows the slot.
    pub borrower: Instance,
    /// Runner that the slot belongs to.
    pub runner: Runner,
    /// Lease of the loan, see [`Settings::lease`].
    pub lease: Span,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    borrower: usize,
    runner: usize,
    granted_at: Time,
    /// Present once the borrower is gone.
    orphan: Option<Orphan>,
}

#[derive(Clone, Copy, Debug)]
struct Orphan {
    since: Time,
    /// Time at which the slot is reclaimed if no load report shows it free
    /// before.
    due: Time,
}

/// Lower limit of the virtual time of a router that returned from idleness, see
/// [`Settings::credit_hold`].
#[derive(Clone, Copy, Debug)]
struct Floor {
    virtual_time: f64,
    until: Time,
}

/// Summary of the queue of a router, this one included, and the grants since.
#[derive(Debug, Default)]
struct Peer {
    domain: Option<Domain>,
    virtual_time: f64,
    weight: f64,
    backlog: u32,
    /// Grants that the last summary does not include yet, oldest first.
    pending_grants: VecDeque<(u64, Time)>,
    /// Virtual time that the pending grants add.
    pending_advance: f64,
    floor: Option<Floor>,
    /// Key of the peer in `Lender::order`, if its demand is not zero.
    order_key: Option<Tag>,
}

impl Peer {
    /// Returns the number of requests that wait without a grant.
    fn demand(&self) -> u32 {
        let pending = u32::try_from(self.pending_grants.len()).unwrap_or(u32::MAX);
        self.backlog.saturating_sub(pending)
    }

    fn tag(&self, now: Time) -> Tag {
        let published = self.virtual_time + self.pending_advance;
        let floor = self.floor.filter(|floor| now < floor.until);
        Tag(floor.map_or(published, |floor| published.max(floor.virtual_time)))
    }

    /// Returns the virtual time that one grant adds. A weight below 1, as that of
    /// a router without a backlog, counts as 1.
    fn grant_advance(&self, mean_cost: f64) -> f64 {
        mean_cost / self.weight.max(1.0)
    }
}

/// Lends the slots of the runners of one service that this router owns.
#[derive(Debug)]
pub struct Lender {
    settings: Settings,
    /// Index of this router in `peers`.
    owner: usize,
    pool: Pool,
    peers: IndexMap<Instance, Peer>,
    /// Routers with requests that wait without a grant, by virtual time.
    order: BTreeSet<(Tag, usize)>,
    loans: BTreeMap<u64, Loan>,
    /// Loans whose borrower is gone, by the time at which they expire.
    orphans: BTreeSet<(Time, u64)>,
    /// Loans that load reports showed to be lost since the last [`Lender::expire_loans`].
    lost_loans: Vec<u64>,
    last_loan: u64,
    /// Largest virtual time served so far.
    virtual_clock: f64,
    /// Expected cost of a loan, as of the last call of [`Lender::grant`].
    mean_cost: f64,
    /// Mean cost of released loans.
    loan_cost: Option<Mean>,
    now: Time,
}

impl Lender {
    /// Creates the lender of the router `owner`, without runners.
    #[must_use]
    pub fn new(owner: &Instance, settings: Settings) -> Self {
        let mut peers = IndexMap::new();
        let (owner, _) = peers.insert_full(owner.clone(), Peer::default());
        Lender {
            settings,
            owner,
            pool: Pool::default(),
            peers,
            order: BTreeSet::new(),
            loans: BTreeMap::new(),
            orphans: BTreeSet::new(),
            lost_loans: Vec::new(),
            last_loan: 0,
            virtual_clock: 0.0,
            mean_cost: 1.0,
            loan_cost: None,
            now: Time(0),
        }
    }

    /// Adds a runner or changes its number of slots.
    pub fn set_runner_slots(&mut self, runner: &Runner, slots: u32) {
        self.pool.set_slots(runner, slots);
    }

    /// Sets the failure domain of a runner, which belongs to none before. A router
    /// prefers free slots in its own failure domain.
    pub fn set_runner_domain(&mut self, runner: &Runner, domain: &Domain) {
        self.pool.set_domain(runner, domain);
    }

    /// Sets the failure domain in which a router prefers free slots. Without this
    /// call, the router prefers no failure domain.
    pub fn set_router_domain(&mut self, router: &Instance, domain: &Domain) {
        let index = self.peer_index(router);
        self.peers[index].domain = Some(domain.clone());
    }

    /// Stops lending the slots of a runner. Active loans end as usual.
    pub fn drain_runner(&mut self, runner: &Runner) {
        self.pool.drain(runner);
    }

    /// Applies a load report of a runner that was taken `age` ago.
    ///
    /// Running requests beyond the owner's loans belong to another owner and
    /// reduce the free slots for a while. If the reports keep showing fewer
    /// requests than loans, releases have been lost; [`Lender::expire_loans`] returns
    /// those loans.
    pub fn report_load(&mut self, now: Time, runner: &Runner, running: u32, age: Span) {
        self.advance(now);
        let loans = &self.loans;
        let lifecycle_of = |loan: u64| {
            loans.get(&loan).map(|loan| Lifecycle {
                granted_at: loan.granted_at,
                orphaned_at: loan.orphan.map(|orphan| orphan.since),
            })
        };
        let lost = self.pool.report_load(runner, running, age, lifecycle_of);
        self.lost_loans.extend(lost);
    }

    /// Applies the queue summary that a router, this one included, publishes:
    /// the virtual time in cost per unit of weight, the sum of the weights of its
    /// backlogged workspaces, and the requests that wait and are not blocked.
    pub fn update_summary(
        &mut self,
        now: Time,
        router: &Instance,
        virtual_time: f64,
        weight: f64,
        backlog: u32,
    ) {
        self.advance(now);
        if !virtual_time.is_finite() || !weight.is_finite() {
            return;
        }
        let index = self.peer_index(router);
        let included_until = if index == self.owner {
            self.now
        } else {
            self.now - self.settings.grant_delay
        };
        let credit = (self.settings.credit.0 as f64).min(MAX_CREDIT_REQUESTS * self.mean_cost);
        let floor = Floor {
            virtual_time: self.virtual_clock - credit,
            until: self.now + self.settings.credit_hold,
        };
        let peer = &mut self.peers[index];
        if peer.backlog == 0 && backlog > 0 {
            peer.floor = Some(floor);
        }
        peer.virtual_time = virtual_time;
        peer.weight = weight;
        peer.backlog = backlog;
        while peer
            .pending_grants
            .front()
            .is_some_and(|&(_, granted_at)| granted_at <= included_until)
        {
            peer.pending_grants.pop_front();
        }
        peer.pending_advance =
            peer.pending_grants.len() as f64 * peer.grant_advance(self.mean_cost);
        self.reorder(index);
    }

    /// Handles the loss of a router. Its loans expire after the lease, or as soon
    /// as a load report shows that their requests have ended.
    pub fn remove_router(&mut self, now: Time, router: &Instance) {
        self.advance(now);
        let Some(index) = self.peers.get_index_of(router) else {
            return;
        };
        let since = self.now;
        let due = since + self.settings.lease;
        for (&number, loan) in &mut self.loans {
            if loan.borrower == index && loan.orphan.is_none() {
                loan.orphan = Some(Orphan { since, due });
                self.orphans.insert((due, number));
            }
        }
        let peer = &mut self.peers[index];
        peer.backlog = 0;
        peer.pending_grants.clear();
        peer.pending_advance = 0.0;
        self.reorder(index);
    }

    /// Lends free slots until none is left or no router has a request without a
    /// slot.
    ///
    /// `mean_cost` is the expected cost of a loan. It is used until enough loans
    /// have been released, as an owner may have few requests of its own.
    pub fn grant(&mut self, now: Time, mean_cost: f64) -> Vec<Grant> {
        self.advance(now);
        let sampled = self
            .loan_cost
            .filter(|loan_cost| loan_cost.count() >= MIN_COST_SAMPLES);
        if let Some(loan_cost) = sampled {
            self.mean_cost = loan_cost.value();
        } else if mean_cost.is_finite() {
            self.mean_cost = mean_cost.max(1.0);
        }
        let mut grants = Vec::new();
        while let Some(index) = self.next_borrower() {
            let domain = self.peers[index].domain.as_ref();
            let Some(runner) = self.pool.pick(domain) else {
                break;
            };
            grants.push(self.lend(index, runner));
        }
        grants
    }

    /// Ends a loan that its borrower returns. A cost of zero without a failure
    /// means that the slot was not used. Returns whether the loan was active.
    pub fn release(&mut self, now: Time, loan: u64, cost: Cost, failed: bool) -> bool {
        self.advance(now);
        let used = cost > Cost(0) || failed;
        if cost > Cost(0) && self.loans.contains_key(&loan) {
            self.loan_cost
                .get_or_insert_with(|| Mean::new(cost))
                .add(cost);
        }
        self.end_loan(loan, failed, used)
    }

    /// Ends and returns the loans that are not going to be released, because the
    /// borrower is gone or the runner does not run their requests.
    pub fn expire_loans(&mut self, now: Time) -> Vec<u64> {
        self.advance(now);
        let mut expired = std::mem::take(&mut self.lost_loans);
        while let Some(&(due, loan)) = self.orphans.first() {
            if due > self.now {
                break;
            }
            self.orphans.pop_first();
            expired.push(loan);
        }
        expired.retain(|&loan| self.end_loan(loan, false, false));
        expired
    }

    /// Returns the number of slots that can be lent now.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        self.pool.free()
    }

    /// Returns the number of active loans.
    #[must_use]
    pub fn active_loans(&self) -> u32 {
        u32::try_from(self.loans.len()).unwrap_or(u32::MAX)
    }

    /// Returns the total slots, free and lent, of all runners that are not being
    /// drained.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        self.pool.slots()
    }

    fn advance(&mut self, now: Time) {
        // If the clock jumps back, `self.now` is unchanged until it has caught up.
        self.now = self.now.max(now);
        self.pool.advance(self.now);
    }

    /// Returns the index of a router in `peers`, which is added if missing.
    fn peer_index(&mut self, router: &Instance) -> usize {
        if let Some(index) = self.peers.get_index_of(router) {
            return index;
        }
        self.peers.insert_full(router.clone(), Peer::default()).0
    }

    /// Returns the index of the router with the lowest tag, or of the owner if its
    /// tag is within [`LOCAL_ADVANTAGE_REQUESTS`] of that one.
    fn next_borrower(&self) -> Option<usize> {
        let &(lowest, index) = self.order.first()?;
        let local_limit = lowest.0 + LOCAL_ADVANTAGE_REQUESTS * self.mean_cost;
        match self.peers[self.owner].order_key {
            Some(own_key) if own_key.0 <= local_limit => Some(self.owner),
            _ => Some(index),
        }
    }

    /// Lends a slot of the runner with the pool index `runner` to the peer `index`.
    fn lend(&mut self, index: usize, runner: usize) -> Grant {
        self.last_loan += 1;
        let loan = self.last_loan;
        let granted_at = self.now;
        let tag = self.peers[index].tag(granted_at);
        self.virtual_clock = self.virtual_clock.max(tag.0);
        self.pool.lend(runner, loan);
        let state = Loan {
            borrower: index,
            runner,
            granted_at,
            orphan: None,
        };
        self.loans.insert(loan, state);
        let advance = self.peers[index].grant_advance(self.mean_cost);
        let peer = &mut self.peers[index];
        peer.pending_grants.push_back((loan, granted_at));
        peer.pending_advance += advance;
        // With a constant floor, a router whose virtual time is below it would keep
        // the same tag from grant to grant.
        if let Some(floor) = &mut peer.floor {
            floor.virtual_time += advance;
        }
        self.reorder(index);
        Grant {
            loan,
            borrower: self
                .peers
                .get_index(index)
                .expect("the lender never removes a peer")
                .0
                .clone(),
            runner: self.pool.runner(runner).clone(),
            lease: self.settings.lease,
        }
    }

    fn end_loan(&mut self, number: u64, failed: bool, used: bool) -> bool {
        let Some(loan) = self.loans.remove(&number) else {
            return false;
        };
        if let Some(Orphan { due, .. }) = loan.orphan {
            self.orphans.remove(&(due, number));
        }
        self.pool.end_loan(loan.runner, number, failed, used);
        true
    }

    /// Updates the position of a peer in the order after a change.
    fn reorder(&mut self, index: usize) {
        let now = self.now;
        let peer = &mut self.peers[index];
        if let Some(key) = peer.order_key.take() {
            self.order.remove(&(key, index));
        }
        if peer.demand() > 0 {
            let key = peer.tag(now);
            peer.order_key = Some(key);
            self.order.insert((key, index));
        }
    }
}
