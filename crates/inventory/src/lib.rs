//! The operators' inventory and rules: what there is and who gets how much.

pub mod config;
