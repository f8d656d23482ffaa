//! Several queues and lenders that pass each other messages, with delay and
//! loss, in virtual time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_base::prelude::*;
use balsamchute_fair::lender::{self, Grant, Lender};
use balsamchute_fair::order::{Reading, fleet_time};
use balsamchute_fair::queue::{self, Item, Queue};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Cost that a slot serves in a millisecond.
pub const SPEED: u64 = 2;
const TICK: u64 = 50;
const EXCHANGE: u64 = 500;

/// A workspace and its traffic.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub weight: f64,
    pub home: usize,
    /// Mean time between requests, `None` to keep [`Tenant::waiting`] waiting.
    pub interval: Option<u64>,
    pub waiting: usize,
    /// Factor between hint and cost, `None` for no hint.
    pub hint: Option<f64>,
    pub cost: (u64, u64),
}

impl Tenant {
    pub fn backlogged(home: usize, weight: f64) -> Self {
        let cost = (50, 1_000);
        Tenant {
            weight,
            home,
            interval: None,
            waiting: 30,
            hint: None,
            cost,
        }
    }

    pub fn light(home: usize, interval: u64) -> Self {
        let interval = Some(interval);
        Tenant {
            interval,
            waiting: 0,
            ..Tenant::backlogged(home, 1.0)
        }
    }
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub routers: usize,
    /// Slots of each runner; runner `i` belongs to router `i % routers`.
    pub runners: Vec<u32>,
    pub tenants: Vec<Tenant>,
    pub delay: u64,
    /// Share of messages between routers that is lost.
    pub loss: f64,
    pub seed: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Summary(Reading),
    Grant(Grant),
    Release(u64, Cost),
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Message {
        from: usize,
        to: usize,
        message: Message,
    },
    Finish {
        item: Item,
    },
    Tick,
    Exchange,
}

struct Router {
    queue: Queue,
    lender: Lender,
    heard: BTreeMap<usize, Reading>,
    told: Option<Reading>,
}

#[derive(Clone, Debug)]
struct Run {
    tenant: usize,
    router: usize,
    arrived: u64,
    started: Option<u64>,
    cost: u64,
    loan: Option<(usize, u64)>,
    runner: usize,
}

pub struct Fleet {
    pub setup: Setup,
    pub now: u64,
    routers: Vec<Router>,
    events: BTreeMap<(u64, u64), Event>,
    runs: BTreeMap<Item, Run>,
    waiting: Vec<usize>,
    next: u64,
    random: ChaCha8Rng,
    /// Routers that cannot reach the others.
    pub cut: BTreeSet<usize>,
    /// Cost served to each tenant.
    pub served: Vec<f64>,
    /// Waits of the requests that have started, by tenant.
    pub waits: Vec<Vec<u64>>,
    /// Slot time free while anything waits, and all slot time.
    pub idle: u64,
    pub total: u64,
    pub overcommitted: u64,
}

fn name(prefix: &str, index: usize) -> String {
    format!("{prefix}{index}")
}

pub fn workspace(index: usize) -> Workspace {
    Workspace::new(&name("w", index)).unwrap()
}

fn instance(index: usize) -> Instance {
    Instance::new(&name("i", index)).unwrap()
}

fn number(text: &str) -> usize {
    text[1..].parse().unwrap()
}

impl Fleet {
    pub fn new(setup: Setup) -> Self {
        let tenants = setup.tenants.len();
        let mut fleet = Fleet {
            now: 0,
            routers: Vec::new(),
            events: BTreeMap::new(),
            runs: BTreeMap::new(),
            waiting: vec![0; tenants],
            next: 0,
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            cut: BTreeSet::new(),
            served: vec![0.0; tenants],
            waits: vec![Vec::new(); tenants],
            idle: 0,
            total: 0,
            overcommitted: 0,
            setup,
        };
        for index in 0..fleet.setup.routers {
            let router = fleet.router(index);
            fleet.routers.push(router);
        }
        fleet.at(1, Event::Tick);
        fleet.at(1, Event::Exchange);
        for tenant in 0..tenants {
            fleet.at(2, Event::Arrive(tenant));
        }
        fleet
    }

