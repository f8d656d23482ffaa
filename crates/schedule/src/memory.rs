//! Memory that callers make a router hold, and which of them give way when it is used up.
//!
//! Answers crowds of callers that send large bodies and stop short of their end, that send
//! heads without an end, or that read no answers. One account counts all of it. Larger bodies
//! are admitted before they are read, and may use a part of it only, so that small requests
//! are served beside any crowd; one workspace may use a part of that, so that the others can
//! send large bodies as well. What makes no progress gives way first, and nobody waits for
//! memory: a request that finds none is refused.

use balsamchute_model::prelude::*;
use smallvec::SmallVec;

/// Bytes up to which a body is small. It is counted as it arrives, and not admitted first.
pub const MAX_SMALL_BYTES: usize = 128 * 1024;

/// Share of the process's memory that callers may make it hold.
const ACCOUNT_SHARE: f64 = 0.3;

/// Share of the account that larger bodies may use.
const LARGE_SHARE: f64 = 0.75;

/// Share of the memory for larger bodies that those of one workspace may use.
const WORKSPACE_SHARE: f64 = 0.75;

/// Time without progress after which a caller counts as stalled, and a larger body gives way
/// to another one.
pub const STALL_TIME: Span = Span::from_secs(1);

/// Bytes per millisecond below which a caller falls behind. At this rate the largest body of
/// the sheets takes as long as an upload may take in all.
const MIN_RATE: u64 = 64;

/// Progress of a caller that sends a request or reads an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Time of the last bytes.
    at: Time,
    /// Time by which the caller is behind [`MIN_RATE`]. Bytes ahead of it are not credited, so
    /// that a burst does not pay for a stop.
    behind: Span,
}

impl Progress {
    /// Creates the progress of a caller that begins now.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Progress {
            at: now,
            behind: Span(0),
        }
    }

    /// Records that bytes were received from the caller, or sent to it.
    pub fn record(&mut self, now: Time, bytes: usize) {
        let due = self.behind + now.since(self.at);
        self.behind = due.saturating_sub(Span(bytes as u64 / MIN_RATE));
        self.at = now;
    }

    /// Returns the time of the last bytes.
    #[must_use]
    pub fn last(&self) -> Time {
        self.at
    }

    /// Returns the time by which the caller is behind the lowest rate.
    #[must_use]
    pub fn stalled(&self, now: Time) -> Span {
        self.behind + now.since(self.at)
    }
}

/// What one connection or one request in progress makes the router hold.
#[derive(Clone, Copy, Debug)]
pub struct Holding<'a> {
    /// Index of the caller's connection.
    pub index: usize,
    /// Bytes that are held or admitted.
    pub bytes: usize,
    /// Workspace of a larger body; `None` without an API key, and for all else.
    pub workspace: Option<&'a Workspace>,
    /// Time without progress; `None` if it does not give way, as with requests in progress.
    pub stalled: Option<Span>,
}

/// A larger body that asks for memory.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Index of the caller's connection.
    pub index: usize,
    /// Workspace of the request; `None` without an API key.
    pub workspace: Option<&'a Workspace>,
    /// Bytes of the body in all, as far as they are known.
    pub bytes: usize,
}

/// Account of the memory that callers make a router hold.
#[derive(Clone, Debug)]
pub struct Account {
    limit: usize,
    held: usize,
}

impl Account {
    /// Creates the account of a process that is killed above `memory_bytes`.
    #[must_use]
    pub fn new(memory_bytes: u64) -> Self {
        Account {
            limit: (memory_bytes as f64 * ACCOUNT_SHARE) as usize,
            held: 0,
        }
    }

    /// Replaces what one holder holds, `before` bytes, by `after` bytes.
    pub fn update(&mut self, before: usize, after: usize) {
        self.held = self.held.saturating_sub(before) + after;
    }

    /// Returns the bytes that all callers make the router hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the bytes by which the account would be exceeded with `more` bytes.
    #[must_use]
    pub fn excess(&self, more: usize) -> usize {
        (self.held + more).saturating_sub(self.limit)
    }

