//! Exported metrics and their bounded labels.

use std::collections::BTreeSet;

use balsamchute_base::prelude::*;
use balsamchute_metrics::{Direction, Labels, Load, Metrics, Traffic};
use balsamchute_wire::record::Outcome;

fn workspaces(names: &[&str]) -> Vec<Workspace> {
    names
        .iter()
        .map(|name| Workspace::new(name).unwrap())
        .collect()
}

fn services(names: &[&str]) -> Vec<Service> {
    names
        .iter()
        .map(|name| Service::new(name).unwrap())
        .collect()
}

/// Returns the value of the only line of `page` that starts with `series`.
fn sample_value(page: &str, series: &str) -> f64 {
    let mut lines = page.lines().filter(|line| line.starts_with(series));
    let line = lines
        .next()
        .unwrap_or_else(|| panic!("no {series} in:\n{page}"));
    assert_eq!(lines.next(), None);
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// Guards against an observation that is exported with wrong labels, units or
/// values.
#[test]
fn observations_are_exported_with_their_labels() {
    let metrics = Metrics::new(4).unwrap();
    let (workspace, service) = (workspaces(&["clinic"]), services(&["parecer-llm"]));
    metrics.add_labels(&workspace, &service);
    let request_labels = Labels {
        workspace: &workspace[0],
        service: &service[0],
    };
    metrics.observe_queue_wait(request_labels, Span(40));
    metrics.observe_first_token(request_labels, Span(90));
    metrics.observe_between_tokens(request_labels, Span(50));
    metrics.observe_between_tokens(request_labels, Span(60));
    metrics.observe_cost(request_labels, Cost(3));
    metrics.observe_end(request_labels, Outcome::NotRun, Span(1500));
    metrics.count_control(Traffic::Exchange, Direction::Out, 2, 700);
    let load = Load {
        backlog: 5,
        slots: 8,
        slots_used: 6,
    };
    metrics.set_load(&service[0], load);
    metrics.set_fleet(8, 41);
    metrics.count_stream_gap("repeated");
    for part in ["poll", "claims"] {
        metrics.observe_platform_calls(part, || vec![("read", 7), ("write", 9)]);
    }
    let page = metrics.encode().unwrap();
    let labels = "service=\"parecer-llm\",workspace=\"clinic\"";
    let series = |name: &str| sample_value(&page, &format!("balsamchute_{name}{{{labels}"));
    assert_eq!(series("queue_wait_seconds_sum"), 0.04);
    assert_eq!(series("first_token_seconds_count"), 1.0);
    assert_eq!(series("between_tokens_seconds_count"), 2.0);
    assert_eq!(series("cost_sum"), 3.0);
    assert_eq!(series("total_seconds_sum"), 1.5);
    let bucket = format!("balsamchute_between_tokens_seconds_bucket{{{labels},le=\"0.054\"}}");
    assert_eq!(sample_value(&page, &bucket), 1.0);
    let requests = "balsamchute_requests_total{outcome=\"not_run\",service=\"parecer-llm\"";
    assert_eq!(sample_value(&page, requests), 1.0);
    let control = "balsamchute_control_bytes_total{direction=\"out\",kind=\"exchange\"}";
    assert_eq!(sample_value(&page, control), 700.0);
    let calls = "balsamchute_platform_calls_total{kind=\"write\",part=\"claims\"}";
    assert_eq!(sample_value(&page, calls), 9.0);
    let calls = "balsamchute_platform_calls_total{kind=\"read\",part=\"poll\"}";
    assert_eq!(sample_value(&page, calls), 7.0);
    let gaps = "balsamchute_stream_gaps_total{kind=\"repeated\"}";
    assert_eq!(sample_value(&page, gaps), 1.0);
    assert_eq!(sample_value(&page, "balsamchute_backlog{"), 5.0);
    assert_eq!(sample_value(&page, "balsamchute_slots{"), 8.0);
    assert_eq!(sample_value(&page, "balsamchute_slots_used{"), 6.0);
    assert_eq!(sample_value(&page, "balsamchute_routers"), 8.0);
    assert_eq!(sample_value(&page, "balsamchute_config_version"), 41.0);
}

/// Guards against label values that grow with the names that callers send, which
/// would add series until the process ends, and against observations that are lost
/// when names share a label.
#[test]
fn the_number_of_labels_is_bounded_for_any_names() {
    const LIMIT: usize = 3;
    bolero::check!()
        .with_iterations(50)
        .with_type::<Vec<(u8, bool)>>()
        .for_each(|steps| {
            let metrics = Metrics::new(LIMIT).unwrap();
            for (number, configured) in steps {
                let workspace = workspaces(&[&format!("w{number}")]);
                let service = services(&[&format!("s{}", number % 40)]);
                if *configured {
                    metrics.add_labels(&workspace, &service);
                }
                let request_labels = Labels {
                    workspace: &workspace[0],
                    service: &service[0],
                };
                metrics.observe_queue_wait(request_labels, Span(1));
            }
            let page = metrics.encode().unwrap();
            let label = |line: &str| line.split("workspace=\"").nth(1).map(str::to_owned);
            let labels = page.lines().filter_map(label);
            let labels = labels.map(|rest| rest.split('"').next().unwrap().to_owned());
            let labels: BTreeSet<String> = labels.collect();
            assert!(labels.len() <= LIMIT + 1, "{labels:?}");
            let counts = page
                .lines()
                .filter(|line| line.contains("wait_seconds_count"));
            let sum: f64 = counts
                .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
                .sum();
            assert_eq!(sum, steps.len() as f64);
        });
}

/// Guards against names that take the labels of names configured before them.
#[test]
fn the_first_configured_names_get_labels_of_their_own() {
    let mut allowlist = balsamchute_metrics::label::Allowlist::new(2);
    allowlist.add(["a", "b", "c"]);
    allowlist.add(["d"]);
    let labels: Vec<_> = ["a", "b", "c", "d"]
        .map(|name| allowlist.label(name))
        .to_vec();
    assert_eq!(
        labels,
        ["a", "b", "other", "other"].map(std::sync::Arc::from)
    );
}

/// Guards against the SDK's cardinality limit, which by default is lower than the
/// number of series here and folds those beyond it into one overflow series.
#[test]
fn no_series_overflows_when_all_workspace_labels_are_in_use() {
    const LIMIT: usize = 64;
    let metrics = Metrics::new(LIMIT).unwrap();
    let names: Vec<String> = (0..=LIMIT).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (workspaces, services) = (
        workspaces(&names),
        services(&["a", "b", "c", "d", "e", "f", "g", "h"]),
    );
    metrics.add_labels(&workspaces, &services);
    let outcomes = [
        Outcome::Done,
        Outcome::Failed,
        Outcome::NotRun,
        Outcome::Unknown,
    ];
    for workspace in &workspaces {
        for service in &services {
            for outcome in outcomes {
                metrics.observe_end(Labels { workspace, service }, outcome, Span(1));
            }
        }
    }
    let page = metrics.encode().unwrap();
    let requests = page
        .lines()
        .filter(|line| line.starts_with("balsamchute_requests_total{"));
    assert_eq!(
        requests.count(),
        workspaces.len() * services.len() * outcomes.len()
    );
    let bucket = "balsamchute_total_seconds_bucket{service=\"a\",workspace=\"w0\",le=\"1.3\"}";
    assert_eq!(sample_value(&page, bucket), 4.0);
}
