//! Tests of the configuration store and of concurrent changes by operators.

use balsamchute_base::prelude::*;
use balsamchute_fleet::change::{self, Resolution};
use balsamchute_fleet::config::{self, Offer, SECOND_SOURCE_TIMEOUT, Store};
use balsamchute_wire::config::{Document, MAX_PAST_CHANGES, Stamp};
use bolero::TypeGenerator;

fn document(version: u64) -> Document {
    Document {
        version,
        change_id: format!("c{version}"),
        text: format!("# version {version}\n"),
        ..Document::default()
    }
}

#[derive(Clone, Debug, TypeGenerator)]
enum Event {
    Offer(u8),
    OfferConflicting(u8),
    Peer(u8),
    Platform(u8),
    Restart,
    Advance(u16),
}

#[test]
fn the_version_never_decreases_and_a_ready_router_has_the_highest_announced() {
    bolero::check!()
        .with_iterations(5_000)
        .with_type::<Vec<Event>>()
        .for_each(|events| {
            let mut now = Time(0);
            let mut router = Store::new(now);
            let mut highest_announced = 0;
            for event in events {
                let before = router.stamp();
                match *event {
                    Event::Offer(version) => {
                        highest_announced = highest_announced.max(u64::from(version));
                        router.offer(document(version.into()));
                    }
                    Event::OfferConflicting(version) => {
                        highest_announced = highest_announced.max(u64::from(version));
                        let mut conflicting = document(version.into());
                        conflicting.text.push_str("other\n");
                        router.offer(conflicting);
                    }
                    Event::Peer(version) => {
                        highest_announced = highest_announced.max(u64::from(version));
                        let stamp = config::stamp(&document(version.into()));
                        let fetch = router.observe_peer(stamp);
                        assert_eq!(fetch, stamp.version > before.version);
                    }
                    Event::Platform(version) => {
                        highest_announced = highest_announced.max(u64::from(version));
                        router.observe_platform(version.into());
                    }
                    Event::Restart => {
                        router = Store::new(now);
                        highest_announced = 0;
                        continue;
                    }
                    Event::Advance(ms) => now = now + Span(ms.into()),
                }
                let after = router.stamp();
                assert!(after.version >= before.version);
                assert!(after.version > before.version || after == before);
                assert!(!router.is_ready(now) || after.version == highest_announced);
            }
        });
}

#[test]
fn an_offer_is_classified_by_version_and_digest() {
    let mut router = Store::new(Time(0));
    assert_eq!(router.offer(document(2)), Offer::Newer);
    assert_eq!(router.offer(document(2)), Offer::Same);
    assert_eq!(router.offer(document(1)), Offer::Older);
    let mut conflicting = document(2);
    conflicting.text.clear();
    assert_eq!(router.offer(conflicting), Offer::Conflict);
    assert_eq!(router.document(), &document(2));
}

// A restarted router reads an outdated version from the platform. Without the
// peer's answer it would serve with that version.
#[test]
fn a_restarted_router_is_not_ready_while_a_peer_announces_a_higher_version() {
    let mut router = Store::new(Time(0));
    router.observe_platform(3);
    router.offer(document(3));
    assert!(!router.is_ready(Time(0)), "no peer has answered yet");
    assert!(
        router.is_ready(Time(0) + SECOND_SOURCE_TIMEOUT),
        "the platform suffices after the timeout"
    );
    assert!(router.observe_peer(config::stamp(&document(5))));
    assert!(
        !router.is_ready(Time(0) + SECOND_SOURCE_TIMEOUT),
        "a peer announced version 5"
    );
    router.offer(document(5));
    assert!(router.is_ready(Time(0)));
}

