//! Following the store, and runners that lapse.

use std::net::SocketAddr;

use balsamchute_adapter::store::{Change as StoreChange, Kind};
use balsamchute_edge::registry::{Change, LAPSE_WAIT, Registry};
use balsamchute_edge::sync::{News, Sync};
use balsamchute_model::prelude::*;

const NOW: Time = Time(1_000_000);

fn runner(name: &str) -> Runner {
    Runner::new(name).unwrap()
}

fn entry(name: &str, state: State) -> Entry {
    Entry {
        runner: runner(name),
        service: Service::new("s").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".to_owned(),
        slots: 1,
        state,
        warming: Span(0),
        born: 1,
    }
}

#[test]
fn a_list_of_several_pages_is_taken_whole_and_then_watched() {
    let mut sync = Sync::new(Kind::Runners);
    let (call, _) = sync.call(NOW).unwrap();
    assert_eq!(sync.call(NOW), None, "one call at a time");
    let first = br#"{"items":[{"metadata":{"name":"a"},"spec":1}],"has_more":true,"at":5}"#;
    assert_eq!(sync.answer(NOW, Some((200, first))), News::Nothing);
    let (next, _) = sync.call(NOW).unwrap();
    assert_ne!(next, call);
    let last = br#"{"items":[{"metadata":{"name":"b"},"spec":2}],"has_more":false,"at":6}"#;
    let News::All(objects, revision) = sync.answer(NOW, Some((200, last))) else {
        panic!("the list is whole");
    };
    let names: Vec<&str> = objects.iter().map(|o| o.name.as_str()).collect();
    assert_eq!((names, revision), (vec!["a", "b"], 6));
    let (watch, _) = sync.call(NOW).unwrap();
    assert!(watch.target.contains("watch=6"), "{}", watch.target);
    let change = br#"{"events":[{"deleted":true,"object":{"metadata":{"name":"a"}}}],"at":8}"#;
    let news = sync.answer(NOW, Some((200, change)));
    assert_eq!(
        news,
        News::Changes(vec![StoreChange::Removed("a".to_owned())], 8)
    );
}

#[test]
fn a_watch_whose_history_is_gone_lists_again() {
    let mut sync = Sync::new(Kind::Manifest);
    sync.call(NOW);
    sync.answer(NOW, Some((200, br#"{"items":[],"has_more":false,"at":5}"#)));
    sync.call(NOW);
    assert_eq!(sync.answer(NOW, Some((410, b""))), News::Nothing);
    let (call, _) = sync.call(NOW).unwrap();
    assert!(!call.target.contains("watch"), "{}", call.target);
}

#[test]
fn failed_calls_are_repeated_after_growing_pauses() {
    let mut sync = Sync::new(Kind::Manifest);
    let mut pauses = Vec::new();
    let mut now = NOW;
    for _ in 0..6 {
        assert!(sync.call(now).is_some());
        assert!(matches!(
            sync.answer(now, Some((503, b""))),
            News::Failed(_)
        ));
        let from = now;
        while sync.call(now).is_none() {
            now = now + Span(50);
        }
        sync.answer(now, None);
        pauses.push(now.since(from).0);
        now = now + Span(5000);
    }
    assert!(
        pauses.is_sorted() && pauses[0] <= 100 && pauses[5] == 800,
        "{pauses:?}"
    );
}

#[test]
fn answers_that_make_no_sense_are_failures() {
    for body in [&b"{"[..], b"[]", b"{\"items\":3,\"at\":1}", b"\xff"] {
        let mut sync = Sync::new(Kind::Manifest);
        sync.call(NOW);
        assert!(matches!(
            sync.answer(NOW, Some((200, body))),
            News::Failed(_)
        ));
    }
}

#[test]
fn a_removed_runner_is_gone_at_once_while_the_store_is_well() {
    let mut registry = Registry::new();
    registry.set(entry("a", State::Ready));
    let change = registry.remove(NOW, &runner("a"));
    assert_eq!(change, Some(Change::Gone(runner("a"))));
    assert_eq!(registry.remove(NOW, &runner("a")), None);
}

#[test]
fn entries_that_lapsed_with_the_store_may_come_back() {
    let mut registry = Registry::new();
    registry.set(entry("a", State::Ready));
    registry.set(entry("b", State::Ready));
    registry.set(entry("c", State::Draining));
    registry.store_returned(NOW);
    // A draining runner was leaving anyway.
    let changes = registry.replace(NOW, Vec::new(), 9);
    assert_eq!(changes, [Change::Gone(runner("c"))]);
    assert_eq!(registry.set(entry("a", State::Ready)), None);
    assert_eq!(registry.expire(NOW + Span(LAPSE_WAIT.0 - 1)), []);
    assert_eq!(
        registry.expire(NOW + LAPSE_WAIT),
        [Change::Gone(runner("b"))]
    );
    assert_eq!(registry.entries().count(), 1);
}
