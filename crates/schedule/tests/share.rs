//! Fair shares of workspaces, the choice of runners and the order of requests.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Id, Refusal};
use balsamchute_schedule::report::{self, Report};
use balsamchute_schedule::request::Request;
use balsamchute_schedule::share::{Breakdown, Shares, Usage};
use common::{NOW, entry, model_request, scheduler, sends, service, some_workspace};

const WINDOW: Span = Span(1000);

fn workspace_id(text: &str) -> Workspace {
    Workspace::new(text).unwrap()
}

// Guards against shares computed from local usage only, which would let a
// workspace exceed its share by spreading over routers.
#[test]
fn the_fair_share_is_max_min_over_all_routers() {
    let mut shares = Shares::new(WINDOW, Some(100.0));
    // Counts have covered many windows, so the whole capacity is shared.
    shares.advance(Time(0));
    shares.advance(NOW);
    shares.record_demand(&workspace_id("small"), 10.0);
    shares.record_demand(&workspace_id("large"), 500.0);
    let peer = Instance::new("r2").unwrap();
    let usage = Usage {
        demand: 200.0,
        served: 60.0,
        ..Usage::default()
    };
    shares.set_peer_usage(NOW, &peer, [(workspace_id("other"), usage)]);
    shares.advance(NOW);
    // Capacity 100 for demands of 10, 200 and 500: the smallest is met in full,
    // the others get 45 each.
    assert!(
        (shares.fair_share() - 45.0).abs() < 0.01,
        "{}",
        shares.fair_share()
    );
    assert!(shares.is_under_share(&workspace_id("small")));
    assert!(!shares.is_under_share(&workspace_id("other")));
    shares.record_served(&workspace_id("large"), 44.0);
    assert!(shares.is_under_share(&workspace_id("large")));
    shares.record_served(&workspace_id("large"), 2.0);
    assert!(!shares.is_under_share(&workspace_id("large")));
}

// Guards against refusals while the demand is below the capacity, or without a
// limit.
#[test]
fn every_workspace_is_under_its_share_below_capacity() {
    let mut shares = Shares::new(WINDOW, Some(100.0));
    shares.advance(Time(0));
    shares.advance(NOW);
    shares.record_demand(&workspace_id("a"), 60.0);
    shares.record_served(&workspace_id("a"), 60.0);
    shares.advance(NOW);
    assert!(shares.is_under_share(&workspace_id("a")));
    assert!(Shares::new(WINDOW, None).is_under_share(&workspace_id("b")));
}

// Compared with the capacity of a whole window, the low counts after a restart
// would put every workspace under its share.
#[test]
fn the_fair_share_covers_only_the_time_counted_since_the_start() {
    let mut shares = Shares::new(WINDOW, Some(100.0));
    shares.advance(NOW);
    shares.record_demand(&workspace_id("a"), 60.0);
    shares.record_served(&workspace_id("a"), 60.0);
    // After a tenth of the window, only a tenth of the capacity is shared.
    shares.advance(NOW + Span(100));
    assert!(shares.fair_share() < 20.0, "{}", shares.fair_share());
    assert!(!shares.is_under_share(&workspace_id("a")));
}

/// The parts of limits that routers take follow from it.
#[test]
fn requests_of_a_workspace_served_less_than_its_share_weigh_more() {
    let [few, many] = [100.0, 300.0].map(|served| {
        let mut shares = Shares::new(WINDOW, None);
        shares.advance(NOW);
        shares.record_demand(&workspace_id("a"), 1000.0);
        shares.record_served(&workspace_id("a"), served);
        let usage = Usage {
            demand: 1000.0,
            served: 400.0 - served,
            ..Usage::default()
        };
        let peer = Instance::new("r2").unwrap();
        shares.set_peer_usage(NOW, &peer, [(workspace_id("b"), usage)]);
        shares.advance(NOW);
        shares.covered_requests()
    });
    // Both ask for more than the share of 200; the request is covered by a fifth.
    assert!((few - 0.4).abs() < 0.001, "{few}");
    assert!((many - 0.1333).abs() < 0.001, "{many}");
}

