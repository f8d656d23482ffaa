//! Rendezvous hashing: which of several candidates is responsible for an item.

use xxhash_rust::xxh3::Xxh3Default;

/// Returns the score of `candidate` for `item`; the highest score is responsible.
#[must_use]
pub fn score(item: &str, candidate: &str) -> u64 {
    score_bytes(item.as_bytes(), candidate)
}

/// Returns the score of `candidate` for an item that is named by bytes.
#[must_use]
pub fn score_bytes(item: &[u8], candidate: &str) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(item);
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Returns the candidate responsible for `item`, `None` if there is none.
///
/// Every process that sees the same candidates returns the same one, in
/// whichever order they come. When a candidate leaves, only its items move.
pub fn first<'a, T, I>(item: &str, candidates: I) -> Option<&'a T>
where
    T: AsRef<str> + ?Sized + 'a,
    I: IntoIterator<Item = &'a T>,
{
    candidates
        .into_iter()
        .max_by_key(|candidate| (score(item, (*candidate).as_ref()), (*candidate).as_ref()))
}
