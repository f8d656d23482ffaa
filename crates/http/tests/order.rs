//! Order of the ids in event streams.

use balsamchute_http::event::{Gap, Kind, Splitter};
use balsamchute_http::framing::Framing;

/// Encodes events with these ids.
fn events(ids: &[u64]) -> String {
    let events = ids.iter().map(|id| format!("id: {id}\ndata: {id}\n\n"));
    events.collect()
}

/// Returns the first gap of a part.
fn gap(splitter: &mut Splitter, text: &str) -> Option<Gap> {
    splitter.push(text.as_bytes(), &mut Vec::new()).unwrap().gap
}

/// Returns the gap of an event that follows three with ids that rise by `step`, in the same
/// part or in the next one.
fn gap_after_three(step: u64, id: u64, is_resumed: bool) -> Option<(Kind, u64)> {
    let mut splitter = Splitter::new();
    assert_eq!(
        gap(&mut splitter, &events(&[step, 2 * step, 3 * step])),
        None
    );
    if is_resumed {
        splitter.start_part();
    }
    gap(&mut splitter, &events(&[id])).map(|gap| (gap.kind, gap.expected))
}

#[test]
fn an_id_that_does_not_follow_the_last_one_is_a_gap_in_the_same_part_and_the_next() {
    for is_resumed in [false, true] {
        let gap = |step, id| gap_after_three(step, id, is_resumed);
        assert_eq!(gap(1, 4), None);
        assert_eq!(gap(1, 5), Some((Kind::Missing, 4)));
        assert_eq!(gap(1, 3), Some((Kind::Repeated, 4)));
        assert_eq!(gap(1, 1), Some((Kind::Repeated, 4)));
        assert_eq!(gap(5, 20), None);
        assert_eq!(gap(5, 18), None);
        assert_eq!(gap(5, 21), Some((Kind::Missing, 20)));
    }
}

#[test]
fn a_resumed_part_that_skips_an_event_is_refused_if_ids_begin_at_0_or_1() {
    for first in [0, 1] {
        let mut splitter = Splitter::new();
        let ids: Vec<u64> = (first..first + 4).collect();
        assert_eq!(gap(&mut splitter, &events(&ids)), None);
        splitter.start_part();
        let found = gap(&mut splitter, &events(&[first + 5]));
        assert!(found.is_some_and(|gap| gap.is_refused), "{first}");
    }
}

/// The protocol only demands that ids increase.
#[test]
fn ids_without_a_regular_step_have_no_gap_within_a_part() {
    for ids in [&[1, 6, 11, 16][..], &[7, 9, 10, 14], &[0, 1, 3]] {
        assert_eq!(gap(&mut Splitter::new(), &events(ids)), None, "{ids:?}");
    }
}

#[test]
fn a_stream_that_a_caller_takes_up_is_expected_to_go_on_after_its_last_event() {
    for (id, kind) in [
        (12, Some(Kind::Repeated)),
        (13, None),
        (14, Some(Kind::Missing)),
    ] {
        let mut splitter = Splitter::with_last_event_id(Some(12));
        let found = gap(&mut splitter, &events(&[id]));
        assert_eq!(found.map(|gap| gap.kind), kind);
    }
}

/// The events after it may belong to another run.
#[test]
fn an_event_that_is_not_after_the_last_one_ends_its_part() {
    for id in [1, 3] {
        let mut splitter = Splitter::new();
        let mut out = Vec::new();
        let text = events(&[1, 2, 3, id, 4]);
        let progress = splitter.push(text.as_bytes(), &mut out).unwrap();
        assert!(progress.is_refused());
        assert_eq!(out, events(&[1, 2, 3]).as_bytes());
        splitter.push(events(&[4]).as_bytes(), &mut out).unwrap();
        assert_eq!(
            (out.len(), splitter.last_event_id()),
            (text.len() * 3 / 5, Some(3))
        );
        assert!(!splitter.is_complete(Framing::Chunked));
        splitter.start_part();
        let progress = splitter.push(events(&[4]).as_bytes(), &mut out).unwrap();
        assert!(!progress.is_refused() && splitter.is_complete(Framing::Chunked));
    }
}

