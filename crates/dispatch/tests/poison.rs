//! A request that crashes its targets, and the requests beside it.

#[expect(dead_code, reason = "every test file uses a part of it")]
mod common;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Arrival, Command, Ending, Event, Load, Ticket};
use balsamchute_wire::record::{Code, Outcome};
use common::{Net, head};

const POISON: u128 = 1;

fn arrive(net: &mut Net, name: &Instance, ticket: Ticket, digest: u128) {
    let head = head("w1", "draft", None);
    let arrival = Arrival {
        ticket,
        head,
        digest,
    };
    net.event(name, Event::Arrive(arrival));
}

fn runner(net: &Net, ticket: Ticket) -> Option<Runner> {
    match net.last(ticket) {
        Some((_, Command::Run(run))) => Some(run.runner.clone()),
        _ => None,
    }
}

fn crash(net: &mut Net, ticket: Ticket, tokens: u64) {
    net.finish(ticket, Ending::Lost("crash".to_owned()), tokens);
}

#[test]
fn two_crashes_are_the_last_whichever_router_is_asked() {
    let mut net = Net::new(2);
    let names = net.names();
    for ticket in [1, 2] {
        arrive(&mut net, &names[0], ticket, POISON);
        net.pass(200);
        assert!(runner(&net, ticket).is_some());
        crash(&mut net, ticket, 3);
    }
    net.pass(2000);
    for (ticket, name) in [(3, &names[0]), (4, &names[1])] {
        arrive(&mut net, name, ticket, POISON);
        let Some((_, Command::End(end))) = net.last(ticket) else {
            panic!("{:?}", net.last(ticket));
        };
        assert_eq!(
            (end.outcome, end.code),
            (Outcome::NotRun, Some(Code::Quarantine))
        );
        assert!(end.retry_after_ms.is_some());
    }
}

#[test]
fn suspected_requests_do_not_share_a_runner() {
    let mut net = Net::new(1);
    let name = net.names()[0].clone();
    let digests = [POISON, 2, 3, 4];
    for (ticket, digest) in (1..).zip(digests) {
        arrive(&mut net, &name, ticket, digest);
    }
    for ticket in 1..=4 {
        crash(&mut net, ticket, 0);
    }
    for runner in ["e1", "e2"] {
        let (running, age) = (0, Span(0));
        let runner = Runner::new(runner).expect("a name");
        net.event(&name, Event::Load(runner, Load { running, age }));
    }
    net.pass(1000);
    let again = (1..=4).filter(|ticket| net.told[ticket].len() > 1);
    let runners: Vec<Runner> = again.filter_map(|ticket| runner(&net, ticket)).collect();
    assert_eq!(
        runners.len(),
        2,
        "one on each of the two runners: {runners:?}"
    );
    assert_ne!(runners[0], runners[1]);
}

#[test]
fn a_bystander_completes_and_is_cleared() {
    let mut net = Net::new(1);
    let name = net.names()[0].clone();
    arrive(&mut net, &name, 1, 2);
    crash(&mut net, 1, 0);
    net.pass(200);
    net.finish(1, Ending::Done, 5);
    let now = net.now;
    assert!(net.cores[&name].quarantine(now).is_empty());
}

#[test]
fn a_request_that_ran_is_never_called_not_run() {
    let mut net = Net::new(1);
    let name = net.names()[0].clone();
    arrive(&mut net, &name, 1, POISON);
    for _ in 0..2 {
        crash(&mut net, 1, 0);
        net.pass(1000);
    }
    let Some((_, Command::End(end))) = net.last(1) else {
        panic!("{:?}", net.last(1));
    };
    assert_eq!(
        (end.outcome, end.code),
        (Outcome::Failed, Some(Code::Quarantine))
    );
}
