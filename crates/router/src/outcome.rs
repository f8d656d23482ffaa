//! The answer to callers who ask what became of a key.

use std::time::Duration;

use balsamchute_base::prelude::*;
use balsamchute_claim::bound::{self, Binding};
use balsamchute_claim::ledger::Stage;
use balsamchute_wire::claim::Verdict;
use balsamchute_wire::record::{End, Outcome};
use crossbeam_channel::bounded;
use tiny_http::{Request, Response};

use crate::answer::header;
use crate::callers::{fail, parameter, reply};
use crate::input::{Input, Query};
use crate::work::Work;

/// How long the claim log may take to answer.
const LOG_TIMEOUT: Duration = Duration::from_secs(4);

/// Answers how a non-idempotent request ended, by this router's memory or by
/// the claim log.
pub(crate) fn serve(work: &Work, request: Request, query: &str) {
    let workspace = parameter(query, "workspace").and_then(|name| Workspace::new(&name).ok());
    let key = parameter(query, "key").and_then(|name| Key::new(&name).ok());
    let (Some(workspace), Some(key)) = (workspace, key) else {
        let reason = "parameters \"workspace\" and \"key\" are needed";
        return fail(request, 400, reason);
    };
    let remembered = work.ask(|reply| Query::Key(workspace.clone(), key.clone(), reply));
    match remembered {
        None => fail(request, 503, "router is too busy to answer"),
        Some(Some(state)) => match state.stage {
            Stage::Ended(settled) => reply(request, Some(&settled.end)),
            Stage::Waiting | Stage::Sent(_) => under_way(request, &key),
        },
        Some(None) => match bound::binding(&key) {
            Binding::Durable => logged(work, request, workspace, &key),
            Binding::Bound {
                instance,
                incarnation,
                ..
            } => bound_elsewhere(work, request, &instance, incarnation, query),
            Binding::Malformed => fail(request, 400, &format!("key \"{key}\" is malformed")),
        },
    }
}

/// Answers by the memory of the router that the key is bound to.
fn bound_elsewhere(
    work: &Work,
    request: Request,
    instance: &Instance,
    incarnation: Incarnation,
    query: &str,
) {
    if *instance == work.settings.instance && incarnation.0 == work.clock.start().0 {
        return fail(
            request,
            404,
            "the key is bound to this router, which does not remember it",
        );
    }
    let router = work.ask(|reply| Query::Router(instance.clone(), incarnation, reply));
    let Some(address) = router.flatten() else {
        let reason = format!("router \"{instance}\", which the key is bound to, cannot be reached");
        return reply(request, Some(&End::new(Outcome::Unknown, &reason)));
    };
    let url = format!("http://{address}/v1/outcome?{query}");
    let call = work
        .pooled
        .get(url)
        .config()
        .timeout_global(Some(LOG_TIMEOUT));
    let answer = call.build().call().map(|mut answer| {
        let status = answer.status().as_u16();
        answer
            .body_mut()
            .read_to_string()
            .map(|body| (status, body))
    });
    match answer {
        Ok(Ok((status, body))) => {
            let response = Response::from_string(body).with_status_code(status);
            let _ =
                request.respond(response.with_header(header("Content-Type", "application/json")));
        }
        Ok(Err(error)) | Err(error) => {
            fail(
                request,
                503,
                &format!("router \"{instance}\" did not answer: {error}"),
            );
        }
    }
}

/// Answers by the claim log.
fn logged(work: &Work, request: Request, workspace: Workspace, key: &Key) {
    let (sender, receiver) = bounded(1);
    work.send(Input::Query(Query::Log(workspace, key.clone(), sender)));
    match receiver.recv_timeout(LOG_TIMEOUT) {
        Ok(Verdict::Settled(settled)) => reply(request, Some(&settled.end)),
        Ok(Verdict::Held(claim)) => {
            let reason = format!(
                "router \"{}\" claimed the key and has not reported its end",
                claim.holder
            );
            reply(request, Some(&End::new(Outcome::Unknown, &reason)));
        }
        Ok(Verdict::Free) => fail(request, 404, &format!("key \"{key}\" was never claimed")),
        Ok(Verdict::Granted | Verdict::Mismatch | Verdict::Unavailable) | Err(_) => {
            fail(request, 503, "the claim log cannot be read now");
        }
    }
}

fn under_way(request: Request, key: &Key) {
    fail(request, 409, &format!("key \"{key}\" is under way"));
}
