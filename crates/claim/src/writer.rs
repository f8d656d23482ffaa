//! Reads and extends the log of one shard.
//!
//! Entry `n` is stored in slot `n % slots` by a conditional update on the
//! version that the slot had when it held entry `n - slots`. Slots are never
//! deleted and their versions only rise, so an update succeeds only for a
//! writer that has read everything before it, however long it was paused in
//! between. A slot is used again only after a snapshot covers its old entry.
//!
//! A writer has one call to the store under way at a time. Whoever writes, the
//! log stays correct; that one router usually does only saves conflicts.

mod event;

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_wire::claim::{Ask, Settled, Verdict};
use balsamchute_wire::codec;
use smallvec::SmallVec;

pub use event::{Action, Actions, Event, Read, Write};

use crate::log::{Entry, Log, Reading, Record, Snapshot};

/// Slots of a shard's log. It is part of the stored format.
pub const SLOTS: u64 = 64;

/// Longest answer that is stored, in bytes over all texts.
const MAX_ANSWER_BYTES: usize = 2048;

/// Longest reason that is stored, in bytes.
const MAX_REASON_BYTES: usize = 256;

/// Limits of a writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Slots of the log, the same for the whole fleet.
    pub slots: u64,
    /// Entries after which a snapshot is written, at most `slots`.
    pub snapshot_entries: u64,
    /// Time between two entries on average. With 32 shards at 100 ms the
    /// fleet writes at most 320 entries and 10 snapshots a second.
    pub interval: Span,
    /// How far entries may run ahead of that, so that a few claims in a row
    /// need not wait.
    pub burst: Span,
    /// How long an ask waits for a failing store.
    pub patience: Span,
    /// Wait after the first failure of the store; it doubles with each further one.
    pub backoff: Span,
    /// Longest wait after a failure.
    pub longest_backoff: Span,
    /// Records in an entry at most.
    pub batch: usize,
    /// Asks that wait at most.
    pub pending: usize,
    /// Size in bytes that a snapshot may reach; a claim beyond it is refused.
    /// From half of it on, answers are not kept.
    pub snapshot_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            slots: SLOTS,
            snapshot_entries: SLOTS / 2,
            interval: Span(100),
            burst: Span(300),
            patience: Span(1000),
            backoff: Span(50),
            longest_backoff: Span(2000),
            batch: 256,
            pending: 4096,
            snapshot_bytes: 800_000,
        }
    }
}

/// The call to the store that is under way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Call {
    None,
    LoadSnapshot,
    SaveSnapshot { seq: u64 },
    Read { slot: u64 },
    Write { entry: Vec<u8>, slot: u64 },
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    id: u64,
    ask: Ask,
    since: Time,
    /// Number of the first call that was made after the ask came.
    after: u64,
}

/// Trouble with the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Trouble {
    since: Time,
    until: Time,
    backoff: Span,
}

/// The snapshot as last read or written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Saved {
    seq: u64,
    version: u64,
}

/// The writer of one shard.
#[derive(Clone, Debug)]
pub struct Writer {
    shard: u32,
    me: Instance,
    incarnation: Incarnation,
    settings: Settings,
    log: Log,
    saved: Option<Saved>,
    /// Version that each slot had with the entry that the log has read, or
    /// with an older one.
    versions: BTreeMap<u64, u64>,
    call: Call,
    calls: u64,
    /// Calls up to this number saw the end of the log.
    current: u64,
    pending: Vec<Pending>,
    /// When the next entry is due at the average pace.
    next_write: Time,
    trouble: Option<Trouble>,
}

impl Writer {
    /// Creates a writer that has read nothing.
    #[must_use]
    pub fn new(shard: u32, me: &Instance, incarnation: Incarnation, settings: Settings) -> Self {
        Writer {
            shard,
            me: me.clone(),
            incarnation,
            settings,
            log: Log::new(),
            saved: None,
            versions: BTreeMap::new(),
            call: Call::None,
            calls: 0,
            current: 0,
            pending: Vec::new(),
            next_write: Time(0),
            trouble: None,
        }
    }

