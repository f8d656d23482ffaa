//! What experiments on a router fleet are made of: a fleet of real router
//! processes over stand-ins, callers, load, audits and reports.
//!
//! Each experiment is a file of its own in [`experiments`].

pub mod audit;
pub mod body;
pub mod caller;
pub mod capacity;
pub mod child;
pub mod clock;
pub mod contention;
pub mod deployment;
pub mod error;
pub mod experiments;
pub mod fleet;
pub mod links;
pub mod ports;
pub mod process;
pub mod replay;
pub mod report;
pub mod sockets;
pub mod traffic;
pub mod workload;
