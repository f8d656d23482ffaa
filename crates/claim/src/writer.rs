//! Reads and extends the log of one shard.
//!
//! Entry `n` is stored in slot `n % slots` by a conditional update on the
//! version that the slot had when it held entry `n - slots`. Slots are never
//! deleted and their versions only increase, so an update succeeds only for a
//! writer that has read all earlier entries, even if it was paused for long in
//! between. A slot is reused only after a snapshot covers its old entry.
//!
//! A writer has at most one call to the store in flight. The log stays correct
//! with any number of concurrent writers; one router usually writes a shard
//! alone, which only avoids conflicts.

mod event;

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_wire::claim::{Operation, Reply, Settled};
use balsamchute_wire::codec;
use smallvec::SmallVec;

pub use event::{Action, Actions, Event, ReadResult, WriteResult};

use crate::log::{Entry, Evaluation, Log, Record, Snapshot};

/// Number of slots of a shard's log. Part of the stored format.
pub const SLOTS: u64 = 64;

/// Maximum size of a stored answer, in bytes over all of its texts. Equals the
/// default of [`crate::ledger::Settings::max_answer_bytes`].
const MAX_ANSWER_BYTES: usize = 2048;

/// Maximum size of a stored reason in bytes.
const MAX_REASON_BYTES: usize = 256;

/// Pace, timeouts and size limits of a [`Writer`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Number of slots of the log. All routers of the fleet use the same.
    pub slots: u64,
    /// Number of entries after which a snapshot is written, at most `slots`.
    pub snapshot_entries: u64,
    /// Minimum average time between two entries. With 32 shards at 100 ms the fleet
    /// writes at most 320 entries and 10 snapshots a second.
    pub entry_interval: Span,
    /// Time by which entries may run ahead of the average pace, so that a few
    /// claims in a row do not wait.
    pub burst: Span,
    /// Maximum wait of an operation while the store fails. Once the store has
    /// failed for longer, operations are refused until the next call is due.
    pub outage_timeout: Span,
    /// Wait after the first failure of the store. It doubles with each further
    /// failure.
    pub initial_backoff: Span,
    /// Maximum wait after a failure.
    pub max_backoff: Span,
    /// Maximum number of records in an entry.
    pub max_records: usize,
    /// Maximum number of pending operations. Beyond it, operations are refused.
    pub max_pending: usize,
    /// Approximate size of a snapshot in bytes at or above which claims are
    /// refused. From half of it, answers are not stored. A snapshot of the default
    /// size encodes to less than 1 MiB; reasons of ends that are recorded later add
    /// to it.
    pub max_snapshot_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            slots: SLOTS,
            snapshot_entries: SLOTS / 2,
            entry_interval: Span(100),
            burst: Span(300),
            outage_timeout: Span(1000),
            initial_backoff: Span(50),
            max_backoff: Span(2000),
            max_records: 256,
            max_pending: 4096,
            max_snapshot_bytes: 800_000,
        }
    }
}

/// The call to the store that is in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Call {
    None,
    ReadSnapshot,
    WriteSnapshot { seq: u64 },
    Read { slot: u64 },
    Write { entry: Vec<u8>, slot: u64 },
}

/// An operation that waits for its reply.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    id: u64,
    operation: Operation,
    arrived: Time,
    /// Number of the first call to the store started after the arrival.
    first_call: u64,
}

/// Consecutive failures of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Outage {
    /// Time of the first failure.
    since: Time,
    /// Time before which no call may start.
    retry_at: Time,
    /// Wait after the last failure.
    backoff: Span,
}

/// The stored snapshot as last read or written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Checkpoint {
    /// Sequence number of the last entry that the snapshot covers.
    seq: u64,
    /// Version of the snapshot object, 0 if it does not exist.
    version: u64,
}

/// Reader and writer of one shard's log.
#[derive(Clone, Debug)]
pub struct Writer {
    shard: u32,
    instance: Instance,
    incarnation: Incarnation,
    settings: Settings,
    log: Log,
    checkpoint: Option<Checkpoint>,
    /// Last known version of each slot, 0 if it is empty. Absent for a slot that was
    /// not read yet, and after a conflict or a lost answer.
    versions: BTreeMap<u64, u64>,
    call: Call,
    /// Number of calls to the store started so far.
    calls: u64,
    /// Number of the last call whose result showed the end of the log.
    log_end_call: u64,
    pending: Vec<Pending>,
    /// Time at which the next entry is due at the average pace.
    next_write: Time,
    outage: Option<Outage>,
}

