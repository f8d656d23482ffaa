//! Records of versions and streams in a router's object in the store.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_edge::record;
use balsamchute_model::prelude::*;
use balsamchute_schedule::report::Begun;

const NOW: Time = Time(1_000_000);

fn begun() -> Vec<Begun> {
    vec![Begun {
        service: Service::new("s").unwrap(),
        software: Software::from("v1".to_owned()),
        streams: vec![1, u64::MAX],
        age: Span(0),
    }]
}

#[test]
fn versions_are_read_as_they_were_written() {
    let versions = BTreeSet::from(["v1", "v2"].map(|name| Software::from(name.to_owned())));
    let set = BTreeMap::from([(Service::new("s").unwrap(), versions)]);
    let text = record::encode_versions(&set);
    assert_eq!(record::decode_versions(&text).unwrap(), set);
}

/// The clock of the machine that reads may be behind that of the one that wrote, after a step.
#[test]
fn streams_are_read_for_60_s_and_also_by_a_clock_that_is_behind() {
    let text = record::encode_streams(NOW, &begun());
    for (read_at, expected) in [
        (NOW + Span(60_000), begun()),
        (NOW - Span(5000), begun()),
        (NOW + Span(60_001), vec![]),
    ] {
        assert_eq!(record::decode_streams(read_at, &text).unwrap(), expected);
    }
    assert_eq!(record::encode_streams(NOW, &[]), "");
    assert_eq!(record::decode_streams(NOW, "").unwrap(), []);
}

/// Taken as empty, a damaged record would seem to show that no other version served.
#[test]
fn damaged_records_are_errors() {
    let streams = record::encode_streams(NOW, &begun());
    for text in ["x", "0", "zz", "c1", "é0", &streams[2..], &streams[..20]] {
        assert!(record::decode_versions(text).is_err(), "{text}");
        assert!(record::decode_streams(NOW, text).is_err(), "{text}");
    }
    assert!(record::decode_versions("").is_err());
}
