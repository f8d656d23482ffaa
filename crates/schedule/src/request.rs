//! A request as decisions see it.

use balsamchute_model::prelude::*;

/// What decisions need to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The service that it asks for.
    pub service: Service,
    /// Its kind: the name of its route.
    pub kind: String,
    /// Who it is for; `None` on public routes without a key.
    pub workspace: Option<Workspace>,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Whether its answer is an event stream.
    pub stream: bool,
    /// Size of a model request.
    pub prompt: Option<Prompt>,
    /// Time since its caller asked first, elsewhere or before a refusal.
    pub age: Span,
    /// Time from the first asking within which the answer is on time.
    pub aim: Span,
    /// Longest pause between events of a stream that is on time.
    pub pause: Span,
    /// When it must have its final answer.
    pub deadline: Time,
    /// Runners that it may run on at most.
    pub attempts: u32,
    /// Digest of what it asks, the same when it is sent again.
    pub fingerprint: u128,
}

impl Request {
    /// Returns whether an answer can no longer be on time.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.age > self.aim
    }

    /// Returns its estimated cost: one for each token read and two for each
    /// token made, or one for a plain request.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.prompt.as_ref().map_or(1.0, |prompt| {
            f64::from(prompt.tokens_in) + 2.0 * f64::from(prompt.likely_out())
        })
    }
}
