//! Claims of keys in the platform's object API.
//!
//! An ask goes to the router that writes the key's shard. If that is another
//! one and it does not answer, this router reads and writes the log itself,
//! which is slower and as safe: the ask carries its nonce, so a claim that was
//! made meanwhile is recognised.

mod hub;
mod remote;
mod store;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use balsamchute_base::prelude::*;
use balsamchute_claim::shard::shard;
use balsamchute_dispatch::core::Core;
use balsamchute_dispatch::event::Ticket;
use balsamchute_wire::claim::{Answer, Ask, Batch, Verdict};
use crossbeam_channel::{Sender, unbounded};

use crate::error::Error;
use crate::work::Work;
use hub::Input;
use remote::{Asking, Remotes};

/// Who gets the verdict on an ask.
pub(crate) enum Origin {
    /// A request.
    Ticket(Ticket),
    /// Nobody, but the end has to be stored sooner or later.
    Settle(
        // Held for its drop.
        #[allow(dead_code)] Open,
    ),
    /// A place in another router's batch.
    Part {
        /// Number of the batch.
        batch: u64,
        /// The place.
        index: usize,
    },
    /// Somebody who asks what became of a key.
    Look(Sender<Verdict>),
    /// Nobody: the ask finds out whether the store works.
    Probe,
}

/// Counts an end that is not yet stored.
pub(crate) struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Open(Arc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Asks claim logs and writes those that this router is responsible for.
pub(crate) struct Claims {
    hub: Sender<Input>,
    remotes: Remotes,
    open: Arc<AtomicUsize>,
}

impl Claims {
    /// Starts the threads.
    pub fn start(work: &Work) -> Result<Self, Error> {
        let (hub, inputs) = unbounded();
        let calls = store::start(work, &hub)?;
        hub::start(work, inputs, calls)?;
        let remotes = Remotes::start(work, &hub)?;
        Ok(Claims {
            hub,
            remotes,
            open: Arc::default(),
        })
    }

    /// Asks for a verdict, which comes as an event.
    pub fn ask(&self, core: &Core, ticket: Ticket, ask: Ask) {
        self.route(core, Origin::Ticket(ticket), ask);
    }

    /// Records the end of a claimed request.
    pub fn settle(&self, core: &Core, ask: Ask) {
        self.route(core, Origin::Settle(Open::new(&self.open)), ask);
    }

    /// Asks what the log says about a key.
    pub fn look(&self, core: &Core, workspace: Workspace, key: Key, reply: Sender<Verdict>) {
        self.route(core, Origin::Look(reply), Ask::Look { workspace, key });
    }

    /// Answers another router.
    pub fn serve(&self, batch: Batch, reply: Sender<Answer>) {
        let _ = self.hub.send(Input::Batch(batch, reply));
    }

    /// Returns whether ends are still to be stored.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed) > 0
    }

    fn route(&self, core: &Core, origin: Origin, ask: Ask) {
        let shard = shard_of(&ask);
        match core.claim_writer(shard) {
            Some(writer) if writer.instance != core.me().instance => {
                let asking = Asking { origin, ask };
                self.remotes.send(&writer.instance, writer.inner, asking);
            }
            _ => drop(self.hub.send(Input::Ask(origin, ask))),
        }
    }
}

/// Returns the shard that an ask is about.
fn shard_of(ask: &Ask) -> u32 {
    match ask {
        Ask::Claim(claim) => shard(&claim.workspace, &claim.key),
        Ask::Settle { workspace, key, .. } | Ask::Look { workspace, key } => shard(workspace, key),
    }
}
