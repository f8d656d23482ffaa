//! A queue and a lender at a given size, in steady state.

use balsamchute_base::prelude::*;
use balsamchute_fair::lender::{self, Lender};
use balsamchute_fair::queue::{self, Item, Queue};

/// Cost of every request.
const COST: Cost = Cost(272);

/// Requests that wait for each workspace.
const DEPTH: u64 = 4;

/// A router that is home of workspaces and owner of runners.
pub struct Router {
    queue: Queue,
    lender: Lender,
    me: Instance,
    workspaces: Vec<Workspace>,
    next: Item,
    now: Time,
}

impl Router {
    /// Creates a router with backlogged workspaces, runners and 350 peers.
    pub fn new(workspaces: usize, runners: usize) -> Self {
        let me = Instance::new("i0").expect("a name");
        let mut lender = Lender::new(&me, lender::Settings::default());
        for index in 0..runners {
            let runner = Runner::new(&format!("r{index}")).expect("a name");
            lender.set_runner(&runner, 8);
        }
        for index in 1..350 {
            let peer = Instance::new(&format!("i{index}")).expect("a name");
            lender.summary(Time(0), &peer, 1e15, 2.0, 5);
        }
        let mut router = Router {
            queue: Queue::new(queue::Settings::default()),
            lender,
            me,
            workspaces: (0..workspaces)
                .map(|index| Workspace::new(&format!("w{index}")).expect("a name"))
                .collect(),
            next: 0,
            now: Time(0),
        };
        for _ in 0..DEPTH * workspaces as u64 {
            router.push();
        }
        // All slots but one are lent, so that each step decides on one.
        router
            .lender
            .summary(Time(0), &router.me, 0.0, 1.0, 8 * runners as u32);
        router.lender.grant(Time(0), COST.0 as f64);
        let last = u64::from(router.lender.lent());
        router.lender.release(Time(0), last, COST, false);
        router
    }

    fn push(&mut self) {
        self.next += 1;
        let index = (self.next.wrapping_mul(0x9E37_79B9) >> 7) as usize % self.workspaces.len();
        self.queue
            .push(&self.workspaces[index], self.next, Some(COST));
    }

    /// Queues a request, chooses router, request and runner for the free slot,
    /// and completes that request.
    pub fn step(&mut self) -> Option<Item> {
        self.now = self.now + Span(1);
        self.push();
        let queue = &self.queue;
        let (time, weight, backlog) = (queue.virtual_time(), queue.weight(), queue.backlog());
        self.lender
            .summary(self.now, &self.me, time, weight, backlog);
        let grant = self.lender.grant(self.now, self.queue.mean_cost()).pop()?;
        let item = self.queue.pop()?;
        self.queue.complete(item, COST);
        self.lender.release(self.now, grant.loan, COST, false);
        Some(item)
    }
}
