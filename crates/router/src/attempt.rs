//! Serving one request: waiting for commands and carrying them out.

use std::time::Duration;

use balsamchute_base::digest::Hasher;
use balsamchute_base::prelude::*;
use balsamchute_dispatch::deadline::answer_by;
use balsamchute_dispatch::event::{Arrival, Command, Ending, Event, Finish, Run, Ticket};
use balsamchute_metrics::Metrics;
use balsamchute_wire::claim::Settled;
use balsamchute_wire::forward::Head;
use balsamchute_wire::record::{Code, End, Outcome, Record, Token};
use crossbeam_channel::{Receiver, RecvTimeoutError, unbounded};
use tiny_http::Request;

use crate::answer::Answer;
use crate::callers::digest;
use crate::forward::{Passed, forward};
use crate::input::Input;
use crate::run;
use crate::work::Work;

/// Time between two empty lines to a caller whose request waits.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// When a caller may ask for the end of an overdue call.
const OVERDUE_RETRY: Span = Span::from_secs(1);

/// A request that a thread serves.
pub(crate) struct Serving<'a> {
    /// What the threads share.
    pub work: &'a Work,
    /// Number of the request.
    pub ticket: Ticket,
    /// What was asked for.
    pub head: Head,
    /// The body.
    pub body: &'a [u8],
    /// The answer.
    pub answer: Answer,
    /// Tokens written so far.
    pub tokens: u64,
    /// Digest of those tokens.
    pub hasher: Hasher,
    /// When it arrived here.
    arrived: Time,
    /// When the last token was written.
    last_token: Option<Time>,
    /// How the request ends if the actor stops first; `None` before an attempt.
    last: Option<End>,
}

/// Serves a request until its answer has ended.
pub(crate) fn serve(work: &Work, request: Request, head: Head, body: &[u8]) {
    let ticket = work.ticket();
    let (sender, commands) = unbounded();
    let arrival = Arrival {
        ticket,
        head: head.clone(),
        digest: digest(&head.service, body),
    };
    work.send(Input::Arrive(arrival, sender));
    let mut serving = Serving {
        work,
        ticket,
        head,
        body,
        answer: Answer::new(request),
        tokens: 0,
        hasher: Hasher::new(),
        arrived: work.now(),
        last_token: None,
        last: None,
    };
    serving.follow(&commands);
}

