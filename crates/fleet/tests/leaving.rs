//! Marks of leaving runners.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_fleet::leaving::{Listed, Marks, RETENTION, RETURN, SPREAD};
use balsamchute_wire::exchange::Leaving;

fn runner() -> Runner {
    Runner::new("dd-1").expect("a name")
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn mark(port: u16) -> Leaving {
    Leaving {
        runner: runner(),
        address: address(port),
    }
}

fn listed(leaving: bool) -> Listed {
    Listed {
        runner: runner(),
        address: address(1),
        leaving,
    }
}

#[test]
fn marks_from_the_list_and_from_peers_are_monotone_for_an_address() {
    bolero::check!()
        .with_iterations(3_000)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|events| {
            let mut marks = Marks::new();
            let mut now = Time(0);
            let mut marked = false;
            // All of it lies within RETURN, so that no mark may be void.
            for (event, ms) in events.iter().take(100) {
                now = now + Span(u64::from(*ms));
                match event % 4 {
                    0 => marked |= !marks.merge(now, &[mark(1)]).is_empty(),
                    1 => marked |= !marks.seed(now, &[listed(true)]).is_empty(),
                    2 => assert!(marks.seed(now, &[listed(false)]).is_empty()),
                    _ => marks.expire(now),
                }
                assert!(marked || event % 4 >= 2, "the first mark is new");
                assert_eq!(marks.contains(now, &runner(), address(1)), marked);
                assert!(!marks.contains(now, &runner(), address(2)), "another life");
            }
        });
}

#[test]
fn a_runner_listed_as_live_for_long_is_back() {
    let mut marks = Marks::new();
    marks.seed(Time(0), &[listed(true)]);
    marks.seed(Time(100), &[listed(false)]);
    let back = Time(100) + RETURN;
    assert!(marks.contains(back - Span(1), &runner(), address(1)));
    assert!(!marks.contains(back, &runner(), address(1)));
    assert!(
        marks.merge(back, &[mark(1)]).is_empty(),
        "a peer's old mark"
    );
    assert!(!marks.contains(back, &runner(), address(1)));
    let again = marks.seed(back, &[listed(true)]);
    assert_eq!(again, [mark(1)], "it leaves once more");
    assert!(marks.contains(back, &runner(), address(1)));
}

#[test]
fn marks_are_passed_on_newest_first_for_a_while_and_then_dropped() {
    let mut marks = Marks::new();
    for port in 1..=3 {
        marks.merge(Time(port.into()), &[mark(port)]);
    }
    assert_eq!(marks.spread(Time(3), 2), [mark(3), mark(2)]);
    assert_eq!(marks.spread(Time(2) + SPREAD, 9), [mark(3), mark(2)]);
    let late = Time(3) + RETENTION;
    marks.expire(late);
    assert!(!marks.contains(late, &runner(), address(1)));
    assert!(marks.contains(late, &runner(), address(3)));
}
