//! Peer exchange in small and large fleets.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use balsamchute_edge::peers::{Descriptor, Frame, Listing, Phase, Scope, Table, Tier};
use balsamchute_model::prelude::*;
use balsamchute_schedule::evacuation::Shared;
use balsamchute_schedule::report::{Begun, Load, Report, Sum, Usage};

const NOW: Time = Time(1_000_000);

/// Interval of the simulated exchange.
const EXCHANGE_INTERVAL: Span = Span(100);

/// Age above which a peer's reported load is not counted.
const MAX_REPORT_AGE: Span = Span(600);

fn peer_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn descriptor(port: u16, domain: &str) -> Descriptor {
    Descriptor {
        instance: Instance::new(&format!("r{port}")).unwrap(),
        incarnation: u64::from(port),
        domain: domain.to_owned(),
        callers: peer_address(port + 1000),
        peers: peer_address(port),
        millicores: 250,
        phase: Phase::Serving,
        manifest: 1,
        revision: Revision::new(1, 1),
        has_store: true,
    }
}

fn frame(port: u16, incarnation: u64) -> Frame {
    Frame {
        sender: Descriptor {
            incarnation,
            ..descriptor(port, "a")
        },
        known_addresses: vec![peer_address(99)],
        roster: Vec::new(),
        scope: Scope::Own,
        report: Report::default(),
        sequence: 1,
        included: Vec::new(),
        evacuations: Shared::default(),
        list_age: None,
    }
}

fn load(running: u32) -> Report {
    Report {
        part_suspects: Vec::new(),
        usage: vec![Usage {
            service: Service::new("s").unwrap(),
            workspace: Workspace::new("w").unwrap(),
            demand: 2.0 * running as f32,
            served: running as f32,
        }],
        loads: vec![Load {
            runner: Runner::new("i-0").unwrap(),
            running,
            prefill_tokens: 10 * running,
            kv_tokens: 100 * running,
        }],
        suspects: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        demand: Vec::new(),
        streams: Vec::new(),
        cold: Vec::new(),
    }
}

/// A simulated router with its own report and the reports merged from peers.
struct Router {
    descriptor: Descriptor,
    table: Table,
    own_report: Report,
    peer_reports: Vec<(Instance, Time, Report)>,
    is_running: bool,
}

impl Router {
    fn peer_load(&self, now: Time) -> u32 {
        let recent = self
            .peer_reports
            .iter()
            .filter(|(_, received, _)| now.since(*received) < MAX_REPORT_AGE);
        let loads = recent.flat_map(|(.., report)| &report.loads);
        loads.map(|load| load.running).sum()
    }
}

/// Routers that exchange datagrams on a common clock.
struct Fleet {
    now: Time,
    routers: Vec<Router>,
}

impl Fleet {
    /// Creates `count` routers in five domains; each starts with two seed
    /// addresses.
    fn new(count: u16) -> Self {
        let router = |number: u16| {
            let descriptor = descriptor(
                1 + number,
                ["a", "b", "c", "d", "e"][usize::from(number % 5)],
            );
            let mut table = Table::new(descriptor.peers);
            for seed in [1, 1 + (number + 1) % count] {
                table.add(peer_address(seed));
            }
            Router {
                descriptor,
                table,
                own_report: load(1),
                peer_reports: Vec::new(),
                is_running: true,
            }
        };
        Fleet {
            now: NOW,
            routers: (0..count).map(router).collect(),
        }
    }

    /// Runs one exchange interval. Returns the number of datagrams sent.
    fn step(&mut self) -> usize {
        self.now = self.now + EXCHANGE_INTERVAL;
        let mut frames = Vec::new();
        for router in self.routers.iter_mut().filter(|router| router.is_running) {
            if router.table.update(self.now, &router.descriptor) {
                router.peer_reports.clear();
            }
            let own_report = router.own_report.clone();
            frames.extend(
                router
                    .table
                    .outgoing(self.now, &router.descriptor, &own_report),
            );
        }
        let mut sent = 0;
        for outgoing in frames {
            for receiver in outgoing.receivers {
                sent += 1;
                let running_routers = self.routers.iter_mut().filter(|router| router.is_running);
                let Some(router) = running_routers
                    .into_iter()
                    .find(|router| router.descriptor.peers == receiver)
                else {
                    continue;
                };
                if let Some(source) = router.table.receive(self.now, outgoing.frame.clone()) {
                    router.peer_reports.retain(|(other, ..)| *other != source);
                    let report = router.table.report(outgoing.frame.sender.peers).cloned();
                    router
                        .peer_reports
                        .push((source, self.now, report.unwrap_or_default()));
                }
            }
        }
        sent
    }

