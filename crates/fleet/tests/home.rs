//! Tests of the assignment of workspaces and runners.

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_fleet::home::{self, Cache};
use balsamchute_wire::exchange::{Member, Phase};

fn members(count: u8) -> Vec<Member> {
    (0..count)
        .map(|number| Member {
            instance: Instance::new(&format!("router-{number}")).expect("valid name"),
            incarnation: Incarnation(1),
            heartbeat: 1,
            phase: Phase::Serving,
            domain: Domain::new("mids-brum").expect("valid name"),
            callers: ([127, 0, 0, 1], 7000).into(),
            inner: ([127, 0, 0, 1], 8000).into(),
            config: 1,
            services: Vec::new(),
        })
        .collect()
}

fn workspace(number: u32) -> Workspace {
    Workspace::new(&format!("workspace-{number}")).expect("valid name")
}

fn runner(number: u32) -> Runner {
    Runner::new(&format!("runner-{number}")).expect("valid name")
}

#[test]
fn only_workspaces_of_a_removed_router_move() {
    let routers = members(8);
    let removed = &routers[3].instance;
    let remaining: Vec<&Member> = routers
        .iter()
        .filter(|member| member.instance != *removed)
        .collect();
    for number in 0..500 {
        let workspace = workspace(number);
        let before = home::homes(&workspace, 2, &routers);
        let after = home::homes(&workspace, 2, remaining.iter().copied());
        let kept: Vec<&Instance> = before.iter().filter(|home| *home != removed).collect();
        assert!(
            after.iter().zip(&kept).all(|(after, kept)| after == *kept),
            "{workspace}"
        );
        assert!(before.len() == 2 && after.len() == 2 && after[0] != after[1]);
    }
}

#[test]
fn runners_spread_evenly_over_routers() {
    let routers = members(8);
    let mut counts: BTreeMap<Instance, u32> = BTreeMap::new();
    for number in 0..800 {
        let owner = home::owner(&runner(number), &routers).expect("members are not empty");
        *counts.entry(owner).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    let is_even = counts.values().all(|count| (50..200).contains(count));
    assert!(is_even, "{counts:?}");
}

#[test]
fn the_cache_matches_the_functions_after_each_change_of_members() {
    let routers = members(6);
    let mut cache = Cache::new();
    assert!(!cache.update(&[]) && cache.owner(&runner(3)).is_none());
    for serving in [&routers[..], &routers[1..], &routers[..2]] {
        assert!(cache.update(serving));
        assert!(!cache.update(serving));
        for number in 0..32 {
            let workspace = workspace(number);
            assert_eq!(
                *cache.homes(&workspace, 2),
                home::homes(&workspace, 2, serving)
            );
            let runner = runner(number);
            assert_eq!(cache.owner(&runner).cloned(), home::owner(&runner, serving));
        }
    }
}
