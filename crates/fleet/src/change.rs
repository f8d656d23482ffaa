//! Conditional updates of the configuration by concurrent operators.
//!
//! A write succeeds only if the version that the change is based on is still
//! current. If the response to the write is lost, the change id in the current
//! document shows whether the change took effect.

use balsamchute_wire::config::{Document, MAX_PAST_CHANGES};

/// State of a change according to the platform's current document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The change took effect and is current, with this version.
    Applied(u64),
    /// The change took effect and has since been superseded.
    Superseded,
    /// The change has not taken effect; the same write may be retried.
    Pending,
    /// Another change was written first; this one can no longer take effect. A
    /// change that did take effect is also reported as a conflict once more than
    /// [`MAX_PAST_CHANGES`] changes have followed it.
    Conflict,
}

/// Returns the successor of `base` with the content `text`.
///
/// `id` identifies the change and has to be unique.
#[must_use]
pub fn successor(base: &Document, id: &str, author: &str, text: &str) -> Document {
    let base_change = (base.version > 0).then(|| base.change_id.clone());
    let past = base_change
        .into_iter()
        .chain(base.past_changes.iter().cloned());
    Document {
        version: base.version + 1,
        change_id: id.to_owned(),
        author: author.to_owned(),
        text: text.to_owned(),
        past_changes: past.take(MAX_PAST_CHANGES).collect(),
    }
}

/// Determines from the `current` document whether `change`, created by [`successor`],
/// took effect.
#[must_use]
pub fn resolve(change: &Document, current: &Document) -> Resolution {
    if current.change_id == change.change_id && current.version > 0 {
        Resolution::Applied(current.version)
    } else if current.past_changes.contains(&change.change_id) {
        Resolution::Superseded
    } else if current.version < change.version {
        Resolution::Pending
    } else {
        Resolution::Conflict
    }
}
