//! Accepting of connections at an overloaded router.

use balsamchute_model::prelude::*;
use balsamchute_schedule::admission::Admission;

const NOW: Time = Time(1_000_000);

fn workspace(name: &str) -> Workspace {
    Workspace::new(name).unwrap()
}

/// Creates the state of a router whose accept queue has been filled for 200 ms.
fn overloaded() -> Admission {
    let mut admission = Admission::new();
    for elapsed in (0..=200).step_by(20) {
        admission.record_turn(NOW + Span(elapsed), true);
    }
    admission
}

// Guards against bursts that delay requests in flight, and against an accept queue that
// overflows because a turn accepts 16 connections at most.
#[test]
fn a_turn_accepts_for_a_time_instead_of_a_number_once_the_queue_stays_filled() {
    let mut admission = Admission::new();
    assert!(admission.may_accept(NOW, NOW, 15));
    assert!(!admission.may_accept(NOW, NOW, 16));
    assert_eq!(admission.record_turn(NOW, true), None);
    assert!(!admission.may_accept(NOW + Span(100), NOW + Span(100), 16));
    let later = NOW + Span(101);
    assert_eq!(admission.record_turn(later, true), Some(true));
    assert!(admission.may_accept(later, later + Span(3), 1000));
    assert!(!admission.may_accept(later, later + Span(4), 1000));
    // However slow accepts are, some are made in each turn.
    assert!(admission.may_accept(later, later + Span(50), 15));
}

// Guards against a router that stays in the mode for overload.
#[test]
fn an_overload_ends_a_second_after_the_queue_was_filled() {
    let mut admission = overloaded();
    let emptied = NOW + Span(220);
    assert_eq!(admission.record_turn(emptied, false), None);
    assert!(!admission.may_accept(emptied, emptied, 16));
    assert!(admission.is_overloaded(emptied));
    let later = NOW + Span(1200);
    assert_eq!(admission.record_turn(later, false), Some(false));
    assert!(!admission.is_overloaded(later));
}

// Guards against callers of other workspaces that lose their connections because of one
// that floods the router.
#[test]
fn only_the_workspace_that_floods_an_overloaded_router_is_sent_away() {
    let mut admission = overloaded();
    let now = NOW + Span(200);
    let (flooding, other) = (workspace("flooding"), workspace("other"));
    for _ in 0..100 {
        admission.record_request(now, Some(&flooding));
    }
    for name in ["other", "b", "c", "d"] {
        for _ in 0..20 {
            admission.record_request(now, Some(&workspace(name)));
        }
    }
    assert!(admission.is_closed(now, Some(&flooding)));
    assert!(!admission.is_closed(now, Some(&other)));
    assert!(!admission.is_closed(now, None));
    assert!(!admission.is_closed(now + Span(1000), Some(&flooding)));
}

// Guards against a router that sends its only workspace, or a small one, away.
#[test]
fn a_workspace_within_its_part_is_not_sent_away() {
    let mut admission = overloaded();
    let now = NOW + Span(200);
    for _ in 0..1000 {
        admission.record_request(now, Some(&workspace("only")));
    }
    assert!(!admission.is_closed(now, Some(&workspace("only"))));
    for number in 0..200 {
        admission.record_request(now, Some(&workspace(&format!("w{number}"))));
    }
    for _ in 0..14 {
        admission.record_request(now, Some(&workspace("w0")));
    }
    assert!(admission.is_closed(now, Some(&workspace("only"))));
    assert!(!admission.is_closed(now, Some(&workspace("w0"))));
}

// Guards against a workspace that is sent away for requests of long ago.
#[test]
fn requests_count_for_a_second() {
    let mut admission = overloaded();
    let (flooding, other) = (workspace("flooding"), workspace("other"));
    for _ in 0..100 {
        admission.record_request(NOW, Some(&flooding));
    }
    for elapsed in [200, 700, 1200] {
        for _ in 0..5 {
            admission.record_request(NOW + Span(elapsed), Some(&other));
        }
        for name in ["b", "c"] {
            admission.record_request(NOW + Span(elapsed), Some(&workspace(name)));
        }
    }
    assert!(!admission.is_closed(NOW + Span(1190), Some(&flooding)));
}
