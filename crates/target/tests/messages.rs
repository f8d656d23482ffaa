//! Calls of targets whose responses are malformed or broken off, and sound ones in each
//! framing.

use balsamchute_base::prelude::*;
use balsamchute_standin::raw::{self, End};
use balsamchute_target::engine::{self, Generation, Order};
use balsamchute_target::plain::{self, Call};
use balsamchute_target::{Error, Settings};

/// Calls a plain service that sends this response.
fn call(response: &str, end: End) -> Result<String, Error> {
    let target = raw::start(response, end).unwrap();
    let call = Call {
        attempt: &Attempt::new("a").unwrap(),
        workspace: &Workspace::new("w").unwrap(),
        request: &Request::new("r").unwrap(),
        key: Some(&Key::new("k").unwrap()),
        fence: None,
        body: b"{}",
        timeout: Span::from_secs(60),
    };
    let answer = plain::Client::new(Settings::default()).call(target, &call)?;
    Ok(String::from_utf8(answer).unwrap())
}

/// Exports the cache state of an engine that sends this response.
fn export(response: &str, end: End) -> Result<Vec<u8>, Error> {
    let target = raw::start(response, end).unwrap();
    engine::Client::new(Settings::default()).export(target, "p")
}

fn engine_client() -> engine::Client {
    engine::Client::new(Settings::default())
}

#[test]
fn an_answer_whose_end_only_the_connection_shows_may_have_run() {
    for fields in [
        "",
        "transfer-encoding: gzip\r\n",
        "transfer-encoding: identity\r\n",
        "transfer-encoding: chunked, gzip, x\r\ncontent-length: 9\r\n",
    ] {
        for end in [End::Close, End::Reset] {
            let answer = call(&format!("HTTP/1.1 200 OK\r\n{fields}\r\nbook"), end);
            let is_lost = matches!(answer, Err(Error::MayHaveRun { .. }));
            assert!(is_lost, "{fields:?}, {end:?}: {answer:?}");
        }
    }
}

#[test]
fn an_answer_of_http_1_0_in_chunks_may_have_run() {
    for end in [End::Close, End::Reset] {
        let response =
            "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n\r\n";
        let answer = call(response, end);
        let is_lost = matches!(answer, Err(Error::MayHaveRun { .. }));
        assert!(is_lost, "{end:?}: {answer:?}");
    }
}

#[test]
fn an_answer_that_breaks_off_may_have_run() {
    for end in [End::Close, End::Reset] {
        for rest in [
            "content-length: 5\r\n\r\nbook",
            "transfer-encoding: chunked\r\n\r\n",
            "transfer-encoding: chunked\r\n\r\n4\r\nbo",
            "transfer-encoding: chunked\r\n\r\n4\r\nbook\r\n",
            "transfer-encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n",
            "transfer-encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\na: b\r\n",
            "content-len",
        ] {
            let answer = call(&format!("HTTP/1.1 200 OK\r\n{rest}"), end);
            let is_lost = matches!(answer, Err(Error::MayHaveRun { .. }));
            assert!(is_lost, "{rest:?}, {end:?}: {answer:?}");
        }
    }
}

#[test]
fn an_answer_with_malformed_framing_may_have_run() {
    for rest in [
        "content-length: 4\r\ncontent-length: 4\r\n\r\nbook",
        "content-length: 4, 4\r\n\r\nbook",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n+4\r\nbook\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n 4\r\nbook\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\nbooks\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n4;a\u{1}\r\nbook\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\na b: c\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\na\u{1}: c\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\na\r\n\r\n",
    ] {
        let answer = call(&format!("HTTP/1.1 200 OK\r\n{rest}"), End::Open);
        let is_lost = matches!(answer, Err(Error::MayHaveRun { .. }));
        assert!(is_lost, "{rest:?}: {answer:?}");
    }
}

