//! Home runners of prompt prefixes, ranked once for each prefix and set of runners.
//!
//! Answers the load of a router with many waiting requests: hashing every runner for every
//! request that is tried took more time than the rest of the choice.

use std::collections::{BTreeMap, HashMap};

use balsamchute_base::rank;
use balsamchute_model::prelude::*;
use indexmap::IndexMap;
use smallvec::SmallVec;

use crate::hash::NumberState;
use crate::runner::Target;

/// Runners that are kept for a prefix. The home runners are the first two of these that
/// may take a request; all are ranked again if fewer may.
const MAX_RANKED: usize = 8;

/// Prefixes that are kept for a service; beyond them all are dropped. Each takes about 100
/// bytes.
const MAX_PREFIXES: usize = 4096;

/// Indices of the runners with the highest scores, the highest first.
type Ranking = SmallVec<[u32; MAX_RANKED]>;

/// Rankings of the runners of each service, by the digest of the prefix.
#[derive(Clone, Debug, Default)]
pub(crate) struct Homes {
    by_service: BTreeMap<Service, HashMap<u64, Ranking, NumberState>>,
}

impl Homes {
    /// Drops all rankings, because the set of runners has changed.
    pub fn clear(&mut self) {
        self.by_service.clear();
    }

    /// Returns the indices of the two runners with the highest scores for the prefix among
    /// `candidates`, which are runners of the service in ascending order.
    pub fn select(
        &mut self,
        targets: &IndexMap<Runner, Target>,
        service: &Service,
        prefix_digest: u64,
        candidates: &[usize],
    ) -> [Option<usize>; 2] {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), HashMap::default());
        }
        let Some(rankings) = self.by_service.get_mut(service) else {
            return select_plainly(targets, prefix_digest, candidates);
        };
        if rankings.len() >= MAX_PREFIXES && !rankings.contains_key(&prefix_digest) {
            rankings.clear();
        }
        let ranking = rankings
            .entry(prefix_digest)
            .or_insert_with(|| rank_runners(targets, service, prefix_digest));
        let ranked = ranking.iter().map(|&index| index as usize);
        let mut homes = ranked.filter(|index| candidates.binary_search(index).is_ok());
        let selected = [homes.next(), homes.next()];
        let found = selected.iter().flatten().count();
        if found < candidates.len().min(2) {
            return select_plainly(targets, prefix_digest, candidates);
        }
        selected
    }
}

/// Returns the same as [`Homes::select`], without rankings that are kept.
pub(crate) fn select_plainly(
    targets: &IndexMap<Runner, Target>,
    prefix_digest: u64,
    candidates: &[usize],
) -> [Option<usize>; 2] {
    let item = prefix_digest.to_le_bytes();
    let mut first: Option<(u64, usize)> = None;
    let mut second: Option<(u64, usize)> = None;
    for &index in candidates {
        let score = rank::score_bytes(&item, targets[index].entry.runner.as_str());
        if first.is_none_or(|(highest, _)| score > highest) {
            second = first.replace((score, index));
        } else if second.is_none_or(|(highest, _)| score > highest) {
            second = Some((score, index));
        }
    }
    [
        first.map(|(_, index)| index),
        second.map(|(_, index)| index),
    ]
}

fn rank_runners(
    targets: &IndexMap<Runner, Target>,
    service: &Service,
    prefix_digest: u64,
) -> Ranking {
    let item = prefix_digest.to_le_bytes();
    let mut ranked: SmallVec<[(u64, u32); MAX_RANKED]> = SmallVec::new();
    for (index, target) in targets.values().enumerate() {
        if target.entry.service != *service {
            continue;
        }
        let score = rank::score_bytes(&item, target.entry.runner.as_str());
        // Of equal scores the first runner wins, as in `select_plainly`.
        let position = ranked.partition_point(|&(other, _)| other >= score);
        if position < MAX_RANKED {
            ranked.truncate(MAX_RANKED - 1);
            ranked.insert(position, (score, index as u32));
        }
    }
    ranked.into_iter().map(|(_, index)| index).collect()
}
