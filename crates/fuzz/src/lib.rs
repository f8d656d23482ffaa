//! Fuzz targets for everything that reads bytes from outside.
//!
//! Each target is a test in `tests/`, run for a bounded number of inputs by
//! `cargo test` and for as long as one likes by `cargo bolero test`.
