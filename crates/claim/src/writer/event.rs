//! What a writer reacts to and what it wants done.

use balsamchute_base::prelude::*;
use balsamchute_wire::claim::{Ask, Verdict};
use smallvec::SmallVec;

/// Result of reading an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Read {
    /// The object as it is.
    Found {
        /// Its version.
        version: u64,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// There is no such object.
    Missing,
    /// The store did not answer.
    Failed,
}

/// Result of a conditional update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Write {
    /// It took effect.
    Written {
        /// The new version.
        version: u64,
    },
    /// The object has another version.
    Conflict,
    /// It took no effect.
    Failed,
    /// It may have taken effect, or may still do so.
    AnswerLost,
}

/// What happens to a writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Somebody asks; `id` is unique among asks that wait.
    Ask {
        /// Comes back in the reply.
        id: u64,
        /// The question.
        ask: Ask,
    },
    /// A slot was read.
    Read {
        /// The slot.
        slot: u64,
        /// The result.
        result: Read,
    },
    /// A slot was written.
    Written {
        /// The slot.
        slot: u64,
        /// The result.
        result: Write,
    },
    /// The snapshot was read.
    SnapshotRead(Read),
    /// The snapshot was written.
    SnapshotWritten(Write),
    /// A time that was asked for has come.
    Tick,
}

/// What a writer wants done. Every call to the store has to be answered by
/// its event, once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer an ask.
    Reply {
        /// The ask.
        id: u64,
        /// The verdict.
        verdict: Verdict,
    },
    /// Read `claims/SHARD/SLOT`.
    Read {
        /// The slot.
        slot: u64,
    },
    /// Update `claims/SHARD/SLOT` if it has the version.
    Write {
        /// The slot.
        slot: u64,
        /// The version, 0 if it must not exist.
        version: u64,
        /// Its new bytes.
        bytes: Vec<u8>,
    },
    /// Read `claims/SHARD/snapshot`.
    ReadSnapshot,
    /// Update `claims/SHARD/snapshot` if it has the version.
    WriteSnapshot {
        /// The version, 0 if it must not exist.
        version: u64,
        /// Its new bytes.
        bytes: Vec<u8>,
    },
    /// Send [`Event::Tick`] at this time.
    Wake(Time),
}

/// Actions of one event.
pub type Actions = SmallVec<[Action; 4]>;
