//! What a request's body tells a target to do.

use serde::{Deserialize, Serialize};

/// A body, as JSON. Fields that are left out take their default.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Prompt {
    /// Tokens that an engine generates.
    pub tokens: u64,
    /// Milliseconds that a plain service takes, `None` for its usual time.
    pub ms: Option<u64>,
    /// Crashes the target half-way.
    pub crash: bool,
    /// Ends with an error of the target.
    pub fail: bool,
    /// Comes back in the answer.
    pub text: String,
}

impl Prompt {
    /// Creates the prompt of an answer of `tokens` tokens.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self {
            tokens,
            ..Self::default()
        }
    }

    /// Creates the prompt of a call that takes `ms` milliseconds.
    #[must_use]
    pub fn call(ms: u64) -> Self {
        Self {
            ms: Some(ms),
            ..Self::default()
        }
    }

    /// Sets the text that comes back in the answer.
    #[must_use]
    pub fn with_text(mut self, text: &str) -> Self {
        text.clone_into(&mut self.text);
        self
    }

    /// Makes the request crash its target.
    #[must_use]
    pub fn with_crash(mut self) -> Self {
        self.crash = true;
        self
    }

    /// Makes the request fail.
    #[must_use]
    pub fn with_failure(mut self) -> Self {
        self.fail = true;
        self
    }

    /// Returns the body.
    ///
    /// # Panics
    ///
    /// Panics if the prompt cannot be encoded, which none does.
    #[must_use]
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).expect("prompts always encode")
    }

    /// Returns the text of the token with an index, as an engine makes it.
    #[must_use]
    pub fn token(&self, index: u64) -> String {
        format!("{}{index} ", self.text)
    }

    /// Returns the answer of a plain service.
    #[must_use]
    pub fn answer(&self) -> String {
        serde_json::json!({ "text": self.text }).to_string()
    }
}
