//! Time reserved from a deadline for the delivery of the answer.

use balsamchute_base::prelude::*;

/// Longest time reserved from a deadline for delivering the answer.
const MAX_ANSWER_MARGIN: Span = Span(200);

/// Divisor that gives the reserved share of a short deadline.
const ANSWER_MARGIN_DIVISOR: u64 = 10;

/// Returns the time within which a request must end at the router, so that its
/// caller receives the end before giving up.
#[must_use]
pub fn answer_budget(deadline: Span) -> Span {
    let margin = Span(deadline.as_millis() / ANSWER_MARGIN_DIVISOR);
    deadline.saturating_sub(margin.min(MAX_ANSWER_MARGIN))
}
