//! Calls to targets that close connections when they are used again, or answer twice.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_target::engine::{self, Generation};
use balsamchute_target::plain::{Call, Client};
use balsamchute_target::stream::Event;
use balsamchute_target::{Error, Settings};

/// Serves the first request of each connection and closes it on the second.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for connection in listener.incoming() {
            thread::spawn(move || {
                let connection = connection.unwrap();
                let mut reader = BufReader::new(&connection);
                read_request(&mut reader);
                let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                (&connection).write_all(response.as_bytes()).unwrap();
                read_request(&mut reader);
            });
        }
    });
    address
}

/// Reads a request. Returns whether there was one.
fn read_request(reader: &mut BufReader<&TcpStream>) -> bool {
    let (mut line, mut length) = (String::new(), 0);
    while reader.read_line(&mut line).unwrap_or(0) > 2 {
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().unwrap();
        }
        line.clear();
    }
    io::copy(&mut reader.take(length), &mut io::sink()).unwrap();
    !line.is_empty()
}

/// Answers each request with a token whose text is the number of the request. Before it
/// answers a further request of a connection, it repeats its last answer.
fn start_stutterer() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let number = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for connection in listener.incoming() {
            let number = Arc::clone(&number);
            thread::spawn(move || {
                let connection = connection.unwrap();
                let mut reader = BufReader::new(&connection);
                let mut last = String::new();
                while read_request(&mut reader) {
                    let answer = lines(number.fetch_add(1, Ordering::Relaxed));
                    let length = answer.len();
                    let response =
                        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{answer}");
                    (&connection)
                        .write_all((last + &response).as_bytes())
                        .unwrap();
                    last = response;
                }
            });
        }
    });
    address
}

/// Returns the lines of an answer of one token.
fn lines(number: u64) -> String {
    format!("{{\"index\":0,\"text\":\"{number}\"}}\n{{\"done\":true,\"tokens\":1}}\n")
}

fn call(client: &Client, target: SocketAddr, key: Option<&Key>) -> Result<Vec<u8>, Error> {
    let call = Call {
        attempt: &Attempt::new("a").unwrap(),
        workspace: &Workspace::new("w").unwrap(),
        request: &Request::new("r").unwrap(),
        key,
        fence: None,
        body: b"",
        timeout: Span::from_secs(60),
    };
    client.call(target, &call)
}

// On a pooled connection that the target closes, a client cannot determine
// whether the request ran. A non-idempotent call must not get into that state, and an
// idempotent one would fail.
#[test]
fn a_call_never_uses_a_pooled_connection() {
    let (target, client) = (start_server(), Client::new(Settings::default()));
    let key = Key::new("k").unwrap();
    for key in [Some(&key), None] {
        for _ in 0..3 {
            assert_eq!(call(&client, target, key).unwrap(), b"ok");
        }
    }
}

#[test]
fn a_late_second_answer_is_not_taken_for_that_of_the_next_call() {
    let (target, client) = (start_stutterer(), Client::new(Settings::default()));
    for number in 0..3 {
        let answer = call(&client, target, None).unwrap();
        assert_eq!(answer, lines(number).as_bytes());
    }
}

#[test]
fn a_late_second_stream_is_not_taken_for_that_of_the_next_request() {
    let target = start_stutterer();
    let client = engine::Client::new(Settings::default());
    for number in 0..3 {
        let generation = Generation {
            attempt: &Attempt::new("a").unwrap(),
            workspace: &Workspace::new("w").unwrap(),
            request: &Request::new("r").unwrap(),
            key: None,
            prefix: None,
            fence: None,
            prompt: "{}",
        };
        let mut stream = client.generate(target, &generation).unwrap();
        let text = number.to_string();
        assert_eq!(stream.next(), Some(Ok(Event::Token { index: 0, text })));
        assert_eq!(stream.count(), 1);
    }
}

/// Answers each cache state request with its own path. Before a further answer of a
/// connection, it repeats its last answer.
fn start_cache_stutterer() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for connection in listener.incoming() {
            thread::spawn(move || {
                let connection = connection.unwrap();
                let mut reader = BufReader::new(&connection);
                let mut last = String::new();
                loop {
                    let mut line = String::new();
                    if reader.read_line(&mut line).unwrap_or(0) == 0 {
                        return;
                    }
                    let path = line.split(' ').nth(1).unwrap().to_owned();
                    read_request(&mut reader);
                    let response = format!(
                        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
                        path.len()
                    );
                    (&connection)
                        .write_all((last + &response).as_bytes())
                        .unwrap();
                    last = response;
                }
            });
        }
    });
    address
}

#[test]
fn a_late_second_cache_state_is_not_taken_for_that_of_another_prefix() {
    let target = start_cache_stutterer();
    let client = engine::Client::new(Settings::default());
    for prefix in ["p1", "p2", "p3"] {
        let state = String::from_utf8(client.export(target, prefix).unwrap()).unwrap();
        assert!(state.ends_with(prefix), "state of {prefix:?}: {state:?}");
    }
}
