//! Retries: safe, within the deadline and the budget.

use balsamchute_base::prelude::*;
use balsamchute_claim::retry::{Budget, Case, Decision, Failure, Settings};

const NOW: Time = Time(1_000_000);

fn case() -> Case {
    Case {
        idempotent: true,
        attempts: 1,
        deadline: NOW + Span::from_secs(60),
        failure: Failure::MayHaveRun,
    }
}

#[test]
fn non_idempotent_work_is_repeated_only_if_it_did_not_run() {
    let mut budget = Budget::new(Settings::default());
    let once = Case {
        idempotent: false,
        ..case()
    };
    assert_eq!(budget.decide(NOW, &once, 7), Decision::Unsafe);
    let not_run = Case {
        failure: Failure::NotRun,
        ..once
    };
    assert!(matches!(
        budget.decide(NOW, &not_run, 7),
        Decision::Retry(_)
    ));
}

#[test]
fn a_storm_of_failures_adds_no_more_than_the_ratio() {
    let settings = Settings::default();
    let mut budget = Budget::new(settings);
    let mut retries = 0;
    for random in 0..10_000 {
        budget.first();
        let decision = budget.decide(NOW, &case(), random);
        retries += u32::from(matches!(decision, Decision::Retry(_)));
    }
    let most = 10_000.0 * settings.ratio + settings.burst;
    assert!(f64::from(retries) <= most + 1.0, "{retries} retries");
    assert!(retries > 900, "{retries} retries");
}

#[test]
fn any_retry_is_within_deadline_attempts_and_longest_wait() {
    bolero::check!()
        .with_iterations(5000)
        .with_type::<(u8, u16, u64)>()
        .for_each(|(attempts, left, random)| {
            let settings = Settings::default();
            let deadline = NOW + Span(u64::from(*left));
            let case = Case {
                attempts: u32::from(*attempts),
                deadline,
                ..case()
            };
            if let Decision::Retry(at) = Budget::new(settings).decide(NOW, &case, *random) {
                assert!(at < deadline && at.since(NOW) <= settings.longest);
                assert!(case.attempts < settings.attempts);
            }
        });
}
