//! Choice of the runner for a request.

use std::collections::BTreeSet;

use balsamchute_model::prelude::*;
use indexmap::IndexMap;

use crate::action::Rationale;
use crate::home::{self, Homes};
use crate::notice::Notices;
use crate::pending::Pending;
use crate::process::Naming;
use crate::rate::Rates;
use crate::round::{Candidate, Round};
use crate::runner::{Load, Target};

/// Prompt tokens that an engine prefills per millisecond, interleaved with the
/// decode steps of its other requests: a chunk of 1,024 tokens takes about 23
/// ms beside 40 running requests.
const PREFILL_TOKENS_PER_MS: f64 = 44.0;

/// Prompt tokens awaiting prefill up to which a runner accepts requests within
/// their workspace's share: about 200 ms of prefill, half of the shortest usual
/// latency target.
const MAX_PREFILL_TOKENS: u64 = 9_000;

/// Prompt tokens awaiting prefill up to which a runner counts as idle.
const IDLE_PREFILL_TOKENS: u64 = 0;

/// Share of the slots in use below which a runner accepts requests within their
/// workspace's share.
const MAX_SLOT_SHARE: f64 = 0.9;

/// Share of the slots in use below which a runner counts as idle: it accepts
/// requests beyond their workspace's share.
const IDLE_SLOT_SHARE: f64 = 0.4;

/// Share of the slots in use below which a runner accepts requests of
/// workspaces that are behind others. It exceeds the limit of an idle runner,
/// so that some slots are left to these workspaces.
const BEHIND_SLOT_SHARE: f64 = 0.6;

/// Prompt tokens awaiting prefill up to which a runner accepts requests of
/// workspaces that are behind others: one usual prompt, 50 ms of prefill.
const BEHIND_PREFILL_TOKENS: u64 = 2_200;

/// Share of the slots in use below which a runner accepts requests of
/// workspaces that are ahead of others. It is below the limit of an idle runner.
const AHEAD_SLOT_SHARE: f64 = 0.2;

/// Share of a runner's KV cache that running requests may occupy. The rest
/// holds cached prompt parts and absorbs answers that are longer than expected.
const MAX_KV_SHARE: f64 = 0.7;

/// Expected cached share of a prompt's shared parts at the runners with the
/// highest and the second highest rendezvous score for them. Every router
/// prefers these two runners for such prompts.
const HOME_CACHED_SHARES: [f64; 2] = [0.9, 0.4];

/// Penalty in milliseconds for each token of a shared part that a runner has to
/// prefill although another runner has probably cached it. Prefilling it twice
/// costs the fleet more than a wait within the latency target.
const RECOMPUTE_MS_PER_TOKEN: f64 = 0.3;

/// Tokens of shared parts that a request beyond its workspace's share may make
/// a runner prefill again.
const MAX_SURPLUS_RECOMPUTE_TOKENS: u64 = 600;

/// Penalty in milliseconds for a runner with all slots in use, in proportion
/// below that, and in full for one that is warming up. It breaks ties among
/// runners with nothing to prefill.
const FULL_RUNNER_PENALTY_MS: f64 = 40.0;

/// Penalty in milliseconds for a runner in another failure domain.
const REMOTE_DOMAIN_PENALTY_MS: f64 = 8.0;

/// Assumed duration of a plain request in milliseconds; used only to compare
/// runners.
const PLAIN_REQUEST_MS: f64 = 40.0;

/// Priority of a request, which decides how loaded a runner may be to take it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Priority {
    /// The workspace is below its fair share.
    WithinShare,
    /// The workspace has used its fair share of the capacity, but was served
    /// clearly less than its share of all served cost, see
    /// [`Shares::is_behind`](crate::share::Shares::is_behind). Its requests may
    /// go to runners that are too loaded for `Surplus` and `Ahead`.
    Behind,
    /// The workspace has used its fair share; only idle runners accept the
    /// request.
    Surplus,
    /// As [`Priority::Surplus`], and the workspace is ahead of others with
    /// unmet demand, perhaps at other routers. Idle capacity goes to those
    /// first.
    Ahead,
}

impl Priority {
    /// Number of priorities.
    pub const COUNT: usize = 4;

    /// All priorities, in the order of their numbers.
    pub const ALL: [Priority; Priority::COUNT] = [
        Priority::WithinShare,
        Priority::Behind,
        Priority::Surplus,
        Priority::Ahead,
    ];

