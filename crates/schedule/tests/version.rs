//! Inference of the version that began a stream, and writes of what must outlast all routers.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_model::manifest::Backend;
use balsamchute_model::prelude::*;
use balsamchute_schedule::record::Writer;
use balsamchute_schedule::report::Begun;
use balsamchute_schedule::route::{Changes, Record};
use balsamchute_schedule::stream::{Origin, Streams};
use balsamchute_schedule::version::{Set, Versions};

const NOW: Time = Time(1_000_000);
const MAX_AGE: Span = Span(8000);

/// Time in which callers take streams up, whatever the timeout of the route.
const LIFETIME: Span = Span::from_secs(60);

fn service() -> Service {
    Service::new("s").unwrap()
}

fn software(name: &str) -> Software {
    Software::from(name.to_owned())
}

fn set(names: &[&str]) -> Set {
    let versions: BTreeSet<Software> = names.iter().map(|name| software(name)).collect();
    BTreeMap::from([(service(), versions)])
}

/// Lists versions every second from `from` to `until`, each list confirmed.
fn list(versions: &mut Versions, from: u64, until: u64, names: &[&str]) {
    for second in from..=until {
        let now = NOW + Span::from_secs(second);
        versions.confirm(now);
        for name in names {
            versions.record(now, &service(), &software(name));
        }
    }
}

fn sole(versions: &Versions, second: u64) -> Option<String> {
    let now = NOW + Span::from_secs(second);
    let sole = versions.sole(now, &service(), MAX_AGE);
    sole.map(ToString::to_string)
}

/// A router that started after the old version left knows the new one only.
#[test]
fn a_sole_version_is_inferred_only_for_streams_younger_than_the_observation() {
    let mut versions = Versions::default();
    list(&mut versions, 0, 8, &["new"]);
    assert_eq!(sole(&versions, 8), None);
    list(&mut versions, 9, 9, &["new"]);
    assert_eq!(sole(&versions, 9).as_deref(), Some("new"));
}

#[test]
fn a_version_that_left_or_came_back_counts_until_no_stream_is_as_old() {
    let mut versions = Versions::default();
    versions.set_first();
    list(&mut versions, 0, 20, &["old"]);
    list(&mut versions, 21, 22, &["new"]);
    list(&mut versions, 23, 31, &["old"]);
    assert_eq!(sole(&versions, 31), None);
    list(&mut versions, 32, 32, &["old"]);
    assert_eq!(sole(&versions, 32).as_deref(), Some("old"));
}

/// A release may have come and gone while the list of runners was not confirmed.
#[test]
fn a_router_that_was_cut_off_infers_nothing_of_that_time() {
    let mut versions = Versions::default();
    versions.set_first();
    list(&mut versions, 0, 20, &["old"]);
    for second in 20..=30 {
        versions.record(NOW + Span::from_secs(second), &service(), &software("old"));
    }
    assert!(sole(&versions, 23).is_some());
    assert_eq!(sole(&versions, 24), None);
    list(&mut versions, 30, 38, &["old"]);
    assert_eq!(sole(&versions, 38), None);
    list(&mut versions, 39, 39, &["old"]);
    assert!(sole(&versions, 39).is_some());
}

/// The clock does not count the time for which a machine is suspended.
#[test]
fn a_router_that_was_suspended_infers_nothing_of_that_time() {
    let mut versions = Versions::default();
    versions.set_first();
    list(&mut versions, 0, 20, &["old"]);
    versions.record_suspension(Span(2000));
    assert!(sole(&versions, 20).is_some());
    versions.record_suspension(Span(2000));
    assert_eq!(sole(&versions, 20), None);
    list(&mut versions, 20, 28, &["old"]);
    assert_eq!(sole(&versions, 28), None);
    list(&mut versions, 29, 29, &["old"]);
    assert!(sole(&versions, 29).is_some());
}

/// Other routers may list a new version long before the store tells this one.
#[test]
fn a_router_that_no_longer_hears_others_infers_nothing_until_its_list_is_confirmed() {
    let mut versions = Versions::default();
    versions.set_first();
    list(&mut versions, 0, 20, &["old"]);
    versions.record_peer_report(NOW + Span::from_secs(20));
    assert!(sole(&versions, 21).is_some());
    assert_eq!(sole(&versions, 22), None);
    list(&mut versions, 21, 21, &["old"]);
    assert_eq!(sole(&versions, 22), None);
    list(&mut versions, 22, 22, &["old"]);
    assert!(sole(&versions, 24).is_some());
}

