//! Connections that the target closes when they are used again.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_target::plain::{Call, Client};
use balsamchute_target::{Error, Settings};

/// Answers the first request of each connection and closes it on the second.
fn serve() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for connection in listener.incoming() {
            thread::spawn(move || {
                let connection = connection.unwrap();
                let mut lines = BufReader::new(&connection);
                read_request(&mut lines);
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                (&connection).write_all(answer.as_bytes()).unwrap();
                read_request(&mut lines);
            });
        }
    });
    address
}

/// Reads a request without a body; returns early if there is none.
fn read_request(lines: &mut BufReader<&TcpStream>) {
    let mut line = String::new();
    while lines.read_line(&mut line).unwrap_or(0) > 2 {
        line.clear();
    }
}

fn call(client: &Client, target: SocketAddr, key: Option<&Key>) -> Result<Vec<u8>, Error> {
    let call = Call {
        attempt: &Attempt::new("a").unwrap(),
        workspace: &Workspace::new("w").unwrap(),
        request: &Request::new("r").unwrap(),
        key,
        fence: None,
        body: b"",
        limit: Span::from_secs(60),
    };
    client.call(target, &call)
}

#[test]
fn a_non_idempotent_call_never_rides_on_a_kept_connection() {
    let (target, client) = (serve(), Client::new(Settings::default()));
    let key = Key::new("k").unwrap();
    for _ in 0..3 {
        assert_eq!(call(&client, target, Some(&key)).unwrap(), b"ok");
    }
    // An idempotent one does, and says truthfully that it may have run.
    call(&client, target, None).unwrap();
    let error = call(&client, target, None).unwrap_err();
    assert!(matches!(error, Error::MayHaveRun { .. }), "{error}");
}
