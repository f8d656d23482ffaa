//! Checks of responses that arrive in pieces, or in part.

use balsamchute_transport::Check;

const MAX_HEAD_BYTES: usize = 4096;

/// Sound responses whose end does not depend on the end of the connection.
const SOUND: [&str; 7] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbook",
    "HTTP/1.0 200\r\ncontent-length: 4\r\n\r\nbook",
    "HTTP/1.1 204 \r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\ncontent-length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
     3;a=\"b c\"\r\nboo\r\n1;d\r\nk\r\n0;e\r\nf: g\r\nh:\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb",
    "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
];

/// Creates a check after a request.
fn check() -> Check {
    let mut check = Check::new(MAX_HEAD_BYTES);
    check.send();
    check
}

#[test]
fn sound_responses_are_complete_in_whatever_pieces_they_arrive() {
    for response in SOUND {
        for size in 1..=response.len() {
            let mut check = check();
            for piece in response.as_bytes().chunks(size) {
                check.receive(piece).unwrap();
            }
            assert!(check.is_idle(), "{response:?} in pieces of {size}");
            check.finish().unwrap();
        }
    }
}

#[test]
fn a_part_of_a_response_is_not_complete() {
    for response in SOUND {
        for length in 0..response.len() {
            let mut check = check();
            check.receive(&response.as_bytes()[..length]).unwrap();
            assert!(!check.is_idle(), "{length} bytes of {response:?}");
            assert!(check.finish().is_err(), "{length} bytes of {response:?}");
        }
    }
}

#[test]
fn the_end_of_a_connection_completes_a_body_without_another_end() {
    let mut check = check();
    check.receive(b"HTTP/1.1 200 OK\r\n\r\nbook").unwrap();
    assert!(!check.is_idle());
    check.finish().unwrap();
    assert!(!check.is_idle());
}

#[test]
fn a_connection_with_bytes_after_a_response_takes_no_further_request() {
    for response in SOUND {
        let mut check = check();
        check.receive(response.as_bytes()).unwrap();
        check.receive(b"H").unwrap();
        check.send();
        assert!(!check.is_idle());
        let next = check.receive(b"HTTP/1.1 204 No Content\r\n\r\n");
        assert!(next.is_ok() && !check.is_idle());
        assert!(check.finish().is_err());
    }
}

#[test]
fn a_malformed_response_is_refused_in_whatever_pieces_it_arrives() {
    for response in [
        "HTTP/1.1 000 X\r\n\r\n",
        "HTTP/1.1 099 X\r\n\r\n",
        "HTTP/1.1 101 X\r\n\r\n",
        "HTTP/1.1 600 X\r\n\r\n",
        "HTTP/1.1 999 X\r\n\r\n",
        "HTTP/1.1 200 OK\r\na b: c\r\n\r\n",
        "HTTP/1.1 200 OK\r\na\u{0}: c\r\n\r\n",
        "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nab\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 X\r\n\r\n",
    ] {
        for size in 1..=response.len() {
            let mut check = check();
            let mut pieces = response.as_bytes().chunks(size);
            let refused = pieces.any(|piece| check.receive(piece).is_err());
            assert!(refused, "{response:?} in pieces of {size}");
            assert!(check.finish().is_err());
        }
    }
}
