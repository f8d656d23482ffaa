//! Contact with the store, of one router and of the others.

use balsamchute_edge::contact::{Contact, Outage};
use balsamchute_model::prelude::*;

const NOW: Time = Time(1_000_000);

/// Interval at which other routers report their connections.
const EXCHANGE_INTERVAL: Span = Span(100);

/// Returns the state of a router that has read the list of runners and lost the store at `NOW`.
fn lost() -> Contact {
    let mut contact = Contact::new();
    contact.set_reader(true);
    contact.record_response(NOW);
    assert_eq!(contact.record_runners(NOW), None);
    assert!(contact.record_failure(NOW, true));
    contact
}

/// The store rejects one router, whose peers see no removal but real ones.
#[test]
fn a_router_that_alone_lost_the_store_defers_no_removal() {
    let mut contact = lost();
    let regained = NOW + Span(9000);
    let mut now = NOW;
    while now < regained {
        contact.record_peer(now);
        now = now + EXCHANGE_INTERVAL;
    }
    assert_eq!(contact.record_response(regained), Some(Span(9000)));
    assert_eq!(contact.record_runners(regained), None);
}

/// A watch that is cut is made again after 100 ms, in which no entry expires.
#[test]
fn a_connection_that_was_cut_defers_no_removal() {
    for away in [100, 200, 400] {
        assert_eq!(lost().record_runners(NOW + Span(away)), None, "{away} ms");
    }
}

/// Runners can't renew their entries while no router reaches the store.
#[test]
fn removals_after_an_outage_of_the_store_are_deferred() {
    let mut contact = lost();
    contact.record_peer(NOW + Span(700));
    // Other objects are served again before the runners.
    let other = contact.record_response(NOW + Span(4500));
    assert_eq!(other, Some(Span(4500)));
    let outage = contact.record_runners(NOW + Span(4600));
    assert_eq!(outage, Some(outage_of(700, 4600)));
    // The outage counts once.
    assert_eq!(contact.record_runners(NOW + Span(4800)), None);
    let outage = lost().record_runners(NOW + Span(2500));
    assert_eq!(outage, Some(outage_of(0, 2500)));
}

/// A router that regains the store after another one would pass the removals on at once.
#[test]
fn removals_are_deferred_also_where_another_router_regained_the_store_first() {
    let mut contact = lost();
    contact.record_peer(NOW + Span(300));
    for ms in [4000, 4100, 4300, 4600] {
        contact.record_peer(NOW + Span(ms));
    }
    let outage = contact.record_runners(NOW + Span(4700));
    assert_eq!(outage, Some(outage_of(300, 4000)));
    // An outage that ended before this router lost the store is another one.
    contact.record_response(NOW + Span(4700));
    assert!(contact.record_failure(NOW + Span(5000), true));
    contact.record_peer(NOW + Span(5000));
    assert_eq!(contact.record_runners(NOW + Span(5200)), None);
}

fn outage_of(began: u64, ended: u64) -> Outage {
    Outage {
        began_at: NOW + Span(began),
        ended_at: NOW + Span(ended),
    }
}

/// Others take a reported connection as a sign that nothing changed since.
#[test]
fn a_router_that_ceased_to_read_reports_no_connection() {
    let mut contact = Contact::new();
    contact.record_response(NOW);
    assert!(contact.is_connected(NOW) && !contact.follows_store(NOW));
    contact.set_reader(true);
    assert!(contact.follows_store(NOW));
    contact.record_failure(NOW, false);
    assert!(!contact.follows_store(NOW));
    contact.record_response(NOW);
    assert!(contact.set_reader(false));
    assert!(contact.is_connected(NOW) && !contact.follows_store(NOW));
    assert!(!contact.is_connected(NOW + Span(3500)));
}