    /// Returns whether a runner with this load accepts prompts of the priority, if they fit
    /// into its KV cache.
    pub fn admits(self, slots: u32, load: &Load) -> bool {
        let (max_slot_share, max_prefill_tokens) = match self {
            Priority::WithinShare => (MAX_SLOT_SHARE, MAX_PREFILL_TOKENS),
            Priority::Behind => (BEHIND_SLOT_SHARE, BEHIND_PREFILL_TOKENS),
            Priority::Surplus => (IDLE_SLOT_SHARE, IDLE_PREFILL_TOKENS),
            Priority::Ahead => (AHEAD_SLOT_SHARE, IDLE_PREFILL_TOKENS),
        };
        f64::from(load.running) < f64::from(slots) * max_slot_share
            && load.prefill_tokens <= max_prefill_tokens
    }
}

/// Result of the search for a runner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Choice {
    Runner {
        runner: Runner,
        rationale: Rationale,
    },
    /// Every eligible runner is at capacity for the priority, or would have to
    /// prefill too many shared tokens again.
    Full,
    /// No runner is eligible.
    NoRunner,
}

/// Returns whether a runner may get new attempts, by its entry, by what it said in answers
/// and by the evacuated domains. A pause that it asked for is a matter of time and is not
/// included. Every check of whether a runner is open asks this function.
pub(crate) fn is_available(
    target: &Target,
    notices: &Notices,
    evacuated: &BTreeSet<String>,
) -> bool {
    target.is_ready()
        && !notices.is_leaving(&target.entry)
        && !evacuated.contains(&target.entry.domain)
}

/// State of the fleet that the choice of a runner depends on.
pub(crate) struct Selector<'a> {
    pub now: Time,
    pub domain: &'a str,
    pub targets: &'a IndexMap<Runner, Target>,
    pub notices: &'a Notices,
    pub evacuated: &'a BTreeSet<String>,
    /// Whether the list of runners is current.
    pub is_current: bool,
    pub rates: &'a Rates,
    pub engine: Option<&'a balsamchute_model::manifest::Engine>,
}

