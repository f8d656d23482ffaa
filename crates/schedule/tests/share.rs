//! Shares of workspaces, and which runner and request go first.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Core;
use balsamchute_schedule::action::{Action, End, Id, Refusal};
use balsamchute_schedule::report::{self, Report};
use balsamchute_schedule::request::Request;
use balsamchute_schedule::share::{Mix, Shares, Usage};
use common::{NOW, core, entry, model, sent, service, workspace};

const WINDOW: Span = Span(1000);

fn name(text: &str) -> Workspace {
    Workspace::new(text).unwrap()
}

#[test]
fn the_share_is_max_min_over_all_routers() {
    let mut shares = Shares::new(WINDOW, Some(100.0));
    // Counting began many windows ago.
    shares.advance(Time(0));
    shares.advance(NOW);
    shares.ask(&name("small"), 10.0);
    shares.ask(&name("large"), 500.0);
    let peer = Instance::new("r2").unwrap();
    let usage = Usage {
        asked: 200.0,
        served: 60.0,
    };
    shares.merge(NOW, &peer, [(name("other"), usage)]);
    shares.advance(NOW);
    // 100 for 10, 200 and 500: the small one whole, the others 45 each.
    assert!((shares.level() - 45.0).abs() < 0.01, "{}", shares.level());
    assert!(shares.is_owed(&name("small")));
    assert!(!shares.is_owed(&name("other")));
    shares.serve(&name("large"), 44.0);
    assert!(shares.is_owed(&name("large")));
    shares.serve(&name("large"), 2.0);
    assert!(!shares.is_owed(&name("large")));
}

#[test]
fn everybody_is_owed_everything_below_capacity() {
    let mut shares = Shares::new(WINDOW, Some(100.0));
    shares.advance(Time(0));
    shares.advance(NOW);
    shares.ask(&name("a"), 60.0);
    shares.serve(&name("a"), 60.0);
    shares.advance(NOW);
    assert!(shares.is_owed(&name("a")));
    assert!(Shares::new(WINDOW, None).is_owed(&name("b")));
}

#[test]
fn a_router_that_just_started_compares_with_what_it_has_counted() {
    let mut shares = Shares::new(WINDOW, Some(100.0));
    shares.advance(NOW);
    shares.ask(&name("a"), 60.0);
    shares.serve(&name("a"), 60.0);
    // In a tenth of the window, a tenth of the capacity is to be shared.
    shares.advance(NOW + Span(100));
    assert!(shares.level() < 20.0, "{}", shares.level());
    assert!(!shares.is_owed(&name("a")));
}

#[test]
fn use_and_silent_peers_are_forgotten() {
    let mut shares = Shares::new(WINDOW, Some(100.0));
    shares.advance(NOW);
    shares.serve(&name("a"), 100.0);
    let peer = Instance::new("r2").unwrap();
    let usage = Usage {
        asked: 100.0,
        served: 100.0,
    };
    shares.merge(NOW, &peer, [(name("a"), usage)]);
    shares.advance(NOW + WINDOW);
    let served = shares.served(&name("a"));
    assert!(
        (served - 200.0 / std::f64::consts::E).abs() < 0.5,
        "{served}"
    );
    shares.advance(NOW + Span(20_000));
    assert!(shares.served(&name("a")) < 0.01);
}

#[test]
fn the_kind_that_got_least_of_what_it_asked_is_behind() {
    let mut mix = Mix::new(WINDOW);
    let owner = workspace("w1");
    mix.ask(owner.as_ref(), "long", 1000.0);
    mix.ask(owner.as_ref(), "short", 100.0);
    mix.serve(owner.as_ref(), "long", 200.0);
    mix.serve(owner.as_ref(), "short", 50.0);
    assert!(mix.ratio(owner.as_ref(), "long") < mix.ratio(owner.as_ref(), "short"));
    assert!(mix.ratio(owner.as_ref(), "unseen").abs() < f64::EPSILON);
}

fn engines(count: usize) -> Core {
    let mut core = core(100);
    for number in 0..count {
        core.set_runner(NOW, entry(&format!("m{number}"), "model", 64));
    }
    core
}