#[test]
fn records_show_which_versions_served_before_the_start_and_their_absence_shows_nothing() {
    for (records, expected) in [
        (vec![], None),
        (vec![set(&["new"]), set(&["new"])], Some("new")),
        (vec![set(&["new"]), set(&["old"])], None),
        (vec![set(&["new", "old"])], None),
    ] {
        let mut versions = Versions::default();
        for record in &records {
            versions.merge(NOW, record);
        }
        versions.set_recorded();
        list(&mut versions, 0, 2, &["new"]);
        assert_eq!(sole(&versions, 2).as_deref(), expected, "{records:?}");
    }
    let mut unread = Versions::default();
    list(&mut unread, 0, 2, &["new"]);
    assert_eq!(sole(&unread, 2), None);
}

/// A version that others announce may not be in the records that were read.
#[test]
fn a_router_that_starts_infers_nothing_until_it_hears_others_or_none_for_a_while() {
    let mut versions = Versions::default();
    versions.merge(NOW, &set(&["new"]));
    versions.set_recorded();
    list(&mut versions, 0, 1, &["new"]);
    assert_eq!(sole(&versions, 1), None);
    let mut heard = versions.clone();
    heard.record_peer_report(NOW + Span::from_secs(1));
    assert!(sole(&heard, 1).is_some());
    list(&mut versions, 2, 2, &["new"]);
    assert!(sole(&versions, 2).is_some());
}

/// Without a release, origins are not stored; those of an earlier life are stored again.
#[test]
fn origins_are_stored_only_while_several_versions_serve() {
    let mut streams = Streams::new();
    let origin = Origin {
        service: service(),
        software: software("old"),
    };
    streams
        .versions_mut()
        .record(NOW, &service(), &software("old"));
    streams.record(NOW, 1, origin);
    let earlier = Begun {
        service: service(),
        software: software("new"),
        streams: vec![2],
        age: Span(0),
    };
    streams.merge_own(NOW, std::slice::from_ref(&earlier));
    streams.merge(
        NOW,
        &[Begun {
            streams: vec![3],
            ..earlier
        }],
    );
    assert_eq!(streams.unrecorded(NOW), None);
    assert_eq!(streams.record_streams(&streams.record_versions(NOW), 2), []);
    streams
        .versions_mut()
        .record(NOW, &service(), &software("new"));
    assert_eq!(streams.unrecorded(NOW), Some(1));
    let stored = streams.record_streams(&streams.record_versions(NOW), 2);
    let digests: Vec<u64> = stored.into_iter().flat_map(|begun| begun.streams).collect();
    assert_eq!(digests, [2, 1]);
    assert_eq!(streams.unrecorded(NOW + Span(21_000)), None);
}

#[test]
fn a_record_is_written_at_changes_of_versions_and_while_streams_begin_in_a_release() {
    let mut writer = Writer::new(0.5, 400.0);
    assert!(!writer.is_due(NOW, 8, &set(&["a"]), Some(1)));
    writer.record_write(NOW, set(&["a"]), 0);
    let later = NOW + Span(60_000);
    // A service that lost all its runners is no release.
    assert!(!writer.is_due(later, 8, &Set::new(), None));
    assert!(!writer.is_due(later, 8, &set(&["a"]), None));
    assert!(writer.is_due(later, 8, &set(&["a", "b"]), None));
    assert!(!writer.is_due(later, 20, &set(&["a", "b"]), None));
    assert!(writer.is_due(later + Span(1000), 20, &set(&["a", "b"]), None));
    writer.record_write(later, set(&["a", "b"]), 1);
    assert!(!writer.is_due(later + Span(249), 8, &set(&["a", "b"]), Some(2)));
    assert!(writer.is_due(later + Span(250), 8, &set(&["a", "b"]), Some(2)));
    assert!(!writer.is_due(later + Span(250), 8, &set(&["a", "b"]), Some(1)));
    writer.record_change();
    let changed = later + Span(1000);
    assert!(!writer.is_due(changed, 88, &set(&["a", "b"]), None));
    assert!(!writer.is_due(changed + Span(499), 88, &set(&["a", "b"]), None));
    assert!(writer.is_due(changed + Span(500), 88, &set(&["a", "b"]), None));
    writer.record_failure();
    assert!(!writer.is_due(later + Span(9000), 8, &set(&["a"]), Some(2)));
}

