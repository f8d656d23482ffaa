//! The state machine of one router.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_claim::ledger::{self, Ledger};
use balsamchute_claim::{retry, suspect};
use balsamchute_fleet::members::{self, Table};
use balsamchute_fleet::{home, leaving};
use balsamchute_inventory::config::Config;
use balsamchute_wire::config::Stamp;
use balsamchute_wire::exchange::{Member, Phase};
use balsamchute_wire::message::Message;
use balsamchute_wire::record::{Code, End, Outcome};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::event::{Action, Command, Event, Ticket};
use crate::limits;
use crate::request::Entry;
use crate::service::State;
use crate::settings::Settings;
use crate::trail::{self, Trail};

/// Time after which a running request is looked at again past its deadline.
const RECHECK: Span = Span::from_secs(1);

/// The whole state of a router.
///
/// Invariants:
/// - every request in `requests` is in at most one queue, and in one exactly
///   while its stage is `Waiting`;
/// - a non-idempotent request becomes `Waiting` only after its claim was
///   granted to this incarnation, or if its key is bound to this incarnation;
/// - a slot of another owner is used for one request and then released.
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) config: Arc<Config>,
    pub(crate) stamp: Stamp,
    pub(crate) members: Table,
    pub(crate) homes: home::Cache,
    pub(crate) leaving: leaving::Marks,
    pub(crate) services: BTreeMap<Service, State>,
    pub(crate) limits: limits::Table,
    pub(crate) requests: IndexMap<Ticket, Entry>,
    pub(crate) ledger: Ledger,
    pub(crate) suspects: suspect::Book,
    pub(crate) retries: retry::Budget,
    /// Requests that are kept out of their queues until a time.
    pub(crate) paused: BTreeSet<(Time, Ticket)>,
    pub(crate) unsent: BTreeMap<Instance, Vec<Message>>,
    /// Routers that own runners of a service, by rendezvous.
    pub(crate) owners: BTreeMap<Service, BTreeSet<Instance>>,
    pub(crate) slots: BTreeMap<Runner, u32>,
    pub(crate) deadlines: BTreeSet<(Time, Ticket)>,
    pub(crate) addresses: BTreeMap<Runner, SocketAddr>,
    pub(crate) silent: BTreeMap<Runner, Time>,
    pub(crate) trail: Trail,
    pub(crate) random: ChaCha8Rng,
    pub(crate) next_attempt: u64,
    pub(crate) next_key: u64,
    pub(crate) next_beat: Time,
    pub(crate) next_list: Time,
    pub(crate) next_refresh: Time,
    pub(crate) durable: bool,
    pub(crate) stopping: bool,
    pub(crate) closing: bool,
}

impl Core {
    /// Creates the state of a router that knows nothing but itself.
    #[must_use]
    pub fn new(me: Member, settings: Settings, seed: u64) -> Self {
        let members = members::Settings {
            timeout: settings.timeout,
            ..members::Settings::default()
        };
        Core {
            config: Arc::default(),
            stamp: Stamp::default(),
            members: Table::new(me, members),
            homes: home::Cache::new(),
            leaving: leaving::Marks::new(),
            services: BTreeMap::new(),
            limits: limits::Table::default(),
            requests: IndexMap::new(),
            ledger: Ledger::new(ledger::Settings::default()),
            suspects: suspect::Book::new(suspect::Settings::default()),
            retries: retry::Budget::new(retry::Settings {
                attempts: settings.attempts,
                ..retry::Settings::default()
            }),
            paused: BTreeSet::new(),
            unsent: BTreeMap::new(),
            owners: BTreeMap::new(),
            slots: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            addresses: BTreeMap::new(),
            silent: BTreeMap::new(),
            trail: Trail::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            next_attempt: 0,
            next_key: 0,
            next_beat: Time::default(),
            next_list: Time::default(),
            next_refresh: Time::default(),
            durable: true,
            stopping: false,
            closing: false,
            settings,
        }
    }

