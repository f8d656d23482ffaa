//! Slopes of state, processor time and messages, and what follows from them
//! for a fleet of a given size.

pub mod fit;
pub mod inventory;
pub mod page;
pub mod plot;
pub mod probe;
pub mod probes;
pub mod process;
pub mod roles;
pub mod size;
