//! Planned stop of a router: refuses new requests, forwards those that wait and
//! finishes those that run.

use balsamchute_base::prelude::*;
use balsamchute_wire::exchange::Phase;
use balsamchute_wire::record::{Code, End, Outcome};

use crate::dispatcher::Dispatcher;
use crate::event::{Action, RequestNumber};
use crate::request::Stage;

/// Peers that receive an exchange as soon as the drain begins. The others learn
/// of it by gossip.
const DRAIN_EXCHANGES: usize = 8;

impl Dispatcher {
    /// Begins a planned stop. From then on other routers own the runners of this
    /// one and are the homes of its workspaces.
    pub(crate) fn begin_drain(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.members.local_mut().phase = Phase::Leaving;
        self.members.raise_heartbeat(now);
        self.update_owned_runners(now);
        self.poll_owned_runners(actions);
        let recipients = self.members.alive().take(DRAIN_EXCHANGES);
        for inner in recipients.map(|member| member.inner).collect::<Vec<_>>() {
            let frame = self.build_frame(now);
            actions.push(Action::Exchange(inner, frame));
        }
        self.forward_waiting(now, actions);
        self.stop_if_drained(actions);
    }

    /// Forwards waiting requests to their new homes. A request with a key
    /// stays, because the key is claimed by or bound to this incarnation. So
    /// does a request with an attempt that may have run, because another router
    /// would report it as not run.
    fn forward_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        let waiting: Vec<RequestNumber> = self
            .requests
            .iter()
            .filter(|(_, entry)| {
                entry.stage == Stage::Waiting && !entry.is_non_idempotent() && !entry.may_have_run
            })
            .map(|(request_number, _)| *request_number)
            .collect();
        for request_number in waiting {
            let head = self.requests[&request_number].head.clone();
            let Some(home) = self.home_router(&head) else {
                continue;
            };
            if home.instance == self.local_member().instance {
                continue;
            }
            if let Some(state) = self.services.get_mut(&head.service) {
                state.queue.remove(request_number);
            }
            self.forward(now, request_number, &home, actions);
        }
    }

    /// Ends the grace period of a planned stop: waiting requests are ended, and
    /// failed attempts are not retried.
    pub(crate) fn end_grace(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.grace_expired = true;
        let waiting: Vec<(RequestNumber, Outcome)> = self
            .requests
            .iter()
            .filter_map(|(request_number, entry)| match entry.stage {
                Stage::Waiting | Stage::Paused | Stage::Claiming => {
                    Some((*request_number, Outcome::NotRun))
                }
                Stage::Joined => Some((*request_number, Outcome::Unknown)),
                Stage::Running(_) | Stage::Forwarded => None,
            })
            .collect();
        for (request_number, outcome) in waiting {
            let end = End::new(outcome, "router has stopped; ask for another address")
                .with_code(Code::Elsewhere)
                .with_retry_after(Span(0));
            self.end_request(now, request_number, end, actions);
        }
        self.stop_if_drained(actions);
    }

    /// Requests the exit of the process once a drain has no request and no
    /// message to resend left.
    pub(crate) fn stop_if_drained(&mut self, actions: &mut Vec<Action>) {
        if self.draining && self.requests.is_empty() && self.resend_queue.is_empty() {
            actions.push(Action::Exit);
        }
    }
}
