//! Whom routers exchange with, in small fleets and in large ones.

use std::net::SocketAddr;

use balsamchute_edge::peers::{Card, Frame, Listed, Phase, Scope, Table, Tier};
use balsamchute_model::prelude::*;
use balsamchute_schedule::report::{Load, Report, Sum, Usage};

const NOW: Time = Time(1_000_000);

/// Interval of the exchange.
const STEP: Span = Span(100);

/// Age above which the load that a router reported is not counted.
const RECENT: Span = Span(600);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn card(port: u16, domain: &str) -> Card {
    Card {
        instance: Instance::new(&format!("r{port}")).unwrap(),
        incarnation: u64::from(port),
        domain: domain.to_owned(),
        callers: address(port + 1000),
        peers: address(port),
        phase: Phase::Serving,
        manifest: 1,
        revision: 1,
        has_store: true,
    }
}

fn frame(port: u16, incarnation: u64) -> Frame {
    Frame {
        sender: Card {
            incarnation,
            ..card(port, "a")
        },
        known: vec![address(99)],
        roster: Vec::new(),
        scope: Scope::Own,
        report: Report::default(),
    }
}

fn load(running: u32) -> Report {
    Report {
        usage: vec![Usage {
            service: Service::new("s").unwrap(),
            workspace: Workspace::new("w").unwrap(),
            asked: 2.0 * running as f32,
            served: running as f32,
        }],
        loads: vec![Load {
            runner: Runner::new("i-0").unwrap(),
            running,
            unread: 10 * running,
            memory: 100 * running,
        }],
        suspects: Vec::new(),
    }
}

/// A router with what it has under way and what it knows of others.
struct Router {
    card: Card,
    table: Table,
    own: Report,
    others: Vec<(Instance, Time, Report)>,
    is_up: bool,
}

impl Router {
    fn running_elsewhere(&self, now: Time) -> u32 {
        let recent = self
            .others
            .iter()
            .filter(|(_, at, _)| now.since(*at) < RECENT);
        let loads = recent.flat_map(|(.., report)| &report.loads);
        loads.map(|load| load.running).sum()
    }
}

/// Routers that exchange on a common clock.
struct Fleet {
    now: Time,
    routers: Vec<Router>,
}

impl Fleet {
    /// Creates `count` routers in five domains that know two others each.
    fn new(count: u16) -> Self {
        let router = |number: u16| {
            let card = card(
                1 + number,
                ["a", "b", "c", "d", "e"][usize::from(number % 5)],
            );
            let mut table = Table::new(card.peers);
            for seed in [1, 1 + (number + 1) % count] {
                table.add(address(seed));
            }
            Router {
                card,
                table,
                own: load(1),
                others: Vec::new(),
                is_up: true,
            }
        };
        Fleet {
            now: NOW,
            routers: (0..count).map(router).collect(),
        }
    }

    /// Exchanges once; returns the number of datagrams.
    fn step(&mut self) -> usize {
        self.now = self.now + STEP;
        let mut frames = Vec::new();
        for router in self.routers.iter_mut().filter(|router| router.is_up) {
            if router.table.update(self.now, &router.card) {
                router.others.clear();
            }
            let own = router.own.clone();
            frames.extend(router.table.outgoing(self.now, &router.card, &own));
        }
        let mut sent = 0;
        for outgoing in frames {
            for to in outgoing.to {
                sent += 1;
                let up = self.routers.iter_mut().filter(|router| router.is_up);
                let Some(router) = up.into_iter().find(|router| router.card.peers == to) else {
                    continue;
                };
                if let Some(name) = router.table.hear(self.now, outgoing.frame.clone()) {
                    router.others.retain(|(own, ..)| *own != name);
                    router
                        .others
                        .push((name, self.now, outgoing.frame.report.clone()));
                }
            }
        }
        sent
    }

    fn steps(&mut self, count: usize) -> usize {
        (0..count).map(|_| self.step()).last().unwrap_or(0)
    }

    fn up(&self) -> impl Iterator<Item = &Router> {
        self.routers.iter().filter(|router| router.is_up)
    }

    /// Asserts that every router knows all others and what they have under way.
    fn assert_known(&self) {
        let count = self.up().count();
        for router in self.up() {
            let name = &router.card.instance;
            assert_eq!(router.table.alive(self.now).count(), count - 1, "at {name}");
            assert_eq!(
                router.running_elsewhere(self.now) as usize,
                count - 1,
                "at {name}"
            );
        }
    }

    fn hubs(&self) -> Vec<&str> {
        let hubs = self.up().filter(|router| router.table.tier() == Tier::Hub);
        hubs.map(|router| router.card.instance.as_str()).collect()
    }
}

#[test]
fn routers_are_alive_while_they_are_heard() {
    let mut table = Table::new(address(1));
    assert_eq!(table.hear(NOW, frame(1, 5)), None, "its own frame");
    assert!(table.hear(NOW, frame(2, 5)).is_some());
    assert_eq!(table.hear(NOW, frame(2, 4)), None, "an earlier life");
    assert_eq!(table.alive(NOW + Span(400)).count(), 1);
    assert_eq!(table.alive(NOW + Span(500)).count(), 0);
    assert_eq!(table.heard_within(NOW + Span(9000), Span(10_000)), 1);
}