    fn steps(&mut self, count: usize) -> usize {
        (0..count).map(|_| self.step()).last().unwrap_or(0)
    }

    fn running_routers(&self) -> impl Iterator<Item = &Router> {
        self.routers.iter().filter(|router| router.is_running)
    }

    /// Asserts that every router sees all others as alive and knows their load.
    fn assert_converged(&self) {
        let count = self.running_routers().count();
        for router in self.running_routers() {
            let instance = &router.descriptor.instance;
            assert_eq!(
                router.table.alive(self.now).count(),
                count - 1,
                "at {instance}"
            );
            assert_eq!(
                router.peer_load(self.now) as usize,
                count - 1,
                "at {instance}"
            );
        }
    }

    fn hubs(&self) -> Vec<&str> {
        let hubs = self
            .running_routers()
            .filter(|router| router.table.tier() == Tier::Hub);
        hubs.map(|router| router.descriptor.instance.as_str())
            .collect()
    }
}

#[test]
fn routers_are_alive_until_they_time_out() {
    let mut table = Table::new(peer_address(1));
    assert_eq!(
        table.receive(NOW, frame(1, 5)),
        None,
        "frame of the router itself"
    );
    assert!(table.receive(NOW, frame(2, 5)).is_some());
    assert_eq!(
        table.receive(NOW, frame(2, 4)),
        None,
        "frame of an earlier incarnation"
    );
    assert_eq!(table.alive(NOW + Span(400)).count(), 1);
    assert_eq!(table.alive(NOW + Span(500)).count(), 0);
    assert_eq!(table.count_seen_within(NOW + Span(9000), Span(10_000)), 1);
}

/// The wall clock, by which processes are ordered, may have stepped back before a restart.
/// The other routers ignored the new process until the clock had caught up.
#[test]
fn a_router_that_restarts_with_an_earlier_clock_is_alive_again() {
    let mut table = Table::new(peer_address(1));
    let alive = |table: &Table, now: Time| -> Vec<u64> {
        let alive = table.alive(now);
        alive.map(|peer| peer.descriptor.incarnation).collect()
    };
    table.receive(NOW, frame(2, 5000));
    let restarted = NOW + Span(1000);
    assert_eq!(
        table.receive(restarted, frame(2, 4000)),
        Some(descriptor(2, "a").instance)
    );
    assert_eq!(alive(&table, restarted), [4000]);
    // Known through another router only.
    let listing = |incarnation| Frame {
        roster: vec![Listing {
            descriptor: frame(3, incarnation).sender,
            age: Span(100),
            sequence: 1,
        }],
        ..frame(2, 4000)
    };
    table.receive(restarted, listing(5000));
    let later = restarted + Span(2000);
    table.receive(later, listing(4000));
    assert_eq!(alive(&table, later), [4000, 4000]);
}

#[test]
fn unseen_addresses_are_probed_at_a_slow_interval() {
    let mut table = Table::new(peer_address(1));
    table.receive(NOW, frame(2, 5));
    let mut receivers_at = |now| {
        let outgoing = table.outgoing(now, &descriptor(1, "a"), &Report::default());
        outgoing
            .into_iter()
            .flat_map(|outgoing| outgoing.receivers)
            .collect::<Vec<_>>()
    };
    assert_eq!(receivers_at(NOW).len(), 2);
    assert_eq!(receivers_at(NOW + Span(100)), [peer_address(2)]);
    assert_eq!(receivers_at(NOW + Span(1100)).len(), 2);
}

#[test]
fn a_small_fleet_exchanges_in_a_full_mesh() {
    let mut fleet = Fleet::new(8);
    let sent = fleet.steps(20);
    assert_eq!(sent, 8 * 7);
    fleet.assert_converged();
    assert!(fleet.hubs().is_empty());
}

