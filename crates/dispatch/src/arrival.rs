//! Where a request goes when it comes in.

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_claim::bound::{self, Binding};
use balsamchute_wire::exchange::{Member, Phase};
use balsamchute_wire::forward::{Head, MAX_HOPS};
use balsamchute_wire::record::{Code, End, Outcome};

use crate::core::Core;
use crate::deadline::answer_by;
use crate::event::{Action, Arrival, Command, Ticket};
use crate::limits::Count;
use crate::request::{Entry, Stage};
use crate::suspects::fingerprint;

/// When a caller that was refused for lack of room may come back.
const BUSY_RETRY: Span = Span::from_secs(1);

/// Addresses of other routers in the refusal of one that leaves.
const ADDRESSES: usize = 2;

/// Where a request is to be queued.
enum Place {
    /// On this router.
    Here,
    /// On another router.
    There(Member),
    /// Nowhere.
    Nowhere(End),
}

impl Core {
    pub(crate) fn arrive(&mut self, now: Time, arrival: Arrival, actions: &mut Vec<Action>) {
        let ticket = arrival.ticket;
        let entry = Entry {
            fingerprint: fingerprint(&arrival.head.workspace, arrival.digest),
            began: false,
            avoid: None,
            digest: arrival.digest,
            deadline: now + answer_by(arrival.head.deadline),
            stage: Stage::Claiming,
            count: Count::None,
            attempts: 0,
            attempt: None,
            nonce: 0,
            leads: false,
            late: false,
            claimed: false,
            gone: false,
            head: arrival.head,
        };
        self.deadlines.insert((entry.deadline, ticket));
        self.requests.insert(ticket, entry);
        self.route(now, ticket, actions);
    }

    fn route(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let head = self.requests[&ticket].head.clone();
        if !self.knows_key(&head)
            && let Some(end) = self.refusal(&head)
        {
            return self.refuse(now, ticket, end, actions);
        }
        match self.place(&head) {
            Place::Here => self.admit(now, ticket, actions),
            Place::There(member) => self.forward(now, ticket, &member, actions),
            Place::Nowhere(end) => self.refuse(now, ticket, end, actions),
        }
    }

    /// Returns why the request cannot be taken at all.
    fn refusal(&self, head: &Head) -> Option<End> {
        let missing =
            |text: String| Some(End::new(Outcome::NotRun, &text).with_code(Code::NotFound));
        match self.me().phase {
            Phase::Starting => {
                return Some(
                    End::new(Outcome::NotRun, "router is starting")
                        .with_code(Code::Elsewhere)
                        .with_retry_after(BUSY_RETRY),
                );
            }
            Phase::Leaving => {
                let end = End::new(Outcome::NotRun, &self.elsewhere());
                return Some(end.with_code(Code::Elsewhere).with_retry_after(Span(0)));
            }
            Phase::Serving => {}
        }
        if !self.config.workspaces.contains_key(&head.workspace) {
            return missing(format!("workspace \"{}\" does not exist", head.workspace));
        }
        if !self.config.services.contains_key(&head.service) {
            return missing(format!("service \"{}\" does not exist", head.service));
        }
        None
    }

    /// Tells the callers of a router that leaves where to go.
    fn elsewhere(&self) -> String {
        let others: Vec<String> = self
            .members
            .serving()
            .take(ADDRESSES)
            .map(|member| member.callers.to_string())
            .collect();
        match others.is_empty() {
            true => "router is leaving; ask for another address".to_owned(),
            false => format!("router is leaving; ask {}", others.join(" or ")),
        }
    }

    /// Decides which router queues the request.
    fn place(&mut self, head: &Head) -> Place {
        if let Some(key) = &head.key {
            match bound::binding(key) {
                Binding::Durable => {}
                Binding::Malformed => {
                    let text = format!("key \"{key}\" begins with \"m.\" but is no bound key");
                    return Place::Nowhere(End::new(Outcome::NotRun, &text));
                }
                Binding::Bound {
                    instance,
                    incarnation,
                    ..
                } => return self.place_bound(&instance, incarnation),
            }
        }
        if head.hops >= MAX_HOPS || self.knows_key(head) {
            return Place::Here;
        }
        match self.home_of(head) {
            Some(home) if home.instance != self.me().instance => Place::There(home),
            _ => Place::Here,
        }
    }

    /// A bound key runs at one incarnation or nowhere.
    fn place_bound(&self, instance: &Instance, incarnation: Incarnation) -> Place {
        let me = self.me();
        if *instance == me.instance && incarnation == me.incarnation {
            return Place::Here;
        }
        match self.members.get(instance) {
            Some(member) if member.incarnation == incarnation => Place::There(member.clone()),
            _ => {
                let text =
                    format!("key is bound to router \"{instance}\", which cannot be reached");
                Place::Nowhere(End::new(Outcome::Unknown, &text))
            }
        }
    }

