//! Planned stops, and routers that cannot know which targets leave.

#[expect(dead_code, reason = "every test file uses a part of it")]
mod common;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Command, Ending, Event, Listed};
use balsamchute_fleet::members::ISOLATION;
use balsamchute_wire::record::{Code, Outcome};

use common::{Net, head};

/// Returns the router that runs a request, if one does.
fn runs(net: &Net, ticket: u64) -> Option<&Instance> {
    match net.last(ticket) {
        Some((at, Command::Run(_))) => Some(at),
        _ => None,
    }
}

/// The home of workspace `w1` and another router.
fn home_and_other(net: &mut Net) -> (Instance, Instance) {
    let names = net.names();
    let first = net.address(&names[0], "w1").routers.remove(0);
    let port = |name: &Instance| net.cores[name].me().callers.to_string();
    let home = names.iter().find(|name| port(name) == first);
    let home = home.expect("the home is one of them").clone();
    let other = names.into_iter().find(|name| *name != home);
    (home, other.expect("there are two routers"))
}

#[test]
fn a_stopping_router_hands_its_queue_over_and_finishes_what_runs() {
    let mut net = Net::new(2);
    let (home, other) = home_and_other(&mut net);
    for ticket in 1..=8 {
        net.arrive(&home, ticket, head("w1", "draft", None));
    }
    net.pass(1000);
    let running: Vec<u64> = (1..=8).filter(|t| runs(&net, *t).is_some()).collect();
    assert_eq!(running.len(), 4, "as many as there are slots");
    net.event(&home, Event::Stop);
    for ticket in 1..=8 {
        let passed =
            matches!(net.last(ticket), Some((_, Command::Forward { to, .. })) if *to == other);
        assert_ne!(passed, running.contains(&ticket), "request {ticket}");
    }
    for ticket in &running {
        net.finish(*ticket, Ending::Done, 5);
        assert!(
            matches!(net.last(*ticket), Some((_, Command::End(end))) if end.outcome == Outcome::Done)
        );
    }
    assert!(
        !net.stopped.contains(&home),
        "four answers still go through it"
    );
    for ticket in (1..=8).filter(|ticket| !running.contains(ticket)) {
        net.event(&home, Event::Forwarded(ticket));
    }
    net.pass(100);
    assert!(net.stopped.contains(&home));
}

#[test]
fn a_stopping_router_keeps_requests_with_a_key_and_runs_them_on_lent_slots() {
    let mut net = Net::new(2);
    let (home, _) = home_and_other(&mut net);
    let key = net.key(&home);
    for ticket in 1..=4 {
        net.arrive(&home, ticket, head("w1", "draft", None));
    }
    net.pass(1000);
    net.arrive(&home, 5, head("w1", "draft", Some(key.as_str())));
    net.event(&home, Event::Stop);
    assert!(net.last(5).is_none(), "the key is bound to this life");
    net.finish(1, Ending::Done, 5);
    net.pass(2000);
    assert_eq!(runs(&net, 5), Some(&home));
}

#[test]
fn a_stopping_router_refuses_new_requests_at_once_and_truthfully() {
    let mut net = Net::new(2);
    let names = net.names();
    net.event(&names[0], Event::Stop);
    net.arrive(&names[0], 1, head("w1", "draft", None));
    let Some((_, Command::End(end))) = net.last(1) else {
        panic!("no answer")
    };
    assert_eq!(
        (end.outcome, end.code),
        (Outcome::NotRun, Some(Code::Elsewhere))
    );
    assert_eq!(end.retry_after_ms, Some(0));
    let reason = end.reason.as_deref().unwrap_or_default();
    assert_eq!(reason, "router is leaving; ask 127.0.0.1:7001");
    net.pass(1000);
    let key = net.key(&names[1]);
    assert!(key.as_str().contains("r1"), "the other router serves on");
    assert_eq!(net.address(&names[1], "w1").routers, ["127.0.0.1:7001"]);
}

