//! Rendezvous hashing, which assigns items to candidates.

use xxhash_rust::xxh3::Xxh3Default;

/// Returns the score of `candidate` for `item`. The candidate with the highest
/// score is responsible for the item.
#[must_use]
pub fn score(item: &str, candidate: &str) -> u64 {
    score_bytes(item.as_bytes(), candidate)
}

/// Returns the score of `candidate` for an item identified by bytes, see
/// [`score`].
#[must_use]
pub fn score_bytes(item: &[u8], candidate: &str) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(item);
    // Separates the item from the candidate's name, which contains no zero byte.
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Returns the candidate with the highest score for `item`, which is responsible for
/// it, or `None` without candidates. Of equal scores, the
/// candidate with the greatest name wins.
///
/// The result depends only on the set of candidates, not on their order, so all
/// processes with the same set agree. If a candidate is removed, only the items
/// assigned to it move.
pub fn highest<'a, T, I>(item: &str, candidates: I) -> Option<&'a T>
where
    T: AsRef<str> + ?Sized + 'a,
    I: IntoIterator<Item = &'a T>,
{
    candidates
        .into_iter()
        .max_by_key(|candidate| (score(item, (*candidate).as_ref()), (*candidate).as_ref()))
}
