//! The `balsamchute` command.

fn main() {}
