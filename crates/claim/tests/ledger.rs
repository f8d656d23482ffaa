//! A router's memory of keys.

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;
use balsamchute_claim::bound;
use balsamchute_claim::ledger::{Begin, Ledger, Settings};
use balsamchute_wire::claim::Settled;
use balsamchute_wire::record::{End, Outcome};

const NOW: Time = Time(1_000_000);

fn names() -> (Workspace, Key, Attempt) {
    (
        Workspace::new("w").unwrap(),
        Key::new("k").unwrap(),
        Attempt::new("a1").unwrap(),
    )
}

fn settled(outcome: Outcome) -> Settled {
    let end = End::new(outcome, "test");
    Settled { end, answer: None }
}

#[test]
fn a_repeated_key_joins_then_gets_the_recorded_end() {
    let (workspace, key, attempt) = names();
    let mut ledger = Ledger::new(Settings::default());
    let begin = |ledger: &mut Ledger, digest, ticket| {
        ledger.begin(NOW, &workspace, &key, digest, ticket, 100 + ticket)
    };
    assert_eq!(begin(&mut ledger, 7, 1), Begin::New);
    assert_eq!(begin(&mut ledger, 7, 2), Begin::Join { leader: 1 });
    assert_eq!(begin(&mut ledger, 8, 3), Begin::Mismatch);
    ledger.sent(&workspace, &key, &attempt);
    let done = Settled {
        end: End::done(&attempt, 1, Digest::new(b"yes")),
        answer: Some(vec!["yes".to_owned()]),
    };
    let ending = ledger.end(NOW, &workspace, &key, done.clone()).unwrap();
    assert_eq!(ending.joined.as_slice(), [2]);
    assert_eq!(begin(&mut ledger, 7, 4), Begin::Ended(done));
}

#[test]
fn not_run_is_never_said_after_a_send_unless_the_target_attests_it() {
    let (workspace, key, attempt) = names();
    let end = |attested: bool| {
        let mut ledger = Ledger::new(Settings::default());
        ledger.begin(NOW, &workspace, &key, 7, 1, 1);
        ledger.sent(&workspace, &key, &attempt);
        if attested {
            ledger.refused(&workspace, &key, &attempt);
        }
        let ending = ledger.end(NOW, &workspace, &key, settled(Outcome::NotRun));
        ending.unwrap().settled.end.outcome
    };
    assert_eq!(end(false), Outcome::Unknown);
    assert_eq!(end(true), Outcome::NotRun);
}

#[test]
fn a_key_that_was_not_run_starts_anew_and_its_old_claim_is_known_as_unused() {
    let (workspace, key, _) = names();
    let mut ledger = Ledger::new(Settings::default());
    ledger.begin(NOW, &workspace, &key, 7, 1, 11);
    assert!(!ledger.is_unused(&workspace, &key, 11));
    ledger.end(NOW, &workspace, &key, settled(Outcome::NotRun));
    assert!(ledger.is_unused(&workspace, &key, 11));
    assert_eq!(ledger.begin(NOW, &workspace, &key, 7, 2, 12), Begin::New);
    assert!(ledger.is_unused(&workspace, &key, 11));
    assert!(!ledger.is_unused(&workspace, &key, 12));
}

#[test]
fn a_bound_key_older_than_the_memory_is_not_begun() {
    let (workspace, ..) = names();
    let settings = Settings::default();
    let instance = Instance::new("r1").unwrap();
    let key = bound::mint(&instance, Incarnation(1), bound::nonce(NOW, 5));
    let mut ledger = Ledger::new(settings);
    assert_eq!(ledger.begin(NOW, &workspace, &key, 7, 1, 1), Begin::New);
    ledger.end(NOW, &workspace, &key, settled(Outcome::Done));
    let later = NOW + settings.retention;
    assert_eq!(
        ledger.begin(later, &workspace, &key, 7, 2, 2),
        Begin::Expired
    );
    assert!(ledger.is_empty());
}

#[test]
fn a_full_ledger_refuses_and_forgets_nothing() {
    let (workspace, key, _) = names();
    let settings = Settings {
        capacity: 1,
        ..Settings::default()
    };
    let mut ledger = Ledger::new(settings);
    let other = Key::new("other").unwrap();
    assert_eq!(ledger.begin(NOW, &workspace, &key, 7, 1, 1), Begin::New);
    assert_eq!(ledger.begin(NOW, &workspace, &other, 7, 2, 2), Begin::Full);
    assert!(ledger.look(&workspace, &key).is_some());
}

/// Arbitrary orders of begin, send, refusal, end and time: a key is started
/// again only if no send of an earlier start is unaccounted for.
#[test]
fn no_order_of_events_starts_a_sent_key_again() {
    let (workspace, _, _) = names();
    bolero::check!()
        .with_iterations(4000)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let mut ledger = Ledger::new(Settings::default());
            let mut now = NOW;
            // Per key: a send that was neither refused nor forgotten.
            let mut ran = [false; 2];
            for (ticket, (step, pick)) in steps.iter().enumerate() {
                let k = usize::from(pick & 1);
                let key = bound::mint(
                    &Instance::new("r").unwrap(),
                    Incarnation(1),
                    bound::nonce(NOW, k as u64),
                );
                let attempt = Attempt::new(&format!("a{}", pick >> 1 & 1)).unwrap();
                match step % 5 {
                    0 => {
                        let t = ticket as u64;
                        if ledger.begin(now, &workspace, &key, 7, t, t) == Begin::New {
                            assert!(!ran[k], "key {k} started again");
                        }
                    }
                    1 => {
                        let open = ledger.look(&workspace, &key).is_some_and(|state| {
                            state.stage == balsamchute_claim::ledger::Stage::Waiting
                        });
                        ledger.sent(&workspace, &key, &attempt);
                        ran[k] |= open;
                    }
                    2 => {
                        let sent = balsamchute_claim::ledger::Stage::Sent(attempt.clone());
                        if ledger
                            .look(&workspace, &key)
                            .is_some_and(|s| s.stage == sent)
                        {
                            ran[k] = false;
                        }
                        ledger.refused(&workspace, &key, &attempt);
                    }
                    3 => {
                        let outcome = [Outcome::NotRun, Outcome::Unknown, Outcome::Done]
                            [usize::from(pick % 3)];
                        if let Some(ending) = ledger.end(now, &workspace, &key, settled(outcome)) {
                            let not_run = ending.settled.end.outcome == Outcome::NotRun;
                            assert!(!(not_run && ran[k]), "false not run");
                        }
                    }
                    _ => now = now + Span(u64::from(*pick) * 4000),
                }
            }
        });
}
