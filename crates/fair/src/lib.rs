//! Fair queueing of requests and lending of slots: pure decision logic.
//!
//! Nothing here reads a clock, a socket or a random number: time comes in as
//! [`Time`](balsamchute_base::time::Time) and the same events always lead to
//! the same decisions.

pub mod bound;
pub mod estimate;
pub mod lender;
pub mod limit;
pub mod order;
pub mod queue;
pub mod runner;
