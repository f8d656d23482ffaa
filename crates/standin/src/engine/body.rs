//! Bodies of calls to an engine.

use serde::Deserialize;

/// An order that the engine took.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Loads a model.
    Load(String),
    /// Unloads a model.
    Unload(String),
    /// Changes its role.
    Role(String),
}

#[derive(Deserialize)]
/// An order with its fencing number.
pub(super) struct Numbered {
    pub fence: u64,
    pub order: Order,
}

#[derive(Deserialize)]
/// A request to generate.
pub(super) struct Generate {
    pub attempt: String,
    pub workspace: String,
    pub request: String,
    pub key: Option<String>,
    pub prefix: Option<String>,
    pub fence: Option<u64>,
    pub prompt: String,
}
