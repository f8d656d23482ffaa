//! The claim log and its writer against a store that fails.

mod exhaustive;
mod model;
mod random;
mod single;
