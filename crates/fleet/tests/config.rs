//! Configuration: it never goes back, and racing operators are told the truth.

use balsamchute_base::prelude::*;
use balsamchute_fleet::change::{self, Verdict};
use balsamchute_fleet::config::{self, Offer, PATIENCE, Store};
use balsamchute_wire::config::{Document, MAX_PAST, Stamp};
use bolero::TypeGenerator;

fn document(version: u64) -> Document {
    Document {
        version,
        change: format!("c{version}"),
        text: format!("# version {version}\n"),
        ..Document::default()
    }
}

#[derive(Clone, Debug, TypeGenerator)]
enum Event {
    Offer(u8),
    Forged(u8),
    Peer(u8),
    Platform(u8),
    Restart,
    Pass(u16),
}

#[test]
fn configuration_never_reverts_and_a_ready_router_has_the_highest_version_named() {
    bolero::check!()
        .with_iterations(5_000)
        .with_type::<Vec<Event>>()
        .for_each(|events| {
            let mut now = Time(0);
            let mut router = Store::new(now);
            let mut named = 0;
            for event in events {
                let before = router.stamp();
                match *event {
                    Event::Offer(version) => {
                        named = named.max(u64::from(version));
                        router.offer(document(version.into()));
                    }
                    Event::Forged(version) => {
                        named = named.max(u64::from(version));
                        let mut other = document(version.into());
                        other.text.push_str("other\n");
                        router.offer(other);
                    }
                    Event::Peer(version) => {
                        named = named.max(u64::from(version));
                        let stamp = config::stamp(&document(version.into()));
                        let fetch = router.fetch_from(stamp);
                        assert_eq!(fetch, stamp.version > before.version);
                    }
                    Event::Platform(version) => {
                        named = named.max(u64::from(version));
                        router.platform_answered(version.into());
                    }
                    Event::Restart => {
                        router = Store::new(now);
                        named = 0;
                        continue;
                    }
                    Event::Pass(ms) => now = now + Span(ms.into()),
                }
                let after = router.stamp();
                assert!(after.version >= before.version);
                assert!(after.version > before.version || after == before);
                assert!(!router.ready(now) || after.version == named);
            }
        });
}

#[test]
fn offers_are_told_apart() {
    let mut router = Store::new(Time(0));
    assert_eq!(router.offer(document(2)), Offer::Newer);
    assert_eq!(router.offer(document(2)), Offer::Same);
    assert_eq!(router.offer(document(1)), Offer::Older);
    let mut other = document(2);
    other.text.clear();
    assert_eq!(router.offer(other), Offer::Conflict);
    assert_eq!(router.document(), &document(2));
}

#[test]
fn a_router_restarted_empty_is_not_ready_on_a_stale_read_once_a_peer_names_more() {
    let mut router = Store::new(Time(0));
    router.platform_answered(3);
    router.offer(document(3));
    assert!(!router.ready(Time(0)), "it has not heard a peer");
    assert!(router.ready(Time(0) + PATIENCE), "there may be no peer");
    assert!(router.fetch_from(config::stamp(&document(5))));
    assert!(!router.ready(Time(0) + PATIENCE), "version 5 exists");
    router.offer(document(5));
    assert!(router.ready(Time(0)));
}

#[test]
fn a_router_restarted_empty_in_an_outage_serves_what_its_peers_have() {
    let mut router = Store::new(Time(0));
    assert!(!router.ready(Time(60_000)), "it has heard nobody");
    router.fetch_from(Stamp::default());
    assert!(!router.ready(Time(60_000)), "its peer is as empty");
    router.fetch_from(config::stamp(&document(5)));
    assert!(!router.ready(Time(60_000)));
    router.offer(document(5));
    assert!(router.ready(Time(60_000)));
}

/// One operator's change on its way.
struct Operator {
    change: Document,
    said: Option<Verdict>,
    /// Writes under way, which arrive late or not at all.
    flying: u32,
}

#[derive(Clone, Debug, TypeGenerator)]
struct Step {
    operator: u8,
    action: Action,
}

#[derive(Clone, Debug, TypeGenerator)]
enum Action {
    /// A new change from the current document, or from a stale read of it.
    Begin { stale: bool },
    /// A write is sent.
    Write,
    /// A write sent before reaches the platform.
    Arrive,
    /// The operator reads the current document to learn what became of it.
    Settle,
}

#[test]
fn racing_operators_learn_the_truth_and_no_change_takes_effect_twice() {
    bolero::check!()
        .with_iterations(5_000)
        .with_type::<Vec<Step>>()
        .for_each(|steps| race(steps));
}

fn race(steps: &[Step]) {
    let mut history = vec![Document::default()];
    let mut operators: Vec<Operator> = Vec::new();
    for step in steps {
        let current = history.last().expect("it starts with nothing").clone();
        if let Action::Begin { stale } = step.action {
            let latest = history.len() - 1;
            let at = if stale { latest / 2 } else { latest };
            let id = format!("id{}", operators.len());
            operators.push(Operator {
                change: change::next(&history[at], &id, "ann", "text"),
                said: None,
                flying: 0,
            });
            continue;
        }
        let count = operators.len().max(1);
        let Some(operator) = operators.get_mut(usize::from(step.operator) % count) else {
            continue;
        };
        match step.action {
            Action::Write => operator.flying += 1,
            Action::Arrive if operator.flying > 0 => {
                operator.flying -= 1;
                if current.version + 1 == operator.change.version {
                    history.push(operator.change.clone());
                }
            }
            Action::Settle => operator.said = Some(change::settle(&operator.change, &current)),
            Action::Begin { .. } | Action::Arrive => {}
        }
    }
    for operator in &operators {
        check(operator, &history);
    }
}

fn check(operator: &Operator, history: &[Document]) {
    let id = &operator.change.change;
    let times = history.iter().filter(|past| past.change == *id).count();
    assert!(times <= 1, "{id} took effect {times} times");
    match operator.said {
        Some(Verdict::Applied(version)) => assert_eq!(history[version as usize].change, *id),
        Some(Verdict::Replaced) => assert_eq!(times, 1),
        Some(Verdict::Lost) => assert!(times == 0 || history.len() > MAX_PAST),
        Some(Verdict::Open) | None => {}
    }
}