/// A router that reads the records of a large fleet must not drop all those of some routers.
#[test]
fn the_records_of_a_large_fleet_fit_into_one_router() {
    for routers in [1, 8, 88, 195, 350] {
        let mut all = Streams::new();
        for router in 0..routers {
            let mut streams = Streams::new();
            for number in 0..2000_u32 {
                let origin = Origin {
                    service: service(),
                    software: software("new"),
                };
                let stream = u64::from(router) << 32 | u64::from(number);
                streams.record(NOW, stream, origin);
            }
            all.merge(NOW, &streams.record_streams(&set(&["old", "new"]), routers));
        }
        all.expire(NOW);
        for router in 0..routers {
            let newest = u64::from(router) << 32 | 1999;
            assert!(all.origin(newest).is_some(), "{router} of {routers}");
        }
    }
}

/// All routers together must stay below a quarter of the store's write rate.
#[test]
fn large_fleets_write_streams_less_often() {
    for writes_per_s in [400.0, 90.0] {
        let writer = Writer::new(0.0, writes_per_s);
        for routers in [1, 8, 25, 88, 195, 350] {
            let interval_s = writer.interval(routers).0 as f64 / 1000.0;
            let rate = f64::from(routers) / interval_s;
            assert!(rate < writes_per_s / 4.0, "{routers}: {rate}");
        }
        assert!(writer.interval(1) >= Span(250));
    }
}

fn route(services: &[&str]) -> Route {
    Route {
        name: "r".to_owned(),
        backends: services
            .iter()
            .map(|name| Backend {
                service: Service::new(name).unwrap(),
                weight: 1,
            })
            .collect(),
        host: "h".to_owned(),
        prefix: "/r/".to_owned(),
        retry_policy: RetryPolicy::Resumable,
        stream: true,
        timeout: MAX_AGE,
        latency_target: Span(800),
        event_gap_target: Span(200),
        max_attempts: 2,
        public: false,
    }
}

fn manifest(services: &[&str]) -> Manifest {
    Manifest::new(1, vec![route(services)])
}

#[test]
fn a_route_with_two_backends_or_a_new_one_has_no_sole_service() {
    let mut changes = Changes::default();
    assert!(changes.is_sole(NOW, &route(&["s"])));
    assert!(!changes.is_sole(NOW, &route(&["s", "t"])));
    changes.record(NOW, &manifest(&["s"]), &manifest(&["s"]));
    assert!(changes.is_sole(NOW, &route(&["s"])));
    changes.record(NOW, &manifest(&["t"]), &manifest(&["s"]));
    assert!(!changes.is_sole(NOW + LIFETIME, &route(&["s"])));
    assert!(changes.is_sole(NOW + LIFETIME + Span(1), &route(&["s"])));
    // Another route takes over the path of one that is gone.
    let mut longer = route(&["t"]);
    (longer.name, longer.prefix) = ("longer".to_owned(), "/r/x/".to_owned());
    let both = Manifest::new(1, vec![route(&["s"]), longer]);
    let mut changes = Changes::default();
    changes.record(NOW, &both, &manifest(&["s"]));
    assert!(!changes.is_sole(NOW + LIFETIME, &route(&["s"])));
    // Before the start, other routes may have been in force.
    let record = |services: &[&str]| {
        let mut changes = Changes::default();
        changes.start(NOW, &manifest(services));
        changes.set_complete();
        changes.to_record(NOW).unwrap()
    };
    for (records, is_sole) in [
        (vec![], true),
        (vec![record(&["s"])], true),
        (vec![record(&["s"]), record(&["t"])], false),
        (
            vec![Record {
                is_settled: false,
                ..record(&["s"])
            }],
            false,
        ),
        (vec![Record::default()], false),
    ] {
        let mut changes = Changes::default();
        changes.start(NOW, &manifest(&["s"]));
        assert!(!changes.is_sole(NOW, &route(&["s"])));
        records.iter().for_each(|record| changes.merge(*record));
        changes.set_complete();
        assert_eq!(changes.is_sole(NOW, &route(&["s"])), is_sole, "{records:?}");
        assert_eq!(changes.to_record(NOW).unwrap().is_settled, is_sole);
        assert!(changes.is_sole(NOW + LIFETIME + Span(1), &route(&["s"])));
    }
}

