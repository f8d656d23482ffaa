//! Router process of a fleet: sockets, threads and a `stakker` actor around the
//! decisions of `balsamchute_dispatch`.
//!
//! One thread runs the actor (module `node`) and is the only one that accesses
//! the state. The threads that serve callers, serve other routers and call the
//! platform send inputs to the actor and receive commands from it. Each request
//! is served by one thread from its arrival to its end.

pub mod hooks;
pub mod settings;

mod answer;
mod body;
mod callers;
mod cancel;
mod claims;
mod context;
mod error;
mod forward;
mod http;
mod inner;
mod input;
mod listen;
mod node;
mod outcome;
mod peers;
mod poll;
mod request;
mod run;
mod serve;
mod traffic;

pub use error::Error;
pub use listen::Sockets;
pub use serve::{serve, serve_on};
