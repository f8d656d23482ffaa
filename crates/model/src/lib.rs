//! Types that describe the inputs of a router at the edge of a platform: settings,
//! the manifest of routes and API keys, runner entries, and the declared size of
//! model requests.
//!
//! The types are independent of the platform's formats. The adapter in
//! `platform/` decodes documents into them; the scheduler in
//! `balsamchute-schedule` and the event loop in `balsamchute-edge` use them.

pub mod manifest;
pub mod prelude;
pub mod prompt;
pub mod revision;
pub mod runner;
pub mod settings;
