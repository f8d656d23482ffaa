//! Gossip with other routers, membership changes and undelivered messages.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_fleet::leaving;
use balsamchute_fleet::members::{self, Change};
use balsamchute_wire::exchange::{Frame, Member};
use balsamchute_wire::message::Message;

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Listed};

/// Most doubts about routers in one frame.
const MAX_FRAME_DOUBTS: usize = 8;

/// Most suspected request fingerprints in one frame.
const MAX_FRAME_SUSPECTS: usize = 16;

/// Most marks of leaving runners in one frame.
const MAX_FRAME_LEAVING: usize = 32;

impl Dispatcher {
    /// Raises the heartbeat and starts the exchanges of this interval.
    pub(crate) fn send_heartbeat(&mut self, now: Time, actions: &mut Vec<Action>) {
        let summaries = self
            .services
            .iter()
            .map(|(service, state)| state.summary(service))
            .collect();
        let local = self.members.local_mut();
        local.services = summaries;
        local.config = self.stamp.version;
        self.members.raise_heartbeat(now);
        let changes = self.members.expire(now);
        self.apply_changes(now, &changes, actions);
        for address in self
            .members
            .choose_partners(&mut self.rng, self.settings.fanout)
        {
            let frame = self.build_frame(now);
            actions.push(Action::Exchange(address, frame));
        }
    }

    pub(crate) fn build_frame(&mut self, now: Time) -> Frame {
        let entries = self.settings.entries(self.members.alive().count());
        let members = self.members.frame_entries(&mut self.rng, entries);
        Frame {
            from: self.local_member().instance.clone(),
            config: self.stamp,
            members,
            doubts: self.members.doubts_to_gossip(now, MAX_FRAME_DOUBTS),
            leaving: self.leaving_runners.marks_to_gossip(now, MAX_FRAME_LEAVING),
            suspects: self.suspects.suspects(MAX_FRAME_SUSPECTS),
        }
    }

    pub(crate) fn answer_exchange(
        &mut self,
        now: Time,
        id: u64,
        frame: Frame,
        actions: &mut Vec<Action>,
    ) {
        // Merging first lets the answer reflect this frame, in particular the
        // refutation of a doubt about this router.
        self.merge_frame(now, &frame, actions);
        let mut answer = self.build_frame(now);
        self.echo_receiver(&frame.from, &mut answer);
        actions.push(Action::AnswerExchange(id, answer));
    }

    /// Merges the frame of another router.
    pub(crate) fn merge_frame(&mut self, now: Time, frame: &Frame, actions: &mut Vec<Action>) {
        let newer_entries = self.newer_entries(frame);
        let changes = self.members.merge(now, &frame.members);
        if self.members.merge_doubts(now, &frame.doubts) {
            self.next_heartbeat = now;
        }
        self.merge_suspects(now, &frame.suspects);
        let newly_leaving = !self.leaving_runners.merge(now, &frame.leaving).is_empty();
        if newly_leaving {
            // Spread at once, because the runner may be gone within seconds.
            self.next_heartbeat = now;
            self.update_owned_runners(now);
        }
        self.apply_changes(now, &changes, actions);
        for member in newer_entries {
            let direct = member.instance == frame.from;
            for summary in &member.services {
                self.merge_summary(now, &member.instance, summary, direct);
            }
        }
        if frame.config.version > self.stamp.version
            && let Some(sender) = self.members.get(&frame.from)
        {
            actions.push(Action::FetchConfig(sender.inner));
        }
        self.grant_all_services(now, actions);
    }

    /// Adds the receiver's own entry to a frame, which shows the receiver that
    /// its frames arrive here.
    fn echo_receiver(&self, to: &Instance, frame: &mut Frame) {
        let included = frame.members.iter().any(|member| member.instance == *to);
        if let (false, Some(member)) = (included, self.members.get(to)) {
            let services = Vec::new();
            frame.members.push(Member {
                services,
                ..member.clone()
            });
        }
    }

    /// Raises a doubt about a router whose exchange failed, and counts it as dead if
    /// it refused the connection.
    pub(crate) fn doubt_router(
        &mut self,
        now: Time,
        inner: SocketAddr,
        refused: bool,
        actions: &mut Vec<Action>,
    ) {
        self.members.exchange_failed(now, inner);
        let member = self.members.alive().find(|member| member.inner == inner);
        if let (true, Some(instance)) = (refused, member.map(|member| member.instance.clone())) {
            let change = self.members.connection_refused(now, &instance);
            self.apply_changes(now, change.as_slice(), actions);
        }
    }

