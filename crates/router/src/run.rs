//! One attempt at a target.

use std::time::Instant;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Ending, Event, MAX_DELAY, Run};
use balsamchute_inventory::config::Kind;
use balsamchute_target::engine::Generation;
use balsamchute_target::plain::Call;
use balsamchute_target::stream::{Piece, Stream};
use balsamchute_target::{Error, engine, plain};

use crossbeam_channel::bounded;

use crate::attempt::Serving;
use crate::work::STACK_BYTES;

/// Tokens between two reports of the cost so far.
const PROGRESS_TOKENS: u64 = 16;

/// Longest answer of a non-idempotent request that is kept, in bytes.
const KEPT_BYTES: usize = 2048;

/// Time beyond the deadline that a call may take, since its end is worth more
/// than an unknown outcome.
const MARGIN: Span = Span::from_secs(10);

/// Clients of targets, shared by all threads.
#[derive(Clone, Debug)]
pub(crate) struct Targets {
    engines: engine::Client,
    plain: plain::Client,
}

impl Targets {
    /// Creates the clients.
    pub fn new() -> Self {
        let settings = balsamchute_target::Settings::default();
        Targets {
            engines: engine::Client::new(settings.clone()),
            plain: plain::Client::new(settings),
        }
    }

    /// Returns the client that also reads load reports.
    pub fn engines(&self) -> &engine::Client {
        &self.engines
    }
}

/// What came of an attempt.
pub(crate) struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// Its cost.
    pub cost: Cost,
    /// The answer of a non-idempotent request.
    pub answer: Option<Vec<String>>,
}

/// Makes an attempt and passes its answer on.
pub(crate) fn run(serving: &mut Serving<'_>, run: &Run) -> Outcome {
    let work = serving.work;
    if !work.is_open(run.address) {
        return not_sent("target cannot be reached");
    }
    if work.now().since(run.at) > MAX_DELAY {
        return not_sent("the process was paused before the attempt began");
    }
    match run.kind {
        Kind::Engine => generate(serving, run),
        Kind::Plain => call(serving, run),
    }
}

fn not_sent(reason: &str) -> Outcome {
    Outcome {
        ending: Ending::NotSent(reason.to_owned()),
        cost: Cost(0),
        answer: None,
    }
}

fn generate(serving: &mut Serving<'_>, run: &Run) -> Outcome {
    let Ok(prompt) = std::str::from_utf8(serving.body) else {
        let ending = Ending::Answered("body is no UTF-8 text".to_owned());
        return Outcome {
            ending,
            cost: Cost(0),
            answer: None,
        };
    };
    let head = serving.head.clone();
    let generation = Generation {
        attempt: &run.attempt,
        workspace: &head.workspace,
        request: &head.request,
        key: head.key.as_ref(),
        prefix: head.prefix.as_deref(),
        fence: Some(run.fence),
        prompt,
    };
    match serving
        .work
        .targets
        .engines
        .generate(run.address, &generation)
    {
        Ok(stream) => copy(serving, run, stream),
        Err(error) => Outcome {
            ending: ending(&error),
            cost: Cost(0),
            answer: None,
        },
    }
}

/// Passes the tokens of a stream on and counts them.
fn copy(serving: &mut Serving<'_>, run: &Run, mut stream: Stream) -> Outcome {
    let canceller = stream.canceller();
    serving
        .work
        .cancels
        .enter(serving.ticket, canceller.clone());
    let keep = serving.head.key.is_some();
    let mut kept = Kept::new(keep);
    let mut cost = Cost(0);
    let ending = loop {
        if serving.work.is_closing() {
            break Ending::Lost("router has stopped".to_owned());
        }
        match stream.next() {
            Some(Ok(Piece::Token { text, .. })) => {
                cost += Cost(1);
                kept.push(&text);
                if serving.token(&run.attempt, &text).is_err() && !keep {
                    // Nobody reads the answer; a non-idempotent one goes on.
                    let _ = canceller.cancel();
                    break Ending::Cancelled;
                }
                if cost.0.is_multiple_of(PROGRESS_TOKENS) {
                    serving.work.event(Event::Progress(serving.ticket, cost));
                }
            }
            Some(Ok(Piece::Done { .. })) => break Ending::Done,
            Some(Err(error)) => break ending(&error),
            None => break Ending::Lost("stream ended without its end".to_owned()),
        }
    };
    serving.work.cancels.leave(serving.ticket);
    Outcome {
        ending,
        cost,
        answer: kept.texts,
    }
}

fn call(serving: &mut Serving<'_>, run: &Run) -> Outcome {
    let started = Instant::now();
    let result = wait(serving, run);
    let cost = Cost((started.elapsed().as_millis() as u64).max(1));
    let mut kept = Kept::new(serving.head.key.is_some());
    let ending = match result {
        Ok(bytes) => {
            let text = String::from_utf8_lossy(&bytes);
            kept.push(&text);
            // A reader that is gone changes nothing: the call has been made.
            let _ = serving.token(&run.attempt, &text);
            Ending::Done
        }
        Err(error) => ending(&error),
    };
    Outcome {
        ending,
        cost,
        answer: kept.texts,
    }
}

/// Makes a call and waits for its end. At the deadline the caller is told that
/// the call goes on, and its end is still awaited.
fn wait(serving: &mut Serving<'_>, run: &Run) -> Result<Vec<u8>, Error> {
    let work = serving.work;
    let (head, body) = (serving.head.clone(), serving.body);
    let call = Call {
        attempt: &run.attempt,
        workspace: &head.workspace,
        request: &head.request,
        key: head.key.as_ref(),
        fence: Some(run.fence),
        body,
        limit: head.deadline + MARGIN,
    };
    let make = &|| work.targets.plain.call(run.address, &call);
    std::thread::scope(|scope| {
        let (sender, result) = bounded(1);
        let spawned = std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn_scoped(scope, move || drop(sender.send(make())));
        if let Err(error) = spawned {
            let reason = format!("cannot start a thread: {error}");
            return Err(Error::NotSent { reason });
        }
        match result.recv_timeout(serving.left().into()) {
            Ok(result) => result,
            Err(_) => {
                serving.overdue();
                let gone = |_| Error::MayHaveRun {
                    reason: "the call's thread ended without a result".to_owned(),
                };
                result.recv().map_err(gone).and_then(|result| result)
            }
        }
    })
}

fn ending(error: &Error) -> Ending {
    let reason = error.to_string();
    match error {
        Error::NotSent { .. } => Ending::NotSent(reason),
        Error::Refused { .. } | Error::Fenced { .. } => Ending::Refused(reason),
        Error::Answered { .. } => Ending::Answered(reason),
        Error::Cancelled { .. } => Ending::Cancelled,
        Error::MayHaveRun { .. }
        | Error::Crashed { .. }
        | Error::Cut { .. }
        | Error::Malformed { .. } => Ending::Lost(reason),
    }
}

/// The texts of an answer, as long as they are short enough to keep.
struct Kept {
    texts: Option<Vec<String>>,
    bytes: usize,
}

impl Kept {
    fn new(keep: bool) -> Self {
        Kept {
            texts: keep.then(Vec::new),
            bytes: 0,
        }
    }

    fn push(&mut self, text: &str) {
        self.bytes += text.len();
        if self.bytes > KEPT_BYTES {
            self.texts = None;
        }
        if let Some(texts) = &mut self.texts {
            texts.push(text.to_owned());
        }
    }
}
