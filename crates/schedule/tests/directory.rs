//! Routers that callers are told to use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_schedule::directory::{Candidate, select};

/// Addresses that one answer may list.
const LIMIT: usize = 64;

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Returns `count` routers, dealt to the domains in turn.
fn fleet(count: usize) -> Vec<Candidate<'static>> {
    let routers = (0..count).map(|index| Candidate {
        address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80)),
        domain: DOMAINS[index % DOMAINS.len()],
        millicores: 120,
    });
    routers.collect()
}

fn instance(index: usize) -> Instance {
    Instance::new(&format!("r{index}")).unwrap()
}

#[test]
fn a_small_fleet_is_listed_whole() {
    let fleet = fleet(LIMIT);
    let all: Vec<SocketAddr> = fleet.iter().map(|router| router.address).collect();
    assert_eq!(select(&fleet, Some("a"), &instance(1), LIMIT), all);
}

/// A workspace whose callers keep to one router overloaded a small one of a fleet that fits
/// into one answer: a fifth of all connections failed.
#[test]
fn small_routers_of_a_fleet_that_fits_into_one_answer_are_left_out() {
    let mut fleet = fleet(61);
    for router in fleet.iter_mut().take(10) {
        router.millicores = 500;
    }
    let listed = select(&fleet, Some("a"), &instance(1), LIMIT);
    assert_eq!(listed.len(), 3);
    let is_large = |address: &SocketAddr| {
        let mut large = fleet.iter().filter(|router| router.millicores == 500);
        large.any(|router| router.address == *address)
    };
    assert!(listed.iter().all(is_large), "{listed:?}");
}

#[test]
fn a_fleet_of_a_few_routers_is_listed_whole_whatever_their_sizes() {
    let mut fleet = fleet(8);
    fleet[0].millicores = 1000;
    assert_eq!(select(&fleet, Some("a"), &instance(1), LIMIT).len(), 8);
}

/// Plays lookups of callers in all domains, who ask a router of their domain and then
/// pick one address at random. No router may be without callers, and none may have more
/// than twice the mean.
#[test]
fn all_routers_of_a_large_fleet_get_callers() {
    for count in [88, 195, 300, 1000] {
        let fleet = fleet(count);
        let mut weights: BTreeMap<SocketAddr, f64> = BTreeMap::new();
        for (index, router) in fleet.iter().enumerate() {
            let listed = select(&fleet, Some(router.domain), &instance(index), LIMIT);
            assert!(
                listed.len() <= LIMIT && listed.len() >= 16,
                "{count} routers"
            );
            for address in &listed {
                *weights.entry(*address).or_default() += 1.0 / listed.len() as f64;
            }
        }
        assert_eq!(weights.len(), count);
        let busiest = weights.values().copied().fold(0.0, f64::max);
        assert!(busiest < 2.0, "{count} routers: {busiest}");
    }
}

/// Callers use an answer for a while. If it listed only routers of one domain, losing
/// that domain would leave them with none.
#[test]
fn a_caller_is_told_mostly_routers_of_its_domain_and_some_others() {
    let fleet = fleet(195);
    let domain_of: BTreeMap<SocketAddr, &str> = fleet
        .iter()
        .map(|router| (router.address, router.domain))
        .collect();
    let listed = select(&fleet, Some("c"), &instance(1), LIMIT);
    let near = listed
        .iter()
        .filter(|address| domain_of[address] == "c")
        .count();
    assert_eq!(near, 39);
    assert!(listed.len() - near >= 8, "{}", listed.len());
    // A domain without routers, or one that is not named, is served by the others.
    assert_eq!(select(&fleet, Some("z"), &instance(1), LIMIT).len(), LIMIT);
    assert_eq!(select(&fleet, None, &instance(1), LIMIT).len(), LIMIT);
}

/// Callers drop connections to routers that a new answer lacks.
#[test]
fn losing_a_router_changes_no_more_than_one_other_address() {
    let mut fleet = fleet(1000);
    let before = select(&fleet, Some("a"), &instance(1), LIMIT);
    fleet.retain(|router| router.address != before[0]);
    let after = select(&fleet, Some("a"), &instance(1), LIMIT);
    let kept = after.iter().filter(|address| before.contains(address));
    assert_eq!(kept.count(), LIMIT - 1);
}

/// Three routers of each domain are four times as large as the others. Requests spread
/// over the small ones would be late there, and no router would know much of the load on
/// the runners.
#[test]
fn callers_are_told_the_large_routers() {
    let mut fleet = fleet(195);
    for router in fleet.iter_mut().take(15) {
        router.millicores = 500;
    }
    let large: Vec<SocketAddr> = fleet[..15].iter().map(|router| router.address).collect();
    for domain in DOMAINS {
        let listed = select(&fleet, Some(domain), &instance(1), LIMIT);
        assert_eq!(listed.len(), 4);
        assert!(listed.iter().all(|address| large.contains(address)));
    }
    // Small ones fill up where large ones are lost.
    fleet.drain(..10);
    let listed = select(&fleet, Some("a"), &instance(1), LIMIT);
    let large = listed.iter().filter(|address| large.contains(address));
    assert_eq!((listed.len(), large.count()), (3, 2));
}
