//! Evacuations of failure domains: the set over routers and eras of the store, and dispatch.

mod common;

use std::collections::BTreeSet;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Refusal};
use balsamchute_schedule::evacuation::{Change, Evacuations, HOLD_TIME, Shared};
use balsamchute_schedule::request::{Request, Resumed};
use common::{NOW, entry, model_request, plain_request, scheduler, sends};

fn names(domains: &[&str]) -> Vec<String> {
    domains.iter().map(|&domain| domain.to_owned()).collect()
}

fn set(domains: &[&str]) -> BTreeSet<String> {
    names(domains).into_iter().collect()
}

/// Returns what a router knows after a list of the store.
fn listed(domains: &[&str], era: u64, number: u64) -> Evacuations {
    let mut evacuations = Evacuations::new();
    assert!(evacuations.replace(NOW, names(domains), Revision::new(era, number)));
    evacuations
}

/// A restarted peer or a stale read would end an evacuation, or bring an ended one back.
#[test]
fn a_set_of_a_lower_revision_never_replaces_a_later_one() {
    let mut evacuations = listed(&["a"], 1, 10);
    assert!(!evacuations.replace(NOW, names(&[]), Revision::new(1, 9)));
    assert!(!evacuations.apply(
        NOW,
        vec![Change::Ended("a".to_owned())],
        Revision::new(1, 9)
    ));
    evacuations.merge(NOW, &listed(&[], 1, 9).shared(NOW));
    evacuations.merge(NOW, &listed(&["b"], 0, 99).shared(NOW));
    // A peer that has just started knows nothing, which is no empty set.
    evacuations.merge(NOW, &Evacuations::new().shared(NOW));
    evacuations.merge(NOW, &Shared::default());
    assert_eq!(evacuations.in_force(NOW), set(&["a"]));
    evacuations.merge(NOW, &listed(&["b"], 1, 11).shared(NOW));
    assert_eq!(evacuations.in_force(NOW), set(&["b"]));
}

/// The watch repeats changes that a peer has told before, and goes on from there.
#[test]
fn changes_of_a_watch_apply_on_top_of_a_set_of_a_peer() {
    let mut evacuations = listed(&[], 1, 5);
    evacuations.merge(NOW, &listed(&["a"], 1, 8).shared(NOW));
    let begun = |domain: &str| Change::Begun(domain.to_owned());
    assert!(!evacuations.apply(NOW, vec![begun("a")], Revision::new(1, 6)));
    let changes = vec![begun("a"), begun("b"), Change::Ended("a".to_owned())];
    assert!(evacuations.apply(NOW, changes, Revision::new(1, 10)));
    assert_eq!(evacuations.in_force(NOW), set(&["b"]));
}

/// Otherwise the restored copy would send requests to a domain that is being taken down.
#[test]
fn an_evacuation_that_a_restored_store_lacks_stays_for_a_minute_and_ends() {
    let mut evacuations = listed(&["a", "b"], 1, 100);
    assert!(evacuations.replace(NOW, names(&["b", "c"]), Revision::new(2, 50)));
    assert_eq!(evacuations.in_force(NOW), set(&["a", "b", "c"]));
    let last = NOW + Span(HOLD_TIME.0 - 1);
    assert_eq!(evacuations.in_force(last), set(&["a", "b", "c"]));
    assert_eq!(evacuations.in_force(NOW + HOLD_TIME), set(&["b", "c"]));
}

/// A peer that entered the era later holds the domain for longer. Taking that over would
/// begin the evacuation again, from router to router without an end.
#[test]
fn a_held_evacuation_is_not_extended_by_peers() {
    let mut first = listed(&["a"], 1, 100);
    let mut second = listed(&["a"], 1, 100);
    let later = NOW + Span(30_000);
    first.replace(NOW, names(&[]), Revision::new(2, 50));
    second.replace(later, names(&[]), Revision::new(2, 60));
    first.merge(later, &second.shared(later));
    let ended = NOW + HOLD_TIME;
    first.merge(ended, &second.shared(ended));
    assert_eq!(first.in_force(ended), set(&[]));
}

