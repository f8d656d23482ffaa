//! Threads that call the platform for the writers of claim shards.

use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_claim::writer::{Action, Event, ReadResult, WriteResult};
use balsamchute_platform::client::{Client, Settings};
use balsamchute_platform::error::Error as Failure;
use crossbeam_channel::{Receiver, Sender, unbounded};

use super::writers::Input;
use crate::context::Context;
use crate::error::Error;
use crate::peers::spawn;
use crate::traffic;

/// Threads that call the platform. Each writer has at most one call in flight,
/// and in a fleet of four routers each one writes about eight of the 32 shards.
const CALLER_THREADS: usize = 8;

/// Longest time for one call, in milliseconds.
const CALL_TIMEOUT: Span = Span(1500);

/// Maximum rate of platform calls for claims by one router, in calls per
/// second.
const MAX_CALLS_PER_SECOND: f64 = 150.0;

/// Platform call requested by the writer of a shard.
pub(super) struct Call {
    /// Claim shard that the call reads or writes.
    pub shard: u32,
    /// Read or write to execute.
    pub action: Action,
}

/// Starts the threads. The results of calls go to `writer_inputs`.
pub(super) fn start(
    context: &Context,
    writer_inputs: &Sender<Input>,
) -> Result<Sender<Call>, Error> {
    let settings = Settings {
        response_timeout: CALL_TIMEOUT,
        max_retries: 0,
        calls_per_second: MAX_CALLS_PER_SECOND,
        burst: MAX_CALLS_PER_SECOND,
        ..Settings::default()
    };
    let client = Arc::new(Client::new(context.settings.platform, settings));
    traffic::register_platform_calls(context, "claims", &client);
    let (calls, receiver) = unbounded();
    for _ in 0..CALLER_THREADS {
        let (client, writer_inputs) = (Arc::clone(&client), writer_inputs.clone());
        let receiver: Receiver<Call> = receiver.clone();
        spawn(context, move |context| {
            for call in receiver {
                if let Some(event) = execute(context, &client, &call) {
                    let _ = writer_inputs.send(Input::CallResult(call.shard, event));
                }
            }
        })?;
    }
    Ok(calls)
}

/// Executes a read or write and returns its result, `None` for other actions.
fn execute(context: &Context, client: &Client, call: &Call) -> Option<Event> {
    let shard = call.shard;
    let snapshot = format!("claims/{shard}/snapshot");
    let event = match &call.action {
        Action::ReadSlot { slot } => Event::SlotRead {
            slot: *slot,
            result: read(context, client, &format!("claims/{shard}/{slot}")),
        },
        Action::WriteSlot {
            slot,
            version,
            bytes,
        } => Event::SlotWritten {
            slot: *slot,
            result: write(
                context,
                client,
                &format!("claims/{shard}/{slot}"),
                *version,
                bytes,
            ),
        },
        Action::ReadSnapshot => Event::SnapshotRead(read(context, client, &snapshot)),
        Action::WriteSnapshot { version, bytes } => {
            Event::SnapshotWritten(write(context, client, &snapshot, *version, bytes))
        }
        Action::Reply { .. } | Action::Wake(_) => return None,
    };
    Some(event)
}

fn read(context: &Context, client: &Client, path: &str) -> ReadResult {
    if !context.may_connect(context.settings.platform) {
        return ReadResult::Failed;
    }
    match client.get(path) {
        Ok(object) => ReadResult::Found {
            version: object.version,
            bytes: object.bytes,
        },
        Err(Failure::NotFound { .. }) => ReadResult::Missing,
        Err(error) => {
            log::debug!("claims: cannot read \"{path}\". {error}");
            ReadResult::Failed
        }
    }
}

fn write(
    context: &Context,
    client: &Client,
    path: &str,
    version: u64,
    bytes: &[u8],
) -> WriteResult {
    if !context.may_connect(context.settings.platform) {
        return WriteResult::Failed;
    }
    match client.put_if(path, version, bytes) {
        Ok(version) => WriteResult::Written { version },
        Err(Failure::Conflict { .. }) => WriteResult::Conflict,
        Err(error @ (Failure::ResponseLost { .. } | Failure::Malformed { .. })) => {
            log::debug!("claims: response to the write of \"{path}\" was lost. {error}");
            WriteResult::AnswerLost
        }
        Err(error) => {
            log::debug!("claims: cannot write \"{path}\". {error}");
            WriteResult::Failed
        }
    }
}
