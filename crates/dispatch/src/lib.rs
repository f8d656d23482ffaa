//! State machine of one router: maps events to actions.
//!
//! [`dispatcher::Dispatcher`] holds the complete state of a router and does no
//! I/O, reads no clock and starts no thread. The process around it turns socket
//! activity into [`event::Event`]s and carries out [`event::Action`]s.
//!
//! - routing chooses the router that queues a request;
//! - claims guard non-idempotent requests before they are queued;
//! - slots of runners are granted to the queue with the lowest virtual time;
//! - peers exchange membership, summaries and loans.

pub mod deadline;
pub mod dispatcher;
pub mod event;
pub mod settings;
pub mod trail;
pub mod view;

mod arrival;
mod drain;
mod finish;
mod keyed;
mod limits;
mod peers;
mod request;
mod service;
mod setup;
mod slots;
mod suspects;
