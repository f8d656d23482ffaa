//! The server for other routers.

use std::io::Read;
use std::thread;
use std::time::Duration;

use balsamchute_dispatch::event::Event;
use balsamchute_wire::codec;
use balsamchute_wire::forward::Forward;
use balsamchute_wire::record::{Code, End, Outcome};
use crossbeam_channel::bounded;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Method, Request, Response};

use crate::answer;
use crate::attempt;
use crate::input::{Input, Query};
use crate::traffic;
use crate::work::{STACK_BYTES, Work};

/// Path of requests that are passed on, which are no control traffic.
const RUN: &str = "/inner/run";

/// Longest body of a control message in bytes.
const MAX_CONTROL_BYTES: u64 = 4 << 20;

/// How much longer than a caller's body a forwarded one may be, in bytes.
const FORWARD_OVERHEAD_BYTES: usize = 4096;

/// How long the actor may take to answer another router.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the claim log may take to answer another router.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Takes a request of another router.
pub(crate) fn take(work: &Work, request: Request) {
    let url = request.url().to_owned();
    if url != RUN {
        traffic::received(work, &request);
    }
    match (request.method(), url.as_str()) {
        (Method::Post, RUN) => spawn(work, request, forwarded),
        (Method::Post, "/inner/claim") => spawn(work, request, claims),
        (Method::Post, "/inner/messages") => messages(work, request),
        (Method::Post, "/inner/exchange") => exchange(work, request),
        (Method::Get, "/inner/config") => config(work, request),
        (Method::Get, "/inner/stamp") => stamp(work, request),
        _ => status(work, request, 404),
    }
}

fn spawn(work: &Work, request: Request, serve: fn(&Work, Request)) {
    let Some(permit) = work.permit() else {
        let end = End::new(
            Outcome::NotRun,
            "router is full: too many requests are served",
        );
        let _ = answer::refuse(
            request,
            &end.with_code(Code::Elsewhere)
                .with_retry_after(balsamchute_base::time::Span(500)),
        );
        return;
    };
    let work = work.clone();
    let spawned = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            serve(&work, request);
            drop(permit);
        });
    if let Err(error) = spawned {
        log::warn!("inner: cannot start a thread. {error}");
    }
}

fn forwarded(work: &Work, mut request: Request) {
    let limit = work.settings.limits.body_bytes + FORWARD_OVERHEAD_BYTES;
    match read::<Forward>(&mut request, limit as u64) {
        Ok(forward) => attempt::serve(work, request, forward.head, &forward.body),
        Err(reason) => drop(answer::refuse(request, &End::new(Outcome::NotRun, &reason))),
    }
}

fn claims(work: &Work, mut request: Request) {
    let Ok(batch) = read(&mut request, MAX_CONTROL_BYTES) else {
        return status(work, request, 400);
    };
    let (sender, receiver) = bounded(1);
    work.send(Input::Claims(batch, sender));
    match receiver.recv_timeout(CLAIM_TIMEOUT) {
        Ok(answer) => respond(work, request, &answer),
        Err(_) => status(work, request, 503),
    }
}

fn messages(work: &Work, mut request: Request) {
    match read(&mut request, MAX_CONTROL_BYTES) {
        Ok(batch) => {
            work.event(Event::Messages(batch));
            status(work, request, 204);
        }
        Err(reason) => {
            log::warn!("inner: refused messages. {reason}");
            status(work, request, 400);
        }
    }
}

fn exchange(work: &Work, mut request: Request) {
    let frame = match read(&mut request, MAX_CONTROL_BYTES) {
        Ok(frame) => frame,
        Err(reason) => {
            log::warn!("inner: refused an exchange. {reason}");
            return status(work, request, 400);
        }
    };
    let (sender, receiver) = bounded(1);
    work.send(Input::Exchange(frame, sender));
    match receiver.recv_timeout(REPLY_TIMEOUT) {
        Ok(frame) => respond(work, request, &frame),
        Err(_) => status(work, request, 503),
    }
}

fn config(work: &Work, request: Request) {
    match work.ask(Query::Document) {
        Some(document) => respond(work, request, &document),
        None => status(work, request, 503),
    }
}

fn stamp(work: &Work, request: Request) {
    match work.ask(Query::Stamp) {
        Some(stamp) => respond(work, request, &stamp),
        None => status(work, request, 503),
    }
}

fn read<T: DeserializeOwned>(request: &mut Request, limit: u64) -> Result<T, String> {
    let mut body = Vec::new();
    let read = request.as_reader().take(limit + 1).read_to_end(&mut body);
    match read {
        Ok(length) if length as u64 > limit => Err(format!("body is longer than {limit} bytes")),
        Ok(_) => codec::decode(&body).map_err(|error| error.to_string()),
        Err(error) => Err(format!("body cannot be read: {error}")),
    }
}

fn respond<T: Serialize>(work: &Work, request: Request, value: &T) {
    let body = codec::encode(value);
    traffic::answer(work, request.url(), body.len());
    let _ = request.respond(Response::from_data(body));
}

fn status(work: &Work, request: Request, code: u16) {
    traffic::answer(work, request.url(), 0);
    let _ = request.respond(Response::empty(code));
}