/// Lets another router report what it served these workspaces, each of which
/// asked for more.
fn serve_elsewhere(core: &mut Core, served: &[(&str, f32)]) {
    let usage = served.iter().map(|&(workspace, served)| report::Usage {
        service: service("model"),
        workspace: name(workspace),
        asked: 1e6,
        served,
    });
    let report = Report {
        usage: usage.collect(),
        ..Report::default()
    };
    core.merge(NOW, &Instance::new("r2").unwrap(), &report);
}

/// Returns the requests that were sent.
fn sent_ids(actions: &[Action]) -> Vec<Id> {
    sent(actions).into_iter().map(|(id, _)| id).collect()
}

/// Ends a request that was sent, with one event.
fn finish(core: &mut Core, now: Time, id: Id) {
    core.written(id);
    core.progress(now, id, 1);
    core.end(now, id, End::Done);
}

#[test]
fn prompts_return_to_the_runner_that_keeps_their_parts() {
    let mut core = engines(8);
    for part in 0..20 {
        let mut runners = Vec::new();
        for turn in 0..3 {
            let id = part * 10 + turn;
            core.arrive(NOW, id, model("w1", part, 4000));
            runners.extend(
                sent(&core.take_actions())
                    .into_iter()
                    .map(|(_, runner)| runner),
            );
            finish(&mut core, NOW, id);
            core.take_actions();
        }
        assert_eq!(runners.len(), 3);
        assert!(
            runners.iter().all(|runner| *runner == runners[0]),
            "{runners:?}"
        );
    }
}

#[test]
fn routers_agree_on_the_runner_of_a_prompt_without_having_seen_it() {
    let first = sent(&{
        let mut core = engines(8);
        core.arrive(NOW, 1, model("w1", 5, 4000));
        core.take_actions()
    });
    let mut other = engines(8);
    other.arrive(NOW, 9, model("w2", 5, 4000));
    assert_eq!(sent(&other.take_actions())[0].1, first[0].1);
}

#[test]
fn a_workspace_beyond_its_share_yields_to_others_and_is_refused_in_time() {
    let mut core = engines(1);
    core.tick(NOW);
    // Another router served it many times what the engines produce.
    serve_elsewhere(&mut core, &[("heavy", 1e6)]);
    core.tick(NOW);
    for id in 0..200 {
        core.arrive(NOW, id, model("heavy", 1, 8000));
    }
    core.tick(NOW);
    let before = sent(&core.take_actions()).len();
    assert!(before < 10, "{before} at once");
    core.arrive(NOW, 1000, model("light", 2, 1000));
    core.tick(NOW + Span(10));
    // The light one goes first, at the latest when the runner has read what it
    // has.
    for id in 0..before as Id {
        core.progress(NOW + Span(100), id, 1);
    }
    let next = sent(&core.take_actions());
    assert_eq!(
        next.first().map(|(id, _)| *id),
        Some(1000),
        "{next:?} {before}"
    );
    core.tick(NOW + Span(250));
    let refused = core.take_actions();
    let over_share = refused.iter().filter(|action| {
        matches!(
            action,
            Action::Refuse {
                refusal: Refusal::OverShare,
                ..
            }
        )
    });
    assert!(over_share.count() > 100);
}

#[test]
fn requests_that_can_be_on_time_go_before_late_ones() {
    let mut core = engines(1);
    for id in 0..60 {
        core.arrive(NOW, id, model("w1", 1, 8000));
    }
    let before = sent(&core.take_actions()).len() as Id;
    let late = Request {
        age: Span(2000),
        ..model("w2", 1, 1000)
    };
    core.arrive(NOW, 100, late);
    core.arrive(NOW, 101, model("w2", 1, 1000));
    core.take_actions();
    for id in 0..before {
        core.progress(NOW + Span(50), id, 1);
    }
    let order: Vec<Id> = sent(&core.take_actions())
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    let place = |id| order.iter().position(|other| *other == id);
    assert!(place(101) < place(100), "{order:?}");
}

