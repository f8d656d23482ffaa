//! Judges a run by what the targets executed and what the callers received.
//!
//! Nothing here trusts the routers: executions come from the stand-ins' own
//! records, answers from the callers' checked streams.

pub mod service;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_wire::record::{End, Outcome};
use serde::Serialize;

use crate::caller::call::{History, Reply, Submission};

/// One execution, as the target recorded it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    /// The runner.
    pub runner: Runner,
    /// The service of the runner.
    pub service: Service,
    /// The attempt that was executed.
    pub attempt: Attempt,
    /// The workspace.
    pub workspace: Workspace,
    /// Id of the request.
    pub request: String,
    /// Key of a non-idempotent request.
    pub key: Option<String>,
    /// When the first byte arrived.
    pub start: Time,
    /// When it ended, `None` if it never did.
    pub end: Option<Time>,
    /// Cost that it had, so far if it never ended.
    pub cost: Cost,
    /// Whether it ran to its end.
    pub whole: bool,
}

/// Counts of what went right and wrong.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Calls that were made.
    pub requests: u64,
    /// Calls that got a whole answer.
    pub answered: u64,
    /// Calls that got an error of the target.
    pub failed: u64,
    /// Calls that ended with `not_run`.
    pub refused_not_run: u64,
    /// Calls that ended with `unknown`.
    pub unknown: u64,
    /// Calls that never got an end.
    pub lost: u64,
    /// Answers that were passed off as whole but lack a part, and streams cut
    /// by a router that was not killed, paused or cut off.
    pub cut_short: u64,
    /// Keys under which more than one execution began.
    pub run_twice: u64,
    /// Answers of `not_run` for work that a target had begun.
    pub false_not_run: u64,
    /// Answers that break the protocol or belong to another request.
    pub wrong_answer: u64,
    /// Streams cut by a router that was killed, paused or cut off.
    pub cuts_by_faults: u64,
    /// How often each reason was given with an end other than `done`.
    pub reasons: BTreeMap<String, u64>,
    /// Sentences on the first faults found.
    pub faults: Vec<String>,
}

/// Number of faults that a verdict describes.
const MAX_FAULTS: usize = 20;

impl Verdict {
    /// Judges `histories` against `executions`; streams may be cut by the
    /// routers in `broken`, which the run killed, paused or cut off.
    #[must_use]
    pub fn new(
        histories: &[History],
        executions: &[Execution],
        broken: &BTreeSet<SocketAddr>,
    ) -> Self {
        let index = Index::new(executions);
        let mut verdict = Verdict::default();
        for history in histories {
            verdict.call(history, &index);
            for submission in &history.submissions {
                verdict.submission(history, submission, &index, broken);
            }
        }
        verdict.keys(&index);
        verdict
    }

    /// Returns whether no promise was broken.
    #[must_use]
    pub fn holds(&self) -> bool {
        let broken = self.lost + self.cut_short + self.run_twice;
        broken + self.false_not_run + self.wrong_answer == 0
    }

    fn call(&mut self, history: &History, index: &Index<'_>) {
        self.requests += 1;
        match history.last() {
            Some(Reply::End { end, answer }) => self.end(history, end, answer, index),
            Some(Reply::Broken(_)) => {}
            reply => {
                self.lost += 1;
                let id = &history.call.id;
                self.fault(format!("{id} is lost after {reply:?}: {}", trace(history)));
            }
        }
    }

