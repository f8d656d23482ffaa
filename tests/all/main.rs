//! Tests of the shipped binary against the platform's stand-in.

mod apply;
mod ask;
mod check;
mod command;
mod edge;
mod serve;
