//! Crowds that send bodies.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use crate::crowd::{self, Fixture, MAX_BODY, open, request, status, write_repeated};
use crate::environment::wait_until;

/// Connections of a crowd; their bodies exceed the memory of the router.
const CROWD: usize = 64;

/// Descriptors of the example settings.
const DESCRIPTORS: usize = 4100;

/// Announces a body of the largest size and sends `sent` bytes of it.
fn upload(stream: &mut TcpStream, key: &str, path: &str, sent: usize) -> io::Result<()> {
    let length = format!("Content-Length: {MAX_BODY}\r\n");
    stream.write_all(request(key, "POST", path, &length).as_bytes())?;
    stream.write_all(&vec![b'x'; sent])
}

#[test]
fn stalled_bodies_with_a_length_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        upload(stream, "k1", "/once/x", MAX_BODY - 1)
    });
    fixture.check_beside(crowd);
}

#[test]
fn stalled_bodies_that_arrive_in_pieces_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        let length = format!("Content-Length: {MAX_BODY}\r\n");
        stream.write_all(request("k1", "POST", "/once/x", &length).as_bytes())?;
        let piece = [b'x'; 4001];
        for _ in 0..MAX_BODY / piece.len() {
            stream.write_all(&piece)?;
        }
        Ok(())
    });
    fixture.check_beside(crowd);
}

#[test]
fn stalled_bodies_in_large_chunks_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        let fields = "Transfer-Encoding: chunked\r\n";
        stream.write_all(request("k1", "POST", "/once/x", fields).as_bytes())?;
        let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
        write_repeated(stream, &chunk, chunk.len() * (MAX_BODY / 0x8000))
    });
    fixture.check_beside(crowd);
}

#[test]
fn stalled_bodies_in_small_chunks_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        let fields = "Transfer-Encoding: chunked\r\n";
        stream.write_all(request("k1", "POST", "/once/x", fields).as_bytes())?;
        let chunk = "8\r\n12345678\r\n";
        write_repeated(stream, chunk, chunk.len() * (MAX_BODY / 8))
    });
    fixture.check_beside(crowd);
}

#[test]
fn whole_bodies_that_wait_do_not_exhaust_memory() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        upload(stream, "k1", "/once/x", MAX_BODY)
    });
    fixture.check_beside(crowd);
}

#[test]
fn announced_bodies_over_the_limit_are_not_kept() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        let length = format!("Content-Length: {}\r\n", 16 * MAX_BODY);
        stream.write_all(request("k1", "POST", "/once/x", &length).as_bytes())?;
        write_repeated(stream, "x", 16 * MAX_BODY)
    });
    fixture.check_beside(crowd);
}

#[test]
fn chunked_bodies_over_the_limit_are_not_kept() {
    let fixture = Fixture::start(DESCRIPTORS);
    let barrier = Arc::new(Barrier::new(2 * CROWD));
    let crowd = open(fixture.router.callers, 2 * CROWD, move |stream| {
        let fields = "Transfer-Encoding: chunked\r\n";
        let head = request("k1", "POST", "/once/x", fields);
        let size = format!("{:x}\r\n", 16 * MAX_BODY);
        let begun = stream.write_all(format!("{head}{size}").as_bytes());
        let sent = begun.and_then(|()| write_repeated(stream, "x", MAX_BODY));
        // All bodies are at the limit before the first one exceeds it.
        barrier.wait();
        sent?;
        write_repeated(stream, "x", 15 * MAX_BODY)
    });
    fixture.check_beside(crowd);
}

#[test]
fn bytes_beyond_an_announced_length_are_not_kept() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        let text = request("k1", "POST", "/once/x", "Content-Length: 100\r\n");
        // The connection stays open, so the bytes may be a further request.
        let text = text.replace("Connection: close\r\n", "");
        stream.write_all(text.as_bytes())?;
        write_repeated(stream, "x", 16 * MAX_BODY)
    });
    fixture.check_beside(crowd);
}

