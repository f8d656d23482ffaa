//! Attempts to run requests at targets.

use std::time::Instant;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Ending, Event, MAX_START_DELAY, Run};
use balsamchute_inventory::config::Kind;
use balsamchute_target::engine::Generation;
use balsamchute_target::plain::Call;
use balsamchute_target::stream::{Event as StreamEvent, Stream};
use balsamchute_target::{Error, engine, plain};

use crossbeam_channel::bounded;

use crate::context::STACK_BYTES;
use crate::request::Handler;

/// Tokens between two reports of the cost of a running attempt.
const PROGRESS_TOKENS: u64 = 16;

/// Maximum length of an answer to a non-idempotent request that is recorded, in
/// bytes. The ledger and the claim log keep only answers up to this length.
const MAX_RECORDED_BYTES: usize = 2048;

/// Time by which the timeout of a call exceeds the deadline of its request. The
/// timeout counts from the start of the call. The call may thus continue for at least
/// this long after the deadline, because its actual end is more useful than an
/// unknown outcome.
const CALL_DEADLINE_MARGIN: Span = Span::from_secs(10);

/// Clients of targets, used by all threads of the process.
#[derive(Clone, Debug)]
pub(crate) struct Targets {
    engines: engine::Client,
    plain: plain::Client,
}

impl Targets {
    /// Creates the clients with default settings.
    pub fn new() -> Self {
        let settings = balsamchute_target::Settings::default();
        Targets {
            engines: engine::Client::new(settings.clone()),
            plain: plain::Client::new(settings),
        }
    }

    /// Returns the client for engines, which also reads the load reports of all
    /// runners.
    pub fn engines(&self) -> &engine::Client {
        &self.engines
    }
}

/// Result of an attempt.
pub(crate) struct Report {
    /// End of the attempt, which decides whether the request may be retried.
    pub ending: Ending,
    /// Cost of the attempt: tokens of an engine, or milliseconds of a call.
    pub cost: Cost,
    /// Recorded answer, `None` if the request is idempotent, the answer is too
    /// long to record or there is none.
    pub answer: Option<Vec<String>>,
}

/// Makes an attempt and relays its answer to the client.
pub(crate) fn execute(handler: &mut Handler<'_>, run: &Run) -> Report {
    let context = handler.context;
    if !context.may_connect(run.address) {
        return not_sent("target cannot be reached");
    }
    if context.now().since(run.decided_at) > MAX_START_DELAY {
        return not_sent("the process was paused before the attempt began");
    }
    match run.kind {
        Kind::Engine => generate(handler, run),
        Kind::Plain => call_plain(handler, run),
    }
}

fn not_sent(reason: &str) -> Report {
    Report {
        ending: Ending::NotSent(reason.to_owned()),
        cost: Cost(0),
        answer: None,
    }
}

fn generate(handler: &mut Handler<'_>, run: &Run) -> Report {
    let Ok(prompt) = std::str::from_utf8(handler.body) else {
        let ending = Ending::Answered("body is no UTF-8 text".to_owned());
        return Report {
            ending,
            cost: Cost(0),
            answer: None,
        };
    };
    let head = handler.head.clone();
    let generation = Generation {
        attempt: &run.attempt,
        workspace: &head.workspace,
        request: &head.request,
        key: head.key.as_ref(),
        prefix: head.prefix.as_deref(),
        fence: Some(run.fence),
        prompt,
    };
    match handler
        .context
        .targets
        .engines
        .generate(run.address, &generation)
    {
        Ok(stream) => relay_stream(handler, run, stream),
        Err(error) => Report {
            ending: classify_error(&error),
            cost: Cost(0),
            answer: None,
        },
    }
}

