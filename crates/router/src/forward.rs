//! Passing a request on to the router that queues it.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::Duration;

use balsamchute_base::digest::Hasher;
use balsamchute_base::prelude::*;
use balsamchute_wire::codec;
use balsamchute_wire::forward::{Forward, Head};
use balsamchute_wire::record::{Code, End, Outcome, Record};

use crate::answer::Answer;
use crate::work::{Work, is_unsent};

/// Silence after which the other router counts as gone. It writes a line at
/// least every [`crate::attempt::KEEP_ALIVE`].
const SILENCE: Duration = Duration::from_secs(5);

/// Time beyond the deadline that the other router has to end the answer.
const MARGIN: Span = Span::from_secs(2);

/// Longest line of an answer in bytes.
const MAX_LINE_BYTES: u64 = 2 << 20;

/// How passing a request on ended.
pub(crate) enum Passed {
    /// The answer has ended or its reader is gone.
    Ended,
    /// Nothing reached the other router, or it attested that it took nothing.
    NotTaken,
    /// An idempotent request may have begun, but none of its answer came.
    Lost,
    /// The answer broke off; the end says what is known.
    Broken(End),
}

/// Sends the request to `address` and copies the answer.
pub(crate) fn forward(
    work: &Work,
    address: SocketAddr,
    head: &Head,
    body: &[u8],
    answer: &mut Answer,
) -> Passed {
    if !work.is_open(address) {
        return Passed::NotTaken;
    }
    let frame = Forward {
        from: work.settings.instance.clone(),
        head: head.clone(),
        body: body.to_vec(),
    };
    // A kept connection may have been closed by the other side, which cannot be
    // told from a request that was taken. Keyed requests use a new one.
    let agent = if head.key.is_some() {
        &work.fresh
    } else {
        &work.pooled
    };
    let sent = agent
        .post(format!("http://{address}/inner/run"))
        .config()
        .timeout_global(Some((head.deadline + MARGIN).into()))
        .timeout_per_read(Some(SILENCE))
        .build()
        .send(&codec::encode(&frame)[..]);
    match sent {
        Ok(response) => copy(work, head, response, answer),
        Err(error) if is_unsent(&error) => Passed::NotTaken,
        Err(_) if head.key.is_none() => Passed::Lost,
        Err(error) => Passed::Broken(broken(head, &Check::new(), &error.to_string())),
    }
}

fn copy(
    work: &Work,
    head: &Head,
    response: ureq::http::Response<ureq::Body>,
    answer: &mut Answer,
) -> Passed {
    let reader = response
        .into_body()
        .into_with_config()
        .limit(u64::MAX)
        .reader();
    let mut lines = BufReader::new(reader);
    let mut check = Check::new();
    loop {
        if work.is_closing() {
            return Passed::Broken(broken(head, &check, "this one has stopped"));
        }
        let mut line = String::new();
        match lines.by_ref().take(MAX_LINE_BYTES).read_line(&mut line) {
            Ok(count) if count > 0 && line.ends_with('\n') => {}
            Ok(_) => return lost(head, &check, "the answer broke off"),
            Err(error) => return lost(head, &check, &error.to_string()),
        }
        if line == "\n" {
            if answer.keep_alive().is_err() {
                return Passed::Ended;
            }
            continue;
        }
        match check.record(&line) {
            Some(Record::End(end)) if end.code == Some(Code::Elsewhere) => {
                return Passed::NotTaken;
            }
            Some(Record::End(end)) => {
                // A reader that is gone needs no end.
                let _ = answer.end(&end);
                return Passed::Ended;
            }
            Some(Record::Token(_)) => {
                if answer.line(&line).is_err() {
                    return Passed::Ended;
                }
            }
            None => return lost(head, &check, "the answer was damaged on the way"),
        }
    }
}

/// Decides what a broken answer means for the caller.
fn lost(head: &Head, check: &Check, reason: &str) -> Passed {
    if head.key.is_none() && check.tokens == 0 {
        return Passed::Lost;
    }
    Passed::Broken(broken(head, check, reason))
}

fn broken(head: &Head, check: &Check, reason: &str) -> End {
    let outcome = if head.key.is_some() {
        Outcome::Unknown
    } else {
        Outcome::Failed
    };
    let mut end = End::new(
        outcome,
        &format!("lost the router that queued the request: {reason}"),
    );
    end.tokens = check.tokens;
    end.digest = check.hasher.digest().to_string();
    end.attempt.clone_from(&check.attempt);
    end.with_retry_after(Span(200))
}

/// Checks that an answer is whole and belongs together.
struct Check {
    tokens: u64,
    hasher: Hasher,
    attempt: Option<Attempt>,
}

impl Check {
    fn new() -> Self {
        Check {
            tokens: 0,
            hasher: Hasher::new(),
            attempt: None,
        }
    }

    /// Reads a line and returns its record, `None` if it does not fit.
    fn record(&mut self, line: &str) -> Option<Record> {
        let record = Record::from_line(line).ok()?;
        match &record {
            Record::Token(token) => {
                let same = self
                    .attempt
                    .as_ref()
                    .is_none_or(|attempt| *attempt == token.attempt);
                if !same || token.index != self.tokens {
                    return None;
                }
                self.attempt = Some(token.attempt.clone());
                self.tokens += 1;
                self.hasher.update(token.text.as_bytes());
            }
            Record::End(end) if end.outcome == Outcome::Done => {
                let whole =
                    end.tokens == self.tokens && end.digest == self.hasher.digest().to_string();
                if !whole {
                    return None;
                }
            }
            Record::End(_) => {}
        }
        Some(record)
    }
}
