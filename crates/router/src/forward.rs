//! Forwarding of requests to the router that queues them.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::Duration;

use balsamchute_base::digest::Hasher;
use balsamchute_base::prelude::*;
use balsamchute_wire::codec;
use balsamchute_wire::forward::{Forward, Head};
use balsamchute_wire::record::{Code, End, Outcome, Record};

use crate::answer::Answer;
use crate::context::{Context, is_unsent};

/// Longest time without a line of the answer, after which the other router is
/// considered lost. That router writes an empty line every
/// [`crate::request::KEEP_ALIVE_INTERVAL`] while the request waits, and only
/// tokens while an attempt runs. A call of a plain service has no tokens until
/// it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the deadline for the other router to end the answer.
const DEADLINE_MARGIN: Span = Span::from_secs(2);

/// Maximum length of a line of an answer, in bytes. A token of an engine always
/// fits, because a line of an engine has at most 1 MiB. A response of a plain
/// service may be longer. Such an answer counts as interrupted.
const MAX_LINE_BYTES: u64 = 2 << 20;

/// Result of forwarding a request.
pub(crate) enum Delivery {
    /// The answer ended, or the client disconnected.
    Ended,
    /// The request did not reach the other router, or that router attested that
    /// it did not accept the request.
    NotAccepted,
    /// An idempotent request may have started, but no part of its answer was
    /// received.
    Lost,
    /// The answer was interrupted. The end record reports what is known.
    Interrupted(End),
}

/// Sends the request to the router at `address` and relays its answer.
pub(crate) fn forward(
    context: &Context,
    address: SocketAddr,
    head: &Head,
    body: &[u8],
    answer: &mut Answer,
) -> Delivery {
    if !context.may_connect(address) {
        return Delivery::NotAccepted;
    }
    let message = Forward {
        from: context.settings.instance.clone(),
        head: head.clone(),
        body: body.to_vec(),
    };
    // The other side may have closed a reused connection, which looks the same
    // as a request that was accepted. Requests with a key therefore use a new
    // connection.
    let agent = if head.key.is_some() {
        &context.unpooled_agent
    } else {
        &context.pooled_agent
    };
    let result = agent
        .post(format!("http://{address}/inner/run"))
        .config()
        .timeout_global(Some((head.deadline + DEADLINE_MARGIN).into()))
        .timeout_per_read(Some(IDLE_TIMEOUT))
        .build()
        .send(&codec::encode(&message)[..]);
    match result {
        Ok(response) => relay_answer(context, head, response, answer),
        Err(error) if is_unsent(&error) => Delivery::NotAccepted,
        Err(_) if head.key.is_none() => Delivery::Lost,
        Err(error) => {
            Delivery::Interrupted(interrupted_end(head, &Validator::new(), &error.to_string()))
        }
    }
}

fn relay_answer(
    context: &Context,
    head: &Head,
    response: ureq::http::Response<ureq::Body>,
    answer: &mut Answer,
) -> Delivery {
    let reader = response
        .into_body()
        .into_with_config()
        .limit(u64::MAX)
        .reader();
    let mut lines = BufReader::new(reader);
    let mut validator = Validator::new();
    loop {
        if context.is_end_forced() {
            return Delivery::Interrupted(interrupted_end(
                head,
                &validator,
                "this one has stopped",
            ));
        }
        let mut line = String::new();
        match lines.by_ref().take(MAX_LINE_BYTES).read_line(&mut line) {
            Ok(count) if count > 0 && line.ends_with('\n') => {}
            Ok(_) => return interrupted(head, &validator, "the answer broke off"),
            Err(error) => return interrupted(head, &validator, &error.to_string()),
        }
        if line == "\n" {
            if answer.write_keep_alive().is_err() {
                return Delivery::Ended;
            }
            continue;
        }
        match validator.validate(&line) {
            Some(Record::End(end)) if end.code == Some(Code::Elsewhere) => {
                return Delivery::NotAccepted;
            }
            Some(Record::End(end)) => {
                // The end record is of no use to a client that disconnected.
                let _ = answer.finish(&end);
                return Delivery::Ended;
            }
            Some(Record::Token(_)) => {
                if answer.write_line(&line).is_err() {
                    return Delivery::Ended;
                }
            }
            None => return interrupted(head, &validator, "the answer was damaged on the way"),
        }
    }
}

/// Returns the result of an interrupted answer. An idempotent request without
/// any token can safely run again.
fn interrupted(head: &Head, validator: &Validator, reason: &str) -> Delivery {
    if head.key.is_none() && validator.tokens == 0 {
        return Delivery::Lost;
    }
    Delivery::Interrupted(interrupted_end(head, validator, reason))
}

fn interrupted_end(head: &Head, validator: &Validator, reason: &str) -> End {
    let outcome = if head.key.is_some() {
        Outcome::Unknown
    } else {
        Outcome::Failed
    };
    let mut end = End::new(
        outcome,
        &format!("lost the router that queued the request: {reason}"),
    );
    end.tokens = validator.tokens;
    end.digest = validator.hasher.digest().to_string();
    end.attempt.clone_from(&validator.attempt);
    // Retry-after delay in milliseconds.
    end.with_retry_after(Span(200))
}

/// Checks that the records of an answer are consistent and complete.
struct Validator {
    tokens: u64,
    hasher: Hasher,
    attempt: Option<Attempt>,
}

impl Validator {
    fn new() -> Self {
        Validator {
            tokens: 0,
            hasher: Hasher::new(),
            attempt: None,
        }
    }

    /// Parses a line and returns its record, `None` if it is malformed or
    /// inconsistent with the records before it.
    fn validate(&mut self, line: &str) -> Option<Record> {
        let record = Record::from_line(line).ok()?;
        match &record {
            Record::Token(token) => {
                let same_attempt = self
                    .attempt
                    .as_ref()
                    .is_none_or(|attempt| *attempt == token.attempt);
                if !same_attempt || token.index != self.tokens {
                    return None;
                }
                self.attempt = Some(token.attempt.clone());
                self.tokens += 1;
                self.hasher.update(token.text.as_bytes());
            }
            Record::End(end) if end.outcome == Outcome::Done => {
                let complete =
                    end.tokens == self.tokens && end.digest == self.hasher.digest().to_string();
                if !complete {
                    return None;
                }
            }
            Record::End(_) => {}
        }
        Some(record)
    }
}
