//! List-and-watch client for one kind of object in the store.

use balsamchute_adapter::store::{self, Change, Kind, Object, Request};
use balsamchute_model::prelude::*;

/// Longest time that a watch request stays open.
const MAX_WATCH_TIME: Span = Span(2500);

/// Time that a watch request stays open after a failed call. The store answers it at once
/// if it answers at all.
const PROBE_TIME: Span = Span(1);

/// Time allowed for a response, in addition to the requested watch time.
const RESPONSE_TIMEOUT: Span = Span(700);

/// Time within which changes must be noticed if no other bound is set.
const DEFAULT_CHANGE_BOUND: Span = Span(2000);

/// Shortest interval between responses to watches for runners. Hundreds of runners start
/// or leave one by one, and each change would cost each watching router a call. Much
/// shorter than the time within which a change must be in force.
const RUNNER_WATCH_INTERVAL: Span = Span(200);

/// Delay after the first failed call; doubles with each further failure.
const MIN_RETRY_DELAY: Span = Span(100);

/// Upper bound of the delay between failed calls.
const MAX_RETRY_DELAY: Span = Span(800);

const STATUS_OK: u16 = 200;

/// Response of the store to a call.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// HTTP status code of the response.
    pub status: u16,
    /// Era that the store named; `None` if it named none.
    pub era: Option<u64>,
    /// Body of the response.
    pub body: &'a [u8],
}

/// Call to the store that failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// `list` or `watch`.
    pub call: &'static str,
    /// Revision that was watched, 0 for a list.
    pub revision: u64,
    /// Time since the call was made.
    pub waited: Span,
    /// Reason of the failure.
    pub reason: String,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Failure {
            call,
            revision,
            waited,
            reason,
        } = self;
        let waited_ms = waited.0;
        write!(
            f,
            "call={call} revision={revision} waited_ms={waited_ms} reason={reason:?}"
        )
    }
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The list is incomplete, or must be read again.
    Incomplete,
    /// The full list, and the revision of its first page: objects on later pages may be
    /// later, and the watch that follows repeats their changes.
    Snapshot(Vec<Object>, Revision),
    /// Changes since the previous revision, and the new revision.
    Changes(Vec<Change>, Revision),
    /// The call failed.
    Failed(Failure),
}

#[derive(Clone, Debug)]
enum State {
    Listing {
        after: Option<String>,
        // Pages read so far, and the revision of the first one.
        pages: u32,
        first_revision: u64,
    },
    Watching {
        revision: u64,
    },
}

impl State {
    /// Returns the state before the first page of a list.
    fn start() -> Self {
        State::Listing {
            after: None,
            pages: 0,
            first_revision: 0,
        }
    }
}

/// State machine that lists one kind of object and then watches it.
#[derive(Clone, Debug)]
pub struct Watcher {
    kind: Kind,
    state: State,
    watch_time: Span,
    // Whether the next full list must be as the store is now.
    needs_current: bool,
    // Latest era of the store, 0 before the first response.
    era: u64,
    objects: Vec<Object>,
    next_call_at: Time,
    // Time of the last call.
    called_at: Time,
    retry_delay: Span,
    is_calling: bool,
}

