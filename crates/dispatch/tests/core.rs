//! Decisions of one router and of a few that talk to each other.

#[expect(dead_code, reason = "every test file uses a part of it")]
mod common;

use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Command, Ending, Event};
use balsamchute_inventory::document;
use balsamchute_wire::claim::Verdict;
use balsamchute_wire::config::Stamp;
use balsamchute_wire::record::{Code, Outcome};

use common::{Net, head};

fn outcome(net: &Net, ticket: u64) -> Option<Outcome> {
    match net.last(ticket) {
        Some((_, Command::End(end))) => Some(end.outcome),
        Some((_, Command::Replay(settled))) => Some(settled.end.outcome),
        _ => None,
    }
}

fn running(net: &Net, ticket: u64) -> bool {
    matches!(net.last(ticket), Some((_, Command::Run(_))))
}

#[test]
fn request_runs_and_ends() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("w1", "draft", None));
    assert!(running(&net, 1));
    net.finish(1, Ending::Done, 10);
    assert_eq!(outcome(&net, 1), Some(Outcome::Done));
}

#[test]
fn requests_beyond_the_slots_wait_and_none_idles() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    for ticket in 1..=6 {
        net.arrive(&r0, ticket, head("w1", "draft", None));
    }
    assert_eq!((1..=6).filter(|ticket| running(&net, *ticket)).count(), 4);
    net.finish(1, Ending::Done, 10);
    net.finish(2, Ending::Done, 10);
    assert_eq!((3..=6).filter(|ticket| running(&net, *ticket)).count(), 4);
}

#[test]
fn slots_of_other_routers_are_used() {
    for at in 0..4 {
        let mut net = Net::new(4);
        let router = net.names()[at].clone();
        for ticket in 1..=4 {
            net.arrive(&router, ticket, head("w1", "draft", None));
        }
        net.pass(500);
        assert_eq!(
            (1..=4).filter(|ticket| running(&net, *ticket)).count(),
            4,
            "router {router}"
        );
    }
}

#[test]
fn slots_come_back_after_a_borrower_is_cut_off() {
    let mut net = Net::new(2);
    let names = net.names();
    for ticket in 1..=4 {
        net.arrive(&names[0], ticket, head("w1", "draft", None));
    }
    net.pass(500);
    net.cut.push(names[0].clone());
    net.pass(10_000);
    // The runners report that nothing runs on them any more.
    for ticket in 11..=14 {
        net.arrive(&names[1], ticket, head("w2", "draft", None));
    }
    net.pass(10_000);
    assert_eq!((11..=14).filter(|ticket| running(&net, *ticket)).count(), 4);
}

#[test]
fn router_that_is_cut_off_starts_no_new_work() {
    let mut net = Net::new(2);
    let names = net.names();
    net.cut.push(names[0].clone());
    net.pass(5_000);
    net.arrive(&names[0], 1, head("w1", "draft", None));
    net.pass(1_000);
    assert!(!running(&net, 1));
}

#[test]
fn key_is_claimed_before_it_runs() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("w1", "book", Some("k1")));
    assert!(!running(&net, 1));
    net.verdict(Verdict::Granted);
    assert!(running(&net, 1));
}

#[test]
fn unavailable_claim_is_not_run() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("w1", "book", Some("k1")));
    net.verdict(Verdict::Unavailable);
    assert_eq!(outcome(&net, 1), Some(Outcome::NotRun));
}

#[test]
fn repeated_key_joins_and_then_replays() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("w1", "book", Some("k1")));
    net.verdict(Verdict::Granted);
    net.arrive(&r0, 2, head("w1", "book", Some("k1")));
    assert!(!running(&net, 2));
    net.finish(1, Ending::Done, 10);
    assert_eq!(outcome(&net, 2), Some(Outcome::Done));
    net.arrive(&r0, 3, head("w1", "book", Some("k1")));
    assert_eq!(outcome(&net, 3), Some(Outcome::Done));
}

#[test]
fn lost_answer_of_a_keyed_request_is_unknown_and_never_run_again() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("w1", "book", Some("k1")));
    net.verdict(Verdict::Granted);
    net.finish(1, Ending::Lost("connection reset".to_owned()), 0);
    assert_eq!(outcome(&net, 1), Some(Outcome::Unknown));
    net.arrive(&r0, 2, head("w1", "book", Some("k1")));
    assert_eq!(outcome(&net, 2), Some(Outcome::Unknown));
}