/// Neither the body nor a place in the account of memory is for a caller without a key.
#[test]
fn bodies_of_unknown_callers_are_not_kept() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        upload(stream, "none", "/once/x", MAX_BODY - 1)
    });
    fixture.check_beside(crowd);
}

#[test]
fn one_upload_of_the_largest_size_is_served() {
    let fixture = Fixture::start(DESCRIPTORS);
    let mut streams = open(fixture.router.callers, 1, |stream| {
        upload(stream, "k1", "/safe/x", MAX_BODY)
    });
    assert_eq!(status(&mut streams[0]), Some(200));
    let received = &fixture.runner.requests()[0];
    assert!(
        received.ends_with(&"x".repeat(MAX_BODY)),
        "the body is whole"
    );
    fixture.check_beside(streams);
}

/// A body counts once, also while its request waits at a runner.
#[test]
fn uploads_that_fit_the_account_are_all_served() {
    let fixture = Fixture::start(DESCRIPTORS);
    let mut streams = Vec::new();
    for count in 1..=6 {
        streams.extend(open(fixture.router.callers, 1, |stream| {
            upload(stream, "k1", "/once/x", MAX_BODY)
        }));
        wait_until("the runner has the request", || {
            fixture.runner.requests().len() == count
        });
    }
    fixture.release();
    let statuses: Vec<Option<u16>> = streams.iter_mut().map(status).collect();
    assert_eq!(statuses, [Some(200); 6]);
    fixture.check_beside(streams);
}

#[test]
fn uploads_of_one_workspace_leave_memory_to_another() {
    let fixture = Fixture::start(DESCRIPTORS);
    let crowd = open(fixture.router.callers, CROWD, |stream| {
        upload(stream, "k1", "/once/x", MAX_BODY - 1)
    });
    let mut upload = open(fixture.router.callers, 1, |stream| {
        upload(stream, "k2", "/safe/x", MAX_BODY)
    });
    assert_eq!(status(&mut upload[0]), Some(200));
    fixture.check_beside(crowd);
}

/// A caller that sends its whole body before it reads must not lose the answer to a reset.
#[test]
fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let fixture = Fixture::start(DESCRIPTORS);
    let is_sent = Arc::new(AtomicBool::new(false));
    let was_sent = is_sent.clone();
    let mut streams = open(fixture.router.callers, 1, move |stream| {
        let length = format!("Content-Length: {MAX_BODY}\r\n");
        stream.write_all(request("none", "POST", "/once/x", &length).as_bytes())?;
        for _ in 0..32 {
            stream.write_all(&[b'x'; MAX_BODY / 32])?;
            thread::sleep(Duration::from_millis(60));
        }
        was_sent.store(true, Ordering::SeqCst);
        Ok(())
    });
    assert!(is_sent.load(Ordering::SeqCst), "the connection was reset");
    assert_eq!(status(&mut streams[0]), Some(401));
    fixture.check_beside(streams);
}

/// A refusal promises that the request has not run and never will.
#[test]
fn uploads_that_are_refused_do_not_run() {
    let fixture = Fixture::start(DESCRIPTORS);
    fixture.release();
    let mut crowd = open(fixture.router.callers, CROWD, |stream| {
        upload(stream, "k1", "/once/x", MAX_BODY)
    });
    let statuses: Vec<Option<u16>> = crowd.iter_mut().map(crowd::status).collect();
    let served = statuses.iter().filter(|status| **status == Some(200));
    let refused = statuses.iter().flatten().filter(|status| **status != 200);
    assert!(
        refused
            .clone()
            .all(|status| [408, 413, 429, 503].contains(status)),
        "{statuses:?}"
    );
    let promised = refused.count();
    let ran = fixture.runner.requests().len();
    let unknown = CROWD - served.clone().count() - promised;
    assert!(
        (served.clone().count()..=served.count() + unknown).contains(&ran),
        "{ran} ran of {statuses:?}"
    );
    fixture.check_beside(crowd);
}
