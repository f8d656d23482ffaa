//! Keeping up with one kind of object in the store: list, then watch.

use balsamchute_adapter::store::{self, Call, Change, Kind, Object};
use balsamchute_model::prelude::*;

/// Longest wait of a watch. It bounds how long a connection that went silent
/// stays unnoticed, within the time that the operator gives a change.
const WATCH_WAIT: Span = Span(2500);

/// Time that an answer may take beyond the wait asked for.
const ANSWER_TIME: Span = Span(700);

/// Pause after a failed call; it doubles with each further one.
const FIRST_PAUSE: Span = Span(100);

/// Longest pause between failed calls.
const LONGEST_PAUSE: Span = Span(800);

const STATUS_OK: u16 = 200;

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// Nothing to take in yet.
    Nothing,
    /// The whole list, as of a revision.
    All(Vec<Object>, u64),
    /// Changes up to a revision.
    Changes(Vec<Change>, u64),
    /// The call failed.
    Failed(String),
}

#[derive(Clone, Debug)]
enum State {
    Listing { after: Option<String> },
    Watching { revision: u64 },
}

/// Follows one kind of object.
#[derive(Clone, Debug)]
pub struct Sync {
    kind: Kind,
    state: State,
    listed: Vec<Object>,
    next: Time,
    pause: Span,
    calling: bool,
}

impl Sync {
    /// Creates a follower that has read nothing.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        Sync {
            kind,
            state: State::Listing { after: None },
            listed: Vec::new(),
            next: Time(0),
            pause: Span(0),
            calling: false,
        }
    }

    /// Returns the call to make now, if any, with the longest time for its
    /// answer.
    pub fn call(&mut self, now: Time) -> Option<(Call, Span)> {
        if self.calling || now < self.next {
            return None;
        }
        self.calling = true;
        Some(match &self.state {
            State::Listing { after } => (Call::list(self.kind, after.as_deref()), ANSWER_TIME),
            State::Watching { revision } => (
                Call::watch(self.kind, *revision, WATCH_WAIT),
                WATCH_WAIT + ANSWER_TIME,
            ),
        })
    }

    /// Returns whether the calls failed since the last answer.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.pause > Span(0)
    }

    /// Takes in the answer to the last call, `None` if there was none.
    pub fn answer(&mut self, now: Time, answer: Option<(u16, &[u8])>) -> News {
        self.calling = false;
        let (status, body) = match answer {
            Some(answer) => answer,
            None => return self.failed(now, "no answer".to_owned()),
        };
        match (&self.state, status) {
            (State::Listing { .. }, STATUS_OK) => self.listed(now, body),
            (State::Watching { .. }, STATUS_OK) => self.changed(now, body),
            (State::Watching { .. }, 400 | 404 | 410) => {
                self.state = State::Listing { after: None };
                self.listed.clear();
                News::Nothing
            }
            _ => self.failed(now, format!("status {status}")),
        }
    }

    /// Lists again at `at` instead of watching.
    pub fn list_again(&mut self, at: Time) {
        self.state = State::Listing { after: None };
        self.next = at;
    }

    fn failed(&mut self, now: Time, reason: String) -> News {
        let doubled = Span(self.pause.0 * 2);
        self.pause = doubled.clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.next = now + self.pause;
        News::Failed(reason)
    }

    fn listed(&mut self, now: Time, body: &[u8]) -> News {
        let page = match store::page(body) {
            Ok(page) => page,
            Err(error) => return self.failed(now, error.to_string()),
        };
        report(self.kind, &page.faults);
        self.pause = Span(0);
        let last = page.objects.last().map(|object| object.name.clone());
        self.listed.extend(page.objects);
        if let (true, Some(last)) = (page.has_more, last) {
            self.state = State::Listing { after: Some(last) };
            return News::Nothing;
        }
        self.state = State::Watching {
            revision: page.revision,
        };
        News::All(std::mem::take(&mut self.listed), page.revision)
    }

    fn changed(&mut self, now: Time, body: &[u8]) -> News {
        let changes = match store::changes(body) {
            Ok(changes) => changes,
            Err(error) => return self.failed(now, error.to_string()),
        };
        report(self.kind, &changes.faults);
        self.pause = Span(0);
        self.state = State::Watching {
            revision: changes.revision,
        };
        News::Changes(changes.changes, changes.revision)
    }
}

fn report(kind: Kind, faults: &[balsamchute_adapter::Error]) {
    for fault in faults {
        log::warn!(target: "store", "event=object_ignored kind={kind:?} reason={:?}", fault.to_string());
    }
}
