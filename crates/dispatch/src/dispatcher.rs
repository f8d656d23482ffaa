//! State machine of one router.

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

use crate::event::{Action, Command, Event, RequestNumber};
use crate::limits;
use crate::request::Entry;
use crate::service::State;
use crate::settings::Settings;
use crate::trail::{self, Trail};

/// Interval at which a request that is still running or forwarded past its
/// deadline is checked again.
const DEADLINE_RECHECK: Span = Span::from_secs(1);

/// Complete state of a router.
///
/// Invariants:
/// - every request in `requests` waits in at most one queue, and waits in one
///   exactly while its stage is `Waiting`;
/// - a non-idempotent request becomes `Waiting` only after its claim was
///   granted to this incarnation, or if its key is bound to this incarnation;
/// - a borrowed slot runs one request at a time, and is released once it is not
///   reused.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) config: Arc<Config>,
    pub(crate) stamp: Stamp,
    pub(crate) members: Table,
    /// Homes of workspaces and owners of runners among the serving routers.
    pub(crate) placement: home::Cache,
    pub(crate) leaving_runners: leaving::Marks,
    pub(crate) services: BTreeMap<Service, State>,
    pub(crate) limits: limits::Table,
    pub(crate) requests: IndexMap<RequestNumber, Entry>,
    pub(crate) ledger: Ledger,
    pub(crate) suspects: suspect::Registry,
    pub(crate) retry_budget: retry::Budget,
    /// Requests that are not queued before the given time.
    pub(crate) paused: BTreeSet<(Time, RequestNumber)>,
    /// Messages that were not delivered, to send again at the next tick.
    pub(crate) resend_queue: BTreeMap<Instance, Vec<Message>>,
    /// Routers that own runners of each service, by rendezvous hashing.
    pub(crate) runner_owners: BTreeMap<Service, BTreeSet<Instance>>,
    /// Slots of each runner, reduced to the concurrency limit of its service.
    pub(crate) runner_slots: BTreeMap<Runner, u32>,
    /// Times at which the deadlines of requests are checked.
    pub(crate) deadlines: BTreeSet<(Time, RequestNumber)>,
    pub(crate) runner_addresses: BTreeMap<Runner, SocketAddr>,
    /// Runners that failed or did not answer, until they report their load
    /// again. The time is that of the last failure.
    pub(crate) unresponsive_runners: BTreeMap<Runner, Time>,
    pub(crate) trail: Trail,
    pub(crate) rng: ChaCha8Rng,
    /// Number of the latest attempt; raised before use.
    pub(crate) next_attempt: u64,
    /// Serial number of the latest key; raised before use.
    pub(crate) next_key: u64,
    pub(crate) next_heartbeat: Time,
    pub(crate) next_list_read: Time,
    pub(crate) next_ownership_refresh: Time,
    pub(crate) claims_available: bool,
    pub(crate) draining: bool,
    pub(crate) grace_expired: bool,
}

impl Dispatcher {
    /// Creates the state of a router that has no configuration and knows no
    /// peers. `seed` initializes the random number generator.
    #[must_use]
    pub fn new(local: Member, settings: Settings, seed: u64) -> Self {
        let member_settings = members::Settings {
            doubt_timeout: settings.failure_timeout,
            ..members::Settings::default()
        };
        Dispatcher {
            config: Arc::default(),
            stamp: Stamp::default(),
            members: Table::new(local, member_settings),
            placement: home::Cache::new(),
            leaving_runners: leaving::Marks::new(),
            services: BTreeMap::new(),
            limits: limits::Table::default(),
            requests: IndexMap::new(),
            ledger: Ledger::new(ledger::Settings::default()),
            suspects: suspect::Registry::new(suspect::Settings::default()),
            retry_budget: retry::Budget::new(retry::Settings {
                max_attempts: settings.max_attempts,
                ..retry::Settings::default()
            }),
            paused: BTreeSet::new(),
            resend_queue: BTreeMap::new(),
            runner_owners: BTreeMap::new(),
            runner_slots: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            runner_addresses: BTreeMap::new(),
            unresponsive_runners: BTreeMap::new(),
            trail: Trail::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_attempt: 0,
            next_key: 0,
            next_heartbeat: Time::default(),
            next_list_read: Time::default(),
            next_ownership_refresh: Time::default(),
            claims_available: true,
            draining: false,
            grace_expired: false,
            settings,
        }
    }

