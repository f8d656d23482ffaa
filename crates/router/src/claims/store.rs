//! Threads that call the platform for the writers of claim shards.

use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_claim::writer::{Action, Event, Read, Write};
use balsamchute_platform::client::{Client, Settings};
use balsamchute_platform::error::Error as Failure;
use crossbeam_channel::{Receiver, Sender, unbounded};

use super::hub::Input;
use crate::error::Error;
use crate::peers::spawn;
use crate::traffic;
use crate::work::Work;

/// Threads that call the platform. A writer has one call under way at a time,
/// and a router of a small fleet writes a handful of shards.
const THREADS: usize = 8;

/// Longest time for one call.
const ANSWER: Span = Span(1500);

/// Calls a second that one router may make for claims.
const RATE: f64 = 150.0;

/// One call that a writer wants made.
pub(super) struct Call {
    /// The shard.
    pub shard: u32,
    /// What to do.
    pub action: Action,
}

/// Starts the threads; their results go to `hub`.
pub(super) fn start(work: &Work, hub: &Sender<Input>) -> Result<Sender<Call>, Error> {
    let settings = Settings {
        answer: ANSWER,
        retries: 0,
        rate: RATE,
        burst: RATE,
        ..Settings::default()
    };
    let client = Arc::new(Client::new(work.settings.platform, settings));
    traffic::watch_platform(work, "claims", &client);
    let (calls, receiver) = unbounded();
    for _ in 0..THREADS {
        let (client, hub) = (Arc::clone(&client), hub.clone());
        let receiver: Receiver<Call> = receiver.clone();
        spawn(work, move |work| {
            for call in receiver {
                if let Some(event) = carry_out(work, &client, &call) {
                    let _ = hub.send(Input::Event(call.shard, event));
                }
            }
        })?;
    }
    Ok(calls)
}

fn carry_out(work: &Work, client: &Client, call: &Call) -> Option<Event> {
    let shard = call.shard;
    let snapshot = format!("claims/{shard}/snapshot");
    let event = match &call.action {
        Action::Read { slot } => Event::Read {
            slot: *slot,
            result: read(work, client, &format!("claims/{shard}/{slot}")),
        },
        Action::Write {
            slot,
            version,
            bytes,
        } => Event::Written {
            slot: *slot,
            result: write(
                work,
                client,
                &format!("claims/{shard}/{slot}"),
                *version,
                bytes,
            ),
        },
        Action::ReadSnapshot => Event::SnapshotRead(read(work, client, &snapshot)),
        Action::WriteSnapshot { version, bytes } => {
            Event::SnapshotWritten(write(work, client, &snapshot, *version, bytes))
        }
        Action::Reply { .. } | Action::Wake(_) => return None,
    };
    Some(event)
}

fn read(work: &Work, client: &Client, path: &str) -> Read {
    if !work.is_open(work.settings.platform) {
        return Read::Failed;
    }
    match client.get(path) {
        Ok(object) => Read::Found {
            version: object.version,
            bytes: object.bytes,
        },
        Err(Failure::NotFound { .. }) => Read::Missing,
        Err(error) => {
            log::debug!("claims: cannot read \"{path}\". {error}");
            Read::Failed
        }
    }
}

fn write(work: &Work, client: &Client, path: &str, version: u64, bytes: &[u8]) -> Write {
    if !work.is_open(work.settings.platform) {
        return Write::Failed;
    }
    match client.put_if(path, version, bytes) {
        Ok(version) => Write::Written { version },
        Err(Failure::Conflict { .. }) => Write::Conflict,
        Err(error @ (Failure::AnswerLost { .. } | Failure::Malformed { .. })) => {
            log::debug!("claims: answer to the write of \"{path}\" was lost. {error}");
            Write::AnswerLost
        }
        Err(error) => {
            log::debug!("claims: cannot write \"{path}\". {error}");
            Write::Failed
        }
    }
}
