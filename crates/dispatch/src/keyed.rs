//! Non-idempotent requests: claims, repeated keys, recorded ends.

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_claim::bound::{self, Binding};
use balsamchute_claim::ledger::Begin;
use balsamchute_wire::claim::{Ask, Claim, Settled, Verdict};
use balsamchute_wire::exchange::Member;
use balsamchute_wire::forward::{Head, MAX_HOPS};
use balsamchute_wire::record::{Code, End, Outcome};
use rand::RngExt;

use crate::core::Core;
use crate::event::{Action, Command, Ticket};
use crate::request::Stage;

/// When a caller may come back while claims cannot be stored.
const UNAVAILABLE_RETRY: Span = Span::from_secs(2);

impl Core {
    /// Returns the router that writes a shard of the claim log.
    #[must_use]
    pub fn claim_writer(&self, shard: u32) -> Option<&Member> {
        let names = self.members.serving().map(|member| &member.instance);
        let writer = rank::first(&format!("claims-{shard}"), names)?;
        self.members.get(writer)
    }

    /// Returns whether this router alone decides about the key of a request, so
    /// that what did not run here did not run anywhere.
    pub(crate) fn owns_key(&self, ticket: Ticket) -> bool {
        let Some(entry) = self.requests.get(&ticket) else {
            return false;
        };
        let bound = |key: &Key| bound::binding(key) != Binding::Durable;
        entry.claimed || entry.leads && entry.head.key.as_ref().is_some_and(bound)
    }

    /// Returns whether the key of a request has run here or is under way.
    pub(crate) fn knows_key(&self, head: &Head) -> bool {
        let state = head
            .key
            .as_ref()
            .and_then(|key| self.ledger.look(&head.workspace, key));
        state.is_some_and(|state| !state.is_not_run())
    }

    /// Returns one life of a router, `None` if it is not known to be alive.
    #[must_use]
    pub fn router(&self, instance: &Instance, incarnation: Incarnation) -> Option<&Member> {
        let mut alive = self.members.alive();
        let me = Some(self.members.me()).into_iter();
        me.chain(alive.by_ref())
            .find(|one| one.instance == *instance && one.incarnation == incarnation)
    }

    /// Starts the claim of a request's key.
    pub(crate) fn claim(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let nonce = self.random.random();
        let entry = &mut self.requests[&ticket];
        entry.nonce = nonce;
        // It may have been passed on before, in vain.
        entry.stage = Stage::Claiming;
        let workspace = entry.head.workspace.clone();
        let Some(key) = entry.head.key.clone() else {
            return;
        };
        let digest = entry.digest;
        match self
            .ledger
            .begin(now, &workspace, &key, digest, ticket, nonce)
        {
            Begin::New => {
                self.requests[&ticket].leads = true;
                match bound::binding(&key) {
                    Binding::Durable => self.ask(now, ticket, actions),
                    _ => self.enqueue(now, ticket, actions),
                }
            }
            Begin::Join { leader } => {
                self.note(
                    now,
                    ticket,
                    &format!("joined request {leader} with the same key"),
                );
                self.requests[&ticket].stage = Stage::Joined;
            }
            Begin::Ended(settled) => self.replay(now, ticket, settled, actions),
            Begin::Mismatch => self.mismatch(now, ticket, actions),
            Begin::Expired => {
                let end = End::new(
                    Outcome::Unknown,
                    "the bound key is too old; its request may have run",
                );
                self.refuse(now, ticket, end, actions);
            }
            Begin::Full => {
                let end = End::new(Outcome::NotRun, "memory for keys is full on this router");
                self.refuse(
                    now,
                    ticket,
                    end.with_code(Code::Limit)
                        .with_retry_after(UNAVAILABLE_RETRY),
                    actions,
                );
            }
        }
    }

