//! Decision whether an answer is complete that has neither a length nor chunks.
//!
//! Such an answer ends with its connection, and a process that dies closes its connections
//! like one that has sent everything. A process that accepts connections afterwards may be
//! another one, or none: a listener outlives the process in a supervisor or a forwarder.
//! The runner is therefore asked for its report. A report over a connection that was made before
//! the end shows that the process lives, and so does one over a later connection that names the
//! start of the process that was listed before the answer. That a connection is still open shows
//! less: a process that exits closes its connections one after another, and may wait for the
//! processor meanwhile.
//!
//! None of this shows that the runner has read the request, or meant the end. An answer that ends
//! before its request was sent, or whose connection is reset after the end, is not complete.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;
use balsamchute_schedule::process::Process;

/// Time from the end of an answer to the decision if no report was asked for. Also the time
/// within which a brief answer arrives, many times what a connection takes and less than a
/// process takes to die and be replaced.
pub(crate) const SETTLE_TIME: Span = Span(50);

/// Time before the deadline of a runner from which on it may stop: its clock may run faster than
/// that of the router.
const DEADLINE_MARGIN: Span = Span(10);

/// Same as [`SETTLE_TIME`] after a brief answer. Its runner counts as busy until then, so it
/// is short against the time of a plain request.
const BRIEF_SETTLE_TIME: Span = Span(10);

/// Length of a body up to which a runner that answers has probably read it: it arrives with the
/// head.
pub(crate) const MAX_SHORT_BYTES: usize = 16 * 1024;

/// Time from the end of an answer to the decision if the request is longer than
/// [`MAX_SHORT_BYTES`]. A runner that has left a part of it unread resets the connection.
const UPLOAD_SETTLE_TIME: Span = Span(100);

/// Time for which a report is awaited. A runner that has not answered by then is judged by
/// whether its connections are open.
const REPORT_TIMEOUT: Span = Span(1000);

/// Time for which a lost connection is remembered.
const MEMORY: Span = Span(1000);

/// Outcome of the connection that is made after the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Contact {
    /// The connection is being established.
    Pending,
    /// The connection was accepted and is open.
    Accepted,
    /// The connection was accepted and has ended.
    Closed,
    /// The connection was refused.
    Refused,
    /// No response to the connection arrived in time.
    Silent,
    /// The connection failed in another way.
    Failed,
}

impl Contact {
    /// Returns whether it may still change.
    pub fn is_open(self) -> bool {
        matches!(self, Contact::Pending | Contact::Accepted)
    }

    /// Returns the outcome of a connection attempt that failed with `error`.
    pub fn of_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Contact::Refused,
            io::ErrorKind::ConnectionReset => Contact::Closed,
            _ => Contact::Failed,
        }
    }

    /// Returns the outcome as written to logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Contact::Pending => "pending",
            Contact::Accepted => "accepted",
            Contact::Closed => "closed",
            Contact::Refused => "refused",
            Contact::Silent => "silent",
            Contact::Failed => "failed",
        }
    }
}

/// Evidence for and against the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Evidence {
    pub contact: Contact,
    /// Whether a report shows that the process of the answer lived after the end.
    pub has_report: bool,
    /// Whether the connection made after the end leads to another process than the one that was
    /// listed when the answer's connection was made. It may have taken the place of that of the
    /// answer.
    pub is_replaced: bool,
    /// Whether a connection to the runner that was made beside the answer is open.
    pub has_witness: bool,
    /// Whether such a connection was lost when the answer ended.
    pub lost_witness: bool,
    /// Whether all of the answer arrived within [`SETTLE_TIME`].
    pub is_brief: bool,
    /// Whether the connection was reset after its end.
    pub was_reset: bool,
    /// Whether the end may have come at the deadline that the runner was given, at which it
    /// stops and closes the connection.
    pub is_past_deadline: bool,
}

impl Evidence {
    /// Returns whether the answer counts as complete.
    ///
    /// A brief answer counts as complete if the runner accepts a connection and none was
    /// lost: there was hardly time for its process to die. Any other one needs a witness, and
    /// so does one of a runner that is known to have been started again.
    pub fn shows_complete(&self) -> bool {
        if self.was_reset || self.is_past_deadline {
            return false;
        }
        if self.has_report {
            return true;
        }
        match self.contact {
            Contact::Accepted => {
                self.has_witness || (self.is_brief && !self.lost_witness && !self.is_replaced)
            }
            // A runner also resets connections above its limit.
            Contact::Closed => self.has_witness,
            Contact::Pending | Contact::Refused | Contact::Silent | Contact::Failed => false,
        }
    }
}

