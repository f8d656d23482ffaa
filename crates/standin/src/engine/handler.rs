//! HTTP handlers of an engine.

use std::thread;

use balsamchute_base::prelude::*;
use serde_json::json;
use tiny_http::{Method, Request};

use crate::clock;
use crate::http::{self, Parts, Response};
use crate::ledger::Execution;
use crate::prompt::Prompt;
use crate::stream::Stream;

use super::Shared;
use super::body::{FencedOrder, Generation, Order};

/// Handles one HTTP request.
pub(super) fn handle(shared: &Shared, mut request: Request) {
    let parts = Parts::new(&request);
    let Ok(body) = http::read_body(&mut request) else {
        return;
    };
    let path = parts.path.clone();
    let (resource, name) = path.split_once('/').unwrap_or((&path, ""));
    let response = match (&parts.method, resource) {
        (Method::Post, "generate") => return generate(shared, request, &body),
        (Method::Get, "stream") => return resume(shared, request, name, parts.query_u64("from")),
        (Method::Delete, "stream") => {
            let cancelled = shared.state().cancel(name);
            Response::new(if cancelled { 200 } else { 404 })
        }
        (Method::Get, "load") => load_report(shared),
        (Method::Get, "events") => {
            let events = shared.state().cache.events(parts.query_u64("after"));
            Response::json(200, &json!({ "events": events }))
        }
        (Method::Post, "order") => order(shared, &body),
        // Key-value cache of a prompt prefix; the stand-in sends a placeholder.
        (Method::Get, "kv") if shared.state().cache.contains(name) => {
            Response::new(200).with_body(format!("kv of {name}").into_bytes())
        }
        (Method::Put, "kv") => {
            shared.state().cache.touch(name);
            Response::new(200)
        }
        _ => Response::new(404),
    };
    response.send(request);
}

/// Creates an error response with `reason` in its JSON body.
fn error(status: u16, reason: impl ToString) -> Response {
    Response::json(status, &json!({ "error": reason.to_string() }))
}

fn generate(shared: &Shared, request: Request, body: &[u8]) {
    let parsed: Result<Generation, _> = serde_json::from_slice(body);
    let generation = match parsed {
        Ok(generation) => generation,
        Err(reason) => return error(400, reason).with_header("x-not-run", 1).send(request),
    };
    let prompt: Prompt = match serde_json::from_str(&generation.prompt) {
        Ok(prompt) => prompt,
        Err(reason) => return error(400, reason).with_header("x-not-run", 1).send(request),
    };
    if let Err(response) = admit(shared, &generation, prompt) {
        return response.send(request);
    }
    let delay = shared.state().response_delay;
    if delay > Span(0) {
        thread::sleep(delay.into());
    }
    attach(shared, request, &generation.attempt, 0);
}

fn admit(shared: &Shared, generation: &Generation, prompt: Prompt) -> Result<(), Response> {
    let mut state = shared.state();
    if state.activate_stream(&generation.attempt).is_some() {
        // Without x-not-run, as the attempt may have run. An ended stream that was found here
        // is set aside again at a later tick.
        return Err(error(409, "attempt exists"));
    }
    let execution = Execution {
        attempt: &generation.attempt,
        request: &generation.request,
        workspace: &generation.workspace,
        key: generation.key.as_deref(),
        fence: generation.fence,
        body: generation.prompt.as_bytes(),
    };
    let Some(record_index) = state.ledger.start(&execution) else {
        return Err(error(409, "fencing number is old").with_header("x-not-run", 1));
    };
    let prefix = generation.prefix.as_deref();
    let cached = prefix.is_some_and(|prefix| state.cache.touch(prefix));
    let prefill_time = if cached {
        Span(0)
    } else {
        shared.settings.prefill_time
    };
    // The first token is due as soon as the prefill ends.
    let progress = 1.0 - prefill_time.as_millis() as f64 / 1000.0 * state.tokens_per_second;
    let stream = Stream::new(record_index, prompt, progress, clock::now());
    state.streams.insert(generation.attempt.clone(), stream);
    shared.changed.notify_all();
    Ok(())
}

fn resume(shared: &Shared, request: Request, attempt: &str, from_index: u64) {
    let mut state = shared.state();
    let Some(record_index) = state
        .activate_stream(attempt)
        .map(|stream| stream.record_index)
    else {
        drop(state);
        return error(404, "no such stream").send(request);
    };
    state.ledger.record_resumption(record_index);
    drop(state);
    attach(shared, request, attempt, from_index);
}

fn attach(shared: &Shared, request: Request, attempt: &str, from_index: u64) {
    let mut state = shared.state();
    match state.activate_stream(attempt) {
        Some(stream) => stream.attach(request.into_writer(), from_index),
        None => {
            drop(state);
            return error(404, "no such stream").send(request);
        }
    }
    shared.changed.notify_all();
}

fn load_report(shared: &Shared) -> Response {
    let state = shared.state();
    let report = state.ledger.load_report(state.report_lag);
    let now = clock::now();
    let loaded = state
        .models
        .iter()
        .filter(|(_, ready_at)| **ready_at <= now);
    let models: Vec<&String> = loaded.map(|(model, _)| model).collect();
    Response::json(
        200,
        &json!({
            "incarnation": state.incarnation,
            "running": report.running,
            "slots": shared.settings.slots,
            "age_ms": report.age.as_millis(),
            "models": models,
        }),
    )
}

fn order(shared: &Shared, body: &[u8]) -> Response {
    let fenced_order: FencedOrder = match serde_json::from_slice(body) {
        Ok(fenced_order) => fenced_order,
        Err(reason) => return error(400, reason),
    };
    let mut state = shared.state();
    if shared.settings.checks_fence && fenced_order.fence < state.order_fence {
        return Response::json(409, &json!({ "fence": state.order_fence }));
    }
    state.order_fence = state.order_fence.max(fenced_order.fence);
    match &fenced_order.order {
        Order::Load(model) => {
            let ready_at = clock::now() + shared.settings.load_time;
            state.models.entry(model.clone()).or_insert(ready_at);
        }
        Order::Unload(model) => {
            state.models.shift_remove(model);
        }
        Order::Role(_) => {}
    }
    state.orders.push((fenced_order.fence, fenced_order.order));
    Response::new(200)
}