    fn ask(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let me = self.members.me();
        let entry = &self.requests[&ticket];
        let Some(key) = entry.head.key.clone() else {
            return;
        };
        let claim = Claim {
            workspace: entry.head.workspace.clone(),
            key,
            digest: entry.digest,
            holder: me.instance.clone(),
            incarnation: me.incarnation,
            nonce: entry.nonce,
            expires: entry.deadline + self.settings.retention,
        };
        self.note(now, ticket, "claim asked");
        actions.push(Action::Ask(ticket, Ask::Claim(claim)));
    }

    /// Acts on the claim log's verdict.
    pub(crate) fn verdict(
        &mut self,
        now: Time,
        ticket: Ticket,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get_mut(&ticket) else {
            return;
        };
        if entry.stage != Stage::Claiming {
            return;
        }
        match verdict {
            Verdict::Granted => self.granted(now, ticket, actions),
            Verdict::Held(claim) => self.held(now, ticket, &claim, actions),
            Verdict::Settled(settled) => {
                self.close(now, ticket, settled.clone(), actions);
                self.replay(now, ticket, settled, actions);
            }
            Verdict::Mismatch => self.mismatch(now, ticket, actions),
            Verdict::Free | Verdict::Unavailable => {
                let text = "claims cannot be stored now; use the bound key of an address answer";
                let end = End::new(Outcome::NotRun, text)
                    .with_code(Code::NoClaims)
                    .with_retry_after(UNAVAILABLE_RETRY);
                self.refuse(now, ticket, end, actions);
            }
        }
    }

    fn granted(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let entry = &mut self.requests[&ticket];
        entry.claimed = true;
        if entry.gone {
            let end = End::new(Outcome::NotRun, "the caller went away");
            return self.refuse(now, ticket, end, actions);
        }
        self.note(now, ticket, "claim granted");
        self.enqueue(now, ticket, actions);
    }

    /// The key is claimed already. Its holder answers for it.
    fn held(&mut self, now: Time, ticket: Ticket, claim: &Claim, actions: &mut Vec<Action>) {
        let me = self.members.me();
        if claim.holder == me.instance
            && claim.incarnation == me.incarnation
            && claim.nonce == self.requests[&ticket].nonce
        {
            return self.granted(now, ticket, actions);
        }
        if self.take_over_unused(now, ticket, claim, actions) {
            return;
        }
        self.unlist(now, ticket, actions);
        let holder = self.members.get(&claim.holder).cloned();
        match holder.filter(|member| member.incarnation == claim.incarnation) {
            Some(holder) if holder.instance != self.me().instance => {
                // With its hops used up the request is joined there, not passed back.
                self.requests[&ticket].head.hops = MAX_HOPS;
                self.forward(now, ticket, &holder, actions);
            }
            _ => {
                let text = format!(
                    "router \"{}\" claimed the key and its end is not known",
                    claim.holder
                );
                self.refuse(now, ticket, End::new(Outcome::Unknown, &text), actions);
            }
        }
    }

    /// Gives back this router's own claim of an earlier try that was given up
    /// before anything was sent, and claims the key again.
    fn take_over_unused(
        &mut self,
        now: Time,
        ticket: Ticket,
        claim: &Claim,
        actions: &mut Vec<Action>,
    ) -> bool {
        let me = self.members.me();
        let own = claim.holder == me.instance && claim.incarnation == me.incarnation;
        let (workspace, key) = (&claim.workspace, &claim.key);
        if !own || !self.ledger.is_unused(workspace, key, claim.nonce) {
            return false;
        }
        self.note(now, ticket, "gave back the claim of an earlier try");
        let end = End::new(Outcome::NotRun, "given up before it was sent");
        actions.push(Action::Settle(Ask::Settle {
            workspace: workspace.clone(),
            key: key.clone(),
            nonce: claim.nonce,
            outcome: Settled { end, answer: None },
        }));
        self.ask(now, ticket, actions);
        true
    }