    /// Returns the home of the request's workspace, spread by key or request.
    pub(crate) fn home_of(&mut self, head: &Head) -> Option<Member> {
        let count = self
            .config
            .workspaces
            .get(&head.workspace)
            .map_or(1, |share| share.homes);
        let spread = head.key.as_ref().map_or(head.request.as_str(), Key::as_str);
        let homes = self.homes.homes(&head.workspace, count);
        let home = rank::first(spread, homes.iter())?;
        self.members.get(home).cloned()
    }

    pub(crate) fn forward(
        &mut self,
        now: Time,
        ticket: Ticket,
        member: &Member,
        actions: &mut Vec<Action>,
    ) {
        self.note(
            now,
            ticket,
            &format!("passed on to router \"{}\"", member.instance),
        );
        let entry = &mut self.requests[&ticket];
        entry.stage = Stage::Forwarded;
        let mut head = entry.head.clone();
        head.hops += 1;
        head.deadline = entry.deadline.since(now);
        self.recount(ticket, Count::None);
        let command = Command::Forward {
            to: member.instance.clone(),
            address: member.inner,
            head,
        };
        actions.push(Action::Tell(ticket, command));
    }

    /// The home was lost with the request. It is queued here, but nobody may say
    /// any more that it did not run.
    pub(crate) fn forward_lost(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        if let Some(entry) = self.requests.get_mut(&ticket) {
            entry.began = true;
        }
        self.forward_failed(now, ticket, actions);
    }

    /// The home cannot be reached, and it has not seen the request.
    pub(crate) fn forward_failed(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(&ticket) else {
            return;
        };
        let bound = entry
            .head
            .key
            .as_ref()
            .is_some_and(|key| bound::binding(key) != Binding::Durable);
        if bound {
            let end = End::new(
                Outcome::Unknown,
                "the router that the key is bound to cannot be reached",
            );
            return self.refuse(now, ticket, end, actions);
        }
        if entry.once() && entry.head.hops >= MAX_HOPS {
            let end = End::new(
                Outcome::Unknown,
                "the router that claimed the key cannot be reached",
            );
            return self.refuse(now, ticket, end.with_retry_after(BUSY_RETRY), actions);
        }
        self.note(now, ticket, "home cannot be reached; queued here");
        self.admit(now, ticket, actions);
    }

    /// Queues the request here, after its claim if it needs one.
    pub(crate) fn admit(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        if !self.knows_key(&self.requests[&ticket].head)
            && let Some(end) = self.full(now, ticket)
        {
            return self.refuse(now, ticket, end, actions);
        }
        if self.requests[&ticket].once() {
            self.claim(now, ticket, actions);
        } else {
            self.enqueue(now, ticket, actions);
        }
    }

    /// Returns the refusal of a request that may not run or has no room.
    fn full(&mut self, now: Time, ticket: Ticket) -> Option<End> {
        if let Some(end) = self.quarantined(now, self.requests[&ticket].fingerprint) {
            return Some(end);
        }
        if self.requests.len() > self.settings.queue {
            let end = End::new(Outcome::NotRun, "queue of this router is full");
            return Some(end.with_code(Code::Limit).with_retry_after(BUSY_RETRY));
        }
        self.limit(now, ticket)
    }

    /// Puts the request into its queue.
    pub(crate) fn enqueue(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let entry = &mut self.requests[&ticket];
        entry.stage = Stage::Waiting;
        let head = entry.head.clone();
        self.recount(ticket, Count::Waiting);
        let Some(state) = self.services.get_mut(&head.service) else {
            let text = format!("service \"{}\" does not exist", head.service);
            return self.refuse(now, ticket, End::new(Outcome::NotRun, &text), actions);
        };
        state.queue.push(&head.workspace, ticket, head.hint);
        self.note(now, ticket, "queued");
        self.grant(now, &head.service, actions);
        self.tell_need(now, &head.service, actions);
    }

    /// The caller of a waiting request went away.
    pub(crate) fn gone(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(&ticket) else {
            return;
        };
        match entry.stage {
            // The claim may still be granted; its verdict settles the key.
            Stage::Claiming => entry.gone = true,
            Stage::Waiting | Stage::Joined | Stage::Paused => {
                let end = End::new(Outcome::NotRun, "the caller went away");
                self.refuse(now, ticket, end, actions);
            }
            Stage::Running(_) | Stage::Forwarded => {}
        }
    }
}
