//! Parsing of message heads, and rejection of ambiguous framing.

use balsamchute_http::Error;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::{Request, Response};

const HEAD_LIMIT_BYTES: usize = 1024;

fn request(text: &str) -> Request {
    let parsed = Request::parse(text.as_bytes(), HEAD_LIMIT_BYTES).unwrap();
    parsed.expect("the head is complete").0
}

fn response(text: &str) -> Response {
    let parsed = Response::parse(text.as_bytes(), HEAD_LIMIT_BYTES).unwrap();
    parsed.expect("the head is complete").0
}

#[test]
fn a_head_is_parsed_once_complete_and_its_target_is_split() {
    let text = b"GET /a/b?x=1&y=2 HTTP/1.1\r\nHost: h\r\n\r\nrest";
    for end in 0..text.len() - 4 {
        assert_eq!(
            Request::parse(&text[..end], HEAD_LIMIT_BYTES).unwrap(),
            None
        );
    }
    let (head, length) = Request::parse(text, HEAD_LIMIT_BYTES).unwrap().unwrap();
    assert_eq!(&text[length..], b"rest");
    assert_eq!((head.path(), head.query("y")), ("/a/b", Some("2")));
    assert!(head.is_keep_alive());
}

#[test]
fn an_incomplete_head_over_the_limit_is_rejected() {
    let text = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(HEAD_LIMIT_BYTES));
    let error = Request::parse(text.as_bytes(), HEAD_LIMIT_BYTES).unwrap_err();
    assert_eq!(error, Error::HeadTooLong(HEAD_LIMIT_BYTES));
}

/// Lines that no head may have.
const MALFORMED_LINES: [&str; 18] = [
    "A B: c",
    "A\tB: c",
    "A\u{1}: c",
    "A\u{7f}: c",
    "A\0: c",
    "A\r: c",
    "A(: c",
    "\u{e4}: c",
    "A",
    ": c",
    "A : c",
    "Content-Length : 4",
    " A: c",
    "\tfolded",
    "A: b\0",
    "A: b\rc",
    "A: b\u{1}",
    "A: b\u{7f}",
];

#[test]
fn a_malformed_line_in_a_head_is_rejected() {
    for line in MALFORMED_LINES {
        for fields in [
            format!("{line}\r\nHost: h"),
            format!("Host: h\r\n{line}"),
            format!("Host: h\r\n{line}\r\nContent-Length: 4"),
        ] {
            let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n");
            let parsed = Response::parse(head.as_bytes(), HEAD_LIMIT_BYTES);
            assert!(parsed.is_err(), "{fields:?}");
            let head = format!("GET / HTTP/1.1\r\n{fields}\r\n\r\n");
            let parsed = Request::parse(head.as_bytes(), HEAD_LIMIT_BYTES);
            assert!(parsed.is_err(), "{fields:?}");
        }
    }
}

#[test]
fn a_malformed_status_line_is_rejected() {
    for line in [
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 O\u{7f}K",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2 0 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/2.0 200 OK",
    ] {
        let head = format!("{line}\r\nContent-Length: 4\r\n\r\n");
        let parsed = Response::parse(head.as_bytes(), HEAD_LIMIT_BYTES);
        assert!(parsed.is_err(), "{line:?}");
    }
}

#[test]
fn a_status_that_is_not_in_100_to_599_is_rejected() {
    let parse = |status: &str| {
        let head = format!("HTTP/1.1 {status} X\r\n\r\n");
        let parsed = Response::parse(head.as_bytes(), HEAD_LIMIT_BYTES)?;
        Ok(parsed.map(|(head, _)| head.status))
    };
    for (text, status) in [
        ("000", 0),
        ("001", 1),
        ("099", 99),
        ("600", 600),
        ("999", 999),
    ] {
        assert_eq!(parse(text), Err(Error::Status(status)));
    }
    for (text, status) in [("100", 100), ("200", 200), ("250", 250), ("599", 599)] {
        assert_eq!(parse(text), Ok(Some(status)));
    }
    let error = Error::Status(0).to_string();
    assert_eq!(error, "status 000 is not in the range from 100 to 599");
}

