//! Serving one request: receives the commands of the actor and executes them.

use std::time::Duration;

use balsamchute_base::digest::Hasher;
use balsamchute_base::prelude::*;
use balsamchute_dispatch::deadline::answer_budget;
use balsamchute_dispatch::event::{Arrival, Command, Ending, Event, Finish, RequestNumber, Run};
use balsamchute_metrics::Metrics;
use balsamchute_wire::claim::Settled;
use balsamchute_wire::forward::Head;
use balsamchute_wire::record::{Code, End, Outcome, Record, Token};
use crossbeam_channel::{Receiver, RecvTimeoutError, unbounded};

use crate::answer::Answer;
use crate::callers::body_digest;
use crate::context::Context;
use crate::forward::{Delivery, forward};
use crate::http::Request;
use crate::input::Input;
use crate::run;

/// Interval between two empty lines to a client whose request waits.
pub(crate) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Retry-after delay of a request whose deadline passed while its call ran.
const OVERDUE_RETRY_AFTER: Span = Span::from_secs(1);

/// A request that is being served by the current thread.
pub(crate) struct Handler<'a> {
    /// State shared by the threads of the process.
    pub context: &'a Context,
    /// Number of the request, unique within the process.
    pub request_number: RequestNumber,
    /// Request without its body: ids, service, key, deadline and hints.
    pub head: Head,
    /// Request body, passed to the target as it is.
    pub body: &'a [u8],
    /// Answer to the client that sent the request.
    pub answer: Answer,
    /// Tokens written to the answer.
    pub tokens: u64,
    /// Digest of the texts of those tokens.
    pub hasher: Hasher,
    /// Time at which this router received the request.
    arrived_at: Time,
    /// Time at which the last token was written, `None` before the first one.
    last_token_at: Option<Time>,
    /// End record to send if the actor stops before it sends one. `None` before
    /// the first attempt, when the request has not run.
    fallback_end: Option<End>,
}

/// Serves a request until its answer has ended.
pub(crate) fn serve(context: &Context, request: Request, head: Head, body: &[u8]) {
    let request_number = context.next_request_number();
    let (sender, commands) = unbounded();
    let arrival = Arrival {
        request_number,
        head: head.clone(),
        digest: body_digest(&head.service, body),
    };
    context.send(Input::RequestArrived(arrival, sender));
    let mut handler = Handler {
        context,
        request_number,
        head,
        body,
        answer: Answer::new(request),
        tokens: 0,
        hasher: Hasher::new(),
        arrived_at: context.now(),
        last_token_at: None,
        fallback_end: None,
    };
    handler.execute_commands(&commands);
}