    /// Returns the entries of a frame that are newer than the local ones.
    fn newer_entries<'a>(&self, frame: &'a Frame) -> Vec<&'a Member> {
        let local_instance = &self.local_member().instance;
        let peer_entries = frame
            .members
            .iter()
            .filter(|entry| entry.instance != *local_instance);
        peer_entries
            .filter(|entry| match self.members.get(&entry.instance) {
                Some(current) => {
                    (current.incarnation, current.heartbeat) < (entry.incarnation, entry.heartbeat)
                }
                None => true,
            })
            .collect()
    }

    /// Applies the effects of routers that joined, left or restarted.
    fn apply_changes(&mut self, now: Time, changes: &[Change], actions: &mut Vec<Action>) {
        let mut membership_changed = false;
        for change in changes {
            match change {
                Change::Joined(_) => membership_changed = true,
                Change::Left(instance) | Change::Restarted { instance, .. } => {
                    membership_changed = true;
                    self.resend_queue.remove(instance);
                    for state in self.services.values_mut() {
                        state.forget_router(now, instance);
                    }
                }
                Change::Updated(_) | Change::Superseded(_) => {}
            }
        }
        // A router that starts to serve or to leave also moves ownership of
        // runners.
        if self.placement.update(self.members.serving()) || membership_changed {
            self.update_owned_runners(now);
            self.poll_owned_runners(actions);
        }
    }

    /// Requests a read of the platform's list if it is this router's turn.
    ///
    /// In a small fleet every router reads the list. In a larger one the
    /// routers take turns, because the list names every runner: one router
    /// reads it in each period and spreads the changes. An isolated router
    /// always reads it.
    pub(crate) fn read_list_in_turn(&mut self, now: Time, actions: &mut Vec<Action>) {
        let live_peers = self.members.alive().count();
        let period = now.0 / self.settings.list_interval.as_millis();
        let names = self
            .members
            .serving()
            .map(|member| member.instance.as_str());
        let reader = rank::highest(&format!("list/{period}"), names);
        let is_reader = reader.is_none_or(|reader| reader == self.local_member().instance.as_str());
        if live_peers <= self.settings.small_fleet_size
            || is_reader
            || self.members.is_isolated(now)
        {
            actions.push(Action::ReadList);
        }
    }

    /// Merges the platform's list of instances.
    pub(crate) fn handle_list(
        &mut self,
        now: Time,
        requested: Time,
        listed: &[Listed],
        actions: &mut Vec<Action>,
    ) {
        let mut routers = Vec::new();
        let mut runners = Vec::new();
        for entry in listed {
            match entry {
                Listed::Router {
                    instance,
                    inner,
                    leaving,
                } => {
                    routers.push(members::Listed {
                        instance: instance.clone(),
                        inner: *inner,
                        leaving: *leaving,
                    });
                }
                Listed::Runner {
                    runner,
                    address,
                    leaving,
                } => runners.push(leaving::Listed {
                    runner: runner.clone(),
                    address: *address,
                    leaving: *leaving,
                }),
            }
        }
        self.members.set_list(requested, &routers);
        let newly_leaving = !self.leaving_runners.merge_list(now, &runners).is_empty();
        if self.placement.update(self.members.serving()) || newly_leaving {
            self.next_heartbeat = now;
            self.update_owned_runners(now);
            self.poll_owned_runners(actions);
        }
        self.grant_all_services(now, actions);
    }

    /// Queues releases that were not delivered for resending, and takes back
    /// the slots of grants that were not delivered.
    pub(crate) fn handle_undelivered(
        &mut self,
        now: Time,
        to: &Instance,
        messages: Vec<Message>,
        actions: &mut Vec<Action>,
    ) {
        let mut slots_freed = false;
        for message in messages {
            match message {
                Message::Grant { loan, service, .. } => {
                    if let Some(state) = self.services.get_mut(&service) {
                        state.lender.release(now, loan, Cost(0), false);
                        // An empty backlog keeps the slot from being granted to
                        // the same router again.
                        state.lender.update_summary(now, to, 0.0, 0.0, 0);
                        slots_freed = true;
                    }
                }
                Message::Release { .. } => {
                    if self.members.get(to).is_some() {
                        self.resend_queue
                            .entry(to.clone())
                            .or_default()
                            .push(message);
                    }
                }
                Message::Need(_) => {}
            }
        }
        if slots_freed {
            self.grant_all_services(now, actions);
        }
    }

    /// Sends the messages in the resend queue again.
    pub(crate) fn resend_undelivered(&mut self, actions: &mut Vec<Action>) {
        for (to, messages) in std::mem::take(&mut self.resend_queue) {
            for message in messages {
                self.send(&to, message, actions);
            }
        }
    }
}
