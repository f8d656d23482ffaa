//! Parsing, validation, canonical text and differences of inventory and rules.

use balsamchute_base::prelude::*;
use balsamchute_inventory::config::{Config, Kind, Limits};
use balsamchute_inventory::diff;
use balsamchute_inventory::document::{self, Source};

const INVENTORY: &str = r#"
domains: [{name: mids-brum, region: mids}]
services:
- {name: drafting-desk, kind: engine}
- {name: dispatch-board, kind: plain, limits: {concurrency: 9}}
runners:
- {name: dd-1, service: drafting-desk, domain: mids-brum, address: "127.0.0.1:9101", slots: 8, fencing: true}
- {name: db-1, service: dispatch-board, domain: mids-brum, address: 127.0.0.1:9102, slots: 2}
workspaces:
- {name: large-1, homes: 2}
- {name: care-home, weight: 1, limits: {rate: 50, concurrency: 20, queue: 200}}
"#;

const RULES: &str = "
shares: {large-1: 4}
share_total: 5
limits:
  large-1: {queue: 7}
";

fn config() -> Config {
    let sources = [
        Source {
            file: "inventory.yaml",
            text: INVENTORY,
        },
        Source {
            file: "rules.yaml",
            text: RULES,
        },
    ];
    document::parse_sources(&sources).expect("inventory and rules are valid")
}

#[test]
fn inventory_and_rules_combine_into_one_configuration() {
    let config = config();
    let large = config.workspaces[&Workspace::new("large-1").unwrap()];
    let care_home = config.workspaces[&Workspace::new("care-home").unwrap()];
    let runner = &config.runners[&Runner::new("dd-1").unwrap()];
    let board = Service::new("dispatch-board").unwrap();
    assert_eq!(
        (large.weight, large.homes, large.limits.queue),
        (4, 2, Some(7))
    );
    assert_eq!((care_home.weight, care_home.limits.rate), (1, Some(50)));
    assert_eq!((runner.slots, runner.fencing), (8, true));
    assert_eq!(runner.address, "127.0.0.1:9101".parse().unwrap());
    assert_eq!(config.services[&board].kind, Kind::Plain);
    let limits = Limits {
        concurrency: Some(9),
        ..Limits::default()
    };
    assert_eq!(config.service_limits[&board], limits);
}

#[test]
fn canonical_text_parses_to_the_same_configuration() {
    let config = config();
    let text = document::to_yaml(&config);
    let reparsed = document::parse(&text, "canonical").expect("canonical text is valid");
    assert_eq!(reparsed, config);
    assert_eq!(document::to_yaml(&reparsed), text);
}

/// Without quotes, YAML reads some valid names as null, an integer or a boolean
/// and rejects others.
#[test]
fn canonical_text_quotes_names_that_yaml_could_misread() {
    let text = "workspaces: [{name: 'null'}, {name: '12'}, {name: 'true'}, {name: 1e-3.x}, {name: '-'}, {name: '.'}]";
    let config = document::parse(text, "a").expect("the names are valid");
    assert_eq!(config.workspaces.len(), 6);
    assert_eq!(
        document::parse(&document::to_yaml(&config), "b"),
        Ok(config)
    );
}

/// One fault must hide no other: operators fix a file in one pass.
/// A configuration that does not round-trip shows a change that nobody made.
#[test]
fn limits_without_a_value_round_trip() {
    let text =
        "services: [{name: s, kind: engine, limits: {}}]\nworkspaces: [{name: w, limits: {}}]";
    let config = document::parse(text, "a").unwrap();
    let reparsed = document::parse(&document::to_yaml(&config), "b").unwrap();
    assert_eq!(reparsed, config);
}

