//! Exchanges with other routers, membership and undelivered messages.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_fleet::leaving;
use balsamchute_fleet::members::{self, Change};
use balsamchute_wire::exchange::{Frame, Member};
use balsamchute_wire::message::Message;

use crate::core::Core;
use crate::event::{Action, Listed};

/// Doubts about routers in one frame.
const DOUBTS: usize = 8;

/// Requests that crashed targets in one frame.
const SUSPECTS: usize = 16;

/// Marks of leaving runners in one frame.
const MARKS: usize = 32;

impl Core {
    /// Raises the heartbeat and starts the exchanges of this period.
    pub(crate) fn beat(&mut self, now: Time, actions: &mut Vec<Action>) {
        let summaries = self
            .services
            .iter()
            .map(|(service, state)| state.summary(service))
            .collect();
        let me = self.members.me_mut();
        me.services = summaries;
        me.config = self.stamp.version;
        self.members.beat(now);
        let changes = self.members.expire(now);
        self.changed(now, &changes, actions);
        for address in self
            .members
            .partners(&mut self.random, self.settings.fanout)
        {
            let frame = self.frame(now);
            actions.push(Action::Exchange(address, frame));
        }
    }

    pub(crate) fn frame(&mut self, now: Time) -> Frame {
        let entries = self.settings.entries(self.members.alive().count());
        let members = self.members.entries(&mut self.random, entries);
        Frame {
            from: self.me().instance.clone(),
            config: self.stamp,
            members,
            doubts: self.members.doubts(now, DOUBTS),
            leaving: self.leaving.spread(now, MARKS),
            suspects: self.suspects.suspects(SUSPECTS),
        }
    }

    pub(crate) fn exchange(
        &mut self,
        now: Time,
        number: u64,
        frame: Frame,
        actions: &mut Vec<Action>,
    ) {
        // The answer carries what this frame has brought, a refuted doubt above all.
        self.exchanged(now, &frame, actions);
        let mut answer = self.frame(now);
        self.echo(&frame.from, &mut answer);
        actions.push(Action::Answer(number, answer));
    }

    /// Takes in the frame of another router.
    pub(crate) fn exchanged(&mut self, now: Time, frame: &Frame, actions: &mut Vec<Action>) {
        let newer = self.newer(frame);
        let changes = self.members.merge(now, &frame.members);
        if self.members.merge_doubts(now, &frame.doubts) {
            self.next_beat = now;
        }
        self.merge_suspects(now, &frame.suspects);
        let left = !self.leaving.merge(now, &frame.leaving).is_empty();
        if left {
            // Passed on at once, as a target may leave within seconds.
            self.next_beat = now;
            self.own_runners(now);
        }
        self.changed(now, &changes, actions);
        for member in newer {
            let direct = member.instance == frame.from;
            for summary in &member.services {
                self.learn(now, &member.instance, summary, direct);
            }
        }
        if frame.config.version > self.stamp.version
            && let Some(sender) = self.members.get(&frame.from)
        {
            actions.push(Action::Fetch(sender.inner));
        }
        self.grant_all(now, actions);
    }

    /// Adds the receiver's own entry to a frame, from which it learns that what
    /// it sends arrives here.
    fn echo(&self, to: &Instance, frame: &mut Frame) {
        let told = frame.members.iter().any(|member| member.instance == *to);
        if let (false, Some(member)) = (told, self.members.get(to)) {
            let services = Vec::new();
            frame.members.push(Member {
                services,
                ..member.clone()
            });
        }
    }

    /// An exchange with another router failed.
    pub(crate) fn unreachable(
        &mut self,
        now: Time,
        inner: SocketAddr,
        refused: bool,
        actions: &mut Vec<Action>,
    ) {
        self.members.doubt(now, inner);
        let gone = self.members.alive().find(|member| member.inner == inner);
        if let (true, Some(instance)) = (refused, gone.map(|member| member.instance.clone())) {
            let change = self.members.fail(now, &instance);
            self.changed(now, change.as_slice(), actions);
        }
    }

