//! Records of an answer to a caller, one JSON object per line.

use balsamchute_base::digest::{Digest, Hasher};
use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is complete.
    Done,
    /// The target answered with an error, or an idempotent request ended without a
    /// complete answer after an attempt may have run.
    Failed,
    /// No byte of the request reached a target, or the target attested that it
    /// rejected the request.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

/// Machine-readable reason why a request was refused or not completed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The workspace or service does not exist.
    NotFound,
    /// The idempotency key was used with another body or service.
    Mismatch,
    /// A limit is reached or a queue is full. A later retry may succeed.
    Limit,
    /// This router cannot accept the request at the moment; another one may.
    Elsewhere,
    /// Earlier requests of the same fingerprint crashed their targets.
    Quarantine,
    /// Claims of durable keys cannot be stored at the moment.
    NoClaims,
    /// The deadline passed before the request ended.
    Deadline,
}

/// Retry-after delay, in milliseconds, of an end record that became `unknown`
/// because the key was sent before and that had no delay.
const DEFAULT_RESEND_RETRY_AFTER_MS: u64 = 1000;

/// One line of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// Next piece of the answer.
    Token(Token),
    /// Last record of the answer. An answer without it is truncated.
    End(End),
}

/// One piece of an answer's text.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Token {
    /// Attempt that produced the token.
    pub attempt: Attempt,
    /// Position in the answer, counted from 0 without gaps.
    pub index: u64,
    /// Text of the token.
    pub text: String,
}

/// Last record of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct End {
    /// Attempt that the record ends, `None` if there was none.
    pub attempt: Option<Attempt>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Number of token records before this one.
    pub tokens: u64,
    /// Digest of the concatenated token texts, as 32 hexadecimal digits.
    pub digest: String,
    /// Machine-readable reason, `None` if no code applies.
    #[serde(default)]
    pub code: Option<Code>,
    /// Human-readable reason for an outcome other than `done`.
    pub reason: Option<String>,
    /// Delay after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl End {
    /// Creates the end of a complete answer.
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

    /// Creates an end for an answer without tokens.
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

    /// Adapts the end to a request whose key was sent before. That this request
    /// was not run says nothing about the earlier one, so `not_run` becomes
    /// `unknown`. After a mismatch the key belongs to a request with another body
    /// or service, so this one has not run under it and stays `not_run`.
    #[must_use]
    pub fn for_resend(mut self) -> Self {
        if self.outcome == Outcome::NotRun && self.code != Some(Code::Mismatch) {
            let reason = self.reason.unwrap_or_default();
            self.reason = Some(format!(
                "an earlier sending of the key may have run; this one was not: {reason}"
            ));
            self.outcome = Outcome::Unknown;
            self.retry_after_ms = self.retry_after_ms.or(Some(DEFAULT_RESEND_RETRY_AFTER_MS));
        }
        self
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after_ms = Some(span.as_millis());
        self
    }

    /// Sets the machine-readable reason.
    #[must_use]
    pub fn with_code(mut self, code: Code) -> Self {
        self.code = Some(code);
        self
    }

    /// Sets the attempt that the record ends.
    #[must_use]
    pub fn with_attempt(mut self, attempt: &Attempt) -> Self {
        self.attempt = Some(attempt.clone());
        self
    }
}

impl Record {
    /// Encodes the record as one line of JSON, including the line feed.
    ///
    /// # Panics
    ///
    /// Panics if the record cannot be encoded. All records can.
    #[must_use]
    pub fn to_line(&self) -> String {
        let mut line = serde_json::to_string(self).expect("records are encodable");
        line.push('\n');
        line
    }

    /// Decodes a record from one line of JSON.
    ///
    /// # Errors
    ///
    /// Returns the JSON error if the line is not a record.
    pub fn from_line(line: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(line)
    }
}