/// The operator creates the evacuation again and ends it: nothing may hold it then.
#[test]
fn an_evacuation_created_again_after_a_restore_ends_when_it_is_deleted() {
    let mut evacuations = listed(&["a"], 1, 100);
    let peer = {
        let mut peer = evacuations.clone();
        peer.replace(NOW, names(&[]), Revision::new(2, 50));
        peer.shared(NOW)
    };
    evacuations.replace(NOW, names(&[]), Revision::new(2, 50));
    evacuations.apply(
        NOW,
        vec![Change::Begun("a".to_owned())],
        Revision::new(2, 51),
    );
    evacuations.apply(
        NOW,
        vec![Change::Ended("a".to_owned())],
        Revision::new(2, 52),
    );
    evacuations.merge(NOW, &peer);
    assert_eq!(evacuations.in_force(NOW), set(&[]));
}

/// A router that does not read the store may never see the evacuation listed again, and
/// would hold it for the rest of the minute.
#[test]
fn routers_that_hold_an_evacuation_learn_from_a_peer_that_it_was_created_again_and_ended() {
    let mut member = listed(&["a"], 1, 100);
    let mut hub = member.clone();
    for router in [&mut member, &mut hub] {
        router.replace(NOW, names(&[]), Revision::new(2, 50));
    }
    let before = hub.shared(NOW);
    hub.apply(
        NOW,
        vec![Change::Begun("a".to_owned())],
        Revision::new(2, 51),
    );
    hub.apply(
        NOW,
        vec![Change::Ended("a".to_owned())],
        Revision::new(2, 52),
    );
    member.merge(NOW, &hub.shared(NOW));
    assert_eq!(member.in_force(NOW), set(&[]));
    member.merge(NOW, &before);
    assert_eq!(member.in_force(NOW), set(&[]));
    // One that never knew the evacuation.
    let mut started = Evacuations::new();
    started.merge(NOW, &member.shared(NOW));
    started.merge(NOW, &before);
    assert_eq!(started.in_force(NOW), set(&[]));
}

/// The restored store lacks the evacuation, and the router never knew it.
#[test]
fn a_router_that_starts_after_a_restore_learns_of_held_evacuations() {
    let mut peer = listed(&["a"], 1, 100);
    let view_before = peer.shared(NOW);
    peer.replace(NOW, names(&[]), Revision::new(2, 50));
    let now = NOW + Span(10_000);
    let mut started = listed(&[], 2, 55);
    started.merge(now, &peer.shared(now));
    assert_eq!(started.in_force(now), set(&["a"]));
    assert_eq!(started.in_force(NOW + HOLD_TIME), set(&[]));
    // The peer has not noticed the restore yet.
    let mut started = listed(&[], 2, 55);
    started.merge_at_start(NOW, &view_before);
    assert_eq!(started.in_force(NOW), set(&["a"]));
}

/// Only the names of domains are in datagrams, so that they stay small and decode.
#[test]
fn names_that_are_not_valid_have_no_effect_on_others() {
    let long = "x".repeat(65);
    let evacuations = listed(&["", "a b", "q\"", &long, "ok"], 1, 1);
    assert_eq!(evacuations.in_force(NOW), set(&["ok"]));
    let many: Vec<String> = (0..1000).map(|number| format!("d{number}")).collect();
    let mut evacuations = Evacuations::new();
    evacuations.replace(NOW, many, Revision::new(1, 1));
    assert_eq!(evacuations.in_force(NOW).len(), 64);
}

fn entry_in(name: &str, domain: &str) -> Entry {
    Entry {
        domain: domain.to_owned(),
        ..entry(name, "plain", 1)
    }
}

/// Creates a scheduler with runner `p1` in domain `a` and `p2` in `b`, of one slot each.
fn two_domains() -> Scheduler {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry_in("p1", "a"));
    scheduler.set_runner(NOW, entry_in("p2", "b"));
    scheduler
}

fn request() -> Request {
    plain_request(RetryPolicy::Idempotent, 3)
}

fn refusals(actions: &[Action]) -> Vec<(u64, Refusal)> {
    let refusals = actions.iter().filter_map(|action| match action {
        Action::Refuse { id, refusal, .. } => Some((*id, *refusal)),
        _ => None,
    });
    refusals.collect()
}

