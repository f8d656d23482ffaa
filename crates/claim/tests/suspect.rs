//! Requests that crash their targets.

use balsamchute_base::prelude::*;
use balsamchute_claim::suspect::{Admission, Book, Settings};
use balsamchute_wire::exchange::Suspect;

const NOW: Time = Time(1_000_000);
const POISON: u128 = 1;
const HEALTHY: u128 = 2;

fn attempt(number: u64) -> Attempt {
    Attempt::new(&format!("a{number}")).unwrap()
}

fn book() -> Book {
    Book::new(Settings::default())
}

#[test]
fn second_crash_refuses_and_the_first_only_suspects() {
    let mut book = book();
    assert_eq!(book.admit(NOW, POISON), Admission::Free);
    book.crash(NOW, POISON, &attempt(1));
    assert_eq!(book.admit(NOW, POISON), Admission::Alone);
    // The same crash reported twice is one crash.
    book.crash(NOW, POISON, &attempt(1));
    assert_eq!(book.admit(NOW, POISON), Admission::Alone);
    book.crash(NOW, POISON, &attempt(2));
    assert!(matches!(book.admit(NOW, POISON), Admission::Refused { .. }));
}

#[test]
fn a_bystander_that_completes_elsewhere_is_cleared_everywhere() {
    let (mut here, mut there) = (book(), book());
    for fingerprint in [POISON, HEALTHY] {
        here.crash(NOW, fingerprint, &attempt(fingerprint as u64));
    }
    for suspect in here.suspects(10) {
        there.merge(NOW, &suspect);
    }
    there.complete(NOW, HEALTHY);
    for suspect in there.suspects(10) {
        here.merge(NOW, &suspect);
    }
    assert_eq!(here.admit(NOW, HEALTHY), Admission::Free);
    assert_eq!(here.admit(NOW, POISON), Admission::Alone);
    // A later crash beside another request starts from nothing.
    here.crash(NOW, HEALTHY, &attempt(9));
    assert_eq!(here.admit(NOW, HEALTHY), Admission::Alone);
}

#[test]
fn completing_does_not_lift_a_refusal_but_an_operator_does() {
    let mut book = book();
    book.crash(NOW, POISON, &attempt(1));
    book.crash(NOW, POISON, &attempt(2));
    book.complete(NOW, POISON);
    assert!(matches!(book.admit(NOW, POISON), Admission::Refused { .. }));
    assert!(book.release(NOW, POISON));
    assert_eq!(book.admit(NOW, POISON), Admission::Free);
    assert!(!book.release(NOW, HEALTHY));
}

#[test]
fn refusals_end_and_peers_do_not_bring_them_back() {
    let settings = Settings::default();
    let (mut here, mut there) = (book(), book());
    for number in [1, 2] {
        here.crash(NOW, POISON, &attempt(number));
    }
    let old = here.suspects(10);
    let later = NOW + settings.refusal;
    assert_eq!(here.admit(later, POISON), Admission::Free);
    here.expire(later);
    for suspect in &old {
        there.merge(later, suspect);
        here.merge(later, suspect);
    }
    assert_eq!(here.admit(later, POISON), Admission::Free);
    for suspect in here.suspects(10) {
        there.merge(later, &suspect);
    }
    assert_eq!(there.admit(later, POISON), Admission::Free);
}

/// Merging is commutative, associative and idempotent.
#[test]
fn books_that_hear_the_same_in_any_order_agree() {
    bolero::check!()
        .with_iterations(3000)
        .with_type::<Vec<(bool, u8, u8)>>()
        .for_each(|facts| {
            let facts: Vec<Suspect> = facts
                .iter()
                .map(|(poison, crash, releases)| Suspect {
                    fingerprint: if *poison { POISON } else { HEALTHY },
                    crashes: vec![attempt(u64::from(crash % 5))],
                    releases: u32::from(releases % 3),
                })
                .collect();
            let (mut forth, mut back) = (book(), book());
            for fact in &facts {
                forth.merge(NOW, fact);
            }
            for fact in facts.iter().rev().chain(&facts) {
                back.merge(NOW, fact);
            }
            assert_eq!(forth.suspects(10), back.suspects(10));
        });
}

#[test]
fn a_full_book_forgets_the_oldest() {
    let settings = Settings {
        capacity: 3,
        ..Settings::default()
    };
    let mut book = Book::new(settings);
    for number in 0..5 {
        book.crash(NOW + Span(number), u128::from(number), &attempt(number));
    }
    let kept: Vec<u128> = book.suspects(10).iter().map(|s| s.fingerprint).collect();
    assert_eq!(kept, [4, 3, 2]);
}