// Guards against usage that never decays, from this router or from a peer that
// has stopped.
#[test]
fn usage_decays_and_silent_peers_are_dropped() {
    let mut shares = Shares::new(WINDOW, Some(100.0));
    shares.advance(NOW);
    shares.record_served(&workspace_id("a"), 100.0);
    let peer = Instance::new("r2").unwrap();
    let usage = Usage {
        demand: 100.0,
        served: 100.0,
        ..Usage::default()
    };
    shares.set_peer_usage(NOW, &peer, [(workspace_id("a"), usage)]);
    shares.advance(NOW + WINDOW);
    let served = shares.served(&workspace_id("a"));
    assert!(
        (served - 200.0 / std::f64::consts::E).abs() < 0.5,
        "{served}"
    );
    shares.advance(NOW + Span(20_000));
    assert!(shares.served(&workspace_id("a")) < 0.01);
}

// Guards against starving one route of a workspace.
#[test]
fn the_served_ratio_is_lowest_for_the_route_with_the_most_unmet_demand() {
    let mut breakdown = Breakdown::new(WINDOW);
    let workspace = some_workspace("w1");
    breakdown.record_demand(workspace.as_ref(), "long", 1000.0);
    breakdown.record_demand(workspace.as_ref(), "short", 100.0);
    breakdown.record_served(workspace.as_ref(), "long", 200.0);
    breakdown.record_served(workspace.as_ref(), "short", 50.0);
    assert!(
        breakdown.served_ratio(workspace.as_ref(), "long")
            < breakdown.served_ratio(workspace.as_ref(), "short")
    );
    assert!(breakdown.served_ratio(workspace.as_ref(), "unseen").abs() < f64::EPSILON);
}

fn engines(count: usize) -> Scheduler {
    let mut scheduler = scheduler(100);
    for number in 0..count {
        scheduler.set_runner(NOW, entry(&format!("m{number}"), "model", 64));
    }
    scheduler
}

/// Applies a report of another router with the cost that it served these
/// workspaces, each of which demands more.
fn serve_elsewhere(scheduler: &mut Scheduler, served: &[(&str, f32)]) {
    let usage = served.iter().map(|&(workspace, served)| report::Usage {
        service: service("model"),
        workspace: workspace_id(workspace),
        demand: 1e6,
        served,
    });
    let report = Report {
        usage: usage.collect(),
        ..Report::default()
    };
    scheduler.apply_report(NOW, &Instance::new("r2").unwrap(), &report);
}

/// Returns the numbers of the requests that were sent.
fn sent_ids(actions: &[Action]) -> Vec<Id> {
    sends(actions).into_iter().map(|(id, _)| id).collect()
}

/// Completes a request that was sent, after one event.
fn finish(scheduler: &mut Scheduler, now: Time, id: Id) {
    scheduler.record_write(id);
    scheduler.record_events(now, id, 1);
    scheduler.finish_attempt(now, id, End::Done);
}

// Guards against prefilling the same prefix at several runners.
#[test]
fn prompts_with_a_common_prefix_go_to_the_same_runner() {
    let mut scheduler = engines(8);
    for part in 0..20 {
        let mut runners = Vec::new();
        for round in 0..3 {
            let id = part * 10 + round;
            scheduler.submit(NOW, id, model_request("w1", part, 4000));
            runners.extend(
                sends(&scheduler.take_actions())
                    .into_iter()
                    .map(|(_, runner)| runner),
            );
            finish(&mut scheduler, NOW, id);
            scheduler.take_actions();
        }
        assert_eq!(runners.len(), 3);
        assert!(
            runners.iter().all(|runner| *runner == runners[0]),
            "{runners:?}"
        );
    }
}

// Without agreement by hashing, each router would send a prefix to another
// runner.
#[test]
fn routers_choose_the_same_runner_for_an_unseen_prefix() {
    let first = sends(&{
        let mut scheduler = engines(8);
        scheduler.submit(NOW, 1, model_request("w1", 5, 4000));
        scheduler.take_actions()
    });
    let mut second = engines(8);
    second.submit(NOW, 9, model_request("w2", 5, 4000));
    assert_eq!(sends(&second.take_actions())[0].1, first[0].1);
}

// Guards against a backlog of one workspace that delays others, and against
// callers that wait long for a refusal.
#[test]
fn a_workspace_over_its_share_yields_and_is_refused_early() {
    let mut scheduler = engines(1);
    scheduler.tick(NOW);
    // Another router served the workspace many times the capacity.
    serve_elsewhere(&mut scheduler, &[("heavy", 1e6)]);
    scheduler.tick(NOW);
    for id in 0..200 {
        scheduler.submit(NOW, id, model_request("heavy", 1, 8000));
    }
    scheduler.tick(NOW);
    let first_actions = scheduler.take_actions();
    let first_batch = sends(&first_actions).len();
    assert!(first_batch < 10, "{first_batch} requests sent at once");
    scheduler.submit(NOW, 1000, model_request("light", 2, 1000));
    scheduler.tick(NOW + Span(10));
    // The light request goes first, at the latest when the runner has prefilled
    // the prompts that it has.
    for id in 0..first_batch as Id {
        scheduler.record_events(NOW + Span(100), id, 1);
    }
    let next = sends(&scheduler.take_actions());
    assert_eq!(
        next.first().map(|(id, _)| *id),
        Some(1000),
        "{next:?} {first_batch}"
    );
    scheduler.tick(NOW + Span(250));
    let refused_at_once = over_share_refusals(&first_actions);
    let refused_later = over_share_refusals(&scheduler.take_actions());
    assert!(refused_at_once + refused_later > 100);
    assert!(refused_at_once > refused_later, "{refused_at_once}");
}