    /// Returns the shard.
    #[must_use]
    pub fn shard(&self) -> u32 {
        self.shard
    }

    /// Returns the state of the log as far as it was read.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns whether the last call to the store failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.trouble.is_some()
    }

    /// Takes in one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Ask { id, ask } => self.ask(now, id, ask, &mut actions),
            Event::Read { slot, result } if self.call == (Call::Read { slot }) => {
                self.call = Call::None;
                self.on_read(now, slot, result);
            }
            Event::Written { slot, result } => self.on_written(now, slot, result),
            Event::SnapshotRead(result) if self.call == Call::LoadSnapshot => {
                self.call = Call::None;
                self.on_snapshot_read(now, result);
            }
            Event::SnapshotWritten(result) => self.on_snapshot_written(now, result),
            Event::Read { .. } | Event::SnapshotRead(_) | Event::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn ask(&mut self, now: Time, id: u64, ask: Ask, actions: &mut Actions) {
        let hopeless = self.trouble.is_some_and(|trouble| {
            now < trouble.until && now.since(trouble.since) > self.settings.patience
        });
        if hopeless || self.pending.len() >= self.settings.pending {
            let verdict = Verdict::Unavailable;
            actions.push(Action::Reply { id, verdict });
            return;
        }
        self.pending.push(Pending {
            id,
            ask,
            since: now,
            after: self.calls + 1,
        });
    }

    fn on_read(&mut self, now: Time, slot: u64, result: Read) {
        let wanted = self.log.seq() + 1;
        match result {
            Read::Failed => self.fail(now),
            Read::Missing => self.at_end(slot, 0),
            Read::Found { version, bytes } => match codec::decode::<Entry>(&bytes) {
                Ok(entry) if entry.seq == wanted => {
                    self.trouble = None;
                    self.versions.insert(slot, version);
                    self.log.apply(&entry);
                }
                Ok(entry) if entry.seq + self.settings.slots == wanted => {
                    self.at_end(slot, version);
                }
                // The log has gone round: what was missed is in the snapshot.
                Ok(entry) if entry.seq > wanted => self.saved = None,
                // The store answered with an old version, or with damage.
                Ok(_) | Err(_) => self.fail(now),
            },
        }
    }

    /// Notes that the entry after the last one read does not exist.
    fn at_end(&mut self, slot: u64, version: u64) {
        self.trouble = None;
        self.versions.insert(slot, version);
        self.current = self.calls;
    }

    fn on_written(&mut self, now: Time, slot: u64, result: Write) {
        let call = std::mem::replace(&mut self.call, Call::None);
        let Call::Write { entry, slot: own } = call else {
            self.call = call;
            return;
        };
        if own != slot {
            self.call = Call::Write { entry, slot: own };
            return;
        }
        match result {
            Write::Written { version } => {
                self.trouble = None;
                self.versions.insert(slot, version);
                let entry = codec::decode(&entry).expect("own entries decode");
                self.log.apply(&entry);
                self.current = self.calls;
            }
            // Reading the slot tells whose entry it holds. Claims in it are
            // known by their nonces, so it does not matter who wrote it.
            Write::Conflict | Write::AnswerLost => {
                self.versions.remove(&slot);
            }
            Write::Failed => self.fail(now),
        }
    }

    fn on_snapshot_read(&mut self, now: Time, result: Read) {
        match result {
            Read::Failed => self.fail(now),
            Read::Missing => {
                self.trouble = None;
                self.saved = Some(Saved { seq: 0, version: 0 });
            }
            Read::Found { version, bytes } => match codec::decode::<Snapshot>(&bytes) {
                Ok(snapshot) => {
                    self.trouble = None;
                    let seq = snapshot.seq;
                    self.saved = Some(Saved { seq, version });
                    if seq > self.log.seq() {
                        self.log = Log::with_snapshot(snapshot);
                    }
                }
                Err(_) => self.fail(now),
            },
        }
    }

    fn on_snapshot_written(&mut self, now: Time, result: Write) {
        let Call::SaveSnapshot { seq } = self.call else {
            return;
        };
        self.call = Call::None;
        match result {
            Write::Written { version } => {
                self.trouble = None;
                self.saved = Some(Saved { seq, version });
            }
            Write::Conflict | Write::AnswerLost => self.saved = None,
            Write::Failed => self.fail(now),
        }
    }

    /// Notes that the store failed; whoever has waited long enough gives up.
    fn fail(&mut self, now: Time) {
        let backoff = self.trouble.map_or(self.settings.backoff, |trouble| {
            let doubled = trouble.backoff.0 * 2;
            Span(doubled.min(self.settings.longest_backoff.0))
        });
        self.trouble = Some(Trouble {
            since: self.trouble.map_or(now, |trouble| trouble.since),
            until: now + backoff,
            backoff,
        });
    }

    /// Answers what can be answered and makes the next call to the store.
    fn advance(&mut self, now: Time, actions: &mut Actions) {
        if self.saved.is_some() {
            self.answer(now, actions);
        }
        self.give_up(now, actions);
        if self.call != Call::None {
            return;
        }
        if self.pending.is_empty() {
            return self.prepare(actions);
        }
        if let Some(trouble) = self.trouble
            && now < trouble.until
        {
            actions.push(Action::Wake(trouble.until));
            return;
        }
        let Some(saved) = self.saved else {
            self.start(Call::LoadSnapshot, Action::ReadSnapshot, actions);
            return;
        };
        if self.log.seq() >= saved.seq + self.settings.snapshot_entries {
            self.save(saved, actions);
        } else {
            self.extend(now, actions);
        }
    }

    /// Does what the next entry will need while nobody waits: saves a snapshot
    /// that is due, or learns the version of the next slot.
    fn prepare(&mut self, actions: &mut Actions) {
        let at_end = self.calls > 0 && self.current == self.calls;
        let (Some(saved), true, None) = (self.saved, at_end, self.trouble) else {
            return;
        };
        let slot = (self.log.seq() + 1) % self.settings.slots;
        if self.log.seq() >= saved.seq + self.settings.snapshot_entries {
            self.save(saved, actions);
        } else if !self.versions.contains_key(&slot) {
            self.start(Call::Read { slot }, Action::Read { slot }, actions);
        }
    }

    /// Replies to the asks that the log answers already.
    fn answer(&mut self, now: Time, actions: &mut Actions) {
        let (log, current) = (&self.log, self.current);
        let mut ending: SmallVec<[(Workspace, Key); 4]> = SmallVec::new();
        self.pending.retain(|pending| {
            let verdict = match log.read(now, &pending.ask) {
                Reading::Final(verdict) => verdict,
                // An end that waits to be written may change the verdict.
                Reading::Current(_) if ending.contains(&subject(&pending.ask)) => return true,
                Reading::Current(verdict) if pending.after <= current => verdict,
                Reading::Append(Record::Settle { workspace, key, .. }) => {
                    ending.push((workspace, key));
                    return true;
                }
                Reading::Current(_) | Reading::Append(_) => return true,
            };
            let id = pending.id;
            actions.push(Action::Reply { id, verdict });
            false
        });
    }

    /// Refuses the asks that have waited too long for a failing store.
    ///
    /// A claim that is refused may still be stored by a write whose answer was
    /// lost. That is safe: only its holder could run it, and has given up.
    fn give_up(&mut self, now: Time, actions: &mut Actions) {
        let Some(trouble) = self.trouble else { return };
        let patience = self.settings.patience;
        let hopeless = now.since(trouble.since) > patience && now < trouble.until;
        self.pending.retain(|pending| {
            let refused = hopeless || now.since(pending.since) > patience;
            if refused {
                let (id, verdict) = (pending.id, Verdict::Unavailable);
                actions.push(Action::Reply { id, verdict });
            }
            !refused
        });
    }

    /// Reads on, or writes the next entry if the end of the log is known.
    fn extend(&mut self, now: Time, actions: &mut Actions) {
        let slot = (self.log.seq() + 1) % self.settings.slots;
        let records = self.records(now, actions);
        let unread = self.pending.iter().any(|pending| {
            pending.after > self.current
                && matches!(self.log.read(now, &pending.ask), Reading::Current(_))
        });
        match self.versions.get(&slot).copied() {
            Some(version) if !unread => {
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
            _ if unread || !records.is_empty() => {
                self.start(Call::Read { slot }, Action::Read { slot }, actions);
            }
            _ => {}
        }
    }

    /// Returns the records of the next entry, at most one for each key, and
    /// refuses claims that the snapshot has no room for.
    fn records(&mut self, now: Time, actions: &mut Actions) -> Vec<Record> {
        let mut records: Vec<Record> = Vec::new();
        let full = self.log.bytes() >= self.settings.snapshot_bytes;
        let keep = self.log.bytes() < self.settings.snapshot_bytes / 2;
        let (log, batch) = (&self.log, self.settings.batch);
        self.pending.retain(|pending| {
            let Reading::Append(mut record) = log.read(now, &pending.ask) else {
                return true;
            };
            match &mut record {
                Record::Claim(_) if full => {
                    let (id, verdict) = (pending.id, Verdict::Unavailable);
                    actions.push(Action::Reply { id, verdict });
                    return false;
                }
                Record::Settle { outcome, .. } => compact(outcome, keep),
                Record::Claim(_) => {}
            }
            let taken = records.iter().any(|other| name(other) == name(&record));
            if !taken && records.len() < batch {
                records.push(record);
            }
            true
        });
        records
    }

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
            writer: self.me.clone(),
            incarnation: self.incarnation,
            at: now.max(self.log.at()),
            records,
        };
        let bytes = codec::encode(&entry);
        self.next_write = self.next_write.max(now) + self.settings.interval;
        let entry = bytes.clone();
        let action = Action::Write {
            slot,
            version,
            bytes,
        };
        self.start(Call::Write { entry, slot }, action, actions);
    }

    fn save(&mut self, saved: Saved, actions: &mut Actions) {
        let bytes = codec::encode(&self.log.snapshot());
        let seq = self.log.seq();
        let version = saved.version;
        let action = Action::WriteSnapshot { version, bytes };
        self.start(Call::SaveSnapshot { seq }, action, actions);
    }

    fn start(&mut self, call: Call, action: Action, actions: &mut Actions) {
        self.calls += 1;
        self.call = call;
        actions.push(action);
    }
}

/// Drops the parts of an end that are too long to store.
fn compact(outcome: &mut Settled, keep: bool) {
    let texts = outcome.answer.iter().flatten();
    if !keep || texts.map(String::len).sum::<usize>() > MAX_ANSWER_BYTES {
        outcome.answer = None;
    }
    if let Some(reason) = &mut outcome.end.reason
        && reason.len() > MAX_REASON_BYTES
    {
        *reason = reason.chars().take(MAX_REASON_BYTES / 4).collect();
    }
}

fn name(record: &Record) -> (&Workspace, &Key) {
    match record {
        Record::Claim(claim) => (&claim.workspace, &claim.key),
        Record::Settle { workspace, key, .. } => (workspace, key),
    }
}

/// Returns the key that an ask is about.
fn subject(ask: &Ask) -> (Workspace, Key) {
    match ask {
        Ask::Claim(claim) => (claim.workspace.clone(), claim.key.clone()),
        Ask::Settle { workspace, key, .. } | Ask::Look { workspace, key } => {
            (workspace.clone(), key.clone())
        }
    }
}
