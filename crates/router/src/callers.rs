//! The server for callers and operators.

use std::io::Read;
use std::thread;

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;
use balsamchute_metrics::Load;
use balsamchute_wire::forward::Head;
use balsamchute_wire::record::{End, Outcome};
use rand::RngExt;
use serde::Serialize;
use tiny_http::{Method, Request, Response};

use crate::answer::{self, header};
use crate::attempt;
use crate::input::{Query, Subject};
use crate::outcome;
use crate::work::{STACK_BYTES, Work};

/// When a caller may come back that found all threads taken.
const BUSY_RETRY: Span = Span::from_secs(1);

/// Takes a request and has a thread serve it.
pub(crate) fn take(work: &Work, request: Request) {
    let Some(permit) = work.permit() else {
        let end = End::new(
            Outcome::NotRun,
            "router is full: too many requests are served",
        );
        let _ = answer::refuse(request, &end.with_retry_after(BUSY_RETRY));
        return;
    };
    let work = work.clone();
    let spawned = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            handle(&work, request);
            drop(permit);
        });
    if let Err(error) = spawned {
        log::warn!("callers: cannot start a thread. {error}");
    }
}

fn handle(work: &Work, request: Request) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (request.method(), path) {
        (Method::Post, path) if path.starts_with("/v1/run/") => {
            let service = path["/v1/run/".len()..].to_owned();
            run_request(work, request, &service);
        }
        (Method::Get, "/v1/address") => address(work, request, query),
        (Method::Get, "/v1/status") => {
            let status = work.ask(Query::Status);
            reply(request, status.as_ref());
        }
        (Method::Get, "/v1/explain") => explain(work, request, query),
        (Method::Get, "/v1/outcome") => outcome::serve(work, request, query),
        (Method::Get, "/v1/quarantine") => {
            let suspects = work.ask(Query::Quarantine);
            reply(request, suspects.as_ref());
        }
        (Method::Post, path) if path.starts_with("/v1/quarantine/") => {
            release(work, request, &path["/v1/quarantine/".len()..]);
        }
        (Method::Get, "/health") => health(work, request),
        (Method::Get, "/metrics") => metrics(work, request),
        (Method::Get | Method::Post, _) => {
            fail(request, 404, &format!("path \"{path}\" does not exist"));
        }
        _ => fail(request, 405, "method is not allowed"),
    }
}

fn run_request(work: &Work, mut request: Request, service: &str) {
    let head = match head(work, &request, service) {
        Ok(head) => head,
        Err(reason) => return refuse(request, &reason),
    };
    let limit = work.settings.limits.body_bytes;
    if request.body_length().is_some_and(|length| length > limit) {
        let end = End::new(
            Outcome::NotRun,
            &format!("body is longer than {limit} bytes"),
        );
        return drop(answer::refuse(request, &end));
    }
    let mut body = Vec::new();
    match request
        .as_reader()
        .take(limit as u64 + 1)
        .read_to_end(&mut body)
    {
        Ok(length) if length > limit => {
            refuse(request, &format!("body is longer than {limit} bytes"));
        }
        Ok(_) => attempt::serve(work, request, head, &body),
        Err(error) => refuse(request, &format!("body cannot be read: {error}")),
    }
}

fn refuse(request: Request, reason: &str) {
    let _ = answer::refuse(request, &End::new(Outcome::NotRun, reason));
}

/// Reads the headers of a request.
fn head(work: &Work, request: &Request, service: &str) -> Result<Head, String> {
    let limits = &work.settings.limits;
    let get = |name: &'static str| -> Result<Option<&str>, String> {
        let found = request
            .headers()
            .iter()
            .find(|header| header.field.equiv(name));
        match found.map(|header| header.value.as_str()) {
            Some(value) if value.len() > limits.header_bytes => Err(format!(
                "header \"{name}\" is longer than {} bytes",
                limits.header_bytes
            )),
            other => Ok(other),
        }
    };
    let number = |name: &'static str| -> Result<Option<u64>, String> {
        get(name)?
            .map(|value| {
                value
                    .parse()
                    .map_err(|_| format!("header \"{name}\" is no whole number: \"{value}\""))
            })
            .transpose()
    };
    let text = |error: balsamchute_base::id::Error| error.to_string();
    let workspace = get("x-workspace")?.ok_or("header \"x-workspace\" is missing")?;
    let id = match get("x-request")? {
        Some(id) => id.to_owned(),
        None => format!("{:016x}", rand::rng().random::<u64>()),
    };
    let deadline = number("x-deadline-ms")?.unwrap_or(limits.default_deadline_ms);
    if deadline == 0 || deadline > limits.deadline_ms {
        return Err(format!(
            "header \"x-deadline-ms\" is not between 1 and {}",
            limits.deadline_ms
        ));
    }
    Ok(Head {
        request: balsamchute_base::id::Request::new(&id).map_err(text)?,
        workspace: Workspace::new(workspace).map_err(text)?,
        service: Service::new(service).map_err(text)?,
        key: get("x-key")?.map(Key::new).transpose().map_err(text)?,
        deadline: Span(deadline),
        hint: number("x-cost-hint")?.map(Cost),
        prefix: get("x-prefix")?.map(str::to_owned),
        resend: get(answer::RESEND)?.is_some(),
        hops: 0,
    })
}

