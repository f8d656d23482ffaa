//! The decisions of one router: events in, actions out.
//!
//! [`core::Core`] holds the whole state of a router and does no I/O, reads no
//! clock and starts no thread. The process around it turns what happens on
//! sockets into [`event::Event`]s and carries out [`event::Action`]s.
//!
//! - [`arrival`](core::Core) decides where a request is queued;
//! - claims guard non-idempotent requests before they are queued;
//! - slots of runners are granted to the queue that is furthest behind;
//! - peers exchange membership, summaries and loans.

pub mod core;
pub mod deadline;
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