impl Watcher {
    /// Creates a watcher that begins with a full list.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        Watcher {
            kind,
            state: State::start(),
            watch_time: watch_time(DEFAULT_CHANGE_BOUND),
            needs_current: false,
            era: 0,
            objects: Vec::new(),
            next_call_at: Time(0),
            called_at: Time(0),
            retry_delay: Span(0),
            is_calling: false,
        }
    }

    /// Sets the time within which changes must be noticed, also if the store never answers
    /// the call that waits for them.
    #[must_use]
    pub fn with_change_bound(mut self, bound: Span) -> Self {
        self.watch_time = watch_time(bound);
        self
    }

    /// Requires that the first full list is as the store is now, not seconds old.
    #[must_use]
    pub fn with_current_list(mut self, needs_current: bool) -> Self {
        self.needs_current = needs_current;
        self
    }

    /// Returns the call that is due and the timeout for its response, or `None`
    /// while a call is in flight or a delay has not elapsed.
    pub fn next_call(&mut self, now: Time) -> Option<(Request, Span)> {
        if self.is_calling || now < self.next_call_at {
            return None;
        }
        self.is_calling = true;
        self.called_at = now;
        let watch_time = match self.is_failing() {
            true => PROBE_TIME,
            false => self.watch_time,
        };
        Some(match &self.state {
            State::Listing { after, .. } => {
                let list = match self.needs_current {
                    true => Request::list_current,
                    false => Request::list,
                };
                (list(self.kind, after.as_deref()), RESPONSE_TIMEOUT)
            }
            State::Watching { revision } => (
                Request::watch(self.kind, *revision, watch_time),
                watch_time + RESPONSE_TIMEOUT,
            ),
        })
    }

    /// Returns whether calls have failed since the last successful response.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.retry_delay > Span(0)
    }

    /// Processes the response to the last call, or `None` if there was no
    /// response.
    pub fn handle_response(&mut self, now: Time, response: Option<Response<'_>>) -> Update {
        self.is_calling = false;
        let Some(Response { status, era, body }) = response else {
            return self.fail(now, "no answer".to_owned());
        };
        let era = era.unwrap_or(self.era);
        if era < self.era {
            return self.fail(now, format!("answer of era {era}, known is {}", self.era));
        }
        let is_restored = std::mem::replace(&mut self.era, era) < era;
        match (&self.state, status) {
            // The revision or the pages read so far belong to the previous era.
            (State::Watching { .. } | State::Listing { after: Some(_), .. }, _) if is_restored => {
                self.restart();
                Update::Incomplete
            }
            (State::Listing { .. }, STATUS_OK) => self.apply_page(now, body),
            (State::Watching { .. }, STATUS_OK) => self.apply_changes(now, body),
            // The store does not accept a watch from this revision; with 410, it no
            // longer has the changes since then. Only a full list recovers them.
            (State::Watching { .. }, 400 | 404 | 410) => {
                self.restart();
                Update::Incomplete
            }
            _ => self.fail(now, format!("status {status}")),
        }
    }

    /// Drops the call in flight and begins a full list, because the store is in the
    /// later `era`. The caller closes the connection of the call.
    pub fn enter_era(&mut self, era: u64) {
        self.era = era;
        self.is_calling = false;
        self.next_call_at = Time(0);
        self.restart();
    }

    /// Returns the kind of object that the watcher follows.
    #[must_use]
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the latest era of the store that the watcher knows.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    fn restart(&mut self) {
        self.state = State::start();
        self.objects.clear();
    }

    /// Schedules a full list at `at` instead of a watch.
    pub fn list_again(&mut self, at: Time) {
        self.state = State::start();
        self.next_call_at = at;
    }

    fn fail(&mut self, now: Time, reason: String) -> Update {
        let doubled = Span(self.retry_delay.0 * 2);
        self.retry_delay = doubled.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        self.next_call_at = now + self.retry_delay;
        let (call, revision) = match self.state {
            State::Listing { .. } => ("list", 0),
            State::Watching { revision } => ("watch", revision),
        };
        Update::Failed(Failure {
            call,
            revision,
            waited: now.since(self.called_at),
            reason,
        })
    }

    fn apply_page(&mut self, now: Time, body: &[u8]) -> Update {
        let page = match store::decode_page(body) {
            Ok(page) => page,
            Err(error) => return self.fail(now, error.to_string()),
        };
        log_errors(self.kind, &page.errors);
        self.retry_delay = Span(0);
        let last = page.objects.last().map(|object| object.name.clone());
        self.objects.extend(page.objects);
        let (pages, first_revision) = match self.state {
            State::Listing {
                pages,
                first_revision,
                ..
            } if pages > 0 => (pages + 1, first_revision),
            _ => (1, page.revision),
        };
        if let (true, Some(last)) = (page.has_more, last) {
            self.state = State::Listing {
                after: Some(last),
                pages,
                first_revision,
            };
            return Update::Incomplete;
        }
        log::info!(
            target: "store",
            "event=list_read kind={:?} objects={} pages={pages} first_revision={first_revision} revision={}",
            self.kind,
            self.objects.len(),
            page.revision
        );
        // Objects on the first page may have changed since it was read.
        self.state = State::Watching {
            revision: first_revision,
        };
        self.needs_current = false;
        let revision = Revision::new(self.era, first_revision);
        Update::Snapshot(std::mem::take(&mut self.objects), revision)
    }

    fn apply_changes(&mut self, now: Time, body: &[u8]) -> Update {
        let changes = match store::decode_changes(body) {
            Ok(changes) => changes,
            Err(error) => return self.fail(now, error.to_string()),
        };
        log_errors(self.kind, &changes.errors);
        self.retry_delay = Span(0);
        if self.kind == Kind::Runners {
            self.next_call_at = now + RUNNER_WATCH_INTERVAL;
        }
        self.state = State::Watching {
            revision: changes.revision,
        };
        let revision = Revision::new(self.era, changes.revision);
        Update::Changes(changes.changes, revision)
    }
}

/// Returns the time that a watch may stay open. The other half of the bound is left for the
/// timeout of a response that never comes, and for the next call.
fn watch_time(bound: Span) -> Span {
    Span(bound.0 / 2).min(MAX_WATCH_TIME)
}

fn log_errors(kind: Kind, errors: &[balsamchute_adapter::Error]) {
    for error in errors {
        log::warn!(target: "store", "event=object_ignored kind={kind:?} reason={:?}", error.to_string());
    }
}
