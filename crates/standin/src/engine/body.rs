//! Request bodies of an engine's API.

use serde::Deserialize;

/// Order to change the models or the role of an engine.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Loads the named model.
    Load(String),
    /// Unloads the named model.
    Unload(String),
    /// Changes the role of the engine. The stand-in only records it.
    Role(String),
}

/// Order with its fencing number.
#[derive(Deserialize)]
pub(super) struct FencedOrder {
    pub fence: u64,
    pub order: Order,
}

/// Request to generate tokens.
#[derive(Deserialize)]
pub(super) struct Generation {
    pub attempt: String,
    pub workspace: String,
    pub request: String,
    pub key: Option<String>,
    /// Name of the prompt prefix, for the cache.
    pub prefix: Option<String>,
    /// Fencing number of the attempt.
    pub fence: Option<u64>,
    /// Prompt as JSON text.
    pub prompt: String,
}
