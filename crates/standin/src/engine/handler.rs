//! The calls that an engine takes.

use std::thread;

use balsamchute_base::prelude::*;
use serde_json::json;
use tiny_http::{Method, Request};

use crate::clock;
use crate::http::{self, Answer, Target};
use crate::ledger::Start;
use crate::prompt::Prompt;
use crate::stream::Stream;

use super::Shared;
use super::body::{Generate, Numbered, Order};

/// Handles one call.
pub(super) fn handle(shared: &Shared, mut request: Request) {
    let target = Target::new(&request);
    let Ok(body) = http::body(&mut request) else {
        return;
    };
    let path = target.path.clone();
    let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
    let answer = match (&target.method, kind) {
        (Method::Post, "generate") => return generate(shared, request, &body),
        (Method::Get, "stream") => return resume(shared, request, name, target.number("from")),
        (Method::Delete, "stream") => {
            let cancelled = shared.state().cancel(name);
            Answer::new(if cancelled { 200 } else { 404 })
        }
        (Method::Get, "load") => load(shared),
        (Method::Get, "events") => {
            let events = shared.state().cache.events(target.number("after"));
            Answer::json(200, &json!({ "events": events }))
        }
        (Method::Post, "order") => order(shared, &body),
        (Method::Get, "kv") if shared.state().cache.contains(name) => {
            Answer::new(200).with_body(format!("kv of {name}").into_bytes())
        }
        (Method::Put, "kv") => {
            shared.state().cache.touch(name);
            Answer::new(200)
        }
        _ => Answer::new(404),
    };
    answer.send(request);
}

fn error(status: u16, reason: impl ToString) -> Answer {
    Answer::json(status, &json!({ "error": reason.to_string() }))
}

fn generate(shared: &Shared, request: Request, body: &[u8]) {
    let parsed: Result<Generate, _> = serde_json::from_slice(body);
    let generate = match parsed {
        Ok(generate) => generate,
        Err(reason) => return error(400, reason).with_header("x-not-run", 1).send(request),
    };
    let prompt: Prompt = match serde_json::from_str(&generate.prompt) {
        Ok(prompt) => prompt,
        Err(reason) => return error(400, reason).with_header("x-not-run", 1).send(request),
    };
    if let Err(answer) = admit(shared, &generate, prompt) {
        return answer.send(request);
    }
    let delay = shared.state().answer_delay;
    if delay > Span(0) {
        thread::sleep(delay.into());
    }
    attach(shared, request, &generate.attempt, 0);
}

fn admit(shared: &Shared, generate: &Generate, prompt: Prompt) -> Result<(), Answer> {
    let mut state = shared.state();
    if state.recall(&generate.attempt).is_some() {
        return Err(error(409, "attempt exists"));
    }
    let start = Start {
        attempt: &generate.attempt,
        request: &generate.request,
        workspace: &generate.workspace,
        key: generate.key.as_deref(),
        fence: generate.fence,
        body: generate.prompt.as_bytes(),
    };
    let Some(place) = state.ledger.start(&start) else {
        return Err(error(409, "fencing number is old").with_header("x-not-run", 1));
    };
    let prefix = generate.prefix.as_deref();
    let cached = prefix.is_some_and(|prefix| state.cache.touch(prefix));
    let prefill = if cached {
        Span(0)
    } else {
        shared.settings.prefill
    };
    // The first token comes at once after the prefill.
    let progress = 1.0 - prefill.as_millis() as f64 / 1000.0 * state.speed;
    let stream = Stream::new(place, prompt, progress, clock::now());
    state.streams.insert(generate.attempt.clone(), stream);
    shared.changed.notify_all();
    Ok(())
}

fn resume(shared: &Shared, request: Request, attempt: &str, from: u64) {
    let mut state = shared.state();
    let Some(place) = state.recall(attempt).map(|stream| stream.place) else {
        drop(state);
        return error(404, "no such stream").send(request);
    };
    state.ledger.record_resumption(place);
    drop(state);
    attach(shared, request, attempt, from);
}

fn attach(shared: &Shared, request: Request, attempt: &str, from: u64) {
    let mut state = shared.state();
    match state.recall(attempt) {
        Some(stream) => stream.attach(request.into_writer(), from),
        None => {
            drop(state);
            return error(404, "no such stream").send(request);
        }
    }
    shared.changed.notify_all();
}

fn load(shared: &Shared) -> Answer {
    let state = shared.state();
    let load = state.ledger.load(state.report_lag);
    let now = clock::now();
    let loaded = state.models.iter().filter(|(_, since)| **since <= now);
    let models: Vec<&String> = loaded.map(|(model, _)| model).collect();
    Answer::json(
        200,
        &json!({
            "incarnation": state.incarnation,
            "running": load.running,
            "slots": shared.settings.slots,
            "age_ms": load.age.as_millis(),
            "models": models,
        }),
    )
}

fn order(shared: &Shared, body: &[u8]) -> Answer {
    let numbered: Numbered = match serde_json::from_slice(body) {
        Ok(numbered) => numbered,
        Err(reason) => return error(400, reason),
    };
    let mut state = shared.state();
    if shared.settings.checks_fence && numbered.fence < state.fence {
        return Answer::json(409, &json!({ "fence": state.fence }));
    }
    state.fence = state.fence.max(numbered.fence);
    match &numbered.order {
        Order::Load(model) => {
            let ready = clock::now() + shared.settings.load_time;
            state.models.entry(model.clone()).or_insert(ready);
        }
        Order::Unload(model) => {
            state.models.shift_remove(model);
        }
        Order::Role(_) => {}
    }
    state.orders.push((numbered.fence, numbered.order));
    Answer::new(200)
}
