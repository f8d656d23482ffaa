//! The replayed baselines, and the calls that they are given.

use balsamchute_base::prelude::*;
use balsamchute_bench::audit::Execution;
use balsamchute_bench::contention::{BACKLOGGED, Contention};
use balsamchute_bench::deployment::Deployment;
use balsamchute_bench::replay::{self, Policy};

fn contention() -> Contention {
    Contention {
        deployment: Deployment::association(),
        speed: 100.0,
        cost: 100,
        warm_up: Span::from_secs(2),
        window: Span::from_secs(10),
    }
}

fn executions(policy: Policy) -> Vec<Execution> {
    let contention = contention();
    let calls = contention.plan(1);
    let deployment = &contention.deployment;
    replay::run(&calls, deployment, 100.0, policy, Time(0), contention.end()).executions
}

/// Returns the most executions that overlap.
fn peak(executions: &[Execution]) -> usize {
    let running = |time: Time| {
        let overlaps = |one: &&Execution| one.start <= time && one.end.is_none_or(|end| time < end);
        executions.iter().filter(overlaps).count()
    };
    let starts = executions.iter().map(|one| running(one.start));
    starts.max().unwrap_or(0)
}

#[test]
fn no_policy_uses_more_slots_than_there_are() {
    let slots = contention().slots() as usize;
    for policy in [Policy::Central, Policy::Fixed, Policy::FirstCome] {
        let executions = executions(policy);
        assert!(peak(&executions) <= slots, "{policy:?}");
        assert_eq!(executions, self::executions(policy), "{policy:?}");
    }
}

#[test]
fn central_queue_serves_by_weight_and_first_come_does_not() {
    let contention = contention();
    let shares = |policy: Policy| {
        let executions = executions(policy);
        let served = contention.deployment.weights[..BACKLOGGED]
            .iter()
            .map(|(name, weight)| {
                let own = executions.iter().filter(|one| one.workspace == *name);
                own.map(|one| one.cost.0).sum::<u64>() as f64 / f64::from(*weight)
            });
        let served: Vec<f64> = served.collect();
        let least = served.iter().copied().fold(f64::MAX, f64::min);
        served.iter().copied().fold(0.0, f64::max) / least
    };
    assert!(shares(Policy::Central) < 1.5, "{}", shares(Policy::Central));
    assert!(
        shares(Policy::FirstCome) > 1.5,
        "{}",
        shares(Policy::FirstCome)
    );
}
