//! Requests that wait for a runner, by workspace and kind.

use std::collections::{BTreeMap, VecDeque};

use balsamchute_model::prelude::*;

use crate::action::Id;
use crate::request::Request;

/// Whose requests wait together: those of a workspace and a kind.
pub(crate) type Line = (Option<Workspace>, String);

/// Returns the line that a request waits in.
pub(crate) fn line(request: &Request) -> Line {
    (request.workspace.clone(), request.kind.clone())
}

/// The waiting requests of one line.
#[derive(Clone, Debug, Default)]
struct Waiting {
    /// Those that can be on time, in order of arrival.
    fresh: VecDeque<Id>,
    /// Those that are late already, because they were refused before.
    late: VecDeque<Id>,
}

impl Waiting {
    fn of(&mut self, is_late: bool) -> &mut VecDeque<Id> {
        if is_late {
            &mut self.late
        } else {
            &mut self.fresh
        }
    }
}

/// The first request of a line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Head<'a> {
    pub line: &'a Line,
    pub id: Id,
    /// Whether it can no longer be on time, as all others of its line.
    pub is_late: bool,
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue(BTreeMap<Line, Waiting>);

impl Queue {
    /// Adds a request behind those that arrived before.
    pub fn push_back(&mut self, request: &Request, id: Id) {
        self.ids(request).push_back(id);
    }

    /// Adds a request before those that arrived before.
    pub fn push_front(&mut self, request: &Request, id: Id) {
        self.ids(request).push_front(id);
    }

    /// Removes a request, if it waits in the line.
    pub fn remove(&mut self, line: &Line, id: Id) {
        let Some(waiting) = self.0.get_mut(line) else {
            return;
        };
        waiting.fresh.retain(|&other| other != id);
        waiting.late.retain(|&other| other != id);
        if waiting.fresh.is_empty() && waiting.late.is_empty() {
            self.0.remove(line);
        }
    }

    /// Returns the first request of each line, one that can be on time before
    /// one that cannot.
    pub fn heads(&self) -> impl Iterator<Item = Head<'_>> {
        self.0.iter().filter_map(|(line, waiting)| {
            let is_late = waiting.fresh.is_empty();
            let id = *waiting.fresh.front().or(waiting.late.front())?;
            Some(Head { line, id, is_late })
        })
    }

    fn ids(&mut self, request: &Request) -> &mut VecDeque<Id> {
        let waiting = self.0.entry(line(request)).or_default();
        waiting.of(request.is_late())
    }
}