/// Digest of the service's name and the body.
pub(crate) fn digest(service: &Service, body: &[u8]) -> u128 {
    let mut bytes = service.as_str().as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(body);
    Digest::new(&bytes).0
}

fn address(work: &Work, request: Request, query: &str) {
    let workspace = parameter(query, "workspace").and_then(|name| Workspace::new(&name).ok());
    let Some(workspace) = workspace else {
        return fail(
            request,
            400,
            "parameter \"workspace\" is missing or no name",
        );
    };
    if work.ask(Query::Ready) != Some(true) {
        return fail(request, 503, "router does not serve; ask another one");
    }
    let answer = work.ask(|reply| Query::Address(workspace, reply));
    reply(request, answer.as_ref());
}

fn explain(work: &Work, request: Request, query: &str) {
    let subject = parameter(query, "request")
        .and_then(|name| {
            balsamchute_base::id::Request::new(&name)
                .ok()
                .map(Subject::Request)
        })
        .or_else(|| {
            parameter(query, "workspace")
                .and_then(|name| Workspace::new(&name).ok().map(Subject::Workspace))
        })
        .or_else(|| {
            parameter(query, "key").and_then(|name| Key::new(&name).ok().map(Subject::Key))
        });
    let Some(subject) = subject else {
        return fail(
            request,
            400,
            "one of the parameters \"request\", \"workspace\", \"key\" is needed",
        );
    };
    let explanation = work.ask(|reply| Query::Explain(subject, reply));
    reply(request, explanation.as_ref());
}

/// Lets requests of a fingerprint run again.
fn release(work: &Work, request: Request, path: &str) {
    let fingerprint = path
        .strip_suffix("/release")
        .and_then(|digits| u128::from_str_radix(digits, 16).ok());
    let Some(fingerprint) = fingerprint else {
        return fail(
            request,
            400,
            &format!("\"{path}\" is no fingerprint to release"),
        );
    };
    match work.ask(|reply| Query::Release(fingerprint, reply)) {
        Some(true) => reply(request, Some(&serde_json::json!({"released": true}))),
        Some(false) => fail(request, 404, "fingerprint is not suspected here"),
        None => fail(request, 503, "router is too busy to answer"),
    }
}

fn health(work: &Work, request: Request) {
    match work.ask(Query::Ready) {
        Some(true) => reply(request, Some(&serde_json::json!({"ready": true}))),
        Some(false) => fail(request, 503, "router is starting or leaving"),
        None => fail(request, 503, "router does not answer"),
    }
}

/// Answers with the metrics in the Prometheus text format.
fn metrics(work: &Work, request: Request) {
    if let Some(status) = work.ask(Query::Status) {
        let routers = status.members.len() as u64;
        work.metrics.set_fleet(routers, status.config);
        for service in &status.services {
            let load = Load {
                backlog: service.backlog,
                slots: service.slots,
                used: service.lent,
            };
            work.metrics.set_load(&service.service, load);
        }
    }
    match work.metrics.page() {
        Ok(page) => {
            let kind = header("Content-Type", "text/plain; version=0.0.4");
            let _ = request.respond(Response::from_string(page).with_header(kind));
        }
        Err(error) => fail(request, 500, &error.to_string()),
    }
}

/// Returns a parameter of a query string.
pub(crate) fn parameter(query: &str, name: &str) -> Option<String> {
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    percent_encoding::percent_decode_str(value)
        .decode_utf8()
        .ok()
        .map(Into::into)
}

/// Answers with JSON, or 503 if the actor gave no answer.
pub(crate) fn reply<T: Serialize>(request: Request, value: Option<&T>) {
    let Some(body) = value.and_then(|value| serde_json::to_string(value).ok()) else {
        return fail(request, 503, "router is too busy to answer");
    };
    let response =
        Response::from_string(body).with_header(header("Content-Type", "application/json"));
    let _ = request.respond(response);
}

pub(crate) fn fail(request: Request, status: u16, reason: &str) {
    let body = serde_json::json!({"error": reason}).to_string();
    let response = Response::from_string(body)
        .with_status_code(status)
        .with_header(header("Content-Type", "application/json"));
    let _ = request.respond(response);
}
