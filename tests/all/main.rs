//! End-to-end tests of the binary against a stand-in platform.

mod apply;
mod check;
mod command;
mod edge;
mod explain;
mod responses;
mod serve;
