//! Request body that scripts the behaviour of a stand-in target.

use serde::{Deserialize, Serialize};

/// JSON body of a request. Omitted fields take their default values.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Prompt {
    /// Number of tokens that an engine generates.
    pub tokens: u64,
    /// Duration of a call to a plain service in milliseconds; `None` for the
    /// service's default.
    pub ms: Option<u64>,
    /// Whether the target crashes half-way through the request.
    pub crash: bool,
    /// Whether the request ends with an error of the target.
    pub fail: bool,
    /// Text that the target echoes in its response.
    pub text: String,
}

impl Prompt {
    /// Creates a prompt for which an engine generates `tokens` tokens.
    #[must_use]
    pub fn for_engine(tokens: u64) -> Self {
        Self {
            tokens,
            ..Self::default()
        }
    }

    /// Creates a prompt for a call to a plain service that takes `ms`
    /// milliseconds.
    #[must_use]
    pub fn for_plain(ms: u64) -> Self {
        Self {
            ms: Some(ms),
            ..Self::default()
        }
    }

    /// Sets the text that the target echoes in its response.
    #[must_use]
    pub fn with_text(mut self, text: &str) -> Self {
        text.clone_into(&mut self.text);
        self
    }

    /// Makes the target crash half-way through the request.
    #[must_use]
    pub fn with_crash(mut self) -> Self {
        self.crash = true;
        self
    }

    /// Makes the request end with an error of the target.
    #[must_use]
    pub fn with_failure(mut self) -> Self {
        self.fail = true;
        self
    }

    /// Returns the prompt encoded as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the prompt cannot be encoded, which does not happen for any
    /// value.
    #[must_use]
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).expect("prompts serialize to JSON")
    }

    /// Returns the text of the token at `index`, as an engine generates it.
    #[must_use]
    pub fn token_text(&self, index: u64) -> String {
        format!("{}{index} ", self.text)
    }

    /// Returns the response body of a plain service.
    #[must_use]
    pub fn response_body(&self) -> String {
        serde_json::json!({ "text": self.text }).to_string()
    }
}