#[test]
fn what_peers_have_under_way_counts_for_a_while() {
    let mut busy = engines(1);
    for id in 0..60 {
        busy.arrive(NOW, id, model("w1", 1, 8000));
    }
    let report = busy.report();
    let mut core = engines(1);
    let peer = Instance::new("r2").unwrap();
    core.merge(NOW, &peer, &report);
    core.arrive(NOW, 1, model("w2", 1, 8000));
    assert_eq!(sent(&core.take_actions()), []);
    core.tick(NOW + Span(700));
    assert_eq!(sent(&core.take_actions()).len(), 1);
}

#[test]
fn arbitrary_events_keep_the_load_at_runners_true() {
    bolero::check!()
        .with_iterations(300)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let mut core = engines(3);
            let mut now = NOW;
            for (at, &(step, value)) in steps.iter().enumerate() {
                now = now + Span(u64::from(value % 50));
                let id = Id::from(value % 16);
                match step % 8 {
                    0 | 1 => core.arrive(now, 100 + at as Id, model("w1", id, 2000)),
                    2 => core.leave(now, 100 + id),
                    3 => core.progress(now, 100 + id, 1),
                    4 => core.end(now, 100 + id, End::Done),
                    5 => core.end(now, 100 + id, End::Broke),
                    6 => core.end(now, 100 + id, End::Rejected),
                    _ => core.tick(now),
                }
                core.take_actions();
            }
            core.tick(now + Span(60_000));
            core.take_actions();
            core.tick(now + Span(120_000));
            assert!(core.is_empty());
            for target in core.targets() {
                assert_eq!(
                    (target.own.running, target.own.unread, target.own.memory),
                    (0, 0, 0)
                );
            }
        });
}

#[test]
fn idle_runners_go_first_to_those_behind_at_other_routers() {
    let mut core = engines(1);
    core.tick(NOW);
    serve_elsewhere(&mut core, &[("ahead", 6e5), ("behind", 2e5)]);
    // The runner has read all prompts and runs a quarter of its slots.
    for id in 0..16 {
        core.arrive(NOW, id, model("light", 1, 100));
        core.take_actions();
        core.written(id);
        core.progress(NOW, id, 1);
    }
    core.tick(NOW);
    core.arrive(NOW, 100, model("ahead", 1, 100));
    assert_eq!(sent(&core.take_actions()), []);
    core.arrive(NOW, 101, model("behind", 1, 100));
    let next = sent_ids(&core.take_actions());
    assert_eq!(next, [101]);
}

#[test]
fn a_runner_still_reading_goes_to_those_behind_at_other_routers() {
    let mut core = engines(1);
    core.tick(NOW);
    serve_elsewhere(&mut core, &[("even", 4e5), ("behind", 3e5)]);
    // The runner is idle but for one prompt that it still reads.
    core.arrive(NOW, 0, model("light", 1, 500));
    core.take_actions();
    core.tick(NOW);
    core.arrive(NOW, 1, model("even", 1, 500));
    assert_eq!(sent(&core.take_actions()), []);
    core.arrive(NOW, 2, model("behind", 1, 500));
    let next = sent_ids(&core.take_actions());
    assert_eq!(next, [2]);
}

#[test]
fn a_request_that_ran_goes_on_before_others_though_its_workspace_had_its_share() {
    let mut core = engines(2);
    core.tick(NOW);
    serve_elsewhere(&mut core, &[("w1", 6e5)]);
    core.arrive(NOW, 0, model("w1", 1, 100));
    let first = sent(&core.take_actions());
    // Both runners are busy with prompts that they still read.
    for id in 1..5 {
        core.arrive(NOW, id, model("light", id, 2500));
    }
    core.take_actions();
    core.tick(NOW);
    core.written(0);
    core.progress(NOW, 0, 3);
    core.end(NOW, 0, End::Broke);
    let next = sent(&core.take_actions());
    assert_eq!(next.len(), 1, "it goes on at once");
    assert_ne!(next[0].1, first[0].1);
}
