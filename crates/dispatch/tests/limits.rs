//! Limits of workspaces and services, as they change under way.

#[expect(dead_code, reason = "this file uses a part")]
mod common;

use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Command, Ending, Event};
use balsamchute_inventory::config::{Config, Limits};
use balsamchute_inventory::document;
use balsamchute_wire::config::Stamp;
use balsamchute_wire::record::{End, Outcome};

use common::{CONFIG, Net, head};

/// Puts a changed configuration into force at every router.
fn change(net: &mut Net, version: u64, change: impl Fn(&mut Config)) {
    let mut config = document::parse(CONFIG, "test").expect("the test's configuration is sound");
    change(&mut config);
    let config = Arc::new(config);
    let stamp = Stamp {
        version,
        ..Stamp::default()
    };
    for name in net.names() {
        net.event(&name, Event::Config(stamp, Arc::clone(&config)));
    }
}

fn limit(config: &mut Config, limits: Limits) {
    let name = Workspace::new("w1").expect("a name");
    config
        .workspaces
        .get_mut(&name)
        .expect("it is there")
        .limits = limits;
}

fn running(net: &Net, tickets: std::ops::RangeInclusive<u64>) -> usize {
    let run = |ticket: &u64| matches!(net.last(*ticket), Some((_, Command::Run(_))));
    tickets.filter(run).count()
}

fn refusal(net: &Net, ticket: u64) -> Option<&End> {
    match net.last(ticket) {
        Some((_, Command::End(end))) if end.outcome == Outcome::NotRun => Some(end),
        _ => None,
    }
}

#[test]
fn concurrency_of_a_workspace_holds_and_can_be_lifted() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    let limits = Limits {
        concurrency: Some(1),
        ..Limits::default()
    };
    change(&mut net, 2, |config| limit(config, limits));
    for ticket in 1..=3 {
        net.arrive(&r0, ticket, head("w1", "draft", None));
    }
    net.arrive(&r0, 4, head("w2", "draft", None));
    assert_eq!((running(&net, 1..=3), running(&net, 4..=4)), (1, 1));
    net.finish(1, Ending::Done, 10);
    assert_eq!(running(&net, 2..=3), 1);
    change(&mut net, 3, |config| limit(config, Limits::default()));
    net.pass(100);
    assert_eq!(running(&net, 2..=3), 2);
}

#[test]
fn rate_and_queue_of_a_workspace_are_refused_with_a_time_to_come_back() {
    let mut net = Net::new(1);
    let r0 = net.names()[0].clone();
    let limits = Limits {
        rate: Some(2),
        ..Limits::default()
    };
    change(&mut net, 2, |config| limit(config, limits));
    for ticket in 1..=3 {
        net.arrive(&r0, ticket, head("w1", "draft", None));
    }
    let end = refusal(&net, 3).expect("more than two in a second");
    assert_eq!(end.retry_after_ms, Some(500));
    let limits = Limits {
        queue: Some(1),
        ..Limits::default()
    };
    change(&mut net, 3, |config| limit(config, limits));
    for ticket in 11..=14 {
        net.arrive(&r0, ticket, head("w1", "draft", None));
    }
    assert!(refusal(&net, 13).is_none() && refusal(&net, 14).is_some());
}

#[test]
fn concurrency_of_a_service_holds_over_all_routers() {
    let mut net = Net::new(2);
    let names = net.names();
    let service = Service::new("draft").expect("a name");
    let limits = Limits {
        concurrency: Some(3),
        ..Limits::default()
    };
    change(&mut net, 2, |config| {
        config.service_limits.insert(service.clone(), limits);
    });
    for ticket in 1..=9 {
        let at = &names[ticket as usize % 2];
        net.arrive(at, ticket, head("w2", "draft", None));
    }
    net.pass(2000);
    assert_eq!(running(&net, 1..=9), 3);
}