    fn end(&mut self, history: &History, end: &End, answer: &str, index: &Index<'_>) {
        if let Some(reason) = &end.reason {
            *self.reasons.entry(reason.clone()).or_default() += 1;
        }
        match end.outcome {
            Outcome::Done => {
                self.answered += 1;
                self.done(history, answer, end.attempt.as_ref(), index);
            }
            Outcome::Failed => self.failed += 1,
            Outcome::NotRun => self.refused_not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
    }

    fn done(
        &mut self,
        history: &History,
        answer: &str,
        attempt: Option<&Attempt>,
        index: &Index<'_>,
    ) {
        let id = &history.call.id;
        let Some(execution) = attempt.and_then(|attempt| index.attempts.get(attempt)) else {
            self.wrong_answer += 1;
            self.fault(format!(
                "{id} is done by attempt {attempt:?}, which no target ran"
            ));
            return;
        };
        if !execution.whole {
            self.cut_short += 1;
            self.fault(format!("{id} is done, but its execution did not end"));
            return;
        }
        let own = match &execution.key {
            Some(key) => history.submissions.iter().any(|s| has_key(s, key)),
            None => index.made_by(execution, history),
        };
        if !own || execution.workspace != history.call.workspace {
            self.wrong_answer += 1;
            self.fault(format!("{id} got the answer to {}", execution.request));
            return;
        }
        match &history.call.expect {
            Some(expect) if expect != answer && expect.starts_with(answer) => {
                self.cut_short += 1;
                self.fault(format!("{id} got only the start of its answer"));
            }
            Some(expect) if expect != answer => {
                self.wrong_answer += 1;
                self.fault(format!("{id} got {answer:?} for {expect:?}"));
            }
            _ => {}
        }
    }

    fn submission(
        &mut self,
        history: &History,
        submission: &Submission,
        index: &Index<'_>,
        broken: &BTreeSet<SocketAddr>,
    ) {
        let request = &submission.request;
        match &submission.reply {
            Reply::Broken(reason) => {
                self.wrong_answer += 1;
                self.fault(format!("{request}: {reason}"));
            }
            Reply::Cut { .. } if broken.contains(&submission.router) => self.cuts_by_faults += 1,
            Reply::Cut { tokens } => {
                self.cut_short += 1;
                let router = submission.router;
                self.fault(format!(
                    "{request} was cut by {router} after {tokens} tokens"
                ));
            }
            Reply::End { end, .. } if end.outcome == Outcome::NotRun => {
                if index.began(submission, &history.call.workspace) {
                    self.false_not_run += 1;
                    self.fault(format!("{request} got not_run, but a target began it"));
                }
            }
            Reply::End { .. } | Reply::Unreachable(_) | Reply::Overdue { .. } => {}
        }
    }

    fn keys(&mut self, index: &Index<'_>) {
        for ((workspace, key), executions) in &index.keys {
            if executions.len() > 1 {
                self.run_twice += 1;
                let count = executions.len();
                self.fault(format!("key {key} of {workspace} ran {count} times"));
            }
        }
    }

    fn fault(&mut self, fault: String) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(fault);
        }
    }
}

/// Returns what became of each submission, with times from the first wish.
fn trace(history: &History) -> String {
    let line = |one: &Submission| {
        let [sent, over] = [one.sent, one.finished].map(|time| time.since(history.wanted).0);
        let what = match &one.reply {
            Reply::End { end, .. } => format!("{:?}", end.outcome),
            Reply::Cut { tokens } => format!("cut at {tokens}"),
            Reply::Overdue { .. } => "overdue".to_owned(),
            Reply::Unreachable(_) => "unreachable".to_owned(),
            Reply::Broken(_) => "broken".to_owned(),
        };
        format!("{sent}-{over} ms {} {what}", one.router)
    };
    let lines: Vec<_> = history.submissions.iter().map(line).collect();
    format!("{} ms, {}", history.wanted.0, lines.join(", "))
}

fn has_key(submission: &Submission, key: &str) -> bool {
    submission
        .key
        .as_ref()
        .is_some_and(|own| own.as_str() == key)
}

/// Executions by what they are looked up by.
struct Index<'a> {
    attempts: BTreeMap<&'a Attempt, &'a Execution>,
    requests: BTreeMap<&'a str, Vec<&'a Execution>>,
    keys: BTreeMap<(&'a Workspace, &'a str), Vec<&'a Execution>>,
}

impl<'a> Index<'a> {
    fn new(executions: &'a [Execution]) -> Self {
        let mut index = Index {
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        for execution in executions {
            index.attempts.insert(&execution.attempt, execution);
            let request = index.requests.entry(&execution.request).or_default();
            request.push(execution);
            if let Some(key) = &execution.key {
                let key = (&execution.workspace, key.as_str());
                index.keys.entry(key).or_default().push(execution);
            }
        }
        index
    }

    fn made_by(&self, execution: &Execution, history: &History) -> bool {
        let mut submissions = history.submissions.iter();
        submissions.any(|submission| submission.request == execution.request)
    }

    /// Returns whether a target had begun the work when its caller was told
    /// `not_run`, or began it later for the same submission.
    fn began(&self, submission: &Submission, workspace: &Workspace) -> bool {
        if self.requests.contains_key(submission.request.as_str()) {
            return true;
        }
        let Some(key) = &submission.key else {
            return false;
        };
        let executions = self.keys.get(&(workspace, key.as_str()));
        executions.is_some_and(|all| all.iter().any(|one| one.start < submission.sent))
    }
}
