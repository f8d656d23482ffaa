//! Tests of the plain-service client against a stand-in service on loopback,
//! with injected faults.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_standin::plain::{self, Plain};
use balsamchute_standin::prompt::Prompt;
use balsamchute_standin::record::Outcome;
use balsamchute_target::plain::{Call, Client};
use balsamchute_target::{Error, Settings};

fn start_service() -> Plain {
    Plain::start(plain::Settings::new("p", 4)).unwrap()
}

fn call(
    target: SocketAddr,
    body: &str,
    fence: Option<u64>,
    timeout: Span,
) -> Result<String, Error> {
    let call = Call {
        attempt: &Attempt::new("a").unwrap(),
        workspace: &Workspace::new("w").unwrap(),
        request: &Request::new("r").unwrap(),
        key: Some(&Key::new("k").unwrap()),
        fence,
        body: body.as_bytes(),
        timeout,
    };
    let answer = Client::new(Settings::default()).call(target, &call)?;
    Ok(String::from_utf8(answer).unwrap())
}

const LONG_TIMEOUT: Span = Span::from_secs(60);

#[test]
fn a_call_returns_the_answer_and_runs_once() {
    let service = start_service();
    let prompt = Prompt::for_plain(1).with_text("booked \"5\"");
    let answer = call(service.address(), &prompt.to_body(), None, LONG_TIMEOUT).unwrap();
    assert_eq!(answer, prompt.response_body());
    let records = service.records();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].key.as_deref(), Some("k"));
    assert_eq!(records[0].outcome, Some(Outcome::Done));
}

/// The end of the connection is no end of the answer: a service that crashes closes it
/// as well.
#[test]
fn an_answer_with_neither_a_length_nor_chunks_may_have_run() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nbook");
        }
    });
    let error = call(address, "b", None, LONG_TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::MayHaveRun { .. }), "{error}");
}

#[test]
fn an_error_from_the_service_is_answered() {
    let service = start_service();
    let body = Prompt::for_plain(1).with_failure().to_body();
    let error = call(service.address(), &body, None, LONG_TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::ErrorResponse { .. }), "{error}");
    assert_eq!(service.records()[0].outcome, Some(Outcome::Failed));
}

#[test]
fn a_refused_call_did_not_run() {
    let service = start_service();
    let body = Prompt::for_plain(1).to_body();
    call(service.address(), &body, Some(2), LONG_TIMEOUT).unwrap();
    let error = call(service.address(), &body, Some(1), LONG_TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::Refused { .. }), "{error}");
    let error = call(service.address(), "no json", None, LONG_TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::Refused { .. }), "{error}");
    assert_eq!(service.records().len(), 1);
}

#[test]
fn an_outdated_fencing_token_runs_on_a_service_that_ignores_it() {
    let service = Plain::start(plain::Settings::new("p", 4).with_fencing(false)).unwrap();
    let body = Prompt::for_plain(1).to_body();
    call(service.address(), &body, Some(2), LONG_TIMEOUT).unwrap();
    call(service.address(), &body, Some(1), LONG_TIMEOUT).unwrap();
    assert_eq!(service.records().len(), 2);
}

#[test]
fn a_refused_connection_means_that_nothing_was_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = call(address, &Prompt::for_plain(1).to_body(), None, LONG_TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::NotSent { .. }), "{error}");
}

#[test]
fn a_service_crash_is_detected() {
    let service = start_service();
    let body = Prompt::for_plain(2).with_crash().to_body();
    let error = call(service.address(), &body, None, LONG_TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::Crashed { .. }), "{error}");
    assert_eq!(service.records()[0].outcome, Some(Outcome::Crashed));
}

#[test]
fn a_call_whose_response_is_delayed_or_lost_may_have_run() {
    let service = start_service();
    service.set_response_delay(Span::from_secs(3600));
    let body = Prompt::for_plain(1).to_body();
    let error = call(service.address(), &body, None, Span(200)).unwrap_err();
    assert!(matches!(error, Error::MayHaveRun { .. }), "{error}");
    thread::scope(|scope| {
        let pending_call = scope.spawn(|| call(service.address(), &body, None, LONG_TIMEOUT));
        while service.records().len() < 2 || service.running() > 0 {
            thread::yield_now();
        }
        service.drop_connections().unwrap();
        let error = pending_call.join().unwrap().unwrap_err();
        assert!(error.may_have_run(), "{error}");
    });
}