#[test]
fn a_large_fleet_exchanges_through_hubs() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    let sent = fleet.step();
    assert_eq!(fleet.hubs(), ["r1", "r2", "r3", "r4", "r5"]);
    fleet.assert_converged();
    // One datagram in each direction between member and hub, and one between
    // each pair of hubs in each direction.
    assert_eq!(sent, 85 * 2 + 5 * 4);
}

/// Members of another domain did not answer, so that the router stayed alone until it listed
/// the routers in the store again, 20 s later, and served without the sums of the fleet.
#[test]
fn a_router_that_starts_finds_a_large_fleet_by_a_seed_of_another_domain() {
    let mut fleet = Fleet::new(90);
    fleet.routers[89].is_running = false;
    fleet.steps(40);
    let member = fleet.routers[6].descriptor.clone();
    assert_ne!(member.domain, fleet.routers[89].descriptor.domain);
    assert!(matches!(fleet.routers[6].table.tier(), Tier::Member(_)));
    let table = &mut fleet.routers[89].table;
    *table = Table::new(peer_address(90));
    table.add(member.peers);
    fleet.routers[89].is_running = true;
    fleet.steps(30);
    fleet.assert_converged();
}

/// All members receive the same sum. Each must take off the report of its own that the
/// hub had, not a newer one.
#[test]
fn a_member_takes_the_report_off_that_the_sum_includes() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    for running in [7, 3, 9] {
        fleet.routers[8].own_report = load(running);
        fleet.step();
        fleet.routers[8].own_report = load(running + 1);
        fleet.step();
        assert_eq!(fleet.routers[8].peer_load(fleet.now), 89);
    }
}

/// A router that misses one may infer a wrong origin, or none.
#[test]
fn versions_and_streams_of_each_router_reach_all_others_of_a_large_fleet() {
    let mut fleet = Fleet::new(195);
    fleet.steps(40);
    let streams = 0..5;
    for (number, router) in (0..).zip(&mut fleet.routers) {
        router.own_report.streams = vec![Begun {
            service: Service::new("s").unwrap(),
            software: Software::from(format!("v{number}")),
            streams: streams.clone().map(|stream| number << 8 | stream).collect(),
            age: Span(0),
        }];
    }
    fleet.steps(3);
    for router in &fleet.routers {
        let reports = router.peer_reports.iter().map(|(.., report)| report);
        let begun: Vec<&Begun> = reports.flat_map(|report| &report.streams).collect();
        let versions: BTreeSet<&Software> = begun.iter().map(|begun| &begun.software).collect();
        let digests: BTreeSet<u64> = begun
            .iter()
            .flat_map(|begun| begun.streams.clone())
            .collect();
        let own = 1 - versions.len() / 195;
        let instance = &router.descriptor.instance;
        assert_eq!(versions.len() + own, 195, "at {instance}");
        assert_eq!(digests.len() + 5 * own, 975, "at {instance}");
    }
}

/// Members keep reporting to a dead hub until it times out. Each domain must then
/// elect one new hub, and keep it when the old one restarts.
#[test]
fn the_next_oldest_router_replaces_a_hub_that_times_out() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    fleet.routers[0].is_running = false;
    fleet.routers[5].is_running = false;
    let mut steps_without_hub = 0;
    for step in 1..=20 {
        fleet.step();
        if fleet.hubs().len() < 5 {
            steps_without_hub = step;
        }
    }
    // The second oldest router is down as well: detecting the hub's failure
    // takes 450 ms, and detecting that of its successor 1,200 ms.
    assert!(
        steps_without_hub <= 17,
        "a domain has no hub for {steps_without_hub} steps"
    );
    fleet.steps(10);
    assert_eq!(fleet.hubs(), ["r2", "r3", "r4", "r5", "r11"]);
    fleet.assert_converged();
    // A restarted router has a new incarnation and does not become hub again.
    fleet.routers[0].is_running = true;
    fleet.routers[0].descriptor.incarnation = 1_000;
    fleet.routers[0].table = Table::new(peer_address(1));
    fleet.routers[0].table.add(peer_address(50));
    fleet.routers[0].peer_reports.clear();
    fleet.steps(30);
    assert_eq!(fleet.hubs(), ["r2", "r3", "r4", "r5", "r11"]);
    fleet.assert_converged();
}