#[test]
fn waiting_requests_go_to_no_runner_of_an_evacuated_domain() {
    let mut scheduler = two_domains();
    for id in 1..=4 {
        scheduler.submit(NOW, id, request());
    }
    let sent = sends(&scheduler.take_actions());
    assert_eq!(sent.len(), 2, "{sent:?}");
    scheduler.set_evacuations(NOW, set(&["a"]));
    let began = Action::Evacuation {
        domain: "a".to_owned(),
        began: true,
    };
    assert_eq!(scheduler.take_actions(), [began]);
    // The attempt in progress there finishes and frees a slot that stays unused.
    let at_first = sent.iter().find(|(_, runner)| runner == "p1").unwrap().0;
    let at_second = sent.iter().find(|(_, runner)| runner == "p2").unwrap().0;
    scheduler.finish_attempt(NOW, at_first, End::Done);
    assert_eq!(sends(&scheduler.take_actions()), []);
    scheduler.finish_attempt(NOW, at_second, End::Done);
    assert_eq!(sends(&scheduler.take_actions()), [(3, "p2".to_owned())]);
    scheduler.set_evacuations(NOW, set(&[]));
    let actions = scheduler.take_actions();
    assert_eq!(sends(&actions), [(4, "p1".to_owned())]);
    let ended = Action::Evacuation {
        domain: "a".to_owned(),
        began: false,
    };
    assert!(actions.contains(&ended), "{actions:?}");
}

#[test]
fn a_retried_request_goes_to_no_runner_of_an_evacuated_domain() {
    let mut scheduler = two_domains();
    scheduler.submit(NOW, 1, request());
    let sent = sends(&scheduler.take_actions());
    let (used, other) = match sent[0].1.as_str() {
        "p1" => ("a", "b"),
        _ => ("b", "a"),
    };
    scheduler.set_evacuations(NOW, set(&[other]));
    scheduler.finish_attempt(NOW, 1, End::Rejected);
    let sent_again = sends(&scheduler.take_actions());
    assert!(
        sent_again.iter().all(|(_, runner)| *runner == sent[0].1),
        "{sent_again:?}, only {used} is open"
    );
    scheduler.set_evacuations(NOW, set(&["a", "b"]));
    scheduler.finish_attempt(NOW, 1, End::Rejected);
    scheduler.tick(NOW + Span(20));
    let actions = scheduler.take_actions();
    assert_eq!(sends(&actions), []);
    assert_eq!(refusals(&actions), [(1, Refusal::NoRunner)], "{actions:?}");
}

/// Waiting for the end of an evacuation would cost callers the time for another router.
#[test]
fn requests_of_a_service_whose_runners_are_all_evacuated_are_refused_at_once() {
    let mut scheduler = two_domains();
    for id in 1..=3 {
        scheduler.submit(NOW, id, request());
    }
    assert_eq!(sends(&scheduler.take_actions()).len(), 2);
    scheduler.set_evacuations(NOW, set(&["a", "b"]));
    scheduler.submit(NOW, 4, request());
    let refused = refusals(&scheduler.take_actions());
    assert_eq!(refused, [(3, Refusal::NoRunner), (4, Refusal::NoRunner)]);
    assert_eq!(scheduler.len(), 2);
}

/// The version of evacuated runners is still known, so the stream is not unknown, but no
/// runner of the version may get it.
#[test]
fn a_stream_of_an_evacuated_version_is_refused_for_want_of_runners() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry("m1", "model", 6));
    scheduler.set_evacuations(NOW, set(&["a"]));
    scheduler.take_actions();
    // The router has seen all versions that served since the first start.
    let versions = scheduler.origins_mut().versions_mut();
    versions.set_first();
    versions.confirm(NOW);
    let request = Request {
        resumed: Some(Resumed {
            stream: None,
            max_age: Span(0),
            is_sole_service: true,
        }),
        ..model_request("w1", 1, 100)
    };
    scheduler.submit(NOW, 1, request);
    let refused = refusals(&scheduler.take_actions());
    assert_eq!(refused, [(1, Refusal::NoRunnerOfVersion)]);
}

/// A probe would reach a machine that is being taken down, and might start it again.
#[test]
fn runners_of_an_evacuated_domain_are_not_probed() {
    for (evacuated, probes) in [(&["a"][..], 0), (&[], 1)] {
        let mut scheduler = scheduler(100);
        scheduler.set_runner(NOW, entry_in("p1", "a"));
        scheduler.submit(NOW, 1, plain_request(RetryPolicy::AtMostOnce, 1));
        scheduler.record_write(1);
        scheduler.finish_attempt(NOW, 1, End::Broke);
        scheduler.set_evacuations(NOW, set(evacuated));
        for step in 1..100 {
            scheduler.tick(NOW + Span(step * 20));
        }
        let actions = scheduler.take_actions();
        let is_probe = |action: &&Action| matches!(action, Action::Probe { .. });
        assert_eq!(actions.iter().filter(is_probe).count(), probes);
    }
}
