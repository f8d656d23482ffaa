//! Events that a writer handles and actions that it requests.

use balsamchute_base::prelude::*;
use balsamchute_wire::claim::{Operation, Reply};
use smallvec::SmallVec;

/// Result of reading an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// The object exists and was read.
    Found {
        /// Current version of the object.
        version: u64,
        /// Encoded content of the object.
        bytes: Vec<u8>,
    },
    /// The object does not exist.
    Missing,
    /// The read failed; whether the object exists is not known.
    Failed,
}

/// Result of a conditional update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The update took effect.
    Written {
        /// Version of the object after the update.
        version: u64,
    },
    /// The object has another version than expected; it was not changed.
    Conflict,
    /// The update took no effect.
    Failed,
    /// The update may have taken effect, or may still take effect later.
    AnswerLost,
}

/// Input of a writer: an operation, a result of the store or the end of a wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An operation on the claim log was requested.
    Request {
        /// Number that the reply repeats, unique among pending operations.
        id: u64,
        /// Operation to evaluate, and to append to the log if necessary.
        operation: Operation,
    },
    /// Result of [`Action::ReadSlot`].
    SlotRead {
        /// Slot that was read.
        slot: u64,
        /// Content of the slot, or the failure.
        result: ReadResult,
    },
    /// Result of [`Action::WriteSlot`].
    SlotWritten {
        /// Slot that was to be updated.
        slot: u64,
        /// Whether the update took effect.
        result: WriteResult,
    },
    /// Result of [`Action::ReadSnapshot`].
    SnapshotRead(ReadResult),
    /// Result of [`Action::WriteSnapshot`].
    SnapshotWritten(WriteResult),
    /// The time of an [`Action::Wake`] has come.
    Tick,
}

/// Output of a writer. Each call to the store has to be followed by exactly
/// one event with its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Reply to an operation.
    Reply {
        /// Number of the operation.
        id: u64,
        /// Result of the operation.
        reply: Reply,
    },
    /// Read the object `claims/SHARD/SLOT`.
    ReadSlot {
        /// Slot whose object is read.
        slot: u64,
    },
    /// Update the object `claims/SHARD/SLOT` if it still has this version.
    WriteSlot {
        /// Slot whose object is updated.
        slot: u64,
        /// Expected version, 0 if the object must not exist.
        version: u64,
        /// Encoded entry to store.
        bytes: Vec<u8>,
    },
    /// Read the object `claims/SHARD/snapshot`.
    ReadSnapshot,
    /// Update the object `claims/SHARD/snapshot` if it still has this version.
    WriteSnapshot {
        /// Expected version, 0 if the object must not exist.
        version: u64,
        /// Encoded snapshot to store.
        bytes: Vec<u8>,
    },
    /// Send [`Event::Tick`] at this time.
    Wake(Time),
}

/// Actions that result from one event, in the order of execution.
pub type Actions = SmallVec<[Action; 4]>;
