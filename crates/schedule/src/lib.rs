//! Scheduling decisions of a router at the edge: which request goes to which
//! runner, when, and how a failed attempt is handled.
//!
//! This package does no I/O and reads no clock: callers pass in events with the
//! current time and carry out the returned actions. The modules are [`share`]
//! (fair shares of the fleet's capacity by workspace), [`runner`] (load and
//! health of runners), [`cache`] (estimate of the prompt prefixes that a runner
//! has cached), [`notice`] and [`rate`] (what runners say of themselves in
//! answers), [`cold`] (runners that started a short time ago), [`stream`], [`version`] and
//! [`route`] (software versions at which streams began, and services that may have begun
//! them), [`process`] (which process of a runner answers), [`doubt`] (services of which only
//! processes of unknown version answer), [`record`] (when these are written
//! to the store) and [`budget`] (retry budget, split over all routers);
//! [`scheduler::Scheduler`] combines them. [`evacuation`] holds the failure domains whose
//! runners get no new attempts. [`directory`] chooses the routers that a caller is told to use,
//! [`admission`] how many connections are accepted, and [`memory`] what gives way when callers
//! have used up the memory that they may make a router hold.

pub mod action;
pub mod admission;
pub mod budget;
pub mod cache;
pub mod cold;
pub mod directory;
pub mod doubt;
pub mod evacuation;
mod hash;
mod home;
pub mod memory;
pub mod notice;
mod parts;
mod pending;
mod place;
pub mod process;
mod queue;
pub mod rate;
pub mod record;
pub mod report;
pub mod request;
mod round;
pub mod route;
pub mod runner;
pub mod scheduler;
pub mod share;
pub mod stream;
pub mod version;

pub use crate::scheduler::Scheduler;
