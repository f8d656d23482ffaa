//! Ends of answers that have neither a length nor chunks and end with their connection.

use std::io;

use balsamchute_model::prelude::*;
use balsamchute_schedule::action::Id;

use crate::edge::responses::Advance;
use crate::edge::{Edge, Slot};
use crate::upstream::{Connection, Phase};

/// What became of the connection that is made after an answer has ended with its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Evidence {
    /// The runner's machine accepted it.
    Accepted,
    /// It was accepted and has ended.
    Closed,
    /// It got no answer in time.
    Silent,
    /// It failed in another way than by a refusal.
    Unreachable,
    /// It was not made: the runner is no longer listed.
    Unlisted,
}

impl Evidence {
    fn as_str(self) -> &'static str {
        match self {
            Evidence::Accepted => "accepted",
            Evidence::Closed => "closed",
            Evidence::Silent => "silent",
            Evidence::Unreachable => "unreachable",
            Evidence::Unlisted => "unlisted",
        }
    }
}

impl Edge {
    /// Connects to the runner to learn whether it lives: a process that crashes closes its
    /// connections like one that has sent a whole answer without a length. The new
    /// connection takes the place of the one that has ended.
    pub(super) fn confirm_end(&mut self, now: Time, index: usize, id: Id) {
        let Some(Slot::Upstream(connection)) = self.slots.get_mut(index) else {
            return;
        };
        connection.has_ended = true;
        let runner = connection.runner.clone();
        let address = self.registry.get(&runner).map(|entry| entry.address);
        let confirmation = address
            .map(|address| self.connect(now, Phase::Confirming(id, index), &runner, address));
        match confirmation {
            Some(Ok(_)) => {}
            Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                self.fail_broken_response(index, id, false);
            }
            // Nothing speaks against the end, such as for a runner that has left.
            Some(Err(_)) => self.finish_ended_response(index, id, Evidence::Unreachable),
            None => self.finish_ended_response(index, id, Evidence::Unlisted),
        }
    }

    /// Returns the connection of a request that the runner has closed in good order, unless
    /// the request has left it meanwhile.
    pub(super) fn ended_connection(&mut self, index: usize, id: Id) -> Option<&mut Connection> {
        match self.slots.get_mut(index) {
            Some(Slot::Upstream(connection))
                if connection.has_ended && connection.request() == Some(id) =>
            {
                Some(connection)
            }
            _ => None,
        }
    }

    /// Ends the response of a connection that the runner has closed in good order.
    pub(super) fn finish_ended_response(&mut self, index: usize, id: Id, evidence: Evidence) {
        let Some(connection) = self.ended_connection(index, id) else {
            return;
        };
        let runner = connection.runner.clone();
        let is_finished = connection
            .response
            .as_mut()
            .is_some_and(|response| response.decoder.finish().is_ok());
        if let Some(transaction) = self.transactions.get(&id) {
            log::info!(
                target: "request",
                "event=end_confirmed request={} attempt={} runner={runner} evidence={}",
                transaction.request_id,
                transaction.attempts(),
                evidence.as_str()
            );
        }
        // The answer may belong to another request; none can follow.
        if !is_finished || matches!(self.advance_body(index, id), Advance::Next) {
            self.fail_broken_response(index, id, false);
        }
    }
}
