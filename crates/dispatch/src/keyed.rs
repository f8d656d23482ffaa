//! Non-idempotent requests: claims, repeated keys and recorded ends.

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_claim::bound::{self, Binding};
use balsamchute_claim::ledger::Decision;
use balsamchute_wire::claim::{Claim, Operation, Reply, Settled};
use balsamchute_wire::exchange::Member;
use balsamchute_wire::forward::{Head, MAX_HOPS};
use balsamchute_wire::record::{Code, End, Outcome};
use rand::RngExt;

use crate::dispatcher::Dispatcher;
use crate::event::{Action, Command, RequestNumber};
use crate::request::Stage;

/// Retry-after delay while claims cannot be stored, the key table is full or
/// another router holds the claim.
const UNAVAILABLE_RETRY_AFTER: Span = Span::from_secs(2);

impl Dispatcher {
    /// Returns the router that writes a shard of the claim log.
    #[must_use]
    pub fn claim_writer(&self, shard: u32) -> Option<&Member> {
        let names = self.members.serving().map(|member| &member.instance);
        let writer = rank::highest(&format!("claims-{shard}"), names)?;
        self.members.get(writer)
    }

    /// Returns whether this router alone decides about the key of a request, so
    /// that a request that did not run here did not run anywhere.
    pub(crate) fn owns_key(&self, request_number: RequestNumber) -> bool {
        let Some(entry) = self.requests.get(&request_number) else {
            return false;
        };
        let is_bound = |key: &Key| bound::binding_of(key) != Binding::Durable;
        entry.has_claim || entry.leads_key && entry.head.key.as_ref().is_some_and(is_bound)
    }

    /// Returns whether a request with this key is in progress here or has ended
    /// here, other than as not run.
    pub(crate) fn has_key_record(&self, head: &Head) -> bool {
        let entry = head
            .key
            .as_ref()
            .and_then(|key| self.ledger.get(&head.workspace, key));
        entry.is_some_and(|entry| !entry.is_not_run())
    }

    /// Returns the given incarnation of a router, `None` if it is not known to
    /// be alive.
    #[must_use]
    pub fn live_incarnation(
        &self,
        instance: &Instance,
        incarnation: Incarnation,
    ) -> Option<&Member> {
        let mut alive = self.members.alive();
        let local = Some(self.members.local()).into_iter();
        local
            .chain(alive.by_ref())
            .find(|member| member.instance == *instance && member.incarnation == incarnation)
    }

    /// Claims the key of a request, or joins or replays an earlier request with
    /// the same key.
    pub(crate) fn start_claim(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let nonce = self.rng.random();
        let entry = &mut self.requests[&request_number];
        entry.nonce = nonce;
        // The stage is `Forwarded` after a failed forward and `Joined` after the
        // leader did not run.
        entry.stage = Stage::Claiming;
        let workspace = entry.head.workspace.clone();
        let Some(key) = entry.head.key.clone() else {
            return;
        };
        let digest = entry.digest;
        match self
            .ledger
            .begin(now, &workspace, &key, digest, request_number, nonce)
        {
            Decision::Proceed => {
                self.requests[&request_number].leads_key = true;
                match bound::binding_of(&key) {
                    Binding::Durable => self.request_claim(now, request_number, actions),
                    _ => self.enqueue(now, request_number, actions),
                }
            }
            Decision::Join { leader } => {
                self.record_decision(
                    now,
                    request_number,
                    &format!("joined request {leader} with the same key"),
                );
                self.requests[&request_number].stage = Stage::Joined;
            }
            Decision::Ended(settled) => self.replay(now, request_number, settled, actions),
            Decision::Mismatch => self.reject_mismatch(now, request_number, actions),
            Decision::Expired => {
                let end = End::new(
                    Outcome::Unknown,
                    "the bound key is too old; its request may have run",
                );
                self.end_request(now, request_number, end, actions);
            }
            Decision::Full => {
                let end = End::new(Outcome::NotRun, "memory for keys is full on this router");
                self.end_request(
                    now,
                    request_number,
                    end.with_code(Code::Limit)
                        .with_retry_after(UNAVAILABLE_RETRY_AFTER),
                    actions,
                );
            }
        }
    }