#[test]
fn a_response_with_an_invalid_status_or_field_does_not_attest_that_a_call_did_not_run() {
    let heads = [
        "000", "001", "099", "101", "600", "999", "20", "2000", "2 0",
    ]
    .map(|status| format!("HTTP/1.1 {status} X\r\n"));
    let fields = [
        ": v",
        "a b: v",
        "a\tb: v",
        "a\u{1}b: v",
        "a\u{7f}: v",
        "a",
        "a : v",
    ]
    .map(|field| format!("HTTP/1.1 503 X\r\n{field}\r\n"));
    for head in heads.iter().chain(&fields) {
        let response = format!("{head}x-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        let error = call(&response, End::Open).unwrap_err();
        assert!(
            matches!(error, Error::MayHaveRun { .. }),
            "{head:?}: {error:?}"
        );
        let target = raw::start(response.clone(), End::Open).unwrap();
        let error = engine_client().load_report(target).unwrap_err();
        assert!(
            matches!(error, Error::MayHaveRun { .. }),
            "{head:?}: {error:?}"
        );
    }
}

#[test]
fn fields_that_contradict_each_other_do_not_attest_that_a_call_did_not_run() {
    let response = "HTTP/1.1 503 X\r\nx-not-run: 1\r\nx-not-run: 0\r\ncontent-length: 0\r\n\r\n";
    let error = call(response, End::Open).unwrap_err();
    assert!(error.may_have_run(), "{error:?}");
}

#[test]
fn cache_state_whose_end_only_the_connection_shows_is_not_exported() {
    for end in [End::Close, End::Reset] {
        let state = export("HTTP/1.1 200 OK\r\n\r\nstat", end);
        assert!(state.is_err(), "{end:?}: {state:?}");
    }
}

#[test]
fn sound_answers_of_each_framing_are_complete() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbook",
        "HTTP/1.1 200\r\ncontent-length: 4\r\n\r\nbook",
        "HTTP/1.1 200 \r\ncontent-length: 4\r\n\r\nbook",
        "HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nbook",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n\
         3;a=b\r\nboo\r\n1;c=\"d\"\r\nk\r\n0;e\r\na: b\r\nc: d\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbook",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n\
         HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbook",
    ] {
        for end in [End::Open, End::Close] {
            assert_eq!(
                call(response, end).as_deref(),
                Ok("book"),
                "{response:?}, {end:?}"
            );
            assert_eq!(
                export(response, end).as_deref(),
                Ok(&b"book"[..]),
                "{response:?}"
            );
        }
    }
}

#[test]
fn reports_and_streams_that_show_their_own_end_are_read_to_the_end_of_the_connection() {
    let report = r#"{"incarnation":1,"running":0,"slots":1,"age_ms":0}"#;
    let target = raw::start(format!("HTTP/1.1 200 OK\r\n\r\n{report}"), End::Close).unwrap();
    assert_eq!(engine_client().load_report(target).unwrap().slots, 1);
    let cut = &report[..report.len() - 1];
    let target = raw::start(format!("HTTP/1.1 200 OK\r\n\r\n{cut}"), End::Close).unwrap();
    assert!(engine_client().load_report(target).is_err());

    let lines = "{\"index\":0,\"text\":\"a\"}\n{\"done\":true,\"tokens\":1}\n";
    let target = raw::start(format!("HTTP/1.1 200 OK\r\n\r\n{lines}"), End::Close).unwrap();
    let generation = Generation {
        attempt: &Attempt::new("a").unwrap(),
        workspace: &Workspace::new("w").unwrap(),
        request: &Request::new("r").unwrap(),
        key: None,
        prefix: None,
        fence: None,
        prompt: "{}",
    };
    let stream = engine_client().generate(target, &generation).unwrap();
    assert!(stream.last().unwrap().is_ok());
}

#[test]
fn an_order_without_a_sound_response_may_have_run() {
    for (response, end) in [
        ("HTTP/1.1 999 X\r\ncontent-length: 0\r\n\r\n", End::Open),
        ("HTTP/1.1 200", End::Close),
        ("HTTP/1.1 200 OK\r\n", End::Reset),
        (
            "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            End::Close,
        ),
    ] {
        let target = raw::start(response, end).unwrap();
        let order = Order::Load("m".to_owned());
        let error = engine_client().order(target, 1, &order).unwrap_err();
        assert!(
            matches!(error, Error::MayHaveRun { .. }),
            "{response:?}: {error:?}"
        );
    }
}

// Guards against a second response that is taken for that of the next call on a
// pooled connection.
#[test]
fn bytes_that_follow_a_response_answer_no_other_call() {
    let report = r#"{"incarnation":1,"running":0,"slots":1,"age_ms":0}"#;
    let length = report.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{report}");
    let target = raw::start(response.repeat(2), End::Open).unwrap();
    let client = engine_client();
    for _ in 0..3 {
        assert_eq!(client.load_report(target).unwrap().slots, 1);
        let events = client.cache_events(target, 0);
        assert!(matches!(events, Err(Error::Malformed { .. })), "{events:?}");
    }
}
