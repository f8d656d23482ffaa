//! Routing and admission of incoming requests.

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_claim::bound::{self, Binding};
use balsamchute_wire::exchange::{Member, Phase};
use balsamchute_wire::forward::{Head, MAX_HOPS};
use balsamchute_wire::record::{Code, End, Outcome};

use crate::deadline::answer_budget;
use crate::dispatcher::Dispatcher;
use crate::event::{Action, Arrival, Command, RequestNumber};
use crate::limits::CountedAs;
use crate::request::{Entry, Stage};
use crate::suspects::fingerprint;

/// Retry-after delay of a request that was refused for lack of capacity, or
/// because the router is starting or cannot reach the holder of a claim.
const BUSY_RETRY_AFTER: Span = Span::from_secs(1);

/// Addresses of other routers that a leaving router names in a refusal.
const MAX_SUGGESTED_ADDRESSES: usize = 2;

/// Routing decision for a request.
enum Route {
    /// Queue the request at this router.
    Local,
    /// Forward the request to another router.
    Remote(Member),
    /// Refuse the request with this end.
    Reject(End),
}

impl Dispatcher {
    pub(crate) fn handle_arrival(
        &mut self,
        now: Time,
        arrival: Arrival,
        actions: &mut Vec<Action>,
    ) {
        let request_number = arrival.request_number;
        let entry = Entry {
            fingerprint: fingerprint(&arrival.head.workspace, arrival.digest),
            may_have_run: false,
            avoided_domain: None,
            digest: arrival.digest,
            deadline: now + answer_budget(arrival.head.deadline),
            stage: Stage::Claiming,
            counted_as: CountedAs::Nothing,
            attempts: 0,
            last_attempt: None,
            nonce: 0,
            leads_key: false,
            deadline_cancelled: false,
            has_claim: false,
            caller_gone: false,
            head: arrival.head,
        };
        self.deadlines.insert((entry.deadline, request_number));
        self.requests.insert(request_number, entry);
        self.route(now, request_number, actions);
    }

    fn route(&mut self, now: Time, request_number: RequestNumber, actions: &mut Vec<Action>) {
        let head = self.requests[&request_number].head.clone();
        // A repeated key joins its request or receives the recorded end, so
        // nothing new is admitted.
        if !self.has_key_record(&head)
            && let Some(end) = self.rejection(&head)
        {
            return self.end_request(now, request_number, end, actions);
        }
        match self.choose_route(&head) {
            Route::Local => self.admit(now, request_number, actions),
            Route::Remote(member) => self.forward(now, request_number, &member, actions),
            Route::Reject(end) => self.end_request(now, request_number, end, actions),
        }
    }

    /// Returns the refusal if the router does not serve or the workspace or
    /// service is unknown, `None` otherwise.
    fn rejection(&self, head: &Head) -> Option<End> {
        let not_found =
            |text: String| Some(End::new(Outcome::NotRun, &text).with_code(Code::NotFound));
        match self.local_member().phase {
            Phase::Starting => {
                return Some(
                    End::new(Outcome::NotRun, "router is starting")
                        .with_code(Code::Elsewhere)
                        .with_retry_after(BUSY_RETRY_AFTER),
                );
            }
            Phase::Leaving => {
                let end = End::new(Outcome::NotRun, &self.leaving_reason());
                return Some(end.with_code(Code::Elsewhere).with_retry_after(Span(0)));
            }
            Phase::Serving => {}
        }
        if !self.config.workspaces.contains_key(&head.workspace) {
            return not_found(format!("workspace \"{}\" does not exist", head.workspace));
        }
        if !self.config.services.contains_key(&head.service) {
            return not_found(format!("service \"{}\" does not exist", head.service));
        }
        None
    }

    /// Returns the reason that a leaving router gives in a refusal, with
    /// addresses of other routers if it has any.
    fn leaving_reason(&self) -> String {
        let addresses: Vec<String> = self
            .members
            .serving()
            .take(MAX_SUGGESTED_ADDRESSES)
            .map(|member| member.callers.to_string())
            .collect();
        match addresses.is_empty() {
            true => "router is leaving; ask for another address".to_owned(),
            false => format!("router is leaving; ask {}", addresses.join(" or ")),
        }
    }

    /// Chooses the router that queues the request.
    fn choose_route(&mut self, head: &Head) -> Route {
        if let Some(key) = &head.key {
            match bound::binding_of(key) {
                Binding::Durable => {}
                Binding::Malformed => {
                    let text = format!("key \"{key}\" begins with \"m.\" but is no bound key");
                    return Route::Reject(End::new(Outcome::NotRun, &text));
                }
                Binding::Bound {
                    instance,
                    incarnation,
                    ..
                } => return self.choose_bound_route(&instance, incarnation),
            }
        }
        if head.hops >= MAX_HOPS || self.has_key_record(head) {
            return Route::Local;
        }
        match self.home_router(head) {
            Some(home) if home.instance != self.local_member().instance => Route::Remote(home),
            _ => Route::Local,
        }
    }

    /// Routes a request with a bound key to the incarnation in the key, or
    /// refuses it if that incarnation is not reachable.
    fn choose_bound_route(&self, instance: &Instance, incarnation: Incarnation) -> Route {
        let local = self.local_member();
        if *instance == local.instance && incarnation == local.incarnation {
            return Route::Local;
        }
        match self.members.get(instance) {
            Some(member) if member.incarnation == incarnation => Route::Remote(member.clone()),
            _ => {
                let text =
                    format!("key is bound to router \"{instance}\", which cannot be reached");
                Route::Reject(End::new(Outcome::Unknown, &text))
            }
        }
    }

