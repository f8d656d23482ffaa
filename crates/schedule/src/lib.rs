//! Scheduling decisions of a router at the edge: which request goes to which
//! runner, when, and how a failed attempt is handled.
//!
//! This package does no I/O and reads no clock: callers pass in events with the
//! current time and carry out the returned actions. The modules are [`share`]
//! (fair shares of the fleet's capacity by workspace), [`runner`] (load and
//! health of runners), [`cache`] (estimate of the prompt prefixes that a runner
//! has cached), [`notice`] and [`rate`] (what runners say of themselves in
//! answers), [`stream`] (software versions at which streams began) and [`budget`] (retry
//! budget, split over all routers); [`scheduler::Scheduler`] combines them. [`directory`] chooses the routers that a
//! caller is told to use. [`admission`] decides how many connections are accepted.

pub mod action;
pub mod admission;
pub mod budget;
pub mod cache;
pub mod directory;
mod hash;
mod home;
pub mod notice;
mod parts;
mod pending;
mod place;
mod queue;
pub mod rate;
pub mod report;
pub mod request;
mod round;
pub mod runner;
pub mod scheduler;
pub mod share;
pub mod stream;

pub use crate::scheduler::Scheduler;