    /// Returns the entries of a frame that are newer than what is known.
    fn newer<'a>(&self, frame: &'a Frame) -> Vec<&'a Member> {
        let me = &self.me().instance;
        let others = frame.members.iter().filter(|entry| entry.instance != *me);
        others
            .filter(|entry| match self.members.get(&entry.instance) {
                Some(known) => (known.incarnation, known.beat) < (entry.incarnation, entry.beat),
                None => true,
            })
            .collect()
    }

    /// Reacts to routers that came, went or restarted.
    fn changed(&mut self, now: Time, changes: &[Change], actions: &mut Vec<Action>) {
        let mut moved = false;
        for change in changes {
            match change {
                Change::Joined(_) => moved = true,
                Change::Left(instance) | Change::Restarted { instance, .. } => {
                    moved = true;
                    self.unsent.remove(instance);
                    for state in self.services.values_mut() {
                        state.forget(now, instance);
                    }
                }
                Change::Updated(_) | Change::Superseded(_) => {}
            }
        }
        // A router that begins to serve or to leave moves what it owns, too.
        if self.homes.update(self.members.serving()) || moved {
            self.own_runners(now);
            self.watch(actions);
        }
    }

    /// Has the platform's list read if it is this router's turn.
    ///
    /// In a small fleet every router reads it. In a larger one they take turns,
    /// since the list names every runner: one reads it each time and passes on
    /// what is new. A router that hears nobody reads it for itself.
    pub(crate) fn take_turn(&mut self, now: Time, actions: &mut Vec<Action>) {
        let size = self.members.alive().count();
        let turn = now.0 / self.settings.list.as_millis();
        let names = self
            .members
            .serving()
            .map(|member| member.instance.as_str());
        let reader = rank::first(&format!("list/{turn}"), names);
        let mine = reader.is_none_or(|reader| reader == self.me().instance.as_str());
        if size <= self.settings.small_fleet || mine || self.members.isolated(now) {
            actions.push(Action::ReadList);
        }
    }

    /// Takes in the platform's list.
    pub(crate) fn listed(
        &mut self,
        now: Time,
        asked: Time,
        listed: &[Listed],
        actions: &mut Vec<Action>,
    ) {
        let mut seeds = Vec::new();
        let mut runners = Vec::new();
        for entry in listed {
            match entry {
                Listed::Router {
                    instance,
                    inner,
                    leaving,
                } => {
                    seeds.push(members::Listed {
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
        self.members.seed(asked, &seeds);
        let left = !self.leaving.seed(now, &runners).is_empty();
        if self.homes.update(self.members.serving()) || left {
            self.next_beat = now;
            self.own_runners(now);
            self.watch(actions);
        }
        self.grant_all(now, actions);
    }

    /// Keeps messages that must arrive and takes back slots that did not.
    pub(crate) fn undelivered(
        &mut self,
        now: Time,
        to: &Instance,
        messages: Vec<Message>,
        actions: &mut Vec<Action>,
    ) {
        let mut freed = false;
        for message in messages {
            match message {
                Message::Grant { loan, service, .. } => {
                    if let Some(state) = self.services.get_mut(&service) {
                        state.lender.release(now, loan, Cost(0), false);
                        state.lender.summary(now, to, 0.0, 0.0, 0);
                        freed = true;
                    }
                }
                Message::Release { .. } => {
                    if self.members.get(to).is_some() {
                        self.unsent.entry(to.clone()).or_default().push(message);
                    }
                }
                Message::Need(_) => {}
            }
        }
        if freed {
            self.grant_all(now, actions);
        }
    }

    /// Sends messages again that were not delivered.
    pub(crate) fn resend(&mut self, actions: &mut Vec<Action>) {
        for (to, messages) in std::mem::take(&mut self.unsent) {
            for message in messages {
                self.send(&to, message, actions);
            }
        }
    }
}
