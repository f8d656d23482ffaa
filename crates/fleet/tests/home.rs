//! Who is responsible for what.

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_fleet::home::{self, Cache};
use balsamchute_wire::exchange::{Member, Phase};

fn members(count: u8) -> Vec<Member> {
    (0..count)
        .map(|number| Member {
            instance: Instance::new(&format!("router-{number}")).expect("a name"),
            incarnation: Incarnation(1),
            beat: 1,
            phase: Phase::Serving,
            domain: Domain::new("mids-brum").expect("a name"),
            callers: ([127, 0, 0, 1], 7000).into(),
            inner: ([127, 0, 0, 1], 8000).into(),
            config: 1,
            services: Vec::new(),
        })
        .collect()
}

fn workspace(number: u32) -> Workspace {
    Workspace::new(&format!("workspace-{number}")).expect("a name")
}

#[test]
fn only_the_items_of_a_router_that_leaves_move() {
    let all = members(8);
    let gone = &all[3].instance;
    let rest: Vec<&Member> = all.iter().filter(|m| m.instance != *gone).collect();
    for number in 0..500 {
        let name = workspace(number);
        let before = home::homes(&name, 2, &all);
        let after = home::homes(&name, 2, rest.iter().copied());
        let kept: Vec<&Instance> = before.iter().filter(|home| *home != gone).collect();
        assert!(after.iter().zip(&kept).all(|(a, k)| a == *k), "{name}");
        assert!(before.len() == 2 && after.len() == 2 && after[0] != after[1]);
    }
}

#[test]
fn responsibility_spreads_over_all_routers() {
    let all = members(8);
    let mut counts: BTreeMap<Instance, u32> = BTreeMap::new();
    for number in 0..800 {
        let runner = Runner::new(&format!("runner-{number}")).expect("a name");
        let owner = home::owner(&runner, &all).expect("an owner");
        *counts.entry(owner).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    let even = counts.values().all(|count| (50..200).contains(count));
    assert!(even, "{counts:?}");
}

#[test]
fn the_cache_answers_as_the_functions_do_across_changes() {
    let all = members(6);
    let mut cache = Cache::new();
    assert!(!cache.update(&[]) && cache.writer(3).is_none());
    for serving in [&all[..], &all[1..], &all[..2]] {
        assert!(cache.update(serving));
        assert!(!cache.update(serving));
        for number in 0..32 {
            let name = workspace(number);
            assert_eq!(*cache.homes(&name, 2), home::homes(&name, 2, serving));
            assert_eq!(cache.writer(number).cloned(), home::writer(number, serving));
        }
    }
}