/// Relays the tokens of a stream and counts them.
fn relay_stream(handler: &mut Handler<'_>, run: &Run, mut stream: Stream) -> Report {
    let canceller = stream.canceller();
    handler
        .context
        .cancellations
        .register(handler.request_number, canceller.clone());
    let has_key = handler.head.key.is_some();
    let mut recording = Recording::new(has_key);
    let mut cost = Cost(0);
    let ending = loop {
        if handler.context.is_end_forced() {
            break Ending::Lost("router has stopped".to_owned());
        }
        match stream.next() {
            Some(Ok(StreamEvent::Token { text, .. })) => {
                cost += Cost(1);
                recording.push(&text);
                if handler.write_token(&run.attempt, &text).is_err() && !has_key {
                    // The client disconnected. A non-idempotent request
                    // continues without it.
                    let _ = canceller.cancel();
                    break Ending::Cancelled;
                }
                if cost.0.is_multiple_of(PROGRESS_TOKENS) {
                    handler
                        .context
                        .send_event(Event::Progress(handler.request_number, cost));
                }
            }
            Some(Ok(StreamEvent::Done { .. })) => break Ending::Done,
            Some(Err(error)) => break classify_error(&error),
            None => break Ending::Lost("stream ended without its end".to_owned()),
        }
    };
    handler.context.cancellations.remove(handler.request_number);
    Report {
        ending,
        cost,
        answer: recording.texts,
    }
}

fn call_plain(handler: &mut Handler<'_>, run: &Run) -> Report {
    let started = Instant::now();
    let result = call_until_end(handler, run);
    let cost = Cost((started.elapsed().as_millis() as u64).max(1));
    let mut recording = Recording::new(handler.head.key.is_some());
    let ending = match result {
        Ok(bytes) => {
            let text = String::from_utf8_lossy(&bytes);
            recording.push(&text);
            // The call has been made, whether or not the client still reads.
            let _ = handler.write_token(&run.attempt, &text);
            Ending::Done
        }
        Err(error) => classify_error(&error),
    };
    Report {
        ending,
        cost,
        answer: recording.texts,
    }
}

/// Makes a call and waits for it to end. At the deadline the caller gets an end
/// record, and the wait for the call continues.
fn call_until_end(handler: &mut Handler<'_>, run: &Run) -> Result<Vec<u8>, Error> {
    let context = handler.context;
    let (head, body) = (handler.head.clone(), handler.body);
    let call = Call {
        attempt: &run.attempt,
        workspace: &head.workspace,
        request: &head.request,
        key: head.key.as_ref(),
        fence: Some(run.fence),
        body,
        timeout: head.deadline + CALL_DEADLINE_MARGIN,
    };
    let make_call = &|| context.targets.plain.call(run.address, &call);
    std::thread::scope(|scope| {
        let (sender, receiver) = bounded(1);
        let spawned = std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn_scoped(scope, move || drop(sender.send(make_call())));
        if let Err(error) = spawned {
            let reason = format!("cannot start a thread: {error}");
            return Err(Error::NotSent { reason });
        }
        match receiver.recv_timeout(handler.remaining_time().into()) {
            Ok(result) => result,
            Err(_) => {
                handler.end_overdue();
                let no_result = |_| Error::MayHaveRun {
                    reason: "the call's thread ended without a result".to_owned(),
                };
                receiver.recv().map_err(no_result).and_then(|result| result)
            }
        }
    })
}

fn classify_error(error: &Error) -> Ending {
    let reason = error.to_string();
    match error {
        Error::NotSent { .. } => Ending::NotSent(reason),
        Error::Refused { .. } | Error::Fenced { .. } => Ending::Refused(reason),
        Error::ErrorResponse { .. } => Ending::Answered(reason),
        Error::Cancelled { .. } => Ending::Cancelled,
        Error::MayHaveRun { .. }
        | Error::Crashed { .. }
        | Error::Interrupted { .. }
        | Error::Malformed { .. } => Ending::Lost(reason),
    }
}

/// Recorded texts of an answer to a non-idempotent request.
struct Recording {
    /// Texts so far, `None` if the request is idempotent or the texts are longer
    /// than [`MAX_RECORDED_BYTES`].
    texts: Option<Vec<String>>,
    /// Length of the whole answer so far.
    bytes: usize,
}

impl Recording {
    fn new(has_key: bool) -> Self {
        Recording {
            texts: has_key.then(Vec::new),
            bytes: 0,
        }
    }

    fn push(&mut self, text: &str) {
        self.bytes += text.len();
        if self.bytes > MAX_RECORDED_BYTES {
            self.texts = None;
        }
        if let Some(texts) = &mut self.texts {
            texts.push(text.to_owned());
        }
    }
}