/// Answer that has ended with its connection and is not judged yet.
#[derive(Clone, Debug)]
pub(crate) struct Ending {
    pub id: Id,
    /// Index of the connection that has ended.
    pub index: usize,
    pub ended_at: Time,
    /// Time after which the end arrived, unless reading was paused.
    pub arrived_after: Time,
    /// Last time at which the runner was known to have it open. The process may have died at
    /// any time since, and another one may be at the address.
    pub open_at: Time,
    /// Whether all of the answer arrived within [`SETTLE_TIME`].
    pub is_brief: bool,
    /// Whether the request is longer than [`MAX_SHORT_BYTES`].
    pub is_upload: bool,
    /// Deadline of the request, at which it fails without an answer.
    pub deadline: Time,
    pub runner: Runner,
    pub address: SocketAddr,
    /// Index of the connection made after the end.
    pub contact_index: usize,
    /// Index of the connection over which the runner's report is asked for.
    pub asked_index: Option<usize>,
    /// Start of the process that was listed when the answer's connection was made.
    pub started_at: u64,
    /// Process that has sent its report.
    pub reported: Option<Process>,
    /// Outcome of the connection made after the end so far.
    pub contact: Contact,
}

impl Ending {
    /// Returns the time at which the answer is judged, if its contact is known by then.
    pub fn due_at(&self) -> Time {
        let due_at = match (self.reported, self.asked_index) {
            (Some(_), _) => self.ended_at,
            (None, Some(_)) => self.ended_at + REPORT_TIMEOUT,
            (None, None) if self.is_brief => self.ended_at + BRIEF_SETTLE_TIME,
            (None, None) => self.ended_at + SETTLE_TIME,
        };
        if !self.is_upload {
            return due_at;
        }
        let latest = self.deadline - DEADLINE_MARGIN;
        due_at.max((self.ended_at + UPLOAD_SETTLE_TIME).min(latest))
    }

    /// Returns whether the end may have come at the `deadline` that the runner was given.
    pub fn is_past(&self, deadline: Time) -> bool {
        self.ended_at + DEADLINE_MARGIN >= deadline
    }

    /// Returns whether the process of the answer has reported after the end: one that was
    /// reached before the end, or one that was listed before the answer's connection was made.
    pub fn has_report(&self) -> bool {
        match self.reported {
            Some(Process::Listed) => true,
            Some(Process::Other | Process::Unnamed) => self.asked_index != Some(self.contact_index),
            None => false,
        }
    }

    /// Returns whether a process that has reported after the end may have taken the place of that
    /// of the answer.
    pub fn is_replaced(&self) -> bool {
        self.reported == Some(Process::Other) && !self.has_report()
    }

    /// Returns whether a connection that was made at this time and is open shows that the
    /// process of the answer lives.
    pub fn is_witnessed_by(&self, established_at: Time) -> bool {
        established_at < self.ended_at && established_at <= self.open_at + SETTLE_TIME
    }
}

/// Endings that wait for their evidence, and connections that are kept as witnesses.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endings {
    pub waiting: Vec<Ending>,
    /// Index of the witness at each address at which an answer may end with its
    /// connection; `None` if the runner has closed it.
    pub witnesses: HashMap<SocketAddr, Option<usize>>,
    losses: HashMap<SocketAddr, Time>,
}

impl Endings {
    /// Returns the time until the next answer is due.
    pub fn next_due(&self, now: Time) -> Option<Span> {
        let due = self.waiting.iter().map(Ending::due_at);
        due.filter(|&due| due > now).map(|due| due.since(now)).min()
    }

    /// Records that a connection to this address broke, or that a witness was closed.
    pub fn record_loss(&mut self, now: Time, address: SocketAddr) {
        self.losses.insert(address, now);
    }

    /// Returns whether a connection to the address of the answer was lost when it ended.
    pub fn has_loss(&self, ending: &Ending) -> bool {
        let lost_at = self.losses.get(&ending.address);
        lost_at.is_some_and(|&lost_at| lost_at + SETTLE_TIME >= ending.open_at)
    }

    /// Forgets losses that no answer can be judged by.
    pub fn expire(&mut self, now: Time) {
        self.losses
            .retain(|_, lost_at| now.since(*lost_at) < MEMORY);
    }
}
