//! Several routers with their queues and lenders, under delay, loss and cuts.

mod harness;

use balsamchute_base::prelude::*;
use balsamchute_fair::bound::Bound;
use balsamchute_fair::{lender, queue};
use harness::{Fleet, SPEED, Setup, Tenant};

/// Tenants that are backlogged throughout, the first of [`association`].
const BACKLOGGED: usize = 6;
const WARM_UP: u64 = 10_000;

fn association(routers: usize, seed: u64) -> Setup {
    let home = |index: usize| index % routers;
    let mut tenants = vec![
        Tenant {
            hint: Some(4.0),
            ..Tenant::backlogged(0, 4.0)
        },
        Tenant {
            hint: Some(0.25),
            waiting: 300,
            ..Tenant::backlogged(0, 4.0)
        },
        Tenant {
            hint: Some(0.0),
            ..Tenant::backlogged(0, 2.0)
        },
        Tenant::backlogged(home(1), 1.0),
        Tenant::backlogged(home(2), 1.0),
        Tenant::backlogged(home(3), 1.0),
    ];
    tenants.extend((0..10).map(|index| Tenant::light(home(index), 126)));
    Setup {
        routers,
        runners: vec![8; 12],
        tenants,
        delay: 1,
        loss: 0.0,
        seed,
    }
}

fn bound(setup: &Setup) -> Bound {
    let slots: u32 = setup.runners.iter().sum();
    let weights = setup.tenants[..BACKLOGGED]
        .iter()
        .map(|tenant| tenant.weight);
    Bound {
        largest: Cost(setup.tenants[0].cost.1),
        mean: Cost((setup.tenants[0].cost.0 + setup.tenants[0].cost.1) / 2),
        slots,
        backlogged_weight: weights.sum(),
        weight: 1.0,
        credit: queue::Settings::default().credit,
        lag: queue::Settings::default().lag,
        staleness: Span(2 * setup.delay),
        rate: f64::from(slots) * (SPEED * 1_000) as f64,
        router_weight: 1.0,
        lease: lender::Settings::default().lease,
    }
}

/// Runs for `seconds` and returns the worst gap between the given tenants, looked
/// at every second.
fn worst_gap(fleet: &mut Fleet, tenants: &[usize], seconds: u64) -> f64 {
    let start = fleet.normal();
    let mut worst: f64 = 0.0;
    for _ in 0..seconds {
        fleet.run_until(fleet.now + 1_000);
        let now = fleet.normal();
        let gains = tenants.iter().map(|&tenant| now[tenant] - start[tenant]);
        let low = gains.clone().fold(f64::MAX, f64::min);
        worst = worst.max(gains.fold(0.0, f64::max) - low);
    }
    worst
}

const ALL: [usize; BACKLOGGED] = [0, 1, 2, 3, 4, 5];

#[test]
fn gap_of_a_healthy_fleet_stays_within_the_formula() {
    bolero::check!()
        .with_type::<(u8, u16)>()
        .with_iterations(6)
        .for_each(|&(routers, seed)| {
            let routers = 2 + usize::from(routers % 7);
            let setup = association(routers, u64::from(seed));
            let bound = bound(&setup).healthy();
            let mut fleet = Fleet::new(setup);
            fleet.run_until(WARM_UP);
            let gap = worst_gap(&mut fleet, &ALL, 30);
            assert!(
                gap <= bound,
                "gap {gap} of {routers} routers, bound {bound}"
            );
        });
}

#[test]
fn slots_are_not_idle_while_requests_wait() {
    let setup = association(8, 1);
    let (low, high) = setup.tenants[0].cost;
    let service = ((low + high) / 2 / SPEED) as f64;
    let messages = 4.0 * setup.delay as f64;
    let mut fleet = Fleet::new(setup);
    fleet.run_until(40_000);
    let idle = fleet.idle as f64 / fleet.total as f64;
    assert!(idle <= messages / service, "idle {idle}");
}

#[test]
fn light_workspaces_wait_less_than_one_mean_service() {
    let setup = association(8, 2);
    let service = (setup.tenants[0].cost.0 + setup.tenants[0].cost.1) / 2 / SPEED;
    let mut fleet = Fleet::new(setup);
    fleet.run_until(40_000);
    let mut waits = fleet.waits[BACKLOGGED..].concat();
    waits.sort_unstable();
    let p95 = waits[waits.len() * 95 / 100];
    assert!(p95 <= service, "waits of {p95} ms, service of {service} ms");
}

#[test]
fn partition_is_fair_on_each_side_and_ends_with_it() {
    let setup = association(8, 3);
    let bound = bound(&setup);
    let mut fleet = Fleet::new(setup);
    fleet.run_until(WARM_UP);
    fleet.cut = [0, 1, 2].into();
    let cut = Span::from_secs(20);
    let mut during = Fleet::new(association(8, 3));
    during.run_until(WARM_UP);
    during.cut = [0, 1, 2].into();
    let across = worst_gap(&mut during, &ALL, 20);
    assert!(across <= bound.partitioned(cut), "gap {across}");
    fleet.run_until(WARM_UP + 2_000);
    let inside = worst_gap(&mut fleet, &[0, 1, 2, 3, 4], 18);
    assert!(inside <= bound.healthy(), "gap {inside} inside a side");
    fleet.cut.clear();
    let after = worst_gap(&mut fleet, &ALL, 20);
    assert!(after <= bound.rejoined(), "gap {after} after the partition");
    let settled = worst_gap(&mut fleet, &ALL, 20);
    assert!(settled <= bound.healthy(), "gap {settled} later");
}

#[test]
fn restarted_router_gains_no_more_than_the_credit() {
    let setup = association(8, 4);
    let bound = bound(&setup).rejoined();
    let mut fleet = Fleet::new(setup);
    fleet.run_until(WARM_UP);
    for _ in 0..3 {
        fleet.restart(0);
        let gap = worst_gap(&mut fleet, &ALL, 5);
        assert!(gap <= bound, "gap {gap}, bound {bound}");
    }
}

#[test]
fn lost_messages_leak_no_slots_and_starve_nobody() {
    bolero::check!()
        .with_type::<(u8, u16)>()
        .with_iterations(4)
        .for_each(|&(loss, seed)| {
            let loss = f64::from(loss % 20) / 100.0;
            let mut fleet = Fleet::new(Setup {
                loss,
                ..association(4, seed.into())
            });
            for _ in 0..4 {
                let before = fleet.served.clone();
                fleet.run_until(fleet.now + 10_000);
                let starved = (0..before.len()).find(|&i| fleet.served[i] <= before[i]);
                assert_eq!(starved, None, "loss {loss}");
            }
        });
}

#[test]
fn weight_one_beside_a_hundred_and_a_rare_request_beside_a_flood_are_served() {
    let tenants = vec![
        Tenant {
            waiting: 500,
            ..Tenant::backlogged(0, 100.0)
        },
        Tenant::backlogged(1, 1.0),
        Tenant::light(2, 60_000),
    ];
    let setup = Setup {
        tenants,
        runners: vec![4; 3],
        ..association(3, 5)
    };
    let largest = setup.tenants[0].cost.1;
    let mut fleet = Fleet::new(setup);
    fleet.run_until(300_000);
    let [large, small] = [fleet.normal()[0], fleet.normal()[1]];
    assert!(
        small >= large - 3.0 * largest as f64,
        "{small} beside {large}"
    );
    let slowest = fleet.waits[2].iter().max().copied();
    assert!(
        slowest.is_some_and(|wait| wait <= largest / SPEED),
        "{slowest:?}"
    );
}
