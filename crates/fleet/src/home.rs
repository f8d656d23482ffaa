//! Which routers are responsible for a workspace, a runner or a claim shard.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_wire::exchange::Member;
use smallvec::SmallVec;

/// Home routers of a workspace, the first choice first.
pub type Homes = SmallVec<[Instance; 2]>;

/// Returns the `count` home routers of `workspace` among `members`, the one of
/// the highest rank first, fewer if there are not so many.
#[must_use]
pub fn homes<'a>(
    workspace: &Workspace,
    count: u32,
    members: impl IntoIterator<Item = &'a Member>,
) -> Homes {
    let mut ranked: Vec<(Reverse<u64>, &Instance)> = members
        .into_iter()
        .map(|member| &member.instance)
        .map(|name| {
            (
                Reverse(rank::score(workspace.as_str(), name.as_str())),
                name,
            )
        })
        .collect();
    ranked.sort();
    ranked
        .into_iter()
        .take(count.max(1) as usize)
        .map(|(_, instance)| instance.clone())
        .collect()
}

/// Returns the router that hands out the slots of `runner`.
#[must_use]
pub fn owner<'a>(
    runner: &Runner,
    members: impl IntoIterator<Item = &'a Member>,
) -> Option<Instance> {
    first(runner.as_str(), members)
}

/// Returns the router that writes `shard` of the claim log.
#[must_use]
pub fn writer<'a>(shard: u32, members: impl IntoIterator<Item = &'a Member>) -> Option<Instance> {
    first(&format!("claims/{shard}"), members)
}

fn first<'a>(item: &str, members: impl IntoIterator<Item = &'a Member>) -> Option<Instance> {
    let instances = members.into_iter().map(|member| &member.instance);
    rank::first(item, instances).cloned()
}

/// The responsibilities under one set of serving routers, worked out once for
/// each item until the set changes.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    members: Vec<Member>,
    homes: BTreeMap<(Workspace, u32), Homes>,
    owners: BTreeMap<Runner, Option<Instance>>,
    writers: BTreeMap<u32, Option<Instance>>,
}

impl Cache {
    /// Creates a cache over no routers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the serving routers and returns whether their set has changed. Only
    /// then are earlier results dropped.
    pub fn update<'a>(&mut self, members: impl IntoIterator<Item = &'a Member>) -> bool {
        let members: Vec<&Member> = members.into_iter().collect();
        let same = members.len() == self.members.len()
            && members
                .iter()
                .zip(&self.members)
                .all(|(new, old)| new.instance == old.instance);
        if same {
            return false;
        }
        *self = Cache {
            members: members.into_iter().cloned().collect(),
            ..Cache::default()
        };
        true
    }

    /// Returns the home routers of a workspace; see [`homes`].
    pub fn homes(&mut self, workspace: &Workspace, count: u32) -> &Homes {
        let members = &self.members;
        self.homes
            .entry((workspace.clone(), count))
            .or_insert_with(|| homes(workspace, count, members))
    }

    /// Returns the router that hands out the slots of a runner.
    pub fn owner(&mut self, runner: &Runner) -> Option<&Instance> {
        let members = &self.members;
        self.owners
            .entry(runner.clone())
            .or_insert_with(|| owner(runner, members))
            .as_ref()
    }

    /// Returns the router that writes a shard of the claim log.
    pub fn writer(&mut self, shard: u32) -> Option<&Instance> {
        let members = &self.members;
        self.writers
            .entry(shard)
            .or_insert_with(|| writer(shard, members))
            .as_ref()
    }
}