/// A router that starts knows all addresses from the store. If it reported to all of them
/// and each answered with the sum and the list of routers, a restart of the fleet one by
/// one would send gigabytes between domains.
#[test]
fn a_restart_in_a_large_fleet_causes_few_datagrams() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    let steady = fleet.step();
    let addresses: Vec<SocketAddr> = fleet
        .routers
        .iter()
        .map(|router| router.descriptor.peers)
        .collect();
    let router = &mut fleet.routers[40];
    router.descriptor.incarnation = 1_000;
    router.table = Table::new(router.descriptor.peers);
    router.peer_reports.clear();
    for address in addresses {
        router.table.add(address);
    }
    let most = (0..20).map(|_| fleet.step()).max().unwrap();
    assert!(most <= steady + 30, "{most} datagrams, {steady} before");
    fleet.assert_converged();
}

/// The store may reject single machines. If only hubs read from it, a domain whose hub is
/// rejected would miss changes until another domain passes them on.
#[test]
fn more_routers_read_the_store_while_the_hub_of_their_domain_is_not_connected() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    let store_readers = |fleet: &Fleet| {
        let mut readers = [0; 5];
        for (index, router) in fleet.routers.iter().enumerate() {
            let reads = router.table.reads_store(fleet.now, &router.descriptor);
            readers[index % 5] += usize::from(reads);
        }
        readers
    };
    assert_eq!(store_readers(&fleet), [1; 5]);
    for router in &mut fleet.routers {
        router.descriptor.has_store = false;
    }
    fleet.steps(10);
    assert_eq!(store_readers(&fleet), [4; 5]);
    // A router that does not read the store cannot stand in for those that do.
    fleet.routers[40].descriptor.has_store = true;
    fleet.steps(10);
    assert_eq!(store_readers(&fleet), [4; 5]);
    // The first router after the hub of domain a.
    fleet.routers[5].descriptor.has_store = true;
    fleet.steps(10);
    assert_eq!(store_readers(&fleet), [2, 4, 4, 4, 4]);
    // The hub of domain b.
    fleet.routers[1].descriptor.has_store = true;
    fleet.steps(10);
    assert_eq!(store_readers(&fleet), [2, 1, 4, 4, 4]);
}

/// Time for which a router that no longer reads the store may report a connection.
const REPORTED_CONNECTION: Span = Span(3500);

/// The routers that read the store in place of the hubs must not all stop for each other.
#[test]
fn the_store_is_read_all_the_time_while_it_rejects_the_hubs() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    for router in &mut fleet.routers {
        router.descriptor.has_store = false;
    }
    let mut answered_at: Vec<Option<Time>> = vec![None; fleet.routers.len()];
    for step in 0..200 {
        fleet.step();
        let mut readers = [0; 5];
        for (index, router) in fleet.routers.iter_mut().enumerate() {
            let is_hub = index < 5;
            if !is_hub && router.table.reads_store(fleet.now, &router.descriptor) {
                readers[index % 5] += 1;
                answered_at[index] = Some(fleet.now);
            }
            router.descriptor.has_store = answered_at[index]
                .is_some_and(|answered| fleet.now.since(answered) < REPORTED_CONNECTION);
        }
        // The first second is the time in which the routers hear of the rejections and of
        // each other's connections.
        if step >= 10 {
            assert_eq!(readers, [1; 5], "in step {step}");
        }
    }
}

/// The watch of a hub can stall while the store still counts as connected. Its
/// domain would then keep an outdated runner list.
#[test]
fn newer_runners_come_from_hubs_despite_a_store_connection() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    // The hub of domain c has a newer revision.
    fleet.routers[2].descriptor.revision = Revision::new(1, 2);
    fleet.steps(5);
    let newer_peer = |index: usize| {
        let router = &fleet.routers[index];
        let mut table = router.table.clone();
        table.newer_peer(fleet.now, &router.descriptor)
    };
    assert_eq!(
        newer_peer(7),
        Some(fleet.routers[2].descriptor.peers),
        "a member of c"
    );
    assert_eq!(
        newer_peer(6),
        None,
        "a member of b, whose hub does not know more yet"
    );
    assert_eq!(
        newer_peer(0),
        Some(fleet.routers[2].descriptor.peers),
        "another hub"
    );
}

