//! Choice of the runner for a request.

use std::collections::BTreeSet;

use balsamchute_base::rank;
use balsamchute_model::prelude::*;
use indexmap::IndexMap;

use crate::action::Rationale;
use crate::notice::Notices;
use crate::pending::Pending;
use crate::rate::Rates;
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
    pub rates: &'a Rates,
    pub engine: Option<&'a balsamchute_model::manifest::Engine>,
}

impl Selector<'_> {
    /// Chooses the runner with the lowest estimated time to the first event,
    /// penalties included, among those that `usable` admits.
    pub fn choose<F>(&self, pending: &Pending, priority: Priority, usable: F) -> Choice
    where
        F: Fn(&Target) -> bool,
    {
        let is_candidate = |target: &&Target| {
            target.entry.service == pending.request.service
                && pending.fits(&target.entry.software)
                && self.is_open(target)
                && usable(target)
        };
        let ready: Vec<&Target> = self.targets.values().filter(is_candidate).collect();
        let is_untried = |target: &&&Target| !pending.tried.contains(&target.entry.runner);
        let mut candidates: Vec<&Target> = ready.iter().filter(is_untried).copied().collect();
        if candidates.is_empty() && pending.possible_runs == 0 {
            candidates = ready;
        }
        if candidates.is_empty() {
            return Choice::NoRunner;
        }
        let healthy: Vec<&Target> = candidates
            .iter()
            .filter(|target| !target.is_ejected(self.now))
            .copied()
            .collect();
        // If most of the runners are ejected, the cause is probably not the
        // runners alone; ejections are ignored then.
        if healthy.len() * 2 >= candidates.len() {
            candidates = healthy;
        }
        self.choose_best(pending, priority, &candidates)
    }

    /// Returns whether a runner accepts requests of this router now.
    fn is_open(&self, target: &Target) -> bool {
        is_available(target, self.notices, self.evacuated)
            && self.notices.paused_until(self.now, &target.entry).is_none()
    }

    fn choose_best(&self, pending: &Pending, priority: Priority, candidates: &[&Target]) -> Choice {
        let prompt = pending.request.prompt.as_ref();
        let with_load = candidates
            .iter()
            .map(|target| (*target, target.load(self.now)));
        let available: Vec<(&Target, Load)> = with_load
            .filter(|(target, load)| self.has_capacity(target, load, prompt, priority))
            .collect();
        if available.is_empty() {
            return Choice::Full;
        }
        let home_runners = prompt.map_or([None, None], |prompt| home_runners(prompt, candidates));
        let mut best: Option<(f64, &Target, Rationale)> = None;
        for (target, load) in available {
            let mut rationale = Rationale {
                within_share: priority == Priority::WithinShare,
                running: load.running,
                queued_prefill_tokens: load.prefill_tokens,
                ..Rationale::default()
            };
            let estimate_ms = match prompt {
                Some(prompt) => {
                    rationale.prefill_tokens = prefill_tokens(prompt, target, &home_runners);
                    rationale.shared_prefill_tokens =
                        shared_prefill_tokens(prompt, target, &home_runners) as u64;
                    rationale.prefix_digest = prompt
                        .shareable_parts()
                        .last()
                        .map_or(0, |part| part.prefix_digest);
                    (load.prefill_tokens + rationale.prefill_tokens) as f64 / PREFILL_TOKENS_PER_MS
                        * target.slowdown()
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
            let score = estimate_ms + recompute_ms + self.penalty(target, &load);
            if best.is_none_or(|(lowest, ..)| score < lowest) {
                best = Some((score, target, rationale));
            }
        }
        best.map_or(Choice::Full, |(_, target, rationale)| Choice::Runner {
            runner: target.entry.runner.clone(),
            rationale,
        })
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
        let slots = f64::from(target.entry.slots);
        let Some(prompt) = prompt else {
            return f64::from(load.running) < slots;
        };
        let (max_slot_share, max_prefill_tokens) = match priority {
            Priority::WithinShare => (MAX_SLOT_SHARE, MAX_PREFILL_TOKENS),
            Priority::Behind => (BEHIND_SLOT_SHARE, BEHIND_PREFILL_TOKENS),
            Priority::Surplus => (IDLE_SLOT_SHARE, IDLE_PREFILL_TOKENS),
            Priority::Ahead => (AHEAD_SLOT_SHARE, IDLE_PREFILL_TOKENS),
        };
        let kv_capacity = self
            .engine
            .map_or(u64::MAX, |engine| engine.kv_cache_tokens);
        let needed_tokens =
            u64::from(prompt.input_tokens) + u64::from(prompt.expected_output_tokens());
        // A request is accepted at a runner without others whatever its KV size.
        let fits_kv_cache = ((load.kv_tokens + needed_tokens) as f64)
            < kv_capacity as f64 * MAX_KV_SHARE
            || load.running == 0;
        f64::from(load.running) < slots * max_slot_share
            && load.prefill_tokens <= max_prefill_tokens
            && fits_kv_cache
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

/// Returns the two runners with the highest rendezvous scores for the prompt's
/// shared parts.
fn home_runners<'a>(prompt: &Prompt, candidates: &[&'a Target]) -> [Option<&'a Runner>; 2] {
    let Some(last) = prompt.shareable_parts().last() else {
        return [None, None];
    };
    let item = last.prefix_digest.to_le_bytes();
    let mut first: Option<(u64, &Runner)> = None;
    let mut second: Option<(u64, &Runner)> = None;
    for target in candidates {
        let runner = &target.entry.runner;
        let score = rank::score_bytes(&item, runner.as_str());
        if first.is_none_or(|(highest, _)| score > highest) {
            second = first.replace((score, runner));
        } else if second.is_none_or(|(highest, _)| score > highest) {
            second = Some((score, runner));
        }
    }
    [
        first.map(|(_, runner)| runner),
        second.map(|(_, runner)| runner),
    ]
}

/// Returns the prompt tokens that the runner probably has to prefill, at least
/// 1.
fn prefill_tokens(prompt: &Prompt, target: &Target, home_runners: &[Option<&Runner>; 2]) -> u64 {
    let cached_tokens = cached_tokens(prompt, target, home_runners);
    u64::from(prompt.input_tokens.saturating_sub(cached_tokens as u32)).max(1)
}

/// Returns the tokens of shareable parts that the runner probably has to prefill.
fn shared_prefill_tokens(
    prompt: &Prompt,
    target: &Target,
    home_runners: &[Option<&Runner>; 2],
) -> f64 {
    (shared_tokens(prompt) - cached_tokens(prompt, target, home_runners)).max(0.0)
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
fn cached_tokens(prompt: &Prompt, target: &Target, home_runners: &[Option<&Runner>; 2]) -> f64 {
    let shared_tokens = shared_tokens(prompt);
    let mut cached_tokens = f64::from(target.cache.cached_tokens(prompt));
    for (home_runner, cached_share) in home_runners.iter().zip(HOME_CACHED_SHARES) {
        if *home_runner == Some(&target.entry.runner) {
            cached_tokens = cached_tokens.max(shared_tokens * cached_share);
        }
    }
    cached_tokens
}
