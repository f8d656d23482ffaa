//! HTTP server for callers and operators.

use balsamchute_base::digest::Digest;
use balsamchute_base::prelude::*;
use balsamchute_metrics::Load;
use balsamchute_wire::forward::Head;
use balsamchute_wire::record::{End, Outcome};
use rand::RngExt;
use serde::Serialize;

use crate::answer;
use crate::body;
use crate::context::Context;
use crate::http::{Request, Response};
use crate::input::{Query, Subject};
use crate::outcome;
use crate::request;

/// Retry-after delay of a request that was refused because the router serves
/// the maximum number of requests.
const BUSY_RETRY_AFTER: Span = Span::from_secs(1);

/// Serves a request. Refuses it if the maximum number of requests is being served.
pub(crate) fn serve(context: &Context, request: Request) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    if let ("POST", Some(service)) = (request.method(), path.strip_prefix("/v1/run/")) {
        return serve_run(context, request, service);
    }
    let Some(_permit) = context.acquire_permit() else {
        return refuse_full(request);
    };
    match (request.method(), path) {
        ("GET", "/v1/address") => serve_addresses(context, request, query),
        ("GET", "/v1/status") => {
            let status = context.query(Query::Status);
            send_json(request, status.as_ref());
        }
        ("GET", "/v1/explain") => serve_explanation(context, request, query),
        ("GET", "/v1/outcome") => outcome::serve(context, request, query),
        ("GET", "/v1/quarantine") => {
            let suspects = context.query(Query::CrashSuspects);
            send_json(request, suspects.as_ref());
        }
        ("POST", path) if path.starts_with("/v1/quarantine/") => {
            release_fingerprint(context, request, &path["/v1/quarantine/".len()..]);
        }
        ("GET", "/health") => serve_health(context, request),
        ("GET", "/metrics") => serve_metrics(context, request),
        ("GET" | "POST", _) => {
            send_error(request, 404, &format!("path \"{path}\" does not exist"));
        }
        _ => send_error(request, 405, "method is not allowed"),
    }
}

fn serve_run(context: &Context, mut request: Request, service: &str) {
    let head = match parse_head(context, &request, service) {
        Ok(head) => head,
        Err(reason) => return refuse_not_run(request, &reason),
    };
    let limit = context.settings.limits.body_bytes;
    let body = match context.bodies.read(&mut request, limit) {
        Ok(body) => body,
        Err(error @ body::Error::NoMemory) => {
            let end = End::new(Outcome::NotRun, &error.to_string());
            let _ = answer::respond_with_end(request, &end.with_retry_after(BUSY_RETRY_AFTER));
            return;
        }
        Err(error) => return refuse_not_run(request, &error.to_string()),
    };
    // A client that does not send its body does not take the place of a request.
    match context.acquire_permit() {
        Some(_permit) => request::serve(context, request, head, body.bytes()),
        None => refuse_full(request),
    }
}

fn refuse_full(request: Request) {
    let end = End::new(
        Outcome::NotRun,
        "router is full: too many requests are served",
    );
    let _ = answer::respond_with_end(request, &end.with_retry_after(BUSY_RETRY_AFTER));
}

fn refuse_not_run(request: Request, reason: &str) {
    let _ = answer::respond_with_end(request, &End::new(Outcome::NotRun, reason));
}

/// Parses the path and headers of a request to run a service.
fn parse_head(context: &Context, request: &Request, service: &str) -> Result<Head, String> {
    let limits = &context.settings.limits;
    let header_value = |name: &'static str| -> Result<Option<&str>, String> {
        match request.header(name) {
            Some(value) if value.len() > limits.header_bytes => Err(format!(
                "header \"{name}\" is longer than {} bytes",
                limits.header_bytes
            )),
            other => Ok(other),
        }
    };
    let parse_number = |name: &'static str| -> Result<Option<u64>, String> {
        header_value(name)?
            .map(|value| {
                value
                    .parse()
                    .map_err(|_| format!("header \"{name}\" is no whole number: \"{value}\""))
            })
            .transpose()
    };
    let error_text = |error: balsamchute_base::id::Error| error.to_string();
    let workspace = header_value("x-workspace")?.ok_or("header \"x-workspace\" is missing")?;
    let id = match header_value("x-request")? {
        Some(id) => id.to_owned(),
        None => format!("{:016x}", rand::rng().random::<u64>()),
    };
    let deadline = parse_number("x-deadline-ms")?.unwrap_or(limits.default_deadline_ms);
    if deadline == 0 || deadline > limits.deadline_ms {
        return Err(format!(
            "header \"x-deadline-ms\" is not between 1 and {}",
            limits.deadline_ms
        ));
    }
    Ok(Head {
        request: balsamchute_base::id::Request::new(&id).map_err(error_text)?,
        workspace: Workspace::new(workspace).map_err(error_text)?,
        service: Service::new(service).map_err(error_text)?,
        key: header_value("x-key")?
            .map(Key::new)
            .transpose()
            .map_err(error_text)?,
        deadline: Span(deadline),
        hint: parse_number("x-cost-hint")?.map(Cost),
        prefix: header_value("x-prefix")?.map(str::to_owned),
        resend: header_value(answer::RESEND_HEADER)?.is_some(),
        hops: 0,
    })
}