fn over_share_refusals(actions: &[Action]) -> usize {
    let is_over_share = |action: &&Action| {
        matches!(
            action,
            Action::Refuse {
                refusal: Refusal::OverShare,
                ..
            }
        )
    };
    actions.iter().filter(is_over_share).count()
}

/// One workspace sends a thousand requests a second beyond its share to one router. Those
/// that would wait in vain are refused when they arrive, and idle capacity is still used.
#[test]
fn a_flood_beyond_the_share_is_refused_when_it_arrives() {
    let mut scheduler = engines(1);
    serve_elsewhere(&mut scheduler, &[("heavy", 1e6)]);
    let (mut dispatched, mut refused, mut most_held) = (0, 0, 0);
    for millisecond in 0..3000 {
        let now = NOW + Span(millisecond);
        if millisecond % 20 == 0 {
            scheduler.tick(now);
        }
        if millisecond % 100 == 0 {
            serve_elsewhere(&mut scheduler, &[("heavy", 1e6)]);
        }
        scheduler.submit(now, millisecond, model_request("heavy", 1, 8000));
        let actions = scheduler.take_actions();
        refused += over_share_refusals(&actions);
        for (id, _) in sends(&actions) {
            dispatched += 1;
            scheduler.record_events(now, id, 1);
            scheduler.finish_attempt(now, id, End::Done);
        }
        most_held = most_held.max(scheduler.len());
    }
    assert!(dispatched > 60, "{dispatched} dispatched");
    assert!(refused + dispatched > 2900, "{refused} refused");
    assert!(most_held <= 32, "{most_held} held");
}

// Guards against late requests that delay timely ones, so that all are late.
#[test]
fn timely_requests_go_before_late_ones() {
    let mut scheduler = engines(1);
    for id in 0..60 {
        scheduler.submit(NOW, id, model_request("w1", 1, 8000));
    }
    let first_batch = sends(&scheduler.take_actions()).len() as Id;
    let late = Request {
        age: Span(2000),
        ..model_request("w2", 1, 1000)
    };
    scheduler.submit(NOW, 100, late);
    scheduler.submit(NOW, 101, model_request("w2", 1, 1000));
    scheduler.take_actions();
    for id in 0..first_batch {
        scheduler.record_events(NOW + Span(50), id, 1);
    }
    let order: Vec<Id> = sends(&scheduler.take_actions())
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    let position = |id| order.iter().position(|other| *other == id);
    assert!(position(101) < position(100), "{order:?}");
}

// Guards against overloading a runner that other routers use, and against
// avoiding it after the reports stop.
#[test]
fn load_reported_by_a_peer_counts_until_it_expires() {
    let mut busy = engines(1);
    for id in 0..60 {
        busy.submit(NOW, id, model_request("w1", 1, 8000));
    }
    let report = busy.report(NOW);
    let mut scheduler = engines(1);
    let peer = Instance::new("r2").unwrap();
    scheduler.apply_report(NOW, &peer, &report);
    scheduler.submit(NOW, 1, model_request("w2", 1, 8000));
    assert_eq!(sends(&scheduler.take_actions()), []);
    scheduler.tick(NOW + Span(700));
    assert_eq!(sends(&scheduler.take_actions()).len(), 1);
}