    fn request_claim(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let local = self.members.local();
        let entry = &self.requests[&request_number];
        let Some(key) = entry.head.key.clone() else {
            return;
        };
        let claim = Claim {
            workspace: entry.head.workspace.clone(),
            key,
            digest: entry.digest,
            holder: local.instance.clone(),
            incarnation: local.incarnation,
            nonce: entry.nonce,
            expires: entry.deadline + self.settings.claim_retention,
        };
        self.record_decision(now, request_number, "claim requested");
        actions.push(Action::SendClaim(request_number, Operation::Claim(claim)));
    }

    /// Handles the reply of the claim log.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get_mut(&request_number) else {
            return;
        };
        if entry.stage != Stage::Claiming {
            return;
        }
        match reply {
            Reply::Granted => self.accept_claim(now, request_number, actions),
            Reply::Held(claim) => self.handle_held_claim(now, request_number, &claim, actions),
            Reply::Settled(settled) => {
                self.record_end(now, request_number, settled.clone(), actions);
                self.replay(now, request_number, settled, actions);
            }
            Reply::Mismatch => self.reject_mismatch(now, request_number, actions),
            Reply::Free | Reply::Unavailable => {
                let text = "claims cannot be stored now; use the bound key of an address answer";
                let end = End::new(Outcome::NotRun, text)
                    .with_code(Code::NoClaims)
                    .with_retry_after(UNAVAILABLE_RETRY_AFTER);
                self.end_request(now, request_number, end, actions);
            }
        }
    }

    fn accept_claim(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let entry = &mut self.requests[&request_number];
        entry.has_claim = true;
        if entry.caller_gone {
            let end = End::new(Outcome::NotRun, "the caller went away");
            return self.end_request(now, request_number, end, actions);
        }
        self.record_decision(now, request_number, "claim granted");
        self.enqueue(now, request_number, actions);
    }

    /// Handles a key that is already claimed: the request is forwarded to the
    /// holder of the claim.
    fn handle_held_claim(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        claim: &Claim,
        actions: &mut Vec<Action>,
    ) {
        let local = self.members.local();
        if claim.holder == local.instance
            && claim.incarnation == local.incarnation
            && claim.nonce == self.requests[&request_number].nonce
        {
            return self.accept_claim(now, request_number, actions);
        }
        if self.reclaim_unused(now, request_number, claim, actions) {
            return;
        }
        self.forget_key(now, request_number, actions);
        let holder = self.members.get(&claim.holder).cloned();
        match holder.filter(|member| member.incarnation == claim.incarnation) {
            Some(holder) if holder.instance != self.local_member().instance => {
                // With no hops left, the holder joins the request instead of
                // forwarding it again.
                self.requests[&request_number].head.hops = MAX_HOPS;
                self.forward(now, request_number, &holder, actions);
            }
            _ => {
                let text = format!(
                    "router \"{}\" claimed the key and its end is not known",
                    claim.holder
                );
                self.end_request(
                    now,
                    request_number,
                    End::new(Outcome::Unknown, &text),
                    actions,
                );
            }
        }
    }

    /// Settles an earlier claim of this incarnation as not run and claims the
    /// key again. Returns whether there was such a claim: one that was
    /// abandoned before anything was sent.
    fn reclaim_unused(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        claim: &Claim,
        actions: &mut Vec<Action>,
    ) -> bool {
        let local = self.members.local();
        let is_own = claim.holder == local.instance && claim.incarnation == local.incarnation;
        let (workspace, key) = (&claim.workspace, &claim.key);
        if !is_own || !self.ledger.is_claim_unused(workspace, key, claim.nonce) {
            return false;
        }
        self.record_decision(
            now,
            request_number,
            "released the unused claim of an earlier attempt",
        );
        let end = End::new(Outcome::NotRun, "given up before it was sent");
        actions.push(Action::Settle(Operation::Settle {
            workspace: workspace.clone(),
            key: key.clone(),
            nonce: claim.nonce,
            outcome: Settled { end, answer: None },
        }));
        self.request_claim(now, request_number, actions);
        true
    }

    fn reject_mismatch(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let key = self.requests[&request_number]
            .head
            .key
            .as_ref()
            .map_or("", Key::as_str);
        let end = End::new(
            Outcome::NotRun,
            &format!("key \"{key}\" was used with another body or service"),
        );
        self.forget_key(now, request_number, actions);
        self.end_request(now, request_number, end.with_code(Code::Mismatch), actions);
    }

    fn replay(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        settled: Settled,
        actions: &mut Vec<Action>,
    ) {
        self.record_decision(
            now,
            request_number,
            "replayed the recorded end of an earlier run",
        );
        self.drop_request(request_number);
        actions.push(Action::Command(request_number, Command::Replay(settled)));
    }

    /// Records the end of a request that leads its key, in this router's ledger
    /// and in the claim log.
    ///
    /// A request that did not run leaves its key free for a retry. Returns the
    /// end as recorded: `not_run` becomes `unknown` if a byte may have left for
    /// a target.
    pub(crate) fn settle(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        end: End,
        answer: Option<Vec<String>>,
        actions: &mut Vec<Action>,
    ) -> End {
        let Some(entry) = self.requests.get(&request_number) else {
            return end;
        };
        let Some(key) = entry.head.key.clone().filter(|_| entry.leads_key) else {
            return end;
        };
        let workspace = entry.head.workspace.clone();
        let (has_claim, nonce) = (entry.has_claim, entry.nonce);
        let outcome = self.record_end(now, request_number, Settled { end, answer }, actions);
        let end = outcome.end.clone();
        if has_claim {
            actions.push(Action::Settle(Operation::Settle {
                workspace,
                key,
                nonce,
                outcome,
            }));
        }
        end
    }

    /// Records an end in this router's ledger and answers the requests that
    /// joined.
    fn record_end(
        &mut self,
        now: Time,
        request_number: RequestNumber,
        settled: Settled,
        actions: &mut Vec<Action>,
    ) -> Settled {
        let entry = &mut self.requests[&request_number];
        entry.leads_key = false;
        let Some(key) = entry.head.key.clone() else {
            return settled;
        };
        let workspace = entry.head.workspace.clone();
        let Some(recorded) = self
            .ledger
            .record_end(now, &workspace, &key, settled.clone())
        else {
            return settled;
        };
        self.answer_joined(now, &recorded.joined, &recorded.settled, actions);
        recorded.settled
    }

    /// Frees the key in this router's ledger, because another router holds its
    /// claim or it belongs to another request.
    fn forget_key(&mut self, now: Time, request_number: RequestNumber, actions: &mut Vec<Action>) {
        let entry = &mut self.requests[&request_number];
        if !std::mem::take(&mut entry.leads_key) {
            return;
        }
        let Some(key) = entry.head.key.clone() else {
            return;
        };
        let workspace = entry.head.workspace.clone();
        let not_run = Settled {
            end: End::new(Outcome::NotRun, "claimed elsewhere"),
            answer: None,
        };
        let joined = self
            .ledger
            .record_end(now, &workspace, &key, not_run)
            .map(|recorded| recorded.joined)
            .unwrap_or_default();
        let end = End::new(
            Outcome::Unknown,
            "the key was claimed by another router; ask again",
        );
        let settled = Settled {
            end: end.with_retry_after(UNAVAILABLE_RETRY_AFTER),
            answer: None,
        };
        self.answer_joined(now, &joined, &settled, actions);
    }

    /// Answers joined requests with the end of their leader. If the leader did
    /// not run, for example because its caller disconnected, the first of them
    /// takes its place.
    fn answer_joined(
        &mut self,
        now: Time,
        joined: &[RequestNumber],
        settled: &Settled,
        actions: &mut Vec<Action>,
    ) {
        let retry = settled.end.outcome == Outcome::NotRun && !self.grace_expired;
        for &request_number in joined {
            if retry && self.requests.contains_key(&request_number) {
                self.start_claim(now, request_number, actions);
                continue;
            }
            let resend = self
                .requests
                .get(&request_number)
                .is_some_and(|entry| entry.head.resend);
            if self.remove(request_number) {
                let mut settled = settled.clone();
                if resend {
                    settled.end = settled.end.for_resend();
                }
                actions.push(Action::Command(request_number, Command::Replay(settled)));
            }
        }
    }
}
