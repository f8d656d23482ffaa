//! Notices that runners give in their answers: that they leave, and how long they want
//! no requests from this router.
//!
//! A notice holds for one process of a runner: a restart, which changes the start
//! time of the entry, ends it. Notices are kept apart from the list of runners, which
//! may lose and regain an entry while the runner lives on.

use balsamchute_model::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Upper bound of the runners with a notice; the oldest ones are dropped.
const MAX_NOTICES: usize = 512;

/// Process of a runner that said that it leaves.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Leaving {
    /// Id of the runner that leaves.
    pub runner: Runner,
    /// Start time of the process, as in [`Entry::started_at`].
    pub started_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct Notice {
    started_at: u64,
    is_leaving: bool,
    paused_until: Time,
}

/// Notices by runner, in the order in which the runners first gave one.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    by_runner: IndexMap<Runner, Notice>,
}

impl Notices {
    /// Creates an empty set of notices.
    #[must_use]
    pub fn new() -> Self {
        Notices::default()
    }

    /// Records that a process of a runner leaves. Returns whether that was not known.
    pub fn record_leaving(&mut self, runner: &Runner, started_at: u64) -> bool {
        self.update(runner, started_at, |notice| {
            !std::mem::replace(&mut notice.is_leaving, true)
        })
    }

    /// Records that a process of a runner wants no request until `until`. Of several
    /// such times, the latest one holds.
    pub fn record_pause(&mut self, runner: &Runner, started_at: u64, until: Time) {
        self.update(runner, started_at, |notice| {
            notice.paused_until = notice.paused_until.max(until);
        });
    }

    /// Returns whether the listed process of a runner said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, entry: &Entry) -> bool {
        self.get(entry).is_some_and(|notice| notice.is_leaving)
    }

    /// Returns the time until which the listed process of a runner wants no request,
    /// or `None` if it accepts them at `now`.
    #[must_use]
    pub fn paused_until(&self, now: Time, entry: &Entry) -> Option<Time> {
        let until = self.get(entry)?.paused_until;
        (until > now).then_some(until)
    }

    /// Returns the processes that leave, at most `limit` of them, the latest first.
    pub fn leaving(&self, limit: usize) -> impl Iterator<Item = Leaving> {
        let leaving = self.by_runner.iter().rev();
        let leaving = leaving.filter(|(_, notice)| notice.is_leaving);
        leaving.take(limit).map(|(runner, notice)| Leaving {
            runner: runner.clone(),
            started_at: notice.started_at,
        })
    }

    fn get(&self, entry: &Entry) -> Option<&Notice> {
        let notice = self.by_runner.get(&entry.runner)?;
        (notice.started_at == entry.started_at).then_some(notice)
    }

    /// Changes the notice of a process. One of an earlier process of the runner is
    /// replaced, and an earlier process does not replace a later one.
    fn update<T: Default>(
        &mut self,
        runner: &Runner,
        started_at: u64,
        change: impl FnOnce(&mut Notice) -> T,
    ) -> T {
        let unset = Notice {
            started_at,
            is_leaving: false,
            paused_until: Time(0),
        };
        let notice = self.by_runner.entry(runner.clone()).or_insert(unset);
        if notice.started_at > started_at {
            return T::default();
        }
        if notice.started_at < started_at {
            *notice = unset;
        }
        let result = change(notice);
        if self.by_runner.len() > MAX_NOTICES {
            self.by_runner.shift_remove_index(0);
        }
        result
    }
}