/// The step of the ids shows at the seam of two parts that an event is missing. Within a
/// part the protocol allows any step.
#[test]
fn a_part_that_begins_after_the_next_id_is_refused() {
    let refusal = |first: &[u64], is_resumed, id| {
        let mut splitter = Splitter::new();
        gap(&mut splitter, &events(first));
        if is_resumed {
            splitter.start_part();
        }
        gap(&mut splitter, &events(&[id])).map(|gap| gap.is_refused)
    };
    assert_eq!(refusal(&[1, 2, 3], true, 4), None);
    assert_eq!(refusal(&[1, 2, 3], true, 5), Some(true));
    assert_eq!(refusal(&[5, 10], true, 16), Some(true));
    assert_eq!(refusal(&[1, 2, 3], false, 5), Some(false));
    assert_eq!(refusal(&[1], true, 3), Some(false));
    assert_eq!(refusal(&[1, 6, 11], true, 17), Some(false));
}

/// Without such evidence a part that ends before any event is complete: the one before may
/// have broken off between the last event and the end.
#[test]
fn a_part_without_an_event_is_not_complete_if_an_event_is_known_to_follow() {
    let is_complete = |rest: &str| {
        let mut splitter = Splitter::new();
        gap(&mut splitter, &(events(&[1, 2]) + rest));
        // Two parts without any event follow.
        splitter.start_part();
        splitter.start_part();
        splitter.is_complete(Framing::Chunked)
    };
    assert!(is_complete(""));
    assert!(is_complete(": comment\n"));
    assert!(!is_complete("i"));
    assert!(!is_complete("id: 3\ndata"));
    let mut splitter = Splitter::new();
    gap(&mut splitter, &events(&[1, 2]));
    splitter.start_part();
    assert!(gap(&mut splitter, &events(&[4])).is_some_and(|gap| gap.is_refused));
    splitter.start_part();
    assert!(!splitter.is_complete(Framing::Chunked));
    gap(&mut splitter, &events(&[3]));
    assert!(splitter.is_complete(Framing::Chunked));
}

#[test]
fn a_part_that_skips_the_event_in_which_the_last_one_broke_off_is_refused() {
    let refusal = |first: &str, id| {
        let mut splitter = Splitter::new();
        gap(&mut splitter, first);
        splitter.start_part();
        // The next part breaks off before its first event.
        gap(&mut splitter, "data: a");
        splitter.start_part();
        gap(&mut splitter, &events(&[id])).map(|gap| gap.is_refused)
    };
    for first in [
        "id: 7\n",
        "id: 7\r\ndata: a\n",
        "id: 2\ndata\n\nid: 7\ndata: id: 9",
    ] {
        assert_eq!(refusal(first, 7), None, "{first}");
        assert_eq!(refusal(first, 8), Some(true), "{first}");
    }
    // The number may go on.
    assert_eq!(refusal("id: 7", 71), None);
}

/// A wrong id leads to a wrong `Last-Event-Id`. As in the HTML standard, the last `id` field
/// of an event counts; comments and other fields may stand anywhere.
#[test]
fn the_id_of_an_event_does_not_depend_on_its_form_and_fragments() {
    let cases = [
        ("id: 4\r\ndata: a\r\n\r\n", Some(4)),
        ("id:4\ndata: a\n\n", Some(4)),
        (": id: 9\nx-v: 2\ndata: id: 9\nid: 4\n\n", Some(4)),
        (": comment\n\nid: 4\n\n: comment\n\n", Some(4)),
        ("id: 9\nid: 4\ndata: a\n\n", Some(4)),
        ("id: 4\nid: x\ndata: a\n\n", None),
        ("id: 9\nid\ndata: a\n\n", None),
        ("id: +4\ndata: a\n\n", None),
        ("id: 18446744073709551615\n\n", Some(u64::MAX)),
        ("id: 18446744073709551616\ndata: a\n\n", None),
    ];
    for (text, id) in cases {
        let (mut splitter, mut out) = (Splitter::new(), Vec::new());
        for byte in text.as_bytes() {
            splitter.push(&[*byte], &mut out).unwrap();
        }
        let found = splitter.last_event_id();
        assert_eq!((found, splitter.event_count()), (id, 1), "{text:?}");
        assert_eq!(splitter.is_resumable(), id.is_some(), "{text:?}");
        assert_eq!(out, text.as_bytes());
    }
}

#[test]
fn events_before_an_incomplete_event_beyond_the_limit_are_passed_on() {
    let (mut splitter, mut out) = (Splitter::new(), Vec::new());
    let text = events(&[1]) + "id: 2\ndata: " + &"x".repeat(300_000);
    let pushed = splitter.push(text.as_bytes(), &mut out);
    assert_eq!(pushed.map(|progress| progress.events), Ok(1));
    assert_eq!(out, events(&[1]).as_bytes());
    assert!(splitter.push(b"x", &mut out).is_err());
}
