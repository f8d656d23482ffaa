//! What a router at the edge of a platform is told: its settings, the manifest
//! of routes and keys, the list of runners, and what a request says of itself.
//!
//! The types are free of any wire format. The adapter in `platform/` decodes
//! into them; the decisions in `balsamchute-schedule` and the event loop in
//! `balsamchute-edge` use them.

pub mod manifest;
pub mod prelude;
pub mod prompt;
pub mod runner;
pub mod settings;