impl Writer {
    /// Creates a writer of `shard` that has read nothing.
    #[must_use]
    pub fn new(
        shard: u32,
        instance: &Instance,
        incarnation: Incarnation,
        settings: Settings,
    ) -> Self {
        Writer {
            shard,
            instance: instance.clone(),
            incarnation,
            settings,
            log: Log::new(),
            checkpoint: None,
            versions: BTreeMap::new(),
            call: Call::None,
            calls: 0,
            log_end_call: 0,
            pending: Vec::new(),
            next_write: Time(0),
            outage: None,
        }
    }

    /// Returns the number of the shard whose log this writer extends.
    #[must_use]
    pub fn shard(&self) -> u32 {
        self.shard
    }

    /// Returns the state of the log after the last entry read.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns whether a call to the store has failed and none has succeeded
    /// since.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.outage.is_some()
    }

    /// Handles one event and returns the resulting actions, in order. A result
    /// that does not belong to the call in flight is ignored.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Request { id, operation } => self.enqueue(now, id, operation, &mut actions),
            Event::SlotRead { slot, result } if self.call == (Call::Read { slot }) => {
                self.call = Call::None;
                self.on_read(now, slot, result);
            }
            Event::SlotWritten { slot, result } => self.on_written(now, slot, result),
            Event::SnapshotRead(result) if self.call == Call::ReadSnapshot => {
                self.call = Call::None;
                self.on_snapshot_read(now, result);
            }
            Event::SnapshotWritten(result) => self.on_snapshot_written(now, result),
            Event::SlotRead { .. } | Event::SnapshotRead(_) | Event::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn enqueue(&mut self, now: Time, id: u64, operation: Operation, actions: &mut Actions) {
        let store_is_down = self.outage.is_some_and(|outage| {
            now < outage.retry_at && now.since(outage.since) > self.settings.outage_timeout
        });
        if store_is_down || self.pending.len() >= self.settings.max_pending {
            let reply = Reply::Unavailable;
            actions.push(Action::Reply { id, reply });
            return;
        }
        self.pending.push(Pending {
            id,
            operation,
            arrived: now,
            first_call: self.calls + 1,
        });
    }

    fn on_read(&mut self, now: Time, slot: u64, result: ReadResult) {
        let next_seq = self.log.seq() + 1;
        match result {
            ReadResult::Failed => self.fail(now),
            ReadResult::Missing => self.record_log_end(slot, 0),
            ReadResult::Found { version, bytes } => match codec::decode::<Entry>(&bytes) {
                Ok(entry) if entry.seq == next_seq => {
                    self.outage = None;
                    self.versions.insert(slot, version);
                    self.log.apply(&entry);
                }
                Ok(entry) if entry.seq + self.settings.slots == next_seq => {
                    self.record_log_end(slot, version);
                }
                // The slot was reused for a later entry. The snapshot covers the
                // missed entries and has to be read again.
                Ok(entry) if entry.seq > next_seq => self.checkpoint = None,
                // The store returned an outdated version or a damaged entry.
                Ok(_) | Err(_) => self.fail(now),
            },
        }
    }

    /// Records that the entry after the last one read does not exist.
    fn record_log_end(&mut self, slot: u64, version: u64) {
        self.outage = None;
        self.versions.insert(slot, version);
        self.log_end_call = self.calls;
    }

    fn on_written(&mut self, now: Time, slot: u64, result: WriteResult) {
        let call = std::mem::replace(&mut self.call, Call::None);
        let Call::Write {
            entry,
            slot: expected_slot,
        } = call
        else {
            self.call = call;
            return;
        };
        if expected_slot != slot {
            self.call = Call::Write {
                entry,
                slot: expected_slot,
            };
            return;
        }
        match result {
            WriteResult::Written { version } => {
                self.outage = None;
                self.versions.insert(slot, version);
                let entry =
                    codec::decode(&entry).expect("an entry that this writer encoded must decode");
                self.log.apply(&entry);
                self.log_end_call = self.calls;
            }
            // Without a version, the slot is read next. Claims are identified
            // by their nonces, so it does not matter which writer's entry the
            // slot holds.
            WriteResult::Conflict | WriteResult::AnswerLost => {
                self.versions.remove(&slot);
            }
            WriteResult::Failed => self.fail(now),
        }
    }

    fn on_snapshot_read(&mut self, now: Time, result: ReadResult) {
        match result {
            ReadResult::Failed => self.fail(now),
            ReadResult::Missing => {
                self.outage = None;
                self.checkpoint = Some(Checkpoint { seq: 0, version: 0 });
            }
            ReadResult::Found { version, bytes } => match codec::decode::<Snapshot>(&bytes) {
                Ok(snapshot) => {
                    self.outage = None;
                    let seq = snapshot.seq;
                    self.checkpoint = Some(Checkpoint { seq, version });
                    if seq > self.log.seq() {
                        self.log = Log::with_snapshot(snapshot);
                    }
                }
                Err(_) => self.fail(now),
            },
        }
    }

    fn on_snapshot_written(&mut self, now: Time, result: WriteResult) {
        let Call::WriteSnapshot { seq } = self.call else {
            return;
        };
        self.call = Call::None;
        match result {
            WriteResult::Written { version } => {
                self.outage = None;
                self.checkpoint = Some(Checkpoint { seq, version });
            }
            // The version of the stored snapshot is not known, so the snapshot is
            // read next.
            WriteResult::Conflict | WriteResult::AnswerLost => self.checkpoint = None,
            WriteResult::Failed => self.fail(now),
        }
    }

    /// Records a failure of the store and schedules the next call.
    fn fail(&mut self, now: Time) {
        let backoff = self.outage.map_or(self.settings.initial_backoff, |outage| {
            let doubled = outage.backoff.0 * 2;
            Span(doubled.min(self.settings.max_backoff.0))
        });
        self.outage = Some(Outage {
            since: self.outage.map_or(now, |outage| outage.since),
            retry_at: now + backoff,
            backoff,
        });
    }

    /// Replies to pending operations where possible and starts the next call
    /// to the store.
    fn advance(&mut self, now: Time, actions: &mut Actions) {
        // Before the snapshot is read, the log may lack entries whose slots were
        // reused.
        if self.checkpoint.is_some() {
            self.reply_resolved(now, actions);
        }
        self.refuse_timed_out(now, actions);
        if self.call != Call::None {
            return;
        }
        if self.pending.is_empty() {
            return self.prepare(actions);
        }
        if let Some(outage) = self.outage
            && now < outage.retry_at
        {
            actions.push(Action::Wake(outage.retry_at));
            return;
        }
        let Some(checkpoint) = self.checkpoint else {
            self.start_call(Call::ReadSnapshot, Action::ReadSnapshot, actions);
            return;
        };
        if self.log.seq() >= checkpoint.seq + self.settings.snapshot_entries {
            self.write_snapshot(checkpoint, actions);
        } else {
            self.extend(now, actions);
        }
    }

    /// Prepares for the next entry while no operation is pending: writes a
    /// snapshot that is due, or reads the version of the next slot.
    fn prepare(&mut self, actions: &mut Actions) {
        let is_at_end = self.calls > 0 && self.log_end_call == self.calls;
        let (Some(checkpoint), true, None) = (self.checkpoint, is_at_end, self.outage) else {
            return;
        };
        let slot = (self.log.seq() + 1) % self.settings.slots;
        if self.log.seq() >= checkpoint.seq + self.settings.snapshot_entries {
            self.write_snapshot(checkpoint, actions);
        } else if !self.versions.contains_key(&slot) {
            self.start_call(Call::Read { slot }, Action::ReadSlot { slot }, actions);
        }
    }

    /// Completes the pending operations whose reply follows from the log.
    fn reply_resolved(&mut self, now: Time, actions: &mut Actions) {
        let (log, log_end_call) = (&self.log, self.log_end_call);
        let mut settling: SmallVec<[(Workspace, Key); 4]> = SmallVec::new();
        self.pending.retain(|pending| {
            let reply = match log.evaluate(now, &pending.operation) {
                Evaluation::Final(reply) => reply,
                // A pending settlement of the same key may change the reply.
                Evaluation::Current(_) if settling.contains(&operation_key(&pending.operation)) => {
                    return true;
                }
                // The call that showed the end of the log began after the operation
                // arrived, so no earlier entry is missing.
                Evaluation::Current(reply) if pending.first_call <= log_end_call => reply,
                Evaluation::Append(Record::Settle { workspace, key, .. }) => {
                    settling.push((workspace, key));
                    return true;
                }
                Evaluation::Current(_) | Evaluation::Append(_) => return true,
            };
            let id = pending.id;
            actions.push(Action::Reply { id, reply });
            false
        });
    }

    /// Refuses the pending operations that have waited too long for a failing
    /// store.
    ///
    /// A refused claim may still be stored by a write whose answer was lost.
    /// This is safe: only its holder may run the request, and the holder gives
    /// up when the claim is refused.
    fn refuse_timed_out(&mut self, now: Time, actions: &mut Actions) {
        let Some(outage) = self.outage else { return };
        let timeout = self.settings.outage_timeout;
        let store_is_down = now.since(outage.since) > timeout && now < outage.retry_at;
        self.pending.retain(|pending| {
            let refuse = store_is_down || now.since(pending.arrived) > timeout;
            if refuse {
                let (id, reply) = (pending.id, Reply::Unavailable);
                actions.push(Action::Reply { id, reply });
            }
            !refuse
        });
    }

    /// Reads the next slot, or writes the next entry if the end of the log is
    /// known and the entry is due.
    fn extend(&mut self, now: Time, actions: &mut Actions) {
        let slot = (self.log.seq() + 1) % self.settings.slots;
        let records = self.collect_records(now, actions);
        let needs_read = self.pending.iter().any(|pending| {
            pending.first_call > self.log_end_call
                && matches!(
                    self.log.evaluate(now, &pending.operation),
                    Evaluation::Current(_)
                )
        });
        match self.versions.get(&slot).copied() {
            Some(version) if !needs_read => {
                if records.is_empty() {
                    return;
                }
                let due = self.next_write - self.settings.burst;
                if now < due {
                    actions.push(Action::Wake(due));
                    return;
                }
                self.write(now, slot, version, records, actions);
            }
            _ if needs_read || !records.is_empty() => {
                self.start_call(Call::Read { slot }, Action::ReadSlot { slot }, actions);
            }
            _ => {}
        }
    }

    /// Returns the records of the next entry, at most one for each key. Refuses
    /// claims if the snapshot has reached its maximum size.
    fn collect_records(&mut self, now: Time, actions: &mut Actions) -> Vec<Record> {
        let mut records: Vec<Record> = Vec::new();
        let snapshot_full = self.log.bytes() >= self.settings.max_snapshot_bytes;
        let keep_answer = self.log.bytes() < self.settings.max_snapshot_bytes / 2;
        let (log, max_records) = (&self.log, self.settings.max_records);
        self.pending.retain(|pending| {
            let Evaluation::Append(mut record) = log.evaluate(now, &pending.operation) else {
                return true;
            };
            match &mut record {
                Record::Claim(_) if snapshot_full => {
                    let (id, reply) = (pending.id, Reply::Unavailable);
                    actions.push(Action::Reply { id, reply });
                    return false;
                }
                Record::Settle { outcome, .. } => truncate(outcome, keep_answer),
                Record::Claim(_) => {}
            }
            let has_key = records
                .iter()
                .any(|other| record_key(other) == record_key(&record));
            if !has_key && records.len() < max_records {
                records.push(record);
            }
            true
        });
        records
    }

    /// Starts the conditional write of the next entry into `slot`, which has
    /// `version`, and advances the time of the next write.
    fn write(
        &mut self,
        now: Time,
        slot: u64,
        version: u64,
        records: Vec<Record>,
        actions: &mut Actions,
    ) {
        let entry = Entry {
            seq: self.log.seq() + 1,
            writer: self.instance.clone(),
            incarnation: self.incarnation,
            at: now.max(self.log.time()),
            records,
        };
        let bytes = codec::encode(&entry);
        self.next_write = self.next_write.max(now) + self.settings.entry_interval;
        let entry = bytes.clone();
        let action = Action::WriteSlot {
            slot,
            version,
            bytes,
        };
        self.start_call(Call::Write { entry, slot }, action, actions);
    }

    fn write_snapshot(&mut self, checkpoint: Checkpoint, actions: &mut Actions) {
        let bytes = codec::encode(&self.log.snapshot());
        let seq = self.log.seq();
        let version = checkpoint.version;
        let action = Action::WriteSnapshot { version, bytes };
        self.start_call(Call::WriteSnapshot { seq }, action, actions);
    }

    fn start_call(&mut self, call: Call, action: Action, actions: &mut Actions) {
        self.calls += 1;
        self.call = call;
        actions.push(action);
    }
}

/// Drops an answer that is too long to store, or any answer unless
/// `keep_answer`, and shortens a reason that is too long.
fn truncate(outcome: &mut Settled, keep_answer: bool) {
    let texts = outcome.answer.iter().flatten();
    if !keep_answer || texts.map(String::len).sum::<usize>() > MAX_ANSWER_BYTES {
        outcome.answer = None;
    }
    if let Some(reason) = &mut outcome.end.reason
        && reason.len() > MAX_REASON_BYTES
    {
        // This many characters fit the limit even at 4 bytes each, the most in
        // UTF-8.
        *reason = reason.chars().take(MAX_REASON_BYTES / 4).collect();
    }
}

fn record_key(record: &Record) -> (&Workspace, &Key) {
    match record {
        Record::Claim(claim) => (&claim.workspace, &claim.key),
        Record::Settle { workspace, key, .. } => (workspace, key),
    }
}

/// Returns the workspace and key that an operation concerns.
fn operation_key(operation: &Operation) -> (Workspace, Key) {
    match operation {
        Operation::Claim(claim) => (claim.workspace.clone(), claim.key.clone()),
        Operation::Settle { workspace, key, .. } | Operation::Look { workspace, key } => {
            (workspace.clone(), key.clone())
        }
    }
}
