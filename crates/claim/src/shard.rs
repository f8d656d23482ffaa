//! Shards of the claim log.

use balsamchute_base::digest::Hasher;
use balsamchute_base::prelude::*;

/// Number of shards. Part of the stored format: with another number, a key
/// maps to a shard whose log does not hold its claim.
pub const SHARDS: u32 = 32;

/// Returns the shard that holds the claims of `key` in `workspace`.
#[must_use]
pub fn shard_of(workspace: &Workspace, key: &Key) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(workspace.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_str().as_bytes());
    (hasher.digest().0 % u128::from(SHARDS)) as u32
}
