//! Properties of stream lines, and streams with malformed or missing lines.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_target::engine::{Client, Generation};
use balsamchute_target::line::Line;
use balsamchute_target::stream::Event;
use balsamchute_target::{Error, Settings};

#[test]
fn arbitrary_bytes_parse_or_are_malformed() {
    bolero::check!()
        .with_iterations(20_000)
        .for_each(|bytes: &[u8]| match Line::parse(bytes) {
            Ok(Line::Done { done, .. }) => assert!(done),
            Ok(_) | Err(Error::Malformed { .. }) => {}
            Err(error) => panic!("{error}"),
        });
}

#[test]
fn a_token_line_round_trips() {
    bolero::check!()
        .with_iterations(2000)
        .with_type::<(u64, String)>()
        .for_each(|(index, text)| {
            let line = serde_json::json!({"index": index, "text": text}).to_string();
            let (index, text) = (*index, text.clone());
            assert_eq!(
                Line::parse(line.as_bytes()),
                Ok(Line::Token { index, text })
            );
        });
}

#[test]
fn incomplete_or_trailing_json_is_malformed() {
    for line in [
        "",
        "{}",
        "{\"index\":0}",
        "{\"index\":-1,\"text\":\"a\"}",
        "{\"done\":false,\"tokens\":0}",
        "{\"done\":true}",
        "{\"index\":0,\"text\":\"a\"}{\"done\":true,\"tokens\":1}",
    ] {
        assert!(Line::parse(line.as_bytes()).is_err(), "{line}");
    }
}

/// Sends the next of `bodies` on each connection, then refuses connections.
fn start_server(bodies: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for body in bodies {
            let (mut connection, _) = listener.accept().unwrap();
            let mut request = [0; 4096];
            let _ = connection.read(&mut request).unwrap();
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
            connection.write_all(head.as_bytes()).unwrap();
            connection.write_all(body.as_bytes()).unwrap();
            // A close with unread bytes of the request would reset the connection.
            connection.shutdown(Shutdown::Write).unwrap();
            let _ = std::io::copy(&mut connection, &mut std::io::sink());
        }
    });
    address
}

fn read_stream(bodies: Vec<&'static str>) -> Vec<Result<Event, Error>> {
    let settings = Settings {
        recovery_backoff: Span(1),
        ..Settings::default()
    };
    let generation = Generation {
        attempt: &Attempt::new("a").unwrap(),
        workspace: &Workspace::new("w").unwrap(),
        request: &Request::new("r").unwrap(),
        key: None,
        prefix: None,
        fence: None,
        prompt: "",
    };
    let stream = Client::new(settings).generate(start_server(bodies), &generation);
    stream.unwrap().collect()
}

const FIRST_TOKEN: &str = "{\"index\":0,\"text\":\"a\"}\n";
const SECOND_TOKEN_AND_END: &str = "{\"index\":1,\"text\":\"b\"}\n{\"done\":true,\"tokens\":2}\n";

fn complete_stream() -> Vec<Result<Event, Error>> {
    let token = |index, text: &str| {
        let text = text.to_owned();
        Ok(Event::Token { index, text })
    };
    vec![token(0, "a"), token(1, "b"), Ok(Event::Done { tokens: 2 })]
}

#[test]
fn a_stream_without_its_end_line_is_resumed() {
    assert_eq!(
        read_stream(vec![FIRST_TOKEN, SECOND_TOKEN_AND_END]),
        complete_stream()
    );
}

#[test]
fn a_stream_with_a_gap_a_repetition_or_garbage_is_resumed() {
    let gap = "{\"index\":0,\"text\":\"a\"}\n{\"index\":2,\"text\":\"c\"}\n";
    assert_eq!(
        read_stream(vec![gap, SECOND_TOKEN_AND_END]),
        complete_stream()
    );
    let repetition = "{\"index\":0,\"text\":\"a\"}\n{\"index\":0,\"text\":\"a\"}\n";
    assert_eq!(
        read_stream(vec![repetition, SECOND_TOKEN_AND_END]),
        complete_stream()
    );
    let garbage = "{\"index\":0,\"text\":\"a\"}\n\u{1}\n";
    assert_eq!(
        read_stream(vec![garbage, SECOND_TOKEN_AND_END]),
        complete_stream()
    );
    let early_end = "{\"index\":0,\"text\":\"a\"}\n{\"done\":true,\"tokens\":2}\n";
    assert_eq!(
        read_stream(vec![early_end, SECOND_TOKEN_AND_END]),
        complete_stream()
    );
}

#[test]
fn a_stream_that_stays_invalid_ends_in_an_error() {
    let gap = "{\"index\":7,\"text\":\"a\"}\n";
    // The request and three attempts to resume.
    let events = read_stream(vec![gap; 4]);
    assert_eq!(events.len(), 1);
    let error = events[0].clone().unwrap_err();
    assert!(error.may_have_run(), "{error}");
    let events = read_stream(vec![FIRST_TOKEN, "", "", ""]);
    assert_eq!(events.len(), 2);
    assert!(matches!(
        events[1],
        Err(Error::Interrupted { tokens: 1, .. })
    ));
}
