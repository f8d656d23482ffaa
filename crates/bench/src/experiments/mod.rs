//! The experiments, one file each.
//!
//! To add one: write `experiments/NAME.rs` with a function that takes
//! [`Options`] and returns whether the promise held, and list it in [`all`].
//! With `--json` its last line of output is one JSON object with `pass`.

pub mod capacity;

use bpaf::{Parser, long};

use crate::error::Error;

/// Options that every experiment takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the last line is one JSON object.
    pub json: bool,
}

/// An experiment with its options, ready to run. It returns whether what was
/// promised held.
pub type Run = Box<dyn FnOnce() -> Result<bool, Error>>;

/// Returns the parser of the options.
pub fn options() -> impl Parser<Options> {
    let seed = long("seed")
        .help("Seed of all random choices")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let json = long("json")
        .help("Print one JSON object as the last line")
        .switch();
    bpaf::construct!(Options { seed, json })
}

/// Returns the subcommands of all experiments.
#[must_use]
pub fn all() -> Vec<Box<dyn Parser<Run>>> {
    vec![capacity::command()]
}