/// Returns the digest of the service name and the body.
pub(crate) fn body_digest(service: &Service, body: &[u8]) -> u128 {
    let mut bytes = service.as_str().as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(body);
    Digest::new(&bytes).0
}

fn serve_addresses(context: &Context, request: Request, query: &str) {
    let workspace = query_parameter(query, "workspace").and_then(|name| Workspace::new(&name).ok());
    let Some(workspace) = workspace else {
        return send_error(
            request,
            400,
            "parameter \"workspace\" is missing or no name",
        );
    };
    if context.query(Query::Ready) != Some(true) {
        return send_error(request, 503, "router does not serve; ask another one");
    }
    let addresses = context.query(|reply| Query::Addresses(workspace, reply));
    send_json(request, addresses.as_ref());
}

fn serve_explanation(context: &Context, request: Request, query: &str) {
    let subject = query_parameter(query, "request")
        .and_then(|name| {
            balsamchute_base::id::Request::new(&name)
                .ok()
                .map(Subject::Request)
        })
        .or_else(|| {
            query_parameter(query, "workspace")
                .and_then(|name| Workspace::new(&name).ok().map(Subject::Workspace))
        })
        .or_else(|| {
            query_parameter(query, "key").and_then(|name| Key::new(&name).ok().map(Subject::Key))
        });
    let Some(subject) = subject else {
        return send_error(
            request,
            400,
            "one of the parameters \"request\", \"workspace\", \"key\" is needed",
        );
    };
    let explanation = context.query(|reply| Query::Explain(subject, reply));
    send_json(request, explanation.as_ref());
}

/// Releases a fingerprint from quarantine, so that its requests may run again.
fn release_fingerprint(context: &Context, request: Request, path: &str) {
    let fingerprint = path
        .strip_suffix("/release")
        .and_then(|digits| u128::from_str_radix(digits, 16).ok());
    let Some(fingerprint) = fingerprint else {
        return send_error(
            request,
            400,
            &format!("\"{path}\" is no fingerprint to release"),
        );
    };
    match context.query(|reply| Query::ReleaseFingerprint(fingerprint, reply)) {
        Some(true) => send_json(request, Some(&serde_json::json!({"released": true}))),
        Some(false) => send_error(request, 404, "fingerprint is not suspected here"),
        None => send_error(request, 503, "router is too busy to answer"),
    }
}

fn serve_health(context: &Context, request: Request) {
    match context.query(Query::Ready) {
        Some(true) => send_json(request, Some(&serde_json::json!({"ready": true}))),
        Some(false) => send_error(request, 503, "router is starting or leaving"),
        None => send_error(request, 503, "router does not answer"),
    }
}

/// Responds with the metrics in the Prometheus text format.
fn serve_metrics(context: &Context, request: Request) {
    if let Some(status) = context.query(Query::Status) {
        let routers = status.members.len() as u64;
        context.metrics.set_fleet(routers, status.config);
        for service in &status.services {
            let load = Load {
                backlog: service.backlog,
                slots: service.slots,
                slots_used: service.lent,
            };
            context.metrics.set_load(&service.service, load);
        }
    }
    match context.metrics.encode() {
        Ok(page) => {
            let response = Response::new(200, page.into_bytes());
            let content_type = "text/plain; version=0.0.4";
            let _ = request.respond(&response.with_field("Content-Type", content_type));
        }
        Err(error) => send_error(request, 500, &error.to_string()),
    }
}

/// Returns the percent-decoded value of a parameter of a query string.
pub(crate) fn query_parameter(query: &str, name: &str) -> Option<String> {
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    percent_encoding::percent_decode_str(value)
        .decode_utf8()
        .ok()
        .map(Into::into)
}

/// Responds with the value as JSON, or with status 503 if there is none because
/// the actor did not answer in time.
pub(crate) fn send_json<T: Serialize>(request: Request, value: Option<&T>) {
    let Some(body) = value.and_then(|value| serde_json::to_string(value).ok()) else {
        return send_error(request, 503, "router is too busy to answer");
    };
    answer::respond_with_json(request, 200, body);
}

pub(crate) fn send_error(request: Request, status: u16, reason: &str) {
    let body = serde_json::json!({"error": reason}).to_string();
    answer::respond_with_json(request, status, body);
}
