//! Fair queueing of requests and lending of slots: pure decision logic.
//!
//! The crate does no I/O and reads neither clocks nor random numbers. Callers
//! pass the time as [`Time`](balsamchute_base::time::Time), and equal sequences
//! of events lead to equal decisions.

pub mod bound;
pub mod estimate;
pub mod lender;
pub mod limit;
pub mod pool;
pub mod queue;
pub mod virtual_time;
