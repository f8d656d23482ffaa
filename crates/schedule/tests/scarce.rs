//! Routers that share runners which cannot serve all requests.

#[allow(dead_code)]
mod common;

use std::collections::VecDeque;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{End, Id};
use balsamchute_schedule::request::Request;
use common::{NOW, entry, named_scheduler, plain_request, sends};

const ROUTERS: usize = 4;
const WORK: Span = Span(60);
const REPORT_INTERVAL_MS: u64 = 100;

/// Plays routers that receive a request each every 15 ms for 10 s, while the only runner serves
/// 100 a second. Returns how many requests each router sends in the last 8 s.
fn sent_by_router() -> Vec<usize> {
    let mut routers: Vec<Scheduler> = (0..ROUTERS)
        .map(|number| named_scheduler(&format!("r{number}.1"), 100))
        .collect();
    for router in &mut routers {
        router.set_runner(NOW, entry("p1", "plain", 6));
    }
    let mut running: VecDeque<(Time, usize, Id)> = VecDeque::new();
    let mut sent = vec![0; ROUTERS];
    for millisecond in 0..10_000 {
        let now = NOW + Span(millisecond);
        while let Some((_, number, id)) = running.pop_front_if(|(ends_at, _, _)| *ends_at <= now) {
            routers[number].record_events(now, id, 1);
            routers[number].finish_attempt(now, id, End::Done);
        }
        for number in 0..ROUTERS {
            // Routers act at different times.
            let phase = millisecond + 4 * number as u64;
            if phase.is_multiple_of(15) {
                routers[number].submit(now, millisecond, request(millisecond, now));
            }
            if phase.is_multiple_of(20) {
                routers[number].tick(now);
            }
            if (millisecond + 25 * number as u64).is_multiple_of(REPORT_INTERVAL_MS) {
                report(&mut routers, now, number);
            }
        }
        for (number, router) in routers.iter_mut().enumerate() {
            for (id, _) in sends(&router.take_actions()) {
                router.record_write(id);
                running.push_back((now + WORK, number, id));
                sent[number] += usize::from(millisecond >= 2000);
            }
        }
    }
    sent
}

/// Sends the report of a router to the others.
fn report(routers: &mut [Scheduler], now: Time, sender: usize) {
    let report = routers[sender].report(now);
    let name = Instance::new(&format!("r{sender}")).unwrap();
    for (number, router) in routers.iter_mut().enumerate() {
        if number != sender {
            router.apply_report(now, &name, &report);
        }
    }
}

fn request(id: Id, now: Time) -> Request {
    Request {
        workspace: None,
        latency_target: Span(300),
        deadline: now + Span(1500),
        fingerprint: u128::from(id),
        ..plain_request(RetryPolicy::Idempotent, 1)
    }
}

// Guards against routers that keep the only runner full, so that callers of the others are
// all refused.
#[test]
fn each_router_gets_a_part_of_a_full_runner() {
    let sent = sent_by_router();
    let equal_part = sent.iter().sum::<usize>() / ROUTERS;
    let least = sent.iter().min().unwrap();
    assert!(4 * least >= equal_part, "{sent:?}");
}
