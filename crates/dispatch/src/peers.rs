//! Exchanges with other routers, membership and undelivered messages.

use balsamchute_base::prelude::*;
use balsamchute_fleet::leaving;
use balsamchute_fleet::members::{self, Change};
use balsamchute_wire::exchange::{Frame, Member};
use balsamchute_wire::message::Message;

use crate::core::Core;
use crate::event::{Action, Listed};

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
            actions.push(Action::Exchange(address, self.frame(now)));
        }
    }

    pub(crate) fn frame(&self, now: Time) -> Frame {
        Frame {
            from: self.me().instance.clone(),
            config: self.stamp,
            members: self.members.entries(self.settings.entries),
            leaving: self.leaving.spread(now, self.settings.entries),
            suspects: self.suspects.clone(),
        }
    }

    pub(crate) fn exchange(
        &mut self,
        now: Time,
        number: u64,
        frame: Frame,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Answer(number, self.frame(now)));
        self.exchanged(now, &frame, actions);
    }

    /// Takes in the frame of another router.
    pub(crate) fn exchanged(&mut self, now: Time, frame: &Frame, actions: &mut Vec<Action>) {
        let newer = self.newer(frame);
        let changes = self.members.merge(now, &frame.members);
        let left = !self.leaving.merge(now, &frame.leaving).is_empty();
        if left {
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
        self.leaving.seed(now, &runners);
        self.own_runners(now);
        self.watch(actions);
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
