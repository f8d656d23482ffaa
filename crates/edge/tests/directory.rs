//! Routers that the directory names: none that is gone for more than 7 s.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use balsamchute_edge::peers::{Descriptor, Frame, Phase, Table, Tier};
use balsamchute_model::prelude::*;
use balsamchute_schedule::report::Report;

/// Sizes of the fleets: a full mesh, and one with hubs.
const SIZES: [u16; 2] = [8, 83];

/// Interval of the simulated exchange.
const STEP: Span = Span(100);

/// Steps after which no answer may name a router that is gone: 7 s.
const MAX_LISTED_STEPS: usize = 70;

/// Datagrams that wait for a router that is paused; later ones are lost.
const MAX_QUEUED: usize = 200;

fn peer_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

struct Router {
    descriptor: Descriptor,
    table: Table,
    is_running: bool,
    // The process gets no processor time; datagrams wait in its socket.
    is_paused: bool,
    // No datagram leaves or reaches it.
    is_cut_off: bool,
    // Time that its datagrams take.
    delay: Span,
}

struct Fleet {
    now: Time,
    routers: Vec<Router>,
    in_flight: Vec<(Time, SocketAddr, Frame)>,
}

impl Fleet {
    /// Creates a fleet in five domains whose exchange has settled.
    fn new(count: u16) -> Self {
        let routers = (0..count).map(|number| {
            let descriptor = Descriptor {
                instance: Instance::new(&format!("r{number}")).unwrap(),
                incarnation: u64::from(number + 1),
                domain: ["a", "b", "c", "d", "e"][usize::from(number % 5)].to_owned(),
                callers: peer_address(2000 + number),
                peers: peer_address(1000 + number),
                millicores: 250,
                phase: Phase::Serving,
                manifest: 1,
                revision: Revision::new(1, 1),
                has_store: true,
            };
            let mut table = Table::new(descriptor.peers);
            table.add(peer_address(1000));
            table.add(peer_address(1000 + (number + 1) % count));
            Router {
                descriptor,
                table,
                is_running: true,
                is_paused: false,
                is_cut_off: false,
                delay: Span(0),
            }
        });
        let mut fleet = Fleet {
            now: Time(1_000_000),
            routers: routers.collect(),
            in_flight: Vec::new(),
        };
        fleet.steps(60);
        fleet
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let sending = |router: &&mut Router| router.is_running && !router.is_paused;
        for router in self.routers.iter_mut().filter(sending) {
            router.table.update(now, &router.descriptor);
            let outgoing = router
                .table
                .outgoing(now, &router.descriptor, &Report::default());
            for outgoing in outgoing.into_iter().filter(|_| !router.is_cut_off) {
                for receiver in outgoing.receivers {
                    let frame = outgoing.frame.clone();
                    self.in_flight.push((now + router.delay, receiver, frame));
                }
            }
        }
        self.deliver();
    }

    /// Delivers the datagrams that are due. Those to a paused router wait.
    fn deliver(&mut self) {
        let mut queued = vec![0; self.routers.len()];
        for (due, receiver, frame) in std::mem::take(&mut self.in_flight) {
            let index = usize::from(receiver.port() - 1000);
            let router = &mut self.routers[index];
            if !router.is_running || router.is_cut_off {
                continue;
            }
            if due > self.now {
                self.in_flight.push((due, receiver, frame));
            } else if !router.is_paused {
                router.table.receive(self.now, frame);
            } else if queued[index] < MAX_QUEUED {
                queued[index] += 1;
                self.in_flight.push((due, receiver, frame));
            }
        }
    }

    fn steps(&mut self, count: usize) {
        (0..count).for_each(|_| self.step());
    }

    /// Ends pauses. The process may read its socket before it does anything else.
    fn wake(&mut self) {
        for router in &mut self.routers {
            router.is_paused = false;
        }
        self.now = self.now + Span(10);
        self.deliver();
    }

    /// Replaces the process of a router by a new one that knows all addresses.
    fn restart(&mut self, index: usize) {
        let addresses: Vec<SocketAddr> = self
            .routers
            .iter()
            .map(|router| router.descriptor.peers)
            .collect();
        let router = &mut self.routers[index];
        router.descriptor.incarnation = 1000;
        router.table = Table::new(router.descriptor.peers);
        for address in addresses {
            router.table.add(address);
        }
    }

    /// Returns the running routers whose directory names `gone`.
    fn naming(&self, gone: usize) -> Vec<&Instance> {
        let address = self.routers[gone].descriptor.peers;
        let names_it = |router: &&Router| {
            let mut alive = router.table.alive(self.now);
            let answers = router.is_running && !router.is_paused;
            answers
                && alive.any(|peer| {
                    peer.descriptor.peers == address && peer.descriptor.phase == Phase::Serving
                })
        };
        let naming = self.routers.iter().filter(names_it);
        naming.map(|router| &router.descriptor.instance).collect()
    }

