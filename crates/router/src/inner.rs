//! HTTP server for other routers.

use std::io::Read;
use std::time::Duration;

use balsamchute_dispatch::event::Event;
use balsamchute_wire::codec;
use balsamchute_wire::forward::Forward;
use balsamchute_wire::record::{Code, End, Outcome};
use crossbeam_channel::bounded;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::answer;
use crate::context::Context;
use crate::http::{Request, Response};
use crate::input::{Input, Query};
use crate::request;
use crate::traffic;

/// Path of forwarded requests, which are not counted as control traffic.
const RUN_PATH: &str = "/inner/run";

/// Maximum length of the body of a control message, in bytes.
const MAX_CONTROL_BYTES: u64 = 4 << 20;

/// Allowance for the encoded head of a forwarded request, in bytes, on top of the
/// limit on a caller's body. The head consists of a few names of at most 64 bytes,
/// a key of at most 200 bytes and a prefix of at most `limits.header_bytes`, which
/// is 1024 by default.
const FORWARD_OVERHEAD_BYTES: usize = 4096;

/// Longest wait for the actor's answer to another router. Longer than the other
/// router waits (`CONTROL_TIMEOUT` in the module `peers`), so it only frees the
/// thread.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for the claim log's answer to another router. Longer than the
/// other router waits (`REPLY_TIMEOUT` in the module `claims::remote`), so it only
/// frees the thread.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Serves a request from another router. Forwarded requests and claims count against the
/// limit on concurrent requests.
pub(crate) fn serve(context: &Context, request: Request) {
    let url = request.url().to_owned();
    if url != RUN_PATH {
        traffic::count_request_received(context, &request);
    }
    match (request.method(), url.as_str()) {
        ("POST", RUN_PATH) => serve_limited(context, request, serve_forwarded),
        ("POST", "/inner/claim") => serve_limited(context, request, serve_claims),
        ("POST", "/inner/messages") => serve_messages(context, request),
        ("POST", "/inner/exchange") => serve_exchange(context, request),
        ("GET", "/inner/config") => serve_config(context, request),
        ("GET", "/inner/stamp") => serve_stamp(context, request),
        _ => respond_status(context, request, 404),
    }
}

fn serve_limited(context: &Context, request: Request, handler: fn(&Context, Request)) {
    let Some(_permit) = context.acquire_permit() else {
        let end = End::new(
            Outcome::NotRun,
            "router is full: too many requests are served",
        );
        let _ = answer::respond_with_end(
            request,
            &end.with_code(Code::Elsewhere)
                // In milliseconds. Another router may accept the request.
                .with_retry_after(balsamchute_base::time::Span(500)),
        );
        return;
    };
    handler(context, request);
}

fn serve_forwarded(context: &Context, mut request: Request) {
    let limit = context.settings.limits.body_bytes + FORWARD_OVERHEAD_BYTES;
    match decode_body::<Forward>(&mut request, limit as u64) {
        Ok(forward) => request::serve(context, request, forward.head, &forward.body),
        Err(reason) => drop(answer::respond_with_end(
            request,
            &End::new(Outcome::NotRun, &reason),
        )),
    }
}

fn serve_claims(context: &Context, mut request: Request) {
    let Ok(batch) = decode_body(&mut request, MAX_CONTROL_BYTES) else {
        return respond_status(context, request, 400);
    };
    let (sender, receiver) = bounded(1);
    context.send(Input::ClaimBatch(batch, sender));
    match receiver.recv_timeout(CLAIM_TIMEOUT) {
        Ok(answer) => respond(context, request, &answer),
        Err(_) => respond_status(context, request, 503),
    }
}

fn serve_messages(context: &Context, mut request: Request) {
    match decode_body(&mut request, MAX_CONTROL_BYTES) {
        Ok(batch) => {
            context.send_event(Event::Messages(batch));
            respond_status(context, request, 204);
        }
        Err(reason) => {
            log::warn!("inner: refused a batch of messages. {reason}");
            respond_status(context, request, 400);
        }
    }
}

fn serve_exchange(context: &Context, mut request: Request) {
    let frame = match decode_body(&mut request, MAX_CONTROL_BYTES) {
        Ok(frame) => frame,
        Err(reason) => {
            log::warn!("inner: refused an exchange. {reason}");
            return respond_status(context, request, 400);
        }
    };
    let (sender, receiver) = bounded(1);
    context.send(Input::ExchangeReceived(frame, sender));
    match receiver.recv_timeout(ACTOR_TIMEOUT) {
        Ok(frame) => respond(context, request, &frame),
        Err(_) => respond_status(context, request, 503),
    }
}

/// Responds with the newest configuration that this router holds.
fn serve_config(context: &Context, request: Request) {
    match context.query(Query::Config) {
        Some(document) => respond(context, request, &document),
        None => respond_status(context, request, 503),
    }
}

/// Responds with the stamp of the configuration that the dispatcher uses.
fn serve_stamp(context: &Context, request: Request) {
    match context.query(Query::ConfigStamp) {
        Some(stamp) => respond(context, request, &stamp),
        None => respond_status(context, request, 503),
    }
}

fn decode_body<T: DeserializeOwned>(request: &mut Request, limit: u64) -> Result<T, String> {
    let mut body = Vec::new();
    let result = request.reader().take(limit + 1).read_to_end(&mut body);
    match result {
        Ok(length) if length as u64 > limit => Err(format!("body is longer than {limit} bytes")),
        Ok(_) => codec::decode(&body).map_err(|error| error.to_string()),
        Err(error) => Err(format!("body cannot be read: {error}")),
    }
}

fn respond<T: Serialize>(context: &Context, request: Request, value: &T) {
    let body = codec::encode(value);
    traffic::count_response_sent(context, request.url(), body.len());
    let _ = request.respond(&Response::new(200, body));
}

fn respond_status(context: &Context, request: Request, code: u16) {
    traffic::count_response_sent(context, request.url(), 0);
    let _ = request.respond(&Response::new(code, Vec::new()));
}
