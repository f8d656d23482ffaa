//! Fuzz targets for the parsers and decoders of external input.
//!
//! Each target is a test in `tests/`. `cargo test` runs it for a fixed number of inputs,
//! `cargo bolero test` without a limit.
