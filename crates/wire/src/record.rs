//! Records of the answer to a caller, one JSON object a line.

use balsamchute_base::digest::{Digest, Hasher};
use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is whole.
    Done,
    /// The target answered with an error.
    Failed,
    /// No byte of the request reached a target, or the target attested that it
    /// refused the request.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused, for programs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The workspace or service does not exist.
    NotFound,
    /// The key was used with another body or service.
    Mismatch,
    /// A limit or a full queue; later there is room.
    Limit,
    /// This router cannot serve the request now; another one may.
    Elsewhere,
    /// The request crashed its targets before.
    Quarantine,
    /// Claims of durable keys cannot be stored now.
    NoClaims,
    /// The deadline passed while the request waited.
    Deadline,
}

/// When to ask again about a key whose earlier sending may have run, in
/// milliseconds.
const RESEND_RETRY_MS: u64 = 1000;

/// One record.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// A piece of the answer.
    Token(Token),
    /// The last record. An answer without it is cut.
    End(End),
}

/// A piece of the answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Token {
    /// The attempt that made it.
    pub attempt: Attempt,
    /// Its place in the answer, from 0 without gaps.
    pub index: u64,
    /// The text.
    pub text: String,
}

/// The last record of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct End {
    /// The attempt that it ends, `None` if there was none.
    pub attempt: Option<Attempt>,
    /// How the request ended.
    pub outcome: Outcome,
    /// Number of token records before this one.
    pub tokens: u64,
    /// Digest over the texts of all tokens, 32 hexadecimal digits.
    pub digest: String,
    /// Why the request was refused, `None` where no code fits.
    #[serde(default)]
    pub code: Option<Code>,
    /// Why the outcome is not `done`.
    pub reason: Option<String>,
    /// When a retry can help, in milliseconds from now.
    pub retry_after_ms: Option<u64>,
}

impl End {
    /// Creates the end of a whole answer.
    #[must_use]
    pub fn done(attempt: &Attempt, tokens: u64, digest: Digest) -> Self {
        End {
            attempt: Some(attempt.clone()),
            outcome: Outcome::Done,
            tokens,
            digest: digest.to_string(),
            code: None,
            reason: None,
            retry_after_ms: None,
        }
    }

    /// Creates an end other than `done`, for an answer that has no tokens yet.
    #[must_use]
    pub fn new(outcome: Outcome, reason: &str) -> Self {
        End {
            attempt: None,
            outcome,
            tokens: 0,
            digest: Hasher::new().digest().to_string(),
            code: None,
            reason: Some(reason.to_owned()),
            retry_after_ms: None,
        }
    }

    /// Returns what is true for a request whose key was sent before: that this
    /// sending was not run does not mean that the earlier one was not.
    #[must_use]
    pub fn for_resend(mut self) -> Self {
        if self.outcome == Outcome::NotRun && self.code != Some(Code::Mismatch) {
            let reason = self.reason.unwrap_or_default();
            self.reason = Some(format!(
                "an earlier sending of the key may have run; this one was not: {reason}"
            ));
            self.outcome = Outcome::Unknown;
            self.retry_after_ms = self.retry_after_ms.or(Some(RESEND_RETRY_MS));
        }
        self
    }

    /// Sets when a retry can help.
    #[must_use]
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after_ms = Some(span.as_millis());
        self
    }

    /// Sets why the request was refused.
    #[must_use]
    pub fn with_code(mut self, code: Code) -> Self {
        self.code = Some(code);
        self
    }

    /// Sets the attempt that this record ends.
    #[must_use]
    pub fn with_attempt(mut self, attempt: &Attempt) -> Self {
        self.attempt = Some(attempt.clone());
        self
    }
}

impl Record {
    /// Returns the record as one line of JSON with its line feed.
    ///
    /// # Panics
    ///
    /// Panics if the record cannot be encoded, which none does.
    #[must_use]
    pub fn to_line(&self) -> String {
        let mut line = serde_json::to_string(self).expect("records always encode");
        line.push('\n');
        line
    }

    /// Reads a record from one line.
    ///
    /// # Errors
    ///
    /// Returns the JSON error if the line is no record.
    pub fn from_line(line: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(line)
    }
}