/// A hub that is slow or cut off from the others would keep its domain outdated beyond the
/// time within which a runner that leaves must get no more requests.
#[test]
fn a_member_asks_other_routers_if_its_hub_stays_outdated_or_does_not_answer() {
    let mut fleet = Fleet::new(90);
    fleet.steps(40);
    fleet.routers[2].descriptor.revision = Revision::new(1, 2);
    let hub_of_b = fleet.routers[1].descriptor.peers;
    let hub_of_c = fleet.routers[2].descriptor.peers;
    let mut asked = Vec::new();
    for _ in 0..12 {
        fleet.step();
        let router = &mut fleet.routers[6];
        asked.push(router.table.newer_peer(fleet.now, &router.descriptor));
    }
    let first = asked.iter().position(|peer| *peer == Some(hub_of_c));
    assert!(first.is_some_and(|first| first <= 9), "{asked:?}");
    // The hub catches up but does not answer.
    fleet.routers[1].descriptor.revision = Revision::new(1, 2);
    fleet.steps(5);
    let router = &mut fleet.routers[6];
    let mut ask = || router.table.newer_peer(fleet.now, &router.descriptor);
    assert_eq!(ask(), Some(hub_of_b));
    router.table.record_view(hub_of_b, false);
    let mut ask = || router.table.newer_peer(fleet.now, &router.descriptor);
    assert_eq!(ask(), Some(hub_of_c));
}

#[test]
fn a_shrinking_fleet_returns_to_a_full_mesh() {
    let mut fleet = Fleet::new(40);
    fleet.steps(40);
    for router in fleet.routers.iter_mut().skip(8) {
        router.is_running = false;
    }
    fleet.steps(60);
    assert!(fleet.hubs().is_empty());
    fleet.assert_converged();
}

#[test]
fn a_sum_without_one_report_holds_the_others() {
    let mut sum = Sum::new();
    sum.add(&load(1));
    sum.add(&load(2));
    sum.add(&load(4));
    let report = sum.into_report();
    assert_eq!(report.clone().excluding(&load(2)), load(5));
    assert_eq!(report.excluding(&load(9)).loads, []);
}

/// The sum of a large fleet once outgrew a datagram, so that members received
/// neither reports nor the roster of their hub.
#[test]
fn a_sum_of_thousands_of_runners_fits_into_a_datagram() {
    let mut sum = Sum::new();
    let mut report = Report::default();
    for number in 0..3000 {
        report.loads.push(Load {
            runner: Runner::new(&format!("i-{number:010}")).unwrap(),
            running: 1 + number % 4,
            prefill_tokens: 9000,
            kv_tokens: 400_000,
        });
    }
    sum.add(&report);
    let sum_report = sum.into_report();
    assert!(sum_report.loads.iter().all(|load| load.running == 4));
    let listing = |port| Listing {
        descriptor: descriptor(port, "failure-domain"),
        age: Span(100),
        sequence: 1_000_000,
    };
    let frame = Frame {
        roster: (1..400).map(listing).collect(),
        report: sum_report,
        ..frame(1, 1)
    };
    let bytes = rmp_serde::to_vec(&frame).unwrap().len();
    assert!(bytes < 60_000, "{bytes} bytes");
}

/// Frame of a router before the evacuations.
#[derive(serde::Serialize)]
struct EarlierFrame {
    sender: Descriptor,
    known_addresses: Vec<SocketAddr>,
    roster: Vec<(Descriptor, Span)>,
    scope: Scope,
    report: Report,
    sequence: u64,
    included: Vec<(SocketAddr, u64)>,
}

/// During a release of the router, both versions exchange frames.
#[test]
fn a_frame_without_evacuations_and_numbers_of_listings_is_decoded() {
    let frame = frame(2, 5);
    let earlier = EarlierFrame {
        sender: frame.sender.clone(),
        known_addresses: frame.known_addresses.clone(),
        roster: vec![(descriptor(3, "a"), Span(100))],
        scope: frame.scope,
        report: frame.report.clone(),
        sequence: frame.sequence,
        included: Vec::new(),
    };
    let bytes = rmp_serde::to_vec(&earlier).unwrap();
    let decoded: Frame = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(decoded.evacuations, Shared::default());
    let mut table = Table::new(peer_address(1));
    table.receive(NOW, decoded);
    assert_eq!(table.alive(NOW).count(), 2);
}
