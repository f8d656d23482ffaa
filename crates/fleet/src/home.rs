//! Assignment of workspaces and runners to routers by rendezvous hashing. The dispatcher
//! ranks the writers of claim shards itself.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_wire::exchange::Member;
use smallvec::SmallVec;

/// Home routers of a workspace, highest rank first.
pub type Homes = SmallVec<[Instance; 2]>;

/// Returns the `count` home routers of `workspace` among `members`, highest rank
/// first. There is at least one unless `members` is empty, and fewer than `count`
/// if there are not enough members.
#[must_use]
pub fn homes<'a>(
    workspace: &Workspace,
    count: u32,
    members: impl IntoIterator<Item = &'a Member>,
) -> Homes {
    let mut ranked: Vec<(Reverse<u64>, &Instance)> = members
        .into_iter()
        .map(|member| &member.instance)
        .map(|instance| {
            (
                Reverse(rank::score(workspace.as_str(), instance.as_str())),
                instance,
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

/// Returns the router that owns `runner` and lends its slots.
#[must_use]
pub fn owner<'a>(
    runner: &Runner,
    members: impl IntoIterator<Item = &'a Member>,
) -> Option<Instance> {
    highest_ranked(runner.as_str(), members)
}

/// Returns the member with the highest rendezvous score for `item`, the name of a
/// runner.
fn highest_ranked<'a>(
    item: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Option<Instance> {
    let instances = members.into_iter().map(|member| &member.instance);
    rank::highest(item, instances).cloned()
}

/// Caches the assignments for one set of serving routers. An assignment is
/// computed on first use and kept until the set changes.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    members: Vec<Member>,
    homes: BTreeMap<(Workspace, u32), Homes>,
    owners: BTreeMap<Runner, Option<Instance>>,
}

impl Cache {
    /// Creates a cache for an empty set of routers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the serving routers and returns whether their set of instances
    /// changed. Cached assignments are dropped only if it did.
    pub fn update<'a>(&mut self, members: impl IntoIterator<Item = &'a Member>) -> bool {
        let members: Vec<&Member> = members.into_iter().collect();
        let is_same = members.len() == self.members.len()
            && members
                .iter()
                .zip(&self.members)
                .all(|(new, old)| new.instance == old.instance);
        if is_same {
            return false;
        }
        *self = Cache {
            members: members.into_iter().cloned().collect(),
            ..Cache::default()
        };
        true
    }

    /// Returns the home routers of a workspace, see [`homes`].
    pub fn homes(&mut self, workspace: &Workspace, count: u32) -> &Homes {
        let members = &self.members;
        self.homes
            .entry((workspace.clone(), count))
            .or_insert_with(|| homes(workspace, count, members))
    }

    /// Returns the owner of a runner, see [`owner`].
    pub fn owner(&mut self, runner: &Runner) -> Option<&Instance> {
        let members = &self.members;
        self.owners
            .entry(runner.clone())
            .or_insert_with(|| owner(runner, members))
            .as_ref()
    }
}