#[test]
fn bound_key_runs_at_its_own_incarnation_alone() {
    let mut net = Net::new(2);
    let names = net.names();
    let now = net.now;
    let workspace = Workspace::new("w1").expect("a name");
    let key = net
        .cores
        .get_mut(&names[0])
        .expect("a router")
        .address(now, &workspace)
        .key;
    net.arrive(&names[1], 1, head("w1", "book", Some(key.as_str())));
    assert!(matches!(net.last(1), Some((_, Command::Forward { to, .. })) if *to == names[0]));
    net.arrive(&names[0], 2, head("w1", "book", Some(key.as_str())));
    assert!(running(&net, 2) || net.asked.is_empty());
    let dead = key.as_str().replace(".1000000.", ".999999.");
    net.arrive(&names[0], 3, head("w1", "book", Some(&dead)));
    assert_eq!(outcome(&net, 3), Some(Outcome::Unknown));
}

#[test]
fn deadline_ends_a_waiting_request_as_not_run() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    for ticket in 1..=5 {
        net.arrive(&r0, ticket, head("w1", "draft", None));
    }
    net.pass(31_000);
    assert_eq!(outcome(&net, 5), Some(Outcome::NotRun));
    assert!(running(&net, 1));
}

#[test]
fn keyed_request_whose_home_is_gone_is_claimed_and_run_here() {
    let mut net = Net::new(2);
    let names = net.names();
    let mut head = head("w1", "book", Some("k1"));
    head.hops = 0;
    for (ticket, name) in (1..).zip(&names) {
        net.arrive(name, ticket, head.clone());
        if matches!(net.last(ticket), Some((_, Command::Forward { .. }))) {
            net.event(name, Event::ForwardFailed(ticket));
            net.verdict(Verdict::Granted);
            assert!(running(&net, ticket));
            return;
        }
        net.asked.clear();
    }
    panic!("one of the two routers is not the home");
}

/// Returns the runner of the last attempt.
fn runner(net: &Net, ticket: u64) -> Option<Runner> {
    match net.last(ticket) {
        Some((_, Command::Run(run))) => Some(run.runner.clone()),
        _ => None,
    }
}

#[test]
fn idempotent_request_is_tried_again_unless_tokens_were_passed_on() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("w1", "draft", None));
    let first = runner(&net, 1);
    net.finish(1, Ending::Lost("crash".to_owned()), 0);
    net.pass(50);
    assert_eq!(net.told[&1].len(), 2, "one more attempt and no end");
    assert!(running(&net, 1));
    assert_ne!(
        runner(&net, 1),
        first,
        "the other failure domain goes first"
    );
    net.finish(1, Ending::Lost("crash".to_owned()), 5);
    assert_eq!(outcome(&net, 1), Some(Outcome::Failed));
}

#[test]
fn stopping_router_finishes_what_it_has_and_refuses_new_work() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("w1", "draft", None));
    net.event(&r0, Event::Stop);
    net.arrive(&r0, 2, head("w1", "draft", None));
    assert_eq!(outcome(&net, 2), Some(Outcome::NotRun));
    net.finish(1, Ending::Done, 10);
    assert_eq!(outcome(&net, 1), Some(Outcome::Done));
}

#[test]
fn unknown_names_are_refused_by_name() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("nobody", "draft", None));
    net.arrive(&r0, 2, head("w1", "nothing", None));
    for (ticket, name) in [(1, "workspace \"nobody\""), (2, "service \"nothing\"")] {
        let Some((_, Command::End(end))) = net.last(ticket) else {
            panic!("no end")
        };
        assert_eq!(end.outcome, Outcome::NotRun);
        assert!(end.reason.as_deref().unwrap_or_default().contains(name));
    }
}

#[test]
fn large_fleet_takes_turns_to_read_the_list() {
    let mut net = Net::new(40);
    net.lists = 0;
    net.pass(20_000);
    assert!(
        (19..=21).contains(&net.lists),
        "{} readings in 20 s",
        net.lists
    );
}

#[test]
fn every_router_of_a_small_fleet_reads_the_list() {
    let mut net = Net::new(8);
    net.lists = 0;
    net.pass(20_000);
    assert!(
        (8 * 19..=8 * 21).contains(&net.lists),
        "{} readings in 20 s",
        net.lists
    );
}