// The platform does not answer, and the empty document of a peer without a
// configuration must not make the router ready.
#[test]
fn a_router_restarted_in_a_platform_outage_becomes_ready_with_the_configuration_of_a_peer() {
    let mut router = Store::new(Time(0));
    assert!(!router.is_ready(Time(60_000)), "no source has answered");
    router.observe_peer(Stamp::default());
    assert!(
        !router.is_ready(Time(60_000)),
        "the peer has no configuration either"
    );
    router.observe_peer(config::stamp(&document(5)));
    assert!(!router.is_ready(Time(60_000)));
    router.offer(document(5));
    assert!(router.is_ready(Time(60_000)));
}

struct Operator {
    change: Document,
    reported: Option<Resolution>,
    /// Writes in flight, which arrive late or never.
    in_flight: u32,
}

#[derive(Clone, Debug, TypeGenerator)]
struct Step {
    operator: u8,
    action: Action,
}

#[derive(Clone, Debug, TypeGenerator)]
enum Action {
    /// Creates a change based on the current document or on a stale read.
    Begin { stale: bool },
    /// Sends a write of the operator's change.
    Write,
    /// Delivers a write in flight to the platform.
    Arrive,
    /// Reads the current document to determine the state of the change.
    Settle,
}

// Writes arrive late or not at all, and operators start from stale reads. A
// retry must not apply a change twice, nor a report deny a change in effect.
#[test]
fn concurrent_changes_take_effect_at_most_once_and_are_reported_correctly() {
    bolero::check!()
        .with_iterations(5_000)
        .with_type::<Vec<Step>>()
        .for_each(|steps| run_concurrently(steps));
}

fn run_concurrently(steps: &[Step]) {
    let mut history = vec![Document::default()];
    let mut operators: Vec<Operator> = Vec::new();
    for step in steps {
        let current = history
            .last()
            .expect("the history starts with an empty document")
            .clone();
        if let Action::Begin { stale } = step.action {
            let latest = history.len() - 1;
            let base = if stale { latest / 2 } else { latest };
            let id = format!("id{}", operators.len());
            operators.push(Operator {
                change: change::successor(&history[base], &id, "ann", "text"),
                reported: None,
                in_flight: 0,
            });
            continue;
        }
        let count = operators.len().max(1);
        let Some(operator) = operators.get_mut(usize::from(step.operator) % count) else {
            continue;
        };
        match step.action {
            Action::Write => operator.in_flight += 1,
            Action::Arrive if operator.in_flight > 0 => {
                operator.in_flight -= 1;
                if current.version + 1 == operator.change.version {
                    history.push(operator.change.clone());
                }
            }
            Action::Settle => operator.reported = Some(change::resolve(&operator.change, &current)),
            Action::Begin { .. } | Action::Arrive => {}
        }
    }
    for operator in &operators {
        assert_report_matches(operator, &history);
    }
}

fn assert_report_matches(operator: &Operator, history: &[Document]) {
    let id = &operator.change.change_id;
    let times = history
        .iter()
        .filter(|document| document.change_id == *id)
        .count();
    assert!(times <= 1, "{id} took effect {times} times");
    match operator.reported {
        Some(Resolution::Applied(version)) => assert_eq!(history[version as usize].change_id, *id),
        Some(Resolution::Superseded) => assert_eq!(times, 1),
        Some(Resolution::Conflict) => assert!(times == 0 || history.len() > MAX_PAST_CHANGES),
        Some(Resolution::Pending) | None => {}
    }
}

/// A router would otherwise parse it, and log its faults, at each tick.
#[test]
fn a_document_that_was_rejected_is_not_applied_again_but_the_next_one_is() {
    let mut store = Store::new(Time(0));
    assert_eq!(store.unapplied(0), None);
    store.offer(document(2));
    assert_eq!(store.unapplied(0), Some(&document(2)));
    store.reject();
    assert_eq!(store.unapplied(0), None);
    store.offer(document(2));
    assert_eq!(store.unapplied(0), None);
    store.offer(document(3));
    assert_eq!(store.unapplied(0), Some(&document(3)));
    assert_eq!(store.unapplied(3), None);
}
