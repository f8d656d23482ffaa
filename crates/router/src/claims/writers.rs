//! Thread that owns the writers of claim shards.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use balsamchute_base::prelude::*;
use balsamchute_claim::writer::{Action, Event, Settings, Writer};
use balsamchute_dispatch::event;
use balsamchute_wire::claim::{Batch, Operation, Replies, Reply};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use super::store::Call;
use super::{Origin, operation_shard};
use crate::context::Context;
use crate::error::Error;
use crate::peers::spawn;

/// Interval at which timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which an end record that could not be stored is retried and a
/// failing store is probed.
const RETRY_INTERVAL: Span = Span::from_secs(1);

/// Maximum number of end records that wait to be stored. Further ones are
/// dropped, which leaves the outcome of their keys unknown.
const MAX_UNSETTLED: usize = 10_000;

/// Input of the thread.
pub(super) enum Input {
    /// An operation to process here.
    Operation(Origin, Operation),
    /// The reply of another router to an operation.
    Reply(Origin, Operation, Reply),
    /// A batch of operations from another router.
    Batch(Batch, Sender<Replies>),
    /// The result of a store call for a shard.
    CallResult(u32, Event),
}

/// Batch of another router with the replies received so far.
struct PendingBatch {
    replies: Vec<Option<Reply>>,
    sender: Sender<Replies>,
}

/// Writers of the claim shards and the operations that they process.
struct ShardWriters {
    context: Context,
    calls: Sender<Call>,
    /// Writers by shard, each created at its first operation.
    writers: BTreeMap<u32, Writer>,
    /// Time at which the writer of a shard needs its next tick.
    wake_times: BTreeMap<u32, Time>,
    /// Operations without a reply, by the id that was passed to the writer.
    operations: HashMap<u64, (Origin, Operation)>,
    /// Batches of other routers that are not complete, by batch id.
    batches: HashMap<u64, PendingBatch>,
    /// End records to submit again, each with the time at which it is due.
    unsettled: VecDeque<(Time, Origin, Operation)>,
    /// Last id given to an operation or a batch.
    last_id: u64,
    /// Whether no writer was failing at the last check of the timers.
    store_works: bool,
    next_probe_at: Time,
}

/// Starts the thread, which runs until `inputs` is closed.
pub(super) fn start(
    context: &Context,
    inputs: Receiver<Input>,
    calls: Sender<Call>,
) -> Result<(), Error> {
    spawn(context, move |context| {
        let mut shard_writers = ShardWriters {
            context: context.clone(),
            calls,
            writers: BTreeMap::new(),
            wake_times: BTreeMap::new(),
            operations: HashMap::new(),
            batches: HashMap::new(),
            unsettled: VecDeque::new(),
            last_id: 0,
            store_works: true,
            next_probe_at: Time(0),
        };
        loop {
            match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(input) => shard_writers.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            shard_writers.handle_timers();
        }
    })
}

