//! Claims of idempotency keys in the claim logs of the platform's object store.
//!
//! An operation goes to the router that writes the shard of its key. If that is
//! another router and it does not answer, this router reads and writes the log
//! itself. That is slower but equally safe: the operation carries its nonce, so
//! a claim that was made in the meantime is recognised.

mod remote;
mod store;
mod writers;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use balsamchute_base::prelude::*;
use balsamchute_claim::shard::shard_of;
use balsamchute_dispatch::dispatcher::Dispatcher;
use balsamchute_dispatch::event::RequestNumber;
use balsamchute_wire::claim::{Batch, Operation, Replies, Reply};
use crossbeam_channel::{Sender, unbounded};

use crate::context::Context;
use crate::error::Error;
use remote::{Outgoing, Remotes};
use writers::Input;

/// Origin of an operation, which decides what happens with its reply.
pub(crate) enum Origin {
    /// A request that waits for its claim.
    Request(RequestNumber),
    /// The end of a request, which has to be stored eventually. The reply is
    /// dropped.
    Settle(
        // Held for its `Drop`.
        #[allow(dead_code)] Pending,
    ),
    /// An operation in a batch of another router.
    BatchItem {
        /// Number of the batch, assigned by this router.
        batch: u64,
        /// Position of the operation in the batch.
        index: usize,
    },
    /// A lookup of a key for a caller.
    Lookup(Sender<Reply>),
    /// A probe of whether the store works again. The reply is dropped.
    Probe,
}

/// Counts an end record as pending until it is stored or dropped.
pub(crate) struct Pending(Arc<AtomicUsize>);

impl Pending {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Pending(Arc::clone(count))
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Client of the claim logs, and writer of the shards that this router is
/// responsible for.
pub(crate) struct Claims {
    writer_inputs: Sender<Input>,
    remotes: Remotes,
    pending_ends: Arc<AtomicUsize>,
}

impl Claims {
    /// Starts the threads that write claim logs and send operations to other
    /// routers.
    pub fn start(context: &Context) -> Result<Self, Error> {
        let (writer_inputs, inputs) = unbounded();
        let calls = store::start(context, &writer_inputs)?;
        writers::start(context, inputs, calls)?;
        let remotes = Remotes::start(context, &writer_inputs)?;
        Ok(Claims {
            writer_inputs,
            remotes,
            pending_ends: Arc::default(),
        })
    }

    /// Submits an operation for a request. The reply returns as an event.
    pub fn submit(
        &self,
        dispatcher: &Dispatcher,
        request_number: RequestNumber,
        operation: Operation,
    ) {
        self.route(dispatcher, Origin::Request(request_number), operation);
    }

    /// Submits the end of a claimed request. While the store is unavailable, the
    /// end is retried, unless too many ends wait already.
    pub fn settle(&self, dispatcher: &Dispatcher, operation: Operation) {
        self.route(
            dispatcher,
            Origin::Settle(Pending::new(&self.pending_ends)),
            operation,
        );
    }

    /// Looks up a key in its claim log and sends the reply to `sender`.
    pub fn look_up(
        &self,
        dispatcher: &Dispatcher,
        workspace: Workspace,
        key: Key,
        sender: Sender<Reply>,
    ) {
        self.route(
            dispatcher,
            Origin::Lookup(sender),
            Operation::Look { workspace, key },
        );
    }

    /// Processes a batch of another router and sends the replies to `sender`.
    pub fn serve_batch(&self, batch: Batch, sender: Sender<Replies>) {
        let _ = self.writer_inputs.send(Input::Batch(batch, sender));
    }

    /// Returns whether any end record has not been stored yet.
    pub fn has_pending_ends(&self) -> bool {
        self.pending_ends.load(Ordering::Relaxed) > 0
    }

    fn route(&self, dispatcher: &Dispatcher, origin: Origin, operation: Operation) {
        let shard = operation_shard(&operation);
        match dispatcher.claim_writer(shard) {
            Some(writer) if writer.instance != dispatcher.local_member().instance => {
                let outgoing = Outgoing { origin, operation };
                self.remotes.send(&writer.instance, writer.inner, outgoing);
            }
            _ => drop(self.writer_inputs.send(Input::Operation(origin, operation))),
        }
    }
}

/// Returns the claim shard of an operation's key.
fn operation_shard(operation: &Operation) -> u32 {
    match operation {
        Operation::Claim(claim) => shard_of(&claim.workspace, &claim.key),
        Operation::Settle { workspace, key, .. } | Operation::Look { workspace, key } => {
            shard_of(workspace, key)
        }
    }
}
