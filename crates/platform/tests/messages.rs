//! Responses of the platform that are malformed or broken off, and sound ones in each
//! framing.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_platform::client::Object;
use balsamchute_platform::{Client, Error, Settings};
use balsamchute_standin::raw::{self, End};

/// Creates a client of a platform that sends this response.
fn client(response: &str, end: End) -> Client {
    client_of(raw::start(response, end).unwrap())
}

fn client_of(platform: SocketAddr) -> Client {
    let settings = Settings {
        max_retries: 0,
        ..Settings::default()
    };
    Client::new(platform, settings)
}

#[test]
fn an_object_whose_end_only_the_connection_shows_is_not_read() {
    for fields in ["", "transfer-encoding: gzip\r\n"] {
        for end in [End::Close, End::Reset] {
            let response = format!("HTTP/1.1 200 OK\r\nx-version: 3\r\n{fields}\r\nval");
            let client = client(&response, end);
            for object in [client.get("a").map(Some), client.watch("a", 0, Span(1))] {
                assert!(object.is_err(), "{fields:?}, {end:?}: {object:?}");
            }
        }
    }
}

#[test]
fn an_object_with_malformed_framing_is_not_read() {
    for head in ["HTTP/1.0 200 OK", "HTTP/1.1 200 OK\r\ncontent-length: 3"] {
        for end in [End::Close, End::Reset] {
            let response = format!(
                "{head}\r\nx-version: 3\r\ntransfer-encoding: chunked\r\n\r\n3\r\nval\r\n0\r\n\r\n"
            );
            let object = client(&response, end).get("a");
            assert!(object.is_err(), "{head:?}, {end:?}: {object:?}");
        }
    }
}

#[test]
fn an_object_that_breaks_off_is_not_read() {
    for end in [End::Close, End::Reset] {
        for rest in [
            "content-length: 4\r\n\r\nval",
            "transfer-encoding: chunked\r\n\r\n3\r\nval\r\n",
            "transfer-encoding: chunked\r\n\r\n3\r\nval\r\n0\r\n",
        ] {
            let response = format!("HTTP/1.1 200 OK\r\nx-version: 3\r\n{rest}");
            let object = client(&response, end).get("a");
            assert!(object.is_err(), "{rest:?}, {end:?}: {object:?}");
        }
    }
}

#[test]
fn versions_that_contradict_each_other_are_malformed() {
    let response =
        "HTTP/1.1 200 OK\r\nx-version: 3\r\nx-version: 4\r\ncontent-length: 3\r\n\r\nval";
    let client = client(response, End::Open);
    let object = client.get("a");
    assert!(matches!(object, Err(Error::Malformed { .. })), "{object:?}");
    let written = client.put_if("a", 3, b"val");
    assert!(
        matches!(written, Err(Error::ResponseLost { .. })),
        "{written:?}"
    );
}

#[test]
fn a_malformed_response_to_a_write_leaves_its_effect_unknown() {
    for response in [
        "HTTP/1.0 200 OK\r\nx-version: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 409 Conflict\r\nx-version: 3\r\ntransfer-encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-version: 3\r\na b: c\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-version: 3\r\n",
    ] {
        for end in [End::Close, End::Reset] {
            let client = client(response, end);
            let written = client.put_if("a", 2, b"val");
            let is_lost = matches!(written, Err(Error::ResponseLost { .. }));
            assert!(is_lost, "{response:?}, {end:?}: {written:?}");
            let deleted = client.delete("a");
            let is_lost = matches!(deleted, Err(Error::ResponseLost { .. }));
            assert!(is_lost, "{response:?}, {end:?}: {deleted:?}");
        }
    }
}

#[test]
fn sound_objects_of_each_framing_are_read() {
    let object = Object {
        version: 3,
        bytes: b"val".to_vec(),
    };
    for (status, rest) in [
        ("HTTP/1.1 200 OK", "content-length: 3\r\n\r\nval"),
        ("HTTP/1.1 200", "content-length: 3\r\n\r\nval"),
        ("HTTP/1.0 200 OK", "content-length: 3\r\n\r\nval"),
        (
            "HTTP/1.1 200 OK",
            "transfer-encoding: chunked\r\n\r\n2;a=b\r\nva\r\n1\r\nl\r\n0\r\nc: d\r\n\r\n",
        ),
        (
            "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK",
            "content-length: 3\r\n\r\nval",
        ),
    ] {
        let response = format!("{status}\r\nx-version: 3\r\n{rest}");
        for end in [End::Open, End::Close] {
            let client = client(&response, end);
            assert_eq!(client.get("a").unwrap(), object, "{response:?}, {end:?}");
            assert_eq!(client.put_if("a", 2, b"val").unwrap(), 3, "{response:?}");
        }
    }
    let unchanged = client("HTTP/1.1 304 Not Modified\r\n\r\n", End::Open);
    assert_eq!(unchanged.watch("a", 3, Span(1)).unwrap(), None);
}

#[test]
fn lists_show_their_own_end() {
    let list = r#"[{"path":"a","version":3}]"#;
    let whole = client(&format!("HTTP/1.1 200 OK\r\n\r\n{list}"), End::Close);
    assert_eq!(whole.list("a").unwrap().len(), 1);
    for length in 0..list.len() {
        let response = format!("HTTP/1.1 200 OK\r\n\r\n{}", &list[..length]);
        let cut = client(&response, End::Close);
        assert!(cut.list("a").is_err(), "{length}");
        assert!(cut.instances().is_err(), "{length}");
    }
}

// Guards against a second response that is taken for that of the next call on a
// pooled connection.
#[test]
fn bytes_that_follow_a_response_answer_no_other_call() {
    let response = "HTTP/1.1 200 OK\r\nx-version: 3\r\ncontent-length: 3\r\n\r\nval";
    let late = "HTTP/1.1 200 OK\r\nx-version: 9\r\ncontent-length: 3\r\n\r\nold";
    let client = client(&format!("{response}{late}"), End::Open);
    for _ in 0..3 {
        assert_eq!(client.get("a").unwrap().version, 3);
        assert_eq!(client.put_if("a", 2, b"val").unwrap(), 3);
    }
}