// Guards against load that leaks on some order of events. A runner with leaked
// load counts as busy without end.
#[test]
fn the_load_of_runners_returns_to_zero_after_arbitrary_events() {
    bolero::check!()
        .with_iterations(300)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let mut scheduler = engines(3);
            let mut now = NOW;
            for (i, &(step, value)) in steps.iter().enumerate() {
                now = now + Span(u64::from(value % 50));
                let id = Id::from(value % 16);
                match step % 8 {
                    0 | 1 => scheduler.submit(now, 100 + i as Id, model_request("w1", id, 2000)),
                    2 => scheduler.cancel(now, 100 + id),
                    3 => scheduler.record_events(now, 100 + id, 1),
                    4 => scheduler.finish_attempt(now, 100 + id, End::Done),
                    5 => scheduler.finish_attempt(now, 100 + id, End::Broke),
                    6 => scheduler.finish_attempt(now, 100 + id, End::Rejected),
                    _ => scheduler.tick(now),
                }
                scheduler.take_actions();
            }
            scheduler.tick(now + Span(60_000));
            scheduler.take_actions();
            scheduler.tick(now + Span(120_000));
            assert!(scheduler.is_empty());
            for target in scheduler.targets() {
                assert_eq!(
                    (
                        target.local_load.running,
                        target.local_load.prefill_tokens,
                        target.local_load.kv_tokens
                    ),
                    (0, 0, 0)
                );
            }
        });
}

// Guards against a workspace that is ahead of others and takes idle capacity at
// one router, while requests of the others wait at other routers.
#[test]
fn an_idle_runner_prefers_workspaces_that_are_behind_in_the_fleet() {
    let mut scheduler = engines(1);
    scheduler.tick(NOW);
    serve_elsewhere(&mut scheduler, &[("ahead", 6e5), ("behind", 2e5)]);
    // The runner has prefilled all prompts and uses a quarter of its slots.
    for id in 0..16 {
        scheduler.submit(NOW, id, model_request("light", 1, 100));
        scheduler.take_actions();
        scheduler.record_write(id);
        scheduler.record_events(NOW, id, 1);
    }
    scheduler.tick(NOW);
    scheduler.submit(NOW, 100, model_request("ahead", 1, 100));
    assert_eq!(sends(&scheduler.take_actions()), []);
    scheduler.submit(NOW, 101, model_request("behind", 1, 100));
    let next = sent_ids(&scheduler.take_actions());
    assert_eq!(next, [101]);
}

// A prompt in prefill excludes requests beyond the share, except those of
// workspaces that are behind.
#[test]
fn a_runner_in_prefill_still_takes_requests_of_workspaces_that_are_behind_in_the_fleet() {
    let mut scheduler = engines(1);
    scheduler.tick(NOW);
    serve_elsewhere(&mut scheduler, &[("even", 4e5), ("behind", 3e5)]);
    // The runner is idle except for one prompt that is not prefilled yet.
    scheduler.submit(NOW, 0, model_request("light", 1, 500));
    scheduler.take_actions();
    scheduler.tick(NOW);
    scheduler.submit(NOW, 1, model_request("even", 1, 500));
    assert_eq!(sends(&scheduler.take_actions()), []);
    scheduler.submit(NOW, 2, model_request("behind", 1, 500));
    let next = sent_ids(&scheduler.take_actions());
    assert_eq!(next, [2]);
}

// Guards against cutting off a stream whose first attempt has been charged to
// the workspace already.
#[test]
fn a_retry_goes_first_although_its_workspace_has_used_its_share() {
    let mut scheduler = engines(2);
    scheduler.tick(NOW);
    serve_elsewhere(&mut scheduler, &[("w1", 6e5)]);
    scheduler.submit(NOW, 0, model_request("w1", 1, 100));
    let first = sends(&scheduler.take_actions());
    // Both runners are busy with prompts that are not prefilled yet.
    for id in 1..5 {
        scheduler.submit(NOW, id, model_request("light", id, 2500));
    }
    scheduler.take_actions();
    scheduler.tick(NOW);
    scheduler.record_write(0);
    scheduler.record_events(NOW, 0, 3);
    scheduler.finish_attempt(NOW, 0, End::Broke);
    let next = sends(&scheduler.take_actions());
    assert_eq!(next.len(), 1, "the retry is sent at once");
    assert_ne!(next[0].1, first[0].1);
}

/// The prompt that goes first does not fit into the KV cache that is left. A smaller one of
/// another workspace does.
#[test]
fn a_prompt_without_room_does_not_hold_up_smaller_ones() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry("m1", "model", 64));
    scheduler.submit(NOW, 1, model_request("w2", 1, 200_000));
    scheduler.record_events(NOW, 1, 1);
    assert_eq!(sends(&scheduler.take_actions()).len(), 1);
    scheduler.submit(NOW, 2, model_request("w1", 2, 100_000));
    scheduler.submit(NOW, 3, model_request("w2", 3, 1_000));
    assert_eq!(sends(&scheduler.take_actions()), [(3, "m1".to_owned())]);
}
