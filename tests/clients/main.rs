//! Clients that exceed limits, stall or do not read, against a router of small limits: the
//! process lives, stays within its memory and descriptors, and answers ordinary requests.
//!
//! The tests start real processes on loopback addresses and run one at a time. No check
//! depends on the speed of the machine.

#[allow(
    dead_code,
    reason = "shared with the tests of the binary, which use all of it"
)]
#[path = "../all/command.rs"]
mod command;
mod crowd;
#[allow(
    dead_code,
    reason = "shared with the tests of the binary, which use all of it"
)]
#[path = "../all/edge/environment.rs"]
mod environment;
mod exclusive;
mod native;
mod uploads;
mod usage;
mod waiting;
