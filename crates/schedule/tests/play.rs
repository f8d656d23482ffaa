//! Choices of a scheduler that keeps state between decisions, compared with those of one
//! that recomputes everything, over random sequences of events.

#[allow(dead_code)]
mod common;

use std::collections::BTreeSet;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Id};
use balsamchute_schedule::report::{Load, Report, Usage};
use balsamchute_schedule::request::Request;
use common::{NOW, entry, model_request, plain_request, runner, scheduler, service};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RUNNERS: u32 = 12;
const ENDS: [End; 8] = [
    End::Done,
    End::Done,
    End::Done,
    End::Rejected,
    End::Misdirected,
    End::NoConnection { refused: true },
    End::Broke,
    End::RunnerFailed,
];

fn random_entry(random: &mut impl Rng) -> Entry {
    let number = random.random_range(0..RUNNERS);
    let (service_name, slots) = match number % 4 {
        3 => ("plain", 4),
        _ => ("model", 6),
    };
    let state = match random.random_range(0..8) {
        0 => State::Draining,
        _ => State::Ready,
    };
    // A runner may restart at another version.
    let started_at = random.random_range(1..3);
    Entry {
        state,
        started_at,
        software: Software::from(format!("v{started_at}")),
        domain: ["a", "b"][random.random_range(0..2)].to_owned(),
        warmup: Span(random.random_range(0..2)),
        ..entry(&format!("i-{number}"), service_name, slots)
    }
}

fn random_request(random: &mut impl Rng, now: Time, id: Id) -> Request {
    // One workspace floods the router.
    let number = random.random_range(0..12_u32).saturating_sub(6);
    let workspace = format!("w{number}");
    let request = match random.random_range(0..5) {
        0 => plain_request(RetryPolicy::Idempotent, 3),
        _ => model_request(
            &workspace,
            random.random_range(0..20),
            random.random_range(1..6) * 1000,
        ),
    };
    let latency_target = Span(random.random_range(100..3000));
    Request {
        workspace: Some(Workspace::new(&workspace).unwrap()),
        route: format!("kind-{}", random.random_range(0..3)),
        age: Span(random.random_range(0..1500)),
        latency_target,
        deadline: now + latency_target + Span(3000),
        fingerprint: u128::from(id),
        ..request
    }
}

fn random_report(random: &mut impl Rng) -> Report {
    let loads = (0..RUNNERS).map(|number| Load {
        runner: runner(&format!("i-{number}")),
        running: random.random_range(0..4),
        prefill_tokens: random.random_range(0..3) * 1500,
        kv_tokens: random.random_range(0..100_000),
    });
    let loads = loads.collect();
    let usage = (0..6).map(|number| Usage {
        service: service("model"),
        workspace: Workspace::new(&format!("w{number}")).unwrap(),
        demand: random.random_range(0..40) as f32 * 1000.0,
        served: random.random_range(0..20) as f32 * 1000.0,
    });
    Report {
        usage: usage.collect(),
        loads,
        ..Report::default()
    }
}

/// Plays the events that follow from `seed`. Returns the actions of each event.
fn play(mut scheduler: Scheduler, seed: u64, steps: usize) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut now = NOW;
    let mut busy: BTreeSet<Id> = BTreeSet::new();
    let mut log = Vec::new();
    // Plays with and without crashes and limits: both restrict what is kept.
    let has_crashes = seed % 3 == 1;
    let has_limits = seed % 3 == 2;
    for step in 0..steps {
        let id = step as Id;
        let any = |busy: &BTreeSet<Id>, random: &mut ChaCha8Rng| {
            let index = random.random_range(0..busy.len().max(1));
            busy.iter().nth(index).copied().unwrap_or(0)
        };
        match random.random_range(0..100) {
            0..40 => {
                let request = random_request(&mut random, now, id);
                scheduler.submit(now, id, request);
            }
            40..55 => scheduler.record_events(now, any(&busy, &mut random), 1),
            55..75 => {
                let id = any(&busy, &mut random);
                let end = match has_crashes {
                    true => ENDS[random.random_range(0..ENDS.len())],
                    false => ENDS[random.random_range(0..5)],
                };
                scheduler.record_write(id);
                scheduler.finish_attempt(now, id, end);
            }
            75..79 => scheduler.cancel(now, random.random_range(0..id.max(1))),
            79..84 => {
                let peer = Instance::new(&format!("r{}", random.random_range(0..3))).unwrap();
                let report = random_report(&mut random);
                scheduler.apply_report(now, &peer, &report);
            }
            84..88 => scheduler.set_runner(now, random_entry(&mut random)),
            88 => scheduler.remove_runner(&random_entry(&mut random).runner),
            89 => {
                let pause = Span(random.random_range(0..100));
                let started_at = random.random_range(1..3);
                scheduler.record_pause(now, &random_entry(&mut random).runner, started_at, pause);
            }
            90 if has_limits => {
                let per_second = [None, Some(5.0), Some(50.0)][random.random_range(0..3)];
                let started_at = random.random_range(1..3);
                let runner = random_entry(&mut random).runner;
                scheduler.record_limit(now, &runner, started_at, per_second);
            }
            91 if has_crashes => {
                scheduler.record_refused_probe(now, &random_entry(&mut random).runner);
            }
            92 if random.random_range(0..40) == 0 => {
                scheduler.record_leaving(&random_entry(&mut random).runner, 1);
            }
            93 if random.random_range(0..20) == 0 => scheduler.clear_peers(),
            94..97 => now = now + Span(random.random_range(0..200)),
            _ => {
                now = now + Span(random.random_range(0..20));
                scheduler.tick(now);
            }
        }
        let actions = scheduler.take_actions();
        for action in &actions {
            if let Action::Send { id, .. } = action {
                busy.insert(*id);
            }
        }
        log.push(format!("{now:?} {actions:?}"));
        if busy.len() > 60 {
            busy.pop_first();
        }
    }
    log
}

// Guards against choices that differ because state was kept beyond an event or a time that
// changes it.
#[test]
fn kept_state_leads_to_the_same_choices_as_recomputation() {
    let mut sends = 0;
    for seed in 0..48 {
        let kept = play(scheduler(50), seed, 1500);
        let recomputed = play(scheduler(50).with_recomputation(), seed, 1500);
        for (step, (kept, recomputed)) in kept.iter().zip(&recomputed).enumerate() {
            assert_eq!(kept, recomputed, "seed {seed}, step {step}");
        }
        sends += kept
            .iter()
            .map(|l| l.matches("Send").count())
            .sum::<usize>();
    }
    assert!(sends > 4_000, "{sends}");
}
