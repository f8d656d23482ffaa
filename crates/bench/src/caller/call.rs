//! What a caller asks for, and what came of it.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_wire::record::End;

/// One piece of work that a caller wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Names the call; each submission's request id starts with it.
    pub id: String,
    /// The workspace that it belongs to.
    pub workspace: Workspace,
    /// The service that it asks for.
    pub service: Service,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// The cost that the caller expects.
    pub hint: Option<Cost>,
    /// Name of its prompt prefix.
    pub prefix: Option<String>,
    /// How long the caller wants to wait for its end.
    pub deadline: Span,
    /// The body.
    pub body: Vec<u8>,
    /// The answer that the target must give to this body, `None` if unknown.
    pub expect: Option<String>,
}

/// Whether a call may run more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It is idempotent.
    Idempotent,
    /// It runs at most once under this durable key. While claims cannot be
    /// stored, the caller takes a bound key from the address answer instead.
    Once(Key),
    /// It runs at most once under this durable key, whatever the state of the
    /// store and by whichever router: others send the same key.
    Durable(Key),
}

/// One request of a caller to one router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// Id of the request, unique for each submission.
    pub request: String,
    /// The key that was sent.
    pub key: Option<Key>,
    /// The router.
    pub router: SocketAddr,
    /// When it was sent.
    pub sent: Time,
    /// When the first token arrived.
    pub first_token: Option<Time>,
    /// When the reply was over.
    pub finished: Time,
    /// Longest time between two tokens.
    pub longest_gap: Span,
    /// What came back.
    pub reply: Reply,
}

/// What came back from one router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A checked `end` record, with the text of the answer before it.
    End {
        /// The record.
        end: End,
        /// The texts of all tokens in order.
        answer: String,
    },
    /// The stream ended after so many tokens without an `end` record.
    Cut {
        /// Tokens that arrived.
        tokens: u64,
    },
    /// The stream went on past the caller's deadline, and the caller left.
    Overdue {
        /// Tokens that arrived.
        tokens: u64,
    },
    /// No answer at all.
    Unreachable(String),
    /// The answer breaks the protocol: a missing index, a foreign attempt, a
    /// wrong digest.
    Broken(String),
}

/// All that happened to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct History {
    /// The call.
    pub call: Call,
    /// When the caller first wanted it.
    pub wanted: Time,
    /// When the caller had its end, or gave up.
    pub over: Time,
    /// The submissions, oldest first.
    pub submissions: Vec<Submission>,
}

impl History {
    /// Returns the last reply, `None` if no router was ever asked.
    #[must_use]
    pub fn last(&self) -> Option<&Reply> {
        self.submissions.last().map(|submission| &submission.reply)
    }

    /// Returns the time from the first wish to the first token of the last submission.
    #[must_use]
    pub fn first_token(&self) -> Option<Span> {
        let last = self.submissions.last()?;
        last.first_token.map(|time| time.since(self.wanted))
    }
}