impl Selector<'_> {
    /// Chooses the runner with the lowest estimated time to the first event,
    /// penalties included, among those that `usable` admits. Computes the home runners
    /// anew if `homes` is `None`.
    pub fn choose<F>(
        &self,
        pending: &Pending,
        priority: Priority,
        homes: Option<&mut Homes>,
        usable: F,
    ) -> Choice
    where
        F: Fn(&Target) -> bool,
    {
        let candidates = self.candidates(pending, usable);
        if candidates.is_empty() {
            return Choice::NoRunner;
        }
        let indices: Vec<usize> = candidates.iter().map(|candidate| candidate.index).collect();
        self.choose_best(pending, priority, candidates.into_iter(), &indices, homes)
            .unwrap_or(Choice::Full)
    }

    /// Chooses among the runners of a round, the same as [`Selector::choose`], for a
    /// request that was not tried and that any runner may take.
    pub fn choose_in(
        &self,
        round: &mut Round,
        pending: &Pending,
        priority: Priority,
        homes: &mut Homes,
    ) -> Choice {
        if round.is_empty() {
            return Choice::NoRunner;
        }
        let size = pending.request.prompt.as_ref().map(needed_tokens);
        if !round.may_have_room(priority, size) {
            return Choice::Full;
        }
        let candidates = round.candidates(priority, size.is_none());
        let choice = self.choose_best(pending, priority, candidates, round.indices(), Some(homes));
        if let (None, Some(size)) = (&choice, size) {
            round.record_full(priority, size);
        }
        choice.unwrap_or(Choice::Full)
    }

    /// Computes the state of a round for a service.
    pub fn round<'b>(&'b self, service: &'b Service) -> Round {
        let mut stable_until = Time(u64::MAX);
        let mut has_any_room = (false, false);
        let mut has_process = (false, false);
        let mut open = Vec::with_capacity(self.targets.len());
        let mut service = service;
        for (index, target) in self.targets.values().enumerate() {
            if target.entry.service != *service {
                continue;
            }
            service = &target.entry.service;
            let paused_until = self.notices.paused_until(self.now, &target.entry);
            stable_until = stable_until.min(target.next_change(self.now));
            stable_until = stable_until.min(paused_until.unwrap_or(stable_until));
            let load = target.load(self.now);
            has_any_room.0 |= load.running < target.entry.slots;
            has_any_room.1 |= Priority::WithinShare.admits(target.entry.slots, &load);
            has_process.0 |= target.has_unknown_version();
            has_process.1 |= self.has_known_version(target);
            if self.is_open(target) {
                open.push(Candidate { index, load });
            }
        }
        self.leave_out_ejected(&mut open);
        Round::new(
            open,
            |index| &self.targets[index],
            has_any_room,
            stable_until,
        )
        .with_processes(has_process.0, has_process.1)
    }

    /// Returns the runners that may take a request, in the order of the list.
    fn candidates<F>(&self, pending: &Pending, is_usable: F) -> Vec<Candidate>
    where
        F: Fn(&Target) -> bool,
    {
        let is_ready = |target: &Target| {
            target.entry.service == pending.request.service
                && pending.may_continue_at(target, self.is_current)
                && self.is_open(target)
                && is_usable(target)
        };
        let targets = self.targets.values().enumerate();
        let ready = targets.filter(|(_, target)| is_ready(target));
        let mut candidates: Vec<Candidate> = ready
            .map(|(index, target)| Candidate {
                index,
                load: target.load(self.now),
            })
            .collect();
        let is_untried = |candidate: &Candidate| {
            let target = &self.targets[candidate.index];
            !pending.tried.contains(&target.entry.runner)
        };
        if candidates.iter().any(is_untried) || pending.possible_runs > 0 {
            candidates.retain(is_untried);
        }
        if pending.software.is_some() {
            self.leave_out_doubtful(&mut candidates);
        }
        self.leave_out_ejected(&mut candidates);
        candidates
    }

    /// Leaves out runners of which a connection broke, so that their process may be another one
    /// than is listed, and which perhaps do not name its start, unless there are no others.
    fn leave_out_doubtful(&self, candidates: &mut Vec<Candidate>) {
        let is_certain = |candidate: &Candidate| {
            let target = &self.targets[candidate.index];
            target.naming() == Naming::Named || !(target.is_suspected() || target.is_in_doubt())
        };
        if candidates.iter().any(is_certain) {
            candidates.retain(is_certain);
        }
    }

    /// Leaves out ejected runners, except if most of them are: the cause is then probably
    /// not the runners alone.
    fn leave_out_ejected(&self, candidates: &mut Vec<Candidate>) {
        let is_healthy = |candidate: &Candidate| {
            let target = &self.targets[candidate.index];
            !target.is_ejected(self.now)
        };
        let healthy = candidates
            .iter()
            .filter(|candidate| is_healthy(candidate))
            .count();
        if healthy < candidates.len() && healthy * 2 >= candidates.len() {
            candidates.retain(is_healthy);
        }
    }

    /// Returns whether a runner accepts requests and runs a process of known version, as far as
    /// this router can tell.
    pub fn has_known_version(&self, target: &Target) -> bool {
        is_available(target, self.notices, self.evacuated)
            && !target.has_unknown_version()
            && !target.was_silent()
            && !target.is_gone()
            && !target.is_ejected(self.now)
    }

    /// Returns whether a runner accepts requests of this router now.
    fn is_open(&self, target: &Target) -> bool {
        is_available(target, self.notices, self.evacuated)
            && self.notices.paused_until(self.now, &target.entry).is_none()
    }

    /// Returns the best of the candidates, `Choice::Full` if all with room would have to
    /// prefill too many shared tokens again, or `None` if none has room. `indices` are those
    /// of all candidates, also of ones that have no room.
    fn choose_best(
        &self,
        pending: &Pending,
        priority: Priority,
        candidates: impl Iterator<Item = Candidate>,
        indices: &[usize],
        mut homes: Option<&mut Homes>,
    ) -> Option<Choice> {
        let prompt = pending.request.prompt.as_ref();
        let mut home_runners = None;
        let mut best: Option<(f64, &Target, Rationale)> = None;
        let mut has_room = false;
        for Candidate { index, load } in candidates {
            let target = &self.targets[index];
            if !self.has_capacity(target, &load, prompt, priority) {
                continue;
            }
            has_room = true;
            let penalty = self.penalty(target, &load);
            let mut rationale = Rationale {
                within_share: priority == Priority::WithinShare,
                running: load.running,
                queued_prefill_tokens: load.prefill_tokens,
                ..Rationale::default()
            };
            let estimate_ms = match prompt {
                Some(prompt) => {
                    // At least one token has to be prefilled.
                    let lowest_estimate = prefill_ms(load.prefill_tokens + 1, target);
                    if best.is_some_and(|(lowest, ..)| lowest_estimate + penalty >= lowest) {
                        continue;
                    }
                    let last = prompt.shareable_parts().last();
                    let home_runners = home_runners.get_or_insert_with(|| {
                        let service = &pending.request.service;
                        match (last, homes.as_deref_mut()) {
                            (None, _) => [None, None],
                            (Some(last), Some(homes)) => {
                                homes.select(self.targets, service, last.prefix_digest, indices)
                            }
                            (Some(last), None) => {
                                home::select_plainly(self.targets, last.prefix_digest, indices)
                            }
                        }
                    });
                    let cached_tokens = cached_tokens(prompt, target, index, home_runners);
                    rationale.prefill_tokens = prefill_tokens(prompt, cached_tokens);
                    rationale.shared_prefill_tokens =
                        (shared_tokens(prompt) - cached_tokens).max(0.0) as u64;
                    rationale.prefix_digest = last.map_or(0, |part| part.prefix_digest);
                    prefill_ms(load.prefill_tokens + rationale.prefill_tokens, target)
                }
                None => {
                    PLAIN_REQUEST_MS * f64::from(load.running + 1)
                        / f64::from(target.entry.slots.max(1))
                }
            };
            rationale.first_event_estimate = Span(estimate_ms as u64);
            if priority != Priority::WithinShare
                && rationale.shared_prefill_tokens > MAX_SURPLUS_RECOMPUTE_TOKENS
            {
                continue;
            }
            let recompute_ms = rationale.shared_prefill_tokens as f64 * RECOMPUTE_MS_PER_TOKEN;
            let score = estimate_ms + recompute_ms + penalty;
            if best.is_none_or(|(lowest, ..)| score < lowest) {
                best = Some((score, target, rationale));
            }
        }
        let chosen = best.map(|(_, target, rationale)| Choice::Runner {
            runner: target.entry.runner.clone(),
            rationale,
        });
        chosen.or(has_room.then_some(Choice::Full))
    }

    fn has_capacity(
        &self,
        target: &Target,
        load: &Load,
        prompt: Option<&Prompt>,
        priority: Priority,
    ) -> bool {
        if !self.rates.has_room(self.now, &target.entry) {
            return false;
        }
        let Some(prompt) = prompt else {
            return load.running < target.entry.slots;
        };
        let kv_capacity = self
            .engine
            .map_or(u64::MAX, |engine| engine.kv_cache_tokens);
        let needed_tokens = needed_tokens(prompt);
        // A request is accepted at a runner without others whatever its KV size.
        let fits_kv_cache = ((load.kv_tokens + needed_tokens) as f64)
            < kv_capacity as f64 * MAX_KV_SHARE
            || load.running == 0;
        priority.admits(target.entry.slots, load) && fits_kv_cache
    }

    fn penalty(&self, target: &Target, load: &Load) -> f64 {
        let slot_share = f64::from(load.running) / f64::from(target.entry.slots.max(1));
        let domain_penalty = match target.entry.domain == self.domain {
            true => 0.0,
            false => REMOTE_DOMAIN_PENALTY_MS,
        };
        let warming_penalty = if target.entry.warmup > Span(0) {
            FULL_RUNNER_PENALTY_MS
        } else {
            0.0
        };
        slot_share * FULL_RUNNER_PENALTY_MS + domain_penalty + warming_penalty
    }
}