#[test]
fn routers_that_were_named_get_datagrams_at_a_slow_interval() {
    let mut table = Table::new(address(1));
    table.hear(NOW, frame(2, 5));
    let mut to = |now| {
        let outgoing = table.outgoing(now, &card(1, "a"), &Report::default());
        outgoing.into_iter().flat_map(|o| o.to).collect::<Vec<_>>()
    };
    assert_eq!(to(NOW).len(), 2);
    assert_eq!(to(NOW + Span(100)), [address(2)]);
    assert_eq!(to(NOW + Span(1100)).len(), 2);
}

#[test]
fn a_small_fleet_exchanges_all_with_all() {
    let mut fleet = Fleet::new(8);
    let sent = fleet.steps(20);
    assert_eq!(sent, 8 * 7);
    fleet.assert_known();
    assert!(fleet.hubs().is_empty());
}

#[test]
fn a_large_fleet_exchanges_by_hubs() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    let sent = fleet.step();
    assert_eq!(fleet.hubs(), ["r1", "r2", "r3", "r4", "r5"]);
    fleet.assert_known();
    // Members to hubs and back, and hubs to each other.
    assert_eq!(sent, 85 * 2 + 5 * 4);
}

#[test]
fn the_next_oldest_router_replaces_a_hub_that_falls_silent() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    fleet.routers[0].is_up = false;
    fleet.routers[5].is_up = false;
    let mut longest = 0;
    for step in 1..=20 {
        fleet.step();
        if fleet.hubs().len() < 5 {
            longest = step;
        }
    }
    // The next oldest is gone as well: 450 ms to miss the hub, 1,200 to miss it.
    assert!(longest <= 17, "no hub for {longest} steps");
    fleet.steps(10);
    assert_eq!(fleet.hubs(), ["r2", "r3", "r4", "r5", "r11"]);
    fleet.assert_known();
    // A router that comes back in a new life is no hub again.
    fleet.routers[0].is_up = true;
    fleet.routers[0].card.incarnation = 1_000;
    fleet.routers[0].table = Table::new(address(1));
    fleet.routers[0].table.add(address(50));
    fleet.routers[0].others.clear();
    fleet.steps(30);
    assert_eq!(fleet.hubs(), ["r2", "r3", "r4", "r5", "r11"]);
    fleet.assert_known();
}

#[test]
fn hubs_follow_the_store_and_a_few_more_while_it_answers_none_of_them() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    let followers = |fleet: &Fleet| {
        let follows = |router: &&Router| router.table.follows_store(fleet.now, &router.card);
        fleet.up().filter(follows).count()
    };
    assert_eq!(followers(&fleet), 5);
    for router in &mut fleet.routers {
        router.card.has_store = false;
    }
    fleet.steps(10);
    assert_eq!(followers(&fleet), 5 * 4);
    fleet.routers[40].card.has_store = true;
    fleet.steps(10);
    assert_eq!(followers(&fleet), 5);
}

#[test]
fn newer_runners_come_from_hubs_though_the_store_answered_lately() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    // The hub of domain c knows more.
    fleet.routers[2].card.revision = 2;
    fleet.steps(5);
    let newer = |index: usize| {
        let router = &fleet.routers[index];
        router.table.newer(fleet.now, &router.card)
    };
    assert_eq!(newer(7), Some(fleet.routers[2].card.peers), "a member of c");
    assert_eq!(
        newer(6),
        None,
        "a member of b, whose hub does not know more yet"
    );
    assert_eq!(newer(0), Some(fleet.routers[2].card.peers), "another hub");
}

#[test]
fn a_fleet_that_shrinks_exchanges_all_with_all_again() {
    let mut fleet = Fleet::new(40);
    fleet.steps(40);
    for router in fleet.routers.iter_mut().skip(8) {
        router.is_up = false;
    }
    fleet.steps(60);
    assert!(fleet.hubs().is_empty());
    fleet.assert_known();
}

#[test]
fn a_sum_without_a_report_holds_all_others() {
    let mut sum = Sum::new();
    sum.add(&load(1));
    sum.add(&load(2));
    sum.add(&load(4));
    assert_eq!(sum.without(&load(2)), load(5));
    assert_eq!(sum.without(&load(9)).loads, []);
}

#[test]
fn a_sum_of_thousands_of_runners_fits_into_a_datagram() {
    let mut sum = Sum::new();
    let mut report = Report::default();
    for number in 0..3000 {
        report.loads.push(Load {
            runner: Runner::new(&format!("i-{number:010}")).unwrap(),
            running: 1 + number % 4,
            unread: 9000,
            memory: 400_000,
        });
    }
    sum.add(&report);
    let told = sum.into_report();
    assert!(told.loads.iter().all(|load| load.running == 4));
    let listed = |port| Listed {
        card: card(port, "failure-domain"),
        age: Span(100),
    };
    let frame = Frame {
        roster: (1..400).map(listed).collect(),
        report: told,
        ..frame(1, 1)
    };
    let bytes = rmp_serde::to_vec(&frame).unwrap().len();
    assert!(bytes < 60_000, "{bytes} bytes");
}
