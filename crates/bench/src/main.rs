//! The `balsamchute-bench` command: demo, load and experiments.

fn main() {}