impl ShardWriters {
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Operation(origin, operation) => self.submit(origin, operation),
            Input::Reply(origin, operation, reply) => self.deliver(origin, operation, reply),
            Input::Batch(batch, sender) => self.submit_batch(batch, sender),
            Input::CallResult(shard, event) => self.handle_event(shard, event),
        }
    }

    fn submit(&mut self, origin: Origin, operation: Operation) {
        self.last_id += 1;
        let id = self.last_id;
        let shard = operation_shard(&operation);
        self.operations.insert(id, (origin, operation.clone()));
        self.handle_event(shard, Event::Request { id, operation });
    }

    fn submit_batch(&mut self, batch: Batch, sender: Sender<Replies>) {
        if batch.operations.is_empty() {
            let replies = Vec::new();
            return drop(sender.send(Replies { replies }));
        }
        self.last_id += 1;
        let batch_id = self.last_id;
        let replies = vec![None; batch.operations.len()];
        self.batches
            .insert(batch_id, PendingBatch { replies, sender });
        for (index, operation) in batch.operations.into_iter().enumerate() {
            let batch = batch_id;
            self.submit(Origin::BatchItem { batch, index }, operation);
        }
    }

    fn handle_event(&mut self, shard: u32, event: Event) {
        let now = self.context.now();
        let writer = self.writers.entry(shard).or_insert_with(|| {
            let instance = &self.context.settings.instance;
            let incarnation = Incarnation(self.context.clock.start().0);
            Writer::new(shard, instance, incarnation, Settings::default())
        });
        for action in writer.handle(now, event) {
            match action {
                Action::Reply { id, reply } => {
                    if let Some((origin, operation)) = self.operations.remove(&id) {
                        self.deliver(origin, operation, reply);
                    }
                }
                Action::Wake(time) => {
                    self.wake_times.insert(shard, time);
                }
                action => drop(self.calls.send(Call { shard, action })),
            }
        }
    }

    fn deliver(&mut self, origin: Origin, operation: Operation, reply: Reply) {
        match origin {
            Origin::Request(request_number) => {
                self.context
                    .send_event(event::Event::ClaimReply(request_number, reply));
            }
            Origin::Settle(_) if reply == Reply::Unavailable => {
                if self.unsettled.len() < MAX_UNSETTLED {
                    let due = self.context.now() + RETRY_INTERVAL;
                    self.unsettled.push_back((due, origin, operation));
                }
            }
            Origin::BatchItem { batch, index } => self.fill_batch(batch, index, reply),
            Origin::Lookup(sender) => drop(sender.send(reply)),
            Origin::Settle(_) | Origin::Probe => {}
        }
    }

    /// Stores the reply of a batch item and answers the batch once it is
    /// complete.
    fn fill_batch(&mut self, batch: u64, index: usize, reply: Reply) {
        let Some(pending) = self.batches.get_mut(&batch) else {
            return;
        };
        pending.replies[index] = Some(reply);
        if pending.replies.iter().all(Option::is_some)
            && let Some(pending) = self.batches.remove(&batch)
        {
            let replies = pending.replies.into_iter().flatten().collect();
            let _ = pending.sender.send(Replies { replies });
        }
    }

    /// Wakes writers that are due, retries end records and reports whether the
    /// store works.
    fn handle_timers(&mut self) {
        let now = self.context.now();
        while let Some((&shard, _)) = self.wake_times.iter().find(|(_, time)| **time <= now) {
            self.wake_times.remove(&shard);
            self.handle_event(shard, Event::Tick);
        }
        while let Some((due, ..)) = self.unsettled.front()
            && *due <= now
            && let Some((_, origin, operation)) = self.unsettled.pop_front()
        {
            self.submit(origin, operation);
        }
        let store_works = !self.writers.values().any(Writer::is_failing);
        if store_works != self.store_works {
            self.store_works = store_works;
            self.context
                .send_event(event::Event::ClaimsAvailable(store_works));
            let state = if store_works { "can" } else { "cannot" };
            log::info!("claims: the claim store {state} be used.");
        }
        if !store_works && now >= self.next_probe_at {
            self.next_probe_at = now + RETRY_INTERVAL;
            self.probe_failing_shards();
        }
    }

    /// Submits a lookup to each shard whose last store call failed, so that
    /// recovery is noticed without traffic.
    fn probe_failing_shards(&mut self) {
        let failing = self
            .writers
            .iter()
            .filter(|(_, writer)| writer.is_failing());
        let failing: Vec<u32> = failing.map(|(shard, _)| *shard).collect();
        for shard in failing {
            // The lookup goes directly to the writer of the shard, so its key
            // need not belong to the shard.
            let (Ok(workspace), Ok(key)) = (Workspace::new("probe"), Key::new("probe")) else {
                return;
            };
            self.last_id += 1;
            let (id, operation) = (self.last_id, Operation::Look { workspace, key });
            self.operations
                .insert(id, (Origin::Probe, operation.clone()));
            self.handle_event(shard, Event::Request { id, operation });
        }
    }
}