#[test]
fn interim_responses_are_skipped_within_the_limit() {
    let parse = |text: &str, limit| {
        let parsed = Response::parse_final(text.as_bytes(), limit)?;
        Ok(parsed.map(|(head, length)| (head.status, length)))
    };
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
    let text = format!("{interim}HTTP/1.1 200 OK\r\n\r\n");
    for end in 0..text.len() {
        assert_eq!(parse(&text[..end], text.len()), Ok(None));
    }
    assert_eq!(parse(&text, text.len()), Ok(Some((200, text.len()))));
    let limit = text.len() - 1;
    assert_eq!(parse(&text, limit), Err(Error::HeadTooLong(limit)));
    let endless = interim.repeat(100);
    assert_eq!(parse(&endless, 1000), Err(Error::HeadTooLong(1000)));
    assert!(parse(&format!("{interim}HTTP/1.1 600 X\r\n\r\n"), 1000).is_err());
}

#[test]
fn a_change_of_the_protocol_is_rejected() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let upgrade = "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n";
    let rest = "HTTP/1.1 200 OK\r\n\r\n";
    for text in [format!("{upgrade}{rest}"), format!("{interim}{upgrade}")] {
        let parsed = Response::parse_final(text.as_bytes(), HEAD_LIMIT_BYTES);
        assert_eq!(parsed, Err(Error::Upgrade), "{text}");
    }
}

#[test]
fn a_reason_phrase_may_be_missing() {
    for line in ["HTTP/1.1 200", "HTTP/1.1 200 "] {
        let head = response(&format!("{line}\r\nContent-Length: 4\r\n\r\n"));
        assert_eq!((head.status, head.reason.as_str()), (200, ""), "{line:?}");
    }
}

#[test]
fn ambiguous_framing_is_rejected() {
    let ambiguous = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Host: a\r\nHost: b",
    ];
    for fields in ambiguous {
        let head = request(&format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n"));
        assert!(Framing::of_request(&head).is_err(), "{fields}");
    }
}

#[test]
fn a_transfer_coding_of_http_1_0_is_rejected() {
    for fields in [
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
    ] {
        let head = request(&format!("POST / HTTP/1.0\r\n{fields}\r\n\r\n"));
        assert_eq!(Framing::of_request(&head), Err(Error::CodingVersion));
        for method in ["GET", "HEAD"] {
            let head = response(&format!("HTTP/1.0 200 OK\r\n{fields}\r\n\r\n"));
            let framing = Framing::of_response(&head, method);
            assert_eq!(framing, Err(Error::CodingVersion));
        }
    }
    let head = response("HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n");
    assert_eq!(Framing::of_response(&head, "GET"), Ok(Framing::Length(3)));
}

#[test]
fn framing_depends_on_fields_method_and_status() {
    let head = request("POST / HTTP/1.1\r\nContent-Length: 12\r\n\r\n");
    assert_eq!(Framing::of_request(&head), Ok(Framing::Length(12)));
    let head = request("GET / HTTP/1.1\r\n\r\n");
    assert_eq!(Framing::of_request(&head), Ok(Framing::Length(0)));
    let head = response("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(Framing::of_response(&head, "GET"), Ok(Framing::UntilClose));
    assert_eq!(Framing::of_response(&head, "HEAD"), Ok(Framing::Length(0)));
    let head = response("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(Framing::of_response(&head, "GET"), Ok(Framing::Length(0)));
}

#[test]
fn parsing_arbitrary_heads_does_not_panic() {
    bolero::check!()
        .with_iterations(1_000)
        .for_each(|bytes: &[u8]| {
            if let Ok(Some((head, length))) = Request::parse(bytes, HEAD_LIMIT_BYTES) {
                assert!(length <= bytes.len());
                let _ = Framing::of_request(&head);
            }
            if let Ok(Some((head, _))) = Response::parse(bytes, HEAD_LIMIT_BYTES) {
                let _ = Framing::of_response(&head, "GET");
            }
        });
}