    /// Returns the request's home among the homes of its workspace. The key, or
    /// the request id if there is none, spreads the requests over the homes.
    pub(crate) fn home_router(&mut self, head: &Head) -> Option<Member> {
        let count = self
            .config
            .workspaces
            .get(&head.workspace)
            .map_or(1, |spec| spec.homes);
        let rank_key = head.key.as_ref().map_or(head.request.as_str(), Key::as_str);
        let homes = self.placement.homes(&head.workspace, count);
        let home = rank::highest(rank_key, homes.iter())?;
        self.members.get(home).cloned()
    }

    pub(crate) fn forward(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        member: &Member,
        actions: &mut Vec<Action>,
    ) {
        self.record_decision(
            now,
            request_number,
            &format!("forwarded to router \"{}\"", member.instance),
        );
        let entry = &mut self.requests[&request_number];
        entry.stage = Stage::Forwarded;
        let mut head = entry.head.clone();
        head.hops += 1;
        head.deadline = entry.deadline.since(now);
        self.set_counted_as(request_number, CountedAs::Nothing);
        let command = Command::Forward {
            to: member.instance.clone(),
            address: member.inner,
            head,
        };
        actions.push(Action::Command(request_number, command));
    }

    /// Queues a forwarded request here after the connection to its home router
    /// was lost. The request may have started there, so it can no longer end as
    /// not run.
    pub(crate) fn handle_forward_lost(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.requests.get_mut(&request_number) {
            entry.may_have_run = true;
        }
        self.handle_forward_failed(now, request_number, actions);
    }

    /// Handles a request that could not be forwarded. No byte of it reached the
    /// other router. It is queued here unless its key is bound to that router
    /// or claimed by it.
    pub(crate) fn handle_forward_failed(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get(&request_number) else {
            return;
        };
        let is_bound = entry
            .head
            .key
            .as_ref()
            .is_some_and(|key| bound::binding_of(key) != Binding::Durable);
        if is_bound {
            let end = End::new(
                Outcome::Unknown,
                "the router that the key is bound to cannot be reached",
            );
            return self.end_request(now, request_number, end, actions);
        }
        // Only `handle_held_claim` forwards a request without hops left, to the
        // holder of its claim.
        if entry.is_non_idempotent() && entry.head.hops >= MAX_HOPS {
            let end = End::new(
                Outcome::Unknown,
                "the router that claimed the key cannot be reached",
            );
            return self.end_request(
                now,
                request_number,
                end.with_retry_after(BUSY_RETRY_AFTER),
                actions,
            );
        }
        self.record_decision(
            now,
            request_number,
            "home router is unreachable; queued here",
        );
        self.admit(now, request_number, actions);
    }

    /// Admits the request to this router: a non-idempotent request claims its
    /// key first, any other one is queued.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        // As in `route`, a repeated key admits nothing new.
        if !self.has_key_record(&self.requests[&request_number].head)
            && let Some(end) = self.admission_rejection(now, request_number)
        {
            return self.end_request(now, request_number, end, actions);
        }
        if self.requests[&request_number].is_non_idempotent() {
            self.start_claim(now, request_number, actions);
        } else {
            self.enqueue(now, request_number, actions);
        }
    }

    /// Returns the refusal of a request that is quarantined or exceeds a limit,
    /// `None` if it is admitted and counted.
    fn admission_rejection(&mut self, now: Time, request_number: RequestNumber) -> Option<End> {
        if let Some(end) = self.quarantined(now, self.requests[&request_number].fingerprint) {
            return Some(end);
        }
        if self.requests.len() > self.settings.max_requests {
            let end = End::new(Outcome::NotRun, "queue of this router is full");
            return Some(
                end.with_code(Code::Limit)
                    .with_retry_after(BUSY_RETRY_AFTER),
            );
        }
        self.admit_to_limits(now, request_number)
    }

    /// Adds the request to the queue of its service and tries to start it.
    pub(crate) fn enqueue(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let entry = &mut self.requests[&request_number];
        entry.stage = Stage::Waiting;
        let head = entry.head.clone();
        self.set_counted_as(request_number, CountedAs::Waiting);
        let Some(state) = self.services.get_mut(&head.service) else {
            let text = format!("service \"{}\" does not exist", head.service);
            return self.end_request(
                now,
                request_number,
                End::new(Outcome::NotRun, &text),
                actions,
            );
        };
        state.queue.push(&head.workspace, request_number, head.hint);
        self.record_decision(now, request_number, "queued");
        self.grant_slots(now, &head.service, actions);
        self.publish_need(now, &head.service, actions);
    }

    /// Handles a caller that disconnected. A request that waits is ended; one
    /// that runs or was forwarded is not affected.
    pub(crate) fn handle_caller_gone(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get_mut(&request_number) else {
            return;
        };
        match entry.stage {
            // The claim may still be granted. Its reply then settles the key.
            Stage::Claiming => entry.caller_gone = true,
            Stage::Waiting | Stage::Joined | Stage::Paused => {
                let end = End::new(Outcome::NotRun, "the caller went away");
                self.end_request(now, request_number, end, actions);
            }
            Stage::Running(_) | Stage::Forwarded => {}
        }
    }
}