    /// Asserts that nobody names `gone` in the next 5 s.
    fn assert_forgotten(&mut self, gone: usize, case: &str) {
        let count = self.routers.len();
        for step in 0..50 {
            let naming = self.naming(gone);
            assert!(
                naming.is_empty(),
                "{case}, {count} routers, step {step}: {naming:?}"
            );
            self.step();
        }
    }

    fn hubs(&self) -> BTreeSet<usize> {
        let routers = self.routers.iter().enumerate();
        let hubs = routers.filter(|(_, router)| router.table.tier() == Tier::Hub);
        hubs.map(|(index, _)| index).collect()
    }
}

/// Router 0 is the oldest and so a hub of the large fleet; 7 is a member there.
const KILLED: [usize; 2] = [0, 7];

#[test]
fn no_router_names_one_that_was_killed_or_that_ended() {
    for (count, gone) in SIZES
        .into_iter()
        .flat_map(|count| KILLED.map(|gone| (count, gone)))
    {
        let mut fleet = Fleet::new(count);
        assert_eq!(fleet.naming(gone).len(), usize::from(count) - 1);
        fleet.routers[gone].is_running = false;
        fleet.steps(MAX_LISTED_STEPS);
        fleet.assert_forgotten(gone, "killed");
        // One that ends says so before, and is not named from then on.
        let leaving = 5;
        fleet.routers[leaving].descriptor.phase = Phase::Leaving;
        fleet.steps(25);
        fleet.routers[leaving].is_running = false;
        fleet.steps(MAX_LISTED_STEPS);
        fleet.assert_forgotten(leaving, "ended");
    }
}

/// A router that hears from nobody cannot learn that another one is gone.
#[test]
fn a_router_that_is_cut_off_does_not_name_one_that_was_killed() {
    for (count, gone) in SIZES
        .into_iter()
        .flat_map(|count| KILLED.map(|gone| (count, gone)))
    {
        let mut fleet = Fleet::new(count);
        // The oldest but one of each domain, and members.
        for cut_off in [2, 5, 6] {
            fleet.routers[cut_off].is_cut_off = true;
        }
        fleet.routers[gone].is_running = false;
        fleet.steps(MAX_LISTED_STEPS);
        fleet.assert_forgotten(gone, "cut off");
        for router in &mut fleet.routers {
            router.is_cut_off = false;
        }
        fleet.assert_forgotten(gone, "connected again");
    }
}

/// A router that starts takes over what others know, also of one that has just gone.
#[test]
fn a_router_that_just_started_does_not_name_one_that_was_killed() {
    for (count, gone) in SIZES
        .into_iter()
        .flat_map(|count| KILLED.map(|gone| (count, gone)))
    {
        for restart_after in [3, 12, 65] {
            let mut fleet = Fleet::new(count);
            fleet.routers[gone].is_running = false;
            fleet.steps(restart_after);
            fleet.restart(6);
            fleet.steps(MAX_LISTED_STEPS - restart_after);
            fleet.assert_forgotten(gone, "just started");
        }
    }
}

/// The lists of a late hub are as old as its datagrams, which does not show in them.
#[test]
fn a_router_that_a_late_hub_updates_does_not_name_one_that_was_killed() {
    for count in SIZES {
        let mut fleet = Fleet::new(count);
        let hubs = match fleet.hubs() {
            hubs if hubs.is_empty() => BTreeSet::from([0, 1]),
            hubs => hubs,
        };
        for &hub in &hubs {
            fleet.routers[hub].delay = Span(2000);
        }
        fleet.steps(60);
        fleet.routers[7].is_running = false;
        fleet.steps(MAX_LISTED_STEPS);
        fleet.assert_forgotten(7, "late hub");
    }
}

/// The datagrams that a killed router sent wait in the socket of a paused router. Reading
/// them after the pause, it took their sender for alive, and told the whole fleet so if it
/// was a hub.
#[test]
fn a_router_that_was_paused_does_not_name_one_that_was_killed_meanwhile() {
    for (count, paused) in SIZES
        .into_iter()
        .flat_map(|count| [0, 6].map(|paused| (count, paused)))
    {
        let mut fleet = Fleet::new(count);
        // The next one of domain `a`, which sends to its hub, router 0.
        let gone = 5;
        fleet.routers[paused].is_paused = true;
        fleet.steps(2);
        fleet.routers[gone].is_running = false;
        fleet.steps(MAX_LISTED_STEPS);
        fleet.wake();
        fleet.assert_forgotten(gone, "paused");
        let alive = fleet.routers[paused].table.alive(fleet.now).count();
        assert_eq!(alive, usize::from(count) - 2, "the router is back");
    }
}