impl Serving<'_> {
    fn follow(&mut self, commands: &Receiver<Command>) {
        loop {
            match commands.recv_timeout(KEEP_ALIVE) {
                Ok(Command::Forward { address, head, .. }) => {
                    if self.forward(address, &head) {
                        return;
                    }
                }
                Ok(Command::Run(run)) => self.run(&run),
                Ok(Command::End(end)) => {
                    let total = self.work.now().since(self.arrived);
                    self.metrics().observe_end(self.owner(), end.outcome, total);
                    // A reader that is gone needs no end.
                    let _ = self.answer.end(&end);
                    return;
                }
                Ok(Command::Replay(settled)) => return self.replay(&settled),
                Err(RecvTimeoutError::Timeout) => {
                    if self.answer.keep_alive().is_err() {
                        self.work.event(Event::Gone(self.ticket));
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return self.abandon(),
            }
        }
    }

    /// Ends the answer without the actor, which has stopped.
    fn abandon(&mut self) {
        let end = match self.last.take() {
            Some(end) => end,
            None => End::new(
                Outcome::NotRun,
                "router is leaving; ask for another address",
            )
            .with_code(Code::Elsewhere)
            .with_retry_after(Span(0)),
        };
        let _ = self.answer.end(&end);
    }

    /// Passes the request on. Returns whether its answer has ended.
    fn forward(&mut self, address: std::net::SocketAddr, head: &Head) -> bool {
        match forward(self.work, address, head, self.body, &mut self.answer) {
            Passed::Ended => {}
            Passed::NotTaken => {
                self.work.event(Event::ForwardFailed(self.ticket));
                return false;
            }
            Passed::Lost => {
                self.work.event(Event::ForwardLost(self.ticket));
                return false;
            }
            Passed::Broken(end) => drop(self.answer.end(&end)),
        }
        self.work.event(Event::Forwarded(self.ticket));
        true
    }

    fn run(&mut self, run: &Run) {
        let wait = self.work.now().since(self.arrived);
        self.metrics().observe_wait(self.owner(), wait);
        self.last = Some(End::new(
            Outcome::Unknown,
            "router stopped during the attempt",
        ));
        let outcome = run::run(self, run);
        self.metrics().observe_cost(self.owner(), outcome.cost);
        let finish = Finish {
            ticket: self.ticket,
            ending: outcome.ending,
            cost: outcome.cost,
            tokens: self.tokens,
            digest: self.hasher.digest().to_string(),
            answer: outcome.answer,
        };
        self.last = Some(self.end(&run.attempt, &finish));
        self.work.event(Event::Finish(finish));
    }

    /// Returns the time left for an answer that arrives by the deadline.
    pub fn left(&self) -> Span {
        let by = self.arrived + answer_by(self.head.deadline);
        by.since(self.work.now())
    }

    /// Tells the caller at its deadline that a call still runs.
    pub fn overdue(&mut self) {
        let reason = "deadline passed while the call ran; ask for its outcome by its key";
        let outcome = if self.head.key.is_some() {
            Outcome::Unknown
        } else {
            Outcome::Failed
        };
        let end = End::new(outcome, reason)
            .with_code(Code::Deadline)
            .with_retry_after(OVERDUE_RETRY);
        let _ = self.answer.end(&end);
    }

    /// Returns the end record of an attempt if nothing more is known.
    fn end(&self, attempt: &Attempt, finish: &Finish) -> End {
        if finish.ending == Ending::Done {
            return End::done(attempt, self.tokens, self.hasher.digest());
        }
        let mut end = End::new(Outcome::Unknown, "router stopped after the attempt");
        end.tokens = self.tokens;
        end.digest.clone_from(&finish.digest);
        end.with_attempt(attempt)
    }

    /// Writes one token of the answer.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the reader is gone.
    pub fn token(&mut self, attempt: &Attempt, text: &str) -> std::io::Result<()> {
        let token = Token {
            attempt: attempt.clone(),
            index: self.tokens,
            text: text.to_owned(),
        };
        self.observe_token();
        self.tokens += 1;
        self.hasher.update(text.as_bytes());
        self.answer.line(&Record::Token(token).to_line())
    }

    fn metrics(&self) -> &Metrics {
        &self.work.metrics
    }

    /// Whose request this is, for the metrics.
    fn owner(&self) -> balsamchute_metrics::Work<'_> {
        balsamchute_metrics::Work {
            workspace: &self.head.workspace,
            service: &self.head.service,
        }
    }

    fn observe_token(&mut self) {
        let now = self.work.now();
        match self.last_token.replace(now) {
            None => {
                let time = now.since(self.arrived);
                self.metrics().observe_first_token(self.owner(), time);
            }
            Some(last) => {
                let time = now.since(last);
                self.metrics().observe_between_tokens(self.owner(), time);
            }
        }
    }

    /// Gives the recorded answer of an earlier run.
    fn replay(&mut self, settled: &Settled) {
        let attempt = settled.end.attempt.clone();
        if let (Some(attempt), Some(texts)) = (attempt, &settled.answer) {
            for text in texts {
                if self.token(&attempt, text).is_err() {
                    return;
                }
            }
        }
        let mut end = settled.end.clone();
        let whole = end.tokens == self.tokens && end.digest == self.hasher.digest().to_string();
        if !whole {
            // The outcome stands, but the answer was too long to keep.
            end.tokens = self.tokens;
            end.digest = self.hasher.digest().to_string();
            end.reason = Some("ended earlier; its answer was too long to keep".to_owned());
        }
        let _ = self.answer.end(&end);
    }
}
