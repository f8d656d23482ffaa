//! Workloads: what is wrong is named, and a seed gives the same calls.

use balsamchute_bench::caller::call::Repeat;
use balsamchute_bench::deployment::Deployment;
use balsamchute_bench::workload::Workload;

const GOOD: &str = include_str!("../workloads/association.yaml");

fn fault(text: &str) -> String {
    Workload::parse("w.yaml", text).unwrap_err().to_string()
}

#[test]
fn shipped_workload_is_valid_and_repeatable() {
    let workload = Workload::parse("w.yaml", GOOD).unwrap();
    let deployment = Deployment::association();
    let plan = workload.plan(&deployment, 7);
    assert_eq!(plan, workload.plan(&deployment, 7));
    assert_ne!(plan, workload.plan(&deployment, 8));
    let bookings = plan
        .iter()
        .filter(|one| one.call.repeat != Repeat::Idempotent);
    assert!(bookings.count() > 20);
}

#[test]
fn faults_are_named() {
    let with = |old: &str, new: &str| fault(&GOOD.replacen(old, new, 1));
    assert!(with("duration_s: 10", "duration_s: 0").contains("duration_s"));
    assert!(with("deployment: association", "deployment: nowhere").contains("\"nowhere\""));
    assert!(with("member-01", "member-99").contains("\"member-99\""));
    assert!(with("drafting-desk", "no-desk").contains("\"no-desk\""));
    assert!(with("rate: 40", "rate: -1").contains("rate of \"member-01\""));
    assert!(with("rate: 40", "rate: .nan").contains("rate of \"member-01\""));
    assert!(with("rate: 40", "rate: 1e9").contains("calls are more than"));
    assert!(with("rate: 40", "rate: 0").contains("neither rate nor burst"));
    assert!(with("cost: 40", "cost: 0").contains("cost of \"member-01\""));
    assert!(with("hint_error: 4", "hint_error: 0.5").contains("hint_error"));
    assert!(with("once: 1", "once: 2").contains("once of \"member-06\""));
    assert!(with("cost: 40", "costs: 40").contains("costs"));
    assert!(fault("deployment: caixa\nduration_s: 1\nflows: []\n").contains("flows"));
    assert!(fault("[").contains("w.yaml"));
}

#[test]
fn any_text_is_read_without_a_panic() {
    bolero::check!()
        .with_iterations(1000)
        .for_each(|bytes: &[u8]| {
            let text = String::from_utf8_lossy(bytes);
            if let Ok(workload) = Workload::parse("w.yaml", &text) {
                assert!(!workload.flows.is_empty());
            }
        });
}
