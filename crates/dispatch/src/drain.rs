//! A planned stop: no new requests, the queue handed over, the rest finished.

use balsamchute_base::prelude::*;
use balsamchute_wire::exchange::Phase;
use balsamchute_wire::record::{Code, End, Outcome};

use crate::core::Core;
use crate::event::{Action, Ticket};
use crate::request::Stage;

/// Routers that are told of the stop at once; the others hear of it from them.
const TOLD: usize = 8;

impl Core {
    /// Begins a planned stop. From now on other routers own this one's runners
    /// and are the homes of its workspaces.
    pub(crate) fn stop(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.members.me_mut().phase = Phase::Leaving;
        self.members.beat(now);
        self.own_runners(now);
        self.watch(actions);
        let told = self.members.alive().take(TOLD);
        for inner in told.map(|member| member.inner).collect::<Vec<_>>() {
            let frame = self.frame(now);
            actions.push(Action::Exchange(inner, frame));
        }
        self.hand_over(now, actions);
        self.check_stopped(actions);
    }

    /// Passes waiting requests on to their new homes. Those with a key stay: the
    /// key is claimed by or bound to this life of this router. So do those that
    /// have begun before, of which another router would say that they did not run.
    fn hand_over(&mut self, now: Time, actions: &mut Vec<Action>) {
        let waiting: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, entry)| entry.stage == Stage::Waiting && !entry.once() && !entry.began)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in waiting {
            let head = self.requests[&ticket].head.clone();
            let Some(home) = self.home_of(&head) else {
                continue;
            };
            if home.instance == self.me().instance {
                continue;
            }
            if let Some(state) = self.services.get_mut(&head.service) {
                state.queue.remove(ticket);
            }
            self.forward(now, ticket, &home, actions);
        }
    }

    /// The grace time of a planned stop is over: what waits here is told so, and
    /// what runs is not tried again.
    pub(crate) fn end_grace(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.closing = true;
        let waiting: Vec<(Ticket, Outcome)> = self
            .requests
            .iter()
            .filter_map(|(ticket, entry)| match entry.stage {
                Stage::Waiting | Stage::Paused | Stage::Claiming => {
                    Some((*ticket, Outcome::NotRun))
                }
                Stage::Joined => Some((*ticket, Outcome::Unknown)),
                Stage::Running(_) | Stage::Forwarded => None,
            })
            .collect();
        for (ticket, outcome) in waiting {
            let end = End::new(outcome, "router has stopped; ask for another address")
                .with_code(Code::Elsewhere)
                .with_retry_after(Span(0));
            self.refuse(now, ticket, end, actions);
        }
        self.check_stopped(actions);
    }

    /// Ends the process once nothing is left to finish.
    pub(crate) fn check_stopped(&mut self, actions: &mut Vec<Action>) {
        if self.stopping && self.requests.is_empty() && self.unsent.is_empty() {
            actions.push(Action::Stopped);
        }
    }
}