#[test]
fn every_fault_is_reported_with_its_line_and_name() {
    let text = r#"
domains:
- {name: mids-brum, region: mids, colour: red}
services:
- {name: drafting-desk, kind: engin}
- {name: board, kind: plain}
- {name: board, kind: plain}
runners:
- {name: r-1, service: board, domain: mids-brum, address: "127.0.0.1:1", slots: 1}
- {name: r-2, service: board, domain: mids-brum, address: "127.0.0.1:1", slots: 1}
- {name: r-3, service: nowhere, domain: mids-brum, address: "localhost:2", slots: 1}
- {name: r-4, service: nowhere, domain: far, address: "127.0.0.1:3", slots: 0}
- {name: r-5, service: nowhere, domain: far, address: "127.0.0.1:3", slots: 1, fencing: 3}
- {name: r-6, service: board, domain: mids-brum, address: "127.0.0.1:0", slots: 1}
- {name: r-7, service: board, domain: mids-brum, slots: 1}
workspaces:
- {name: w-1, weight: 0}
- {name: "w 2"}
- {name: w-3, weight: 3, weight: 4}
- {name: w-4, homes: two, limits: {rate: 0}}
- {name: 5}
- nothing
shares: {w-9: 1, w-3: 2}
share_total: 100
limits: []
"#;
    let faults = document::parse(text, "f.yaml").expect_err("the file is invalid");
    let reported: Vec<(u64, &str)> = faults
        .iter()
        .map(|f| (f.line, f.message.as_str()))
        .collect();
    let expected: [(u64, &[&str]); 22] = [
        (3, &["mids-brum", "\"colour\""]),
        (5, &["drafting-desk", "\"engin\""]),
        (7, &["service \"board\"", "f.yaml:6"]),
        (10, &["r-2", "r-1", "127.0.0.1:1"]),
        (11, &["r-3", "localhost:2"]),
        (12, &["r-4", "slots"]),
        (13, &["r-5", "fencing"]),
        (13, &["r-5", "\"nowhere\""]),
        (13, &["r-5", "\"far\""]),
        (14, &["r-6", "127.0.0.1:0"]),
        (15, &["r-7", "\"address\""]),
        (17, &["w-1", "weight"]),
        (18, &["w 2"]),
        (19, &["w-3", "duplicate"]),
        (20, &["w-4", "homes"]),
        (20, &["w-4", "rate"]),
        (21, &["name", "string"]),
        (22, &["workspace", "mapping"]),
        (23, &["w-9"]),
        (23, &["w-3", "duplicate"]),
        (24, &["share_total", "100"]),
        (25, &["limits", "mapping"]),
    ];
    for (line, words) in &expected {
        let matches = |(fault_line, message): &(u64, &str)| {
            fault_line == line && words.iter().all(|w| message.contains(w))
        };
        assert!(
            reported.iter().any(matches),
            "no fault at line {line} that mentions {words:?} in {reported:#?}"
        );
    }
    assert_eq!(reported.len(), expected.len(), "{reported:#?}");
}

/// Guards against a fault without a usable line for syntax errors, a root that is
/// not a mapping, and merge keys. The line may be off by one, because a parser may
/// notice an error on the next line.
#[test]
fn malformed_documents_are_reported_near_the_faulty_line() {
    for (text, line) in [
        ("domains: [\n{name: a\n", 3),
        ("a: b: c", 1),
        ("- 1\n- 2", 1),
        ("x: &a 1\n<<: *a\n", 2),
    ] {
        let faults = document::parse(text, "f.yaml").expect_err(text);
        assert!(faults[0].line.abs_diff(line) <= 1, "{text:?}: {faults:?}");
    }
}

#[test]
fn diff_lists_only_changed_items() {
    let old = config();
    let mut new = config();
    let large = Workspace::new("large-1").unwrap();
    new.workspaces.get_mut(&large).unwrap().weight = 9;
    new.runners.remove(&Runner::new("db-1").unwrap());
    let lines: Vec<String> = diff::compare_configs(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0].starts_with("- runner \"db-1\""), "{lines:?}");
    assert!(
        lines[1].starts_with("~ workspace \"large-1\": weight 4"),
        "{lines:?}"
    );
    assert!(diff::compare_configs(&old, &old).is_empty());
}

#[test]
fn arbitrary_text_never_panics() {
    bolero::check!()
        .with_iterations(3_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let _ = document::parse(&String::from_utf8_lossy(bytes), "fuzz");
        });
}

/// Overwrites single bytes of a valid inventory. What still parses has canonical
/// text that parses to the same configuration.
#[test]
fn damaged_inventories_are_rejected_or_round_trip() {
    bolero::check!()
        .with_iterations(3_000)
        .with_type::<Vec<(u16, u8)>>()
        .for_each(|damage| {
            let mut bytes = INVENTORY.as_bytes().to_vec();
            for (offset, byte) in damage {
                let offset = usize::from(*offset) % bytes.len();
                bytes[offset] = *byte;
            }
            let text = String::from_utf8_lossy(&bytes);
            match document::parse(&text, "fuzz") {
                Ok(config) => {
                    assert_eq!(
                        document::parse(&document::to_yaml(&config), "c"),
                        Ok(config)
                    );
                }
                Err(faults) => assert!(!faults.is_empty()),
            }
        });
}