    fn router(&self, index: usize) -> Router {
        let mut lender = Lender::new(&instance(index), lender::Settings::default());
        for (runner, &slots) in self.setup.runners.iter().enumerate() {
            if runner % self.setup.routers == index {
                lender.set_runner(&Runner::new(&name("r", runner)).unwrap(), slots);
            }
        }
        let mut queue = Queue::new(queue::Settings::default());
        for (tenant, workspace_of) in self.setup.tenants.iter().enumerate() {
            queue.set_weight(&workspace(tenant), workspace_of.weight);
        }
        Router {
            queue,
            lender,
            heard: BTreeMap::new(),
            told: None,
        }
    }

    /// Replaces a router by one that knows nothing. Its requests are lost.
    pub fn restart(&mut self, index: usize) {
        self.routers[index] = self.router(index);
        let mut lost: Vec<Item> = Vec::new();
        self.runs.retain(|&item, run| {
            let keep = run.router != index;
            if !keep {
                lost.push(item);
                self.waiting[run.tenant] -= usize::from(run.started.is_none());
            }
            keep
        });
        for tenant in 0..self.setup.tenants.len() {
            if self.setup.tenants[tenant].home == index {
                self.at(self.now + 1, Event::Arrive(tenant));
            }
        }
        let now = Time(self.now);
        for (other, router) in self.routers.iter_mut().enumerate() {
            if other != index {
                router.lender.forget(now, &instance(index));
            }
        }
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some((&(time, sequence), _)) = self.events.first_key_value() {
            if time > end {
                break;
            }
            let event = self.events.remove(&(time, sequence)).unwrap();
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns what was served for each unit of weight.
    pub fn normal(&self) -> Vec<f64> {
        let tenants = self.served.iter().zip(&self.setup.tenants);
        tenants
            .map(|(served, tenant)| served / tenant.weight)
            .collect()
    }

    pub fn slots(&self) -> u32 {
        self.setup.runners.iter().sum()
    }

    fn at(&mut self, time: u64, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let separated = self.cut.contains(&from) != self.cut.contains(&to);
        if from != to && (separated || self.random.random_bool(self.setup.loss)) {
            return;
        }
        let delay = if from == to { 0 } else { self.setup.delay };
        self.at(self.now + delay, Event::Message { from, to, message });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(tenant) => self.arrive(tenant),
            Event::Message { from, to, message } => self.receive(from, to, message),
            Event::Finish { item } => self.finish(item),
            Event::Tick => self.tick(),
            Event::Exchange => {
                for index in 0..self.routers.len() {
                    self.routers[index].told = None;
                    self.publish(index);
                }
                self.at(self.now + EXCHANGE, Event::Exchange);
            }
        }
    }

    fn arrive(&mut self, tenant: usize) {
        let setup = self.setup.tenants[tenant].clone();
        let count = match setup.interval {
            None => setup.waiting.saturating_sub(self.waiting[tenant]),
            Some(interval) => {
                let pause = self.random.random_range(1..=2 * interval);
                self.at(self.now + pause, Event::Arrive(tenant));
                1
            }
        };
        for _ in 0..count {
            self.next += 1;
            let item = self.next;
            let cost = self.random.random_range(setup.cost.0..=setup.cost.1);
            let hint = setup.hint.map(|factor| Cost((cost as f64 * factor) as u64));
            let run = Run {
                tenant,
                router: setup.home,
                arrived: self.now,
                started: None,
                cost,
                loan: None,
                runner: 0,
            };
            self.runs.insert(item, run);
            self.waiting[tenant] += 1;
            self.routers[setup.home]
                .queue
                .push(&workspace(tenant), item, hint);
        }
        self.publish(setup.home);
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = Time(self.now);
        match message {
            Message::Summary(reading) => {
                let router = &mut self.routers[to];
                router.heard.insert(from, reading);
                let Reading {
                    virtual_time,
                    backlog,
                    weight,
                } = reading;
                router
                    .lender
                    .summary(now, &instance(from), virtual_time, weight, backlog);
                if let Some(time) = fleet_time(router.heard.values().copied()) {
                    router.queue.observe(time);
                }
                self.grant(to);
            }
            Message::Grant(grant) => self.start(from, to, &grant),
            Message::Release(loan, cost) => {
                self.routers[to].lender.release(now, loan, cost, false);
                self.grant(to);
            }
        }
    }

    fn start(&mut self, owner: usize, index: usize, grant: &Grant) {
        let Some(item) = self.routers[index].queue.pop() else {
            self.send(index, owner, Message::Release(grant.loan, Cost(0)));
            return;
        };
        let run = self.runs.get_mut(&item).unwrap();
        run.started = Some(self.now);
        run.loan = Some((owner, grant.loan));
        run.runner = number(grant.runner.as_str());
        let (tenant, cost, wait) = (run.tenant, run.cost, self.now - run.arrived);
        self.waits[tenant].push(wait);
        self.waiting[tenant] -= 1;
        self.at(self.now + cost.div_ceil(SPEED), Event::Finish { item });
        if self.setup.tenants[tenant].interval.is_none() {
            self.arrive(tenant);
        }
        self.publish(index);
    }

    fn finish(&mut self, item: Item) {
        let Some(run) = self.runs.remove(&item) else {
            return;
        };
        let before = run.started.map_or(0, |at| at.max(self.last_tick()));
        self.served[run.tenant] += (self.now.saturating_sub(before) * SPEED) as f64;
        self.routers[run.router]
            .queue
            .complete(item, Cost(run.cost));
        let (owner, loan) = run.loan.unwrap();
        self.publish(run.router);
        self.send(run.router, owner, Message::Release(loan, Cost(run.cost)));
    }

    fn last_tick(&self) -> u64 {
        (self.now - 1) / TICK * TICK + 1
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut running = vec![0; self.setup.runners.len()];
        for (&item, run) in &self.runs {
            let Some(started) = run.started else {
                continue;
            };
            running[run.runner] += 1;
            let since = started.max(now.saturating_sub(TICK));
            self.served[run.tenant] += ((now - since) * SPEED) as f64;
            let cost = Cost((now - started) * SPEED);
            self.routers[run.router].queue.progress(item, cost);
        }
        let waiting: usize = self.waiting.iter().sum();
        for (index, (&running, &slots)) in running.iter().zip(&self.setup.runners).enumerate() {
            let free = u64::from(slots.saturating_sub(running));
            self.idle += free.min(waiting as u64);
            self.total += u64::from(slots);
            self.overcommitted += u64::from(running.saturating_sub(slots));
            let runner = Runner::new(&name("r", index)).unwrap();
            let owner = index % self.routers.len();
            self.routers[owner]
                .lender
                .report_load(Time(now), &runner, running, Span(0));
        }
        for index in 0..self.routers.len() {
            let router = &mut self.routers[index];
            router.lender.expire(Time(now));
            assert!(router.lender.lent() <= router.lender.slots());
            self.grant(index);
            self.publish(index);
        }
        self.at(now + TICK, Event::Tick);
    }

    fn publish(&mut self, index: usize) {
        let queue = &self.routers[index].queue;
        let reading = Reading {
            virtual_time: queue.virtual_time(),
            backlog: queue.backlog(),
            weight: queue.weight(),
        };
        if self.routers[index].told == Some(reading) {
            return;
        }
        self.routers[index].told = Some(reading);
        for to in 0..self.routers.len() {
            self.send(index, to, Message::Summary(reading));
        }
    }

    fn grant(&mut self, index: usize) {
        let mean = self.routers[index].queue.mean_cost();
        let grants = self.routers[index].lender.grant(Time(self.now), mean);
        for grant in grants {
            let to = number(grant.to.as_str());
            self.send(index, to, Message::Grant(grant));
        }
    }
}