    /// Returns the connections that give way so that `more` bytes fit, the ones that stalled
    /// longest first. If they are not enough, all that can give way are returned, but never the
    /// `claimant` that the bytes are for.
    #[must_use]
    pub fn give_way(
        &self,
        more: usize,
        claimant: Option<usize>,
        holdings: &[Holding<'_>],
    ) -> Vec<usize> {
        let mut chosen = Choice::new(holdings, Span(0));
        chosen.free(self.excess(more), |holding| Some(holding.index) != claimant);
        chosen.indices.into_vec()
    }

    /// Returns the connections that give way so that a larger body may be read, or `None` if
    /// it is refused. `holdings` are those of all callers.
    #[must_use]
    pub fn admit(
        &self,
        claim: &Claim<'_>,
        holdings: &[Holding<'_>],
    ) -> Option<SmallVec<[usize; 4]>> {
        let own = |holding: &Holding<'_>| holding.workspace == claim.workspace;
        let present = holdings
            .iter()
            .filter(|holding| holding.index == claim.index)
            .map(|holding| holding.bytes)
            .sum::<usize>();
        let large = || {
            holdings
                .iter()
                .filter(|holding| holding.index != claim.index && is_large(holding))
        };
        let held_large: usize = large().map(|holding| holding.bytes).sum();
        let held_own: usize = large()
            .filter(|holding| own(holding))
            .map(|holding| holding.bytes)
            .sum();
        // A single body is admitted in calm, whatever its size.
        let large_limit = (self.limit as f64 * LARGE_SHARE) as usize;
        let workspace_limit = (large_limit as f64 * WORKSPACE_SHARE) as usize;
        let excess_own = (held_own + claim.bytes).saturating_sub(workspace_limit.max(claim.bytes));
        let excess_large = (held_large + claim.bytes).saturating_sub(large_limit.max(claim.bytes));
        let excess = self.excess(claim.bytes.saturating_sub(present));
        let mut chosen = Choice::new(holdings, STALL_TIME);
        let is_other = |holding: &Holding<'_>| holding.index != claim.index;
        let frees_own = chosen.free(excess_own, |holding| {
            is_other(holding) && is_large(holding) && own(holding)
        });
        let rest = excess_large.saturating_sub(chosen.freed);
        let frees_large = chosen.free(rest, |holding| is_other(holding) && is_large(holding));
        let rest = excess.saturating_sub(chosen.freed);
        let frees_all = chosen.free(rest, is_other);
        (frees_own && frees_large && frees_all).then_some(chosen.indices)
    }
}

fn is_large(holding: &Holding<'_>) -> bool {
    holding.bytes > MAX_SMALL_BYTES
}

/// Holdings that give way, chosen from those that have stalled longest on.
struct Choice<'a, 'b> {
    /// Holdings that are left, in descending order of the time without progress.
    left: Vec<&'a Holding<'b>>,
    indices: SmallVec<[usize; 4]>,
    freed: usize,
}

impl<'a, 'b> Choice<'a, 'b> {
    fn new(holdings: &'a [Holding<'b>], min_stall: Span) -> Self {
        let mut left: Vec<&Holding<'_>> = holdings
            .iter()
            .filter(|holding| holding.stalled.is_some_and(|stalled| stalled >= min_stall))
            .collect();
        left.sort_by_key(|holding| std::cmp::Reverse(holding.stalled));
        Choice {
            left,
            indices: SmallVec::new(),
            freed: 0,
        }
    }

    /// Chooses holdings of these kinds until `bytes` more are freed. Returns whether they are.
    fn free(&mut self, bytes: usize, may_choose: impl Fn(&Holding<'b>) -> bool) -> bool {
        let target = self.freed + bytes;
        let (indices, freed) = (&mut self.indices, &mut self.freed);
        self.left.retain(|holding| {
            let is_chosen = *freed < target && may_choose(holding);
            if is_chosen {
                indices.push(holding.index);
                *freed += holding.bytes;
            }
            !is_chosen
        });
        self.freed >= target
    }
}
