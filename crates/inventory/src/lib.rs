//! The operators' inventory and rules: which failure domains, services,
//! runners and workspaces exist, and which weight and limits each workspace
//! has.
//!
//! [`document`] parses them from YAML and reports every fault with its file
//! and line, [`config`] holds the validated result and [`diff`] compares two
//! configurations.

pub mod config;
pub mod diff;
pub mod document;
pub mod fault;

mod draft;
mod fields;
mod node;
