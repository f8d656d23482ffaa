//! The router process: sockets, threads and a `stakker` actor around the
//! decisions of `balsamchute_dispatch`.
//!
//! One thread runs the actor (module `node`), which alone touches the state. Threads
//! that serve callers, other routers and the platform send it inputs and get
//! commands back. A request has one thread from its arrival to its end.

pub mod hooks;
pub mod settings;

mod answer;
mod attempt;
mod callers;
mod cancel;
mod claims;
mod error;
mod forward;
mod inner;
mod input;
mod listen;
mod node;
mod outcome;
mod peers;
mod poll;
mod run;
mod serve;
mod traffic;
mod work;

pub use error::Error;
pub use serve::serve;