#[test]
fn at_the_end_of_the_grace_time_every_request_gets_its_end() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    for ticket in 1..=6 {
        net.arrive(&r0, ticket, head("w1", "draft", None));
    }
    net.event(&r0, Event::Stop);
    net.event(&r0, Event::Close);
    for ticket in 5..=6 {
        let waited = matches!(net.last(ticket), Some((_, Command::End(end)))
            if end.outcome == Outcome::NotRun && end.code == Some(Code::Elsewhere));
        assert!(waited, "{:?}", net.last(ticket));
    }
    for ticket in 1..=4 {
        net.finish(ticket, Ending::Lost("router has stopped".to_owned()), 0);
        let ended = matches!(net.last(ticket), Some((_, Command::End(end)))
            if end.outcome == Outcome::Failed);
        assert!(ended, "it is not tried again: {:?}", net.last(ticket));
    }
    net.pass(100);
    assert!(net.stopped.contains(&r0));
}

#[test]
fn a_request_whose_home_was_lost_is_never_said_not_to_have_run() {
    for (event, outcome) in [
        (Event::ForwardFailed as fn(u64) -> Event, Outcome::NotRun),
        (Event::ForwardLost, Outcome::Failed),
    ] {
        let mut net = Net::new(2);
        let (home, other) = home_and_other(&mut net);
        for ticket in 1..=4 {
            net.arrive(&home, ticket, head("w1", "draft", None));
        }
        net.arrive(&other, 5, head("w1", "draft", None));
        net.event(&other, event(5));
        net.event(&other, Event::Close);
        let ended = matches!(net.last(5), Some((_, Command::End(end))) if end.outcome == outcome);
        assert!(ended, "{outcome:?}: {:?}", net.last(5));
    }
}

#[test]
fn a_resend_takes_the_place_of_a_request_whose_caller_went_away() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    let key = net.key(&r0);
    for ticket in 1..=4 {
        net.arrive(&r0, ticket, head("w1", "draft", None));
    }
    for ticket in 5..=7 {
        net.arrive(&r0, ticket, head("w1", "draft", Some(key.as_str())));
    }
    net.event(&r0, Event::Gone(5));
    assert!(
        net.last(6).is_none() && net.last(7).is_none(),
        "they wait on"
    );
    net.finish(1, Ending::Done, 5);
    assert_eq!(runs(&net, 6), Some(&r0));
    net.finish(6, Ending::Done, 5);
    assert!(
        matches!(net.last(7), Some((_, Command::Replay(_)))),
        "it joined"
    );
}

#[test]
fn a_router_that_is_cut_off_starts_no_work_after_three_seconds() {
    let mut net = Net::new(2);
    let names = net.names();
    net.cut.push(names[0].clone());
    net.pass(ISOLATION.as_millis() - 500);
    net.arrive(&names[0], 1, head("w1", "draft", None));
    net.pass(1000);
    net.arrive(&names[0], 2, head("w1", "draft", None));
    net.pass(5000);
    assert!(
        runs(&net, 2).is_none(),
        "it could not know of a leaving target"
    );
    net.cut.clear();
    net.pass(3000);
    assert!(runs(&net, 2).is_some(), "it can again");
}

#[test]
fn a_leaving_runner_gets_nothing_from_routers_that_only_their_peers_told() {
    let mut net = Net::new(3);
    let names = net.names();
    let leaving = Listed::Runner {
        runner: Runner::new("e1").expect("a name"),
        address: ([127, 0, 0, 1], 9101).into(),
        leaving: true,
    };
    let now = net.now;
    net.event(&names[0], Event::Listed(now, vec![leaving]));
    net.pass(3000);
    for (ticket, name) in (1..).zip(names.iter().cycle()).take(6) {
        net.arrive(name, ticket, head("w1", "draft", None));
    }
    net.pass(1000);
    let started: Vec<&Command> = (1..=6).filter_map(|t| Some(&net.last(t)?.1)).collect();
    let runs: Vec<&Runner> = started
        .iter()
        .filter_map(|command| match command {
            Command::Run(run) => Some(&run.runner),
            _ => None,
        })
        .collect();
    assert_eq!(runs.len(), 2, "only the slots of the runner that stays");
    assert!(
        runs.iter().all(|runner| runner.as_str() == "e2"),
        "{runs:?}"
    );
}
