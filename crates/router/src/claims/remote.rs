//! Sending operations to the routers that write other claim shards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_wire::claim::{Batch, Operation, Replies, Reply};
use balsamchute_wire::codec;
use crossbeam_channel::{Receiver, Sender, unbounded};

use super::Origin;
use super::writers::Input;
use crate::context::Context;
use crate::error::Error;
use crate::peers::{post_within, spawn};

/// Threads that send operations. All operations to one router go through the
/// same thread.
const SENDER_THREADS: usize = 16;

/// Longest wait for the replies of another router, after which this router
/// accesses the claim log itself.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2500);

/// Maximum number of further queued operations that are sent together with the
/// first one.
const MAX_EXTRA_OPERATIONS: usize = 256;

/// Operation to send, with its origin.
pub(super) struct Outgoing {
    /// Origin of the operation, which decides what happens with its reply.
    pub origin: Origin,
    /// Operation for the writer of the shard.
    pub operation: Operation,
}

/// Queues of the threads that send operations to other routers.
pub(super) struct Remotes {
    senders: Vec<Sender<(SocketAddr, Outgoing)>>,
}

impl Remotes {
    /// Starts the threads. Replies and operations that failed go to
    /// `writer_inputs`.
    pub fn start(context: &Context, writer_inputs: &Sender<Input>) -> Result<Self, Error> {
        let mut senders = Vec::new();
        for _ in 0..SENDER_THREADS {
            let (sender, queue) = unbounded();
            let inputs = writer_inputs.clone();
            spawn(context, move |context| send_loop(context, &queue, &inputs))?;
            senders.push(sender);
        }
        Ok(Remotes { senders })
    }

    /// Queues an operation for the router `instance` at `address`.
    pub fn send(&self, instance: &Instance, address: SocketAddr, outgoing: Outgoing) {
        let index = rank::score(instance.as_str(), "claims") as usize % SENDER_THREADS;
        let _ = self.senders[index].send((address, outgoing));
    }
}

fn send_loop(
    context: &Context,
    queue: &Receiver<(SocketAddr, Outgoing)>,
    writer_inputs: &Sender<Input>,
) {
    while let Ok((address, first)) = queue.recv() {
        let mut batches: BTreeMap<SocketAddr, Vec<Outgoing>> = BTreeMap::new();
        batches.entry(address).or_default().push(first);
        for (address, next) in queue.try_iter().take(MAX_EXTRA_OPERATIONS) {
            batches.entry(address).or_default().push(next);
        }
        for (address, operations) in batches {
            send_batch(context, address, operations, writer_inputs);
        }
    }
}

fn send_batch(
    context: &Context,
    address: SocketAddr,
    operations: Vec<Outgoing>,
    writer_inputs: &Sender<Input>,
) {
    let batch = Batch {
        from: context.settings.instance.clone(),
        operations: operations
            .iter()
            .map(|outgoing| outgoing.operation.clone())
            .collect(),
    };
    let answer = post_within(context, address, "claim", &batch, REPLY_TIMEOUT).ok();
    let answer = answer.and_then(|bytes| codec::decode::<Replies>(&bytes).ok());
    let replies = answer.map_or_else(Vec::new, |answer| answer.replies);
    let replies = replies.into_iter().map(Some);
    for (outgoing, reply) in operations
        .into_iter()
        .zip(replies.chain(std::iter::repeat(None)))
    {
        let Outgoing { origin, operation } = outgoing;
        let input = match reply {
            // This router accesses the log itself. It may reach the store even
            // if the other router cannot.
            None | Some(Reply::Unavailable) => Input::Operation(origin, operation),
            Some(reply) => Input::Reply(origin, operation, reply),
        };
        let _ = writer_inputs.send(input);
    }
}