/// Returns the tokens that a prompt and its expected answer take in a KV cache.
pub(crate) fn needed_tokens(prompt: &Prompt) -> u64 {
    u64::from(prompt.input_tokens) + u64::from(prompt.expected_output_tokens())
}

/// Returns the expected time in milliseconds in which a runner prefills the tokens.
fn prefill_ms(tokens: u64, target: &Target) -> f64 {
    tokens as f64 / PREFILL_TOKENS_PER_MS * target.slowdown()
}

/// Returns the prompt tokens that the runner probably has to prefill, at least
/// 1.
fn prefill_tokens(prompt: &Prompt, cached_tokens: f64) -> u64 {
    u64::from(prompt.input_tokens.saturating_sub(cached_tokens as u32)).max(1)
}

/// Returns the tokens of the prompt's shareable parts.
fn shared_tokens(prompt: &Prompt) -> f64 {
    prompt
        .shareable_parts()
        .iter()
        .map(|part| f64::from(part.tokens))
        .sum()
}

/// Returns the prompt tokens that the runner has probably cached.
fn cached_tokens(
    prompt: &Prompt,
    target: &Target,
    index: usize,
    home_runners: &[Option<usize>; 2],
) -> f64 {
    let shared_tokens = shared_tokens(prompt);
    let mut cached_tokens = f64::from(target.cache.cached_tokens(prompt));
    for (home_runner, cached_share) in home_runners.iter().zip(HOME_CACHED_SHARES) {
        if *home_runner == Some(index) {
            cached_tokens = cached_tokens.max(shared_tokens * cached_share);
        }
    }
    cached_tokens
}