#[test]
fn large_fleet_sees_a_death_and_no_other() {
    let mut net = Net::new(40);
    let names = net.names();
    net.cut.push(names[7].clone());
    net.pass(30_000);
    for name in names.iter().filter(|name| **name != names[7]) {
        let alive = net.cores[name].status().members.len();
        assert_eq!(alive, 39, "router {name}");
    }
}

/// Runs 40 requests of one router on slots that all belong to others, and
/// returns the grants that this took.
fn grants_for_40_requests(routers: u16) -> usize {
    let mut net = Net::new(routers);
    let owns = |net: &Net, name: &Instance| net.cores[name].status().services[1].slots > 0;
    let names = net.names();
    let at = names.iter().find(|name| !owns(&net, name)).cloned();
    let at = at.expect("a router that owns no runner of the service");
    for ticket in 1..=40 {
        net.arrive(&at, ticket, head("w1", "draft", None));
    }
    net.pass(200);
    net.grants = 0;
    for _ in 0..20 {
        for ticket in (1..=40)
            .filter(|ticket| running(&net, *ticket))
            .collect::<Vec<_>>()
        {
            net.finish(ticket, Ending::Done, 10);
        }
        net.pass(100);
    }
    assert!((1..=40).all(|ticket| outcome(&net, ticket) == Some(Outcome::Done)));
    net.grants
}

#[test]
fn borrowed_slots_are_granted_for_each_request_in_a_small_fleet() {
    assert_eq!(grants_for_40_requests(8), 36);
}

#[test]
fn borrowed_slots_are_used_again_without_asking_in_a_large_fleet() {
    assert_eq!(grants_for_40_requests(40), 0);
}

/// A booking whose home has just died is claimed and run where it is.
#[test]
fn keyed_request_whose_home_is_unreachable_is_claimed_and_runs_here() {
    let mut net = Net::new(2);
    for (ticket, name) in net.names().iter().enumerate() {
        let mut head = head("w1", "book", Some(&format!("k{ticket}")));
        head.hops = 0;
        net.arrive(name, ticket as u64, head);
    }
    let passed_on = |ticket: &u64| matches!(net.last(*ticket), Some((_, Command::Forward { .. })));
    let ticket = (0..2).find(passed_on).expect("one of two is not the home");
    let at = net.names()[ticket as usize].clone();
    net.event(&at, Event::ForwardFailed(ticket));
    net.verdict(Verdict::Granted);
    net.pass(3000);
    assert!(running(&net, ticket), "{:?}", net.last(ticket));
}

#[test]
fn request_that_runs_past_its_deadline_is_cancelled_and_says_so() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    net.arrive(&r0, 1, head("w1", "draft", None));
    net.arrive(&r0, 2, head("w1", "book", Some("k1")));
    net.verdict(Verdict::Granted);
    assert!(running(&net, 1) && running(&net, 2));
    net.pass(29_700);
    assert!(net.cancelled.is_empty(), "the deadline is 30 s");
    net.pass(200);
    assert_eq!(
        net.cancelled.first(),
        Some(&1),
        "before the caller gives up"
    );
    assert!(
        !net.cancelled.contains(&2),
        "a non-idempotent request goes on"
    );
    net.finish(1, Ending::Cancelled, 5);
    let Some((_, Command::End(end))) = net.last(1) else {
        panic!("no end")
    };
    assert_eq!(end.outcome, Outcome::Failed);
    assert_eq!(end.code, Some(Code::Deadline));
}

/// The platform is out after one router has read the configuration.
#[test]
fn new_configuration_reaches_a_large_fleet_by_exchanges_at_once() {
    let mut net = Net::new(60);
    let first = net.names()[0].clone();
    let config = document::parse(common::CONFIG, "test").expect("a sound configuration");
    let stamp = Stamp {
        version: 2,
        ..Stamp::default()
    };
    net.event(&first, Event::Config(stamp, Arc::new(config)));
    net.pass(500);
    let behind = |name: &&Instance| net.cores[*name].status().config < 2;
    let names = net.names();
    let behind: Vec<&Instance> = names.iter().filter(behind).collect();
    assert!(behind.is_empty(), "{behind:?}");
}
