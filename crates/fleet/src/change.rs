//! Changes of the configuration by operators, who may race each other.
//!
//! A change is written on the condition that the version it was made from is
//! still the current one. When the answer to the write is lost, the id of the
//! change tells whether it took effect.

use balsamchute_wire::config::{Document, MAX_PAST};

/// What the platform's current document says about a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It took effect and is the current version.
    Applied(u64),
    /// It took effect and a later change has replaced it.
    Replaced,
    /// It has not taken effect; the same write may be sent again.
    Open,
    /// Another change came first; this one can no longer take effect.
    Lost,
}

/// Returns the document that puts `text` in place of `base`.
#[must_use]
pub fn next(base: &Document, id: &str, author: &str, text: &str) -> Document {
    let first = (base.version > 0).then(|| base.change.clone());
    let past = first.into_iter().chain(base.past.iter().cloned());
    Document {
        version: base.version + 1,
        change: id.to_owned(),
        author: author.to_owned(),
        text: text.to_owned(),
        past: past.take(MAX_PAST).collect(),
    }
}

/// Settles what became of `change`, made by [`next`], from the current document.
#[must_use]
pub fn settle(change: &Document, current: &Document) -> Verdict {
    if current.change == change.change && current.version > 0 {
        Verdict::Applied(current.version)
    } else if current.past.contains(&change.change) {
        Verdict::Replaced
    } else if current.version < change.version {
        Verdict::Open
    } else {
        Verdict::Lost
    }
}