impl Handler<'_> {
    fn execute_commands(&mut self, commands: &Receiver<Command>) {
        loop {
            match commands.recv_timeout(KEEP_ALIVE_INTERVAL) {
                Ok(Command::Forward { address, head, .. }) => {
                    if self.forward_to(address, &head) {
                        return;
                    }
                }
                Ok(Command::Run(run)) => self.run_attempt(&run),
                Ok(Command::End(end)) => {
                    let total = self.context.now().since(self.arrived_at);
                    self.metrics()
                        .observe_end(self.metric_labels(), end.outcome, total);
                    // The end record is of no use to a client that
                    // disconnected.
                    let _ = self.answer.finish(&end);
                    return;
                }
                Ok(Command::Replay(settled)) => return self.replay(&settled),
                Err(RecvTimeoutError::Timeout) => {
                    if self.answer.write_keep_alive().is_err() {
                        self.context
                            .send_event(Event::CallerGone(self.request_number));
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return self.end_without_actor(),
            }
        }
    }

    /// Ends the answer if the actor has stopped before it sent an end record.
    fn end_without_actor(&mut self) {
        let end = match self.fallback_end.take() {
            Some(end) => end,
            None => End::new(
                Outcome::NotRun,
                "router is leaving; ask for another address",
            )
            .with_code(Code::Elsewhere)
            // Another router may accept the request at once.
            .with_retry_after(Span(0)),
        };
        let _ = self.answer.finish(&end);
    }

    /// Forwards the request to another router. Returns whether the answer has
    /// ended.
    fn forward_to(&mut self, address: std::net::SocketAddr, head: &Head) -> bool {
        match forward(self.context, address, head, self.body, &mut self.answer) {
            Delivery::Ended => {}
            Delivery::NotAccepted => {
                self.context
                    .send_event(Event::ForwardFailed(self.request_number));
                return false;
            }
            Delivery::Lost => {
                self.context
                    .send_event(Event::ForwardLost(self.request_number));
                return false;
            }
            Delivery::Interrupted(end) => drop(self.answer.finish(&end)),
        }
        self.context
            .send_event(Event::ForwardEnded(self.request_number));
        true
    }

    fn run_attempt(&mut self, run: &Run) {
        let wait = self.context.now().since(self.arrived_at);
        self.metrics()
            .observe_queue_wait(self.metric_labels(), wait);
        self.fallback_end = Some(End::new(
            Outcome::Unknown,
            "router stopped during the attempt",
        ));
        let report = run::execute(self, run);
        self.metrics()
            .observe_cost(self.metric_labels(), report.cost);
        let finish = Finish {
            request_number: self.request_number,
            ending: report.ending,
            cost: report.cost,
            tokens: self.tokens,
            digest: self.hasher.digest().to_string(),
            answer: report.answer,
        };
        self.fallback_end = Some(self.end_after_attempt(&run.attempt, &finish));
        self.context.send_event(Event::Finish(finish));
    }

    /// Returns the time left until the answer must end, so that it reaches the
    /// client by the deadline.
    pub fn remaining_time(&self) -> Span {
        let answer_deadline = self.arrived_at + answer_budget(self.head.deadline);
        answer_deadline.since(self.context.now())
    }

    /// Ends the answer at the deadline while the call is still running.
    pub fn end_overdue(&mut self) {
        let reason = "deadline passed while the call ran; ask for its outcome by its key";
        let outcome = if self.head.key.is_some() {
            Outcome::Unknown
        } else {
            Outcome::Failed
        };
        let end = End::new(outcome, reason)
            .with_code(Code::Deadline)
            .with_retry_after(OVERDUE_RETRY_AFTER);
        let _ = self.answer.finish(&end);
    }

    /// Returns the end record to send if the actor stops right after the
    /// attempt.
    fn end_after_attempt(&self, attempt: &Attempt, finish: &Finish) -> End {
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
    /// Returns the I/O error if the client disconnected.
    pub fn write_token(&mut self, attempt: &Attempt, text: &str) -> std::io::Result<()> {
        let token = Token {
            attempt: attempt.clone(),
            index: self.tokens,
            text: text.to_owned(),
        };
        self.observe_token_latency();
        self.tokens += 1;
        self.hasher.update(text.as_bytes());
        self.answer.write_line(&Record::Token(token).to_line())
    }

    fn metrics(&self) -> &Metrics {
        &self.context.metrics
    }

    /// Returns the workspace and service that the metrics are labelled with.
    fn metric_labels(&self) -> balsamchute_metrics::Labels<'_> {
        balsamchute_metrics::Labels {
            workspace: &self.head.workspace,
            service: &self.head.service,
        }
    }

    fn observe_token_latency(&mut self) {
        let now = self.context.now();
        match self.last_token_at.replace(now) {
            None => {
                let latency = now.since(self.arrived_at);
                self.metrics()
                    .observe_first_token(self.metric_labels(), latency);
            }
            Some(previous) => {
                let latency = now.since(previous);
                self.metrics()
                    .observe_between_tokens(self.metric_labels(), latency);
            }
        }
    }

    /// Sends the answer that was recorded by an earlier run of the request.
    fn replay(&mut self, settled: &Settled) {
        let attempt = settled.end.attempt.clone();
        if let (Some(attempt), Some(texts)) = (attempt, &settled.answer) {
            for text in texts {
                if self.write_token(&attempt, text).is_err() {
                    return;
                }
            }
        }
        let mut end = settled.end.clone();
        let complete = end.tokens == self.tokens && end.digest == self.hasher.digest().to_string();
        if !complete {
            // The outcome is valid, but the answer was too long to be recorded.
            end.tokens = self.tokens;
            end.digest = self.hasher.digest().to_string();
            end.reason = Some("ended earlier; its answer was too long to keep".to_owned());
        }
        let _ = self.answer.finish(&end);
    }
}