    /// Takes in an event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, actions),
            Event::Gone(ticket) => self.gone(now, ticket, actions),
            Event::ForwardFailed(ticket) => self.forward_failed(now, ticket, actions),
            Event::ForwardLost(ticket) => self.forward_lost(now, ticket, actions),
            Event::Forwarded(ticket) => self.drop_request(ticket),
            Event::Progress(ticket, cost) => self.progress(ticket, cost),
            Event::Finish(finish) => self.finish(now, finish, actions),
            Event::Verdict(ticket, verdict) => self.verdict(now, ticket, verdict, actions),
            Event::Durable(durable) => self.durable = durable,
            Event::Config(stamp, config) => self.configure(now, stamp, config, actions),
            Event::Listed(asked, listed) => self.listed(now, asked, &listed, actions),
            Event::Exchange(number, frame) => self.exchange(now, number, frame, actions),
            Event::Unreachable(inner, refused) => self.unreachable(now, inner, refused, actions),
            Event::Exchanged(frame) => self.exchanged(now, &frame, actions),
            Event::Messages(batch) => self.messages(now, batch, actions),
            Event::Undelivered(to, messages) => self.undelivered(now, &to, messages, actions),
            Event::Load(runner, load) => self.load(now, &runner, load, actions),
            Event::Silent(runner) => self.silent(now, &runner, actions),
            Event::Tick => self.tick(now, actions),
            Event::Stop => self.stop(now, actions),
            Event::Close => self.end_grace(now, actions),
        }
    }

    /// Returns this router's own entry in the membership.
    #[must_use]
    pub fn me(&self) -> &Member {
        self.members.me()
    }

    /// Returns whether callers may use this router.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.me().phase == Phase::Serving
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.expire_requests(now, actions);
        self.ledger.expire(now);
        self.leaving.expire(now);
        self.suspects.expire(now);
        self.resume(now, actions);
        if now >= self.next_beat {
            let beat = self.settings.beat(self.members.alive().count());
            self.next_beat = now + beat;
            self.beat(now, actions);
        }
        if now >= self.next_list {
            self.next_list = now + self.settings.list;
            self.take_turn(now, actions);
        }
        if now >= self.next_refresh {
            self.own_runners(now);
        }
        self.resend(actions);
        self.grant_all(now, actions);
        self.check_stopped(actions);
    }

    /// Gives up requests whose deadline has passed while they waited.
    fn expire_requests(&mut self, now: Time, actions: &mut Vec<Action>) {
        use crate::request::Stage;
        let later = self.deadlines.split_off(&(now + Span(1), 0));
        let due = std::mem::replace(&mut self.deadlines, later);
        let waits = |ticket: &Ticket| {
            self.requests.get(ticket).is_some_and(|entry| {
                matches!(
                    entry.stage,
                    Stage::Waiting | Stage::Claiming | Stage::Joined | Stage::Paused
                )
            })
        };
        let (late, rest): (Vec<Ticket>, Vec<Ticket>) =
            due.into_iter().map(|(_, ticket)| ticket).partition(waits);
        for ticket in rest {
            let Some(entry) = self.requests.get_mut(&ticket) else {
                continue;
            };
            if matches!(entry.stage, Stage::Running(_)) && !entry.once() {
                entry.late = true;
                actions.push(Action::Cancel(ticket));
            }
            // A request that runs may fail and wait again.
            self.deadlines.insert((now + RECHECK, ticket));
        }
        for ticket in late {
            // One that joined another may have got its end a moment ago.
            let Some(entry) = self.requests.get(&ticket) else {
                continue;
            };
            let outcome = match entry.stage {
                Stage::Joined => Outcome::Unknown,
                _ => Outcome::NotRun,
            };
            let end = End::new(outcome, "deadline passed while the request waited")
                .with_code(Code::Deadline);
            self.refuse(now, ticket, end, actions);
        }
    }

    /// Ends a request that holds no slot.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        ticket: Ticket,
        end: End,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get(&ticket) else {
            return;
        };
        let service = entry.head.service.clone();
        let mut end = end;
        if entry.began && end.outcome == Outcome::NotRun {
            // An earlier attempt ran, at least in part.
            end.outcome = Outcome::Failed;
        }
        if let Some(state) = self.services.get_mut(&service) {
            state.queue.remove(ticket);
        }
        let reason = end.reason.clone().unwrap_or_default();
        self.note(
            now,
            ticket,
            &format!("ended as {:?}: {reason}", end.outcome),
        );
        let owned = self.owns_key(ticket);
        let mut end = self.settle(now, ticket, end, None, actions);
        let head = &self.requests[&ticket].head;
        let passed_back = head.hops > 0 && end.code == Some(Code::Elsewhere);
        if head.key.is_some() && head.resend && !owned && !passed_back {
            end = end.for_resend();
        }
        self.remove(ticket);
        actions.push(Action::Tell(ticket, Command::End(end)));
    }

    /// Forgets a request without an answer.
    pub(crate) fn drop_request(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Adds a decision about a request to the audit trail.
    pub(crate) fn note(&mut self, now: Time, ticket: Ticket, text: &str) {
        let Some(entry) = self.requests.get(&ticket) else {
            return;
        };
        self.trail.push(trail::Entry {
            at: now,
            request: entry.head.request.clone(),
            workspace: entry.head.workspace.clone(),
            key: entry.head.key.clone(),
            text: text.to_owned(),
        });
    }
}