    fn mismatch(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let key = self.requests[&ticket]
            .head
            .key
            .as_ref()
            .map_or("", Key::as_str);
        let end = End::new(
            Outcome::NotRun,
            &format!("key \"{key}\" was used with another body or service"),
        );
        self.unlist(now, ticket, actions);
        self.refuse(now, ticket, end.with_code(Code::Mismatch), actions);
    }

    fn replay(&mut self, now: Time, ticket: Ticket, settled: Settled, actions: &mut Vec<Action>) {
        self.note(now, ticket, "answered from the record of an earlier run");
        self.drop_request(ticket);
        actions.push(Action::Tell(ticket, Command::Replay(settled)));
    }

    /// Records the end of a request that leads its key, here and in the log.
    ///
    /// A request that did not run leaves its key free for another try.
    /// Returns the end as recorded: where a byte may have left for a target,
    /// `not_run` becomes `unknown`.
    pub(crate) fn settle(
        &mut self,
        now: Time,
        ticket: Ticket,
        end: End,
        answer: Option<Vec<String>>,
        actions: &mut Vec<Action>,
    ) -> End {
        let Some(entry) = self.requests.get(&ticket) else {
            return end;
        };
        let Some(key) = entry.head.key.clone().filter(|_| entry.leads) else {
            return end;
        };
        let workspace = entry.head.workspace.clone();
        let (claimed, nonce) = (entry.claimed, entry.nonce);
        let outcome = self.close(now, ticket, Settled { end, answer }, actions);
        let end = outcome.end.clone();
        if claimed {
            actions.push(Action::Settle(Ask::Settle {
                workspace,
                key,
                nonce,
                outcome,
            }));
        }
        end
    }

    /// Records an end in this router's memory and answers requests that joined.
    fn close(
        &mut self,
        now: Time,
        ticket: Ticket,
        settled: Settled,
        actions: &mut Vec<Action>,
    ) -> Settled {
        let entry = &mut self.requests[&ticket];
        entry.leads = false;
        let Some(key) = entry.head.key.clone() else {
            return settled;
        };
        let workspace = entry.head.workspace.clone();
        let Some(ending) = self.ledger.end(now, &workspace, &key, settled.clone()) else {
            return settled;
        };
        self.answer_joined(now, &ending.joined, &ending.settled, actions);
        ending.settled
    }

    /// Takes the key out of this router's memory: somebody else answers for it.
    fn unlist(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        let entry = &mut self.requests[&ticket];
        if !std::mem::take(&mut entry.leads) {
            return;
        }
        let Some(key) = entry.head.key.clone() else {
            return;
        };
        let workspace = entry.head.workspace.clone();
        let free = Settled {
            end: End::new(Outcome::NotRun, "claimed elsewhere"),
            answer: None,
        };
        let joined = self
            .ledger
            .end(now, &workspace, &key, free)
            .map(|ending| ending.joined)
            .unwrap_or_default();
        let end = End::new(
            Outcome::Unknown,
            "the key was claimed by another router; ask again",
        );
        let settled = Settled {
            end: end.with_retry_after(UNAVAILABLE_RETRY),
            answer: None,
        };
        self.answer_joined(now, &joined, &settled, actions);
    }

    /// Gives the end of a request to those that joined it. If it did not run, for
    /// example since its caller went away, the first of them takes its place.
    fn answer_joined(
        &mut self,
        now: Time,
        joined: &[Ticket],
        settled: &Settled,
        actions: &mut Vec<Action>,
    ) {
        let again = settled.end.outcome == Outcome::NotRun && !self.closing;
        for &ticket in joined {
            if again && self.requests.contains_key(&ticket) {
                self.claim(now, ticket, actions);
                continue;
            }
            let resend = self.requests.get(&ticket).is_some_and(|e| e.head.resend);
            if self.remove(ticket) {
                let mut settled = settled.clone();
                if resend {
                    settled.end = settled.end.for_resend();
                }
                actions.push(Action::Tell(ticket, Command::Replay(settled)));
            }
        }
    }
}
