//! Answers to callers that look up the outcome of a key.

use std::time::Duration;

use balsamchute_base::prelude::*;
use balsamchute_claim::bound::{self, Binding};
use balsamchute_claim::ledger::Stage;
use balsamchute_wire::claim::Reply;
use balsamchute_wire::record::{End, Outcome};
use crossbeam_channel::bounded;
use ureq::Body;
use ureq::http::Response;

use crate::answer;
use crate::callers::{query_parameter, send_error, send_json};
use crate::context::Context;
use crate::http::Request;
use crate::input::{Input, Query};

/// Longest wait for the claim log or for another router.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(4);

/// Responds with the end record of a non-idempotent request, from the memory of
/// this router, from the router that the key is bound to, or from the claim
/// log.
pub(crate) fn serve(context: &Context, request: Request, query: &str) {
    let workspace = query_parameter(query, "workspace").and_then(|name| Workspace::new(&name).ok());
    let key = query_parameter(query, "key").and_then(|name| Key::new(&name).ok());
    let (Some(workspace), Some(key)) = (workspace, key) else {
        let reason = "parameters \"workspace\" and \"key\" are needed";
        return send_error(request, 400, reason);
    };
    let local_state = context.query(|reply| Query::Key(workspace.clone(), key.clone(), reply));
    match local_state {
        None => send_error(request, 503, "router is too busy to answer"),
        Some(Some(state)) => match state.stage {
            Stage::Ended(settled) => send_json(request, Some(&settled.end)),
            Stage::Unsent | Stage::Sent(_) => respond_in_progress(request, &key),
        },
        Some(None) => match bound::binding_of(&key) {
            Binding::Durable => serve_from_log(context, request, workspace, &key),
            Binding::Bound {
                instance,
                incarnation,
                ..
            } => serve_from_bound_router(context, request, &instance, incarnation, query),
            Binding::Malformed => send_error(request, 400, &format!("key \"{key}\" is malformed")),
        },
    }
}

/// Responds with the answer of the router that the key is bound to.
fn serve_from_bound_router(
    context: &Context,
    request: Request,
    instance: &Instance,
    incarnation: Incarnation,
    query: &str,
) {
    if *instance == context.settings.instance && incarnation.0 == context.clock.start().0 {
        return send_error(
            request,
            404,
            "the key is bound to this router, which does not remember it",
        );
    }
    let router = context.query(|reply| Query::RouterAddress(instance.clone(), incarnation, reply));
    let Some(address) = router.flatten() else {
        let reason = format!("router \"{instance}\", which the key is bound to, cannot be reached");
        return send_json(request, Some(&End::new(Outcome::Unknown, &reason)));
    };
    let url = format!("http://{address}/v1/outcome?{query}");
    let call = context
        .pooled_agent
        .get(url)
        .config()
        .timeout_global(Some(LOOKUP_TIMEOUT));
    let response = call.build().call().map_err(|error| error.to_string());
    match response.and_then(read_json) {
        Ok((status, body)) => {
            answer::respond_with_json(request, status, body);
        }
        Err(reason) => {
            send_error(
                request,
                503,
                &format!("router \"{instance}\" did not answer: {reason}"),
            );
        }
    }
}

/// Returns the status and the body of another router's response.
fn read_json(mut response: Response<Body>) -> Result<(u16, String), String> {
    if !balsamchute_transport::announces_end(&response) {
        return Err("the response has neither a length nor chunks".to_owned());
    }
    let body = response.body_mut().read_to_string();
    let body = body.map_err(|error| error.to_string())?;
    Ok((response.status().as_u16(), body))
}

/// Responds with the reply of the claim log.
fn serve_from_log(context: &Context, request: Request, workspace: Workspace, key: &Key) {
    let (sender, receiver) = bounded(1);
    context.send(Input::Query(Query::LogReply(
        workspace,
        key.clone(),
        sender,
    )));
    match receiver.recv_timeout(LOOKUP_TIMEOUT) {
        Ok(Reply::Settled(settled)) => send_json(request, Some(&settled.end)),
        Ok(Reply::Held(claim)) => {
            let reason = format!(
                "router \"{}\" claimed the key and has not reported its end",
                claim.holder
            );
            send_json(request, Some(&End::new(Outcome::Unknown, &reason)));
        }
        Ok(Reply::Free) => send_error(request, 404, &format!("key \"{key}\" was never claimed")),
        Ok(Reply::Granted | Reply::Mismatch | Reply::Unavailable) | Err(_) => {
            send_error(request, 503, "the claim log cannot be read now");
        }
    }
}

fn respond_in_progress(request: Request, key: &Key) {
    send_error(request, 409, &format!("key \"{key}\" is under way"));
}
