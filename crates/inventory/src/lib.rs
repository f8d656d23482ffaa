//! The operators' inventory and rules: what there is and who gets how much.
//!
//! [`document`] reads them from YAML and reports every fault with its place,
//! [`config`] is the checked result and [`diff`] compares two of them.

pub mod config;
pub mod diff;
pub mod document;
pub mod fault;

mod draft;
mod fields;
mod node;
