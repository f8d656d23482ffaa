//! Heads and framing: what is read, and what is refused.

use balsamchute_http::Error;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::{Request, Response};

const LIMIT: usize = 1024;

fn request(text: &str) -> Request {
    let parsed = Request::parse(text.as_bytes(), LIMIT).unwrap();
    parsed.expect("the head is whole").0
}

fn response(text: &str) -> Response {
    let parsed = Response::parse(text.as_bytes(), LIMIT).unwrap();
    parsed.expect("the head is whole").0
}

#[test]
fn a_head_is_read_once_its_end_has_come() {
    let text = b"GET /a/b?x=1&y=2 HTTP/1.1\r\nHost: h\r\n\r\nrest";
    for end in 0..text.len() - 4 {
        assert_eq!(Request::parse(&text[..end], LIMIT).unwrap(), None);
    }
    let (head, length) = Request::parse(text, LIMIT).unwrap().unwrap();
    assert_eq!(&text[length..], b"rest");
    assert_eq!((head.path(), head.query("y")), ("/a/b", Some("2")));
    assert!(head.keeps_open());
}

#[test]
fn a_head_over_the_limit_is_refused_before_its_end() {
    let text = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(LIMIT));
    let error = Request::parse(text.as_bytes(), LIMIT).unwrap_err();
    assert_eq!(error, Error::HeadTooLong(LIMIT));
}

#[test]
fn messages_that_could_be_framed_in_two_ways_are_refused() {
    let refused = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Host: a\r\nHost: b",
    ];
    for fields in refused {
        let head = request(&format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n"));
        assert!(Framing::of_request(&head).is_err(), "{fields}");
    }
}

#[test]
fn bodies_are_framed_as_their_heads_say() {
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
fn arbitrary_heads_are_refused_or_read_but_never_panic() {
    bolero::check!()
        .with_iterations(1_000)
        .for_each(|bytes: &[u8]| {
            if let Ok(Some((head, length))) = Request::parse(bytes, LIMIT) {
                assert!(length <= bytes.len());
                let _ = Framing::of_request(&head);
            }
            if let Ok(Some((head, _))) = Response::parse(bytes, LIMIT) {
                let _ = Framing::of_response(&head, "GET");
            }
        });
}
