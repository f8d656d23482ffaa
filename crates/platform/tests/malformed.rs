//! Answers that make no sense.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_platform::{Client, Error, Settings};

/// Sends the same bytes as the answer to every call.
struct Parrot {
    address: SocketAddr,
    answer: Arc<Mutex<Vec<u8>>>,
}

impl Parrot {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let answer = Arc::new(Mutex::new(Vec::new()));
        let answers = Arc::clone(&answer);
        thread::spawn(move || {
            for connection in listener.incoming() {
                let answer = answers.lock().unwrap().clone();
                say(connection.unwrap(), &answer);
            }
        });
        Self { address, answer }
    }

    fn set_body(&self, head: &str, body: &[u8]) {
        let length = body.len();
        let head = format!("{head}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
        *self.answer.lock().unwrap() = [head.as_bytes(), body].concat();
    }

    fn client(&self) -> Client {
        let settings = Settings {
            retries: 0,
            rate: 1e9,
            burst: 1e9,
            ..Settings::default()
        };
        Client::new(self.address, settings)
    }
}

fn say(connection: TcpStream, answer: &[u8]) {
    let mut lines = BufReader::new(&connection);
    let mut line = String::new();
    while lines.read_line(&mut line).unwrap_or(0) > 2 {
        line.clear();
    }
    // The client may have gone after a part that makes no sense.
    let _ = (&connection).write_all(answer);
}

#[test]
fn any_body_is_read_or_malformed() {
    let parrot = Parrot::start();
    bolero::check!()
        .with_iterations(300)
        .for_each(|body: &[u8]| {
            parrot.set_body("HTTP/1.1 200 OK", body);
            let client = parrot.client();
            for error in [client.list("a").err(), client.instances().err()] {
                assert!(
                    matches!(error, None | Some(Error::Malformed { .. })),
                    "{error:?}"
                );
            }
            // An object needs its version.
            assert!(matches!(client.get("a"), Err(Error::Malformed { .. })));
        });
}

#[test]
fn any_answer_to_a_write_leaves_its_effect_open() {
    let parrot = Parrot::start();
    bolero::check!()
        .with_iterations(300)
        .for_each(|answer: &[u8]| {
            *parrot.answer.lock().unwrap() = answer.to_vec();
            let error = parrot.client().put_if("a", 0, b"value").unwrap_err();
            assert!(matches!(error, Error::AnswerLost { .. }), "{error}");
        });
}

#[test]
fn a_write_without_a_version_or_with_an_odd_status_may_have_taken_effect() {
    let parrot = Parrot::start();
    let client = parrot.client();
    for head in [
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\nx-version: many",
        "HTTP/1.1 500 Broken",
        "HTTP/1.1 302 Found\r\nlocation: /elsewhere",
    ] {
        parrot.set_body(head, b"");
        let error = client.put_if("a", 0, b"value").unwrap_err();
        assert!(matches!(error, Error::AnswerLost { .. }), "{head}: {error}");
    }
}

#[test]
fn a_watch_with_an_odd_status_is_unavailable() {
    let parrot = Parrot::start();
    parrot.set_body("HTTP/1.1 500 Broken", b"");
    let error = parrot.client().watch("a", 0, Span(1)).unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }), "{error}");
}
