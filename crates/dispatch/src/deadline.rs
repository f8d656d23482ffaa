//! When an answer has to end so that its caller still hears of it.

use balsamchute_base::prelude::*;

/// Longest time that is kept back from a deadline for the answer's way.
const ANSWER_MARGIN: Span = Span(200);

/// Share of a short deadline that is kept back, as a divisor.
const ANSWER_SHARE: u64 = 10;

/// Returns the time within which a request must have ended here, so that its
/// caller hears of it before giving up.
#[must_use]
pub fn answer_by(deadline: Span) -> Span {
    let share = Span(deadline.as_millis() / ANSWER_SHARE);
    deadline.saturating_sub(share.min(ANSWER_MARGIN))
}
