//! Memory that callers make the router hold: what counts, and what gives way.

use balsamchute_model::prelude::*;
use balsamchute_schedule::memory::{Claim, Holding};
use smallvec::SmallVec;

use crate::caller::Phase;
use crate::edge::requests::no_memory;
use crate::edge::{Edge, Slot};

impl Edge {
    /// Counts what a connection of a caller or of another client occupies now.
    pub(super) fn charge(&mut self, index: usize) {
        let (charged, memory) = match self.slots.get_mut(index) {
            Some(Slot::Caller(connection)) => {
                let memory = connection.memory();
                (&mut connection.charged, memory)
            }
            Some(Slot::Server(connection)) => {
                let memory = connection.memory();
                (&mut connection.charged, memory)
            }
            _ => return,
        };
        self.account.update(*charged, memory);
        *charged = memory;
    }

    /// Returns what all callers make the router hold.
    fn holdings(&self, now: Time) -> Vec<Holding<'_>> {
        let connections = self.slots.iter().filter_map(|(index, slot)| match slot {
            Slot::Caller(connection) => Some(Holding {
                index,
                bytes: connection.charged,
                workspace: match &connection.phase {
                    Phase::Body(partial) => partial.workspace.as_ref(),
                    _ => None,
                },
                stalled: connection.stalled(now),
            }),
            Slot::Server(connection) => Some(Holding {
                index,
                bytes: connection.charged,
                workspace: None,
                stalled: connection.stalled(now),
            }),
            _ => None,
        });
        let requests = self.transactions.values().map(|transaction| Holding {
            index: transaction.caller,
            bytes: transaction.memory(),
            workspace: transaction.workspace.as_ref(),
            stalled: None,
        });
        connections.chain(requests).collect()
    }

    /// Returns the connections that give way so that a larger body may be read up to `bytes`,
    /// or `None` if it is refused.
    pub(super) fn reserve(
        &self,
        now: Time,
        index: usize,
        workspace: Option<&Workspace>,
        bytes: usize,
    ) -> Option<SmallVec<[usize; 4]>> {
        let claim = Claim {
            index,
            workspace,
            bytes,
        };
        self.account.admit(&claim, &self.holdings(now))
    }

    /// Makes room for a request that is complete and has `memory` bytes; other callers give
    /// way. Returns whether there is enough and the connection of the request is open.
    pub(super) fn make_room(&mut self, now: Time, index: usize, memory: usize) -> bool {
        // The body counts for the request now, and unread answers still for the connection.
        self.charge(index);
        self.displace_stalled(now, memory, Some(index));
        self.account.excess(memory) == 0 && self.slots.contains(index)
    }

    /// Lets callers give way if they make the router hold too much.
    pub(super) fn enforce_memory(&mut self) {
        if self.account.excess(0) > 0 {
            self.displace_stalled(self.now(), 0, None);
        }
    }

    fn displace_stalled(&mut self, now: Time, more: usize, claimant: Option<usize>) {
        if self.account.excess(more) == 0 {
            return;
        }
        let displaced = self.account.give_way(more, claimant, &self.holdings(now));
        for index in displaced {
            self.displace(index);
        }
    }

    /// Takes back the memory of a connection: a request that was not read whole is refused,
    /// and a caller that does not read its answer is disconnected. The answer to a request in
    /// progress is still sent if only input behind it is held.
    pub(super) fn displace(&mut self, index: usize) {
        let connection = match self.slots.get_mut(index) {
            Some(Slot::Caller(connection)) => connection,
            Some(Slot::Server(_)) => return self.close(index),
            _ => return,
        };
        log::info!(
            target: "caller",
            "event=displaced bytes={} held={} phase={}",
            connection.charged,
            self.account.held(),
            connection.phase.as_str()
        );
        match connection.phase {
            Phase::Head | Phase::Body(_) => self.reject_unread(index, None, &no_memory()),
            Phase::Busy(_) if connection.sent.is_none() => {
                connection.discard_input();
                self.queue(index);
                self.charge(index);
            }
            _ => self.handle_caller_disconnect(index),
        }
    }
}