    /// Applies an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::RequestArrived(arrival) => self.handle_arrival(now, arrival, actions),
            Event::CallerGone(number) => self.handle_caller_gone(now, number, actions),
            Event::ForwardFailed(number) => self.handle_forward_failed(now, number, actions),
            Event::ForwardLost(number) => self.handle_forward_lost(now, number, actions),
            Event::ForwardEnded(number) => self.drop_request(number),
            Event::Progress(number, cost) => self.handle_progress(number, cost),
            Event::Finish(finish) => self.handle_finish(now, finish, actions),
            Event::ClaimReply(number, reply) => self.handle_reply(now, number, reply, actions),
            Event::ClaimsAvailable(durable) => self.claims_available = durable,
            Event::ConfigRead(stamp, config) => self.apply_config(now, stamp, config, actions),
            Event::ListRead(requested, list) => self.handle_list(now, requested, &list, actions),
            Event::ExchangeReceived(id, frame) => self.answer_exchange(now, id, frame, actions),
            Event::ExchangeFailed(peer, refused) => self.doubt_router(now, peer, refused, actions),
            Event::ExchangeAnswered(frame) => self.merge_frame(now, &frame, actions),
            Event::Messages(batch) => self.handle_messages(now, batch, actions),
            Event::Undelivered(to, batch) => self.handle_undelivered(now, &to, batch, actions),
            Event::Load(runner, load) => self.handle_load(now, &runner, load, actions),
            Event::RunnerUnresponsive(runner) => self.handle_unresponsive(now, &runner, actions),
            Event::Tick => self.tick(now, actions),
            Event::DrainRequested => self.begin_drain(now, actions),
            Event::GraceExpired => self.end_grace(now, actions),
        }
    }

    /// Returns the membership entry of this router.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        self.members.local()
    }

    /// Returns whether this router accepts requests of callers.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.local_member().phase == Phase::Serving
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.expire_requests(now, actions);
        self.ledger.expire(now);
        self.leaving_runners.expire(now);
        self.suspects.expire(now);
        self.resume_paused(now, actions);
        if now >= self.next_heartbeat {
            let interval = self
                .settings
                .heartbeat_interval(self.members.alive().count());
            self.next_heartbeat = now + interval;
            self.send_heartbeat(now, actions);
        }
        if now >= self.next_list_read {
            self.next_list_read = now + self.settings.list_interval;
            self.read_list_in_turn(now, actions);
        }
        if now >= self.next_ownership_refresh {
            self.update_owned_runners(now);
        }
        self.resend_undelivered(actions);
        self.grant_all_services(now, actions);
        self.stop_if_drained(actions);
    }

    /// Ends requests whose deadline passed while they waited, and cancels
    /// idempotent ones that are still running.
    fn expire_requests(&mut self, now: Time, actions: &mut Vec<Action>) {
        use crate::request::Stage;
        // Everything due at `now` or before, whatever its request number.
        let later = self.deadlines.split_off(&(now + Span(1), 0));
        let due = std::mem::replace(&mut self.deadlines, later);
        let is_waiting = |request_number: &RequestNumber| {
            self.requests.get(request_number).is_some_and(|entry| {
                matches!(
                    entry.stage,
                    Stage::Waiting | Stage::Claiming | Stage::Joined | Stage::Paused
                )
            })
        };
        let (expired, active): (Vec<RequestNumber>, Vec<RequestNumber>) = due
            .into_iter()
            .map(|(_, request_number)| request_number)
            .partition(is_waiting);
        for request_number in active {
            let Some(entry) = self.requests.get_mut(&request_number) else {
                continue;
            };
            if matches!(entry.stage, Stage::Running(_)) && !entry.is_non_idempotent() {
                entry.deadline_cancelled = true;
                actions.push(Action::Cancel(request_number));
            }
            // A running request can fail and be queued again.
            self.deadlines
                .insert((now + DEADLINE_RECHECK, request_number));
        }
        for request_number in expired {
            // A joined request may have received its end along with its leader,
            // earlier in this loop.
            let Some(entry) = self.requests.get(&request_number) else {
                continue;
            };
            let outcome = match entry.stage {
                Stage::Joined => Outcome::Unknown,
                _ => Outcome::NotRun,
            };
            let end = End::new(outcome, "deadline passed while the request waited")
                .with_code(Code::Deadline);
            self.end_request(now, request_number, end, actions);
        }
    }

    /// Ends a request that holds no slot, and settles its key.
    pub(crate) fn end_request(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        end: End,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get(&request_number) else {
            return;
        };
        let service = entry.head.service.clone();
        let mut end = end;
        if entry.may_have_run && end.outcome == Outcome::NotRun {
            // An earlier attempt may have run, at least in part.
            end.outcome = Outcome::Failed;
        }
        if let Some(state) = self.services.get_mut(&service) {
            state.queue.remove(request_number);
        }
        let reason = end.reason.clone().unwrap_or_default();
        self.record_decision(
            now,
            request_number,
            &format!("ended as {:?}: {reason}", end.outcome),
        );
        let owned = self.owns_key(request_number);
        let mut end = self.settle(now, request_number, end, None, actions);
        let head = &self.requests[&request_number].head;
        let returned_to_peer = head.hops > 0 && end.code == Some(Code::Elsewhere);
        if head.key.is_some() && head.resend && !owned && !returned_to_peer {
            end = end.for_resend();
        }
        self.remove(request_number);
        actions.push(Action::Command(request_number, Command::End(end)));
    }

    /// Removes a request without sending an answer.
    pub(crate) fn drop_request(&mut self, request_number: RequestNumber) {
        self.remove(request_number);
    }

    /// Adds a decision about a request to the audit trail.
    pub(crate) fn record_decision(&mut self, now: Time, request_number: RequestNumber, text: &str) {
        let Some(entry) = self.requests.get(&request_number) else {
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
