//! Which log lines are written, and how.

use balsamchute_edge::allowance::Allowance;
use balsamchute_edge::line::{Format, Line};
use balsamchute_model::prelude::*;

const NOW: Time = Time(1_000_000);

const LINE: &str = "at=1000 instance=front-1 level=info part=request event=refused \
    request=0012 cost=21479 reason=\"no runner\"";

#[test]
fn each_refused_request_keeps_its_line_however_many_there_are() {
    let mut allowance = Allowance::new();
    for _ in 0..5000 {
        let written = allowance.take(NOW, false, "event=refused request=a");
        assert_eq!(written, Some(0));
    }
    let written = allowance.take(NOW, false, "event=send request=b");
    assert_eq!(written, Some(0), "refusals leave room for other events");
}

#[test]
fn lines_left_out_are_counted_in_the_next_window() {
    let mut allowance = Allowance::new();
    let written = (0..1500).filter(|_| allowance.take(NOW, false, "event=send").is_some());
    assert_eq!(written.count(), 1000);
    assert_eq!(allowance.take(NOW, true, "event=send"), Some(0));
    let later = NOW + Span(1000);
    assert_eq!(allowance.take(later, false, "event=send"), Some(500));
    assert_eq!(allowance.take(later, false, "event=send"), Some(0));
}

#[test]
fn both_formats_are_read_as_the_same_line() {
    let json = Format::Json.render(LINE);
    assert!(json.contains("\"cost\":21479"), "{json}");
    let (from_json, from_logfmt) = (Line::parse(&json), Line::parse(LINE).unwrap());
    let mut from_json = from_json.unwrap();
    assert_eq!(from_json.get("reason"), Some("no runner"));
    let mut from_logfmt = from_logfmt;
    from_json.fields.sort();
    from_logfmt.fields.sort();
    assert_eq!(from_json, from_logfmt);
}

#[test]
fn a_json_line_cut_short_is_no_line() {
    let json = Format::Json.render(LINE);
    assert_eq!(Line::parse(&json[..json.len() - 3]), None);
}

#[test]
fn an_unknown_format_is_named() {
    let error = "xml".parse::<Format>().unwrap_err();
    assert_eq!(
        error,
        "log format \"xml\" is neither \"logfmt\" nor \"json\""
    );
}
