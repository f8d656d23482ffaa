//! The client of plain services against one on loopback, with its faults.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_standin::plain::{self, Plain};
use balsamchute_standin::prompt::Prompt;
use balsamchute_standin::record::End;
use balsamchute_target::plain::{Call, Client};
use balsamchute_target::{Error, Settings};

fn start() -> Plain {
    Plain::start(plain::Settings::new("p", 4)).unwrap()
}

fn call(target: SocketAddr, body: &str, fence: Option<u64>, limit: Span) -> Result<String, Error> {
    let call = Call {
        attempt: &Attempt::new("a").unwrap(),
        workspace: &Workspace::new("w").unwrap(),
        request: &Request::new("r").unwrap(),
        key: Some(&Key::new("k").unwrap()),
        fence,
        body: body.as_bytes(),
        limit,
    };
    let answer = Client::new(Settings::default()).call(target, &call)?;
    Ok(String::from_utf8(answer).unwrap())
}

const LONG: Span = Span::from_secs(60);

#[test]
fn a_call_is_answered_and_on_record() {
    let plain = start();
    let prompt = Prompt::call(1).with_text("booked \"5\"");
    let answer = call(plain.address(), &prompt.to_body(), None, LONG).unwrap();
    assert_eq!(answer, prompt.answer());
    let records = plain.records();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].key.as_deref(), Some("k"));
    assert_eq!(records[0].end, Some(End::Done));
}

#[test]
fn an_error_is_the_services_own_answer() {
    let plain = start();
    let body = Prompt::call(1).with_failure().to_body();
    let error = call(plain.address(), &body, None, LONG).unwrap_err();
    assert!(matches!(error, Error::Answered { .. }), "{error}");
    assert_eq!(plain.records()[0].end, Some(End::Failed));
}

#[test]
fn an_attested_refusal_did_not_run() {
    let plain = start();
    let body = Prompt::call(1).to_body();
    call(plain.address(), &body, Some(2), LONG).unwrap();
    let error = call(plain.address(), &body, Some(1), LONG).unwrap_err();
    assert!(matches!(error, Error::Refused { .. }), "{error}");
    let error = call(plain.address(), "no json", None, LONG).unwrap_err();
    assert!(matches!(error, Error::Refused { .. }), "{error}");
    assert_eq!(plain.records().len(), 1);
}

#[test]
fn a_service_that_ignores_fencing_runs_an_old_number() {
    let plain = Plain::start(plain::Settings::new("p", 4).with_fencing(false)).unwrap();
    let body = Prompt::call(1).to_body();
    call(plain.address(), &body, Some(2), LONG).unwrap();
    call(plain.address(), &body, Some(1), LONG).unwrap();
    assert_eq!(plain.records().len(), 2);
}

#[test]
fn a_call_to_nobody_was_not_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = call(address, &Prompt::call(1).to_body(), None, LONG).unwrap_err();
    assert!(matches!(error, Error::NotSent { .. }), "{error}");
}

#[test]
fn a_crash_is_recognised() {
    let plain = start();
    let body = Prompt::call(2).with_crash().to_body();
    let error = call(plain.address(), &body, None, LONG).unwrap_err();
    assert!(matches!(error, Error::Crashed { .. }), "{error}");
    assert_eq!(plain.records()[0].end, Some(End::Crashed));
}

#[test]
fn a_call_whose_answer_is_late_or_lost_may_have_run() {
    let plain = start();
    plain.set_answer_delay(Span::from_secs(3600));
    let body = Prompt::call(1).to_body();
    let error = call(plain.address(), &body, None, Span(200)).unwrap_err();
    assert!(matches!(error, Error::MayHaveRun { .. }), "{error}");
    thread::scope(|scope| {
        let lost = scope.spawn(|| call(plain.address(), &body, None, LONG));
        while plain.records().len() < 2 || plain.running() > 0 {
            thread::yield_now();
        }
        plain.cut_connections().unwrap();
        let error = lost.join().unwrap().unwrap_err();
        assert!(error.may_have_run(), "{error}");
    });
}