/// The caller may wait longer than the timeout, and a lower timeout ends no stream.
#[test]
fn a_stream_may_be_older_than_the_timeout_of_its_route() {
    let long = Manifest::new(
        2,
        vec![Route {
            timeout: Span::from_secs(90),
            ..route(&["s"])
        }],
    );
    let mut changes = Changes::default();
    changes.start(NOW, &manifest(&["s"]));
    assert_eq!(changes.max_stream_age(), LIFETIME);
    changes.record_limit(LIFETIME);
    assert_eq!(changes.max_stream_age(), LIFETIME);
    changes.record(NOW, &manifest(&["s"]), &long);
    changes.record(NOW, &long, &manifest(&["s"]));
    assert_eq!(changes.max_stream_age(), Span::from_secs(90));
    changes.record(NOW, &manifest(&["t"]), &manifest(&["s"]));
    changes.record_limit(LIFETIME + Span(1));
    let limit = Span::from_secs(120);
    assert_eq!(changes.max_stream_age(), limit);
    changes.set_complete();
    assert!(!changes.is_sole(NOW + limit, &route(&["s"])));
    assert!(changes.is_sole(NOW + limit + Span(1), &route(&["s"])));
    // A router that starts later learns of it.
    let mut later = Changes::default();
    later.merge(changes.to_record(NOW).unwrap());
    assert_eq!(later.max_stream_age(), limit);
    changes.record_limit(Span(u64::MAX));
    assert!(changes.max_stream_age() >= Span::from_secs(600));
}

/// The records lack versions that left more than 70 s before they were written.
#[test]
fn records_show_nothing_of_streams_that_are_older_than_what_they_keep() {
    let mut versions = Versions::default();
    versions.merge(NOW, &set(&["new"]));
    versions.set_recorded();
    list(&mut versions, 0, 2, &["new"]);
    let now = NOW + Span::from_secs(2);
    assert!(versions.sole(now, &service(), LIFETIME).is_some());
    let older = Span::from_secs(70);
    assert_eq!(versions.sole(now, &service(), older), None);
    let mut versions = Versions::default();
    versions.record(NOW, &service(), &software("old"));
    assert_eq!(versions.record_set(NOW + older), set(&["old"]));
}

/// Confirms the list of a router, with `old` as its only version, and applies the reports and the
/// view of another one.
fn hear(streams: &mut Streams, now: Time, other: &Streams) {
    let versions = streams.versions_mut();
    versions.confirm(now);
    versions.record_peer_report(now);
    versions.record(now, &service(), &software("old"));
    streams.merge_report(now, &other.recent(now, std::iter::empty()));
    streams.merge(now, &other.all());
    streams.expire(now);
}

/// The first report that a router hears may come seconds after the announcement.
#[test]
fn an_unknown_version_ends_the_inference_at_all_routers_for_as_long_as_a_stream_may_last() {
    for heard_at in [0, 8, 50] {
        let (mut first, mut second, mut third) = <(Streams, Streams, Streams)>::default();
        second.versions_mut().set_first();
        third.versions_mut().set_first();
        let origin = Origin {
            service: service(),
            software: Software::unknown(),
        };
        first.record(NOW, 1, origin);
        for second_number in 0..150 {
            let now = NOW + Span::from_secs(second_number);
            first.expire(now);
            if second_number >= heard_at {
                hear(&mut second, now, &first);
                let relayed = second.clone();
                hear(&mut third, now, &relayed);
                hear(&mut second, now, &third);
            }
            let infers = second.versions().sole(now, &service(), LIFETIME).is_some();
            let is_over = second_number > 61;
            assert_eq!(infers, is_over, "{heard_at} {second_number}");
        }
    }
}
